//! Starts, runs and stops one router.
//!
//! Control state is handled by one thread with a current-thread runtime, and
//! traffic by the configured number of threads. Several routers may run in one
//! process; they share nothing.

use std::fmt;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::Clock;
use godwitpost_client::connect::{self, Connector};
use godwitpost_decide::view::View;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::instance::Instance;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::control::{self, Control, Event};
use crate::serve::{self, callers, operators, peers};
use crate::settings::Settings;
use crate::shared::{Shared, Snapshot};
use crate::shutdown::{self, ShutdownResult};
use godwitpost_process::serve::{Port, run};

/// Why a router could not start.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// can't listen on {0} ({1}); choose another port or stop the process that uses it
    Listen(SocketAddr, std::io::Error),
    /// can't start threads ({0}); raise this process's thread limit
    Threads(std::io::Error),
}

impl std::error::Error for Error {}

/// A running router.
pub struct Running {
    shared: Arc<Shared>,
    addresses: Addresses,
    close_callers: watch::Sender<bool>,
    // Closes the ports for peers and operators.
    close_internal: watch::Sender<bool>,
    ports: Vec<JoinHandle<()>>,
    abort_sender: watch::Sender<bool>,
    // Dropping it stops the control thread.
    control: Option<oneshot::Sender<()>>,
    traffic: Option<Runtime>,
}

#[derive(Clone, Copy, Debug)]
struct Addresses {
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
}

/// How long each port may take to close its idle connections.
const PORT_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Starts a router and returns once it listens.
///
/// # Errors
///
/// Returns an error if a port can't be bound or threads can't be started.
pub fn start(settings: Settings) -> Result<Running, Error> {
    let bind = |address| Port::bind(address).map_err(|error| Error::Listen(address, error));
    let callers_port = bind(settings.listen.callers)?;
    let peers_port = bind(settings.listen.peers)?;
    let operators_port = bind(settings.listen.operators)?;
    let addresses = Addresses {
        callers: callers_port.address,
        peers: peers_port.address,
        operators: operators_port.address,
    };
    let traffic = build_traffic_runtime(&settings).map_err(Error::Threads)?;
    let instance = own_instance(&settings, addresses);
    let (sender, events) = mpsc::channel(control::EVENT_QUEUE_CAPACITY);
    let shared = Arc::new(build_shared(settings, &instance, sender));
    let control =
        start_control_thread(Arc::clone(&shared), instance, events).map_err(Error::Threads)?;
    let (close_callers, _) = watch::channel(false);
    let ports = [callers_port, peers_port, operators_port];
    let (close_internal, _) = watch::channel(false);
    let ports = spawn_ports(&traffic, &shared, ports, &close_callers, &close_internal);
    Ok(Running {
        shared,
        addresses,
        close_callers,
        close_internal,
        ports,
        abort_sender: watch::channel(false).0,
        control: Some(control),
        traffic: Some(traffic),
    })
}

fn build_traffic_runtime(settings: &Settings) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

fn own_instance(settings: &Settings, addresses: Addresses) -> Instance {
    Instance {
        id: settings.id(),
        name: settings.name.clone(),
        incarnation: settings.incarnation,
        zone: settings.zone_id(),
        region: settings.region_id(),
        peer_address: addresses.peers,
        operators_address: addresses.operators,
        standing: Standing::Live,
    }
}

fn build_shared(settings: Settings, own: &Instance, events: mpsc::Sender<Event>) -> Shared {
    let snapshot = Snapshot {
        view: Arc::new(View::new(own.id, [own.clone()], [])),
        bundle: None,
    };
    let connector = Connector::new(connect::Settings::default());
    Shared::new(settings, Clock::start(), connector, snapshot, events)
}

fn start_control_thread(
    shared: Arc<Shared>,
    own: Instance,
    events: mpsc::Receiver<Event>,
) -> std::io::Result<oneshot::Sender<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (stop_control, stopped_control) = oneshot::channel();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                let control = Control::new(shared, own);
                tokio::select! {
                    () = control.run(events) => {}
                    _ = stopped_control => {}
                }
            });
        })?;
    Ok(stop_control)
}

fn spawn_ports(
    traffic: &Runtime,
    shared: &Arc<Shared>,
    [callers_port, peers_port, operators_port]: [Port; 3],
    close_callers: &watch::Sender<bool>,
    close_internal: &watch::Sender<bool>,
) -> Vec<JoinHandle<()>> {
    let head = shared.settings.limits.head_bytes;
    let handler_shared = Arc::clone(shared);
    let handle = move |request| callers::handle(Arc::clone(&handler_shared), request);
    let callers_port = traffic.spawn(run(
        callers_port,
        serve::limits(head),
        close_callers.subscribe(),
        handle,
    ));
    // The ports for peers and operators stay open until the end of the
    // shutdown: other instances still relay streams through this instance, and
    // gossip announces that it is leaving.
    let handler_shared = Arc::clone(shared);
    let handle = move |request| peers::handle(Arc::clone(&handler_shared), request);
    let peers_port = traffic.spawn(run(
        peers_port,
        serve::limits(head),
        close_internal.subscribe(),
        handle,
    ));
    let handler_shared = Arc::clone(shared);
    let handle = move |request| ready(operators::handle(&handler_shared, &request));
    let operators_port = run(
        operators_port,
        serve::limits(head),
        close_internal.subscribe(),
        handle,
    );
    vec![callers_port, peers_port, traffic.spawn(operators_port)]
}

impl Running {
    /// Returns the address for callers.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns the address for other instances.
    #[must_use]
    pub const fn peers_address(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn operators_address(&self) -> SocketAddr {
        self.addresses.operators
    }

    /// Returns a handle that aborts a graceful shutdown.
    #[must_use]
    pub fn abort_handle(&self) -> AbortHandle {
        AbortHandle {
            sender: self.abort_sender.clone(),
        }
    }

    /// Shuts down gracefully: serves until the balancer has noticed, finishes
    /// the requests in flight, hands over chats, and stops.
    pub async fn stop_gracefully(mut self) -> ShutdownResult {
        let shutdown = shutdown::run(
            Arc::clone(&self.shared),
            self.close_callers.clone(),
            self.abort_sender.subscribe(),
        );
        // Runs on the router's own threads, which drive its connections.
        let result = match &self.traffic {
            Some(traffic) => traffic.spawn(shutdown).await,
            None => Ok(ShutdownResult::Whole),
        };
        self.close().await;
        self.stop();
        result.unwrap_or(ShutdownResult::Cut { requests: 0 })
    }

    // No request is in flight, but a peer may be sending a message. Connections
    // are closed between two messages, since otherwise the peer could not know
    // whether its message was processed.
    async fn close(&mut self) {
        self.close_internal.send_replace(true);
        for port in self.ports.drain(..) {
            if tokio::time::timeout(PORT_CLOSE_TIMEOUT, port)
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Stops at once, as in a crash: connections break.
    pub fn kill(mut self) {
        self.stop();
    }

    fn stop(&mut self) {
        drop(self.control.take());
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop();
    }
}

impl fmt::Debug for Running {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Running")
            .field("name", &self.shared.settings.name)
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

/// Aborts a graceful shutdown.
#[derive(Clone, Debug)]
pub struct AbortHandle {
    sender: watch::Sender<bool>,
}

impl AbortHandle {
    /// Ends the shutdown now and aborts the requests in flight.
    pub fn abort(&self) {
        self.sender.send_replace(true);
    }
}

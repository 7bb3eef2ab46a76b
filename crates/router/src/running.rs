//! One router, from its start to its end.
//!
//! Control state has one thread with a current-thread runtime, traffic the
//! threads that the settings ask for. Several routers may run in one process;
//! they share nothing.

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
    /// can't listen on {0} ({1}); name another port or end who holds it
    Listen(SocketAddr, std::io::Error),
    /// can't start threads ({0}); allow this process more
    Threads(std::io::Error),
}

impl std::error::Error for Error {}

/// A router that runs.
pub struct Running {
    shared: Arc<Shared>,
    addresses: Addresses,
    closing: watch::Sender<bool>,
    // Closes the peers' and operators' ports.
    ending: watch::Sender<bool>,
    ports: Vec<JoinHandle<()>>,
    hurry: watch::Sender<bool>,
    // Dropping it ends the control thread.
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
const CLOSE: Duration = Duration::from_secs(1);

/// Starts a router and returns when it listens.
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
    let traffic = traffic(&settings).map_err(Error::Threads)?;
    let own = own(&settings, addresses);
    let (sender, events) = mpsc::channel(control::EVENT_QUEUE_CAPACITY);
    let shared = Arc::new(shared(settings, &own, sender));
    let control = control(Arc::clone(&shared), own, events).map_err(Error::Threads)?;
    let (closing, _) = watch::channel(false);
    let ports = [callers_port, peers_port, operators_port];
    let (ending, _) = watch::channel(false);
    let ports = listen(&traffic, &shared, ports, &closing, &ending);
    Ok(Running {
        shared,
        addresses,
        closing,
        ending,
        ports,
        hurry: watch::channel(false).0,
        control: Some(control),
        traffic: Some(traffic),
    })
}

fn traffic(settings: &Settings) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

fn own(settings: &Settings, addresses: Addresses) -> Instance {
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

fn shared(settings: Settings, own: &Instance, events: mpsc::Sender<Event>) -> Shared {
    let snapshot = Snapshot {
        view: Arc::new(View::new(own.id, [own.clone()], [])),
        bundle: None,
    };
    let connector = Connector::new(connect::Settings::default());
    Shared::new(settings, Clock::start(), connector, snapshot, events)
}

fn control(
    shared: Arc<Shared>,
    own: Instance,
    events: mpsc::Receiver<Event>,
) -> std::io::Result<oneshot::Sender<()>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (alive, ended) = oneshot::channel();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                let control = Control::new(shared, own);
                tokio::select! {
                    () = control.run(events) => {}
                    _ = ended => {}
                }
            });
        })?;
    Ok(alive)
}

fn listen(
    traffic: &Runtime,
    shared: &Arc<Shared>,
    [callers_port, peers_port, operators_port]: [Port; 3],
    closing: &watch::Sender<bool>,
    ending: &watch::Sender<bool>,
) -> Vec<JoinHandle<()>> {
    let head = shared.settings.limits.head_bytes;
    let of = Arc::clone(shared);
    let answer = move |request| callers::handle(Arc::clone(&of), request);
    let callers_port = traffic.spawn(run(
        callers_port,
        serve::limits(head),
        closing.subscribe(),
        answer,
    ));
    // Peers and operators are answered to the very end: other instances still
    // relay streams through here, and gossip says that this one is leaving.
    let of = Arc::clone(shared);
    let answer = move |request| peers::handle(Arc::clone(&of), request);
    let peers_port = traffic.spawn(run(
        peers_port,
        serve::limits(head),
        ending.subscribe(),
        answer,
    ));
    let of = Arc::clone(shared);
    let answer = move |request| ready(operators::handle(&of, &request));
    let operators_port = run(
        operators_port,
        serve::limits(head),
        ending.subscribe(),
        answer,
    );
    vec![callers_port, peers_port, traffic.spawn(operators_port)]
}

impl Running {
    /// Returns where callers are answered.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.addresses.callers
    }

    /// Returns where other instances are answered.
    #[must_use]
    pub const fn peers_address(&self) -> SocketAddr {
        self.addresses.peers
    }

    /// Returns where operators are answered.
    #[must_use]
    pub const fn operators_address(&self) -> SocketAddr {
        self.addresses.operators
    }

    /// Returns a handle that cuts a graceful shutdown short.
    #[must_use]
    pub fn abort_handle(&self) -> AbortHandle {
        AbortHandle {
            sender: self.hurry.clone(),
        }
    }

    /// Shuts down gracefully: serves until the balancer knows, finishes what
    /// is in flight, hands chats over, and ends.
    pub async fn stop_gracefully(mut self) -> ShutdownResult {
        let shutdown = shutdown::run(
            Arc::clone(&self.shared),
            self.closing.clone(),
            self.hurry.subscribe(),
        );
        // On the router's own threads, since its connections live there.
        let stopped = match &self.traffic {
            Some(traffic) => traffic.spawn(shutdown).await,
            None => Ok(ShutdownResult::Whole),
        };
        self.close().await;
        self.end();
        stopped.unwrap_or(ShutdownResult::Cut { requests: 0 })
    }

    // Nothing is in flight, but a peer may be sending: connections are closed
    // between two messages, or the peer could not tell whether it was taken.
    async fn close(&mut self) {
        self.ending.send_replace(true);
        for port in self.ports.drain(..) {
            if tokio::time::timeout(CLOSE, port).await.is_err() {
                return;
            }
        }
    }

    /// Ends at once, as a crash would: connections break.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        drop(self.control.take());
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.end();
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

/// Cuts a graceful shutdown short.
#[derive(Clone, Debug)]
pub struct AbortHandle {
    sender: watch::Sender<bool>,
}

impl AbortHandle {
    /// Ends the shutdown now, with requests in flight cut.
    pub fn abort(&self) {
        self.sender.send_replace(true);
    }
}

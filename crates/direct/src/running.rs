//! The lifecycle of one instance.
//!
//! Control state has a thread with its own runtime; traffic has as many threads as the
//! settings say. With one traffic thread, as on a machine with a fraction of a core, both
//! runtimes are single-threaded and don't wake other threads.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_process::logging::queue::Queue;
use godwitpost_process::serve::{Port, run};
use godwitpost_state::drain::{Drain, Limits, Next};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::control::{self, Sources};
use crate::dialect::Dialect;
use crate::relay;
use crate::serve;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::shutdown;
use crate::supervision::Supervisor;

/// How often a shutdown checks for in-flight requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why an instance couldn't start.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// can't listen on {0} ({1}); choose another port or stop the process that uses it
    Listen(SocketAddr, std::io::Error),
    /// can't start threads ({0}); raise the thread limit of this process
    Threads(std::io::Error),
}

impl std::error::Error for Error {}

/// The outcome of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownResult {
    /// All in-flight requests ended.
    Drained,
    /// The grace period ended with requests in flight.
    TimedOut {
        /// How many requests were cut off.
        requests: usize,
    },
}

/// A running instance.
#[derive(Debug)]
pub struct Running {
    shared: Arc<Shared>,
    closing: watch::Sender<bool>,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    supervisor: Supervisor,
    // Dropping the sender ends the traffic threads.
    traffic: Option<watch::Sender<bool>>,
}

/// Starts an instance and returns when it listens.
///
/// # Errors
///
/// Returns an error if a port can't be bound or threads can't be started.
pub fn start(
    settings: Settings,
    dialect: Dialect,
    sources: Sources,
    lines: Queue,
) -> Result<Running, Error> {
    let bind = |address| Port::bind(address).map_err(|error| Error::Listen(address, error));
    let callers = bind(settings.listen.callers)?;
    let ready = bind(settings.listen.ready)?;
    let metrics = bind(settings.listen.metrics)?;
    let peers = settings.listen.peers.map(bind).transpose()?;
    let forwards = settings.listen.forwards.map(bind).transpose()?;
    let addresses = (callers.address, ready.address, metrics.address);
    let threads = settings.threads;
    let shared = Arc::new(Shared::new(settings, dialect));
    let supervisor = Supervisor::new(Arc::clone(&shared));
    let (closing, closed) = watch::channel(false);
    let (traffic, ended) = watch::channel(false);
    let ports = serve_ports(
        Arc::clone(&shared),
        supervisor.clone(),
        [callers, ready, metrics],
        forwards,
        closed,
        ended.clone(),
    );
    spawn_thread("traffic", &supervisor, build_runtime(threads)?, ports)?;
    let control = control::run(
        Arc::clone(&shared),
        supervisor.clone(),
        sources,
        lines,
        peers,
        ended.clone(),
    );
    spawn_thread(
        "control",
        &supervisor,
        build_runtime(1)?,
        run_until_ended(control, ended),
    )?;
    Ok(Running {
        shared,
        supervisor,
        closing,
        callers: addresses.0,
        ready: addresses.1,
        metrics: addresses.2,
        traffic: Some(traffic),
    })
}

fn build_runtime(threads: usize) -> Result<Runtime, Error> {
    let mut builder = if threads == 1 {
        Builder::new_current_thread()
    } else {
        Builder::new_multi_thread()
    };
    builder
        .worker_threads(threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .map_err(Error::Threads)
}

fn spawn_thread(
    name: &'static str,
    supervisor: &Supervisor,
    runtime: Runtime,
    task: impl Future<Output = ()> + Send + 'static,
) -> Result<(), Error> {
    let supervisor = supervisor.clone();
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || supervisor.block_on(name, &runtime, task))
        .map(drop)
        .map_err(Error::Threads)
}

// Runs a task until it completes or the instance ends.
async fn run_until_ended(task: impl Future<Output = ()>, mut ended: watch::Receiver<bool>) {
    tokio::select! {
        () = task => {}
        _ = ended.wait_for(|ended| *ended) => {}
    }
}

async fn serve_ports(
    shared: Arc<Shared>,
    supervisor: Supervisor,
    [callers, ready_port, metrics]: [Port; 3],
    forwards: Option<Port>,
    closed: watch::Receiver<bool>,
    ended: watch::Receiver<bool>,
) {
    let answering = Arc::clone(&shared);
    let answer = move |request| relay::handle_request(Arc::clone(&answering), request);
    let limits = serve::caller_limits(&shared);
    supervisor.spawn("callers", run(callers, limits, closed, answer));
    let asked = Arc::clone(&shared);
    let answer = move |request| ready(serve::readiness(&asked, &request));
    let limits = serve::internal_limits();
    supervisor.spawn("ready", run(ready_port, limits, ended.clone(), answer));
    if let Some(port) = forwards {
        let taking = Arc::clone(&shared);
        let answer = move |request| relay::forward::handle_forwarded(Arc::clone(&taking), request);
        let limits = serve::internal_limits();
        supervisor.spawn("forwards", run(port, limits, ended.clone(), answer));
    }
    let answer = move |request| ready(serve::metrics(&shared, &request));
    let limits = serve::internal_limits();
    supervisor.spawn("metrics", run(metrics, limits, ended.clone(), answer));
    run_until_ended(std::future::pending(), ended).await;
}

impl Running {
    /// Returns the address of the port for callers' requests.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the port for readiness checks.
    #[must_use]
    pub const fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the address of the port for metrics.
    #[must_use]
    pub const fn metrics_address(&self) -> SocketAddr {
        self.metrics
    }

    /// Waits until a task that the instance needs has ended by a panic; returns its name. The
    /// instance isn't ready from then on, and is to be stopped.
    pub async fn wait_for_failure(&self) -> &'static str {
        self.supervisor.wait_for_failure().await
    }

    /// Shuts down gracefully: reports that it isn't ready, serves until the load balancer
    /// has noticed, and returns when no request is in flight or the grace period is over.
    ///
    /// A second signal doesn't shorten the shutdown. The requests in flight are as
    /// important as before, and the platform can kill the process at any time.
    pub async fn stop(mut self) -> ShutdownResult {
        let limits = Limits {
            balancer_lag: self.shared.settings.balancer_lag,
            hard_limit: shutdown::limit(self.shared.settings.grace),
            second_signal_limit: Duration::ZERO,
        };
        let mut drain = Drain::new(limits);
        drain.handle_signal(boot_time());
        self.shared.shutdown().begin(limits.hard_limit);
        let stopped = self.wait_for_drain(&mut drain).await;
        self.traffic.take();
        stopped
    }

    async fn wait_for_drain(&self, drain: &mut Drain) -> ShutdownResult {
        loop {
            match drain.tick(boot_time(), self.shared.in_flight()) {
                Next::Close { .. } => {
                    self.closing.send_replace(true);
                    drain.record_handover();
                }
                Next::Serve | Next::Announce { .. } | Next::Wait { .. } => {}
                Next::Exit { aborted: 0 } => return ShutdownResult::Drained,
                Next::Exit { aborted } => return ShutdownResult::TimedOut { requests: aborted },
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

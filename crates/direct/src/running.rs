//! One instance, from its start to its end.
//!
//! Control state has a thread with a runtime of its own; traffic has as many
//! threads as the settings say. With one, which is what a machine with a part
//! of a core has, both runtimes are single-threaded and wake nobody else.

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

/// How often a shutdown looks at what is in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What is kept back of the time that a graceful shutdown may take: whoever
/// kills the process then must find it gone.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);

/// Why an instance could not start.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// can't listen on {0} ({1}); name another port or end who holds it
    Listen(SocketAddr, std::io::Error),
    /// can't start threads ({0}); allow this process more
    Threads(std::io::Error),
}

impl std::error::Error for Error {}

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownResult {
    /// Nothing was in flight any more.
    Drained,
    /// The time was over with requests in flight.
    TimedOut {
        /// How many were cut.
        requests: usize,
    },
}

/// An instance that runs.
#[derive(Debug)]
pub struct Running {
    shared: Arc<Shared>,
    closing: watch::Sender<bool>,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    // Dropping it ends the threads that carry traffic.
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
    let addresses = (callers.address, ready.address, metrics.address);
    let threads = settings.threads;
    let shared = Arc::new(Shared::new(settings, dialect));
    let (closing, closed) = watch::channel(false);
    let (traffic, ended) = watch::channel(false);
    let ports = serve_ports(
        Arc::clone(&shared),
        [callers, ready, metrics],
        closed,
        ended.clone(),
    );
    spawn_thread("traffic", build_runtime(threads)?, ports)?;
    let control = control::run(Arc::clone(&shared), sources, lines, peers, ended.clone());
    spawn_thread(
        "control",
        build_runtime(1)?,
        run_until_ended(control, ended),
    )?;
    Ok(Running {
        shared,
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
    name: &str,
    runtime: Runtime,
    task: impl Future<Output = ()> + Send + 'static,
) -> Result<(), Error> {
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || runtime.block_on(task))
        .map(drop)
        .map_err(Error::Threads)
}

// Runs a task until the instance ends.
async fn run_until_ended(task: impl Future<Output = ()>, mut ended: watch::Receiver<bool>) {
    tokio::select! {
        () = task => {}
        _ = ended.wait_for(|ended| *ended) => {}
    }
}

async fn serve_ports(
    shared: Arc<Shared>,
    [callers, ready_port, metrics]: [Port; 3],
    closed: watch::Receiver<bool>,
    ended: watch::Receiver<bool>,
) {
    let answering = Arc::clone(&shared);
    let answer = move |request| relay::handle_request(Arc::clone(&answering), request);
    let limits = serve::caller_limits(&shared);
    tokio::spawn(run(callers, limits, closed, answer));
    let asked = Arc::clone(&shared);
    let answer = move |request| ready(serve::readiness(&asked, &request));
    tokio::spawn(run(
        ready_port,
        serve::internal_limits(),
        ended.clone(),
        answer,
    ));
    let answer = move |request| ready(serve::metrics(&shared, &request));
    tokio::spawn(run(
        metrics,
        serve::internal_limits(),
        ended.clone(),
        answer,
    ));
    run_until_ended(std::future::pending(), ended).await;
}

impl Running {
    /// Returns where it takes callers' requests.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where it says whether it is ready.
    #[must_use]
    pub const fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    /// Returns where it tells its metrics.
    #[must_use]
    pub const fn metrics_address(&self) -> SocketAddr {
        self.metrics
    }

    /// Stops: says that it isn't ready, serves until the balancer has noticed,
    /// and ends when nothing is in flight or the time is over.
    ///
    /// A second signal, which `hurry` tells of, changes nothing: a request in
    /// flight is not worth less for it, and the platform kills when it wants.
    pub async fn stop(mut self) -> ShutdownResult {
        let limits = Limits {
            lag: self.shared.settings.balancer_lag,
            hard: self.shared.settings.grace.saturating_sub(SHUTDOWN_MARGIN),
            second: Duration::ZERO,
        };
        let mut drain = Drain::new(limits);
        drain.signal(boot_time());
        self.shared.start_drain();
        let stopped = self.wait_for_drain(&mut drain).await;
        self.traffic.take();
        stopped
    }

    async fn wait_for_drain(&self, drain: &mut Drain) -> ShutdownResult {
        loop {
            match drain.tick(boot_time(), self.shared.in_flight()) {
                Next::Close { .. } => {
                    self.closing.send_replace(true);
                    drain.handed_over();
                }
                Next::Serve | Next::Announce { .. } | Next::Wait { .. } => {}
                Next::Exit { cut: 0 } => return ShutdownResult::Drained,
                Next::Exit { cut } => return ShutdownResult::TimedOut { requests: cut },
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

//! The HTTP/1.1 server under each stand-in, which can go down and come back.
//!
//! A crashed process refuses connections, so a stand-in that is down must as
//! well: accepting and closing would look like a request of unknown fate. The
//! port is kept meanwhile by a socket that is bound but doesn't listen.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Broken>;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The pause between tries to get the port back.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// Why a stand-in can't start.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot listen on {address} ({cause}); choose a free port, or port 0
    Listen {
        /// Where it was to listen.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
}

impl std::error::Error for Error {}

/// the connection is broken off
#[derive(Debug, displaydoc::Display)]
pub(crate) struct Broken;

impl std::error::Error for Broken {}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    Down,
}

/// Takes a server down and brings it back.
#[derive(Clone, Debug)]
pub(crate) struct Switch {
    state: Arc<watch::Sender<State>>,
}

impl Switch {
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::new(watch::Sender::new(State::Up)),
        }
    }

    /// Breaks all connections off and refuses new ones for a time. Calls `up`
    /// right before it listens again.
    pub(crate) fn down_for(&self, time: Duration, up: impl FnOnce() + Send + 'static) {
        self.state.send_replace(State::Down);
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            up();
            state.send_replace(State::Up);
        });
    }
}

/// A listening server; it stops when dropped.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts to serve `handler` at an address.
    pub(crate) async fn start<H, A>(
        address: SocketAddr,
        switch: Switch,
        handler: H,
    ) -> Result<Self, Error>
    where
        H: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<Response<Body>, Broken>> + Send + 'static,
    {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| Error::Listen { address, cause })?;
        let address = listener
            .local_addr()
            .map_err(|cause| Error::Listen { address, cause })?;
        let task = tokio::spawn(run(listener, address, switch, handler));
        Ok(Self { address, task })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops and waits until the port is free.
    pub(crate) async fn stop(mut self) {
        self.task.abort();
        // An aborted task reports that it was cancelled; nothing else matters.
        let _cancelled = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run<H, A>(mut listener: TcpListener, address: SocketAddr, switch: Switch, handler: H)
where
    H: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Response<Body>, Broken>> + Send + 'static,
{
    let mut state = switch.state.subscribe();
    loop {
        accept(&listener, &mut state, &handler).await;
        drop(listener);
        listener = stay_down(address, &mut state).await;
    }
}

/// Accepts connections until the state is down; dropping the set breaks them
/// off.
async fn accept<H, A>(listener: &TcpListener, state: &mut watch::Receiver<State>, handler: &H)
where
    H: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Response<Body>, Broken>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = reach(state, State::Down) => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, handler.clone()));
                }
                // A caller that gave up, or no free file descriptor: later
                // calls may do better.
                Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
            },
        }
    }
}

async fn reach(state: &mut watch::Receiver<State>, wanted: State) {
    // No error can come: the sender lives as long as the server's switch.
    drop(state.wait_for(|&state| state == wanted).await);
}

async fn stay_down(address: SocketAddr, state: &mut watch::Receiver<State>) -> TcpListener {
    let mut reserved = reserve(address);
    reach(state, State::Up).await;
    loop {
        if let Some(listener) = reserved.and_then(|socket| socket.listen(BACKLOG).ok()) {
            return listener;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
        reserved = reserve(address);
    }
}

fn reserve(address: SocketAddr) -> Option<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
    .ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok()?;
    Some(socket)
}

async fn serve<H, A>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> A,
    A: Future<Output = Result<Response<Body>, Broken>>,
{
    // Small frames of a token stream must not wait for an acknowledgement.
    let _best_effort = stream.set_nodelay(true);
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
    if let Err(error) = served {
        ::log::debug!(error:% = error; "connection ended");
    }
}

//! The HTTP/1.1 server of each stand-in, which can simulate a crash and restart.
//!
//! A crashed process refuses connections, so a stand-in that is down must refuse
//! them too: accepting and closing would look like a request whose outcome is
//! unknown. A socket that is bound but not listening reserves the port meanwhile.

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
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionAborted>;

const LISTEN_BACKLOG: u32 = 1024;
/// The pause after a failed bind or accept.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Why a stand-in can't start.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// cannot listen on {address} ({cause}); choose a free port, or port 0
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
}

impl std::error::Error for Error {}

/// the stand-in aborted the connection
#[derive(Debug, displaydoc::Display)]
pub(crate) struct ConnectionAborted;

impl std::error::Error for ConnectionAborted {}

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

    /// Aborts all connections and refuses new ones for `time`. Calls `up` right
    /// before the server listens again.
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
    /// Binds an address and serves requests with `handler`.
    pub(crate) async fn start<H, A>(
        address: SocketAddr,
        switch: Switch,
        handler: H,
    ) -> Result<Self, Error>
    where
        H: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<Response<Body>, ConnectionAborted>> + Send + 'static,
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
        // The only possible error is the cancellation requested above.
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
    A: Future<Output = Result<Response<Body>, ConnectionAborted>> + Send + 'static,
{
    let mut state = switch.state.subscribe();
    loop {
        accept(&listener, &mut state, &handler).await;
        drop(listener);
        listener = wait_until_up(address, &mut state).await;
    }
}

/// Accepts connections until the state is down; dropping the set then aborts
/// them.
async fn accept<H, A>(listener: &TcpListener, state: &mut watch::Receiver<State>, handler: &H)
where
    H: Fn(Request<Incoming>) -> A + Clone + Send + Sync + 'static,
    A: Future<Output = Result<Response<Body>, ConnectionAborted>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            () = wait_for_state(state, State::Down) => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, handler.clone()));
                }
                // The caller has disconnected, or no file descriptor is free:
                // a later accept may succeed.
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            },
        }
    }
}

async fn wait_for_state(state: &mut watch::Receiver<State>, wanted: State) {
    // This cannot fail: the server's switch keeps the sender alive.
    drop(state.wait_for(|&state| state == wanted).await);
}

async fn wait_until_up(address: SocketAddr, state: &mut watch::Receiver<State>) -> TcpListener {
    let mut reserved = reserve(address);
    wait_for_state(state, State::Up).await;
    loop {
        if let Some(listener) = reserved.and_then(|socket| socket.listen(LISTEN_BACKLOG).ok()) {
            return listener;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
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
    A: Future<Output = Result<Response<Body>, ConnectionAborted>>,
{
    // Without TCP_NODELAY small frames of a token stream wait for an acknowledgement.
    let _best_effort = stream.set_nodelay(true);
    // Keeps the socket open until it is known how the connection ends.
    let socket = SockRef::from(&stream).try_clone();
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
    if let Err(error) = served {
        ::log::debug!(error:% = error; "connection ended");
        // An orderly close would be the end of a response without length or chunks.
        let _best_effort = socket.and_then(|socket| socket.set_linger(Some(Duration::ZERO)));
    }
}

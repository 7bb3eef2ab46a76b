//! HTTP/1.1 connections to endpoints, peers and the platform, pooled.
//!
//! This module pools connections of hyper's low-level client. The pooled
//! client of hyper-util may resend a request by itself when a pooled
//! connection turns out to be closed, and its caller can't tell one attempt
//! from two. At-most-once execution depends on that distinction, so these
//! rules apply here:
//!
//! - A request is written to at most one connection and is never resent.
//! - [`Error::NotSent`] is returned only if no byte of the request was handed
//!   to a socket; any other failure is [`Error::Unknown`]. hyper returns an
//!   unsent request only if it has not started to serialize it.
//! - A server may close an idle connection at any time. If the close is
//!   noticed before the request is serialized, hyper returns the request and
//!   the next connection is tried. No byte has left, so this is not a second
//!   attempt. If the close is noticed later, the outcome is unknown.
//! - A caller that drops the future of [`Connector::send`] must assume that
//!   the outcome is unknown. [`Connector::send`] therefore applies the time-out
//!   itself, so that the error stays exact.
//!
//! Dropping a response body before its end closes the connection at once. The
//! endpoint learns from this that the caller has disconnected.

mod ack;
mod meter;
mod pool;
mod received;
mod untaken;
mod unwritten;

use std::error::Error as _;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout_at};

use self::meter::{MeteredStream, TransferCounter};
use self::pool::Pool;
pub use self::pool::{Connection, Settings};
pub use self::received::{Framing, ResponseBody};
use self::untaken::Untaken;
use self::unwritten::Unwritten;

/// Number of unanswered keep-alive probes after which a peer counts as gone.
/// More than one, so that a single lost packet does not end a stream.
const KEEPALIVE_PROBES: u32 = 3;

/// An error of a body or an underlying connection.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a request, streamed or whole.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// The reason a request got no response.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// not sent: {cause}; it may be sent elsewhere
    NotSent {
        /// The reason.
        cause: Cause,
        /// The request with its body unread, so that it can be sent elsewhere.
        /// `None` if the connection dropped it without sending it.
        request: Option<Box<Request<Body>>>,
    },
    /// outcome unknown: {0}; repeat the request only if it may run twice
    Unknown(Cause),
}

/// The cause of a failed request.
#[derive(Debug, displaydoc::Display)]
pub enum Cause {
    /// cannot connect ({0}); check that the address is up
    Connect(std::io::Error),
    /// no connection within the time allowed; check the network or allow more
    ConnectTimeout,
    /// no response head within the time allowed; check the load or allow more
    ResponseTimeout,
    /// the connection failed ({0}); check the other side's log
    Connection(Failure),
}

/// A connection error that is displayed with its source.
#[derive(Debug)]
pub struct Failure(hyper::Error);

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        match self.0.source() {
            // hyper's text does not include the source: "connection error".
            Some(source) => write!(f, ": {source}"),
            None => Ok(()),
        }
    }
}

impl From<hyper::Error> for Failure {
    fn from(error: hyper::Error) -> Self {
        Self(error)
    }
}

impl std::error::Error for Error {}
impl std::error::Error for Cause {}

impl Cause {
    /// Returns whether the other machine was unreachable: no connection was
    /// established, or sent data was never acknowledged.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        match self {
            Self::Connect(_) | Self::ConnectTimeout => true,
            Self::ResponseTimeout => false,
            Self::Connection(failure) => is_ack_timeout(&failure.0),
        }
    }
}

/// Returns whether a connection ended because the other machine did not
/// acknowledge sent data in time.
#[must_use]
pub fn is_ack_timeout(error: &hyper::Error) -> bool {
    error
        .source()
        .and_then(|source| source.downcast_ref::<std::io::Error>())
        .is_some_and(|error| error.kind() == std::io::ErrorKind::TimedOut)
}

impl Error {
    /// Returns whether the request may have reached the other side.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

/// Sends requests over pooled connections.
#[derive(Clone, Debug)]
pub struct Connector {
    pool: Pool,
    transferred: TransferCounter,
}

impl Connector {
    /// Creates a connector with an empty pool.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            pool: Pool::new(settings),
            transferred: TransferCounter::default(),
        }
    }

    /// Returns the bytes transferred on its connections so far in both
    /// directions: the counted payload, and the TCP and IP headers of packets
    /// and acknowledgements as estimated from reads, writes and opens.
    #[must_use]
    pub fn wire_bytes(&self) -> u64 {
        self.transferred.bytes()
    }

    /// Sends a request to an address and returns the head of the response.
    ///
    /// The URI must be in origin form (`/path?query`). A missing `Host` header
    /// is set to the address. `wait` limits the time until the response head
    /// arrives; the body has no time-out here.
    ///
    /// Must be called within a tokio runtime, which drives the connection.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if no byte of the request can have left, and
    /// [`Error::Unknown`] otherwise.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Error> {
        self.send_with_max_idle(address, request, wait, Duration::MAX)
            .await
    }

    /// Sends a request over a new connection; otherwise works like
    /// [`Connector::send`].
    ///
    /// Intended for requests that may run at most once. A server that closes
    /// its idle connections, for example during shutdown, may do so just as a
    /// request is written to one. The outcome is then unknown although the
    /// server never saw the request. With a new connection, either the server
    /// accepts it or the request is certainly not sent. This costs a round
    /// trip. Afterwards the connection is returned to the pool.
    ///
    /// # Errors
    ///
    /// As [`Connector::send`].
    pub async fn send_on_new(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Error> {
        self.send_with_max_idle(address, request, wait, Duration::ZERO)
            .await
    }

    /// Sends a request over a connection that was idle for less than
    /// `max_idle`, or over a new one; otherwise works like [`Connector::send`].
    ///
    /// This is a compromise between [`Connector::send`] and
    /// [`Connector::send_on_new`]: a server that drops idle connections sooner
    /// than it announces drops those that were idle, and reusing a busy
    /// connection saves the round trip.
    ///
    /// # Errors
    ///
    /// As [`Connector::send`].
    pub async fn send_with_max_idle(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
        wait: Duration,
        max_idle: Duration,
    ) -> Result<Response<ResponseBody>, Error> {
        let deadline = Instant::now() + wait;
        set_default_host(&mut request, address);
        loop {
            let (connection, is_new) = match self.pool.take_recent(address, max_idle) {
                Some(connection) => (connection, false),
                None => match self.open(address, deadline).await {
                    Ok(connection) => (connection, true),
                    Err(cause) => return Err(not_sent(cause, Some(request))),
                },
            };
            match self.exchange(connection, request, deadline).await {
                // A pooled connection was closed before the request was
                // serialized. No byte has left, so the next connection is
                // tried. If a new connection fails this way, the server is
                // broken.
                Err(Error::NotSent {
                    request: Some(unsent),
                    ..
                }) if !is_new => request = *unsent,
                result => return result,
            }
        }
    }

    /// Returns the number of idle connections to an address in the pool.
    #[must_use]
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        self.pool.idle_count(address)
    }

    /// Limits the idle connections that are kept to one address, up to the limit in the
    /// settings. Connections beyond it are closed when the next one becomes idle.
    pub fn limit_idle(&self, per_address: usize) {
        self.pool.limit_idle(per_address);
    }

    /// Closes the idle connections to an address, for example after its machine
    /// was found unreachable. A request written to one of them would have an
    /// unknown outcome, while a failure to open a new connection proves that
    /// nothing was sent.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Returns whether the pool has a usable connection to an address that was idle for less
    /// than `max_idle`.
    #[must_use]
    pub fn has_recent(&self, address: SocketAddr, max_idle: Duration) -> bool {
        self.pool.has_recent(address, max_idle)
    }

    /// Opens a connection within `wait`, but no longer than the limit in the settings. No
    /// byte of a request is sent.
    ///
    /// # Errors
    ///
    /// Returns the cause if there is no connection.
    pub async fn connect(&self, address: SocketAddr, wait: Duration) -> Result<Connection, Cause> {
        let wait = wait.min(self.pool.settings().connect_timeout);
        self.open(address, Instant::now() + wait).await
    }

    /// Adds an unused connection to the pool.
    pub fn keep(&self, connection: Connection) {
        self.pool.release(connection);
    }

    /// Sends a request over an opened connection; otherwise works like [`Connector::send`].
    ///
    /// # Errors
    ///
    /// As [`Connector::send`].
    pub async fn send_over(
        &self,
        connection: Connection,
        mut request: Request<Body>,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Error> {
        set_default_host(&mut request, connection.address);
        self.exchange(connection, request, Instant::now() + wait)
            .await
    }

    async fn open(&self, address: SocketAddr, deadline: Instant) -> Result<Connection, Cause> {
        let settings = self.pool.settings();
        let deadline = deadline.min(Instant::now() + settings.connect_timeout);
        timeout_at(deadline, connect(address, settings, &self.transferred))
            .await
            .unwrap_or(Err(Cause::ConnectTimeout))
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<ResponseBody>, Error> {
        connection.untaken.reset();
        let sent = connection.sender.try_send_request(request);
        // On a time-out the connection is dropped and closed, so a late
        // response can't be taken for that of another request.
        let Ok(result) = timeout_at(deadline, sent).await else {
            return Err(Error::Unknown(Cause::ResponseTimeout));
        };
        match result {
            Ok(response) => {
                connection.untaken.reset();
                let (head, body) = response.into_parts();
                let pool = self.pool.clone();
                let body = ResponseBody::new(&head.headers, body, connection, pool);
                Ok(Response::from_parts(head, body))
            }
            Err(mut failure) => match failure.take_message() {
                Some(unsent) => Err(not_sent(
                    Cause::Connection(failure.into_error().into()),
                    Some(unsent),
                )),
                None => Err(Error::Unknown(Cause::Connection(
                    failure.into_error().into(),
                ))),
            },
        }
    }
}

fn not_sent(cause: Cause, request: Option<Request<Body>>) -> Error {
    Error::NotSent {
        cause,
        request: request.map(Box::new),
    }
}

fn set_default_host(request: &mut Request<Body>, address: SocketAddr) {
    if request.headers().contains_key(HOST) {
        return;
    }
    let host = HeaderValue::try_from(address.to_string())
        .expect("an address has only characters that a header value may hold");
    request.headers_mut().insert(HOST, host);
}

/// Enables TCP keep-alive, so that the system detects a peer whose machine is
/// gone.
///
/// A machine that loses power or network closes no connections. Without probes
/// a stream from it would stay silent forever and look like a long prefill. The
/// kernel of a live machine answers probes however busy its process is, so this
/// never ends a slow stream.
fn enable_keepalive(stream: &TcpStream, dead_after: Duration) -> std::io::Result<()> {
    let interval = (dead_after / (KEEPALIVE_PROBES + 1)).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

// The sizes of the buffers are set first, since the window that is announced when a
// connection opens follows from them.
fn open_socket(address: SocketAddr, settings: &Settings) -> std::io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if let Some(bytes) = settings.socket_buffer_bytes {
        let limited = socket
            .set_recv_buffer_size(bytes)
            .and_then(|()| socket.set_send_buffer_size(bytes));
        if let Err(error) = limited {
            log::debug!(error:% = error; "socket buffers not limited");
        }
    }
    Ok(socket)
}

async fn connect(
    address: SocketAddr,
    settings: &Settings,
    transferred: &TransferCounter,
) -> Result<Connection, Cause> {
    let socket = open_socket(address, settings).map_err(Cause::Connect)?;
    let stream = socket.connect(address).await.map_err(Cause::Connect)?;
    transferred.record_open();
    // Small frames of a token stream must not be delayed until the previous
    // one is acknowledged.
    stream.set_nodelay(true).map_err(Cause::Connect)?;
    enable_keepalive(&stream, settings.dead_after).map_err(Cause::Connect)?;
    let untaken = Untaken::default();
    let unwritten = Unwritten::default();
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(settings.buffer_bytes)
        .handshake(TokioIo::new(MeteredStream::new(
            stream,
            transferred.clone(),
            settings.ack_timeout,
            untaken.clone(),
            unwritten.clone(),
        )))
        .await
        .map_err(|error| Cause::Connection(error.into()))?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            ::log::debug!(address:% = address, error:% = error; "connection ended");
        }
    });
    let driver = driver.abort_handle();
    Ok(Connection::new(address, sender, driver, untaken, unwritten))
}

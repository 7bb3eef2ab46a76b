//! HTTP/1.1 connections to endpoints, peers and the platform, pooled.
//!
//! The pool is our own, over hyper's low-level client. hyper-util's pooled
//! client is not used: when a pooled connection turns out to be closed it may
//! send the request again by itself, and a caller of that client can't tell
//! one attempt from two. At most once rests on knowing that, so the rules are:
//!
//! - A request is written to one connection at most. Nothing here repeats it.
//! - Each failure says which it is: [`Error::NotSent`] only when no byte of
//!   the request was handed to a socket, [`Error::Unknown`] otherwise. The
//!   line is drawn by hyper: it gives an unsent request back, and it does so
//!   only if it has not begun to serialize it.
//! - A server may close an idle connection at any time. If that is seen before
//!   the request is serialized, hyper gives it back and the next connection is
//!   tried: no byte has left, so this is not a second attempt. If it is seen
//!   later the fate is unknown, and the caller is told so.
//! - A caller that drops the future of [`Connector::send`] must assume
//!   unknown. [`Connector::send`] takes the time-out itself to be exact there.
//!
//! A response body that is dropped before its end closes the connection at
//! once, which is how an endpoint learns that the caller went away.

mod meter;
mod pool;
mod received;

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
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use self::meter::{MeteredStream, TransferCounter};
pub use self::pool::Settings;
use self::pool::{Connection, Pool};
pub use self::received::ResponseBody;

/// Probes without an answer after which a peer counts as gone: a single lost
/// packet must not cut a stream.
const KEEPALIVE_PROBES: u32 = 3;

/// An error of a body or a connection below this module.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// The body of a request, streamed or whole.
pub type Body = UnsyncBoxBody<Bytes, BoxError>;

/// Why a request has no response.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// not sent: {cause}; it may be sent elsewhere
    NotSent {
        /// Why.
        cause: Cause,
        /// The request with its body untouched, to be sent elsewhere; `None`
        /// if the connection swallowed it unsent.
        request: Option<Box<Request<Body>>>,
    },
    /// fate unknown: {0}; repeat only what may run twice
    Unknown(Cause),
}

/// What went wrong with a connection.
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

/// How a connection failed, with what lies below.
#[derive(Debug)]
pub struct Failure(hyper::Error);

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        match self.0.source() {
            // hyper's own text names its part only: "connection error".
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
    /// Returns whether the other machine gave no sign of life: no connection
    /// came about, or nothing that was sent was confirmed.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        match self {
            Self::Connect(_) | Self::ConnectTimeout => true,
            Self::ResponseTimeout => false,
            Self::Connection(failure) => is_ack_timeout(&failure.0),
        }
    }
}

/// Returns whether a connection ended since the other machine confirmed
/// nothing that was sent.
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
    /// Makes a connector with an empty pool.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            pool: Pool::new(settings),
            transferred: TransferCounter::default(),
        }
    }

    /// Returns the bytes that its connections have cost so far, both ways:
    /// payload as counted, and the TCP and IP headers of its packets and
    /// their acknowledgements as estimated from reads, writes and opens.
    #[must_use]
    pub fn wire_bytes(&self) -> u64 {
        self.transferred.bytes()
    }

    /// Sends a request to an address and returns the response's head.
    ///
    /// The request's URI is in origin form (`/path?query`). A missing `Host`
    /// is set to the address. `wait` bounds the time until the response's
    /// head; the body that follows has no time-out here.
    ///
    /// Must run within a tokio runtime, which then drives the connection.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if no byte of the request can have left, else
    /// [`Error::Unknown`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Error> {
        self.send_with_max_idle(address, request, wait, Duration::MAX)
            .await
    }

    /// Sends a request over a connection opened for it; else as
    /// [`Connector::send`].
    ///
    /// This is for requests that may run at most once. A server that closes
    /// its idle connections, as one that is leaving does, may do so in the
    /// very moment at which a request is written to one; the request's fate is
    /// then unknown though nobody ever saw it. A new connection is accepted,
    /// or the request is certainly not sent. It costs a round trip; afterwards
    /// the connection goes to the pool like any other.
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

    /// Sends a request over a connection that was idle for less than `max_idle`,
    /// or over one opened for it; else as [`Connector::send`].
    ///
    /// It lies between the two: a server that forgets idle connections sooner
    /// than it says does so with those that rested, and a busy connection
    /// saves the round trip.
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
                // serialized: no byte has left, so the next one is tried. A
                // fresh one that does this has a broken server behind it.
                Err(Error::NotSent {
                    request: Some(unsent),
                    ..
                }) if !is_new => request = *unsent,
                result => return result,
            }
        }
    }

    /// Returns how many connections to an address are idle in the pool.
    #[must_use]
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        self.pool.idle_count(address)
    }

    /// Closes the idle connections to an address, as when its machine was
    /// found dark: what is written to one of them has an unknown fate, while a
    /// new connection that can't be opened proves that nothing was sent.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
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
        let sent = connection.sender.try_send_request(request);
        // On a time-out the connection is dropped and closed: a late answer
        // then has no reader and can't reach another request.
        let Ok(result) = timeout_at(deadline, sent).await else {
            return Err(Error::Unknown(Cause::ResponseTimeout));
        };
        match result {
            Ok(response) => {
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

/// Has the system notice a peer whose machine is gone.
///
/// A machine that loses power or network closes nothing: without probes a
/// stream from it stays silent for ever, as a long prefill does. A live machine
/// answers probes however busy its process is, so this never cuts a slow one.
fn enable_keepalive(stream: &TcpStream, dead_after: Duration) -> std::io::Result<()> {
    let interval = (dead_after / (KEEPALIVE_PROBES + 1)).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

async fn connect(
    address: SocketAddr,
    settings: &Settings,
    transferred: &TransferCounter,
) -> Result<Connection, Cause> {
    let stream = TcpStream::connect(address).await.map_err(Cause::Connect)?;
    transferred.record_open();
    // Small frames of a token stream must not wait for an acknowledgement.
    stream.set_nodelay(true).map_err(Cause::Connect)?;
    enable_keepalive(&stream, settings.dead_after).map_err(Cause::Connect)?;
    if settings.ack_timeout.is_some() {
        SockRef::from(&stream)
            .set_tcp_user_timeout(settings.ack_timeout)
            .map_err(Cause::Connect)?;
    }
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(settings.buffer_bytes)
        .handshake(TokioIo::new(MeteredStream::new(
            stream,
            transferred.clone(),
        )))
        .await
        .map_err(|error| Cause::Connection(error.into()))?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            ::log::debug!(address:% = address, error:% = error; "connection ended");
        }
    });
    Ok(Connection::new(address, sender, driver.abort_handle()))
}

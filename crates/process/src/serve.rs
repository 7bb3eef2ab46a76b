//! Listening sockets and the connections on them.
//!
//! Ports differ in what they answer and share how connections are kept: bounded
//! buffers, a bounded time for a head, and an orderly end. At a shutdown a
//! connection between two requests is closed, and a busy one finishes its
//! request, whose answer says `Connection: close`.

mod pace;
mod silence;

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Version};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

pub use self::pace::Within;
use self::pace::{Answer, Paced, Requests};

/// An error of a response's body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Bounds on what the other side of a connection may do.
#[derive(Clone)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// How long a connection may take to send its next head. hyper counts the
    /// time that a connection is idle, too.
    pub head_time: Duration,
    /// How long a head may take once its first byte came; `None` if only the
    /// other bound holds.
    pub head_within: Option<Within>,
}

impl fmt::Debug for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limits")
            .field("head_bytes", &self.head_bytes)
            .field("head_time", &self.head_time)
            .field(
                "head_within",
                &self.head_within.as_ref().map(|within| within()),
            )
            .finish()
    }
}

/// How long a connection may stay open before its first byte. Balancers open
/// some ahead of need; common servers close them after a minute.
const SILENCE: Duration = Duration::from_mins(1);

/// The pause after a connection could not be accepted, as when files run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that hyper buffers beyond the limit of a head, so that a head just
/// above the limit gets an answer that says so.
const BEYOND: usize = 16 << 10;

/// A bound port.
#[derive(Debug)]
pub struct Port {
    /// The address, with the port that was free if 0 was asked for.
    pub address: SocketAddr,
    listener: std::net::TcpListener,
}

impl Port {
    /// Binds an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken or not this machine's.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        // A replaced instance must not wait for its predecessor's connections
        // to time out.
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = std::net::TcpListener::from(socket);
        Ok(Self {
            address: listener.local_addr()?,
            listener,
        })
    }
}

/// Connections that wait to be accepted; the default limit of Linux.
const BACKLOG: i32 = 4096;

/// Accepts connections until `closing` says so or is dropped, then ends them
/// in order.
///
/// Returns when the last connection has ended.
pub async fn run<H, F, B>(port: Port, limits: Limits, mut closing: watch::Receiver<bool>, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
{
    let listener = match TcpListener::from_std(port.listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address:% = port.address, error:% = error; "can't listen");
            return;
        }
    };
    let builder = Arc::new(builder(&limits));
    let within = limits.head_within;
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let closing = closing.clone();
                let paced = within.clone();
                connection(stream, closing, &builder, &graceful, paced, handle.clone());
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection<H, F, B>(
    stream: TcpStream,
    closing: watch::Receiver<bool>,
    builder: &Arc<auto::Builder<TokioExecutor>>,
    graceful: &GracefulShutdown,
    within: Option<Within>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
{
    // Tokens are small and must not wait for an acknowledgement.
    drop(stream.set_nodelay(true));
    silence::keep_alive(&stream, silence::UNREAD);
    let requests = Arc::<Requests>::default();
    let noted = Arc::clone(&requests);
    let service = service_fn(move |request: Request<Incoming>| {
        let open = noted.begin(request.version() == Version::HTTP_2);
        // Boxed: hyper keeps room for this future as long as the connection is
        // open, and 10,000 idle ones took 40 KB each for it.
        let answer = Box::pin(handle(request));
        async move { Ok::<_, Infallible>(answer.await.map(|body| Answer::new(body, open))) }
    });
    let builder = Arc::clone(builder);
    let watcher = graceful.watcher();
    tokio::spawn(async move {
        if !silence::first_byte(&stream, SILENCE, closing).await {
            return;
        }
        let connection = builder
            .serve_connection(TokioIo::new(Paced::new(stream, requests, within)), service)
            .into_owned();
        if let Err(error) = watcher.watch(connection).await {
            log::debug!(error:% = error; "connection ended");
        }
    });
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes + BEYOND);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.head_bytes + BEYOND).unwrap_or(u32::MAX));
    builder
}

#[cfg(test)]
mod tests;

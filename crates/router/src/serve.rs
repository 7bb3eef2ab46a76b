//! Listening sockets and the connections on them.
//!
//! The three ports differ in what they answer ([`callers`], [`peers`],
//! [`operators`]) and share how connections are kept: bounded buffers, a
//! bounded time for a head, and an orderly end. At a shutdown a connection
//! between two requests is closed, and a busy one finishes its request, whose
//! answer says `Connection: close`.

pub(crate) mod callers;
pub(crate) mod operators;
pub(crate) mod peers;
mod silence;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_platform::connect::Body;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long a connection may take to send its next head.
///
/// hyper counts the time that a connection is idle, too. Balancers keep idle
/// connections for up to a minute; one that is closed under them just as they
/// send an order leaves its fate unknown, so this is longer.
const HEAD_TIME: Duration = Duration::from_secs(75);

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
pub(crate) struct Port {
    pub(crate) address: SocketAddr,
    listener: std::net::TcpListener,
}

impl Port {
    /// Binds an address; port 0 takes a free one.
    pub(crate) fn bind(address: SocketAddr) -> std::io::Result<Self> {
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
pub(crate) async fn run<H, F>(
    port: Port,
    head_bytes: usize,
    mut closing: watch::Receiver<bool>,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = match TcpListener::from_std(port.listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(address:% = port.address, error:% = error; "can't listen");
            return;
        }
    };
    let builder = Arc::new(builder(head_bytes));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let closing = closing.clone();
                connection(stream, closing, &builder, &graceful, handle.clone());
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

fn connection<H, F>(
    stream: TcpStream,
    closing: watch::Receiver<bool>,
    builder: &Arc<auto::Builder<TokioExecutor>>,
    graceful: &GracefulShutdown,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // Tokens are small and must not wait for an acknowledgement.
    drop(stream.set_nodelay(true));
    silence::keep_alive(&stream, silence::UNREAD);
    let service = service_fn(move |request| {
        // Boxed: hyper keeps room for this future as long as the connection is
        // open, and 10,000 idle ones took 40 KB each for it.
        let answer = Box::pin(handle(request));
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let builder = Arc::clone(builder);
    let watcher = graceful.watcher();
    tokio::spawn(async move {
        if !silence::first_byte(&stream, SILENCE, closing).await {
            return;
        }
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        if let Err(error) = watcher.watch(connection).await {
            log::debug!(error:% = error; "connection ended");
        }
    });
}

fn builder(head_bytes: usize) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(head_bytes + BEYOND);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(head_bytes + BEYOND).unwrap_or(u32::MAX));
    builder
}

//! Listening sockets and the connections on them.
//!
//! All ports share the handling of connections: bounded buffers, a time limit for
//! heads, and a graceful shutdown. At a shutdown idle connections are closed, and a
//! busy one finishes its request, whose response has `Connection: close`.

mod backlog;
mod intake;
mod pace;
mod silence;
mod unread;

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Version};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, watch};

pub use self::backlog::Backlog;
use self::intake::{Intake, Taken};
pub use self::pace::HeadTimeout;
use self::pace::{HeadTimeoutStream, Requests, TrackedBody};
use self::unread::Writes;

/// An error of a response's body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Limits on the client of a connection.
#[derive(Clone)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// How long a connection may take to send its next head. hyper includes the time
    /// for which the connection is idle.
    pub head_time: Duration,
    /// How long a head may take after its first byte; `None` if only the other limit
    /// applies.
    pub head_timeout: Option<HeadTimeout>,
    /// How long new connections may wait to be taken. When others have waited for longer,
    /// they are closed unread. `None` if none is.
    pub intake_wait: Option<IntakeWait>,
    /// Limits on clients that read slowly or nothing; `None` if there are none but the
    /// system's.
    pub slow_clients: Option<SlowClients>,
}

/// Limits on clients that read slowly or nothing.
#[derive(Clone)]
pub struct SlowClients {
    /// Size of the system's send buffer of each connection, which the system doubles for its
    /// own use.
    pub send_buffer_bytes: usize,
    /// How long a client may take nothing of what is written to it before its connection is
    /// reset.
    pub max_unread: Duration,
    /// Is called for each connection that is reset.
    pub disconnected: Arc<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for SlowClients {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SlowClients")
            .field("send_buffer_bytes", &self.send_buffer_bytes)
            .field("max_unread", &self.max_unread)
            .finish_non_exhaustive()
    }
}

/// How long new connections may wait, and what is called for each that is closed unread.
#[derive(Clone)]
pub struct IntakeWait {
    /// The longest wait.
    pub max_wait: Duration,
    /// Is called for each connection that is closed unread.
    pub turned_away: Arc<dyn Fn() + Send + Sync>,
}

impl fmt::Debug for IntakeWait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("IntakeWait")
            .field("max_wait", &self.max_wait)
            .finish_non_exhaustive()
    }
}

impl fmt::Debug for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Limits")
            .field("head_bytes", &self.head_bytes)
            .field("head_time", &self.head_time)
            .field(
                "head_timeout",
                &self.head_timeout.as_ref().map(|timeout| timeout()),
            )
            .field("intake_wait", &self.intake_wait)
            .field("slow_clients", &self.slow_clients)
            .finish()
    }
}

/// How long a connection may stay open before its first byte. Load balancers open
/// some in advance; common servers close them after a minute.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_mins(1);

/// The pause after a failure to accept a connection, for example because of a lack
/// of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that hyper buffers beyond the limit of a head, so that a head slightly above
/// the limit still gets a response that reports it.
const HEAD_BUFFER_MARGIN: usize = 16 << 10;

/// Bytes that are buffered for each response of an HTTP/2 connection. The default is 400 KiB.
const MAX_STREAM_BUFFER_BYTES: usize = 64 << 10;

/// A bound port.
#[derive(Debug)]
pub struct Port {
    /// The address, with the assigned port if port 0 was requested.
    pub address: SocketAddr,
    listener: std::net::TcpListener,
}

impl Port {
    /// Binds an address. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or not an address of this machine.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        // An instance must be able to start before the connections of the one it
        // replaces have timed out.
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

/// Maximum number of connections waiting to be accepted; the default limit of Linux.
const BACKLOG: i32 = 4096;

/// Accepts connections until `closing` is true or dropped, then shuts down
/// gracefully.
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
    let client = ClientLimits {
        head_timeout: limits.head_timeout,
        slow_clients: limits.slow_clients,
    };
    let intake_wait = limits.intake_wait;
    let max_wait = intake_wait.as_ref().map(|intake| intake.max_wait);
    let mut intake = Intake::new(listener, max_wait);
    let graceful = GracefulShutdown::new();
    loop {
        let taken = tokio::select! {
            taken = intake.next() => taken,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        match taken {
            Ok(Taken::TurnAway(stream)) => {
                drop(stream);
                if let Some(intake) = &intake_wait {
                    (intake.turned_away)();
                }
            }
            Ok(Taken::Serve(stream, unread)) => {
                let closing = closing.clone();
                spawn_connection(
                    stream,
                    unread,
                    closing,
                    &builder,
                    &graceful,
                    client.clone(),
                    handle.clone(),
                );
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(intake);
    graceful.shutdown().await;
}

// The limits on the client of a connection beside hyper's.
#[derive(Clone)]
struct ClientLimits {
    head_timeout: Option<HeadTimeout>,
    slow_clients: Option<SlowClients>,
}

fn spawn_connection<H, F, B>(
    stream: TcpStream,
    unread: Option<OwnedSemaphorePermit>,
    closing: watch::Receiver<bool>,
    builder: &Arc<auto::Builder<TokioExecutor>>,
    graceful: &GracefulShutdown,
    client: ClientLimits,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes, Error = BoxError> + Send + 'static,
{
    // Small frames of tokens must not be delayed until the previous one is
    // acknowledged.
    drop(stream.set_nodelay(true));
    silence::enable_keep_alive(&stream, silence::UNACKNOWLEDGED_TIMEOUT);
    if let Some(slow_clients) = &client.slow_clients {
        limit_send_buffer(&stream, slow_clients.send_buffer_bytes);
    }
    let requests = Arc::<Requests>::default();
    let backlog = Arc::<Backlog>::default();
    let of_requests = Arc::clone(&backlog);
    let tracked = Arc::clone(&requests);
    let unread = Arc::new(Mutex::new(unread));
    let first = Arc::clone(&unread);
    let service = service_fn(move |mut request: Request<Incoming>| {
        release(&first);
        if request.version() == Version::HTTP_2 {
            of_requests.record_multiplexed();
        }
        request.extensions_mut().insert(Arc::clone(&of_requests));
        let open = tracked.begin(request.version());
        // Boxed, because hyper reserves space for this future while the connection
        // is open. Without the box, 10,000 idle connections took 40 KB each.
        let answer = Box::pin(handle(request));
        async move { Ok::<_, Infallible>(answer.await.map(|body| TrackedBody::new(body, open))) }
    });
    let builder = Arc::clone(builder);
    let watcher = graceful.watcher();
    tokio::spawn(async move {
        {
            let mut first_byte = pin!(silence::first_byte(&stream, FIRST_BYTE_TIMEOUT, closing));
            let has_sent = tokio::select! {
                biased;
                has_sent = &mut first_byte => has_sent,
                () = std::future::ready(()) => {
                    // Nothing is there to be read; a client may open connections in advance.
                    release(&unread);
                    first_byte.await
                }
            };
            if !has_sent {
                return;
            }
        }
        let connection = builder
            .serve_connection(
                TokioIo::new(HeadTimeoutStream::new(
                    stream,
                    requests,
                    client.head_timeout,
                    Writes::new(backlog, client.slow_clients),
                )),
                service,
            )
            .into_owned();
        if let Err(error) = watcher.watch(connection).await {
            log::debug!(error:% = error; "connection ended");
        }
    });
}

// By default the system's send buffer grows to megabytes.
fn limit_send_buffer(stream: &TcpStream, bytes: usize) {
    if let Err(error) = socket2::SockRef::from(stream).set_send_buffer_size(bytes) {
        log::debug!(error:% = error; "send buffer not limited");
    }
}

// Ends the time in which a connection counts as unread.
fn release(unread: &Mutex<Option<OwnedSemaphorePermit>>) {
    drop(unread.lock().unwrap_or_else(PoisonError::into_inner).take());
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes + HEAD_BUFFER_MARGIN);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_send_buf_size(MAX_STREAM_BUFFER_BYTES)
        .max_header_list_size(
            u32::try_from(limits.head_bytes + HEAD_BUFFER_MARGIN).unwrap_or(u32::MAX),
        );
    builder
}

#[cfg(test)]
mod tests;

//! Idle connections, kept for the next request to the same address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::Body;

/// Limits of a [`super::Connector`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Connections to one address that stay open without a request.
    pub max_idle_per_address: usize,
    /// Connections to all addresses together that stay open without a request.
    pub max_idle: usize,
    /// How long a connection may stay open without a request. Less than the
    /// time after which servers close idle connections, so that few requests
    /// meet a connection that is being closed.
    pub idle_timeout: Duration,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long after its last sign a machine counts as gone, in seconds of
    /// four at least. It bounds how long a stream from it stays silent.
    pub dead_after: Duration,
    /// How long what was sent may stay without the other machine's word that
    /// it arrived; `None` leaves it to the system, which waits for minutes.
    ///
    /// A machine that is dark takes requests on open connections and says
    /// nothing. A live one, however busy, confirms within a round trip.
    pub ack_timeout: Option<Duration>,
    /// Bytes buffered for one connection in each direction; also the limit of
    /// a response's head. hyper allows no less than 8 KiB.
    pub buffer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // A router of six in front of ten runners with 16 slots each has
            // about 27 requests on each of them.
            max_idle_per_address: 32,
            // At 53 requests a second and instance 212 connections at most were
            // used in the last 4 s. One takes about 22 KB; see the design
            // note on the log's client.
            max_idle: 512,
            // Common servers close after 5 s to 75 s.
            idle_timeout: Duration::from_secs(4),
            // Two zones are 1.5 ms apart; a SYN that was lost is sent again
            // after 1 s.
            connect_timeout: Duration::from_millis(1500),
            // Twice what a switch takes to converge on another path.
            dead_after: Duration::from_secs(8),
            ack_timeout: None,
            buffer_bytes: 64 * 1024,
        }
    }
}

/// One open connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<Body>,
    // How long the server keeps it open without a request, if it says so.
    server_idle_timeout: Option<Duration>,
    driver: AbortHandle,
}

/// The part of the server's own time-out after which a connection is no longer
/// used. The server counts from its last byte, and a request has to arrive
/// before it closes: half leaves the network and a stalled process the rest.
const SERVER_TIMEOUT_DIVISOR: u32 = 2;

impl Connection {
    pub(super) fn new(address: SocketAddr, sender: SendRequest<Body>, driver: AbortHandle) -> Self {
        Self {
            address,
            sender,
            server_idle_timeout: None,
            driver,
        }
    }

    /// Notes how long the server keeps the connection open without a request.
    pub(super) const fn set_server_idle_timeout(&mut self, time: Duration) {
        self.server_idle_timeout = Some(time);
    }

    // How long it may stay idle and still be used.
    fn idle_timeout(&self, settings: &Settings) -> Duration {
        self.server_idle_timeout
            .map_or(settings.idle_timeout, |server_idle_timeout| {
                settings
                    .idle_timeout
                    .min(server_idle_timeout / SERVER_TIMEOUT_DIVISOR)
            })
    }
}

impl Drop for Connection {
    // Without this hyper would read a response nobody wants until the other
    // side ends it, and an engine would go on generating for a caller that
    // has gone.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

#[derive(Debug, Default)]
struct State {
    idle: BTreeMap<SocketAddr, Vec<Idle>>,
    // Idle connections to all addresses.
    count: usize,
    last_sweep: Option<Instant>,
}

/// The idle connections of one connector.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    settings: Arc<Settings>,
    state: Arc<Mutex<State>>,
}

impl Pool {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            settings: Arc::new(settings),
            state: Arc::default(),
        }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Takes the connection to an address that was used last, if one is open
    /// that was idle for less than `max_idle`.
    pub(super) fn take_recent(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<Connection> {
        let state = &mut *self.lock();
        let idle = state.idle.get_mut(&address)?;
        let connection = loop {
            // Those below it rested for longer.
            let Some(last) = idle.pop_if(|last| last.since.elapsed() < max_idle) else {
                break None;
            };
            state.count -= 1;
            let usable = last.since.elapsed() < last.connection.idle_timeout(&self.settings);
            if usable && last.connection.sender.is_ready() {
                break Some(last.connection);
            }
        };
        if idle.is_empty() {
            state.idle.remove(&address);
        }
        connection
    }

    /// Keeps a connection whose exchange is over, once hyper is ready for the
    /// next one.
    pub(super) fn release(&self, mut connection: Connection) {
        if connection.sender.is_ready() {
            return self.insert_idle(connection);
        }
        let pool = self.clone();
        tokio::spawn(async move {
            // A server may end its response before the request's body was
            // sent; the time-out keeps such a connection from staying.
            let ready =
                tokio::time::timeout(pool.settings.idle_timeout, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                pool.insert_idle(connection);
            }
        });
    }

    /// Closes the idle connections to an address.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        let state = &mut *self.lock();
        let closed = state.idle.remove(&address).map_or(0, |idle| idle.len());
        state.count -= closed;
    }

    pub(super) fn idle_count(&self, address: SocketAddr) -> usize {
        self.lock().idle.get(&address).map_or(0, Vec::len)
    }

    fn insert_idle(&self, connection: Connection) {
        let now = Instant::now();
        let state = &mut *self.lock();
        self.close_expired(state, now);
        let idle = state.idle.entry(connection.address).or_default();
        let has_capacity = state.count < self.settings.max_idle;
        if has_capacity && idle.len() < self.settings.max_idle_per_address {
            idle.push(Idle {
                connection,
                since: now,
            });
            state.count += 1;
        }
    }

    // Addresses of endpoints that left are never asked for again, so nothing
    // but this closes their connections on our side.
    fn close_expired(&self, state: &mut State, now: Instant) {
        let due = state
            .last_sweep
            .is_none_or(|last| now - last >= self.settings.idle_timeout);
        if !due {
            return;
        }
        state.last_sweep = Some(now);
        state.idle.retain(|_, idle| {
            idle.retain(|entry| {
                let usable = now - entry.since < entry.connection.idle_timeout(&self.settings);
                usable && !entry.connection.sender.is_closed()
            });
            !idle.is_empty()
        });
        state.count = state.idle.values().map(Vec::len).sum();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock can panic half-way through a change.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

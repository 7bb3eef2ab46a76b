//! A pool of idle connections, reused for later requests to the same address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::Body;
use super::untaken::Untaken;
use super::unwritten::Unwritten;

/// Limits of a [`super::Connector`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of idle connections to one address.
    pub max_idle_per_address: usize,
    /// Maximum number of idle connections to all addresses together.
    pub max_idle: usize,
    /// How long a connection may stay idle. It should be shorter than the time
    /// after which servers close idle connections, so that few requests are
    /// sent on a connection that is being closed.
    pub idle_timeout: Duration,
    /// How long opening a connection may take at most.
    pub connect_timeout: Duration,
    /// How long after its last packet a machine counts as gone, in whole
    /// seconds and at least four. This limits how long a stream from a machine
    /// that is gone stays silent.
    pub dead_after: Duration,
    /// How long sent data may stay unacknowledged by the other machine. `None`
    /// uses the default of the system, which is minutes.
    ///
    /// Requests can still be written to open connections to an unreachable
    /// machine, without any response. The kernel of a live machine acknowledges
    /// them within a round trip, however busy the machine is. It doesn't limit how long
    /// the machine may be silent, which `dead_after` does.
    pub ack_timeout: Option<Duration>,
    /// Bytes buffered per connection and direction, which is also the maximum
    /// size of a response head. hyper requires at least 8 KiB.
    pub buffer_bytes: usize,
    /// Size of the system's buffers per connection and direction, which the system doubles
    /// for its own use. `None` has the system choose, up to some megabytes.
    pub socket_buffer_bytes: Option<u32>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // One of six routers in front of ten runners with 16 slots each
            // has about 27 requests on each runner.
            max_idle_per_address: 32,
            // At 53 requests per second and instance, at most 212 connections
            // were used within 4 s. Each takes about 22 KB; see the design
            // note on the log client.
            max_idle: 512,
            // Common servers close idle connections after 5 s to 75 s.
            idle_timeout: Duration::from_secs(4),
            // Two zones are 1.5 ms apart, and a lost SYN is retransmitted after
            // 1 s.
            connect_timeout: Duration::from_millis(1500),
            // Twice the time that a switch takes to converge on another path.
            dead_after: Duration::from_secs(8),
            ack_timeout: None,
            buffer_bytes: 64 * 1024,
            socket_buffer_bytes: None,
        }
    }
}

/// One open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<Body>,
    // How long the server keeps it open while idle, if announced.
    server_idle_timeout: Option<Duration>,
    driver: AbortHandle,
    pub(super) untaken: Untaken,
    pub(super) unwritten: Unwritten,
}

/// The server's idle time-out is divided by this to get the time after which a
/// connection is no longer used. The server counts from its last byte, and a
/// request has to arrive before it closes the connection, so the other half is
/// left for network delay and a stalled process.
const SERVER_TIMEOUT_DIVISOR: u32 = 2;

impl Connection {
    pub(super) fn new(
        address: SocketAddr,
        sender: SendRequest<Body>,
        driver: AbortHandle,
        untaken: Untaken,
        unwritten: Unwritten,
    ) -> Self {
        Self {
            address,
            sender,
            server_idle_timeout: None,
            driver,
            untaken,
            unwritten,
        }
    }

    /// Sets how long the server keeps the connection open while idle.
    pub(super) const fn set_server_idle_timeout(&mut self, time: Duration) {
        self.server_idle_timeout = Some(time);
    }

    // Returns how long it may stay idle and still be reused.
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
    // Without this, hyper would read an unwanted response until the server
    // ends it, and an engine would keep generating for a caller that has
    // disconnected.
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
    // Number of idle connections to all addresses.
    count: usize,
    last_sweep: Option<Instant>,
}

/// The idle connections of one connector.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    settings: Arc<Settings>,
    max_idle_per_address: Arc<AtomicUsize>,
    state: Arc<Mutex<State>>,
}

impl Pool {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            max_idle_per_address: Arc::new(AtomicUsize::new(settings.max_idle_per_address)),
            settings: Arc::new(settings),
            state: Arc::default(),
        }
    }

    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Limits the idle connections to one address, up to the limit in the settings.
    pub(super) fn limit_idle(&self, per_address: usize) {
        let limit = per_address.min(self.settings.max_idle_per_address);
        self.max_idle_per_address.store(limit, Ordering::Relaxed);
    }

    /// Removes and returns the most recently used open connection to an address
    /// if it was idle for less than `max_idle`.
    pub(super) fn take_recent(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Option<Connection> {
        let state = &mut *self.lock();
        let idle = state.idle.get_mut(&address)?;
        let connection = loop {
            // The connections below it were idle for longer.
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

    /// Returns whether [`Self::take_recent`] would find a connection.
    pub(super) fn has_recent(&self, address: SocketAddr, max_idle: Duration) -> bool {
        let state = self.lock();
        let idle = state.idle.get(&address);
        let is_usable = |entry: &Idle| {
            let age = entry.since.elapsed();
            age < max_idle
                && age < entry.connection.idle_timeout(&self.settings)
                && entry.connection.sender.is_ready()
        };
        idle.is_some_and(|idle| idle.iter().rev().any(is_usable))
    }

    /// Returns a connection to the pool after its exchange, as soon as hyper is
    /// ready for the next one.
    pub(super) fn release(&self, mut connection: Connection) {
        if connection.sender.is_ready() {
            return self.insert_idle(connection);
        }
        let pool = self.clone();
        tokio::spawn(async move {
            // A server may end its response before the request body was sent.
            // The time-out closes such a connection eventually.
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
        // The connection that was idle for the shortest time can be used for the longest.
        let limit = self.max_idle_per_address.load(Ordering::Relaxed).max(1);
        let surplus = (idle.len() + 1).saturating_sub(limit);
        idle.drain(..surplus);
        state.count -= surplus;
        if state.count < self.settings.max_idle {
            idle.push(Idle {
                connection,
                since: now,
            });
            state.count += 1;
        }
    }

    // Closes expired connections. No more requests are sent to the addresses of
    // removed endpoints, so their connections would otherwise stay open on this
    // side.
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
        // No code can panic in the middle of an update while holding the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! What the threads of one instance share.
//!
//! The control thread publishes a [`View`] as a whole; traffic threads load it
//! and never wait. Counts of requests are behind short locks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{self, Connector};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, ServiceId};
use rand::RngExt;
use tokio::sync::watch;

use crate::board::Board;
use crate::book::Book;
use crate::budget::Budget;
use crate::dialect::Dialect;
use crate::holders::Directory;
use crate::lease::Lease;
use crate::metrics::{Metrics, Usage};
use crate::notices::Notices;
use crate::policy::{Policy, Ramp, Service};
use crate::ramp::{Count, Shares};
use crate::revoked::Revoked;
use crate::roster::Registration;
use crate::settings::Settings;
use crate::standby::Askers;
use crate::suspects::Suspects;
use crate::ways::Ways;

/// How long opening a connection to an endpoint may take. Endpoints are 2 ms
/// away and there and back; a dark one costs a request this much of its time.
/// A lost packet is sent again only after a second, so waiting longer gains
/// nothing.
const CONNECT: Duration = Duration::from_millis(250);

/// How long a request may stay unconfirmed by its endpoint's machine before
/// the connection counts as broken. A lost packet is sent again after 200 ms and
/// then 400 ms, so two in a row are borne; on a machine that went dark, orders
/// wait no longer than their callers do, which is 600 ms and more.
const UNCONFIRMED: Duration = Duration::from_millis(650);

/// How long a connection stays usable without a request, unless its endpoint
/// names a time. Common servers close after 5 s to 75 s.
const IDLE: Duration = Duration::from_secs(4);

/// Bytes of memory that one request in flight takes: two connections with
/// their buffers, and the state between them.
const REQUEST_BYTES: usize = 96 << 10;

/// The part of the memory that requests in flight may fill.
const OF_MEMORY: usize = 2;

/// The part of the memory that callers' bodies may fill.
const BODIES: usize = 4;

/// One of how many endpoints of a service are a good part of it.
const GOOD_PART: usize = 10;

/// Endpoints by service.
pub(crate) type Services = BTreeMap<ServiceId, Vec<Arc<Registration>>>;

/// What is in force and where requests can go.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// The configuration, once there is one.
    pub(crate) policy: Option<Arc<Policy>>,
    /// Endpoints that may get new work, by service; once they were listed.
    pub(crate) endpoints: Option<Services>,
    /// Endpoints that are being left, by service. They get no new work, but what
    /// they hold can still be fetched.
    pub(crate) leaving: Services,
    /// Endpoints in evacuated zones, by service. They get nothing, and what they
    /// have ends there.
    pub(crate) evacuated: Services,
    /// When endpoints that are warming up will have done so.
    pub(crate) warm_at: BTreeMap<EndpointId, Moment>,
    /// Keys that were seen to be taken away.
    pub(crate) revoked: Arc<Revoked>,
}

impl View {
    /// Returns the endpoints of a service that may get new work.
    pub(crate) fn of(&self, service: ServiceId) -> &[Arc<Registration>] {
        self.endpoints
            .as_ref()
            .and_then(|endpoints| endpoints.get(&service))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns what an endpoint bears now, if it is warming up.
    pub(crate) fn ramp(&self, service: ServiceId, id: EndpointId, now: Moment) -> Option<Ramp> {
        self.warm_at.get(&id).filter(|warm_at| now < **warm_at)?;
        self.policy.as_ref()?.service(service)?.ramp
    }

    /// Returns the endpoints of a service that are in evacuated zones.
    pub(crate) fn evacuated(&self, service: ServiceId) -> &[Arc<Registration>] {
        self.evacuated.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a good part of any service takes nothing or little: it is in
    /// evacuated zones, or warming up.
    pub(crate) fn is_partial(&self, now: Moment) -> bool {
        let warms = |one: &&Arc<Registration>| {
            let warm_at = self.warm_at.get(&one.endpoint.id);
            warm_at.is_some_and(|warm_at| now < *warm_at)
        };
        let partial = |service: &ServiceId| {
            let used = self.of(*service);
            let evacuated = self.evacuated(*service).len();
            let out = evacuated + used.iter().filter(warms).count();
            out > 0 && out * GOOD_PART >= evacuated + used.len()
        };
        self.endpoints
            .iter()
            .flatten()
            .any(|(service, _)| partial(service))
            || self.evacuated.keys().any(partial)
    }

    /// Returns the endpoints of a service that are being left.
    pub(crate) fn leaving(&self, service: ServiceId) -> &[Arc<Registration>] {
        self.leaving.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a service that may hold what they were sent.
    pub(crate) fn holders(&self, service: ServiceId) -> impl Iterator<Item = &Arc<Registration>> {
        self.of(service).iter().chain(self.leaving(service))
    }

    /// Returns one of them by its id.
    pub(crate) fn holder(&self, service: ServiceId, id: EndpointId) -> Option<&Arc<Registration>> {
        self.holders(service).find(|one| one.endpoint.id == id)
    }
}

/// Groups endpoints by service.
pub(crate) fn by_service<'a>(registrations: impl Iterator<Item = &'a Registration>) -> Services {
    let mut services = Services::new();
    for registration in registrations {
        services
            .entry(registration.endpoint.service)
            .or_default()
            .push(Arc::new(registration.clone()));
    }
    services
}

/// What the threads share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    pub(crate) connector: Connector,
    pub(crate) metrics: Metrics,
    view: ArcSwap<View>,
    lease: Lease,
    // Nanoseconds on the boot clock at which the read was sent that last
    // confirmed the configuration; 0 if none did.
    confirmed: AtomicU64,
    // Moves when the view changes or is confirmed.
    beliefs: watch::Sender<()>,
    // When the process started.
    began: Moment,
    board: Mutex<Board>,
    // Moves when the board has news for peers.
    news: watch::Sender<u64>,
    // Whether the log can't be read.
    lost: watch::Sender<bool>,
    // Whether the log has to be read again before it is relied on.
    unsettled: AtomicBool,
    book: Mutex<Book>,
    notices: Mutex<Notices>,
    directory: Mutex<Directory>,
    budget: Mutex<Budget>,
    askers: Mutex<Askers>,
    suspects: Mutex<Suspects>,
    ways: Mutex<Ways>,
    shares: Mutex<Shares>,
    count: Mutex<Count>,
    in_flight: AtomicUsize,
    body_bytes: AtomicUsize,
    draining: AtomicBool,
}

impl Shared {
    pub(crate) fn new(settings: Settings, dialect: Dialect) -> Self {
        let connector = Connector::new(connect::Settings {
            connect_timeout: CONNECT,
            idle_for: IDLE,
            unconfirmed: Some(UNCONFIRMED),
            ..connect::Settings::default()
        });
        Self {
            metrics: Metrics::new(&settings.name),
            lease: Lease::new(settings.revocation),
            budget: Mutex::new(Budget::new(settings.retries)),
            settings,
            dialect,
            connector,
            view: ArcSwap::default(),
            confirmed: AtomicU64::new(0),
            beliefs: watch::channel(()).0,
            began: boot_time(),
            board: Mutex::new(Board::new(rand::rng().random_range(1..=u64::MAX))),
            news: watch::channel(0).0,
            lost: watch::channel(false).0,
            unsettled: AtomicBool::new(false),
            book: Mutex::default(),
            notices: Mutex::default(),
            directory: Mutex::default(),
            askers: Mutex::default(),
            suspects: Mutex::default(),
            ways: Mutex::default(),
            shares: Mutex::new(Shares::new(rand::rng().random())),
            count: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Returns the view in force.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view in force.
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        self.beliefs.send_replace(());
    }

    /// Notes that a read sent at `asked` confirmed the configuration that is
    /// published already.
    pub(crate) fn confirm(&self, asked: Moment) {
        let nanos = u64::try_from(asked.as_nanos()).unwrap_or(u64::MAX);
        self.confirmed.fetch_max(nanos, Ordering::Release);
        self.beliefs.send_replace(());
    }

    /// Returns when the configuration was last confirmed.
    pub(crate) fn confirmed(&self) -> Option<Moment> {
        match self.confirmed.load(Ordering::Acquire) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos)),
        }
    }

    /// Returns how long ago the configuration was last confirmed; since the
    /// machine's start if it never was.
    pub(crate) fn age(&self) -> Duration {
        since(boot_time(), self.confirmed().unwrap_or_default())
    }

    /// Returns whether keys may be acted on now.
    pub(crate) fn fresh(&self) -> bool {
        self.lease.holds(self.confirmed(), boot_time())
    }

    /// Returns whether callers should be sent here.
    pub(crate) fn ready(&self) -> bool {
        self.informed() && !self.draining()
    }

    /// Returns whether requests can be resolved and sent somewhere.
    pub(crate) fn informed(&self) -> bool {
        let view = self.view();
        view.policy.is_some() && view.endpoints.is_some() && self.fresh()
    }

    /// Returns how long ago the process started.
    pub(crate) fn uptime(&self) -> Duration {
        since(boot_time(), self.began)
    }

    /// Returns what moves when the view changes or is confirmed.
    pub(crate) fn beliefs(&self) -> watch::Receiver<()> {
        self.beliefs.subscribe()
    }

    /// Changes what peers are told; tells those that wait if it is news.
    pub(crate) fn tell<T>(&self, news: bool, change: impl FnOnce(&mut Board) -> T) -> T {
        let told = change(&mut self.board.lock().unwrap_or_else(PoisonError::into_inner));
        if news {
            self.news
                .send_modify(|count| *count = count.wrapping_add(1));
        }
        told
    }

    /// Notes whether the log can be read.
    pub(crate) fn set_lost(&self, lost: bool) {
        self.lost.send_if_modified(|known| {
            let changed = *known != lost;
            *known = lost;
            changed
        });
    }

    /// Notes whether the log has to be read again before it is relied on.
    pub(crate) fn set_unsettled(&self, unsettled: bool) {
        self.unsettled.store(unsettled, Ordering::Relaxed);
    }

    /// Returns whether the log has to be read again before it is relied on.
    pub(crate) fn is_unsettled(&self) -> bool {
        self.unsettled.load(Ordering::Relaxed)
    }

    /// Returns what tells whether the log can't be read.
    pub(crate) fn lost(&self) -> watch::Receiver<bool> {
        self.lost.subscribe()
    }

    /// Returns what moves when there is news for peers.
    pub(crate) fn news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, Book> {
        // No code that holds the lock can panic half-way through a change.
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what endpoints said of themselves in their answers.
    pub(crate) fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn askers(&self) -> MutexGuard<'_, Askers> {
        self.askers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether others ask this instance instead of the log now, or are to.
    pub(crate) fn is_asked(&self) -> bool {
        self.settings.reads_for_others() || self.askers().any(boot_time())
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn ways(&self) -> MutexGuard<'_, Ways> {
        self.ways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what was sent to endpoints that are warming up.
    pub(crate) fn shares(&self) -> MutexGuard<'_, Shares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in how many instances there are.
    pub(crate) fn counted(&self, instances: u32, now: Moment) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        count.learn(instances, now);
    }

    /// Returns how many instances there are, if that is known. One that nobody can
    /// ask or be asked by is alone.
    pub(crate) fn instances(&self, now: Moment) -> Option<u32> {
        if self.settings.listen.peers.is_none() {
            return Some(1);
        }
        let count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        count.known(now)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that nobody is at an endpoint's address, or that its machine gives
    /// no sign of life. Its other connections are as dead, so none of them is
    /// used again.
    pub(crate) fn endpoint_down(&self, endpoint: EndpointId, address: SocketAddr) {
        self.connector.forget(address);
        self.book().unreachable(endpoint, boot_time());
    }

    /// Brings the gauges of the services up to date.
    pub(crate) fn measure(&self) {
        let view = self.view();
        let policy = view.policy.iter();
        let services = policy.flat_map(|policy| &policy.content().services);
        let usage = |(id, service): (&ServiceId, &Service)| self.usage(*id, service, &view);
        self.metrics.measured(services.map(usage).collect());
    }

    fn usage(&self, id: ServiceId, service: &Service, view: &View) -> Usage {
        let now = boot_time();
        let of = view.of(id);
        let ids: Vec<EndpointId> = of.iter().map(|one| one.endpoint.id).collect();
        let book = self.book();
        let own = ids.iter().map(|id| f64::from(book.own(*id))).sum();
        let load = book.look(&ids, now).iter().map(|look| look.load).sum();
        drop(book);
        let idle = of
            .iter()
            .map(|one| self.connector.idle(one.endpoint.address));
        let idle = u32::try_from(idle.sum::<usize>()).unwrap_or(u32::MAX);
        Usage {
            service: service.name.clone(),
            in_flight: own,
            load,
            idle: f64::from(idle),
            repeats_left: self.budget().left(id, now),
        }
    }

    pub(crate) fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Takes room for one request; `None` if there is none.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<Admission> {
        let most = self.settings.memory / OF_MEMORY / REQUEST_BYTES;
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let admission = Admission {
            shared: Arc::clone(self),
            bytes: 0,
        };
        (before < most).then_some(admission)
    }
}

/// Room for a request and its body, given back when dropped.
#[derive(Debug)]
pub(crate) struct Admission {
    shared: Arc<Shared>,
    bytes: usize,
}

impl Admission {
    /// Takes room for a body; returns whether there was enough.
    pub(crate) fn hold(&mut self, bytes: usize) -> bool {
        let most = self.shared.settings.memory / BODIES;
        let before = self.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before.saturating_add(bytes) <= most
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;

//! State that the threads of one instance share.
//!
//! The control thread publishes a [`View`] as a whole; traffic threads load it without
//! waiting. Request counts are behind locks that are held briefly.

mod view;

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{self, Connector};
use godwitpost_decide::health::{Access, Event};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Endpoint;
use godwitpost_types::id::{EndpointId, ServiceId};
use rand::RngExt;
use tokio::sync::{Notify, watch};

pub(crate) use self::view::{View, by_service};
use crate::budget::Budget;
use crate::builds::Builds;
use crate::connections;
use crate::crashes::CrashTracker;
use crate::dialect::Dialect;
use crate::forwarders::Forwarders;
use crate::fragility::Fragility;
use crate::holders::Directory;
use crate::kept::Unwritten;
use crate::lease::Lease;
use crate::members::Members;
use crate::metrics::{Metrics, ServiceUsage};
use crate::notices::Notices;
use crate::origins::Origins;
use crate::overloads::Overloads;
use crate::pace::Pace;
use crate::paths::Paths;
use crate::policy::Service;
use crate::ramp::{InstanceCount, Shares};
use crate::reach::Reach;
use crate::readiness::Readiness;
use crate::replica::Replica;
use crate::settings::Settings;
use crate::shutdown::Shutdown;
use crate::standby::Pollers;
use crate::stats::{EndpointStats, LoadSample, Observation};
use crate::work::Work;

/// The round trip to an endpoint takes 2 ms, and an unreachable endpoint costs a request
/// this much time. A lost packet is only resent after a second, so a longer timeout gains
/// nothing.
const ENDPOINT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection to an instance that is to send a request on may take, before
/// another one is asked. A live one in another region accepts within 45 ms.
const FORWARDER_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// How long sent data may stay unacknowledged by an endpoint's machine before the
/// connection counts as broken. A lost packet is resent after 200 ms and again after 400
/// ms, so two losses in a row are tolerated. On a machine that became unreachable, orders
/// wait no longer than their callers do, which is 600 ms and more.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(650);

/// How long an endpoint's machine may send nothing at all before the connection counts as
/// broken: four keep-alive probes, each of which a live machine answers.
const SILENT_TIMEOUT: Duration = Duration::from_secs(4);

/// How long an idle connection is reused, unless its endpoint names a time. Common
/// servers close idle connections after 5 s to 75 s.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(4);

/// Size of the system's buffers for a connection to an endpoint or a forwarding instance. A
/// response that isn't read fills them. At a round trip of 2 ms, they allow for some
/// megabytes a second.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;

/// Memory that one in-flight request takes: two connections with their buffers, and the
/// state between them.
const BYTES_PER_REQUEST: usize = 96 << 10;

/// In-flight requests may use the configured memory divided by this.
const REQUEST_MEMORY_DIVISOR: usize = 2;

/// Callers' bodies may use the configured memory divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;

/// The shared state.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) dialect: Dialect,
    /// For connections to endpoints.
    pub(crate) connector: Connector,
    /// For connections to instances that send requests on.
    pub(crate) forward_connector: Connector,
    pub(crate) metrics: Metrics,
    view: ArcSwap<View>,
    lease: Lease,
    // When the read was sent that last confirmed the policy, in nanoseconds on the boot
    // clock; 0 if none did.
    policy_confirmed_nanos: AtomicU64,
    // Signals that the view was replaced or confirmed.
    view_changes: watch::Sender<()>,
    started_at: Moment,
    replica: Mutex<Replica>,
    // Signals that the replica has changes for peers.
    replica_changes: watch::Sender<u64>,
    log_unavailable: watch::Sender<bool>,
    // Whether this instance reads the log itself.
    reads_log: AtomicBool,
    // Answers with a part of the first list, received so far.
    list_progress: AtomicU64,
    // Whether the log has to be read again before it can be relied on.
    log_needs_reread: AtomicBool,
    endpoint_stats: Mutex<EndpointStats>,
    notices: Mutex<Notices>,
    reach: Mutex<Reach>,
    forwarders: Mutex<Forwarders>,
    directory: Mutex<Directory>,
    budget: Mutex<Budget>,
    load_sample: Mutex<LoadSample>,
    list_pace: Mutex<Pace>,
    pollers: Mutex<Pollers>,
    crash_tracker: Mutex<CrashTracker>,
    // Signals that a part of prompts is held from now on.
    part_held: Notify,
    overloads: Mutex<Overloads>,
    overload_added: Notify,
    paths: Mutex<Paths>,
    work: Mutex<Work>,
    shares: Mutex<Shares>,
    fragility: Mutex<Fragility>,
    builds: Mutex<Builds>,
    origins: Mutex<Origins>,
    unwritten: Mutex<Unwritten>,
    // Signals that streams are to be written.
    unwritten_added: Notify,
    members: Mutex<Members>,
    instance_count: Mutex<InstanceCount>,
    in_flight: AtomicUsize,
    body_bytes: AtomicUsize,
    shutdown: Shutdown,
}

impl Shared {
    pub(crate) fn new(settings: Settings, dialect: Dialect) -> Self {
        let connector = Connector::new(connect::Settings {
            connect_timeout: ENDPOINT_CONNECT_TIMEOUT,
            idle_timeout: MAX_CONNECTION_IDLE,
            dead_after: SILENT_TIMEOUT,
            ack_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
            socket_buffer_bytes: Some(SOCKET_BUFFER_BYTES),
            ..connect::Settings::default()
        });
        let forward_connector = Connector::new(connect::Settings {
            connect_timeout: FORWARDER_CONNECT_TIMEOUT,
            dead_after: SILENT_TIMEOUT,
            ack_timeout: Some(UNACKNOWLEDGED_TIMEOUT),
            socket_buffer_bytes: Some(SOCKET_BUFFER_BYTES),
            ..connect::Settings::default()
        });
        let forwarders = Forwarders::new(settings.listen.forwards, settings.is_seed());
        let members = Members::new(settings.listen.peers);
        let pollers = Pollers::new(settings.other_seeds());
        let reads_log = !settings.polls_peers();
        Self {
            forward_connector,
            metrics: Metrics::new(&settings.name),
            lease: Lease::new(settings.revocation),
            budget: Mutex::new(Budget::new(settings.retries)),
            list_pace: Mutex::new(Pace::new(settings.link_rate)),
            settings,
            dialect,
            connector,
            view: ArcSwap::default(),
            policy_confirmed_nanos: AtomicU64::new(0),
            view_changes: watch::channel(()).0,
            started_at: boot_time(),
            replica: Mutex::new(Replica::new(rand::rng().random_range(1..=u64::MAX))),
            replica_changes: watch::channel(0).0,
            log_unavailable: watch::channel(false).0,
            reads_log: AtomicBool::new(reads_log),
            list_progress: AtomicU64::new(0),
            log_needs_reread: AtomicBool::new(false),
            endpoint_stats: Mutex::default(),
            notices: Mutex::default(),
            reach: Mutex::default(),
            forwarders: Mutex::new(forwarders),
            directory: Mutex::default(),
            load_sample: Mutex::default(),
            pollers: Mutex::new(pollers),
            crash_tracker: Mutex::default(),
            part_held: Notify::new(),
            overloads: Mutex::default(),
            overload_added: Notify::new(),
            paths: Mutex::default(),
            work: Mutex::default(),
            shares: Mutex::new(Shares::new(rand::rng().random())),
            fragility: Mutex::new(Fragility::new(rand::rng().random())),
            builds: Mutex::default(),
            origins: Mutex::default(),
            unwritten: Mutex::default(),
            unwritten_added: Notify::new(),
            members: Mutex::new(members),
            instance_count: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            shutdown: Shutdown::default(),
        }
    }

    /// Returns the current view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Replaces the current view.
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
        self.view_changes.send_replace(());
    }

    /// Records that a read sent at `read_sent_at` confirmed the published policy.
    pub(crate) fn confirm_policy(&self, read_sent_at: Moment) {
        let nanos = u64::try_from(read_sent_at.as_nanos()).unwrap_or(u64::MAX);
        self.policy_confirmed_nanos
            .fetch_max(nanos, Ordering::Release);
        self.view_changes.send_replace(());
    }

    /// Returns when the read was sent that last confirmed the policy.
    pub(crate) fn policy_confirmed_at(&self) -> Option<Moment> {
        match self.policy_confirmed_nanos.load(Ordering::Acquire) {
            0 => None,
            nanos => Some(Duration::from_nanos(nanos)),
        }
    }

    /// Returns the time since the policy was last confirmed, or since the machine's start
    /// if it never was.
    pub(crate) fn policy_age(&self) -> Duration {
        since(boot_time(), self.policy_confirmed_at().unwrap_or_default())
    }

    /// Returns whether the policy was confirmed recently enough to accept keys.
    pub(crate) fn is_policy_current(&self) -> bool {
        self.lease.is_valid(self.policy_confirmed_at(), boot_time())
    }

    /// Returns whether a load balancer should send callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.readiness() == Readiness::Ready
    }

    /// Returns whether this instance can serve callers, and what it lacks if it can't.
    pub(crate) fn readiness(&self) -> Readiness {
        let view = self.view();
        if view.policy.is_none() {
            Readiness::NoConfiguration
        } else if view.endpoints.is_none() {
            Readiness::NoEndpoints
        } else if !self.is_policy_current() {
            Readiness::Outdated
        } else if self.is_draining() {
            Readiness::Draining
        } else {
            Readiness::Ready
        }
    }

    /// Returns whether requests can be resolved and sent to an endpoint.
    pub(crate) fn can_route(&self) -> bool {
        matches!(self.readiness(), Readiness::Ready | Readiness::Draining)
    }

    pub(crate) fn uptime(&self) -> Duration {
        since(boot_time(), self.started_at)
    }

    /// Returns a receiver that is notified when the view is replaced or confirmed.
    pub(crate) fn view_changes(&self) -> watch::Receiver<()> {
        self.view_changes.subscribe()
    }

    /// Changes the replica that peers are answered from. With `notify`, wakes the waiting
    /// requests of peers.
    pub(crate) fn update_replica<T>(
        &self,
        notify: bool,
        change: impl FnOnce(&mut Replica) -> T,
    ) -> T {
        let result = change(&mut self.replica.lock().unwrap_or_else(PoisonError::into_inner));
        if notify {
            self.replica_changes
                .send_modify(|count| *count = count.wrapping_add(1));
        }
        result
    }

    /// Records whether the log can't be read.
    pub(crate) fn set_log_unavailable(&self, unavailable: bool) {
        self.log_unavailable.send_if_modified(|known| {
            let changed = *known != unavailable;
            *known = unavailable;
            changed
        });
    }

    /// Records whether this instance reads the log itself.
    pub(crate) fn set_reads_log(&self, reads_log: bool) {
        self.reads_log.store(reads_log, Ordering::Relaxed);
    }

    /// Returns whether this instance reads the log itself.
    pub(crate) fn reads_log(&self) -> bool {
        self.reads_log.load(Ordering::Relaxed)
    }

    /// Counts an answer with a part of the first list.
    pub(crate) fn count_list_progress(&self) {
        self.list_progress.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many answers with a part of the first list were received so far.
    pub(crate) fn list_progress(&self) -> u64 {
        self.list_progress.load(Ordering::Relaxed)
    }

    /// Records whether the log has to be read again before it can be relied on.
    pub(crate) fn set_log_needs_reread(&self, needs_reread: bool) {
        self.log_needs_reread.store(needs_reread, Ordering::Relaxed);
    }

    /// Returns whether the log has to be read again before it can be relied on.
    pub(crate) fn log_needs_reread(&self) -> bool {
        self.log_needs_reread.load(Ordering::Relaxed)
    }

    /// Returns a receiver of whether the log can't be read.
    pub(crate) fn log_unavailable(&self) -> watch::Receiver<bool> {
        self.log_unavailable.subscribe()
    }

    /// Returns a receiver that is notified when there are changes for peers.
    pub(crate) fn replica_changes(&self) -> watch::Receiver<u64> {
        self.replica_changes.subscribe()
    }

    pub(crate) fn endpoint_stats(&self) -> MutexGuard<'_, EndpointStats> {
        // Recovers from a poisoned lock: no code that holds it can panic in the middle of
        // a change.
        self.endpoint_stats
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the announcements that endpoints made in their responses.
    pub(crate) fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns which endpoints this instance can connect to.
    pub(crate) fn reach(&self) -> MutexGuard<'_, Reach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the instances that can send requests on.
    pub(crate) fn forwarders(&self) -> MutexGuard<'_, Forwarders> {
        self.forwarders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the sample of loads that peers are sent.
    pub(crate) fn load_sample(&self) -> MutexGuard<'_, LoadSample> {
        self.load_sample
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the pace of the lists of endpoints that peers are sent.
    pub(crate) fn list_pace(&self) -> MutexGuard<'_, Pace> {
        self.list_pace
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn pollers(&self) -> MutexGuard<'_, Pollers> {
        self.pollers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether peers poll this instance instead of the log now, or are configured
    /// to.
    pub(crate) fn serves_peers(&self) -> bool {
        self.settings.is_seed() || self.pollers().any_recent(boot_time())
    }

    pub(crate) fn crash_tracker(&self) -> MutexGuard<'_, CrashTracker> {
        self.crash_tracker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Signals that a part of prompts is held from now on.
    pub(crate) const fn part_held(&self) -> &Notify {
        &self.part_held
    }

    pub(crate) fn overloads(&self) -> MutexGuard<'_, Overloads> {
        self.overloads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Signals that overloads were added.
    pub(crate) const fn overload_added(&self) -> &Notify {
        &self.overload_added
    }

    pub(crate) fn work(&self) -> MutexGuard<'_, Work> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn paths(&self) -> MutexGuard<'_, Paths> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the shares of requests of endpoints that are warming up.
    pub(crate) fn shares(&self) -> MutexGuard<'_, Shares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns which endpoints are fragile.
    pub(crate) fn fragility(&self) -> MutexGuard<'_, Fragility> {
        self.fragility
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns which builds each service has had lately.
    pub(crate) fn builds(&self) -> MutexGuard<'_, Builds> {
        self.builds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns where streams have begun.
    pub(crate) fn origins(&self) -> MutexGuard<'_, Origins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the streams that this instance is to write to the log.
    pub(crate) fn unwritten(&self) -> MutexGuard<'_, Unwritten> {
        self.unwritten
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what signals that streams are to be written.
    pub(crate) const fn unwritten_added(&self) -> &Notify {
        &self.unwritten_added
    }

    /// Returns the instances that keep the origins of streams.
    pub(crate) fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when the read was sent that last confirmed the list of endpoints.
    pub(crate) fn endpoints_confirmed_at(&self) -> Option<Moment> {
        self.update_replica(false, |replica| replica.endpoints_confirmed_at())
    }

    /// Records the number of instances.
    pub(crate) fn set_instance_count(&self, instances: u32, now: Moment) {
        let mut count = self
            .instance_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        count.update(instances, now);
    }

    /// Returns the number of instances, if it is known. An instance without a port for
    /// peers counts itself alone.
    pub(crate) fn instance_count(&self, now: Moment) -> Option<u32> {
        if self.settings.listen.peers.is_none() {
            return Some(1);
        }
        let count = self
            .instance_count
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        count.get(now)
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that nothing listens at an endpoint's address, or that its machine doesn't
    /// respond. Its other connections are dead as well, so none of them is reused.
    pub(crate) fn mark_endpoint_down(&self, endpoint: &Endpoint, observation: Observation) {
        self.connector.close_idle(endpoint.address);
        let change = self
            .endpoint_stats()
            .record_unreachable(endpoint.id, boot_time());
        self.record_access_change(endpoint, change, observation);
    }

    /// Records an event of an endpoint's health.
    pub(crate) fn record_health_event(
        &self,
        endpoint: &Endpoint,
        event: Event,
        observation: Observation,
    ) {
        let change = self
            .endpoint_stats()
            .record_health_event(endpoint.id, event);
        self.record_access_change(endpoint, change, observation);
    }

    /// Logs and counts that an endpoint may get more or less than before.
    pub(crate) fn record_access_change(
        &self,
        endpoint: &Endpoint,
        change: Option<Access>,
        observation: Observation,
    ) {
        let Some(access) = change else { return };
        self.metrics.count_access_change(access, observation);
        log::info!(
            endpoint:% = endpoint.name, access:? = access, observation:% = observation;
            "endpoint's access changed"
        );
    }

    /// Limits the idle connections to endpoints to this instance's share of the smallest
    /// limit of a service. Until the number of instances is known, the limit stays as it is;
    /// without one in the configuration it is that of the connector.
    pub(crate) fn limit_idle_connections(&self, now: Moment) {
        let Some(instances) = self.instance_count(now) else {
            return;
        };
        let view = self.view();
        let policy = view.policy.iter();
        let services = policy.flat_map(|policy| policy.content().services.values());
        let shares = services.filter_map(|one| connections::max_idle(one.connections, instances));
        self.connector
            .limit_idle(shares.min().unwrap_or(usize::MAX));
    }

    /// Updates the gauges of the services.
    pub(crate) fn update_service_gauges(&self) {
        let view = self.view();
        let policy = view.policy.iter();
        let services = policy.flat_map(|policy| &policy.content().services);
        let usage = |(id, service): (&ServiceId, &Service)| self.service_usage(*id, service, &view);
        self.metrics
            .set_service_usage(services.map(usage).collect());
    }

    fn service_usage(&self, id: ServiceId, service: &Service, view: &View) -> ServiceUsage {
        let now = boot_time();
        let endpoints = view.usable(id);
        let ids: Vec<EndpointId> = endpoints.iter().map(|one| one.endpoint.id).collect();
        let endpoint_stats = self.endpoint_stats();
        let own = ids
            .iter()
            .map(|id| f64::from(endpoint_stats.own_requests(*id)))
            .sum();
        let load = endpoint_stats
            .estimate(&ids, now)
            .iter()
            .map(|estimate| estimate.load)
            .sum();
        drop(endpoint_stats);
        let idle = endpoints
            .iter()
            .map(|one| self.connector.idle_count(one.endpoint.address));
        let idle = u32::try_from(idle.sum::<usize>()).unwrap_or(u32::MAX);
        ServiceUsage {
            service: service.name.clone(),
            in_flight: own,
            load,
            idle: f64::from(idle),
            repeats_left: self.budget().remaining(id, now),
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Returns the shutdown of this instance, which may not have begun.
    pub(crate) const fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Reserves room for one request; returns `None` if there is none.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<Admission> {
        let limit = self.max_in_flight();
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let admission = Admission {
            shared: Arc::clone(self),
            bytes: 0,
            is_held_back: false,
        };
        (before < limit).then_some(admission)
    }
}

impl Shared {
    /// Reserves room for one request of another instance; returns `None` if more than the
    /// whole room divided by `divisor` is in use.
    pub(crate) fn admit_forwarded(self: &Arc<Self>, divisor: usize) -> Option<Admission> {
        let limit = self.max_in_flight() / divisor;
        let admission = self.admit()?;
        (self.in_flight() <= limit).then_some(admission)
    }

    // Returns the number of requests that there is memory for.
    fn max_in_flight(&self) -> usize {
        self.settings.memory_bytes / REQUEST_MEMORY_DIVISOR / BYTES_PER_REQUEST
    }
}

/// Room reserved for a request and its body, released when dropped.
#[derive(Debug)]
pub(crate) struct Admission {
    shared: Arc<Shared>,
    bytes: usize,
    // Whether the response counts as a second request, since its buffers are full.
    is_held_back: bool,
}

impl Admission {
    /// Reserves room for a body; returns whether there was enough.
    pub(crate) fn reserve_body(&mut self, bytes: usize) -> bool {
        let limit = self.shared.settings.memory_bytes / BODY_MEMORY_DIVISOR;
        let before = self.shared.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        before.saturating_add(bytes) <= limit
    }

    /// Records whether the response is held back because its caller doesn't read it. It then
    /// counts as two requests, as the buffers on its way are full. At the limit, new requests
    /// are refused and none in flight is ended.
    pub(crate) fn set_held_back(&mut self, is_held_back: bool) {
        let before = std::mem::replace(&mut self.is_held_back, is_held_back);
        match (before, is_held_back) {
            (false, true) => drop(self.shared.in_flight.fetch_add(1, Ordering::Relaxed)),
            (true, false) => drop(self.shared.in_flight.fetch_sub(1, Ordering::Relaxed)),
            _ => {}
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.set_held_back(false);
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;

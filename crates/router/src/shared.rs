//! State shared by the control thread and the traffic threads of one router.
//!
//! The control thread publishes a [`Snapshot`]. Traffic threads load it without
//! a lock and use it for the whole request, so that each request is handled
//! with one view of the fleet and one bundle version.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use godwitpost_bundle::blob::Digest;
use godwitpost_client::clock::Clock;
use godwitpost_client::connect::{self, Connector};
use godwitpost_decide::entry::Budgets;
use godwitpost_decide::limit::Limits;
use godwitpost_decide::view::View;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{InstanceId, Version};
use godwitpost_types::policy::Policy;
use rand::rngs::StdRng;
use tokio::sync::mpsc;

use crate::claims::Claims;
use crate::control;
use crate::random;
use crate::relay::local_owner::LocalOwner;
use crate::settings::Settings;
use godwitpost_process::metrics::Metrics;

/// The view and bundle that a request is handled with.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// The fleet's instances and endpoints.
    pub(crate) view: Arc<View>,
    /// The bundle in force; `None` until one is known.
    pub(crate) bundle: Option<Bundle>,
}

/// The bundle in force.
#[derive(Clone, Debug)]
pub(crate) struct Bundle {
    /// The policy, resolved for decisions.
    pub(crate) policy: Arc<Policy>,
    /// The root digest of its entries.
    pub(crate) root: Digest,
}

/// The state shared by the threads of one router.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    /// Sends relayed requests; its bytes are not counted as control traffic.
    pub(crate) connector: Connector,
    /// Sends the control messages of traffic threads.
    pub(crate) control_connector: Connector,
    /// Sends claims of unrepeatable requests and fetches their cached responses.
    pub(crate) claims_connector: Connector,
    pub(crate) metrics: Metrics,
    pub(crate) owner: LocalOwner,
    pub(crate) claims: Claims,
    pub(crate) control: mpsc::Sender<control::Event>,
    snapshot: ArcSwap<Snapshot>,
    entry_state: Mutex<EntryState>,
    leaving: AtomicBool,
    fleet_listed: AtomicBool,
    in_flight: AtomicUsize,
}

/// State for admitting and retrying requests at their entry instance.
#[derive(Debug)]
pub(crate) struct EntryState {
    /// Retry budgets.
    pub(crate) budgets: Budgets,
    /// Workspace limits.
    pub(crate) limits: Limits,
    /// Unreachable instances, with the time until which they are avoided.
    avoided: BTreeMap<InstanceId, Moment>,
    /// Generates ids and retry jitter.
    pub(crate) rng: StdRng,
}

/// How long an unreachable instance is avoided.
///
/// A machine that is gone doesn't respond at all, so each request to it would
/// wait for the connector's timeout. Views drop the instance after some
/// seconds; until then only one request in this period waits for the timeout.
const AVOID_PERIOD: Duration = Duration::from_secs(2);

impl EntryState {
    /// Records that an instance could not be reached.
    pub(crate) fn avoid(&mut self, now: Moment, instance: InstanceId) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(instance, now + AVOID_PERIOD);
    }

    /// Returns whether an instance was unreachable recently and is still avoided.
    pub(crate) fn is_avoided(&self, now: Moment, instance: InstanceId) -> bool {
        self.avoided
            .get(&instance)
            .is_some_and(|until| *until > now)
    }
}

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        connector: Connector,
        snapshot: Snapshot,
        control: mpsc::Sender<control::Event>,
    ) -> Self {
        let metrics = Metrics::new(&settings.name);
        Self {
            owner: LocalOwner::new(Arc::clone(&snapshot.view)),
            claims: Claims::new(settings.id(), settings.incarnation),
            settings,
            clock,
            connector,
            control_connector: Connector::new(connect::Settings::default()),
            claims_connector: Connector::new(connect::Settings::default()),
            metrics,
            control,
            snapshot: ArcSwap::from_pointee(snapshot),
            entry_state: Mutex::new(EntryState {
                budgets: Budgets::default(),
                limits: Limits::default(),
                avoided: BTreeMap::new(),
                rng: random::generator(),
            }),
            leaving: AtomicBool::new(false),
            fleet_listed: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    pub(crate) fn local(&self) -> InstanceId {
        self.settings.id()
    }

    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Publishes a new snapshot and applies it to the local owner.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        let view = Arc::clone(&snapshot.view);
        let bundle = snapshot.bundle.clone();
        self.snapshot.store(Arc::new(snapshot));
        if let Some(bundle) = bundle {
            self.metrics.version(bundle.policy.version);
            self.owner.apply_view(self.now(), view, bundle.policy);
        }
    }

    /// Returns the bundle version in force; 0 for none.
    pub(crate) fn version(&self) -> Version {
        let snapshot = self.snapshot.load();
        let bundle = snapshot.bundle.as_ref();
        bundle.map_or(0, |bundle| bundle.policy.version)
    }

    pub(crate) fn entry_state(&self) -> MutexGuard<'_, EntryState> {
        // No code panics between two related changes while holding the lock.
        self.entry_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts leaving: the readiness check fails from now on.
    pub(crate) fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns whether the balancer should send callers here.
    ///
    /// The bundle alone isn't enough: until the router has read the platform's
    /// list, callers would get the error that there is no endpoint.
    pub(crate) fn ready(&self) -> bool {
        !self.is_leaving() && self.is_fleet_listed() && self.snapshot.load().bundle.is_some()
    }

    /// Returns whether the platform's list has been read and published.
    pub(crate) fn is_fleet_listed(&self) -> bool {
        self.fleet_listed.load(Ordering::Acquire)
    }

    /// Records that the platform's list has been read and published.
    pub(crate) fn set_fleet_listed(&self) {
        self.fleet_listed.store(true, Ordering::Release);
    }

    /// Returns the number of requests in flight, from callers and peers.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts a request in flight until the guard is dropped.
    pub(crate) fn track_request(self: &Arc<Self>) -> InFlight {
        let before = self.in_flight.fetch_add(1, Ordering::AcqRel);
        self.metrics.in_flight(1);
        InFlight {
            shared: Arc::clone(self),
            before,
        }
    }
}

/// Counts one request in flight.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    before: usize,
}

impl InFlight {
    /// Returns the number of requests in flight when this one was counted.
    pub(crate) const fn count_before(&self) -> usize {
        self.before
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.in_flight(-1);
    }
}

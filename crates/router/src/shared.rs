//! What the control thread and the traffic threads of one router share.
//!
//! The control thread publishes a [`Snapshot`]; traffic threads load it
//! without a lock and keep it for the whole of a request, so a request is
//! handled under one picture of the fleet and one bundle version.

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

/// The picture that requests are handled under.
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
    /// Resolved for decisions.
    pub(crate) policy: Arc<Policy>,
    /// The root digest of its entries.
    pub(crate) root: Digest,
}

/// What the threads of one router share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    /// For requests on their way; its bytes are no control traffic.
    pub(crate) connector: Connector,
    /// For control messages that traffic threads send.
    pub(crate) control_connector: Connector,
    /// For claims of unrepeatable requests and answers kept for them.
    pub(crate) claims_connector: Connector,
    pub(crate) metrics: Metrics,
    pub(crate) owner: LocalOwner,
    pub(crate) claims: Claims,
    pub(crate) control: mpsc::Sender<control::Event>,
    snapshot: ArcSwap<Snapshot>,
    entry_state: Mutex<EntryState>,
    leaving: AtomicBool,
    listed: AtomicBool,
    in_flight: AtomicUsize,
}

/// What the entry side of requests keeps.
#[derive(Debug)]
pub(crate) struct EntryState {
    /// Budgets of retries.
    pub(crate) budgets: Budgets,
    /// Limits of workspaces.
    pub(crate) limits: Limits,
    /// Instances that could not be reached, and until when they are avoided.
    avoided: BTreeMap<InstanceId, Moment>,
    /// Draws ids and the jitter of retries.
    pub(crate) rng: StdRng,
}

/// How long an instance that could not be reached is avoided.
///
/// The failure: a machine that is gone answers nothing at all, so each request
/// to it would wait out the connector's time. Views drop the instance after
/// some seconds; until then one request in this time pays for the trial.
const AVOIDED: Duration = Duration::from_secs(2);

impl EntryState {
    /// Notes that an instance could not be reached.
    pub(crate) fn avoid(&mut self, now: Moment, instance: InstanceId) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(instance, now + AVOIDED);
    }

    /// Returns whether an instance could not be reached a moment ago.
    pub(crate) fn avoids(&self, now: Moment, instance: InstanceId) -> bool {
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
            listed: AtomicBool::new(false),
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

    /// Publishes a new picture, and moves the owner over to it.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        let view = Arc::clone(&snapshot.view);
        let bundle = snapshot.bundle.clone();
        self.snapshot.store(Arc::new(snapshot));
        if let Some(bundle) = bundle {
            self.metrics.version(bundle.policy.version);
            self.owner.adopt(self.now(), view, bundle.policy);
        }
    }

    /// Returns the bundle version in force; 0 for none.
    pub(crate) fn version(&self) -> Version {
        let snapshot = self.snapshot.load();
        let bundle = snapshot.bundle.as_ref();
        bundle.map_or(0, |bundle| bundle.policy.version)
    }

    pub(crate) fn entry_state(&self) -> MutexGuard<'_, EntryState> {
        // No code that holds the lock can panic half-way through a change.
        self.entry_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins to leave: readiness fails from now on.
    pub(crate) fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns whether the balancer should send callers here.
    ///
    /// The failure: a router is ready with the bundle alone, and its first
    /// callers hear that there is no endpoint, since it has not read the
    /// platform's list yet.
    pub(crate) fn ready(&self) -> bool {
        !self.is_leaving() && self.is_fleet_listed() && self.snapshot.load().bundle.is_some()
    }

    /// Returns whether the platform's list was read and published.
    pub(crate) fn is_fleet_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Notes that the platform's list was read and published.
    pub(crate) fn set_fleet_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Returns the requests in flight: callers' and peers'.
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
    /// Returns how many were in flight before this one.
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

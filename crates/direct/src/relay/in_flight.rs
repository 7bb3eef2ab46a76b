//! Tracks a request at an endpoint, and records what its progress shows of the endpoint.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{Cause, Error};
use godwitpost_decide::health::Event;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::EndpointId;

use super::Job;
use super::choose::{Belief, Chosen};
use super::crash::{BrokenRequest, check_for_crash, record_completed};
use super::expected::Expected;
use super::forward;
use super::payload::Break;
use crate::attempt::Failure;
use crate::crashes::MAX_CRASH_TIME;
use crate::forwarders::Fault;
use crate::overloads;
use crate::roster::Registration;
use crate::shared::Shared;
use crate::stats::{Liveness, LoadEstimate, Observation, Report};
use crate::work::Tracked;

/// How recently the endpoint must have sent anything to count as alive. Streams have an
/// event about every 25 ms. Connects time out after 250 ms and unacknowledged data after
/// 650 ms, so an older sign doesn't rule out that the machine went down meanwhile.
const MAX_ACTIVITY_AGE: Duration = Duration::from_millis(300);

/// How many events of a stream are observed together. An instance on a fraction of a core
/// relays some hundred events a second, and each observation locks the estimates that all
/// requests share.
const EVENTS_PER_OBSERVATION: u32 = 8;

/// The progress of a request whose work is tracked.
#[derive(Debug)]
struct Progress {
    tracked: Tracked,
    events: AtomicU32,
    // When the last observed event came, in nanoseconds on the boot clock.
    observed_nanos: AtomicU64,
    is_whole: AtomicBool,
}

impl Progress {
    fn new(tracked: Tracked) -> Self {
        Self {
            tracked,
            events: AtomicU32::new(0),
            observed_nanos: AtomicU64::new(0),
            is_whole: AtomicBool::new(false),
        }
    }

    // Records an event of a request that was sent at `sent_at`.
    fn record_event(&self, shared: &Shared, sent_at: Moment, now: Moment) {
        let events = self.events.fetch_add(1, Ordering::Relaxed) + 1;
        let is_first = events == 1;
        if !is_first && !(events - 1).is_multiple_of(EVENTS_PER_OBSERVATION) {
            return;
        }
        let nanos = u64::try_from(now.as_nanos()).unwrap_or(u64::MAX);
        let before = self.observed_nanos.swap(nanos, Ordering::Relaxed);
        let mut work = shared.work();
        if is_first {
            work.record_first_event(&self.tracked, since(now, sent_at));
        } else {
            let took = since(now, Duration::from_nanos(before));
            work.record_events(&self.tracked, events, EVENTS_PER_OBSERVATION, took);
        }
    }

    fn end(&self, shared: &Shared, now: Moment) {
        let events = self.events.load(Ordering::Relaxed);
        let is_whole = self.is_whole.load(Ordering::Relaxed);
        shared.work().end(&self.tracked, events, is_whole, now);
    }
}

/// A request at an endpoint. It counts towards the endpoint's load until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    shared: Arc<Shared>,
    registration: Arc<Registration>,
    sent_at: Moment,
    // When the first data of the response's body arrived.
    began_at: OnceLock<Moment>,
    liveness: Liveness,
    // The instance that sends the request on, if it is not sent directly. What happens to
    // it then tells nothing of the endpoint, which that instance watches itself.
    pub(super) via: Option<SocketAddr>,
    // What the endpoint was chosen by; `None` for a request of another instance, which counts
    // it towards the endpoint's load.
    belief: Option<Belief>,
    service: String,
    request: String,
    // `None` unless the endpoint runs a model and the caller states the request's lengths.
    progress: Option<Progress>,
}

impl InFlightRequest {
    /// Returns a request that is sent to the chosen endpoint.
    pub(super) fn new(job: &Job, chosen: &Chosen) -> Self {
        let shared = &job.shared;
        let registration = &chosen.registration;
        let now = boot_time();
        let start = |expected: &Expected| {
            let tracked = shared.work().start(&expected.target, expected.demand, now);
            Progress::new(tracked)
        };
        let progress = chosen.expected.as_ref().map(start);
        let liveness = shared
            .endpoint_stats()
            .start_request(registration.endpoint.id);
        Self {
            liveness,
            shared: Arc::clone(shared),
            registration: Arc::clone(registration),
            sent_at: now,
            began_at: OnceLock::new(),
            via: None,
            belief: Some(chosen.belief),
            service: shared
                .view()
                .service_name(registration.endpoint.service)
                .to_owned(),
            request: job.id().to_owned(),
            progress,
        }
    }

    /// Returns a request of another instance, which counts it towards the endpoint's load.
    pub(super) fn uncounted(shared: &Arc<Shared>, registration: &Arc<Registration>) -> Self {
        let liveness = shared.endpoint_stats().liveness(registration.endpoint.id);
        Self {
            liveness,
            shared: Arc::clone(shared),
            registration: Arc::clone(registration),
            sent_at: boot_time(),
            began_at: OnceLock::new(),
            via: None,
            belief: None,
            service: String::new(),
            request: String::new(),
            progress: None,
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.registration.endpoint.name
    }

    pub(crate) fn build(&self) -> &str {
        &self.registration.build
    }

    pub(super) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) const fn registration(&self) -> &Arc<Registration> {
        &self.registration
    }

    pub(super) fn endpoint(&self) -> EndpointId {
        self.registration.endpoint.id
    }

    /// Records that the endpoint broke off a response, or sent none in time.
    pub(crate) fn record_failure(&self, observation: Observation) {
        if let Some(via) = self.via {
            forward::avoid(&self.shared, via, Fault::Declined);
            return;
        }
        let event = Event::Failure(boot_time());
        self.shared
            .record_health_event(&self.registration.endpoint, event, observation);
    }

    // Records that the response has not begun in the time allowed. An endpoint that works and is
    // late in turn is busy, with a long prompt for example. Counted as a failure, that closed
    // one endpoint after the other and sent everything to those left.
    fn record_no_head(&self, job: &Job) {
        let is_busy = self.via.is_none() && self.was_active() && self.is_late_in_turn();
        let metrics = self.shared.metrics.loads();
        metrics.count_late_response(&self.service, is_busy);
        if is_busy {
            log::info!(request:% = job.id(), endpoint:% = self.name(); "endpoint is busy: it works, and is late with other responses too");
        } else {
            self.record_failure(Observation::LateHead);
        }
    }

    fn is_late_in_turn(&self) -> bool {
        let mut stats = self.shared.endpoint_stats();
        stats.record_late_response(self.endpoint(), self.sent_at, boot_time())
    }

    // Returns whether the endpoint sent anything lately and after this request was sent.
    fn was_active(&self) -> bool {
        let oldest = since(boot_time(), MAX_ACTIVITY_AGE);
        self.liveness.alive_since(self.sent_at.max(oldest))
    }

    pub(super) const fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// Returns how long this request waits for its response before its endpoint may be silent;
    /// `None` if its load is known otherwise.
    pub(super) fn late_head(&self) -> Option<Duration> {
        self.belief?.demand?;
        let service = self.registration.endpoint.service;
        Some(self.shared.endpoint_stats().late_head(service))
    }

    /// Records that the response has not begun in that time, and tells others if the endpoint
    /// is silent.
    pub(super) fn record_late_head(&self, request: &str) {
        let now = boot_time();
        let mut stats = self.shared.endpoint_stats();
        let is_news = stats.record_late_head(self.endpoint(), self.sent_at, now);
        drop(stats);
        if !is_news {
            return;
        }
        log::info!(
            request:% = request, endpoint:% = self.name(), waited_ms:% = since(now, self.sent_at).as_millis();
            "endpoint begins no responses"
        );
        self.shared.overloads().add(self.endpoint(), None, now);
        self.shared.overload_added().notify_one();
    }

    // Compares the load that the endpoint reported in its response with what was believed
    // when the request was sent.
    pub(super) fn check_reported_load(
        &self,
        request: &str,
        report: Report,
        expected: &LoadEstimate,
    ) {
        let Some(belief) = self.belief else {
            return;
        };
        let load = report.running.saturating_add(report.waiting);
        let has_affinity = belief.demand.is_some();
        let known = (!expected.is_silent).then_some(expected.load);
        if has_affinity && overloads::is_news(load, belief.limit, known) {
            let mut overloads = self.shared.overloads();
            overloads.add(self.endpoint(), Some(load), boot_time());
            drop(overloads);
            self.shared.overload_added().notify_one();
        }
        let above = f64::from(load) > belief.limit;
        let metrics = self.shared.metrics.loads();
        metrics.record_reported_load(&self.service, load, belief.limit);
        if above {
            log::info!(
                request:% = request, service:% = self.service, endpoint:% = self.name(), load = load, limit:% = belief.limit,
                load_age_ms:? = belief.report_age.map(|age| age.as_millis()), known:% = belief.service.known_fraction;
                "endpoint's load is above the load bound"
            );
        }
    }

    /// Records that data arrived from the endpoint.
    pub(crate) fn record_activity(&self) {
        if self.via.is_none() {
            self.liveness.record(boot_time());
        }
    }

    /// Records that `events` events of the response arrived since the last stall.
    pub(crate) fn record_events(&self, events: u32) {
        if self.via.is_none() && events > 0 {
            let zone = self.registration.endpoint.zone;
            self.shared.paths().record_events(zone, events, boot_time());
        }
    }

    /// Records that the network path delayed the endpoint's response.
    pub(crate) fn record_stall(&self) {
        if self.via.is_some() {
            return;
        }
        let zone = self.registration.endpoint.zone;
        if self.shared.paths().record_stall(zone, boot_time()) {
            log::warn!(endpoint:% = self.name(); "response was stalled; avoiding the network path to the endpoint's availability zone temporarily");
        }
    }

    /// Records that the endpoint's machine did not respond to this request.
    ///
    /// Where one packet in thirty is lost, a connection's first packet can be lost too,
    /// and its connect times out while the endpoint serves all others. Marking the
    /// endpoint as down for that would keep new requests away for a second or more and
    /// make other endpoints read its prompts again. A machine that is really down is
    /// silent on all its connections.
    pub(crate) fn record_unresponsive(&self, observation: Observation) {
        if self.was_active() {
            log::info!(endpoint:% = self.name(); "a packet was lost; the endpoint responds to other requests");
            self.record_stall();
            return;
        }
        self.shared
            .mark_endpoint_down(&self.registration.endpoint, observation);
    }

    /// Records that the endpoint sent no response head, and returns how the attempt ended.
    pub(super) fn record_send_error(&self, job: &Job, error: &Error) -> Failure {
        log::warn!(request:% = job.id(), endpoint:% = self.name(), error:% = error; "not answered");
        let (Error::NotSent { cause, .. } | Error::Unknown(cause)) = error;
        if matches!(cause, Cause::Connect(_) | Cause::ConnectTimeout) {
            self.record_unresponsive(Observation::NoConnection);
        } else if cause.is_unreachable() {
            self.record_unresponsive(Observation::NoAcknowledgement);
        } else if matches!(error, Error::Unknown(Cause::Connection(_))) {
            self.check_for_crash(job);
        } else if matches!(cause, Cause::ResponseTimeout) {
            self.record_no_head(job);
        }
        if error.may_have_run() {
            Failure::Lost
        } else {
            Failure::NotSent
        }
    }

    /// Records that data of the response's body arrived. It counts as one event.
    pub(crate) fn record_data(&self) {
        let now = boot_time();
        self.began_at.get_or_init(|| now);
        self.record_activity();
        if let Some(progress) = &self.progress {
            progress.record_event(&self.shared, self.sent_at, now);
        }
    }

    /// Stops tracking the work of the request, if its response tells nothing of it: it is a
    /// failure, the rest of a stream that another endpoint began, or another instance sent
    /// the request on.
    pub(super) fn untrack(&mut self) {
        if let Some(progress) = self.progress.take() {
            progress.end(&self.shared, boot_time());
        }
    }

    /// Records that a successful response was relayed completely.
    pub(crate) fn record_completed(&self, job: &Job) {
        if let Some(progress) = &self.progress {
            progress.is_whole.store(true, Ordering::Relaxed);
        }
        record_completed(self, job);
    }

    /// Returns when the endpoint began to answer, as far as that is known.
    pub(super) fn began_at(&self) -> Moment {
        self.began_at.get().copied().unwrap_or(self.sent_at)
    }

    /// Returns whether the endpoint has been answering for longer than a crash takes.
    pub(super) fn outlasted_crash(&self) -> bool {
        let began_at = self.began_at.get();
        began_at.is_some_and(|began_at| since(boot_time(), *began_at) > MAX_CRASH_TIME)
    }

    /// Records that the response broke off, and checks whether the endpoint crashed. One that was
    /// leaving and has ended didn't.
    pub(crate) fn record_break(&self, job: &Job, cause: Option<&Break>) {
        if !matches!(cause, Some(Break::Left)) {
            self.record_failure(Observation::BrokenResponse);
            self.check_for_crash(job);
        }
    }

    /// Starts a check of whether the endpoint crashed with this request, whose connection
    /// broke.
    pub(crate) fn check_for_crash(&self, job: &Job) {
        if self.via.is_some() {
            return;
        }
        let broken = BrokenRequest {
            request: job.id().to_owned(),
            workspace: job.workspace_name().to_owned(),
            digest: job.digest(),
            parts: job.fields.parts_shared_with_others(),
            sent_at: self.sent_at,
            began_at: self.began_at.get().copied(),
            registration: Arc::clone(&self.registration),
        };
        tokio::spawn(check_for_crash(Arc::clone(&self.shared), broken));
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if self.belief.is_none() {
            return;
        }
        let now = boot_time();
        if let Some(progress) = &self.progress {
            progress.end(&self.shared, now);
        }
        let duration = since(now, self.sent_at);
        let metrics = self.shared.metrics.loads();
        metrics.record_endpoint_time(&self.service, duration);
        let mut stats = self.shared.endpoint_stats();
        stats.end_request(self.endpoint(), duration);
        let own = stats.own_requests(self.endpoint());
        drop(stats);
        log::info!(
            request:% = self.request, endpoint:% = self.name(), held_ms:% = duration.as_millis(), own = own;
            "request left its endpoint"
        );
    }
}

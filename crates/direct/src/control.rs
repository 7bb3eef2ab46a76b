//! The control thread: follows the log and publishes the state in force.
//!
//! Each topic is followed by a task of this thread, which sends its updates to
//! one loop. Only this loop changes state, and it publishes a new view whenever
//! something in the state changed. An instance with other seeds to poll follows
//! one of them instead of the log (`peers`), and returns to the log when none
//! of them is sufficiently up to date.

mod entries;
mod follow;
mod kept;
mod past;
pub(crate) mod peers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::{Clock, boot_time};
use godwitpost_client::timer::Timer;
use godwitpost_decide::health::Access;
use godwitpost_process::logging::queue::Queue;
use godwitpost_process::serve::{self, Port};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{self, EndpointId, Era, ServiceId, Version};
use tokio::sync::{mpsc, watch};

use self::entries::EntryChange;
use self::follow::{Follower, Mode, Topic, TopicUpdate, follow};
use self::peers::{PeerUpdate, record_evidence, withdraw_evidence};
use crate::builds::Continuity;
use crate::evacuation::{EvacuatedZones, Evacuation, TopicState};
use crate::feed::Change;
use crate::metrics::EvidenceSource;
use crate::policy::Policy;
use crate::readiness::Readiness;
use crate::relay::tell_origins;
use crate::revoked::{KeyChanges, RevokedKeys};
use crate::roster::{Origin, Registration, Roster};
use crate::shared::{Shared, View, by_service};
use crate::source::{Directive, OwnTopic, Position, Source};
use crate::stats::Observation;
use crate::supervision::Supervisor;
use crate::verification::{Verification, verified_era};

/// The interval at which endpoints considered down and expired entries are
/// checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which evidence of crashes is compared with the endpoints that run.
const EVIDENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long after its request ended a caller may take a stream up again.
const MAX_RETURN_TIME: Duration = Duration::from_secs(5);

/// The topics of the log that an instance follows, and the one that instances write.
#[derive(Debug)]
pub struct Sources {
    /// The operator's topic. Versions of the configuration only ever increase.
    pub operator: Source<Directive>,
    /// The topic in which endpoints register themselves.
    pub endpoints: Source<Registration>,
    /// The topic in which instances keep where streams began.
    pub streams: OwnTopic,
}

enum Event {
    Operator(TopicUpdate<Directive>),
    Endpoints(TopicUpdate<Registration>),
    Peer(Box<PeerUpdate>),
}

/// Follows both topics. Returns only if all tasks that send events have ended.
pub(crate) async fn run(
    shared: Arc<Shared>,
    supervisor: Supervisor,
    sources: Sources,
    lines: Queue,
    peers_port: Option<Port>,
    ended: watch::Receiver<bool>,
) {
    // Each of the three senders waits until its event is received, so no
    // backlog builds up.
    let (sender, mut events) = mpsc::channel(3);
    let timer = Timer::new(Duration::ZERO);
    supervisor.spawn(
        "timer",
        timer.clone().drive(Clock::start_at(Duration::ZERO)),
    );
    let polls_peers = shared.settings.polls_peers();
    let (mode, modes) = watch::channel(Mode::at_start(polls_peers));
    let follower = |topic| Follower {
        shared: Arc::clone(&shared),
        topic,
        modes: modes.clone(),
    };
    let endpoints = Arc::new(sources.endpoints);
    let streams = Arc::new(sources.streams);
    supervisor.spawn(
        "streams",
        kept::write(Arc::clone(&streams), Arc::clone(&shared)),
    );
    let operator = follow(
        Arc::new(sources.operator),
        follower(Topic::Operator),
        sender.clone(),
        Event::Operator,
    );
    supervisor.spawn("operator", operator);
    let listing = follow(
        Arc::clone(&endpoints),
        follower(Topic::Endpoints),
        sender.clone(),
        Event::Endpoints,
    );
    supervisor.spawn("endpoints", listing);
    if let Some(port) = peers_port {
        let served = Arc::clone(&shared);
        let handler = move |request| peers::handle_request(Arc::clone(&served), request);
        let limits = crate::serve::internal_limits();
        supervisor.spawn("peers", serve::run(port, limits, ended, handler));
    }
    if !shared.settings.other_seeds().is_empty() {
        let polling = peers::poll_peers(Arc::clone(&shared), mode, sender, peer_event);
        supervisor.spawn("polling", polling);
    }
    if shared.settings.is_seed() || !shared.settings.other_seeds().is_empty() {
        supervisor.spawn("overloads", peers::send_overloads(Arc::clone(&shared)));
    }
    if shared.settings.is_seed() {
        supervisor.spawn("exchange", peers::run_exchange(Arc::clone(&shared)));
    }
    let mut control = Control::new(shared, endpoints, streams, lines);
    let mut ticks = timer.every(TICK_INTERVAL);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(Event::Operator(update)) => control.apply_operator_update(update),
                // Entries that were read before a switch to a peer may be older
                // than the peer's.
                Some(Event::Endpoints(update)) if modes.borrow().is_current(update.mode) => {
                    control.apply_endpoints_update(update);
                }
                Some(Event::Endpoints(_)) => {}
                Some(Event::Peer(update)) => control.apply_peer_update(*update),
                None => return,
            },
            _ = ticks.next() => control.tick(boot_time()),
        }
    }
}

fn peer_event(update: PeerUpdate) -> Event {
    Event::Peer(Box::new(update))
}

struct Control {
    shared: Arc<Shared>,
    endpoints_source: Arc<Source<Registration>>,
    streams_topic: Arc<OwnTopic>,
    lines: Queue,
    policy: Option<Arc<Policy>>,
    evacuated: EvacuatedZones,
    // The evacuations and the version read so far from the operator's topic.
    topic_state: TopicState,
    // For each evacuated zone, until when prompts held by its endpoints may be
    // fetched.
    fetchable_until: BTreeMap<String, Moment>,
    // When each zone was returned to use.
    returned_at: BTreeMap<String, Moment>,
    revoked: Arc<RevokedKeys>,
    roster: Roster,
    verification: Verification,
    // The log's era, and when this instance learned of it.
    era: Option<(Era, Moment)>,
    // The version last read from the log, if it is older than the one in force.
    log_behind_at: Option<Version>,
    // Whether the operator's topic has been read completely at least once.
    policy_read: bool,
    endpoints_listed: bool,
    // Whether the list was read anew since it was last confirmed, in one page or more.
    continuity: Continuity,
    past_reading: past::Reading,
    policy_current: bool,
    readiness: Option<Readiness>,
    // When evidence of crashes was last compared with what runs.
    evidence_checked_at: Moment,
    // Endpoints that changed and are yet to be logged.
    unlogged: Vec<EntryChange>,
}

impl Control {
    fn new(
        shared: Arc<Shared>,
        endpoints: Arc<Source<Registration>>,
        streams: Arc<OwnTopic>,
        lines: Queue,
    ) -> Self {
        Self {
            roster: Roster::new(shared.settings.heartbeat),
            shared,
            endpoints_source: endpoints,
            streams_topic: streams,
            lines,
            policy: None,
            evacuated: EvacuatedZones::default(),
            topic_state: TopicState::default(),
            fetchable_until: BTreeMap::new(),
            returned_at: BTreeMap::new(),
            revoked: Arc::default(),
            verification: Verification::default(),
            era: None,
            log_behind_at: None,
            policy_read: false,
            endpoints_listed: false,
            continuity: Continuity::List,
            past_reading: past::Reading::default(),
            policy_current: false,
            readiness: None,
            evidence_checked_at: Moment::ZERO,
            unlogged: Vec::new(),
        }
    }

    fn apply_operator_update(&mut self, update: TopicUpdate<Directive>) {
        let mut newer = false;
        self.record_era(update.era, None);
        self.topic_state.reset_if_new(update.mode.epoch, update.era);
        for change in update.changes {
            newer |= self.apply_directive(change);
        }
        if let Some(offset) = update.position {
            let era = update.era;
            newer |= self.apply_evacuation(
                self.topic_state.evacuation_at(Position { era, offset }),
                "log",
            );
        }
        if newer {
            self.publish_view();
        }
        if update.complete {
            self.record_complete_read(update.era, update.sent_at);
        }
        self.read_past_if_needed();
        self.check_readiness();
    }

    // Records that the operator's topic was read completely.
    fn record_complete_read(&mut self, era: Era, sent_at: Moment) {
        let before = self.verification;
        let reliable = self.verification.record_read(era, sent_at);
        self.shared.set_log_needs_reread(!reliable);
        // A version that can't be read may take keys away.
        if reliable && !self.topic_state.is_policy_unreadable {
            self.confirm_policy(sent_at, self.topic_state.version);
        } else if !reliable && self.verification != before {
            log::info!(era = era, version = self.topic_state.version; "the log may have just been restored from a copy; reading it again before acting on keys");
        }
    }

    // Returns whether the log holds an older version than the one in force.
    // Such a log may also lack a newer version that revoked keys, so it can't
    // confirm the configuration.
    fn check_log_behind(&mut self, version: Version) -> bool {
        let in_force = self.version_in_force();
        let behind_at = Some(version).filter(|version| *version < in_force);
        if behind_at != std::mem::replace(&mut self.log_behind_at, behind_at) {
            log::warn!(version = version, held = in_force, behind = behind_at.is_some(); "version in the log compared with the version in force");
        }
        behind_at.is_some()
    }

    // Returns the version in force, or 0 if there is none.
    fn version_in_force(&self) -> Version {
        self.policy.as_ref().map_or(0, |policy| policy.version())
    }

    // Records the era of the log, and when a peer learned that the log was
    // restored from a copy.
    fn record_era(&mut self, era: Era, restored_at: Option<Moment>) {
        let now = boot_time();
        let before = self.era.map(|(before, _)| before);
        if before < Some(era) {
            self.era = Some((era, now));
            self.shared
                .update_replica(false, |replica| replica.set_era(era));
            log::info!(era = era, before:? = before; "log era");
        }
        let increased = before.is_some_and(|before| before < era);
        if let Some(at) = restored_at.or(increased.then_some(now)) {
            self.roster.record_restore(at);
            self.shared
                .update_replica(false, |replica| replica.record_restore(at));
        }
    }

    fn apply_directive(&mut self, change: Change<Directive>) -> bool {
        match change {
            Change::Set(_, Directive::Policy(policy)) => {
                self.topic_state.version = policy.version();
                self.topic_state.is_policy_unreadable = false;
                self.apply_policy(policy)
            }
            Change::Set(key, Directive::Evacuate(zone)) => {
                self.topic_state.set(key, zone);
                false
            }
            Change::Removed(key) => {
                self.topic_state.remove(&key);
                false
            }
            Change::Unreadable(key, cause) => {
                let in_force = self.version_in_force();
                log::error!(
                    key:% = key, cause:% = cause, in_force = in_force;
                    "operator's record is unreadable; the version in force is no longer confirmed by the log"
                );
                self.topic_state.version = in_force;
                self.topic_state.is_policy_unreadable = true;
                false
            }
        }
    }

    // Applies the set of evacuated zones. `source` names where it came from,
    // for log lines. Returns whether any zone changed.
    fn apply_evacuation(&mut self, evacuation: Evacuation, source: &str) -> bool {
        let as_of = evacuation.as_of;
        let Some(changes) = self.evacuated.apply(evacuation, boot_time()) else {
            return false;
        };
        let state = self.evacuated.state().clone();
        self.shared
            .update_replica(true, |replica| replica.set_evacuation(state));
        for zone in &changes.evacuated {
            log::warn!(zone:% = zone, as_of:% = as_of, told_by:% = source; "zone evacuated; its endpoints get no requests");
            self.allow_fetching(zone);
        }
        for zone in &changes.returned {
            log::info!(zone:% = zone, as_of:% = as_of, told_by:% = source; "zone returned; its endpoints are used again");
            self.restore_zone(zone);
        }
        self.shared
            .metrics
            .record_evacuated_zones(self.evacuated.zones().count());
        !changes.is_empty()
    }

    fn restore_zone(&mut self, zone: &str) {
        let now = boot_time();
        self.fetchable_until.remove(zone);
        self.returned_at.insert(zone.to_owned(), now);
        let mut stats = self.shared.endpoint_stats();
        let registrations = self.roster.registrations();
        for one in registrations.filter(|one| one.endpoint.zone == id::from_name(zone)) {
            stats.set_idle(one.endpoint.id, now);
        }
    }

    // Records that the configuration was confirmed by a read sent at `at`. A
    // read that found no configuration is reported to peers too, but requests
    // can't be served by it.
    fn confirm_policy(&mut self, at: Moment, version: Version) {
        if self.check_log_behind(version) {
            return;
        }
        if self.policy.is_some() {
            self.shared.confirm_policy(at);
        }
        let first = !std::mem::replace(&mut self.policy_read, true);
        self.shared
            .update_replica(first, |replica| replica.confirm_policy(at));
    }

    // Applies the state that a peer has read from the log.
    fn apply_peer_update(&mut self, update: PeerUpdate) {
        self.record_era(update.era, update.restored_at);
        self.roster.set_origin(Origin::Peer(update.incarnation));
        let mut changed = update.full && !self.endpoints_listed;
        let removed = self.removed_endpoints(&update);
        if let Some(content) = update.policy {
            changed |= self.apply_policy(Policy::new(content));
        }
        if let Some(evacuation) = update.evacuation {
            changed |= self.apply_evacuation(evacuation, "peer");
        }
        if let Some(confirmed_at) = update.endpoints_confirmed_at {
            self.roster.record_renewal(confirmed_at, boot_time());
        }
        for registration in update.set {
            changed |= self.apply_entry(registration, update.built_at, Roster::apply_from_peer);
        }
        for name in &update.expired {
            changed |= self.apply_expired(name, boot_time());
        }
        for name in removed {
            changed |= self.remove_endpoint(&name);
        }
        self.endpoints_listed |= update.full;
        if changed {
            self.publish_view();
        }
        for evidence in update.evidence {
            record_evidence(&self.shared, &evidence, EvidenceSource::Poll);
        }
        if let Some(confirmed_at) = update.endpoints_confirmed_at {
            self.roster.record_complete_read(confirmed_at);
            let mut builds = self.shared.builds();
            builds.record_mentions(&update.builds, update.built_at);
            builds.record_confirmation(confirmed_at, update.continuity);
            drop(builds);
            self.shared
                .update_replica(false, |replica| replica.confirm_endpoints(confirmed_at));
        }
        let verified = verified_era(update.era, update.restored_at, update.policy_confirmed_at);
        self.verification.record_peer_answer(verified);
        self.shared.set_log_needs_reread(false);
        self.confirm_policy(update.policy_confirmed_at, update.version);
        self.log_changes();
        self.check_readiness();
    }

    // Allows endpoints elsewhere to fetch the prompts held in an evacuated zone
    // for the rest of the time allowed for leaving it. An instance whose
    // configuration is out of date, or that has just started, can't know how
    // much of that time is left and so allows none.
    fn allow_fetching(&mut self, zone: &str) {
        let settings = &self.shared.settings;
        let remaining = settings
            .evacuation
            .saturating_sub(settings.max_update_delay());
        if self.shared.policy_age() < settings.max_update_delay() {
            self.fetchable_until
                .insert(zone.to_owned(), boot_time() + remaining);
        }
    }

    fn apply_policy(&mut self, policy: Policy) -> bool {
        let in_force = self.version_in_force();
        // Versions only increase. An older one must be a mistake and must not
        // undo a version that callers have already seen in effect.
        if policy.version() <= in_force {
            log::warn!(version = policy.version(), held = in_force, era:? = self.era.map(|(era, _)| era); "older version ignored");
            return false;
        }
        let changes = self.record_revoked_keys(&policy);
        log::info!(
            version = policy.version(), before = in_force, routes = policy.routes(),
            keys_added = changes.added, keys_removed = changes.removed;
            "version in force"
        );
        self.shared.metrics.requests().version(policy.version());
        self.shared
            .update_replica(true, |replica| replica.set_policy(policy.content().clone()));
        self.policy = Some(Arc::new(policy));
        true
    }

    // Records the keys that a new version revokes.
    fn record_revoked_keys(&mut self, policy: &Policy) -> KeyChanges {
        match &self.policy {
            Some(current) if current.content().keys != policy.content().keys => {
                Arc::make_mut(&mut self.revoked).record_replacement(current, policy)
            }
            _ => KeyChanges::default(),
        }
    }

    fn tick(&mut self, now: Moment) {
        self.shared.limit_idle_connections(now);
        let on_trial = self.shared.endpoint_stats().tick(now);
        self.record_trials(&on_trial);
        let lost = self.shared.reach().lost_count();
        self.shared.metrics.record_lost_endpoints(lost);
        self.shared
            .metrics
            .record_dropped_lines(self.lines.dropped());
        self.shared
            .metrics
            .record_policy_age(self.shared.policy_age());
        if let Some((era, learned_at)) = self.era {
            self.shared
                .metrics
                .record_log_era(era, since(now, learned_at));
        }
        let spans = self.shared.directory().len();
        self.shared.metrics.record_prompt_spans(spans);
        let (streams, dropped) = {
            let origins = self.shared.origins();
            (origins.len(), origins.dropped())
        };
        let metrics = &self.shared.metrics;
        metrics.streams().record_origins(streams, dropped);
        let removed = self.roster.remove_expired(now);
        for name in &removed {
            log::info!(endpoint:% = name; "endpoint removed: its entry did not return after the log outage");
            self.shared
                .update_replica(true, |replica| replica.remove_endpoint(name));
        }
        let mut changed = !removed.is_empty();
        changed |= self.apply_notices(now);
        for registration in self.roster.take_unconfirmed() {
            changed |= self.apply_entry(registration, now, Roster::apply);
        }
        let read = self.shared.policy_confirmed_at().unwrap_or_default();
        let returned = self.evacuated.release_expired(read);
        for zone in &returned {
            log::info!(zone:% = zone; "zone returned: the restored log does not evacuate it; its endpoints are used again");
            self.restore_zone(zone);
        }
        let fetchable = self.fetchable_until.len();
        self.fetchable_until.retain(|_, until| now < *until);
        if changed || !returned.is_empty() || self.fetchable_until.len() < fetchable {
            self.publish_view();
        }
        self.withdraw_evidence(now);
        self.check_policy_current(now);
        self.log_changes();
        self.check_readiness();
    }

    // Takes back that endpoints crashed which turned out to run on.
    fn withdraw_evidence(&mut self, now: Moment) {
        if since(now, self.evidence_checked_at) < EVIDENCE_CHECK_INTERVAL {
            return;
        }
        self.evidence_checked_at = now;
        if let Some(running_at) = self.roster.running_at() {
            withdraw_evidence(&self.shared, self.roster.running(), running_at);
        }
    }

    // Logs what this instance lacks to serve callers, when that changes.
    fn check_readiness(&mut self) {
        let readiness = self.shared.readiness();
        let before = self.readiness.replace(readiness);
        if before == Some(readiness) {
            return;
        }
        self.shared.metrics.start().record_readiness(readiness);
        let endpoints = self.roster.registrations().count();
        log::info!(
            readiness:% = readiness, before:? = before, uptime_ms = self.shared.uptime().as_millis(),
            policy_age_ms = self.shared.policy_age().as_millis(), endpoints = endpoints;
            "readiness changed"
        );
    }

    // Logs and counts the endpoints that are tried again from now on.
    fn record_trials(&self, on_trial: &[EndpointId]) {
        if on_trial.is_empty() {
            return;
        }
        let view = self.shared.view();
        let known = view.endpoints.iter().flat_map(BTreeMap::values).flatten();
        for one in known.filter(|one| on_trial.contains(&one.endpoint.id)) {
            self.shared.record_access_change(
                &one.endpoint,
                Some(Access::Trial),
                Observation::PauseOver,
            );
        }
    }

    fn check_policy_current(&mut self, now: Moment) {
        let current = self.shared.is_policy_current();
        if current == self.policy_current {
            return;
        }
        self.policy_current = current;
        let age = self
            .shared
            .policy_confirmed_at()
            .map(|at| since(now, at).as_millis());
        if current {
            log::info!(age_ms:? = age; "configuration confirmed; accepting keys");
        } else {
            log::warn!(age_ms:? = age; "configuration not confirmed in time; refusing keys");
        }
    }

    // Returns when each warming endpoint will be warm. Endpoints of a returned
    // zone may have gone cold shortly before, which their entries report late.
    fn warm_at(&self) -> BTreeMap<EndpointId, Moment> {
        let now = boot_time();
        let warming = self.roster.warming(now);
        let mut warm_at: BTreeMap<_, _> = warming.map(|(one, at)| (one.endpoint.id, at)).collect();
        for (name, returned_at) in &self.returned_at {
            let zone = id::from_name(name);
            let all = self.roster.registrations();
            for one in all.filter(|one| one.endpoint.zone == zone) {
                let warm_up_time = self.warm_up_time(one.endpoint.service);
                let until = warm_at.entry(one.endpoint.id).or_default();
                *until = (*until).max(returned_at.saturating_add(warm_up_time));
            }
        }
        warm_at.retain(|_, at| *at > now);
        warm_at
    }

    // Returns how long the endpoints of a service take to warm up.
    fn warm_up_time(&self, service: ServiceId) -> Duration {
        let policy = self.policy.as_ref();
        let service = policy.and_then(|policy| policy.service(service));
        let ramp = service.and_then(|service| service.ramp);
        ramp.map_or(Duration::ZERO, |ramp| ramp.time)
    }

    // Records the builds of all known endpoints. Others are told of the streams that began
    // while one build served alone as soon as it no longer does.
    fn record_builds(&self) {
        if !self.endpoints_listed {
            return;
        }
        let listed = self.roster.registrations().map(|one| &**one);
        let nothing_before = self.shared.settings.first_start;
        let mut builds = self.shared.builds();
        if let Some(policy) = &self.policy {
            builds.set_retention(policy.longest_resumable().saturating_add(MAX_RETURN_TIME));
        }
        builds.record_list(listed, nothing_before, boot_time());
        drop(builds);
        tell_origins(&self.shared);
    }

    // Reads, once after a start, what the log still holds of endpoints that have left and of where
    // streams began, unless others tell what served before. Instances that nobody polls ask.
    fn read_past_if_needed(&mut self) {
        let is_polled = self.shared.serves_peers() || self.shared.settings.listen.peers.is_none();
        let past::Reading::Possible { end } = self.past_reading else {
            return;
        };
        if !is_polled || !self.shared.builds().lacks_past(boot_time()) {
            return;
        }
        self.past_reading = past::Reading::Begun;
        let extent = past::Extent {
            end,
            endpoints: self.roster.registrations().count(),
        };
        let source = Arc::clone(&self.endpoints_source);
        tokio::spawn(past::read(source, Arc::clone(&self.shared), extent));
        let streams = Arc::clone(&self.streams_topic);
        tokio::spawn(kept::read(streams, Arc::clone(&self.shared)));
    }

    fn publish_view(&self) {
        let with_standing = |standing| {
            let all = self.roster.registrations();
            all.filter(move |one| one.endpoint.standing == standing)
        };
        let evacuated = |one: &&Arc<Registration>| self.evacuated.contains(one.endpoint.zone);
        let usable = |one: &&Arc<Registration>| !evacuated(one);
        let fetchable = |one: &&Arc<Registration>| {
            let mut zones = self.fetchable_until.keys();
            zones.any(|name| id::from_name(name) == one.endpoint.zone)
        };
        let leaving = with_standing(Standing::Leaving).filter(|one| usable(one) || fetchable(one));
        let leaving = leaving.chain(with_standing(Standing::Live).filter(fetchable));
        let endpoints = self
            .endpoints_listed
            .then(|| by_service(with_standing(Standing::Live).filter(usable)));
        let live = endpoints
            .iter()
            .flatten()
            .map(|(_, endpoints)| endpoints.len())
            .sum();
        self.shared.metrics.record_endpoints(live);
        self.record_builds();
        self.shared.publish(View {
            policy: self.policy.clone(),
            endpoints,
            leaving: by_service(leaving),
            evacuated: by_service(with_standing(Standing::Live).filter(evacuated)),
            warm_at: self.warm_at(),
            revoked: Arc::clone(&self.revoked),
        });
        let known_ids: BTreeSet<_> = self
            .roster
            .registrations()
            .map(|one| one.endpoint.id)
            .collect();
        self.shared
            .endpoint_stats()
            .retain_endpoints(|id| known_ids.contains(&id));
        self.shared
            .reach()
            .retain_endpoints(|id| known_ids.contains(&id));
        self.shared
            .fragility()
            .retain_endpoints(|id| known_ids.contains(&id));
        self.shared
            .work()
            .retain_endpoints(|id| known_ids.contains(&id));
    }
}

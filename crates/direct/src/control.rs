//! The control thread: follows the log and publishes what is in force.
//!
//! Each topic is followed by a task of this thread, which sends what it heard
//! to one loop. The loop alone changes state, and publishes a new view when
//! something in it changed. An instance that has others to ask follows one of
//! them instead (`peers`), and goes back to the log when none of them knows
//! better.

mod entries;
mod follow;
pub(crate) mod peers;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::{Clock, boot_time};
use godwitpost_client::timer::Timer;
use godwitpost_process::logging::queue::Queue;
use godwitpost_process::serve::{self, Port};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{self, EndpointId, Era, ServiceId, Version};
use tokio::sync::{mpsc, watch};

use self::follow::{Heard, Log, Mode, Topic, follow};
use self::peers::News;
use crate::evacuation::{EvacuatedZones, Evacuation, TopicState};
use crate::feed::Change;
use crate::policy::Policy;
use crate::revoked::{KeyChanges, RevokedKeys};
use crate::roster::{Origin, Registration, Roster};
use crate::shared::{Shared, View, by_service};
use crate::source::{Directive, Position, Source};
use crate::startup::StartupState;

/// How often endpoints that are held to be down, and lapsed entries, are
/// looked at.
const TICK: Duration = Duration::from_millis(100);

/// The configuration and the endpoints, where they are followed from.
#[derive(Debug)]
pub struct Sources {
    /// What the operator says; versions of the configuration only ever increase.
    pub operator: Source<Directive>,
    /// What endpoints say of themselves.
    pub endpoints: Source<Registration>,
}

enum Event {
    Operator(Heard<Directive>),
    Endpoints(Heard<Registration>),
    Peer(Box<News>),
}

/// Follows both topics; never returns.
pub(crate) async fn run(
    shared: Arc<Shared>,
    sources: Sources,
    lines: Queue,
    peers_port: Option<Port>,
    ended: watch::Receiver<bool>,
) {
    // Three tasks that wait for their turn to send; nothing piles up.
    let (sender, mut events) = mpsc::channel(3);
    let timer = Timer::new(Duration::ZERO);
    tokio::spawn(timer.clone().drive(Clock::start_at(Duration::ZERO)));
    let asks = shared.settings.polls_peers();
    let (mode, modes) = watch::channel(Mode::at_start(asks));
    let log = |topic| Log {
        shared: Arc::clone(&shared),
        topic,
        modes: modes.clone(),
    };
    tokio::spawn(follow(
        sources.operator,
        log(Topic::Operator),
        sender.clone(),
        Event::Operator,
    ));
    tokio::spawn(follow(
        sources.endpoints,
        log(Topic::Endpoints),
        sender.clone(),
        Event::Endpoints,
    ));
    if let Some(port) = peers_port {
        let told = Arc::clone(&shared);
        let answer = move |request| peers::answer(Arc::clone(&told), request);
        tokio::spawn(serve::run(
            port,
            crate::serve::internal_limits(),
            ended,
            answer,
        ));
    }
    if !shared.settings.other_seeds().is_empty() {
        tokio::spawn(peers::ask(Arc::clone(&shared), mode, sender, peer_event));
    }
    if shared.settings.is_seed() {
        tokio::spawn(peers::exchange(Arc::clone(&shared)));
    }
    let mut control = Control::new(shared, lines);
    let mut ticks = timer.every(TICK);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(Event::Operator(heard)) => control.operator(heard),
                // What was read before a peer was asked may be older than
                // what the peer told since.
                Some(Event::Endpoints(heard)) if modes.borrow().current(heard.mode) => {
                    control.endpoints(heard);
                }
                Some(Event::Endpoints(_)) => {}
                Some(Event::Peer(news)) => control.peer(*news),
                None => return,
            },
            _ = ticks.next() => control.tick(boot_time()),
        }
    }
}

fn peer_event(news: News) -> Event {
    Event::Peer(Box::new(news))
}

struct Control {
    shared: Arc<Shared>,
    lines: Queue,
    policy: Option<Arc<Policy>>,
    evacuation: EvacuatedZones,
    // What the follower of the operator's topic has read of evacuations.
    reading: TopicState,
    // Until when what an evacuated zone's endpoints hold may be fetched.
    fetched: BTreeMap<String, Moment>,
    // When zones were given back.
    returned: BTreeMap<String, Moment>,
    revoked: Arc<RevokedKeys>,
    roster: Roster,
    start: StartupState,
    // The log's era, and when it was first heard of.
    era: Option<(Era, Moment)>,
    // The version that the log holds, as read last, if that is older than the one in
    // force.
    lags: Option<Version>,
    // Whether the configuration's topic was ever read.
    read: bool,
    listed: bool,
    fresh: bool,
}

impl Control {
    fn new(shared: Arc<Shared>, lines: Queue) -> Self {
        Self {
            roster: Roster::new(shared.settings.heartbeat),
            shared,
            lines,
            policy: None,
            evacuation: EvacuatedZones::default(),
            reading: TopicState::default(),
            fetched: BTreeMap::new(),
            returned: BTreeMap::new(),
            revoked: Arc::default(),
            start: StartupState::default(),
            era: None,
            lags: None,
            read: false,
            listed: false,
            fresh: false,
        }
    }

    fn operator(&mut self, heard: Heard<Directive>) {
        let mut newer = false;
        self.era(heard.era, None);
        self.reading.reset_if_new(heard.mode.epoch, heard.era);
        for change in heard.changes {
            newer |= self.statement(change);
        }
        if let Some(offset) = heard.position {
            let era = heard.era;
            newer |= self.evacuate(self.reading.evacuation_at(Position { era, offset }), "log");
        }
        if newer {
            self.publish();
        }
        if heard.whole {
            self.read(heard.era, heard.asked);
        }
    }

    // Takes in that the log was read whole.
    fn read(&mut self, era: Era, asked: Moment) {
        let before = self.start;
        let believed = self.start.record_read(era, asked);
        self.shared.set_log_needs_reread(!believed);
        if believed {
            self.confirm(asked, self.reading.version);
        } else if self.start != before {
            log::info!(era = era, version = self.reading.version; "the log may have just come back from a copy; it is read again before keys are acted on");
        }
    }

    // Returns whether the log lacks what is in force, holding this version. It may lack
    // a newer one as well then, which took keys away.
    fn is_behind(&mut self, version: Version) -> bool {
        let held = self.version();
        let lags = Some(version).filter(|version| *version < held);
        if lags != std::mem::replace(&mut self.lags, lags) {
            log::warn!(version = version, held = held, behind = lags.is_some(); "version that the log holds, and the one in force");
        }
        lags.is_some()
    }

    // The version in force; 0 if there is none.
    fn version(&self) -> Version {
        self.policy.as_ref().map_or(0, |held| held.version())
    }

    // Takes in the era of the log that told something, and when a peer heard of it.
    fn era(&mut self, era: Era, heard: Option<Moment>) {
        let now = boot_time();
        let before = self.era.map(|(before, _)| before);
        if before < Some(era) {
            self.era = Some((era, now));
            self.shared
                .update_replica(false, |replica| replica.set_era(era));
            log::info!(era = era, before:? = before; "era of the log");
        }
        let rose = before.is_some_and(|before| before < era);
        if let Some(at) = heard.or(rose.then_some(now)) {
            self.roster.record_restore(at);
            self.shared
                .update_replica(false, |replica| replica.record_restore(at));
        }
    }

    fn statement(&mut self, change: Change<Directive>) -> bool {
        match change {
            Change::Set(_, Directive::Policy(policy)) => {
                self.reading.version = policy.version();
                self.policy(policy)
            }
            Change::Set(key, Directive::Evacuate(zone)) => {
                self.reading.set(key, zone);
                false
            }
            Change::Removed(key) => {
                self.reading.remove(&key);
                false
            }
            Change::Unreadable(key, cause) => {
                log::error!(key:% = key, cause:% = cause; "operator's record can't be read; the last version stays");
                self.reading.version = self.version();
                false
            }
        }
    }

    // Takes in which zones are evacuated, by the word of `told_by`; returns whether
    // that changed.
    fn evacuate(&mut self, evacuation: Evacuation, told_by: &str) -> bool {
        let as_of = evacuation.as_of;
        let Some(changes) = self.evacuation.apply(evacuation, boot_time()) else {
            return false;
        };
        let own = self.evacuation.state().clone();
        self.shared
            .update_replica(true, |replica| replica.set_evacuation(own));
        for zone in &changes.evacuated {
            log::warn!(zone:% = zone, as_of:% = as_of, told_by:% = told_by; "zone evacuated; its endpoints get nothing");
            self.fetch_from(zone);
        }
        for zone in &changes.returned {
            log::info!(zone:% = zone, as_of:% = as_of, told_by:% = told_by; "zone returned; its endpoints are used again");
            self.give_back(zone);
        }
        self.shared
            .metrics
            .record_evacuated_zones(self.evacuation.zones().count());
        !changes.is_empty()
    }

    fn give_back(&mut self, zone: &str) {
        let now = boot_time();
        self.fetched.remove(zone);
        self.returned.insert(zone.to_owned(), now);
        let mut book = self.shared.endpoint_stats();
        let registrations = self.roster.registrations();
        for one in registrations.filter(|one| one.endpoint.zone == id::of(zone)) {
            book.set_idle(one.endpoint.id, now);
        }
    }

    // That there is no configuration yet is known as well, but nothing can be
    // acted on by it.
    fn confirm(&mut self, at: Moment, version: Version) {
        if self.is_behind(version) {
            return;
        }
        if self.policy.is_some() {
            self.shared.confirm_policy(at);
        }
        let first = !std::mem::replace(&mut self.read, true);
        self.shared
            .update_replica(first, |replica| replica.confirm_policy(at));
    }

    // What a peer told that reads the log.
    fn peer(&mut self, news: News) {
        self.era(news.era, news.restored);
        self.roster.set_origin(Origin::Peer(news.life));
        let mut changed = news.whole && !self.listed;
        let gone = self.gone(&news);
        if let Some(content) = news.policy {
            changed |= self.policy(Policy::new(content));
        }
        if let Some(evacuation) = news.evacuation {
            changed |= self.evacuate(evacuation, "peer");
        }
        self.roster.record_read(news.endpoints_read);
        for registration in news.set {
            changed |= self.take(registration, news.made, Roster::apply_from_peer);
        }
        for name in gone {
            changed |= self.dismiss(&name);
        }
        self.listed |= news.whole;
        if changed {
            self.publish();
        }
        for evidence in news.evidence {
            self.shared.crash_tracker().record(evidence);
        }
        self.shared.update_replica(false, |replica| {
            replica.confirm_endpoints(news.endpoints_read);
        });
        self.start.record_peer_answer();
        self.shared.set_log_needs_reread(false);
        self.confirm(news.policy_read, news.version);
    }

    // Lets endpoints elsewhere fetch what those of an evacuated zone hold, in what is
    // left of the time for leaving it. An instance that has lost touch, or has just
    // started, can't know how much that is.
    fn fetch_from(&mut self, zone: &str) {
        let settings = &self.shared.settings;
        let left = settings
            .evacuation
            .saturating_sub(settings.max_update_delay());
        if self.shared.policy_age() < settings.max_update_delay() {
            self.fetched.insert(zone.to_owned(), boot_time() + left);
        }
    }

    fn policy(&mut self, policy: Policy) -> bool {
        let held = self.version();
        // The log never goes back; whatever looks like it is a mistake that must
        // not undo a version that callers have seen work.
        if policy.version() <= held {
            log::warn!(version = policy.version(), held = held, era:? = self.era.map(|(era, _)| era); "older version ignored");
            return false;
        }
        let changes = self.keys(&policy);
        log::info!(
            version = policy.version(), before = held, routes = policy.routes(),
            keys_added = changes.added, keys_removed = changes.removed;
            "version in force"
        );
        self.shared.metrics.requests().version(policy.version());
        self.shared
            .update_replica(true, |replica| replica.set_policy(policy.content().clone()));
        self.policy = Some(Arc::new(policy));
        true
    }

    // Remembers the keys that a version takes away.
    fn keys(&mut self, policy: &Policy) -> KeyChanges {
        match &self.policy {
            Some(held) if held.content().keys != policy.content().keys => {
                Arc::make_mut(&mut self.revoked).record_replacement(held, policy)
            }
            _ => KeyChanges::default(),
        }
    }

    fn tick(&mut self, now: Moment) {
        self.shared.endpoint_stats().tick(now);
        self.shared
            .metrics
            .record_dropped_lines(self.lines.dropped());
        self.shared
            .metrics
            .record_policy_age(self.shared.policy_age());
        if let Some((era, heard)) = self.era {
            self.shared.metrics.record_log_era(era, since(now, heard));
        }
        let spans = self.shared.directory().len();
        self.shared.metrics.record_prompt_spans(spans);
        let gone = self.roster.remove_expired(now);
        for name in &gone {
            log::info!(endpoint:% = name; "endpoint still missing after the log's return; gone");
            self.shared
                .update_replica(true, |replica| replica.remove_endpoint(name));
        }
        let mut changed = !gone.is_empty();
        changed |= self.notices(now);
        for registration in self.roster.take_unconfirmed() {
            changed |= self.take(registration, now, Roster::apply);
        }
        let read = self.shared.policy_confirmed_at().unwrap_or_default();
        let returned = self.evacuation.release_expired(read);
        for zone in &returned {
            log::info!(zone:% = zone; "zone is not evacuated again after the log came back; its endpoints are used again");
            self.give_back(zone);
        }
        let fetched = self.fetched.len();
        self.fetched.retain(|_, until| now < *until);
        if changed || !returned.is_empty() || self.fetched.len() < fetched {
            self.publish();
        }
        self.freshness(now);
    }

    fn freshness(&mut self, now: Moment) {
        let fresh = self.shared.is_policy_current();
        if fresh == self.fresh {
            return;
        }
        self.fresh = fresh;
        let age = self
            .shared
            .policy_confirmed_at()
            .map(|at| since(now, at).as_millis());
        if fresh {
            log::info!(age_ms:? = age; "configuration confirmed; keys are acted on");
        } else {
            log::warn!(age_ms:? = age; "configuration not confirmed in time; keys are not acted on");
        }
    }

    // When endpoints that are warming up will have done so. Those of a zone that was
    // given back may have become cold shortly before, which their entries say late.
    fn warm_at(&self) -> BTreeMap<EndpointId, Moment> {
        let now = boot_time();
        let told = self.roster.warming(now);
        let mut warm_at: BTreeMap<_, _> = told.map(|(one, at)| (one.endpoint.id, at)).collect();
        for (name, back) in &self.returned {
            let zone = id::of(name);
            let all = self.roster.registrations();
            for one in all.filter(|one| one.endpoint.zone == zone) {
                let own = warm_at.entry(one.endpoint.id).or_default();
                *own = (*own).max(*back + self.warms_up(one.endpoint.service));
            }
        }
        warm_at.retain(|_, at| *at > now);
        warm_at
    }

    // How long endpoints of a service take to warm up.
    fn warms_up(&self, service: ServiceId) -> Duration {
        let policy = self.policy.as_ref();
        let service = policy.and_then(|policy| policy.service(service));
        let ramp = service.and_then(|service| service.ramp);
        ramp.map_or(Duration::ZERO, |ramp| ramp.time)
    }

    fn publish(&self) {
        let of = |standing| {
            let all = self.roster.registrations();
            all.filter(move |one| one.endpoint.standing == standing)
        };
        let evacuated = |one: &&Registration| self.evacuation.contains(one.endpoint.zone);
        let usable = |one: &&Registration| !evacuated(one);
        let fetched = |one: &&Registration| {
            let mut zones = self.fetched.keys();
            zones.any(|name| id::of(name) == one.endpoint.zone)
        };
        let held = of(Standing::Leaving).filter(|one| usable(one) || fetched(one));
        let held = held.chain(of(Standing::Live).filter(fetched));
        let endpoints = self
            .listed
            .then(|| by_service(of(Standing::Live).filter(usable)));
        let live = endpoints.iter().flatten().map(|(_, of)| of.len()).sum();
        self.shared.metrics.record_endpoints(live);
        self.shared.publish(View {
            policy: self.policy.clone(),
            endpoints,
            leaving: by_service(held),
            evacuated: by_service(of(Standing::Live).filter(evacuated)),
            warm_at: self.warm_at(),
            revoked: Arc::clone(&self.revoked),
        });
        let known: BTreeSet<_> = self
            .roster
            .registrations()
            .map(|one| one.endpoint.id)
            .collect();
        self.shared
            .endpoint_stats()
            .retain_endpoints(|id| known.contains(&id));
    }
}

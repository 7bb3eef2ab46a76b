use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{EvacuatedZones, Evacuation, REWRITE_GRACE, TopicState};
use crate::feed::{Change, Feed, Query};
use crate::replica::{Replica, UpdateRequest};
use crate::source::{Page, Position, Record, Reply, Tail, Value};

/// The number of schedules for each property.
const SEEDS: u64 = 10_000;

const ZONES: [&str; 3] = ["otaru", "kushiro", "sapporo"];

const fn at(offset: u64) -> Position {
    Position { era: 1, offset }
}

fn state(offset: u64, zones: &[&str]) -> Evacuation {
    Evacuation {
        as_of: at(offset),
        zones: zones.iter().copied().map(str::to_owned).collect(),
    }
}

#[test]
fn changes_name_added_and_removed_zones() {
    let mut own = Evacuation::NONE;
    let changes = own.apply(state(3, &["otaru", "kushiro"])).expect("newer");
    assert_eq!(changes.evacuated, ["kushiro", "otaru"]);
    let changes = own.apply(state(5, &["sapporo", "otaru"])).expect("newer");
    assert_eq!(changes.evacuated, ["sapporo"]);
    assert_eq!(changes.returned, ["kushiro"]);
    let changes = own.apply(state(9, &["sapporo", "otaru"])).expect("newer");
    assert!(changes.is_empty());
    assert_eq!(own.as_of, at(9));
}

/// Guards against a delayed state that undoes a newer one.
#[test]
fn an_older_state_changes_nothing() {
    let mut own = state(7, &["otaru"]);
    assert_eq!(own.apply(state(6, &[])), None);
    assert_eq!(own.apply(state(7, &["kushiro"])), None);
    assert_eq!(own, state(7, &["otaru"]));
}

/// Guards against zones that stay evacuated because their record was removed while a peer
/// was polled.
#[test]
fn the_topic_state_is_reset_in_each_epoch() {
    let mut topic = TopicState::default();
    topic.set("k".to_owned(), "otaru".to_owned());
    topic.reset_if_new(1, 1);
    assert_eq!(topic.evacuation_at(at(4)), state(4, &[]));
    topic.set("k".to_owned(), "otaru".to_owned());
    topic.reset_if_new(1, 1);
    assert_eq!(topic.evacuation_at(at(5)), state(5, &["otaru"]));
}

const fn first_era<A>(body: A) -> Reply<A> {
    Reply { era: Some(1), body }
}

// The operator's topic: all records, and the offset of the first one that is retained.
#[derive(Default)]
struct Log {
    records: Vec<Record<String>>,
    first_retained: u64,
}

impl Log {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    // Returns the evacuated zones as of an offset.
    fn zones(&self, as_of: u64) -> BTreeSet<String> {
        self.newest(as_of)
            .values()
            .map(|record| record.key.clone())
            .collect()
    }

    fn newest(&self, as_of: u64) -> BTreeMap<&str, &Record<String>> {
        let mut newest = BTreeMap::new();
        for record in self.records.iter().filter(|one| one.offset < as_of) {
            match record.value {
                Value::Removed => newest.remove(record.key.as_str()),
                _ => newest.insert(record.key.as_str(), record),
            };
        }
        newest
    }

    fn write(&mut self, rng: &mut ChaCha8Rng) {
        let zone = ZONES[rng.random_range(0..ZONES.len())];
        let is_evacuated = self.zones(self.end()).contains(zone);
        let value = if is_evacuated {
            Value::Removed
        } else {
            Value::Set(zone.to_owned())
        };
        self.records.push(Record {
            key: zone.to_owned(),
            offset: self.end(),
            value,
        });
        if rng.random_bool(0.1) {
            self.first_retained = self.end();
        }
    }

    fn list(&self) -> Page<String> {
        Page {
            records: self.newest(self.end()).into_values().cloned().collect(),
            next: None,
            end: self.end(),
        }
    }

    // Returns at most two records, so that readers lag behind.
    fn read(&self, from: u64) -> Tail<String> {
        if from < self.first_retained {
            return Tail::Expired { first: None };
        }
        let from = usize::try_from(from).expect("a short log");
        let records: Vec<_> = self.records.iter().skip(from).take(2).cloned().collect();
        Tail::Records {
            next: from as u64 + records.len() as u64,
            records,
            end: self.end(),
        }
    }
}

// An instance with a function that applies the states it receives.
struct Instance {
    replica: Replica,
    known: Evacuation,
    feed: Feed,
    topic: TopicState,
    epoch: u64,
    apply_state: fn(&mut Evacuation, Evacuation),
}

impl Instance {
    fn start(incarnation: u64, apply_state: fn(&mut Evacuation, Evacuation)) -> Self {
        Self {
            replica: Replica::new(incarnation),
            known: Evacuation::NONE,
            feed: Feed::default(),
            topic: TopicState::default(),
            epoch: 0,
            apply_state,
        }
    }

    fn apply(&mut self, other: Evacuation) {
        (self.apply_state)(&mut self.known, other);
        self.replica.set_evacuation(self.known.clone());
    }

    fn read_log(&mut self, log: &Log) {
        let changes = match self.feed.next_query() {
            Query::List(_) => self.feed.apply_page(first_era(log.list())),
            Query::Read(from) => self.feed.apply_tail(first_era(log.read(from))),
        };
        self.topic.reset_if_new(self.epoch, 1);
        for change in changes {
            match change {
                Change::Set(key, zone) => self.topic.set(key, zone),
                Change::Removed(key) => self.topic.remove(&key),
                Change::Unreadable(..) => {}
            }
        }
        if let Some(position) = self.feed.position() {
            self.apply(self.topic.evacuation_at(at(position)));
        }
    }

    // Reads the log again after polling peers.
    fn return_to_log(&mut self) {
        self.feed = Feed::default();
        self.epoch += 1;
    }

    fn request(&self) -> UpdateRequest {
        UpdateRequest {
            incarnation: 0,
            revision: 0,
            list_start: 0,
            digests: Vec::new(),
            peer_address: None,
            forwards: None,
            members: 0,
            link_rate: 0,
            reads_log: false,
            version: 0,
            evacuation: self.known.as_of,
            wait: Duration::ZERO,
            loads: Vec::new(),
            holders: Vec::new(),
        }
    }
}

// Runs a random schedule: the operator writes, readers lag, restart or return to the log,
// and answers of peers arrive late, twice or never. Returns whether every instance always
// knew the zones as of its offset, never went back to an older offset, and knew the
// newest state after reading to the end.
fn run_schedule(seed: u64, apply_state: fn(&mut Evacuation, Evacuation)) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut log = Log::default();
    let mut instances: Vec<_> = (1..=4)
        .map(|incarnation| Instance::start(incarnation, apply_state))
        .collect();
    let mut in_transit: Vec<(usize, Evacuation)> = Vec::new();
    for _ in 0..80 {
        let at = rng.random_range(0..instances.len());
        let before = instances[at].known.as_of;
        let mut restarted = false;
        match rng.random_range(0..12) {
            0..=1 => log.write(&mut rng),
            2..=5 => instances[at].read_log(&log),
            6..=7 => {
                let peer = rng.random_range(0..instances.len());
                let request = instances[at].request();
                let update =
                    instances[peer]
                        .replica
                        .build_update(&request, Duration::ZERO, Duration::ZERO);
                in_transit.extend(update.evacuation.map(|evacuation| (at, evacuation)));
            }
            8..=9 if !in_transit.is_empty() => {
                let next = rng.random_range(0..in_transit.len());
                let (to, evacuation) = in_transit[next].clone();
                instances[to].apply(evacuation);
                if rng.random_bool(0.7) {
                    in_transit.remove(next);
                }
            }
            10 => instances[at].return_to_log(),
            11 => {
                instances[at] = Instance::start(rng.random(), apply_state);
                in_transit.retain(|(to, _)| *to != at);
                restarted = true;
            }
            _ => {}
        }
        let went_back = !restarted && instances[at].known.as_of < before;
        let wrong = |one: &Instance| one.known.zones != log.zones(one.known.as_of.offset);
        if went_back || instances.iter().any(wrong) {
            return false;
        }
    }
    instances.iter_mut().all(|one| {
        // Enough for an expired offset, a list, and two records at a time.
        for _ in 0..60 {
            one.read_log(&log);
        }
        one.known.zones == log.zones(log.end())
    })
}

fn apply_newer(own: &mut Evacuation, other: Evacuation) {
    own.apply(other);
}

/// Guards against an evacuated zone that is used, or a returned one that stays unused for
/// good, after states arrived late, twice, from several sources or not at all.
#[test]
fn every_instance_knows_the_zones_as_of_its_offset() {
    for seed in 0..SEEDS {
        assert!(run_schedule(seed, apply_newer), "seed {seed}");
    }
}

/// Shows that the schedules break an instance that applies every state it receives, in
/// order of arrival.
#[test]
fn schedules_break_an_instance_that_applies_older_states() {
    let apply_any = |own: &mut Evacuation, other: Evacuation| *own = other;
    let broken = (0..100)
        .filter(|seed| !run_schedule(*seed, apply_any))
        .count();
    assert!(broken > 0);
}

fn in_era(era: u64, offset: u64, zones: &[&str]) -> Evacuation {
    Evacuation {
        as_of: Position { era, offset },
        ..state(0, zones)
    }
}

#[test]
fn a_zone_is_found_by_its_name() {
    let mut own = EvacuatedZones::default();
    own.apply(state(3, &["otaru", "kushiro"]), Duration::ZERO);
    assert!(own.contains(id::from_name("otaru")) && !own.contains(id::from_name("sapporo")));
}

/// Guards against comparing states by their offsets although they are of different eras.
#[test]
fn a_state_of_a_later_era_is_newer_whatever_its_offset() {
    let mut own = EvacuatedZones::default();
    own.apply(in_era(1, 90, &[]), Duration::ZERO);
    let changes = own.apply(in_era(2, 4, &["otaru"]), Duration::ZERO);
    assert_eq!(changes.expect("newer").evacuated, ["otaru"]);
    assert_eq!(own.apply(in_era(1, 95, &[]), Duration::ZERO), None);
    assert!(own.contains(id::from_name("otaru")));
}

/// Guards against a zone that is used because the log lost its evacuation, and against
/// one that stays unused although it is no longer evacuated.
#[test]
fn a_zone_that_a_later_era_lacks_is_retained_for_the_grace_period() {
    let mut own = EvacuatedZones::default();
    own.apply(in_era(1, 9, &["otaru", "kushiro"]), Duration::ZERO);
    let changes = own.apply(in_era(2, 3, &[]), Duration::ZERO);
    assert!(changes.expect("newer").is_empty());
    let changes = own.apply(in_era(2, 4, &["otaru"]), REWRITE_GRACE / 2);
    assert!(changes.expect("newer").is_empty());
    assert_eq!(own.release_expired(REWRITE_GRACE / 2), [""; 0]);
    assert!(own.contains(id::from_name("otaru")) && own.contains(id::from_name("kushiro")));
    assert_eq!(own.release_expired(REWRITE_GRACE), ["kushiro"]);
    assert!(own.contains(id::from_name("otaru")) && !own.contains(id::from_name("kushiro")));
    // A zone that the operator returns in the same era is usable at once.
    let changes = own.apply(in_era(2, 6, &[]), REWRITE_GRACE).expect("newer");
    assert_eq!(changes.returned, ["otaru"]);
}

/// Guards against a zone that is used because the log became unavailable again before the
/// operator could write.
#[test]
fn each_era_restarts_the_grace_period() {
    let mut own = EvacuatedZones::default();
    own.apply(in_era(1, 9, &["otaru"]), Duration::ZERO);
    own.apply(in_era(2, 3, &[]), Duration::ZERO);
    own.apply(in_era(3, 2, &[]), REWRITE_GRACE / 2);
    assert_eq!(own.release_expired(REWRITE_GRACE), [""; 0]);
    assert_eq!(own.release_expired(REWRITE_GRACE * 3 / 2), ["otaru"]);
}

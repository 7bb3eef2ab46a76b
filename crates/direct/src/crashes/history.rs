//! The crashes and the latest answer of one part of prompts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, PartId};

use super::answers::Answer;
use super::evidence::MAX_TRANSIT;

/// The number of chained crashes from which on a part that was never answered is held.
const HOLD_CHAIN_LENGTH: u32 = 3;

/// The same for a part that was answered before the chain, most likely since it is sound:
/// a part that many requests share is in each crash. Until its next answer is complete,
/// some crashes may follow each other.
const HOLD_CHAIN_LENGTH_ANSWERED: u32 = 4;

/// How many crashes of a part that was answered before weigh as much as one of a part that
/// was not. Two parts that crash endpoints are each at half of the crashes at which a part
/// is that all requests share.
const UNANSWERED_FACTOR: u32 = 2;

/// The least time from the first crash to the last one for holding such a part: an answer
/// of a sound part is observed within it.
const MIN_HOLD_SPAN_ANSWERED: Duration = Duration::from_secs(2);

/// How much later than the one before a crash has to be observed to count, unless its
/// request was sent after that. Endpoints that end together do so within a few
/// milliseconds.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(100);

/// The longest pause within a chain before the part is held. Endpoints end now and then,
/// and a part that few requests have may be there each time.
const MAX_CHAIN_PAUSE: Duration = Duration::from_mins(1);

/// The first hold time. It grows by [`HOLD_GROWTH`] with each crash after it.
const INITIAL_HOLD: Duration = Duration::from_secs(10);

/// The factor by which the hold time grows.
const HOLD_GROWTH: u32 = 3;

/// The upper bound of the hold time, so that repaired endpoints get the part again within
/// this time.
const MAX_HOLD: Duration = Duration::from_hours(1);

/// How many crashes of a part are stored. The oldest are dropped first.
const MAX_CRASHES: usize = 64;

/// How many parts are stored that were seen together with one.
const MAX_COMPANIONS: usize = 64;

/// What a part is suspected of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// Nothing, or no more than any part that was at a crash.
    #[default]
    None,
    /// It was never answered, and is held after one more crash.
    Suspect,
    /// It crashes endpoints.
    Held,
}

/// A crash while requests with the part were at the endpoint.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// When the last one of them was sent.
    pub(super) sent_at: Moment,
    pub(super) observed_at: Moment,
    /// The other parts of these requests.
    companions: BTreeSet<PartId>,
}

impl Crash {
    /// Returns a part and the others of the same requests.
    pub(super) fn parts_with(&self, part: PartId) -> Vec<PartId> {
        let companions = self.companions.iter().copied();
        std::iter::once(part).chain(companions).collect()
    }
}

/// Crashes that follow each other without an answer in between.
#[derive(Clone, Debug, Default)]
pub(super) struct Chain {
    pub(super) links: u32,
    pub(super) suspicion: Suspicion,
    /// The endpoints that count.
    pub(super) endpoints: BTreeSet<EndpointId>,
    /// The other parts that were there at each of these crashes.
    pub(super) common: BTreeSet<PartId>,
    /// Until when the part is held.
    pub(super) held_until: Moment,
    first_at: Moment,
    pub(super) last_at: Moment,
    hold: Duration,
}

/// The history of one part.
#[derive(Debug, Default)]
pub(super) struct History {
    crashes: BTreeMap<EndpointId, Crash>,
    answer: Option<Answer>,
    chain: Chain,
    pub(super) latest: Moment,
    /// Whether the chain was long enough without the crashes that other parts explain.
    pub(super) is_convicted: bool,
    /// When this instance last let a request through to try the part again.
    pub(super) tried_at: Option<Moment>,
}

impl History {
    pub(super) const fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Returns the crashes that no answer has cleared.
    pub(super) fn crashes(&self) -> impl Iterator<Item = (EndpointId, &Crash)> {
        self.crashes
            .iter()
            .map(|(endpoint, crash)| (*endpoint, crash))
    }

    /// Returns whether the part was answered before.
    pub(super) const fn was_answered(&self) -> bool {
        self.answer.is_some()
    }

    /// Returns how strongly it is suspected beside other parts of the same service.
    pub(super) const fn strength(&self) -> (u32, bool) {
        let unanswered = !self.was_answered();
        let factor = if unanswered { UNANSWERED_FACTOR } else { 1 };
        (self.chain.links * factor, unanswered)
    }

    /// Returns whether another answer changes what is known.
    pub(super) fn is_news(&self, answer: Answer) -> bool {
        match (self.answer, self.first_crash()) {
            (None, _) => true,
            (Some(_), Some(first_at)) => self.chain.links > 1 && answer.began_at > first_at,
            (Some(_), None) => false,
        }
    }

    fn first_crash(&self) -> Option<Moment> {
        self.crashes.values().map(|crash| crash.observed_at).min()
    }

    /// Records that an endpoint crashed with a request that has the part; returns whether
    /// this is new.
    pub(super) fn record_crash(
        &mut self,
        endpoint: EndpointId,
        (sent_at, observed_at): (Moment, Moment),
        companions: impl Iterator<Item = PartId>,
    ) -> bool {
        self.latest = self.latest.max(observed_at);
        if self.answer.is_some_and(|one| one.began_at > observed_at) {
            return false;
        }
        let is_known = self.crashes.contains_key(&endpoint);
        let crash = self.crashes.entry(endpoint).or_insert_with(|| Crash {
            sent_at,
            observed_at,
            companions: BTreeSet::new(),
        });
        crash.sent_at = crash.sent_at.max(sent_at);
        crash.observed_at = crash.observed_at.min(observed_at);
        let before = crash.companions.len();
        let room = MAX_COMPANIONS.saturating_sub(before);
        crash.companions.extend(companions.take(room));
        let is_new = !is_known || crash.companions.len() > before;
        if is_new {
            self.drop_oldest_crash();
            self.update();
        }
        is_new
    }

    /// Records that a request with the part was answered; returns whether this is new.
    pub(super) fn record_answer(&mut self, answer: Answer) -> bool {
        self.latest = self.latest.max(answer.seen_at);
        let known = self.answer.map_or(answer, |known| known.later(answer));
        let is_new = self.answer != Some(known);
        self.answer = Some(known);
        if is_new {
            self.update();
        }
        is_new
    }

    /// Returns the endpoints that ended by a moment.
    pub(super) fn ended_by(&self, moment: Moment) -> impl Iterator<Item = EndpointId> {
        let earlier = self
            .crashes()
            .filter(move |(_, one)| one.observed_at <= moment);
        earlier.map(|(endpoint, _)| endpoint)
    }

    /// Takes back that an endpoint ended, if it still ran later; returns whether it counted.
    pub(super) fn withdraw(&mut self, endpoint: EndpointId, running_at: Moment) -> bool {
        let crash = self.crashes.get(&endpoint);
        let is_withdrawn = crash.is_some_and(|one| one.observed_at <= running_at);
        if is_withdrawn {
            self.crashes.remove(&endpoint);
            self.update();
        }
        is_withdrawn
    }

    fn drop_oldest_crash(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter().min_by_key(|(_, one)| one.observed_at);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) {
            self.crashes.remove(&endpoint);
        }
    }

    fn update(&mut self) {
        self.clear_answered();
        self.chain = self.find_chain();
        self.is_convicted &= self.chain.suspicion == Suspicion::Held;
    }

    // An answer clears the part if it began after a crash: an endpoint that crashes of the
    // part does so as it begins. One that began before says nothing of what happened since.
    fn clear_answered(&mut self) {
        let (Some(answer), Some(first_at)) = (self.answer, self.first_crash()) else {
            return;
        };
        if answer.began_at > first_at {
            self.crashes
                .retain(|_, crash| crash.observed_at > answer.seen_at);
        }
    }

    fn find_chain(&self) -> Chain {
        let mut crashes: Vec<_> = self.crashes.iter().collect();
        crashes.sort_by_key(|(_, crash)| crash.observed_at);
        let mut chain = Chain::default();
        for (endpoint, crash) in crashes {
            chain = match follow(&chain, crash) {
                Follow::Start => self.extend(Chain::default(), *endpoint, crash),
                Follow::Link => self.extend(chain, *endpoint, crash),
                Follow::Same => chain,
            };
        }
        chain
    }

    fn extend(&self, mut chain: Chain, endpoint: EndpointId, crash: &Crash) -> Chain {
        if chain.links == 0 {
            chain.first_at = crash.observed_at;
            chain.common.clone_from(&crash.companions);
        } else {
            chain.common.retain(|part| crash.companions.contains(part));
        }
        chain.links += 1;
        chain.last_at = crash.observed_at;
        chain.endpoints.insert(endpoint);
        if chain.suspicion == Suspicion::Held {
            // Only a request that was sent after the hold time shows that it was too short;
            // others had been sent before it began.
            if crash.sent_at + MAX_TRANSIT >= chain.held_until {
                chain.hold = (chain.hold * HOLD_GROWTH).min(MAX_HOLD);
            }
            chain.held_until = crash.observed_at + chain.hold;
            return chain;
        }
        chain.suspicion = self.suspicion(&chain);
        if chain.suspicion == Suspicion::Held {
            chain.hold = INITIAL_HOLD;
            chain.held_until = crash.observed_at + INITIAL_HOLD;
        }
        chain
    }

    fn suspicion(&self, chain: &Chain) -> Suspicion {
        let span = since(chain.last_at, chain.first_at);
        let (length, min_span) = if self.was_answered() {
            (HOLD_CHAIN_LENGTH_ANSWERED, MIN_HOLD_SPAN_ANSWERED)
        } else {
            (HOLD_CHAIN_LENGTH, Duration::ZERO)
        };
        if chain.links >= length && span >= min_span {
            Suspicion::Held
        } else if chain.links + 1 >= length && !self.was_answered() {
            Suspicion::Suspect
        } else {
            Suspicion::None
        }
    }

    /// Returns the number of crashes after which the part is held.
    pub(super) const fn hold_chain_length(&self) -> u32 {
        if self.was_answered() {
            HOLD_CHAIN_LENGTH_ANSWERED
        } else {
            HOLD_CHAIN_LENGTH
        }
    }
}

/// How a crash relates to a chain.
enum Follow {
    Start,
    Link,
    /// It is one with the last link.
    Same,
}

fn follow(chain: &Chain, crash: &Crash) -> Follow {
    let pause = since(crash.observed_at, chain.last_at);
    if chain.links == 0 || (chain.suspicion < Suspicion::Held && pause > MAX_CHAIN_PAUSE) {
        Follow::Start
    } else if pause >= MIN_CRASH_SPACING || crash.sent_at + MAX_TRANSIT >= chain.last_at {
        Follow::Link
    } else {
        Follow::Same
    }
}

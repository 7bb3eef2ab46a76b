//! Whom to talk to, when, and what to put into a message.
//!
//! Peers are met in a random order that is shuffled again after each round, so
//! each is met once a round: a dead one is noticed within a bounded time, not
//! merely an expected one. Some contacts go to instances that are gone but
//! still listed, which is how regions that lost each other meet again.

use std::collections::VecDeque;
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{InstanceId, Version};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Budget, Demand, Evidence, Load, Message, Spread, Urgency};
use crate::membership::endpoints::{Endpoints, Leaving};
use crate::membership::{Roster, Rumour, State};

/// The time between two routine contacts of one instance.
///
/// At a second, two exchanges of about 900 bytes with all headers (one begun,
/// one answered) cost under 2 KB/s of the 6 KB/s that a node may spend.
pub const PERIOD: Duration = Duration::from_secs(1);

/// Peers that are told at once of news that can't wait.
///
/// With three, one push wave reaches all but `x = e^(-3(1-x))`, 6% of the
/// instances; the periodic exchange reaches those in one or two periods.
pub const HOT_PEERS: usize = 3;

// One routine contact in this many goes to a listed instance that is gone; one
// in the second number if an eighth of all are, as after a cut between regions.
// Each must be met once before it is taken back.
const GONE_EVERY: u64 = 5;
const MANY_GONE_EVERY: u64 = 2;
const MANY_GONE_PARTS: usize = 8;

/// Bytes of a message's body at most.
///
/// With its head it fills one packet, or a little of a second one.
pub const LARGEST: usize = 1100;

// Items in one message at most: on the wire they take 30, 19, 38 and 48 bytes
// at most, which with the fixed 40 and an accusation sums up to less than LARGEST.
const RUMOURS: usize = 15;
const SIGNS: usize = 8;
const LOADS: usize = 6;
const PIECES: usize = 4;

// Demands, 20 bytes each, are left out of a message with more rumours than
// this: a third of them make room for eight demands.
const DEMANDS: usize = 8;
const ROOM_RUMOURS: usize = 9;

// News held to be told; more than a lost zone of 27 instances, or a rack of
// runners that leaves at once.
const LONGEST: usize = 512;

/// What a received message brought that its reader must act on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// The sender holds this newer bundle version: fetch it from there.
    pub version: Option<Version>,
    /// The sender holds an older version and may be told.
    pub behind: bool,
    /// The sender's load sums.
    pub loads: Vec<Load>,
    /// Evidence that was not known before.
    pub evidence: Vec<Evidence>,
    /// The sender's demand by workspaces, if it was told.
    pub demands: Option<Vec<Demand>>,
}

/// The gossip of one instance.
#[derive(Debug)]
pub struct Pump {
    budget: Budget,
    round: VecDeque<InstanceId>,
    next: Moment,
    contacts: u64,
    hot: usize,
    warm: usize,
    version: Version,
    rumours: Spread<Rumour>,
    leaving: Spread<Leaving>,
    evidence: Spread<Evidence>,
    demands: Vec<Demand>,
    known_evidence: VecDeque<Evidence>,
    peers: usize,
}

impl Pump {
    /// Returns a pump that pays from `budget` and begins at once.
    #[must_use]
    pub const fn new(budget: Budget) -> Self {
        Self {
            budget,
            round: VecDeque::new(),
            next: Moment::ZERO,
            contacts: 0,
            hot: 0,
            warm: 0,
            version: 0,
            rumours: Spread::new(LONGEST),
            leaving: Spread::new(LONGEST),
            evidence: Spread::new(LONGEST),
            demands: Vec::new(),
            known_evidence: VecDeque::new(),
            peers: 0,
        }
    }

    /// Returns the budget, for its counters.
    #[must_use]
    pub const fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns when [`Pump::tick`] is wanted next.
    #[must_use]
    pub const fn next(&self) -> Moment {
        self.next
    }

    /// Sets the bundle version in force; a newer one is told at once.
    pub fn set_version(&mut self, version: Version) {
        if version > self.version {
            self.version = version;
            self.heat();
        }
    }

    /// Takes changes of the roster to pass on.
    pub fn rumours(&mut self, changes: &[Rumour]) {
        for &rumour in changes {
            self.rumours
                .retain(|held| held.id != rumour.id || newer(held, &rumour));
            self.rumours.add(rumour);
            // An accusation and its answer race each other, and the answer
            // must win; a leaving instance must lose its homes.
            self.warm = HOT_PEERS;
        }
    }

    /// Takes a leaving sign that is new here; it is told at once.
    pub fn leaving(&mut self, leaving: Leaving) {
        self.leaving.add(leaving);
        self.heat();
    }

    /// Takes evidence that the own quarantine found; it is told at once.
    pub fn evidence(&mut self, piece: Evidence) {
        if self.learn(piece) {
            self.heat();
        }
    }

    /// Sets the own demand to tell, of which the first eight are told.
    ///
    /// It is the sender's alone and is not passed on by others.
    pub fn set_demands(&mut self, mut demands: Vec<Demand>) {
        demands.truncate(DEMANDS);
        self.demands = demands;
    }

    /// Returns the peers to send a message to now.
    ///
    /// Each is already paid for. To be called at [`Pump::next`], and at once
    /// after news.
    pub fn tick<R: Rng>(&mut self, now: Moment, roster: &Roster, rng: &mut R) -> Vec<InstanceId> {
        self.peers = roster.others().count();
        let mut chosen = Vec::new();
        while self.hot + self.warm > 0 {
            let Some(peer) = self.draw(roster, rng, false) else {
                break;
            };
            let urgency = if self.hot > 0 {
                Urgency::News
            } else {
                Urgency::Routine
            };
            if !self.pay(now, urgency) {
                // Deferred, not dropped: the counts stay until the bucket
                // fills.
                self.round.push_front(peer);
                break;
            }
            self.hot = self.hot.saturating_sub(1);
            self.warm = self.warm.saturating_sub(1);
            chosen.push(peer);
        }
        if now >= self.next {
            self.next = now + PERIOD;
            self.contacts += 1;
            let gone = self.contacts.is_multiple_of(gone_every(roster));
            if let Some(peer) = self.draw(roster, rng, gone)
                && self.pay(now, Urgency::Routine)
            {
                chosen.push(peer);
            }
        }
        chosen
    }

    /// Returns the message for a peer, as request or as answer.
    pub fn message(&mut self, to: InstanceId, roster: &Roster, loads: &[Load]) -> Message {
        let times = times(self.peers);
        let mut rumours = self.rumours.take(RUMOURS, times);
        if let Some(accusation) = roster.accusation(to)
            && !rumours.contains(&accusation)
        {
            rumours.push(accusation);
        }
        // A burst of news needs the bytes more; it passes in seconds.
        let told = rumours.len() <= ROOM_RUMOURS && self.budget.ample();
        let demands = told.then(|| self.demands.clone());
        Message {
            from: roster.heartbeat(),
            version: self.version,
            rumours,
            leaving: self.leaving.take(SIGNS, times),
            loads: loads[..loads.len().min(LOADS)].to_vec(),
            evidence: self.evidence.take(PIECES, times),
            demands,
        }
    }

    /// Takes the answer that a contact brought: settles its cost and reads it.
    pub fn answered(
        &mut self,
        now: Moment,
        bytes: usize,
        message: &Message,
        roster: &mut Roster,
        endpoints: &mut Endpoints,
    ) -> News {
        self.budget.refund(LARGEST, bytes);
        self.read(now, message, roster, endpoints)
    }

    /// Takes a peer's request of `bytes`, or refuses it when the bucket can't
    /// pay for it and its answer.
    ///
    /// A refusal is to be answered with an empty 429; it is the peer's gossip
    /// that waits then.
    pub fn asked(
        &mut self,
        now: Moment,
        bytes: usize,
        message: &Message,
        roster: &mut Roster,
        endpoints: &mut Endpoints,
    ) -> Option<News> {
        let paid = self.budget.take(now, bytes, Urgency::News) && self.pay_one(now);
        paid.then(|| self.read(now, message, roster, endpoints))
    }

    /// Settles the cost of an answer or request that was sent.
    pub fn sent(&mut self, bytes: usize) {
        self.budget.refund(LARGEST, bytes);
    }

    /// Settles the cost of a contact that brought no answer.
    pub fn failed(&mut self) {
        self.budget.cancel(LARGEST);
    }

    fn read(
        &mut self,
        now: Moment,
        message: &Message,
        roster: &mut Roster,
        endpoints: &mut Endpoints,
    ) -> News {
        roster.heard(now, &message.from);
        for rumour in &message.rumours {
            roster.rumour(now, rumour);
        }
        for &leaving in &message.leaving {
            endpoints.sign(leaving);
        }
        let evidence = message.evidence.iter().copied();
        let fresh: Vec<Evidence> = evidence.filter(|piece| self.learn(*piece)).collect();
        if !fresh.is_empty() {
            self.heat();
        }
        News {
            version: (message.version > self.version).then_some(message.version),
            behind: message.version < self.version,
            loads: message.loads.clone(),
            evidence: fresh,
            demands: message.demands.clone(),
        }
    }

    fn learn(&mut self, piece: Evidence) -> bool {
        if self.known_evidence.contains(&piece) {
            return false;
        }
        self.known_evidence.push_back(piece);
        if self.known_evidence.len() > LONGEST {
            self.known_evidence.pop_front();
        }
        self.evidence.add(piece);
        true
    }

    fn heat(&mut self) {
        self.hot = HOT_PEERS;
    }

    // A request and its answer, each at its largest; the rest is refunded.
    fn pay(&mut self, now: Moment, urgency: Urgency) -> bool {
        if !self.budget.take(now, LARGEST, urgency) {
            return false;
        }
        if !self.budget.take(now, LARGEST, urgency) {
            self.budget.cancel(LARGEST);
            return false;
        }
        true
    }

    fn pay_one(&mut self, now: Moment) -> bool {
        self.budget.take(now, LARGEST, Urgency::News)
    }

    fn draw<R: Rng>(&mut self, roster: &Roster, rng: &mut R, gone: bool) -> Option<InstanceId> {
        if gone && let Some(peer) = draw_gone(roster, rng) {
            return Some(peer);
        }
        if self.round.is_empty() {
            self.round = shuffled(roster, rng);
        }
        while let Some(peer) = self.round.pop_front() {
            if roster.state(peer).is_some_and(|state| state != State::Gone) {
                return Some(peer);
            }
        }
        None
    }
}

fn gone_every(roster: &Roster) -> u64 {
    let states = roster.others().map(|(_, state)| state);
    let (mut gone, mut all) = (0, 0);
    for state in states {
        all += 1;
        gone += usize::from(state == State::Gone);
    }
    if gone * MANY_GONE_PARTS > all {
        MANY_GONE_EVERY
    } else {
        GONE_EVERY
    }
}

// Times an item is told: three times the rounds that an epidemic needs to
// double over all peers, as in SWIM (Das, Gupta, Motivala 2002, section 4.1).
fn times(peers: usize) -> u32 {
    3 * (usize::BITS - peers.leading_zeros()).max(1)
}

fn newer(held: &Rumour, rumour: &Rumour) -> bool {
    (held.incarnation, held.beat) > (rumour.incarnation, rumour.beat)
}

fn shuffled<R: Rng>(roster: &Roster, rng: &mut R) -> VecDeque<InstanceId> {
    let mut ids: Vec<InstanceId> = roster
        .others()
        .filter(|(_, state)| *state != State::Gone)
        .map(|(instance, _)| instance.id)
        .collect();
    ids.shuffle(rng);
    ids.into()
}

fn draw_gone<R: Rng>(roster: &Roster, rng: &mut R) -> Option<InstanceId> {
    let gone: Vec<InstanceId> = roster
        .others()
        .filter(|(_, state)| *state == State::Gone)
        .map(|(instance, _)| instance.id)
        .collect();
    gone.choose(rng).copied()
}

#[cfg(test)]
mod tests;

//! The choice of peers, the schedule and the content of gossip messages.
//!
//! Peers are contacted in a random order that is shuffled again after each
//! round. Each peer is contacted once per round, so the time to detect a dead
//! one is bounded and not merely bounded on average. Some contacts go to
//! instances that are gone but still listed, so that regions reconnect after a
//! partition.

use std::collections::VecDeque;
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{InstanceId, Version};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Budget, Demand, Evidence, Load, Message, SendQueue, Urgency};
use crate::membership::endpoints::{Endpoints, LeavingNotice};
use crate::membership::{MemberUpdate, Roster, State};

/// The time between two routine exchanges that one instance starts.
///
/// At one second, two exchanges of about 900 bytes with all headers (one
/// started, one answered) cost under 2 KB/s of the 6 KB/s that a node may spend.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of peers to which an urgent update is sent at once.
///
/// With three, the first wave of pushes misses a share of `x = e^(-3(1-x))`, 6%
/// of the instances; the periodic exchange reaches those in one or two
/// intervals.
pub const URGENT_FANOUT: usize = 3;

// One routine exchange in this many goes to a listed instance that is gone; one
// in the second number if more than an eighth of all are gone, as after a
// partition between regions. Each gone instance must be contacted once before
// it can return.
const EXCHANGES_PER_GONE_CONTACT: u64 = 5;
const EXCHANGES_PER_GONE_CONTACT_IF_MANY: u64 = 2;
const MANY_GONE_DIVISOR: usize = 8;

/// The maximum size of a message body.
///
/// With its head, such a message fills one packet or slightly exceeds it.
pub const MAX_BODY_BYTES: usize = 1100;

// The maximum number of items in one message. On the wire an item takes at most
// 30, 19, 38 and 48 bytes; with the fixed 40 bytes and a suspicion of the
// recipient the sum stays below MAX_BODY_BYTES.
const MAX_MEMBER_UPDATES: usize = 15;
const MAX_LEAVING_NOTICES: usize = 8;
const MAX_LOADS: usize = 6;
const MAX_EVIDENCE: usize = 4;

// Eight demands of 20 bytes each take as much room as a third of the member
// updates, so a message with more than MAX_UPDATES_WITH_DEMANDS updates omits
// them.
const MAX_DEMANDS: usize = 8;
const MAX_UPDATES_WITH_DEMANDS: usize = 9;

// The maximum number of queued items of one kind. It exceeds what the loss of a
// zone of 27 instances, or of a rack of endpoints that leaves at once, produces.
const MAX_QUEUED_ITEMS: usize = 512;

/// The parts of a received message that the caller must act on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    /// A newer bundle version that the sender holds and that can be fetched from
    /// it.
    pub version: Option<Version>,
    /// Whether the sender holds an older version and can be sent the newer one.
    pub sender_behind: bool,
    /// The sender's load sums.
    pub loads: Vec<Load>,
    /// Evidence that this instance did not know before.
    pub evidence: Vec<Evidence>,
    /// The demand of workspaces at the sender, if the message includes it.
    pub demands: Option<Vec<Demand>>,
}

/// The gossip protocol state of one instance.
#[derive(Debug)]
pub struct Pump {
    budget: Budget,
    round: VecDeque<InstanceId>,
    next_exchange: Moment,
    exchanges: u64,
    pending_urgent: usize,
    pending_routine: usize,
    version: Version,
    member_updates: SendQueue<MemberUpdate>,
    leaving: SendQueue<LeavingNotice>,
    evidence: SendQueue<Evidence>,
    demands: Vec<Demand>,
    known_evidence: VecDeque<Evidence>,
    peer_count: usize,
}

impl Pump {
    /// Returns a pump that charges its traffic to `budget` and starts its first
    /// exchange at once.
    #[must_use]
    pub const fn new(budget: Budget) -> Self {
        Self {
            budget,
            round: VecDeque::new(),
            next_exchange: Moment::ZERO,
            exchanges: 0,
            pending_urgent: 0,
            pending_routine: 0,
            version: 0,
            member_updates: SendQueue::new(MAX_QUEUED_ITEMS),
            leaving: SendQueue::new(MAX_QUEUED_ITEMS),
            evidence: SendQueue::new(MAX_QUEUED_ITEMS),
            demands: Vec::new(),
            known_evidence: VecDeque::new(),
            peer_count: 0,
        }
    }

    /// Returns the budget, for access to its counters.
    #[must_use]
    pub const fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Returns when [`Pump::tick`] must be called next.
    #[must_use]
    pub const fn next_exchange(&self) -> Moment {
        self.next_exchange
    }

    /// Sets the bundle version in force; a newer one is sent at once.
    pub fn set_version(&mut self, version: Version) {
        if version > self.version {
            self.version = version;
            self.schedule_urgent();
        }
    }

    /// Queues changes of the roster to propagate.
    pub fn queue_member_updates(&mut self, changes: &[MemberUpdate]) {
        for &update in changes {
            self.member_updates
                .retain(|queued| queued.id != update.id || supersedes(queued, &update));
            self.member_updates.push(update);
            // A suspicion and its refutation race, and the refutation must win;
            // a leaving instance must lose its home endpoints.
            self.pending_routine = URGENT_FANOUT;
        }
    }

    /// Queues a leaving notice that is new to this instance; it is sent at once.
    pub fn queue_leaving(&mut self, leaving: LeavingNotice) {
        self.leaving.push(leaving);
        self.schedule_urgent();
    }

    /// Queues evidence that the own quarantine found; it is sent at once.
    pub fn queue_evidence(&mut self, piece: Evidence) {
        if self.record_evidence(piece) {
            self.schedule_urgent();
        }
    }

    /// Sets the own demands, of which the first eight are sent.
    ///
    /// They describe the sender only; peers do not forward them.
    pub fn set_demands(&mut self, mut demands: Vec<Demand>) {
        demands.truncate(MAX_DEMANDS);
        self.demands = demands;
    }

    /// Returns the peers to send a message to now.
    ///
    /// The budget is already charged for each of them. The caller must call this
    /// at [`Pump::next_exchange`], and at once after it queued an update.
    pub fn tick<R: Rng>(&mut self, now: Moment, roster: &Roster, rng: &mut R) -> Vec<InstanceId> {
        self.peer_count = roster.others().count();
        let mut chosen = Vec::new();
        while self.pending_urgent + self.pending_routine > 0 {
            let Some(peer) = self.next_peer(roster, rng, false) else {
                break;
            };
            let urgency = if self.pending_urgent > 0 {
                Urgency::Urgent
            } else {
                Urgency::Routine
            };
            if !self.reserve_exchange(now, urgency) {
                // The sends are deferred, not dropped: the counts stay until
                // the bucket refills.
                self.round.push_front(peer);
                break;
            }
            self.pending_urgent = self.pending_urgent.saturating_sub(1);
            self.pending_routine = self.pending_routine.saturating_sub(1);
            chosen.push(peer);
        }
        if now >= self.next_exchange {
            self.next_exchange = now + EXCHANGE_INTERVAL;
            self.exchanges += 1;
            let gone = self
                .exchanges
                .is_multiple_of(exchanges_per_gone_contact(roster));
            if let Some(peer) = self.next_peer(roster, rng, gone)
                && self.reserve_exchange(now, Urgency::Routine)
            {
                chosen.push(peer);
            }
        }
        chosen
    }

    /// Returns the message for a peer, used as a request or as a response.
    pub fn build_message(&mut self, to: InstanceId, roster: &Roster, loads: &[Load]) -> Message {
        let max_sends = send_limit(self.peer_count);
        let mut member_updates = self
            .member_updates
            .take_batch(MAX_MEMBER_UPDATES, max_sends);
        if let Some(suspicion) = roster.suspicion(to)
            && !member_updates.contains(&suspicion)
        {
            member_updates.push(suspicion);
        }
        // Demands are omitted in a burst of updates, which lasts only seconds
        // and needs the bytes more.
        let has_room =
            member_updates.len() <= MAX_UPDATES_WITH_DEMANDS && self.budget.has_surplus();
        let demands = has_room.then(|| self.demands.clone());
        Message {
            from: roster.heartbeat(),
            version: self.version,
            member_updates,
            leaving: self.leaving.take_batch(MAX_LEAVING_NOTICES, max_sends),
            loads: loads[..loads.len().min(MAX_LOADS)].to_vec(),
            evidence: self.evidence.take_batch(MAX_EVIDENCE, max_sends),
            demands,
        }
    }

    /// Applies the response to an exchange that this instance started, after
    /// settling its cost.
    pub fn apply_response(
        &mut self,
        now: Moment,
        bytes: usize,
        message: &Message,
        roster: &mut Roster,
        endpoints: &mut Endpoints,
    ) -> PeerUpdate {
        self.budget.refund(MAX_BODY_BYTES, bytes);
        self.apply_message(now, message, roster, endpoints)
    }

    /// Applies a peer's request of `bytes`, or returns `None` if the bucket does
    /// not cover the request and its response.
    ///
    /// The caller must respond to a refused request with an empty 429, which
    /// defers the peer's gossip.
    pub fn apply_request(
        &mut self,
        now: Moment,
        bytes: usize,
        message: &Message,
        roster: &mut Roster,
        endpoints: &mut Endpoints,
    ) -> Option<PeerUpdate> {
        let paid = self.budget.try_take(now, bytes, Urgency::Urgent) && self.reserve_message(now);
        paid.then(|| self.apply_message(now, message, roster, endpoints))
    }

    /// Settles the cost of a request or response that was sent.
    pub fn settle_sent(&mut self, bytes: usize) {
        self.budget.refund(MAX_BODY_BYTES, bytes);
    }

    /// Settles the cost of an exchange that got no response.
    pub fn settle_failed(&mut self) {
        self.budget.cancel(MAX_BODY_BYTES);
    }

    fn apply_message(
        &mut self,
        now: Moment,
        message: &Message,
        roster: &mut Roster,
        endpoints: &mut Endpoints,
    ) -> PeerUpdate {
        roster.apply_heartbeat(now, &message.from);
        for update in &message.member_updates {
            roster.apply_update(now, update);
        }
        for &leaving in &message.leaving {
            endpoints.apply_notice(leaving);
        }
        let evidence = message.evidence.iter().copied();
        let new_evidence: Vec<Evidence> = evidence
            .filter(|piece| self.record_evidence(*piece))
            .collect();
        if !new_evidence.is_empty() {
            self.schedule_urgent();
        }
        PeerUpdate {
            version: (message.version > self.version).then_some(message.version),
            sender_behind: message.version < self.version,
            loads: message.loads.clone(),
            evidence: new_evidence,
            demands: message.demands.clone(),
        }
    }

    fn record_evidence(&mut self, piece: Evidence) -> bool {
        if self.known_evidence.contains(&piece) {
            return false;
        }
        self.known_evidence.push_back(piece);
        if self.known_evidence.len() > MAX_QUEUED_ITEMS {
            self.known_evidence.pop_front();
        }
        self.evidence.push(piece);
        true
    }

    fn schedule_urgent(&mut self) {
        self.pending_urgent = URGENT_FANOUT;
    }

    // Charges a request and its response at the maximum size. The unused part
    // is refunded later.
    fn reserve_exchange(&mut self, now: Moment, urgency: Urgency) -> bool {
        if !self.budget.try_take(now, MAX_BODY_BYTES, urgency) {
            return false;
        }
        if !self.budget.try_take(now, MAX_BODY_BYTES, urgency) {
            self.budget.cancel(MAX_BODY_BYTES);
            return false;
        }
        true
    }

    fn reserve_message(&mut self, now: Moment) -> bool {
        self.budget.try_take(now, MAX_BODY_BYTES, Urgency::Urgent)
    }

    fn next_peer<R: Rng>(
        &mut self,
        roster: &Roster,
        rng: &mut R,
        gone: bool,
    ) -> Option<InstanceId> {
        if gone && let Some(peer) = random_gone_peer(roster, rng) {
            return Some(peer);
        }
        if self.round.is_empty() {
            self.round = shuffled_peers(roster, rng);
        }
        while let Some(peer) = self.round.pop_front() {
            if roster.state(peer).is_some_and(|state| state != State::Gone) {
                return Some(peer);
            }
        }
        None
    }
}

fn exchanges_per_gone_contact(roster: &Roster) -> u64 {
    let states = roster.others().map(|(_, state)| state);
    let (mut gone, mut all) = (0, 0);
    for state in states {
        all += 1;
        gone += usize::from(state == State::Gone);
    }
    if gone * MANY_GONE_DIVISOR > all {
        EXCHANGES_PER_GONE_CONTACT_IF_MANY
    } else {
        EXCHANGES_PER_GONE_CONTACT
    }
}

// Returns how often an item is sent: three times the number of rounds in which
// an epidemic that doubles each round reaches all peers, as in SWIM (Das, Gupta,
// Motivala 2002, section 4.1).
fn send_limit(peers: usize) -> u32 {
    3 * (usize::BITS - peers.leading_zeros()).max(1)
}

fn supersedes(queued: &MemberUpdate, update: &MemberUpdate) -> bool {
    (queued.incarnation, queued.sequence) > (update.incarnation, update.sequence)
}

fn shuffled_peers<R: Rng>(roster: &Roster, rng: &mut R) -> VecDeque<InstanceId> {
    let mut ids: Vec<InstanceId> = roster
        .others()
        .filter(|(_, state)| *state != State::Gone)
        .map(|(instance, _)| instance.id)
        .collect();
    ids.shuffle(rng);
    ids.into()
}

fn random_gone_peer<R: Rng>(roster: &Roster, rng: &mut R) -> Option<InstanceId> {
    let gone: Vec<InstanceId> = roster
        .others()
        .filter(|(_, state)| *state == State::Gone)
        .map(|(instance, _)| instance.id)
        .collect();
    gone.choose(rng).copied()
}

#[cfg(test)]
mod tests;

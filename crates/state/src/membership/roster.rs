//! The router instances, as one of them sees the others.
//!
//! The platform's list supplies names and addresses; direct contact and updates
//! from peers show which instances are alive. An instance that can't be reached
//! is suspected. The suspicion propagates until the subject refutes it with a
//! greater sequence number or is considered gone. A broken path between two
//! instances therefore moves no home endpoints, and a lost zone is gone in all
//! views within seconds, even while the list still shows it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{Incarnation, InstanceId};
use godwitpost_types::instance::Instance;
use serde::{Deserialize, Serialize};
use statig::prelude::*;

use super::member::{Event, Machine, Member, State};

/// How long an instance may be missing from the list before it is suspected,
/// and how long a gone one is retained after it left the list.
///
/// The list lags by seconds; a shorter time would cause suspicion of instances
/// that are missing from a single stale list.
pub const MAX_UNLISTED: Duration = Duration::from_secs(10);

/// The sender's own state, part of each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub id: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// A counter that the sender increments to refute a suspicion.
    #[serde(rename = "beat")]
    pub sequence: u64,
    /// Whether the sender is leaving.
    pub standing: Standing,
}

/// The state of one instance in the view of another, as exchanged by gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The subject of the update.
    pub id: InstanceId,
    /// The subject's incarnation.
    pub incarnation: Incarnation,
    /// The subject's sequence number that the view knew at the time.
    pub sequence: u64,
    /// The subject's state.
    pub state: State,
}

/// The instances that one instance knows, including itself.
pub struct Roster {
    own: Instance,
    sequence: u64,
    has_list: bool,
    entries: BTreeMap<InstanceId, Entry>,
    changes: Vec<MemberUpdate>,
}

struct Entry {
    instance: Instance,
    machine: Machine,
    unlisted_since: Option<Moment>,
    // Whether a source other than the list has shown this incarnation.
    confirmed: bool,
}

impl Roster {
    /// Returns a roster that knows only its own instance.
    #[must_use]
    pub const fn new(own: Instance) -> Self {
        Self {
            own,
            sequence: 0,
            has_list: false,
            entries: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Applies a response of the platform's list.
    ///
    /// An empty list is a fault of the platform and is ignored, because at
    /// least the reader itself exists.
    pub fn apply_list(&mut self, now: Moment, listed: &[Instance]) {
        if listed.is_empty() {
            return;
        }
        for instance in listed {
            if instance.id != self.own.id {
                self.apply_listed(now, instance);
            }
        }
        self.has_list = true;
        for (id, entry) in &mut self.entries {
            let present = listed.iter().any(|instance| instance.id == *id);
            entry.mark_listed(now, present);
        }
    }

    /// Applies the heartbeat of an instance that was contacted directly.
    pub fn apply_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            return;
        };
        if heartbeat.incarnation < entry.instance.incarnation {
            return;
        }
        if heartbeat.incarnation > entry.instance.incarnation {
            // The instance restarted and the list does not show it yet.
            entry.advance_incarnation(now, heartbeat.incarnation, heartbeat.sequence);
        }
        entry.confirmed = true;
        let previous = entry.state();
        entry.handle(Event::Alive {
            sequence: heartbeat.sequence,
            now,
        });
        if heartbeat.standing == Standing::Leaving {
            entry.handle(Event::Leave { now });
        }
        self.record_change(heartbeat.id, previous);
    }

    /// Applies a peer's update about an instance.
    pub fn apply_update(&mut self, now: Moment, update: &MemberUpdate) {
        if update.id == self.own.id {
            self.refute(update);
            return;
        }
        let Some(entry) = self.entries.get_mut(&update.id) else {
            return;
        };
        if update.incarnation < entry.instance.incarnation {
            return;
        }
        let previous = entry.state();
        if update.incarnation > entry.instance.incarnation {
            entry.advance_incarnation(now, update.incarnation, update.sequence);
        }
        entry.confirmed = true;
        entry.handle(member_event(update, now));
        self.record_change(update.id, previous);
    }

    /// Records that a message to an instance got no response.
    pub fn record_unreachable(&mut self, now: Moment, id: InstanceId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let previous = entry.state();
        entry.suspect(now);
        self.record_change(id, previous);
    }

    /// Marks the own instance as leaving; this can't be undone.
    pub fn leave(&mut self) {
        if self.own.standing == Standing::Live {
            self.own.standing = Standing::Leaving;
            self.changes.push(self.own_update());
        }
    }

    /// Advances the time to `now` and returns the changes since the last call.
    ///
    /// Each change should be propagated to peers.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberUpdate> {
        let ids: Vec<InstanceId> = self.entries.keys().copied().collect();
        for id in ids {
            self.tick_entry(now, id);
        }
        std::mem::take(&mut self.changes)
    }

    /// Returns the instances that get home endpoints: the live and the
    /// suspected ones.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> + '_ {
        let own = Some(&self.own).filter(|own| own.standing == Standing::Live);
        let others = self
            .entries
            .values()
            .filter(|entry| matches!(entry.state(), State::Live | State::Suspect))
            .map(|entry| &entry.instance);
        others.chain(own)
    }

    /// Returns every other instance with its state, for choosing gossip peers.
    pub fn others(&self) -> impl Iterator<Item = (&Instance, State)> + '_ {
        self.entries
            .values()
            .map(|entry| (&entry.instance, entry.state()))
    }

    /// Returns the state of an instance; the own one is live or leaving.
    #[must_use]
    pub fn state(&self, id: InstanceId) -> Option<State> {
        if id == self.own.id {
            return Some(self.own_update().state);
        }
        self.entries.get(&id).map(Entry::state)
    }

    /// Returns the heartbeat of the own instance.
    #[must_use]
    pub const fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            id: self.own.id,
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            standing: self.own.standing,
        }
    }

    /// Returns the suspicion about an instance, if any, so that the instance
    /// can be informed and refute it.
    #[must_use]
    pub fn suspicion(&self, id: InstanceId) -> Option<MemberUpdate> {
        let update = self.entries.get(&id)?.to_update();
        matches!(update.state, State::Suspect | State::Gone).then_some(update)
    }

    fn apply_listed(&mut self, now: Moment, instance: &Instance) {
        let Some(entry) = self.entries.get_mut(&instance.id) else {
            self.insert_listed(now, instance);
            return;
        };
        if instance.incarnation < entry.instance.incarnation {
            // The list does not show the restart yet.
            return;
        }
        let previous = entry.state();
        if instance.incarnation > entry.instance.incarnation {
            entry.advance_incarnation(now, instance.incarnation, 0);
        }
        entry.instance = instance.clone();
        if instance.standing == Standing::Leaving {
            entry.handle(Event::Leave { now });
        }
        self.record_change(instance.id, previous);
    }

    fn insert_listed(&mut self, now: Moment, instance: &Instance) {
        let mut entry = Entry::new(now, instance.clone());
        // At startup an instance accepts the list as it is. Instances listed
        // later start with a probation period, after which all views know them.
        if self.has_list {
            entry.handle(Event::Probation { now });
        }
        if instance.standing == Standing::Leaving {
            entry.handle(Event::Leave { now });
        }
        self.entries.insert(instance.id, entry);
    }

    fn tick_entry(&mut self, now: Moment, id: InstanceId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let previous = entry.state();
        entry.handle(Event::Tick { now });
        let absent = entry
            .unlisted_since
            .is_some_and(|from| since(now, from) >= MAX_UNLISTED);
        if absent && entry.state() == State::Gone {
            self.entries.remove(&id);
            return;
        }
        if absent {
            // The instance is off the list: unless it refutes the suspicion, it
            // is gone.
            entry.suspect(now);
            entry.unlisted_since = Some(now);
        }
        self.record_change(id, previous);
    }

    // Refutes a suspicion about the own instance.
    fn refute(&mut self, update: &MemberUpdate) {
        let suspected = matches!(update.state, State::Suspect | State::Gone);
        if suspected
            && update.incarnation == self.own.incarnation
            && update.sequence >= self.sequence
        {
            self.sequence = update.sequence + 1;
            self.changes.push(self.own_update());
        }
    }

    fn own_update(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.own.id,
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            state: match self.own.standing {
                Standing::Live => State::Live,
                Standing::Leaving => State::Leaving,
            },
        }
    }

    fn record_change(&mut self, id: InstanceId, previous: State) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if entry.state() != previous {
            self.changes.push(entry.to_update());
        }
    }
}

impl Entry {
    fn new(now: Moment, instance: Instance) -> Self {
        let member = Member {
            sequence: 0,
            last_seen: now,
            leaving_seen: false,
        };
        let mut machine = member.state_machine();
        machine.init();
        Self {
            instance,
            machine,
            unlisted_since: None,
            confirmed: false,
        }
    }

    /// Moves the entry to a greater incarnation.
    ///
    /// Only an incarnation that was confirmed by contact or by a peer can end in
    /// a restart; otherwise the list was merely outdated. A router accepts the
    /// list at startup, and a lagging list shows earlier incarnations of its
    /// peers. If each first contact counted as a restart, every peer would be on
    /// probation and the new router would own all endpoints for that time.
    fn advance_incarnation(&mut self, now: Moment, incarnation: Incarnation, sequence: u64) {
        if self.confirmed || self.state() != State::Live {
            self.restart(now, incarnation, sequence);
        } else {
            self.instance.incarnation = incarnation;
        }
    }

    fn restart(&mut self, now: Moment, incarnation: Incarnation, sequence: u64) {
        self.instance.incarnation = incarnation;
        self.instance.standing = Standing::Live;
        let member = Member {
            sequence,
            last_seen: now,
            leaving_seen: false,
        };
        self.machine = member.state_machine();
        self.machine.init();
        self.handle(Event::Probation { now });
    }

    fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    fn suspect(&mut self, now: Moment) {
        let sequence = self.machine.inner().sequence;
        self.handle(Event::Suspected { sequence, now });
    }

    fn mark_listed(&mut self, now: Moment, present: bool) {
        if present {
            self.unlisted_since = None;
        } else if self.unlisted_since.is_none() {
            self.unlisted_since = Some(now);
        }
    }

    fn state(&self) -> State {
        self.machine.state().state()
    }

    fn to_update(&self) -> MemberUpdate {
        MemberUpdate {
            id: self.instance.id,
            incarnation: self.instance.incarnation,
            sequence: self.machine.inner().sequence,
            state: self.state(),
        }
    }
}

fn member_event(update: &MemberUpdate, now: Moment) -> Event {
    let sequence = update.sequence;
    match update.state {
        State::Live | State::Returning => Event::Alive { sequence, now },
        State::Suspect | State::Gone => Event::Suspected { sequence, now },
        State::Leaving => Event::Leave { now },
    }
}

impl fmt::Debug for Roster {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let states = self.entries.iter().map(|(id, entry)| (id, entry.state()));
        f.debug_struct("Roster")
            .field("own", &self.own.id)
            .field("beat", &self.sequence)
            .field("states", &states.collect::<BTreeMap<_, _>>())
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;

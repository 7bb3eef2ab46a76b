//! The router instances, as one of them sees the others.
//!
//! The list brings names and addresses; direct contact and rumours bring life
//! and death. An instance that can't be reached is accused, and the accusation
//! spreads until the accused answers it with a greater beat or is gone. So a
//! broken path between two instances costs nothing, and a lost zone is gone
//! for everyone within seconds though the list still shows it.

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

/// How long an instance may miss from the list before it is accused, and how
/// long a gone one is kept after it left the list.
///
/// The list lags by seconds; a shorter time would accuse instances that a
/// single stale answer left out.
pub const MAX_UNLISTED: Duration = Duration::from_secs(10);

/// What an instance says of itself on each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who speaks.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// A counter that it raises to answer an accusation.
    #[serde(rename = "beat")]
    pub sequence: u64,
    /// Whether it is leaving.
    pub standing: Standing,
}

/// What an instance says of another, or a change in its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// Whom it is about.
    pub id: InstanceId,
    /// The life it is about.
    pub incarnation: Incarnation,
    /// The beat that was known then.
    pub sequence: u64,
    /// How the subject stands.
    pub state: State,
}

/// The instances that one instance knows, itself among them.
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
    // Whether anyone but the list has shown this incarnation.
    confirmed: bool,
}

impl Roster {
    /// Returns a roster that knows its own instance alone.
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

    /// Takes an answer of the platform's list.
    ///
    /// An empty list is a fault of the platform and is not believed: at least
    /// the reader itself exists.
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

    /// Takes what an instance said of itself, directly.
    pub fn apply_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            return;
        };
        if heartbeat.incarnation < entry.instance.incarnation {
            return;
        }
        if heartbeat.incarnation > entry.instance.incarnation {
            // A restart that the list does not show yet.
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

    /// Takes what a peer said of an instance.
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

    /// Takes that a message to an instance found no answer.
    pub fn record_unreachable(&mut self, now: Moment, id: InstanceId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let previous = entry.state();
        entry.suspect(now);
        self.record_change(id, previous);
    }

    /// Marks the own instance as leaving, for good.
    pub fn leave(&mut self) {
        if self.own.standing == Standing::Live {
            self.own.standing = Standing::Leaving;
            self.changes.push(self.own_update());
        }
    }

    /// Lets time pass and returns what changed since the last call.
    ///
    /// Each change is a rumour worth telling peers.
    pub fn tick(&mut self, now: Moment) -> Vec<MemberUpdate> {
        let ids: Vec<InstanceId> = self.entries.keys().copied().collect();
        for id in ids {
            self.tick_entry(now, id);
        }
        std::mem::take(&mut self.changes)
    }

    /// Returns the instances that get homes: the live and suspected ones.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> + '_ {
        let own = Some(&self.own).filter(|own| own.standing == Standing::Live);
        let others = self
            .entries
            .values()
            .filter(|entry| matches!(entry.state(), State::Live | State::Suspect))
            .map(|entry| &entry.instance);
        others.chain(own)
    }

    /// Returns every other instance with its state, for choosing whom to talk
    /// to.
    pub fn others(&self) -> impl Iterator<Item = (&Instance, State)> + '_ {
        self.entries
            .values()
            .map(|entry| (&entry.instance, entry.state()))
    }

    /// Returns how an instance stands; the own one is live or leaving.
    #[must_use]
    pub fn state(&self, id: InstanceId) -> Option<State> {
        if id == self.own.id {
            return Some(self.own_update().state);
        }
        self.entries.get(&id).map(Entry::state)
    }

    /// Returns what the own instance says of itself.
    #[must_use]
    pub const fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            id: self.own.id,
            incarnation: self.own.incarnation,
            sequence: self.sequence,
            standing: self.own.standing,
        }
    }

    /// Returns the accusation against an instance that it should hear of.
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
            // The list has not seen the restart yet.
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
        // At its own start an instance takes the list as it is; later
        // newcomers wait out their probation, by which time all know them.
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
            // It is off the list: unless it answers, it is gone.
            entry.suspect(now);
            entry.unlisted_since = Some(now);
        }
        self.record_change(id, previous);
    }

    // Answers an accusation against the own instance.
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

    /// Goes over to a greater incarnation.
    ///
    /// The failure: a router starts and takes the list as it is; the list lags
    /// and shows earlier lives of its peers. Taking each first contact for a
    /// restart would put every peer on probation, and the newcomer alone would
    /// own all endpoints for that time. Only a life that was seen can end in a
    /// restart; until then the list was merely behind.
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

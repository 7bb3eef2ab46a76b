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
pub const ABSENT: Duration = Duration::from_secs(10);

/// What an instance says of itself on each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who speaks.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// A counter that it raises to answer an accusation.
    pub beat: u64,
    /// Whether it is leaving.
    pub standing: Standing,
}

/// What an instance says of another, or a change in its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rumour {
    /// Whom it is about.
    pub id: InstanceId,
    /// The life it is about.
    pub incarnation: Incarnation,
    /// The beat that was known then.
    pub beat: u64,
    /// How the subject stands.
    pub state: State,
}

/// The instances that one instance knows, itself among them.
pub struct Roster {
    own: Instance,
    beat: u64,
    listed_once: bool,
    entries: BTreeMap<InstanceId, Entry>,
    changes: Vec<Rumour>,
}

struct Entry {
    instance: Instance,
    machine: Machine,
    unlisted: Option<Moment>,
    // Whether anyone but the list has shown this incarnation.
    confirmed: bool,
}

impl Roster {
    /// Returns a roster that knows its own instance alone.
    #[must_use]
    pub const fn new(own: Instance) -> Self {
        Self {
            own,
            beat: 0,
            listed_once: false,
            entries: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Takes an answer of the platform's list.
    ///
    /// An empty list is a fault of the platform and is not believed: at least
    /// the reader itself exists.
    pub fn list(&mut self, now: Moment, listed: &[Instance]) {
        if listed.is_empty() {
            return;
        }
        for instance in listed {
            if instance.id != self.own.id {
                self.listed(now, instance);
            }
        }
        self.listed_once = true;
        for (id, entry) in &mut self.entries {
            let present = listed.iter().any(|instance| instance.id == *id);
            entry.mark(now, present);
        }
    }

    /// Takes what an instance said of itself, directly.
    pub fn heard(&mut self, now: Moment, heartbeat: &Heartbeat) {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            return;
        };
        if heartbeat.incarnation < entry.instance.incarnation {
            return;
        }
        if heartbeat.incarnation > entry.instance.incarnation {
            // A restart that the list does not show yet.
            entry.succeed(now, heartbeat.incarnation, heartbeat.beat);
        }
        entry.confirmed = true;
        let before = entry.state();
        entry.handle(Event::Alive {
            beat: heartbeat.beat,
            now,
        });
        if heartbeat.standing == Standing::Leaving {
            entry.handle(Event::Leave { now });
        }
        self.note(heartbeat.id, before);
    }

    /// Takes what a peer said of an instance.
    pub fn rumour(&mut self, now: Moment, rumour: &Rumour) {
        if rumour.id == self.own.id {
            self.answer(rumour);
            return;
        }
        let Some(entry) = self.entries.get_mut(&rumour.id) else {
            return;
        };
        if rumour.incarnation < entry.instance.incarnation {
            return;
        }
        let before = entry.state();
        if rumour.incarnation > entry.instance.incarnation {
            entry.succeed(now, rumour.incarnation, rumour.beat);
        }
        entry.confirmed = true;
        entry.handle(told(rumour, now));
        self.note(rumour.id, before);
    }

    /// Takes that a message to an instance found no answer.
    pub fn unreachable(&mut self, now: Moment, id: InstanceId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let before = entry.state();
        entry.accuse(now);
        self.note(id, before);
    }

    /// Marks the own instance as leaving, for good.
    pub fn leave(&mut self) {
        if self.own.standing == Standing::Live {
            self.own.standing = Standing::Leaving;
            self.changes.push(self.own_rumour());
        }
    }

    /// Lets time pass and returns what changed since the last call.
    ///
    /// Each change is a rumour worth telling peers.
    pub fn tick(&mut self, now: Moment) -> Vec<Rumour> {
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
            return Some(self.own_rumour().state);
        }
        self.entries.get(&id).map(Entry::state)
    }

    /// Returns what the own instance says of itself.
    #[must_use]
    pub const fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            id: self.own.id,
            incarnation: self.own.incarnation,
            beat: self.beat,
            standing: self.own.standing,
        }
    }

    /// Returns the accusation against an instance that it should hear of.
    #[must_use]
    pub fn accusation(&self, id: InstanceId) -> Option<Rumour> {
        let rumour = self.entries.get(&id)?.rumour();
        matches!(rumour.state, State::Suspect | State::Gone).then_some(rumour)
    }

    fn listed(&mut self, now: Moment, instance: &Instance) {
        let Some(entry) = self.entries.get_mut(&instance.id) else {
            self.join(now, instance);
            return;
        };
        if instance.incarnation < entry.instance.incarnation {
            // The list has not seen the restart yet.
            return;
        }
        let before = entry.state();
        if instance.incarnation > entry.instance.incarnation {
            entry.succeed(now, instance.incarnation, 0);
        }
        entry.instance = instance.clone();
        if instance.standing == Standing::Leaving {
            entry.handle(Event::Leave { now });
        }
        self.note(instance.id, before);
    }

    fn join(&mut self, now: Moment, instance: &Instance) {
        let mut entry = Entry::new(now, instance.clone());
        // At its own start an instance takes the list as it is; later
        // newcomers wait out their probation, by which time all know them.
        if self.listed_once {
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
        let before = entry.state();
        entry.handle(Event::Tick { now });
        let absent = entry
            .unlisted
            .is_some_and(|from| since(now, from) >= ABSENT);
        if absent && entry.state() == State::Gone {
            self.entries.remove(&id);
            return;
        }
        if absent {
            // It is off the list: unless it answers, it is gone.
            entry.accuse(now);
            entry.unlisted = Some(now);
        }
        self.note(id, before);
    }

    // Answers an accusation against the own instance.
    fn answer(&mut self, rumour: &Rumour) {
        let accused = matches!(rumour.state, State::Suspect | State::Gone);
        if accused && rumour.incarnation == self.own.incarnation && rumour.beat >= self.beat {
            self.beat = rumour.beat + 1;
            self.changes.push(self.own_rumour());
        }
    }

    fn own_rumour(&self) -> Rumour {
        Rumour {
            id: self.own.id,
            incarnation: self.own.incarnation,
            beat: self.beat,
            state: match self.own.standing {
                Standing::Live => State::Live,
                Standing::Leaving => State::Leaving,
            },
        }
    }

    fn note(&mut self, id: InstanceId, before: State) {
        let Some(entry) = self.entries.get(&id) else {
            return;
        };
        if entry.state() != before {
            self.changes.push(entry.rumour());
        }
    }
}

impl Entry {
    fn new(now: Moment, instance: Instance) -> Self {
        let member = Member {
            beat: 0,
            heard: now,
            left: false,
        };
        let mut machine = member.state_machine();
        machine.init();
        Self {
            instance,
            machine,
            unlisted: None,
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
    fn succeed(&mut self, now: Moment, incarnation: Incarnation, beat: u64) {
        if self.confirmed || self.state() != State::Live {
            self.restart(now, incarnation, beat);
        } else {
            self.instance.incarnation = incarnation;
        }
    }

    fn restart(&mut self, now: Moment, incarnation: Incarnation, beat: u64) {
        self.instance.incarnation = incarnation;
        self.instance.standing = Standing::Live;
        let member = Member {
            beat,
            heard: now,
            left: false,
        };
        self.machine = member.state_machine();
        self.machine.init();
        self.handle(Event::Probation { now });
    }

    fn handle(&mut self, event: Event) {
        self.machine.handle(&event);
    }

    fn accuse(&mut self, now: Moment) {
        let beat = self.machine.inner().beat;
        self.handle(Event::Accused { beat, now });
    }

    fn mark(&mut self, now: Moment, present: bool) {
        if present {
            self.unlisted = None;
        } else if self.unlisted.is_none() {
            self.unlisted = Some(now);
        }
    }

    fn state(&self) -> State {
        self.machine.state().state()
    }

    fn rumour(&self) -> Rumour {
        Rumour {
            id: self.instance.id,
            incarnation: self.instance.incarnation,
            beat: self.machine.inner().beat,
            state: self.state(),
        }
    }
}

fn told(rumour: &Rumour, now: Moment) -> Event {
    let beat = rumour.beat;
    match rumour.state {
        State::Live | State::Returning => Event::Alive { beat, now },
        State::Suspect | State::Gone => Event::Accused { beat, now },
        State::Leaving => Event::Leave { now },
    }
}

impl fmt::Debug for Roster {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let states = self.entries.iter().map(|(id, entry)| (id, entry.state()));
        f.debug_struct("Roster")
            .field("own", &self.own.id)
            .field("beat", &self.beat)
            .field("states", &states.collect::<BTreeMap<_, _>>())
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;

//! The endpoints, from the list, their own reports and peers' leaving signs.
//!
//! Any source may be behind: the list says live while the endpoint says
//! leaving, or the reverse. The first leaving sign of an incarnation, from
//! wherever, holds for that incarnation; only a greater incarnation is live
//! again, because it is another process on the same address.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Report, Standing};
use godwitpost_types::id::{EndpointId, Incarnation};

/// How long an endpoint may miss from the list while it reports nothing.
///
/// The list lags by seconds; an endpoint that still reports is kept.
pub const MAX_UNLISTED: Duration = Duration::from_secs(10);

/// A leaving sign, as instances pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingNotice {
    /// The endpoint that leaves.
    pub id: EndpointId,
    /// The life that leaves.
    pub incarnation: Incarnation,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint, or a new life of a known one.
    Joined(EndpointId),
    /// It gets no new work from now on; the sign is to be passed on.
    Left(LeavingNotice),
    /// It is off the list and silent.
    Gone(EndpointId),
}

/// The endpoints that an instance knows.
#[derive(Debug, Default)]
pub struct Endpoints {
    entries: BTreeMap<EndpointId, Entry>,
    // Signs outlive their endpoint's entry: the list may bring it back.
    left_incarnations: BTreeMap<EndpointId, Incarnation>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Entry {
    endpoint: Endpoint,
    reported_at: Option<Moment>,
    unlisted_since: Option<Moment>,
}

impl Endpoints {
    /// Returns an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an answer of the platform's list; an empty one is not believed.
    pub fn apply_list(&mut self, now: Moment, listed: &[Endpoint]) {
        if listed.is_empty() {
            return;
        }
        for endpoint in listed {
            self.apply_listed(endpoint);
        }
        let present: std::collections::BTreeSet<EndpointId> =
            listed.iter().map(|endpoint| endpoint.id).collect();
        for (id, entry) in &mut self.entries {
            if present.contains(id) {
                entry.unlisted_since = None;
            } else if entry.unlisted_since.is_none() {
                entry.unlisted_since = Some(now);
            }
        }
    }

    /// Takes an endpoint's own report.
    pub fn apply_report(&mut self, now: Moment, id: EndpointId, report: &Report) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if report.incarnation < entry.endpoint.incarnation {
            return;
        }
        entry.reported_at = Some(now);
        if report.incarnation > entry.endpoint.incarnation {
            // A restart that the list does not show yet.
            entry.endpoint.incarnation = report.incarnation;
            self.record_join(id);
        }
        if report.standing == Standing::Leaving {
            self.apply_notice(LeavingNotice {
                id,
                incarnation: report.incarnation,
            });
        }
    }

    /// Takes a leaving sign: a peer's, or an answer that refused new work.
    pub fn apply_notice(&mut self, leaving: LeavingNotice) {
        let left = self.left_incarnations.get(&leaving.id);
        if left.is_some_and(|left| leaving.incarnation <= *left) {
            return;
        }
        self.left_incarnations
            .insert(leaving.id, leaving.incarnation);
        self.changes.push(Change::Left(leaving));
        self.update_standing(leaving.id);
    }

    /// Lets time pass and returns what changed since the last call.
    pub fn tick(&mut self, now: Moment) -> Vec<Change> {
        let gone: Vec<EndpointId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_gone(now))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.entries.remove(&id);
            self.changes.push(Change::Gone(id));
        }
        std::mem::take(&mut self.changes)
    }

    /// Returns every known endpoint, its standing settled.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> + '_ {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Returns an endpoint by its id.
    #[must_use]
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.entries.get(&id).map(|entry| &entry.endpoint)
    }

    fn apply_listed(&mut self, endpoint: &Endpoint) {
        let id = endpoint.id;
        let known_incarnation = self
            .entries
            .get(&id)
            .map(|entry| entry.endpoint.incarnation);
        match known_incarnation {
            Some(incarnation) if endpoint.incarnation < incarnation => return,
            Some(incarnation) if endpoint.incarnation == incarnation => self.refresh(endpoint),
            _ => self.insert(endpoint),
        }
        if endpoint.standing == Standing::Leaving {
            self.apply_notice(LeavingNotice {
                id,
                incarnation: endpoint.incarnation,
            });
        }
        self.update_standing(id);
    }

    fn refresh(&mut self, endpoint: &Endpoint) {
        if let Some(entry) = self.entries.get_mut(&endpoint.id) {
            entry.endpoint = endpoint.clone();
        }
    }

    fn insert(&mut self, endpoint: &Endpoint) {
        let entry = Entry {
            endpoint: endpoint.clone(),
            reported_at: None,
            unlisted_since: None,
        };
        self.entries.insert(endpoint.id, entry);
        self.record_join(endpoint.id);
    }

    fn record_join(&mut self, id: EndpointId) {
        self.update_standing(id);
        if self.get(id).is_some_and(|e| e.standing == Standing::Live) {
            self.changes.push(Change::Joined(id));
        }
    }

    // Sets the standing from the signs: the only place where it is decided.
    fn update_standing(&mut self, id: EndpointId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let left = self.left_incarnations.get(&id).copied();
        entry.endpoint.standing = match left {
            Some(left) if left >= entry.endpoint.incarnation => Standing::Leaving,
            _ => Standing::Live,
        };
    }
}

impl Entry {
    fn is_gone(&self, now: Moment) -> bool {
        let unlisted = self
            .unlisted_since
            .is_some_and(|from| since(now, from) >= MAX_UNLISTED);
        let silent = self
            .reported_at
            .is_none_or(|at| since(now, at) >= MAX_UNLISTED);
        unlisted && silent
    }
}

#[cfg(test)]
mod tests;

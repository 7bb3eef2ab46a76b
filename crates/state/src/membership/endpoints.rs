//! The endpoints, from the list, their own reports and peers' leaving notices.
//!
//! Any source may be outdated: the list may show an endpoint as live while the
//! endpoint reports that it is leaving, or the reverse. The first leaving notice
//! for an incarnation, from any source, is final for that incarnation. Only a
//! greater incarnation is live again, because it is another process at the same
//! address.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Report, Standing};
use godwitpost_types::id::{EndpointId, Incarnation};

/// How long an endpoint may be missing from the list, and send no report,
/// before it is removed.
///
/// The list lags by seconds; an endpoint that still reports is retained.
pub const MAX_UNLISTED: Duration = Duration::from_secs(10);

/// The notice that an endpoint is leaving, as instances forward it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingNotice {
    /// The endpoint that leaves.
    pub id: EndpointId,
    /// The incarnation that leaves.
    pub incarnation: Incarnation,
}

/// A change of the known endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new endpoint, or a new incarnation of a known one.
    Joined(EndpointId),
    /// The endpoint gets no new work from now on; the notice must be forwarded.
    Left(LeavingNotice),
    /// The endpoint is off the list and sends no reports.
    Gone(EndpointId),
}

/// The endpoints that an instance knows.
#[derive(Debug, Default)]
pub struct Endpoints {
    entries: BTreeMap<EndpointId, Entry>,
    // The greatest incarnation that left. It outlives the endpoint's entry,
    // because a stale list may show the endpoint again.
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

    /// Applies a response of the platform's list; an empty one is ignored.
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

    /// Applies an endpoint's own report.
    pub fn apply_report(&mut self, now: Moment, id: EndpointId, report: &Report) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if report.incarnation < entry.endpoint.incarnation {
            return;
        }
        entry.reported_at = Some(now);
        if report.incarnation > entry.endpoint.incarnation {
            // The endpoint restarted and the list does not show it yet.
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

    /// Applies a leaving notice from a peer or from a response that refused new
    /// work.
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

    /// Advances the time to `now` and returns the changes since the last call.
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

    /// Returns every known endpoint with its effective standing.
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
            _ => self.insert_entry(endpoint),
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

    fn insert_entry(&mut self, endpoint: &Endpoint) {
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

    // Sets the standing from the incarnation that left. No other code decides
    // the standing.
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

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
pub const ABSENT: Duration = Duration::from_secs(10);

/// A leaving sign, as instances pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Leaving {
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
    Left(Leaving),
    /// It is off the list and silent.
    Gone(EndpointId),
}

/// The endpoints that an instance knows.
#[derive(Debug, Default)]
pub struct Endpoints {
    known: BTreeMap<EndpointId, Known>,
    // Signs outlive their endpoint's entry: the list may bring it back.
    left: BTreeMap<EndpointId, Incarnation>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Known {
    endpoint: Endpoint,
    reported: Option<Moment>,
    unlisted: Option<Moment>,
}

impl Endpoints {
    /// Returns an empty set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an answer of the platform's list; an empty one is not believed.
    pub fn list(&mut self, now: Moment, listed: &[Endpoint]) {
        if listed.is_empty() {
            return;
        }
        for endpoint in listed {
            self.listed(endpoint);
        }
        let present: std::collections::BTreeSet<EndpointId> =
            listed.iter().map(|endpoint| endpoint.id).collect();
        for (id, known) in &mut self.known {
            if present.contains(id) {
                known.unlisted = None;
            } else if known.unlisted.is_none() {
                known.unlisted = Some(now);
            }
        }
    }

    /// Takes an endpoint's own report.
    pub fn report(&mut self, now: Moment, id: EndpointId, report: &Report) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        if report.incarnation < known.endpoint.incarnation {
            return;
        }
        known.reported = Some(now);
        if report.incarnation > known.endpoint.incarnation {
            // A restart that the list does not show yet.
            known.endpoint.incarnation = report.incarnation;
            self.rejoin(id);
        }
        if report.standing == Standing::Leaving {
            self.sign(Leaving {
                id,
                incarnation: report.incarnation,
            });
        }
    }

    /// Takes a leaving sign: a peer's, or an answer that refused new work.
    pub fn sign(&mut self, leaving: Leaving) {
        let left = self.left.get(&leaving.id);
        if left.is_some_and(|left| leaving.incarnation <= *left) {
            return;
        }
        self.left.insert(leaving.id, leaving.incarnation);
        self.changes.push(Change::Left(leaving));
        self.stand(leaving.id);
    }

    /// Lets time pass and returns what changed since the last call.
    pub fn tick(&mut self, now: Moment) -> Vec<Change> {
        let gone: Vec<EndpointId> = self
            .known
            .iter()
            .filter(|(_, known)| known.gone(now))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.known.remove(&id);
            self.changes.push(Change::Gone(id));
        }
        std::mem::take(&mut self.changes)
    }

    /// Returns every known endpoint, its standing settled.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> + '_ {
        self.known.values().map(|known| &known.endpoint)
    }

    /// Returns an endpoint by its id.
    #[must_use]
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.known.get(&id).map(|known| &known.endpoint)
    }

    fn listed(&mut self, endpoint: &Endpoint) {
        let id = endpoint.id;
        let known_incarnation = self.known.get(&id).map(|known| known.endpoint.incarnation);
        match known_incarnation {
            Some(known) if endpoint.incarnation < known => return,
            Some(known) if endpoint.incarnation == known => self.refresh(endpoint),
            _ => self.enter(endpoint),
        }
        if endpoint.standing == Standing::Leaving {
            self.sign(Leaving {
                id,
                incarnation: endpoint.incarnation,
            });
        }
        self.stand(id);
    }

    fn refresh(&mut self, endpoint: &Endpoint) {
        if let Some(known) = self.known.get_mut(&endpoint.id) {
            known.endpoint = endpoint.clone();
        }
    }

    fn enter(&mut self, endpoint: &Endpoint) {
        let known = Known {
            endpoint: endpoint.clone(),
            reported: None,
            unlisted: None,
        };
        self.known.insert(endpoint.id, known);
        self.rejoin(endpoint.id);
    }

    fn rejoin(&mut self, id: EndpointId) {
        self.stand(id);
        if self.get(id).is_some_and(|e| e.standing == Standing::Live) {
            self.changes.push(Change::Joined(id));
        }
    }

    // Sets the standing from the signs: the only place where it is decided.
    fn stand(&mut self, id: EndpointId) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        let left = self.left.get(&id).copied();
        known.endpoint.standing = match left {
            Some(left) if left >= known.endpoint.incarnation => Standing::Leaving,
            _ => Standing::Live,
        };
    }
}

impl Known {
    fn gone(&self, now: Moment) -> bool {
        let unlisted = self.unlisted.is_some_and(|from| since(now, from) >= ABSENT);
        let silent = self.reported.is_none_or(|at| since(now, at) >= ABSENT);
        unlisted && silent
    }
}

#[cfg(test)]
mod tests;

//! Quarantine of requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, every request in flight on it becomes a suspect.
//! A suspect next runs alone on its endpoint. If that endpoint crashes too, no
//! other request can be the cause, and the suspect is quarantined after two
//! endpoints. A harmless request completes alone and is cleared. Evidence is a
//! set of records keyed by the request's digest, so a new request key or
//! another entry instance makes no difference, but another caller does, and
//! merging is a union in any order. `docs/design/quarantine.md` compares the alternatives.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BodyDigest, EndpointId, Incarnation, WorkspaceId};
use godwitpost_types::request::Request;
use serde::{Deserialize, Serialize};

/// How long evidence counts.
///
/// Long enough to keep out a caller that resends for a whole working day,
/// short enough that a repaired engine gets another try the next day.
pub const EVIDENCE_MAX_AGE: Duration = Duration::from_hours(12);

/// Maximum number of digests that one instance keeps evidence on.
///
/// 25 crashes a day with 64 requests in flight give 1,600 suspects a day. Five
/// times that bounds the memory at about a megabyte.
pub const MAX_DIGESTS: usize = 8_192;

/// What one crash or one clean run shows about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Evidence {
    /// The digest that identifies the request.
    pub digest: BodyDigest,
    /// The endpoint that ran it.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation at the time.
    pub incarnation: Incarnation,
    /// What was observed.
    pub kind: Kind,
    /// When it was observed.
    pub at: Moment,
}

/// What was observed of a request on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// The endpoint crashed while it ran this request.
    Crashed,
    /// The endpoint completed the request.
    Clean,
    /// The endpoint's incarnation was alive afterwards; only a connection had
    /// broken.
    Survived,
}

/// Returns the digest of a request's content.
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> BodyDigest {
    digest_of_parts(&[method.as_bytes(), path.as_bytes(), body])
}

/// Returns the digest that identifies a request in evidence: that of its content with whose request
/// it is and to which host.
///
/// An endpoint may crash of one workspace's request and answer the same one of another. Without a
/// `workspace` it is the request of all callers that are not known. `host` is in the form that
/// routes are looked up by, and empty if no route depends on it.
#[must_use]
pub fn identity(workspace: Option<WorkspaceId>, host: &str, content: &BodyDigest) -> BodyDigest {
    let workspace = workspace.map(WorkspaceId::to_le_bytes);
    let workspace = workspace.as_ref().map_or(&[][..], |bytes| &bytes[..]);
    digest_of_parts(&[workspace, host.as_bytes(), content])
}

/// Returns the digest that identifies a request of a bundle's workspace in evidence.
#[must_use]
pub fn identity_of(request: &Request) -> BodyDigest {
    identity(Some(request.workspace), "", &request.digest)
}

// Each part is preceded by its length, so that no two lists of parts are hashed alike.
fn digest_of_parts(parts: &[&[u8]]) -> BodyDigest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = BodyDigest::default();
    hasher.finalize_xof().fill(&mut digest);
    digest
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is no evidence against it.
    Clear,
    /// It may have crashed an endpoint and must run alone.
    Suspect,
    /// It crashes endpoints and must not run.
    Quarantined,
}

#[derive(Clone, Debug, Default)]
struct History {
    crashes: BTreeMap<Process, Moment>,
    survived: BTreeMap<Process, Moment>,
    last_clean: Option<Moment>,
    latest: Moment,
}

/// The evidence known to one instance.
#[derive(Clone, Debug, Default)]
pub struct Table {
    histories: BTreeMap<BodyDigest, History>,
}

impl Table {
    /// Records evidence and returns whether it was new and should be passed
    /// on.
    pub fn insert(&mut self, evidence: Evidence) -> bool {
        let history = self.histories.entry(evidence.digest).or_default();
        let is_new = history.add(&evidence);
        self.evict_oldest();
        is_new
    }

    /// Returns what to do with the request that has a digest.
    #[must_use]
    pub fn verdict(&self, digest: &BodyDigest, now: Moment) -> Verdict {
        self.histories
            .get(digest)
            .map_or(Verdict::Clear, |history| history.verdict(now))
    }

    /// Returns all evidence, to send to an instance that starts with none.
    #[must_use]
    pub fn records(&self) -> Vec<Evidence> {
        self.histories
            .iter()
            .flat_map(|(digest, history)| history.records(*digest))
            .collect()
    }

    /// Returns all evidence on one digest.
    #[must_use]
    pub fn evidence_for(&self, digest: &BodyDigest) -> Vec<Evidence> {
        let history = self.histories.get(digest);
        history.map_or_else(Vec::new, |history| history.records(*digest).collect())
    }

    /// Retracts the crashes of an incarnation that was alive afterwards and
    /// returns the evidence to pass on.
    pub fn retract_crashes(
        &mut self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        alive: Moment,
    ) -> Vec<Evidence> {
        let process = (endpoint, incarnation);
        let is_affected =
            |history: &History| history.crashes.get(&process).is_some_and(|at| *at < alive);
        let affected = self
            .histories
            .iter()
            .filter(|(_, history)| is_affected(history));
        let retracted: Vec<Evidence> = affected
            .map(|(digest, _)| Evidence {
                digest: *digest,
                endpoint,
                incarnation,
                kind: Kind::Survived,
                at: alive,
            })
            .collect();
        let candidates = retracted.into_iter();
        candidates
            .filter(|evidence| self.insert(*evidence))
            .collect()
    }

    /// Removes evidence that no longer counts.
    pub fn expire(&mut self, now: Moment) {
        self.histories
            .retain(|_, history| since(now, history.latest) < EVIDENCE_MAX_AGE);
    }

    /// Returns the number of digests with evidence.
    #[must_use]
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Returns whether there is no evidence.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    // Over capacity, the digest with the oldest evidence is removed because
    // its request is the least likely to be sent again.
    fn evict_oldest(&mut self) {
        if self.histories.len() <= MAX_DIGESTS {
            return;
        }
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| history.latest);
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.histories.remove(&digest);
        }
    }
}

impl History {
    fn add(&mut self, evidence: &Evidence) -> bool {
        self.latest = self.latest.max(evidence.at);
        let process = (evidence.endpoint, evidence.incarnation);
        match evidence.kind {
            Kind::Clean => {
                let newer = self.last_clean < Some(evidence.at);
                self.last_clean = self.last_clean.max(Some(evidence.at));
                newer
            }
            Kind::Crashed => update_latest(&mut self.crashes, process, evidence.at),
            Kind::Survived => update_latest(&mut self.survived, process, evidence.at),
        }
    }

    // A clean run clears all crashes before it, whatever the order in which
    // the records arrive. Two crashes that nothing cleared quarantine the
    // request: wherever the first crash was known, the second run was alone,
    // so it points at this request only.
    fn verdict(&self, now: Moment) -> Verdict {
        let counted = self
            .crashes
            .iter()
            .filter(|(process, at)| self.survived.get(process) < Some(at))
            .filter(|(_, at)| Some(**at) > self.last_clean && since(now, **at) < EVIDENCE_MAX_AGE);
        match counted.count() {
            0 => Verdict::Clear,
            1 => Verdict::Suspect,
            _ => Verdict::Quarantined,
        }
    }

    fn records(&self, digest: BodyDigest) -> impl Iterator<Item = Evidence> {
        let crashed = self.crashes.iter().map(|(p, at)| (*p, Kind::Crashed, *at));
        let survived = self.survived.iter();
        let survived = survived.map(|(p, at)| (*p, Kind::Survived, *at));
        let cleared = self.last_clean.map(|at| ((0, 0), Kind::Clean, at));
        crashed
            .chain(survived)
            .chain(cleared)
            .map(move |((endpoint, incarnation), kind, at)| Evidence {
                digest,
                endpoint,
                incarnation,
                kind,
                at,
            })
    }
}

type Process = (EndpointId, Incarnation);

// Keeps the latest time for each process and returns whether it changed.
fn update_latest(moments: &mut BTreeMap<Process, Moment>, process: Process, at: Moment) -> bool {
    let known = moments.get(&process).copied();
    if known >= Some(at) {
        return false;
    }
    moments.insert(process, at);
    true
}

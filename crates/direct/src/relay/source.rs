//! The endpoint from which another one fetches what it lacks of a prompt.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use godwitpost_client::clock::boot_time;
use godwitpost_decide::health::Access;
use godwitpost_types::id::EndpointId;

use super::{EndpointResponse, Job};
use crate::fetch::{Prompt, Selection, SourceCandidates, select_source};
use crate::place::{Candidate, Exclusion};
use crate::roster::Registration;
use crate::shared::View;

/// Where an attempt's endpoint may fetch the prompt from.
pub(super) struct Source {
    pick: Selection,
    from: Option<Arc<Registration>>,
}

impl Source {
    /// Returns the address to be named, if any.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.from.as_ref().map(|from| from.endpoint.address)
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.pick.as_str())?;
        match &self.from {
            Some(from) => write!(f, ":{}", from.endpoint.name),
            None => Ok(()),
        }
    }
}

/// Finds the source of a request that goes to `target`, if its prompt's parts
/// count for where it goes.
pub(super) fn find(
    job: &Job,
    view: &View,
    candidates: &[Candidate],
    paused: &[&Registration],
    target: &Registration,
    draw: u64,
) -> Option<Source> {
    let part = job.facts.affinity_part().filter(|_| job.route.affinity)?;
    let prefixes = job.facts.prefixes();
    let prompt = Prompt {
        part: part.id,
        prefixes: &prefixes,
    };
    // At the target's address there is only the target: an entry that names another
    // is of a life before, whose removal wasn't heard of yet. Named as the source,
    // the endpoint was told to fetch from itself.
    let before: Vec<EndpointId> = view
        .holders(job.service)
        .filter(|one| one.endpoint.address == target.endpoint.address)
        .map(|one| one.endpoint.id)
        .collect();
    let live = candidates
        .iter()
        .filter(|one| one.exclusion != Some(Exclusion::Tried) && one.access == Access::Full)
        .map(|one| one.endpoint);
    // What is leaving, or wants no requests for now, still holds what it read.
    let leaving = view
        .leaving(job.service)
        .iter()
        .filter(|one| job.may_run_in(one.endpoint.zone))
        .map(|one| one.endpoint.id)
        .chain(paused.iter().map(|one| one.endpoint.id));
    let others: Vec<EndpointId> = {
        let book = job.shared.endpoint_stats();
        let sound = |endpoint: &EndpointId| book.access(*endpoint) == Access::Full;
        live.chain(leaving.filter(sound))
            .filter(|endpoint| !before.contains(endpoint))
            .collect()
    };
    let now = boot_time();
    let warm: Vec<EndpointId> = others
        .iter()
        .copied()
        .filter(|endpoint| view.ramp(job.service, *endpoint, now).is_none())
        .collect();
    let others = SourceCandidates {
        all: &others,
        warm: &warm,
    };
    let directory = job.shared.directory();
    let pick = select_source(&directory, prompt, target.endpoint.id, others, draw, now);
    drop(directory);
    job.shared.metrics.count_prompt_source(pick.as_str());
    let from = match pick {
        Selection::From { endpoint, .. } => view.holder(job.service, endpoint).map(Arc::clone),
        Selection::AlreadyHeld | Selection::Nobody => None,
    };
    Some(Source { pick, from })
}

/// Notes that an endpoint which answers holds the request's prompt.
pub(super) fn note(job: &Job, sent: &EndpointResponse) {
    if job.route.affinity && sent.head.status.is_success() {
        let prefixes = job.facts.prefixes();
        let mut directory = job.shared.directory();
        directory.record_read(sent.flight.endpoint(), &prefixes, boot_time());
    }
}

//! Selects the endpoint that another one fetches missing parts of a prompt from.

use std::fmt;
use std::sync::Arc;

use godwitpost_client::clock::boot_time;
use godwitpost_decide::health::Access;
use godwitpost_types::id::EndpointId;

use super::{EndpointResponse, Job};
use crate::fetch::{Prompt, Selection, SourceCandidates, select_source};
use crate::place::{Candidate, Exclusion};
use crate::roster::Registration;
use crate::shared::View;

/// Where the endpoint of an attempt may fetch the prompt from.
pub(super) struct Source {
    selection: Selection,
    from: Option<Arc<Registration>>,
}

impl Source {
    /// Returns the endpoint, if there is a source.
    pub(super) fn registration(&self) -> Option<&Arc<Registration>> {
        self.from.as_ref()
    }
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.selection.as_str())?;
        match &self.from {
            Some(from) => write!(f, ":{}", from.endpoint.name),
            None => Ok(()),
        }
    }
}

/// Finds the source for a request to `target`, if the request is placed by its prompt.
pub(super) fn find_source(
    job: &Job,
    view: &View,
    candidates: &[Candidate],
    paused: &[&Registration],
    target: &Registration,
    draw: u64,
) -> Option<Source> {
    let part = job.fields.affinity_part().filter(|_| job.route.affinity)?;
    let prefixes = job.fields.prefixes();
    let prompt = Prompt {
        part: part.id,
        prefixes: &prefixes,
    };
    // Only `target` can listen at its address. Another entry with that address is a
    // previous incarnation whose removal hasn't arrived yet; named as the source, it made
    // the endpoint fetch from itself.
    let at_target_address: Vec<EndpointId> = view
        .holders(job.service)
        .filter(|one| one.endpoint.address == target.endpoint.address)
        .map(|one| one.endpoint.id)
        .collect();
    let usable = candidates
        .iter()
        .filter(|one| one.exclusion != Some(Exclusion::Tried) && one.access == Access::Full)
        .map(|one| one.endpoint);
    // Endpoints that are leaving or paused still hold what they have read.
    let leaving = view
        .leaving(job.service)
        .iter()
        .filter(|one| job.may_run_in(one.endpoint.zone))
        .map(|one| one.endpoint.id)
        .chain(paused.iter().map(|one| one.endpoint.id));
    let others: Vec<EndpointId> = {
        let stats = job.shared.endpoint_stats();
        let healthy = |endpoint: &EndpointId| stats.access(*endpoint) == Access::Full;
        usable
            .chain(leaving.filter(healthy))
            .filter(|endpoint| !at_target_address.contains(endpoint))
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
    let selection = select_source(&directory, prompt, target.endpoint.id, others, draw, now);
    drop(directory);
    job.shared.metrics.count_prompt_source(selection.as_str());
    let from = match selection {
        Selection::From { endpoint, .. } => view.holder(job.service, endpoint).map(Arc::clone),
        Selection::AlreadyHeld | Selection::Nobody => None,
    };
    Some(Source { selection, from })
}

/// Records that an endpoint which responded holds the request's prompt.
pub(super) fn record_holder(job: &Job, response: &EndpointResponse) {
    if job.route.affinity && response.head.status.is_success() {
        let prefixes = job.fields.prefixes();
        let mut directory = job.shared.directory();
        directory.record_read(response.in_flight.endpoint(), &prefixes, boot_time());
    }
}

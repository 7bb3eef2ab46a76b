//! Checks that no endpoint carries more than a set multiple of the mean load.
//!
//! The load of an endpoint is the estimated work of its runs in flight. The
//! bound is checked at each event that raises a load. This covers every
//! instant, because loads only fall between two such events. A mean that falls
//! because other runs finish gives no endpoint new work, so it is no violation;
//! the next admission is checked against the new mean.
//!
//! The mean of a few requests is no useful bound: with one request on ten
//! endpoints the mean is a tenth. A load up to the floor is therefore allowed
//! whatever the mean is.

use std::collections::BTreeMap;

use displaydoc::Display;

use super::Violation;
use crate::event::{Event, Name, Run, RunId, Sample, What};
use crate::history::History;

#[cfg(test)]
mod tests;

/// The load limit for the endpoints of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The service.
    pub service: Name,
    /// The multiple of the mean that no endpoint may exceed.
    pub factor: f64,
    /// The work that an endpoint may carry whatever the mean is.
    pub floor: u64,
}

impl Limit {
    fn allows(&self, work: u64, total: u64, endpoints: usize) -> bool {
        if work <= self.floor {
            return true;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "sums of work stay far below 2^53 tokens"
        )]
        let (work, mean) = (work as f64, total as f64 / endpoints.max(1) as f64);
        work <= self.factor * mean
    }
}

/// How the load bound was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// endpoint {endpoint} carried {work} of the total work {total} on {endpoints} endpoints
    AboveBound {
        /// The endpoint.
        endpoint: Name,
        /// Its work.
        work: u64,
        /// The work on all endpoints of the service.
        total: u64,
        /// The number of endpoints of the service.
        endpoints: usize,
    },
}

/// Returns a violation for each endpoint found above the bound when its load rose
/// or was sampled.
#[must_use]
pub fn check(history: &History<'_>, limit: &Limit) -> Vec<Violation<Breach>> {
    let mut loads = EndpointLoads::default();
    let mut found = Vec::new();
    for event in history.events() {
        match loads.apply_event(&limit.service, event) {
            Check::Endpoint(endpoint) => found.extend(loads.check_endpoint(limit, endpoint, event)),
            Check::LoadSample(sample) => found.extend(check_sample(limit, sample, event)),
            Check::Nothing => {}
        }
    }
    found
}

enum Check<'a> {
    Endpoint(&'a str),
    LoadSample(&'a Sample),
    Nothing,
}

#[derive(Default)]
struct EndpointLoads<'a> {
    work: BTreeMap<&'a str, u64>,
    runs: BTreeMap<RunId, &'a Run>,
}

impl<'a> EndpointLoads<'a> {
    fn apply_event(&mut self, service: &str, event: &'a Event) -> Check<'a> {
        match &event.what {
            What::EndpointJoined {
                endpoint,
                service: served,
                ..
            } if served == service => {
                // The runs of an earlier incarnation ended with it.
                self.remove_endpoint(endpoint);
                self.work.insert(endpoint, 0);
                Check::Nothing
            }
            What::EndpointLost { endpoint, .. } => {
                self.remove_endpoint(endpoint);
                Check::Nothing
            }
            What::RunStarted(run) => self.start_run(run),
            What::RunEnded(end) => {
                self.end_run(end.run);
                Check::Nothing
            }
            What::LoadSampled(sample) if sample.service == service => Check::LoadSample(sample),
            _ => Check::Nothing,
        }
    }

    fn remove_endpoint(&mut self, endpoint: &str) {
        self.work.remove(endpoint);
        self.runs.retain(|_, run| run.endpoint != endpoint);
    }

    fn start_run(&mut self, run: &'a Run) -> Check<'a> {
        let Some(work) = self.work.get_mut(run.endpoint.as_str()) else {
            return Check::Nothing;
        };
        *work += run.work;
        self.runs.insert(run.run, run);
        Check::Endpoint(&run.endpoint)
    }

    fn end_run(&mut self, run: RunId) {
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        if let Some(work) = self.work.get_mut(run.endpoint.as_str()) {
            *work -= run.work;
        }
    }

    // A leaving endpoint still carries its work, so it counts in the mean until
    // it is lost. Without it, the mean could fall and other endpoints could
    // appear to be above the bound.
    fn check_endpoint(
        &self,
        limit: &Limit,
        endpoint: &str,
        event: &Event,
    ) -> Option<Violation<Breach>> {
        let work = self.work.get(endpoint).copied().unwrap_or(0);
        let total = self.work.values().sum();
        if limit.allows(work, total, self.work.len()) {
            return None;
        }
        Some(above_bound(endpoint, work, total, self.work.len(), event))
    }
}

fn check_sample(limit: &Limit, sample: &Sample, event: &Event) -> Vec<Violation<Breach>> {
    let total = sample.work.values().sum();
    let endpoints = sample.work.len();
    sample
        .work
        .iter()
        .filter(|(_, work)| !limit.allows(**work, total, endpoints))
        .map(|(endpoint, work)| above_bound(endpoint, *work, total, endpoints, event))
        .collect()
}

fn above_bound(
    endpoint: &str,
    work: u64,
    total: u64,
    endpoints: usize,
    event: &Event,
) -> Violation<Breach> {
    let breach = Breach::AboveBound {
        endpoint: endpoint.to_owned(),
        work,
        total,
        endpoints,
    };
    Violation::new(breach, [event])
}

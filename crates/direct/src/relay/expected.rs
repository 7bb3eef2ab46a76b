//! Estimates what a request costs at an endpoint, and how long it takes there.

use godwitpost_client::clock::boot_time;
use godwitpost_decide::cost::{Class, Stated};
use godwitpost_decide::work::{Demand, Expectation};
use godwitpost_types::hash;
use godwitpost_types::id::{self, EndpointId};

use super::Job;
use crate::dialect::{Prefix, TokenCounts};
use crate::place::{Candidate, Outlook};
use crate::policy::Engine;
use crate::work::Target;

/// The time to fetch a prompt from another engine, as a fraction of the time to read it.
const FETCH_FRACTION: f64 = 0.1;

/// A request with what is known of its cost before an endpoint is chosen.
pub(super) struct Cost {
    engine: Engine,
    tokens: TokenCounts,
    prefixes: Vec<Prefix>,
    class: Class,
    stated: Stated,
    // Differs for each decision, and is the same for all candidates of one.
    draw: u64,
}

/// What is expected of a request at the endpoint that it is sent to.
pub(super) struct Expected {
    pub(super) target: Target,
    pub(super) demand: Demand,
    pub(super) expectation: Option<Expectation>,
}

impl Expected {
    /// Returns the expected time to the first event in milliseconds.
    pub(super) fn first_event_ms(&self) -> Option<u128> {
        let expectation = self.expectation?;
        Some(expectation.first_event.as_millis())
    }
}

impl Cost {
    /// Returns the cost of a request, if its service's endpoints run models and the caller
    /// states its lengths.
    pub(super) fn new(job: &Job, engine: Option<Engine>, draw: u64) -> Option<Self> {
        let tokens = job.fields.tokens?;
        let workspace = job.workspace.as_ref().map(|one| one.name.as_str());
        let workspace = id::from_name(workspace.unwrap_or_default());
        Some(Self {
            engine: engine?,
            tokens,
            prefixes: job.fields.prefixes(),
            class: hash::score(id::from_name(&job.route.name), workspace),
            stated: Stated {
                max_output: Some(tokens.max_output),
                hint: job.fields.output_hint,
            },
            draw,
        })
    }

    /// Returns what is expected of the request at a candidate.
    pub(super) fn expected_at(&self, job: &Job, candidate: &Candidate) -> Expected {
        let now = boot_time();
        let target = Target {
            service: job.service,
            endpoint: candidate.endpoint,
            others: (candidate.load - f64::from(candidate.own_requests)).max(0.0),
            engine: self.engine,
        };
        let demand = Demand {
            read: self.tokens_to_read(job, candidate.endpoint),
            prompt: f64::from(self.tokens.prompt),
            class: self.class,
            stated: self.stated,
        };
        let expectation = job
            .shared
            .work()
            .expectation(&target, &demand, self.draw, now);
        Expected {
            target,
            demand,
            expectation,
        }
    }

    /// Returns how long the request takes at a candidate and what work it adds there, or
    /// `None` if that isn't known.
    pub(super) fn outlook(&self, job: &Job, candidate: &Candidate) -> Option<Outlook> {
        let expected = self.expected_at(job, candidate);
        let read = expected.demand.read;
        let added = job.shared.work().read_time(job.service, read)?;
        let expectation = expected.expectation?;
        Some(Outlook {
            first_event: expectation.first_event,
            added,
            fits: expectation.fits,
        })
    }

    // Returns the number of prompt tokens that an endpoint has to read. What it lacks of the
    // part shared with other requests counts at `FETCH_FRACTION` if another endpoint holds
    // all of that part.
    fn tokens_to_read(&self, job: &Job, endpoint: EndpointId) -> f64 {
        let now = boot_time();
        let directory = job.shared.directory();
        let is_held = |prefix: &&Prefix| directory.holds(prefix.id, endpoint, now);
        let held = self.prefixes.iter().rev().find(is_held);
        let held = held.map_or(0, |prefix| prefix.tokens);
        let shared = self.prefixes.last().map_or(0, |prefix| prefix.tokens);
        let missing = f64::from(shared.saturating_sub(held));
        let own = f64::from(self.tokens.prompt.saturating_sub(shared));
        let source = directory.source(&self.prefixes, |one| one != endpoint, self.draw, now);
        let has_source = source.is_some_and(|source| source.tokens >= shared);
        let fraction = if has_source { FETCH_FRACTION } else { 1.0 };
        own + missing * fraction
    }
}

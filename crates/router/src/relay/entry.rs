//! Runs a caller's request at its entry instance until it has a response.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::connect::Body;
use godwitpost_decide::ending::Ending;
use godwitpost_decide::entry::{self, Attempts, Next, Retry};
use godwitpost_decide::hop::Hop;
use godwitpost_decide::refusal::{Reason, Refusal};
use godwitpost_decide::view::Pool;
use godwitpost_types::id::{EndpointId, InstanceId};
use godwitpost_types::instance::Instance;
use godwitpost_types::outcome::Outcome;
use godwitpost_wire::dispatch::{Head, Reply};
use http::{Response, StatusCode};
use rand::RngExt as _;

use super::peer::Failure;
use super::{AttemptResult, Job, owner, peer};
use crate::control;
use crate::problem::Problem;
use crate::resolve::Resolved;
use crate::shared::{Bundle, Shared, Snapshot};

/// Maximum number of forwards that an entry follows for one attempt. It is far
/// above the owners' own limit and only guards against a loop caused by a bug.
const MAX_FORWARDS_FOLLOWED: u32 = 16;

/// Runs a request and returns its response.
///
/// # Errors
///
/// Returns the problem for the caller, with the outcome over all attempts.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    snapshot: &Arc<Snapshot>,
    bundle: &Bundle,
    resolved: Resolved,
) -> Result<Response<Body>, Problem> {
    let zone = shared.settings.zone_id();
    let next = entry::route(&snapshot.view, &bundle.policy, &resolved.request, zone);
    shared
        .entry_state()
        .budgets
        .deposit(resolved.request.workspace, resolved.request.service);
    let in_flight = InFlightRequest {
        shared,
        snapshot,
        attempts: Attempts::default(),
        may_have_run: false,
        job: build_job(zone, resolved),
    };
    in_flight.finish(next).await
}

struct InFlightRequest<'a> {
    shared: &'a Arc<Shared>,
    snapshot: &'a Arc<Snapshot>,
    attempts: Attempts,
    /// Whether a previous attempt may have run.
    may_have_run: bool,
    job: Job,
}

enum Step {
    Respond(Response<Body>),
    Reject(Problem),
    Failed(Option<EndpointId>, Ending),
}

impl InFlightRequest<'_> {
    async fn finish(mut self, next: Next) -> Result<Response<Body>, Problem> {
        let result = self.run_attempts(next).await;
        if result.is_err() && self.may_have_run {
            self.send_evidence_to_home().await;
        }
        result.map_err(|problem| self.with_overall_outcome(problem))
    }

    async fn run_attempts(&mut self, mut next: Next) -> Result<Response<Body>, Problem> {
        loop {
            let (instance, endpoint) = match next {
                Next::Refuse(refusal) => return Err(refusal.into()),
                Next::Local { endpoint } => (self.shared.local(), endpoint),
                Next::Forward { instance, endpoint } => (instance, endpoint),
            };
            let (failed_endpoint, ending) = match self.attempt(instance, endpoint).await {
                Step::Respond(response) => return Ok(response),
                Step::Reject(problem) => return Err(problem),
                Step::Failed(failed_endpoint, ending) => (failed_endpoint, ending),
            };
            self.may_have_run |= !ending.proves_not_run();
            next = self.next_attempt(failed_endpoint, ending).await?;
        }
    }

    /// Sends the evidence against the request to the owner of the chat's home.
    ///
    /// A caller whose prompt crashed two engines may send it again at once
    /// through a router that gossip has not reached yet. All routers ask the
    /// owner of the home first, so it needs the evidence before the caller gets
    /// the error.
    async fn send_evidence_to_home(&self) {
        let request = &self.job.head.request;
        let evidence = self.shared.owner.with(|owner| owner.evidence_for(request));
        let view = &self.snapshot.view;
        let zone = self.shared.settings.zone_id();
        let home = view
            .ranked(Pool::for_request(request), request.chat, zone)
            .next();
        let owner = home.map(|home| view.owner(home));
        if evidence.is_empty() {
            return;
        }
        if let Some(owner) = owner.and_then(|owner| self.reachable_instance(owner)) {
            peer::send_evidence(self.shared, owner, &evidence).await;
        }
    }

    /// Returns the problem with the outcome over all attempts.
    ///
    /// A refusal covers only the refused attempt. If an earlier attempt broke
    /// off, for example because the request crashed two engines and is
    /// quarantined, *not run* would be false for the request as a whole.
    fn with_overall_outcome(&self, problem: Problem) -> Problem {
        if self.may_have_run && problem.outcome == Outcome::NotRun {
            problem.with_outcome(Outcome::Unknown)
        } else {
            problem
        }
    }

    /// Makes one attempt and follows the forwards of owners.
    async fn attempt(&mut self, instance: InstanceId, endpoint: EndpointId) -> Step {
        let request = &self.job.head.request;
        let evidence = self.shared.owner.with(|owner| owner.evidence_for(request));
        let zone = self.shared.settings.zone_id();
        self.job.head.hop = self.attempts.hop(zone, endpoint, evidence);
        let mut instance = instance;
        for _ in 0..MAX_FORWARDS_FOLLOWED {
            self.job.head.attempt = self.shared.entry_state().rng.random();
            let attempt = match self.send(instance).await {
                Ok(attempt) => attempt,
                Err(ending) => return Step::Failed(None, ending),
            };
            match attempt {
                AttemptResult::Response(response) => return Step::Respond(response),
                AttemptResult::Reply(Reply::Forward { instance: to, hop }) => {
                    instance = to;
                    self.job.head.hop = hop;
                }
                AttemptResult::Reply(Reply::Refused(refusal)) => return refusal_step(refusal),
                AttemptResult::Reply(Reply::Failed {
                    endpoint,
                    ending,
                    evidence,
                }) => {
                    self.shared
                        .owner
                        .with(|owner| owner.record_evidence(&evidence));
                    return Step::Failed(Some(endpoint), ending);
                }
                AttemptResult::Reply(Reply::Error(problem)) => {
                    return Step::Reject(problem.into());
                }
            }
        }
        Step::Failed(None, Ending::Refused)
    }

    /// Sends the request to its owner, or serves it here if the owner is this
    /// instance or can't be reached.
    ///
    /// The platform's list still names a crashed owner for some seconds. As no
    /// byte has reached it, the local owner may serve the request; it estimates
    /// the endpoint's load from its own requests and from reports.
    async fn send(&self, instance: InstanceId) -> Result<AttemptResult, Ending> {
        let Some(owner_instance) = self.reachable_instance(instance) else {
            return Ok(owner::serve(self.shared, &self.job).await);
        };
        match peer::dispatch(self.shared, owner_instance, &self.job).await {
            Ok(attempt) => Ok(attempt),
            Err(Failure::NotSent) => {
                log::debug!(instance:% = owner_instance.name; "owner unreachable; serving the request locally");
                self.avoid(instance);
                Ok(owner::serve(self.shared, &self.job).await)
            }
            Err(Failure::Unknown(ending)) => {
                // A timeout means that the endpoint is slow; only a broken
                // connection is a sign that the instance has failed.
                if ending == Ending::Broken {
                    self.avoid(instance);
                }
                Err(ending)
            }
        }
    }

    fn avoid(&self, instance: InstanceId) {
        let now = self.shared.now();
        self.shared.entry_state().avoid(now, instance);
        control::report_unreachable(self.shared, instance);
    }

    fn reachable_instance(&self, instance: InstanceId) -> Option<&Instance> {
        let now = self.shared.now();
        if instance == self.shared.local() || self.shared.entry_state().is_avoided(now, instance) {
            return None;
        }
        self.snapshot.view.instance(instance)
    }

    fn record_failure(&mut self, failed_endpoint: Option<EndpointId>, ending: Ending) -> Retry {
        let view = Arc::clone(&self.shared.snapshot().view);
        let entry_state = &mut *self.shared.entry_state();
        self.attempts.record_failure(
            self.shared.now(),
            &view,
            self.shared.settings.zone_id(),
            &self.job.head.request,
            failed_endpoint,
            ending,
            &mut entry_state.budgets,
            &mut entry_state.rng,
        )
    }

    /// Returns where the request is sent after a failed attempt.
    async fn next_attempt(
        &mut self,
        failed_endpoint: Option<EndpointId>,
        ending: Ending,
    ) -> Result<Next, Problem> {
        let retry = self.record_failure(failed_endpoint, ending);
        match retry {
            Retry::Again { after, to } => {
                tokio::time::sleep(after).await;
                Ok(to)
            }
            Retry::GiveUp {
                outcome,
                retry_after,
            } => Err(give_up_problem(ending, outcome, retry_after)),
        }
    }
}

// A request refused by an owner that is leaving is tried at another instance.
fn refusal_step(refusal: Refusal) -> Step {
    match refusal.reason {
        Reason::Leaving => Step::Failed(None, Ending::Refused),
        _ => Step::Reject(refusal.into()),
    }
}

fn give_up_problem(ending: Ending, outcome: Outcome, retry_after: Duration) -> Problem {
    let (status, reason, detail) = match (ending, outcome) {
        (Ending::Timeout, _) => (
            StatusCode::GATEWAY_TIMEOUT,
            "timeout",
            "no answer came before the deadline; it may have run, so repeat only what may run twice",
        ),
        (_, Outcome::NotRun) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "unreachable",
            "no endpoint took the request and nothing was run; send it again later",
        ),
        _ => (
            StatusCode::BAD_GATEWAY,
            "broken",
            "the endpoint broke off; it may have run, so repeat only what may run twice",
        ),
    };
    Problem::not_run(status, reason, detail)
        .with_outcome(outcome)
        .with_retry_after(retry_after)
}

fn build_job(zone: u64, resolved: Resolved) -> Job {
    Job {
        head: Head {
            request: resolved.request,
            hop: Hop::first(zone, 0),
            attempt: 0,
            method: resolved.method,
            path: resolved.path,
            headers: Vec::new(),
            issued: resolved.key.map(|key| key.issued),
        },
        headers: resolved.headers,
        body: resolved.body,
    }
}

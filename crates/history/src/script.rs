//! Builds histories for tests, one event per step.

use std::time::Duration;

use godwitpost_types::outcome::Outcome;

use crate::event::{
    Accepted, CallId, Dispatch, End, Event, Got, InForce, Run, RunEnd, RunId, Sent, What,
};

/// A builder of histories.
///
/// Every endpoint serves `drafting`, every call is from workspace `otaru`, and the
/// digest of the answer to call 7 is `answer-7`.
#[derive(Default)]
pub(crate) struct Script {
    pub(crate) events: Vec<Event>,
    now: Duration,
}

impl Script {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    pub(crate) fn wait(mut self, millis: u64) -> Self {
        self.now += Duration::from_millis(millis);
        self
    }

    pub(crate) fn record(mut self, what: What) -> Self {
        let order = self.events.len() as u64;
        self.events.push(Event {
            order,
            at: self.now,
            what,
        });
        self
    }

    /// A caller sends a repeatable request.
    pub(crate) fn send_repeatable(self, call: CallId, instance: &str) -> Self {
        self.record(sent(call, &format!("draft-{call}"), instance, false))
    }

    /// A caller sends an unrepeatable request.
    pub(crate) fn send_unrepeatable(self, call: CallId, job: &str, instance: &str) -> Self {
        self.record(sent(call, job, instance, true))
    }

    pub(crate) fn dispatch(self, call: CallId, instance: &str, version: u64) -> Self {
        self.record(What::Dispatched(Dispatch {
            call,
            instance: instance.into(),
            version,
        }))
    }

    pub(crate) fn start_run(self, run: RunId, call: CallId, endpoint: &str) -> Self {
        self.start_run_with_work(run, call, endpoint, 1)
    }

    pub(crate) fn start_run_with_work(
        self,
        run: RunId,
        call: CallId,
        endpoint: &str,
        work: u64,
    ) -> Self {
        self.record(What::RunStarted(Run {
            run,
            call,
            endpoint: endpoint.into(),
            incarnation: 1,
            work,
        }))
    }

    /// A run ends with the whole answer to `call`.
    pub(crate) fn run_completed(self, run: RunId, call: CallId) -> Self {
        self.run_ended(run, End::Whole, &format!("answer-{call}"))
    }

    pub(crate) fn run_ended(self, run: RunId, end: End, answer: &str) -> Self {
        let answer = Some(answer.to_owned());
        self.record(What::RunEnded(RunEnd { run, end, answer }))
    }

    /// A caller receives the whole answer to its call.
    pub(crate) fn got_whole_answer(self, call: CallId) -> Self {
        self.got(call, Outcome::Ran, End::Whole, &format!("answer-{call}"))
    }

    pub(crate) fn got(self, call: CallId, outcome: Outcome, end: End, answer: &str) -> Self {
        self.record(What::CallerGot(Got {
            call,
            outcome: Some(outcome),
            status: Some(200),
            end,
            answer: Some(answer.to_owned()),
        }))
    }

    /// A router answers a caller with an outcome, without an endpoint's answer.
    pub(crate) fn answered_by_router(self, call: CallId, outcome: Outcome) -> Self {
        self.record(What::CallerGot(Got {
            call,
            outcome: Some(outcome),
            status: Some(503),
            end: End::Whole,
            answer: None,
        }))
    }

    pub(crate) fn got_cut_answer(self, call: CallId) -> Self {
        self.got(call, Outcome::Ran, End::Cut, "part")
    }

    pub(crate) fn start_instance(self, instance: &str) -> Self {
        let instance = instance.to_owned();
        self.record(What::InstanceStarted { instance })
    }

    pub(crate) fn begin_stop(self, instance: &str) -> Self {
        let instance = instance.to_owned();
        self.record(What::StopBegun { instance })
    }

    pub(crate) fn end_stop(self, instance: &str) -> Self {
        let instance = instance.to_owned();
        self.record(What::StopEnded { instance })
    }

    pub(crate) fn kill_instance(self, instance: &str) -> Self {
        let instance = instance.to_owned();
        self.record(What::InstanceKilled { instance })
    }

    pub(crate) fn join_endpoint(self, endpoint: &str, incarnation: u64) -> Self {
        self.record(What::EndpointJoined {
            endpoint: endpoint.into(),
            incarnation,
            service: "drafting".into(),
        })
    }

    pub(crate) fn announce_leaving(self, endpoint: &str) -> Self {
        self.record(What::EndpointLeaving {
            endpoint: endpoint.into(),
            incarnation: 1,
        })
    }

    pub(crate) fn lose_endpoint(self, endpoint: &str) -> Self {
        self.record(What::EndpointLost {
            endpoint: endpoint.into(),
            incarnation: 1,
        })
    }

    pub(crate) fn accept_bundle(self, version: u64, offset: u64) -> Self {
        self.record(What::BundleAccepted(Accepted {
            version,
            root: format!("root-{version}"),
            offset,
        }))
    }

    pub(crate) fn bundle_in_force(self, instance: &str, version: u64) -> Self {
        self.record(What::BundleInForce(InForce {
            instance: instance.into(),
            version,
            root: format!("root-{version}"),
        }))
    }
}

pub(crate) fn sent(call: CallId, job: &str, instance: &str, unrepeatable: bool) -> What {
    What::CallerSent(Sent {
        call,
        job: job.to_owned(),
        workspace: "otaru".into(),
        instance: instance.to_owned(),
        unrepeatable,
    })
}

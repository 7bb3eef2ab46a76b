//! Checks that a request whose caller was told *not run* never runs.
//!
//! The outcome *not run* is final: a run that starts after the answer violates
//! it as much as one that started before. For an unrepeatable job the outcome
//! covers the whole job, because the caller may place the job again on the
//! strength of it: no call of the job that was sent before the answer was
//! received may have run or may run later. A call sent after the answer is a
//! new request and may run.

use displaydoc::Display;
use godwitpost_types::outcome::Outcome;

use super::Violation;
use crate::event::{CallId, Event, RunId};
use crate::history::{Call, Execution, History};

#[cfg(test)]
mod tests;

/// How the outcome *not run* was contradicted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// call {call} was answered as not run, but run {run} had started before
    RanBefore {
        /// The call.
        call: CallId,
        /// The run.
        run: RunId,
    },
    /// call {call} was answered as not run, but run {run} started afterwards
    RanAfter {
        /// The call.
        call: CallId,
        /// The run.
        run: RunId,
    },
}

/// Returns each run that contradicts the outcome *not run* given to a caller.
#[must_use]
pub fn check(history: &History<'_>) -> Vec<Violation<Breach>> {
    history
        .calls()
        .flat_map(|call| check_call(history, call))
        .collect()
}

fn check_call(history: &History<'_>, call: &Call<'_>) -> Vec<Violation<Breach>> {
    let Some((got_event, _)) = call
        .got
        .filter(|(_, got)| got.outcome == Some(Outcome::NotRun))
    else {
        return Vec::new();
    };
    history
        .runs_attributed_to(call.sent)
        .into_iter()
        .filter(|run| sent_before(history, run, got_event))
        .map(|run| violation(call, run, got_event))
        .collect()
}

fn sent_before(history: &History<'_>, run: &Execution<'_>, got_event: &Event) -> bool {
    history
        .call(run.started.call)
        .is_none_or(|call| call.sent_event.order < got_event.order)
}

fn violation(call: &Call<'_>, run: &Execution<'_>, got_event: &Event) -> Violation<Breach> {
    let (call_id, run_id) = (call.sent.call, run.started.run);
    let breach = if run.started_event.order < got_event.order {
        Breach::RanBefore {
            call: call_id,
            run: run_id,
        }
    } else {
        Breach::RanAfter {
            call: call_id,
            run: run_id,
        }
    };
    Violation::new(breach, [call.sent_event, got_event, run.started_event])
}

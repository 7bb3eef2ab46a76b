//! When a caller is told that its request was not run, it was not run.
//!
//! The word holds for ever: a run that starts after it was said breaks it as
//! one before does. For an unrepeatable job the word is about the job, for
//! the caller will place it anew on the strength of it: no call of the job
//! that was sent before the word was heard may have run or run later. A call
//! sent after it is a new wish of the caller's and may run.

use displaydoc::Display;
use godwitpost_types::outcome::Outcome;

use super::Violation;
use crate::event::{CallId, Event, RunId};
use crate::history::{Call, Execution, History};

#[cfg(test)]
mod tests;

/// How the word *not run* was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// call {call} was told that it was not run, and run {run} was before
    RanBefore {
        /// The call.
        call: CallId,
        /// The run.
        run: RunId,
    },
    /// call {call} was told that it was not run, and run {run} came after
    RanAfter {
        /// The call.
        call: CallId,
        /// The run.
        run: RunId,
    },
}

/// Returns each run that breaks the word given to a caller.
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

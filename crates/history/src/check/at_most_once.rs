//! Checks that an unrepeatable job runs at most once, and that no request runs
//! before a caller sent it.
//!
//! All calls of a job count together, whichever instance received them and
//! however often the caller resent them. A run that was cut off counts too: the
//! endpoint may have done the work before the cut.

use std::collections::BTreeSet;

use displaydoc::Display;

use super::Violation;
use crate::event::{CallId, RunId, Sent};
use crate::history::History;

#[cfg(test)]
mod tests;

/// How the guarantee of at most one run was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// unrepeatable job {job} of {workspace} ran {runs} times
    Repeated {
        /// The workspace.
        workspace: String,
        /// The job.
        job: String,
        /// The number of runs.
        runs: usize,
    },
    /// run {run} belongs to call {call}, which had not been sent
    NotRequested {
        /// The run.
        run: RunId,
        /// The call that it names.
        call: CallId,
    },
}

/// Returns the unrepeatable jobs that ran more than once, and the runs without a
/// call before them.
#[must_use]
pub fn check(history: &History<'_>) -> Vec<Violation<Breach>> {
    let mut found = runs_not_requested(history);
    let mut seen = BTreeSet::new();
    for call in history.calls().filter(|call| call.sent.unrepeatable) {
        if seen.insert((&call.sent.workspace, &call.sent.job)) {
            found.extend(check_job(history, call.sent));
        }
    }
    found
}

fn check_job(history: &History<'_>, sent: &Sent) -> Option<Violation<Breach>> {
    let runs = history.runs_attributed_to(sent);
    if runs.len() <= 1 {
        return None;
    }
    let breach = Breach::Repeated {
        workspace: sent.workspace.clone(),
        job: sent.job.clone(),
        runs: runs.len(),
    };
    let calls = history.calls_of_job(sent);
    let calls = calls.iter().map(|call| call.sent_event);
    let starts = runs.iter().map(|run| run.started_event);
    Some(Violation::new(breach, calls.chain(starts)))
}

fn runs_not_requested(history: &History<'_>) -> Vec<Violation<Breach>> {
    let mut found = Vec::new();
    for run in history.runs() {
        let call = run.started.call;
        let requested = history
            .call(call)
            .is_some_and(|sent_call| sent_call.sent_event.order < run.started_event.order);
        if !requested {
            let breach = Breach::NotRequested {
                run: run.started.run,
                call,
            };
            found.push(Violation::new(breach, [run.started_event]));
        }
    }
    found
}

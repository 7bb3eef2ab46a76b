//! An unrepeatable request runs at most once, and nothing runs unasked.
//!
//! All calls of one job count together, whichever instance they came in by
//! and however often the caller resent them. A run that was cut counts too:
//! the endpoint may have done what was asked before the cut.

use std::collections::BTreeSet;

use displaydoc::Display;

use super::Violation;
use crate::event::{CallId, RunId, Sent};
use crate::history::History;

#[cfg(test)]
mod tests;

/// How the promise of at most one run was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// unrepeatable job {job} of {workspace} ran {runs} times
    Repeated {
        /// The workspace.
        workspace: String,
        /// The job.
        job: String,
        /// How often it ran.
        runs: usize,
    },
    /// run {run} is of call {call}, which nobody had sent
    NotRequested {
        /// The run.
        run: RunId,
        /// The call that it names.
        call: CallId,
    },
}

/// Returns the jobs that ran too often, and the runs nobody asked for.
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

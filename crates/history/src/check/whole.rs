//! Checks that every caller gets the whole answer to its own request.
//!
//! An answer that a caller received as whole must be one that an endpoint ended
//! as whole for the same request. A cut answer can't be mistaken for a whole
//! one, because the caller sees the cut, but it is a violation unless a fault on its path
//! explains it. A call that never ends is a violation too.

use displaydoc::Display;
use godwitpost_types::outcome::Outcome;

use super::Violation;
use crate::event::{CallId, Digest, End, Event, Got};
use crate::history::{Call, Execution, History};

#[cfg(test)]
mod tests;

/// How the guarantee of a whole answer to the caller's own request was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// call {call} got the answer to call {other}
    WrongAnswer {
        /// The call.
        call: CallId,
        /// The call whose answer it got.
        other: CallId,
    },
    /// call {call} received as whole an answer that no endpoint ended as whole
    Altered {
        /// The call.
        call: CallId,
    },
    /// call {call} was answered as run, but no endpoint ran it
    NeverRan {
        /// The call.
        call: CallId,
    },
    /// call {call} got a whole answer that does not state the request's outcome
    MissingOutcome {
        /// The call.
        call: CallId,
    },
    /// call {call} was cut off without a fault on its path
    Cut {
        /// The call.
        call: CallId,
    },
    /// call {call} never ended
    Unanswered {
        /// The call.
        call: CallId,
    },
}

/// Returns the calls whose callers did not get their own whole answer.
#[must_use]
pub fn check(history: &History<'_>) -> Vec<Violation<Breach>> {
    history
        .calls()
        .filter_map(|call| check_call(history, call))
        .collect()
}

fn check_call(history: &History<'_>, call: &Call<'_>) -> Option<Violation<Breach>> {
    let id = call.sent.call;
    let Some((got_event, got)) = call.got else {
        let breach = Breach::Unanswered { call: id };
        return Some(Violation::new(breach, [call.sent_event]));
    };
    let breach = match got.end {
        End::Whole => return check_whole_answer(history, call, got_event, got),
        End::Cut if find_fault(history, call, got_event).is_none() => Breach::Cut { call: id },
        End::Cut | End::Abandoned | End::Unreached => return None,
    };
    Some(Violation::new(breach, [call.sent_event, got_event]))
}

fn check_whole_answer(
    history: &History<'_>,
    call: &Call<'_>,
    got_event: &Event,
    got: &Got,
) -> Option<Violation<Breach>> {
    let evidence = [call.sent_event, got_event];
    let id = call.sent.call;
    match (got.outcome, &got.answer) {
        (None, _) => Some(Violation::new(
            Breach::MissingOutcome { call: id },
            evidence,
        )),
        (Some(Outcome::Ran), None) if history.runs_attributed_to(call.sent).is_empty() => {
            Some(Violation::new(Breach::NeverRan { call: id }, evidence))
        }
        (Some(Outcome::Ran), Some(answer)) => check_digest(history, call, got_event, answer),
        _ => None,
    }
}

fn check_digest(
    history: &History<'_>,
    call: &Call<'_>,
    got_event: &Event,
    answer: &Digest,
) -> Option<Violation<Breach>> {
    let id = call.sent.call;
    let runs = history.runs_attributed_to(call.sent);
    if runs.iter().any(|run| sent_answer(run, answer, got_event)) {
        return None;
    }
    if let Some(run) = history
        .runs()
        .find(|run| sent_answer(run, answer, got_event))
    {
        let other = run.started.call;
        let evidence = [call.sent_event, run.started_event, got_event];
        return Some(Violation::new(
            Breach::WrongAnswer { call: id, other },
            evidence,
        ));
    }
    if runs.is_empty() {
        let evidence = [call.sent_event, got_event];
        return Some(Violation::new(Breach::NeverRan { call: id }, evidence));
    }
    let ends = runs
        .iter()
        .map(|run| run.ended.map_or(run.started_event, |(event, _)| event));
    let evidence = ends.chain([call.sent_event, got_event]);
    Some(Violation::new(Breach::Altered { call: id }, evidence))
}

// An endpoint records the end of its answer before it sends the last byte, so
// the caller's receipt of the whole answer comes later in the history.
fn sent_answer(run: &Execution<'_>, answer: &Digest, got_event: &Event) -> bool {
    run.ended.is_some_and(|(event, end)| {
        event.order < got_event.order
            && end.end == End::Whole
            && end.answer.as_ref() == Some(answer)
    })
}

/// Returns a fault on the path of a call that excuses its cut answer, if there is
/// one.
pub(super) fn find_fault<'a>(
    history: &History<'a>,
    call: &Call<'a>,
    got_event: &Event,
) -> Option<&'a Event> {
    let (from, to) = (call.sent_event.order, got_event.order);
    let killed = history
        .path(call)
        .into_iter()
        .find_map(|instance| history.find_kill(instance, from, to));
    let endpoint_fault = || {
        history
            .runs_attributed_to(call.sent)
            .into_iter()
            .find_map(|run| find_endpoint_fault(history, run, to))
    };
    killed.or_else(endpoint_fault)
}

fn find_endpoint_fault<'a>(
    history: &History<'a>,
    run: &Execution<'a>,
    to: u64,
) -> Option<&'a Event> {
    let cut = run
        .ended
        .filter(|(event, end)| end.end == End::Cut && event.order < to)
        .map(|(event, _)| event);
    let answer_cut = || {
        history
            .find_answer_cut(run.started.run)
            .filter(|event| event.order < to)
    };
    let lost = || history.find_endpoint_loss(&run.started.endpoint, run.started_event.order, to);
    cut.or_else(answer_cut).or_else(lost)
}

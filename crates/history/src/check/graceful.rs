//! Checks that a graceful stop cuts off no request in flight.
//!
//! A stop must preserve a call that passed through the stopping instance, as
//! its entry instance or on its path to an endpoint, and that was still open
//! when the stop began. A broken answer is excused only by a fault on the same
//! path: a killed instance, a lost endpoint, or a run that the endpoint itself
//! cut off. A call that could not connect was never in flight.

use displaydoc::Display;

use super::{Violation, whole};
use crate::event::{CallId, End, Event, Name, What};
use crate::history::{Call, History};

#[cfg(test)]
mod tests;

/// How the guarantee of a graceful stop was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// the graceful stop of {instance} cut off call {call}
    Cut {
        /// The instance.
        instance: Name,
        /// The call.
        call: CallId,
    },
    /// the graceful stop of {instance} never ended
    NeverEnded {
        /// The instance.
        instance: Name,
    },
}

struct Stop<'a> {
    instance: &'a Name,
    begun: &'a Event,
    ended: Option<&'a Event>,
}

/// Returns the calls that graceful stops cut off, and the stops that never ended.
#[must_use]
pub fn check(history: &History<'_>) -> Vec<Violation<Breach>> {
    let stops = stops(history);
    let mut found: Vec<_> = stops
        .iter()
        .filter(|stop| stop.ended.is_none())
        .map(never_ended)
        .collect();
    for call in history.calls() {
        found.extend(check_call(history, call, &stops));
    }
    found
}

fn stops<'a>(history: &History<'a>) -> Vec<Stop<'a>> {
    let mut stops: Vec<Stop<'a>> = Vec::new();
    for event in history.events() {
        match &event.what {
            What::StopBegun { instance } => stops.push(Stop {
                instance,
                begun: event,
                ended: None,
            }),
            // A kill ends a stop too; the calls that it cuts off are not
            // attributed to the stop.
            What::StopEnded { instance } | What::InstanceKilled { instance } => {
                let open = stops
                    .iter_mut()
                    .find(|stop| stop.instance == instance && stop.ended.is_none());
                if let Some(stop) = open {
                    stop.ended = Some(event);
                }
            }
            _ => {}
        }
    }
    stops
}

fn never_ended(stop: &Stop<'_>) -> Violation<Breach> {
    let breach = Breach::NeverEnded {
        instance: stop.instance.clone(),
    };
    Violation::new(breach, [stop.begun])
}

fn check_call(
    history: &History<'_>,
    call: &Call<'_>,
    stops: &[Stop<'_>],
) -> Option<Violation<Breach>> {
    let (got_event, _) = call.got.filter(|(_, got)| got.end == End::Cut)?;
    let path = history.path(call);
    let stop = stops
        .iter()
        .find(|stop| path.contains(&stop.instance) && overlaps(call, got_event, stop))?;
    if whole::find_fault(history, call, got_event).is_some() {
        return None;
    }
    let breach = Breach::Cut {
        instance: stop.instance.clone(),
        call: call.sent.call,
    };
    Some(Violation::new(
        breach,
        [call.sent_event, stop.begun, got_event],
    ))
}

fn overlaps(call: &Call<'_>, got_event: &Event, stop: &Stop<'_>) -> bool {
    let sent_before_end = stop
        .ended
        .is_none_or(|ended| call.sent_event.order < ended.order);
    sent_before_end && got_event.order > stop.begun.order
}

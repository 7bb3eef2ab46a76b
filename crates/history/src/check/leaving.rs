//! A leaving endpoint gets nothing new after a few seconds.
//!
//! The announcement is of one life of the endpoint: what comes back under the
//! same name with a greater incarnation is somebody else. A request that the
//! endpoint refused counts as work it was given.

use std::collections::BTreeMap;

use displaydoc::Display;
use godwitpost_types::clock;
use godwitpost_types::id::Incarnation;

use super::{Deadline, Violation};
use crate::event::{CallId, Event, Name, Run, What};
use crate::history::History;

#[cfg(test)]
mod tests;

/// How the promise to leave an endpoint alone was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// leaving endpoint {endpoint} was given call {call} after its grace
    NewWork {
        /// The endpoint.
        endpoint: Name,
        /// The call.
        call: CallId,
    },
}

type EndpointIncarnation<'a> = (&'a str, Incarnation);

/// Returns the work that leaving endpoints were given too late.
#[must_use]
pub fn check(history: &History<'_>, deadline: Deadline) -> Vec<Violation<Breach>> {
    let mut announced: BTreeMap<EndpointIncarnation<'_>, &Event> = BTreeMap::new();
    let mut settled: BTreeMap<EndpointIncarnation<'_>, &Event> = BTreeMap::new();
    let mut found = Vec::new();
    for event in history.events() {
        match &event.what {
            What::EndpointLeaving {
                endpoint,
                incarnation,
            } => {
                announced.entry((endpoint, *incarnation)).or_insert(event);
            }
            What::LeavingSettled {
                endpoint,
                incarnation,
            } => {
                settled.entry((endpoint, *incarnation)).or_insert(event);
            }
            What::RunStarted(run) | What::RunRefused(run) => {
                let endpoint_incarnation = (run.endpoint.as_str(), run.incarnation);
                let overdue = match deadline {
                    Deadline::Within(grace) => announced
                        .get(&endpoint_incarnation)
                        .filter(|leaving| clock::since(event.at, leaving.at) > grace),
                    // One sent before the mark may have been on its way.
                    Deadline::SettledEvent => settled
                        .get(&endpoint_incarnation)
                        .filter(|settled_event| sent_after(history, run.call, settled_event)),
                };
                found.extend(overdue.map(|leaving| new_work(run, leaving, event)));
            }
            _ => {}
        }
    }
    found
}

fn sent_after(history: &History<'_>, call: CallId, settled_event: &Event) -> bool {
    history
        .call(call)
        .is_none_or(|call| call.sent_event.order > settled_event.order)
}

fn new_work(run: &Run, leaving: &Event, event: &Event) -> Violation<Breach> {
    let breach = Breach::NewWork {
        endpoint: run.endpoint.clone(),
        call: run.call,
    };
    Violation::new(breach, [leaving, event])
}

//! Checks that a leaving endpoint receives no new requests after a few seconds.
//!
//! An announcement applies to one incarnation of the endpoint; a greater
//! incarnation under the same name is another endpoint. A request that the
//! endpoint refused counts as received.

use std::collections::BTreeMap;

use displaydoc::Display;
use godwitpost_types::clock;
use godwitpost_types::id::Incarnation;

use super::{Deadline, Violation};
use crate::event::{CallId, Event, Name, Run, What};
use crate::history::History;

#[cfg(test)]
mod tests;

/// How the guarantee about leaving endpoints was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// leaving endpoint {endpoint} was given call {call} after its grace period
    NewWork {
        /// The endpoint.
        endpoint: Name,
        /// The call.
        call: CallId,
    },
}

type EndpointIncarnation<'a> = (&'a str, Incarnation);

/// Returns the requests that leaving endpoints received too late.
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
                    // A call sent before the settled event may have been in flight.
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

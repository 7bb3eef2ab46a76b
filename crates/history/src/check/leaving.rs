//! A leaving endpoint gets nothing new after a few seconds.
//!
//! The announcement is of one life of the endpoint: what comes back under the
//! same name with a greater incarnation is somebody else. A request that the
//! endpoint refused counts as work it was given.

use std::collections::BTreeMap;

use displaydoc::Display;
use godwitpost_types::clock;
use godwitpost_types::id::Incarnation;

use super::{Bound, Violation};
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

type Life<'a> = (&'a str, Incarnation);

/// Returns the work that leaving endpoints were given too late.
#[must_use]
pub fn check(history: &History<'_>, bound: Bound) -> Vec<Violation<Breach>> {
    let mut announced: BTreeMap<Life<'_>, &Event> = BTreeMap::new();
    let mut settled: BTreeMap<Life<'_>, &Event> = BTreeMap::new();
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
                let life = (run.endpoint.as_str(), run.incarnation);
                let since = match bound {
                    Bound::Within(grace) => announced
                        .get(&life)
                        .filter(|leaving| clock::since(event.at, leaving.at) > grace),
                    // One sent before the mark may have been on its way.
                    Bound::ByMark => settled
                        .get(&life)
                        .filter(|mark| sent_after(history, run.call, mark)),
                };
                found.extend(since.map(|leaving| late(run, leaving, event)));
            }
            _ => {}
        }
    }
    found
}

fn sent_after(history: &History<'_>, call: CallId, mark: &Event) -> bool {
    history
        .call(call)
        .is_none_or(|call| call.sent_event.order > mark.order)
}

fn late(run: &Run, leaving: &Event, event: &Event) -> Violation<Breach> {
    let breach = Breach::NewWork {
        endpoint: run.endpoint.clone(),
        call: run.call,
    };
    Violation::new(breach, [leaving, event])
}

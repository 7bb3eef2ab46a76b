//! An accepted bundle is in force on every router in seconds and for good.
//!
//! An instance's version never goes back, over restarts as well: one that
//! comes up with an older version than it held before would send work under
//! a bundle that the fleet has left. A request keeps the version it came in
//! under, so a dispatch may be older than what is in force by then, never
//! older than what was in force at its entry instance when it was sent.

use std::collections::BTreeMap;

use displaydoc::Display;
use godwitpost_types::clock;
use godwitpost_types::id::Version;

use super::{Deadline, Violation};
use crate::event::{Accepted, CallId, Dispatch, Event, InForce, Name, What};
use crate::history::History;

#[cfg(test)]
mod tests;

/// How the promise about bundles was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// {instance} went back from version {from} to {to}
    VersionRegressed {
        /// The instance.
        instance: Name,
        /// The version it held.
        from: Version,
        /// The version it went back to.
        to: Version,
    },
    /// {instance} has version {version} in force, which the log never accepted so
    Unaccepted {
        /// The instance.
        instance: Name,
        /// The version.
        version: Version,
    },
    /// {instance} did not have version {version} in force in time
    Late {
        /// The instance.
        instance: Name,
        /// The version.
        version: Version,
    },
    /// {instance} dispatched call {call} under version {version}, older than its entry held
    OldDispatch {
        /// The instance.
        instance: Name,
        /// The call.
        call: CallId,
        /// The version.
        version: Version,
    },
}

/// Returns where versions went back, were not accepted, or came too late.
#[must_use]
pub fn check(history: &History<'_>, deadline: Deadline) -> Vec<Violation<Breach>> {
    let mut found = Vec::new();
    let mut in_force: BTreeMap<&str, VersionInForce<'_>> = BTreeMap::new();
    let mut entry_versions: BTreeMap<CallId, VersionInForce<'_>> = BTreeMap::new();
    let accepted = accepted_bundles(history);
    for event in history.events() {
        match &event.what {
            What::BundleInForce(now) => {
                found.extend(check_accepted(&accepted, now, event));
                found.extend(check_regression(&in_force, now, event));
                in_force.insert(&now.instance, (event, now.version));
            }
            What::CallerSent(sent) => {
                if let Some(entry) = in_force.get(sent.instance.as_str()) {
                    entry_versions.insert(sent.call, *entry);
                }
            }
            What::Dispatched(dispatch) => {
                found.extend(check_dispatch(&entry_versions, dispatch, event));
            }
            _ => {}
        }
    }
    found.extend(check_rolls(history, deadline));
    found
}

// A version in force at an instance, with the event in which it came.
type VersionInForce<'a> = (&'a Event, Version);

fn accepted_bundles<'a>(history: &History<'a>) -> BTreeMap<Version, (&'a Event, &'a Accepted)> {
    let mut accepted = BTreeMap::new();
    for event in history.events() {
        if let What::BundleAccepted(bundle) = &event.what {
            // Of two with one version the first in the log wins; a second
            // record of the same bundle keeps it from expiring.
            accepted
                .entry(bundle.version)
                .and_modify(|first: &mut (&'a Event, &'a Accepted)| {
                    if bundle.offset < first.1.offset {
                        *first = (event, bundle);
                    }
                })
                .or_insert((event, bundle));
        }
    }
    accepted
}

// An operator may learn that the log took its bundle after a router has read
// it, so the two events may stand in either order.
fn check_accepted(
    accepted: &BTreeMap<Version, (&Event, &Accepted)>,
    now: &InForce,
    event: &Event,
) -> Option<Violation<Breach>> {
    let winner = accepted.get(&now.version);
    if winner.is_some_and(|(_, bundle)| bundle.root == now.root) {
        return None;
    }
    let breach = Breach::Unaccepted {
        instance: now.instance.clone(),
        version: now.version,
    };
    let accepted_event = winner.map(|(event, _)| *event);
    Some(Violation::new(
        breach,
        accepted_event.into_iter().chain([event]),
    ))
}

fn check_regression(
    in_force: &BTreeMap<&str, VersionInForce<'_>>,
    now: &InForce,
    event: &Event,
) -> Option<Violation<Breach>> {
    let (before, version) = in_force.get(now.instance.as_str())?;
    if now.version >= *version {
        return None;
    }
    let breach = Breach::VersionRegressed {
        instance: now.instance.clone(),
        from: *version,
        to: now.version,
    };
    Some(Violation::new(breach, [*before, event]))
}

fn check_dispatch(
    entry_versions: &BTreeMap<CallId, VersionInForce<'_>>,
    dispatch: &Dispatch,
    event: &Event,
) -> Option<Violation<Breach>> {
    let (in_force_event, in_force) = entry_versions.get(&dispatch.call)?;
    if dispatch.version >= *in_force {
        return None;
    }
    let breach = Breach::OldDispatch {
        instance: dispatch.instance.clone(),
        call: dispatch.call,
        version: dispatch.version,
    };
    Some(Violation::new(breach, [*in_force_event, event]))
}

fn in_force_before<'a>(
    history: &History<'a>,
    instance: &str,
    order: u64,
) -> Option<(&'a Event, &'a InForce)> {
    let before = history
        .events()
        .iter()
        .take_while(|event| event.order < order);
    before
        .filter_map(|event| match &event.what {
            What::BundleInForce(in_force) if in_force.instance == instance => {
                Some((event, in_force))
            }
            _ => None,
        })
        .last()
}

// An instance owes a version if it ran from the acceptance to the end of the
// time for the roll; one that started or stopped in between owes nothing.
fn check_rolls(history: &History<'_>, deadline: Deadline) -> Vec<Violation<Breach>> {
    let mut found = Vec::new();
    for (version, (event, _)) in accepted_bundles(history) {
        let Some(end) = roll_end(history, version, event, deadline) else {
            continue;
        };
        for instance in running_throughout(history, event, end) {
            let in_time = in_force_before(history, instance, end.order)
                .is_some_and(|(_, in_force)| in_force.version >= version);
            if !in_time {
                let breach = Breach::Late {
                    instance: instance.clone(),
                    version,
                };
                found.push(Violation::new(breach, [event, end]));
            }
        }
    }
    found
}

// The first event at which the time for the roll is over; `None` if the
// history ends before, when nothing can be said.
fn roll_end<'a>(
    history: &History<'a>,
    version: Version,
    accepted: &Event,
    deadline: Deadline,
) -> Option<&'a Event> {
    let mut later = history
        .events()
        .iter()
        .filter(|event| event.order > accepted.order);
    match deadline {
        Deadline::Within(time) => later.find(|event| clock::since(event.at, accepted.at) > time),
        Deadline::SettledEvent => later.find(
            |event| matches!(event.what, What::RollSettled { version: settled } if settled == version),
        ),
    }
}

fn running_throughout<'a>(history: &History<'a>, from: &Event, to: &Event) -> Vec<&'a Name> {
    let mut running: Vec<&Name> = Vec::new();
    for event in history
        .events()
        .iter()
        .filter(|event| event.order < to.order)
    {
        match &event.what {
            What::InstanceStarted { instance } if event.order < from.order => {
                running.push(instance);
            }
            What::StopBegun { instance } | What::InstanceKilled { instance } => {
                running.retain(|name| *name != instance);
            }
            _ => {}
        }
    }
    running
}

//! Checks that an accepted bundle is in force on every router within seconds
//! and stays in force.
//!
//! The version of an instance never decreases, not even over restarts: an
//! instance that starts with an older version than it had before would route
//! requests under a bundle that the fleet has replaced. A request keeps the
//! version under which its entry instance received it. A dispatch may therefore
//! use an older version than the one in force by then, but never an older one
//! than was in force at the entry instance when the request was sent.

use std::collections::BTreeMap;

use displaydoc::Display;
use godwitpost_types::clock;
use godwitpost_types::id::Version;

use super::{Deadline, Violation};
use crate::event::{Accepted, CallId, Dispatch, Event, InForce, Name, What};
use crate::history::History;

#[cfg(test)]
mod tests;

/// How the guarantee about bundles was broken.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Breach {
    /// {instance} went back from version {from} to {to}
    VersionRegressed {
        /// The instance.
        instance: Name,
        /// The version in force before.
        from: Version,
        /// The older version in force now.
        to: Version,
    },
    /// {instance} has a bundle of version {version} in force that the log did not accept
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
    /// {instance} dispatched call {call} under version {version}, older than the version at its entry instance
    OldDispatch {
        /// The instance.
        instance: Name,
        /// The call.
        call: CallId,
        /// The version.
        version: Version,
    },
}

/// Returns the instances whose version decreased, was not accepted or came into
/// force too late, and the dispatches under outdated versions.
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

// A version in force at an instance, with the event in which it came into force.
type VersionInForce<'a> = (&'a Event, Version);

fn accepted_bundles<'a>(history: &History<'a>) -> BTreeMap<Version, (&'a Event, &'a Accepted)> {
    let mut accepted = BTreeMap::new();
    for event in history.events() {
        if let What::BundleAccepted(bundle) = &event.what {
            // Of two bundles with the same version, the first in the log
            // wins. A bundle is also recorded again to keep it from
            // expiring.
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

// A router may read a bundle before the operator learns that the log stored it,
// so the two events can be recorded in either order.
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

// An instance must have a version in force if it ran from the acceptance to the
// end of the roll; instances that started or stopped in between are exempt.
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

// Returns the first event after the deadline of the roll, or `None` if the
// history ends before the deadline and the roll can't be checked.
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

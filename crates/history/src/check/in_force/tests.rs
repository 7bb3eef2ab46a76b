use super::{Breach, check};
use crate::check::{Deadline, MAX_ROLL_TIME};
use crate::event::What;
use crate::history::History;
use crate::script::Script;

const IN_ROLL_TIME: Deadline = Deadline::Within(MAX_ROLL_TIME);

fn breaches(script: &Script, deadline: Deadline) -> Vec<Breach> {
    let history = History::new(&script.events).unwrap();
    check(&history, deadline)
        .into_iter()
        .map(|violation| violation.breach)
        .collect()
}

fn rolled() -> Script {
    let up = Script::new()
        .start_instance("a")
        .start_instance("b")
        .accept_bundle(1, 0);
    up.bundle_in_force("a", 1)
        .bundle_in_force("b", 1)
        .accept_bundle(2, 1)
        .bundle_in_force("a", 2)
}

fn late() -> Breach {
    Breach::Late {
        instance: "b".into(),
        version: 2,
    }
}

/// A router restarts without state while the log is down, takes the bundle of a
/// lagging peer, and routes by outdated shares.
#[test]
fn a_version_that_goes_back_is_found() {
    let script = rolled()
        .kill_instance("a")
        .start_instance("a")
        .bundle_in_force("a", 1);
    let back = Breach::VersionRegressed {
        instance: "a".into(),
        from: 2,
        to: 1,
    };
    assert_eq!(breaches(&script, IN_ROLL_TIME), [back]);
}

/// Two operators roll version 2 at the same time. The second bundle in the log
/// loses, so it must not be in force on any instance.
#[test]
fn the_loser_of_two_rolls_in_force_is_found() {
    let mut script = rolled().accept_bundle(2, 2).bundle_in_force("b", 2);
    for event in &mut script.events {
        match &mut event.what {
            What::BundleAccepted(bundle) if bundle.offset == 2 => bundle.root = "other".into(),
            What::BundleInForce(in_force) if in_force.instance == "b" && in_force.version == 2 => {
                in_force.root = "other".into();
            }
            _ => {}
        }
    }
    let unaccepted = Breach::Unaccepted {
        instance: "b".into(),
        version: 2,
    };
    assert_eq!(breaches(&script, IN_ROLL_TIME), [unaccepted]);
}

#[test]
fn a_roll_that_does_not_reach_all_in_time_is_found() {
    let script = rolled().wait(6001).bundle_in_force("a", 2);
    assert_eq!(breaches(&script, IN_ROLL_TIME), [late()]);
    let script = rolled().record(What::RollSettled { version: 2 });
    assert_eq!(breaches(&script, Deadline::SettledEvent), [late()]);
}

/// Allowed cases: a version that comes into force at the last moment, an instance
/// that died or started during the roll, and a run that ended before the deadline.
#[test]
fn a_roll_in_time_is_allowed() {
    let last_moment = rolled()
        .wait(6000)
        .bundle_in_force("b", 2)
        .wait(1)
        .bundle_in_force("a", 2);
    assert_eq!(breaches(&last_moment, IN_ROLL_TIME), []);
    let died = rolled()
        .kill_instance("b")
        .start_instance("c")
        .wait(6001)
        .bundle_in_force("a", 2);
    assert_eq!(breaches(&died, IN_ROLL_TIME), []);
    assert_eq!(breaches(&rolled(), IN_ROLL_TIME), []);
}

#[test]
fn a_dispatch_under_a_version_older_than_at_entry_is_found() {
    let script = rolled().send_repeatable(1, "a").dispatch(1, "b", 1);
    let old = Breach::OldDispatch {
        instance: "b".into(),
        call: 1,
        version: 1,
    };
    assert_eq!(breaches(&script, IN_ROLL_TIME), [old]);
}

/// Allowed case: a request that was queued during the roll keeps the version under
/// which its entry instance received it.
#[test]
fn a_dispatch_under_the_version_at_entry_is_allowed() {
    let script = Script::new()
        .start_instance("a")
        .accept_bundle(1, 0)
        .bundle_in_force("a", 1);
    let script = script
        .send_repeatable(1, "a")
        .accept_bundle(2, 1)
        .bundle_in_force("a", 2);
    assert_eq!(breaches(&script.dispatch(1, "a", 1), IN_ROLL_TIME), []);
}

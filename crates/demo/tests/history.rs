//! Concurrent runs of real routers under faults, judged by their histories.
//!
//! The seed is fixed and the verdict is by the order of events. How long a
//! run takes decides nothing: its steps come at parts of the load.

use std::collections::BTreeSet;

use godwitpost_demo::cli::{Fault, Options};
use godwitpost_demo::deployment::{Deployment, KITAKAZE, PORT_OF_SPAIN};
use godwitpost_demo::run::{self, Outcome};
use godwitpost_history::event::{Event, What};

async fn run(deployment: &'static Deployment, faults: BTreeSet<Fault>) -> Outcome {
    let options = Options {
        seed: 11,
        requests: 300,
        faults,
        hold: false,
        history: None,
    };
    let (_fleet, outcome) = run::run(deployment, &options, |_| {})
        .await
        .expect("the fleet comes up and takes every step");
    outcome
}

fn count(events: &[Event], wanted: impl Fn(&What) -> bool) -> usize {
    events.iter().filter(|event| wanted(&event.what)).count()
}

/// What the users fear most, all at once: the log is slow, then down, and
/// loses answers after they took effect; a request crashes the engines that
/// run it; one engine flaps and another leaves; a router is stopped and one
/// killed under streams and orders, while a second bundle is rolled.
#[tokio::test(flavor = "multi_thread")]
async fn every_promise_is_kept_under_all_faults() {
    let outcome = run(&KITAKAZE, Fault::ALL.into()).await;
    assert_eq!(outcome.violations, Vec::<String>::new());
    // A run in which nothing happened would keep every promise as well.
    let lost = count(&outcome.events, |what| {
        matches!(what, What::EndpointLost { .. })
    });
    assert!(lost > 0, "the poison request crashed no engine");
    let order = outcome.report.calls["order"];
    assert!(order.ran > 0 && order.not_run > 0, "{order:?}");
    assert!(outcome.report.cache.part > 0, "no chat found its context");
    let rolls = count(&outcome.events, |what| {
        matches!(what, What::RollSettled { .. })
    });
    assert_eq!(rolls, 2);
}

/// The other deployment, which weighs skew more, without faults but for the
/// leaving engine, the stop and the kill: whatever breaks lies at the kill's
/// door.
#[tokio::test(flavor = "multi_thread")]
async fn every_promise_is_kept_without_faults() {
    let outcome = run(&PORT_OF_SPAIN, BTreeSet::new()).await;
    assert_eq!(outcome.violations, Vec::<String>::new());
    for class in ["brief", "booking", "roster"] {
        let counts = outcome.report.calls[class];
        assert!(counts.ran > 0, "{class}: {counts:?}");
    }
}

use super::{Breach, Limit, check};
use crate::event::{Sample, What};
use crate::history::History;
use crate::script::Script;

fn breaches(script: &Script) -> Vec<Breach> {
    let limit = Limit {
        service: "drafting".into(),
        factor: 1.5,
        floor: 100,
    };
    let history = History::new(&script.events).unwrap();
    check(&history, &limit)
        .into_iter()
        .map(|violation| violation.breach)
        .collect()
}

fn above(work: u64, total: u64) -> Breach {
    Breach::AboveBound {
        endpoint: "e1".into(),
        work,
        total,
        endpoints: 2,
    }
}

fn two() -> Script {
    Script::new()
        .join_endpoint("e1", 1)
        .join_endpoint("e2", 1)
        .send_repeatable(1, "a")
}

/// Many requests have their context cached on one endpoint, which is overloaded
/// with all of them while the other endpoint is nearly idle.
#[test]
fn work_above_the_bound_is_found() {
    let script = two()
        .start_run_with_work(1, 1, "e1", 100)
        .start_run_with_work(2, 1, "e2", 20);
    let script = script.start_run_with_work(3, 1, "e1", 80);
    assert_eq!(breaches(&script), [above(180, 200)]);
}

/// A new incarnation of an endpoint starts without load: runs of the earlier one
/// don't count, and their ends don't reduce the load.
#[test]
fn an_earlier_incarnation_does_not_count() {
    let script = two()
        .start_run_with_work(1, 1, "e1", 100)
        .join_endpoint("e1", 2);
    let script = script
        .start_run_with_work(2, 1, "e2", 40)
        .start_run_with_work(3, 1, "e1", 110);
    let script = script
        .run_completed(1, 1)
        .start_run_with_work(4, 1, "e1", 30);
    assert_eq!(breaches(&script), [above(140, 180)]);
}

#[test]
fn a_sample_above_the_bound_is_found() {
    let work = [("e1".to_owned(), 180), ("e2".to_owned(), 20)];
    let script = two().record(What::LoadSampled(Sample {
        service: "drafting".into(),
        work: work.into(),
    }));
    assert_eq!(breaches(&script), [above(180, 200)]);
}

/// Allowed cases: a load exactly at the bound, one at the floor with a small mean,
/// and one above a mean that fell because the other endpoint finished a run.
#[test]
fn work_at_the_bound_or_floor_is_allowed() {
    let at_bound = two()
        .start_run_with_work(1, 1, "e2", 50)
        .start_run_with_work(2, 1, "e1", 150);
    assert_eq!(breaches(&at_bound.run_completed(1, 1)), []);
    assert_eq!(breaches(&two().start_run_with_work(1, 1, "e1", 100)), []);
}

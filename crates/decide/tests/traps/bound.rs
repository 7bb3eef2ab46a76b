//! The load bound when reports lag and two instances act as owner.

use std::time::Duration;

use godwitpost_decide::hop::Hop;
use godwitpost_decide::load::{Summary, Table};
use godwitpost_decide::owner::{Next, Owner};
use godwitpost_decide::view::Pool;
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Report, Standing};

use crate::fleet;

const NOW: Moment = Duration::from_secs(100);

fn count_dispatched(owner: &mut Owner, chats: std::ops::Range<u64>) -> usize {
    let home = fleet::runner(0).id;
    let offers = chats.map(|chat| owner.offer(NOW, &fleet::request(chat), &Hop::first(0, home)));
    offers
        .filter(|next| matches!(next, Next::Dispatch(_)))
        .count()
}

// Two routers with different lists both act as owner of an engine for some
// seconds. Each fills all slots, and the engine is overloaded while others are
// idle.
#[test]
fn work_of_another_owner_is_counted_by_report() {
    let mut owner = Owner::new(fleet::view(0, 1, 1), fleet::policy());
    assert_eq!(count_dispatched(&mut owner, 0..1), 1);
    let report = Report {
        taken: NOW,
        incarnation: 1,
        standing: Standing::Live,
        requests: 3,
        work: 3_000,
    };
    owner.apply_report(fleet::runner(0).id, &report);
    // Four slots: this owner uses one and the other owner two.
    assert_eq!(owner.load(fleet::runner(0).id), 3_000);
    assert_eq!(count_dispatched(&mut owner, 1..9), 1);
}

// A router takes an engine over from one that is leaving. No report has shown
// yet what runs there. Assumed to be idle, the engine gets twice its bound.
#[test]
fn endpoint_taken_over_is_not_assumed_idle() {
    let mut owner = Owner::new(fleet::view(0, 6, 2), fleet::policy());
    let local = fleet::instance(0).id;
    let summary = Summary {
        source: fleet::instance(1).id,
        pool: Pool::for_request(&fleet::request(0)),
        endpoints: 2,
        work: 20_000,
        waiting: 0,
        taken: NOW,
    };
    owner.record_summaries(&[summary]);
    let view = fleet::view(0, 1, 2);
    assert_eq!(view.owner(fleet::runner(0).id), local);
    owner.apply_view(NOW, view, fleet::policy());
    assert_eq!(owner.load(fleet::runner(0).id), 12_000);
}

// A router that has received no summaries compares its only engine with
// itself, finds it at the mean whatever its load, and keeps filling it.
#[test]
fn unreported_endpoints_are_not_assumed_as_loaded_as_own() {
    let own = Summary {
        source: 1,
        pool: Pool::for_request(&fleet::request(0)),
        endpoints: 1,
        work: 100_000,
        waiting: 0,
        taken: NOW,
    };
    let mean = Table::default().mean_work(&own, 10, 1_000.0, NOW);
    assert!((mean - 10_900.0).abs() < 1.0, "{mean}");
}

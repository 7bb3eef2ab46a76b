use std::time::Duration;

use godwitpost_decide::health::Access;
use godwitpost_types::clock::since;

use crate::dialect::Part;

use super::{Book, Report};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn report(running: u32) -> Report {
    Report {
        running,
        waiting: 0,
        slots: 8,
    }
}

fn load(book: &Book, now: Duration) -> u32 {
    tenths(book.look(&[1], now)[0].load)
}

fn tenths(load: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "loads of the test are small"
    )]
    let load = (load * 10.0) as u32;
    load
}

#[test]
fn own_requests_are_not_counted_twice() {
    let mut book = Book::default();
    book.sent(1);
    book.sent(1);
    book.report(1, report(5), at(0));
    assert_eq!(load(&book, at(0)), 50);
    book.ended(1);
    assert_eq!(load(&book, at(0)), 40);
}

/// An endpoint was busy when it last answered and gets nothing since. Taken
/// for busy for ever, it would idle beside full ones.
#[test]
fn an_old_report_gives_way_to_those_of_others() {
    let mut book = Book::default();
    book.report(1, report(6), at(0));
    let mut believed = |now| {
        book.report(2, report(2), now);
        tenths(book.look(&[1, 2], now)[0].load)
    };
    assert_eq!(believed(at(900)), 60);
    let between = believed(at(2_500));
    assert!((25..55).contains(&between), "{between}");
    assert_eq!(believed(at(5_000)), 20);
}

/// Of ninety engines one has just answered, with four requests of others. With
/// the rest taken to be idle it would look overloaded, and its prompts would
/// be read again elsewhere.
#[test]
fn endpoints_that_nothing_is_known_of_are_as_the_others() {
    let mut book = Book::default();
    book.report(1, report(4), at(0));
    book.sent(2);
    let loads: Vec<u32> = book
        .look(&[1, 2, 3], at(0))
        .iter()
        .map(|look| tenths(look.load))
        .collect();
    assert_eq!(loads, [40, 50, 40]);
}

#[test]
fn one_refused_connection_closes_an_endpoint_for_a_while() {
    let mut book = Book::default();
    book.unreachable(1, at(0));
    assert_eq!(book.look(&[1], at(0))[0].access, Access::None);
    book.tick(at(1_100));
    assert_eq!(book.look(&[1], at(1_100))[0].access, Access::Trial);
}

#[test]
fn endpoints_that_are_gone_are_forgotten_with_their_last_request() {
    let mut book = Book::default();
    book.sent(1);
    book.retain(|_| false);
    assert_eq!(load(&book, at(0)), 10);
    book.ended(1);
    book.retain(|_| false);
    assert!(book.entries.is_empty());
}

/// Demand is what came in the last seconds, of each part by itself.
#[test]
fn a_part_is_in_demand_for_some_seconds() {
    let mut book = Book::default();
    let part = |id| Part { id, tokens: 2_000 };
    let cost = |book: &mut Book, id, secs| {
        let now = Duration::from_secs(secs);
        book.prompt(1, part(id), (1.0, 1.0), now).cost
    };
    let alone = cost(&mut book, 7, 10);
    assert!(cost(&mut book, 7, 10) < alone);
    assert!(cost(&mut book, 7, 11) < alone * 0.7);
    let other = cost(&mut book, 8, 11);
    assert!((other - alone).abs() < 0.01, "{other} {alone}");
    let later = cost(&mut book, 7, 60);
    assert!((later - alone).abs() < 0.01, "{later} {alone}");
}

/// An instance of eighty asks an endpoint every seven seconds. Homes that were
/// busy by chance stayed unknown to it, and 104 of 2,974 requests met one above
/// twice the mean. What another instance heard counts like its own reports, by
/// its age.
#[test]
fn loads_that_others_heard_count_by_their_age() {
    let mut one = Book::default();
    let mut other = Book::default();
    one.report(7, report(9), at(5_000));
    let loads = one.take_heard(at(5_600));
    assert_eq!(loads.len(), 1);
    assert!(one.take_heard(at(5_600)).is_empty());
    for load in &loads {
        other.told(load.endpoint, load.all, since(at(5_600), load.age));
    }
    let look = other.look(&[7], at(5_700))[0];
    assert!(look.load >= 9.0 && look.known >= 1.0, "{look:?}");
    // An older one changes nothing, and none is passed on for ever.
    other.told(7, 1, at(4_000));
    assert!(other.look(&[7], at(5_700))[0].load >= 9.0);
    assert_eq!(other.loads(at(6_000)).len(), 1);
    assert!(other.loads(at(9_000)).is_empty());
}

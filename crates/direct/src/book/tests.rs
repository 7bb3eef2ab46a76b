use std::time::Duration;

use godwitpost_decide::health::Access;

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
    let (load, _) = book.look(1, now);
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
fn an_old_report_loses_its_weight() {
    let mut book = Book::default();
    book.report(1, report(6), at(0));
    assert_eq!(load(&book, at(900)), 60);
    assert_eq!(load(&book, at(2_500)), 30);
    assert_eq!(load(&book, at(5_000)), 0);
}

#[test]
fn one_refused_connection_closes_an_endpoint_for_a_while() {
    let mut book = Book::default();
    book.unreachable(1, at(0));
    assert_eq!(book.look(1, at(0)).1, Access::None);
    book.tick(at(1_100));
    assert_eq!(book.look(1, at(1_100)).1, Access::Trial);
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

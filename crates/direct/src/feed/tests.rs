use super::{Change, Feed, Query};
use crate::source::{Page, Record, Reply, Tail, Value};

fn set(key: &str, offset: u64) -> Record<String> {
    Record {
        key: key.to_owned(),
        offset,
        value: Value::Set(format!("{key}@{offset}")),
    }
}

fn removed(key: &str, offset: u64) -> Record<String> {
    Record {
        key: key.to_owned(),
        offset,
        value: Value::Removed,
    }
}

const fn first_era<A>(body: A) -> Reply<A> {
    Reply { era: Some(1), body }
}

fn page(records: Vec<Record<String>>, more: bool, end: u64) -> Reply<Page<String>> {
    let last = records.last().map(|record| record.key.clone());
    let next = last.filter(|_| more);
    first_era(Page { records, next, end })
}

const fn tail(records: Vec<Record<String>>, next: u64) -> Reply<Tail<String>> {
    first_era(Tail::Records {
        records,
        next,
        end: next,
    })
}

const EXPIRED: Reply<Tail<String>> = first_era(Tail::Expired { first: None });

fn gone(key: &str) -> Change<String> {
    Change::Removed(key.to_owned())
}

/// The list has two pages, and a key of the first one changes before the second
/// is read. Reading from the end that the second page names would miss this
/// change for good, and callers would be sent to an endpoint that has left.
#[test]
fn reading_continues_from_the_end_of_the_first_page() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 3)], true, 5));
    assert_eq!(feed.next_query(), Query::List(Some("a".to_owned())));
    feed.apply_page(page(vec![set("b", 4)], false, 9));
    assert_eq!(feed.next_query(), Query::Read(5));
    let changes = feed.apply_tail(tail(vec![removed("a", 7)], 9));
    assert_eq!(changes, [gone("a")]);
}

/// The log deletes old records while an endpoint leaves, among them the one
/// that removed it. Only the complete list shows that the endpoint is gone.
#[test]
fn a_key_missing_after_expired_records_is_removed() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 1), set("b", 2)], false, 3));
    assert_eq!(feed.apply_tail(EXPIRED), []);
    assert_eq!(feed.next_query(), Query::List(None));
    assert!(!feed.is_listed());
    let changes = feed.apply_page(page(vec![set("b", 2)], false, 40));
    assert_eq!(changes, [gone("a")]);
    assert_eq!(feed.next_query(), Query::Read(40));
}

/// Listing again returns an older record of a key than the one already read.
/// Applying it would make a draining endpoint live again.
#[test]
fn an_older_record_does_not_undo_a_newer_one() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 1)], false, 2));
    feed.apply_tail(tail(vec![set("a", 6)], 7));
    feed.apply_tail(EXPIRED);
    assert_eq!(feed.apply_page(page(vec![set("a", 1)], false, 7)), []);
}

#[test]
fn an_unreadable_value_removes_only_its_own_key() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 1), set("b", 2)], false, 3));
    let bad = Record {
        key: "a".to_owned(),
        offset: 3,
        value: Value::Unreadable("no address".to_owned()),
    };
    let changes = feed.apply_tail(tail(vec![bad, set("b", 4)], 5));
    assert_eq!(
        changes,
        [
            Change::Unreadable("a".to_owned(), "no address".to_owned()),
            gone("a"),
            Change::Set("b".to_owned(), "b@4".to_owned()),
        ]
    );
}

/// The first page holds only keys that don't concern this crate. Treated as the
/// end of the list, it would hide all endpoints that follow.
#[test]
fn an_empty_page_is_not_the_end_of_the_list() {
    let mut feed = Feed::default();
    feed.apply_page::<String>(first_era(Page {
        records: Vec::new(),
        next: Some("m".to_owned()),
        end: 5,
    }));
    assert_eq!(feed.next_query(), Query::List(Some("m".to_owned())));
    feed.apply_page(page(vec![set("z", 4)], false, 9));
    assert_eq!(feed.next_query(), Query::Read(5));
}

#[test]
fn keys_known_beforehand_are_removed_if_the_list_lacks_them() {
    let mut feed = Feed::with_known_keys(["a".to_owned(), "b".to_owned()]);
    let changes = feed.apply_page(page(vec![set("b", 0)], false, 3));
    assert_eq!(
        changes,
        [Change::Set("b".to_owned(), "b@0".to_owned()), gone("a")]
    );
}

fn second_era<A>(reply: Reply<A>) -> Reply<A> {
    Reply {
        era: Some(2),
        ..reply
    }
}

/// Guards against dropping the records of a restored log because their offsets
/// are lower than those of the lost records.
#[test]
fn in_a_later_era_smaller_offsets_are_newer() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8), set("b", 2)], false, 9));
    assert_eq!(feed.apply_tail(second_era(EXPIRED)), []);
    assert_eq!(feed.next_query(), Query::List(None));
    let changes = feed.apply_page(second_era(page(vec![set("a", 3)], false, 4)));
    let again = Change::Set("a".to_owned(), "a@3".to_owned());
    assert_eq!(changes, [again, gone("b")]);
    let changes = feed.apply_tail(second_era(tail(vec![set("a", 4)], 5)));
    assert_eq!(changes, [Change::Set("a".to_owned(), "a@4".to_owned())]);
}

/// Guards against skipping records of a restored log because the old offset
/// exists in it again.
#[test]
fn reading_does_not_continue_from_an_offset_of_an_earlier_era() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 3)], false, 4));
    assert_eq!(feed.apply_tail(second_era(tail(vec![set("b", 4)], 5))), []);
    assert_eq!(feed.next_query(), Query::List(None));
    assert_eq!(feed.position(), None);
}

/// Guards against a list whose pages come from different eras.
#[test]
fn listing_restarts_if_the_era_changes_between_pages() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8)], true, 9));
    assert_eq!(
        feed.apply_page(second_era(page(vec![set("b", 1)], false, 2))),
        []
    );
    assert_eq!(feed.next_query(), Query::List(None));
    feed.apply_page(second_era(page(vec![set("b", 1)], false, 2)));
    assert_eq!(feed.next_query(), Query::Read(2));
}

/// Guards against an answer that was in transit while the log was restored.
#[test]
fn an_answer_of_an_earlier_era_changes_nothing() {
    let mut feed = Feed::default();
    feed.apply_page(second_era(page(vec![set("a", 1)], false, 2)));
    assert!(feed.is_outdated(Some(1)) && !feed.is_outdated(None));
    assert_eq!(feed.apply_tail(tail(vec![set("a", 9)], 10)), []);
    assert_eq!(feed.next_query(), Query::Read(2));
}

/// Guards against dropped and skipped records with a restored log that names no
/// era.
#[test]
fn a_log_that_ends_before_the_read_offset_is_listed_again() {
    let without_era = |reply: Reply<Tail<String>>| Reply { era: None, ..reply };
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8)], false, 9));
    assert_eq!(feed.apply_tail(without_era(tail(Vec::new(), 4))), []);
    assert_eq!(feed.next_query(), Query::List(None));
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8)], false, 9));
    feed.apply_tail(without_era(EXPIRED));
    let listed = page(vec![set("a", 3)], false, 4);
    let changes = feed.apply_page(Reply {
        era: None,
        ..listed
    });
    assert_eq!(changes, [Change::Set("a".to_owned(), "a@3".to_owned())]);
}

/// Guards against skipped records in the first era that a log names.
#[test]
fn a_log_that_names_its_first_era_is_listed_again() {
    let without_era = |reply: Reply<Page<String>>| Reply { era: None, ..reply };
    let mut feed = Feed::default();
    feed.apply_page(without_era(page(vec![set("a", 3)], false, 4)));
    assert_eq!(feed.apply_tail(tail(vec![set("b", 4)], 5)), []);
    assert_eq!(feed.next_query(), Query::List(None));
}

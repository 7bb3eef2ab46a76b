use super::{Change, Feed, Next};
use crate::source::{Page, Record, Tail, Value};

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

fn page(records: Vec<Record<String>>, more: bool, end: u64) -> Page<String> {
    let last = records.last().map(|record| record.key.clone());
    let next = last.filter(|_| more);
    Page { records, next, end }
}

fn tail(records: Vec<Record<String>>, next: u64) -> Tail<String> {
    Tail::Records {
        records,
        next,
        end: next,
    }
}

fn gone(key: &str) -> Change<String> {
    Change::Removed(key.to_owned())
}

/// The list came in two pages, and a key of the first changed before the
/// second was read. Reading on from the second page's end would miss it for
/// ever, and callers would meet an endpoint that had long left.
#[test]
fn reading_goes_on_from_the_end_of_the_first_page() {
    let mut feed = Feed::default();
    feed.listed(page(vec![set("a", 3)], true, 5));
    assert_eq!(feed.next(), Next::List(Some("a".to_owned())));
    feed.listed(page(vec![set("b", 4)], false, 9));
    assert_eq!(feed.next(), Next::Read(5));
    let changes = feed.read(tail(vec![removed("a", 7)], 9));
    assert_eq!(changes, [gone("a")]);
}

/// The log forgot its history while an endpoint left; the record that removed
/// it was among what was forgotten. Only the whole list shows that it is gone.
#[test]
fn a_key_missing_after_lost_history_is_gone() {
    let mut feed = Feed::default();
    feed.listed(page(vec![set("a", 1), set("b", 2)], false, 3));
    assert_eq!(feed.read::<String>(Tail::Expired), []);
    assert_eq!(feed.next(), Next::List(None));
    assert!(!feed.is_listed());
    let changes = feed.listed(page(vec![set("b", 2)], false, 40));
    assert_eq!(changes, [gone("a")]);
    assert_eq!(feed.next(), Next::Read(40));
}

/// Listing anew gives an older record of a key than the one already read.
/// Taking it back in would bring a draining endpoint back to life.
#[test]
fn an_older_record_does_not_undo_a_newer_one() {
    let mut feed = Feed::default();
    feed.listed(page(vec![set("a", 1)], false, 2));
    feed.read(tail(vec![set("a", 6)], 7));
    feed.read::<String>(Tail::Expired);
    assert_eq!(feed.listed(page(vec![set("a", 1)], false, 7)), []);
}

#[test]
fn an_unreadable_value_names_nothing_and_leaves_the_others() {
    let mut feed = Feed::default();
    feed.listed(page(vec![set("a", 1), set("b", 2)], false, 3));
    let bad = Record {
        key: "a".to_owned(),
        offset: 3,
        value: Value::Unreadable("no address".to_owned()),
    };
    let changes = feed.read(tail(vec![bad, set("b", 4)], 5));
    assert_eq!(
        changes,
        [
            Change::Unreadable("a".to_owned(), "no address".to_owned()),
            gone("a"),
            Change::Set("b".to_owned(), "b@4".to_owned()),
        ]
    );
}

/// The first page held only keys that say nothing to us. Taken for the end of
/// the list, it would hide every endpoint that follows.
#[test]
fn a_page_without_a_record_of_ours_is_not_the_end() {
    let mut feed = Feed::default();
    feed.listed::<String>(Page {
        records: Vec::new(),
        next: Some("m".to_owned()),
        end: 5,
    });
    assert_eq!(feed.next(), Next::List(Some("m".to_owned())));
    feed.listed(page(vec![set("z", 4)], false, 9));
    assert_eq!(feed.next(), Next::Read(5));
}

#[test]
fn keys_known_from_elsewhere_are_gone_if_the_list_does_not_hold_them() {
    let mut feed = Feed::knowing(["a".to_owned(), "b".to_owned()]);
    let changes = feed.listed(page(vec![set("b", 0)], false, 3));
    assert_eq!(
        changes,
        [Change::Set("b".to_owned(), "b@0".to_owned()), gone("a")]
    );
}

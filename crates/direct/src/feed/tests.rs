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

const EXPIRED: Reply<Tail<String>> = first_era(Tail::Expired);

fn gone(key: &str) -> Change<String> {
    Change::Removed(key.to_owned())
}

/// The list came in two pages, and a key of the first changed before the
/// second was read. Reading on from the second page's end would miss it for
/// ever, and callers would meet an endpoint that had long left.
#[test]
fn reading_goes_on_from_the_end_of_the_first_page() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 3)], true, 5));
    assert_eq!(feed.next_query(), Query::List(Some("a".to_owned())));
    feed.apply_page(page(vec![set("b", 4)], false, 9));
    assert_eq!(feed.next_query(), Query::Read(5));
    let changes = feed.apply_tail(tail(vec![removed("a", 7)], 9));
    assert_eq!(changes, [gone("a")]);
}

/// The log forgot its history while an endpoint left; the record that removed
/// it was among what was forgotten. Only the whole list shows that it is gone.
#[test]
fn a_key_missing_after_lost_history_is_gone() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 1), set("b", 2)], false, 3));
    assert_eq!(feed.apply_tail(EXPIRED), []);
    assert_eq!(feed.next_query(), Query::List(None));
    assert!(!feed.is_listed());
    let changes = feed.apply_page(page(vec![set("b", 2)], false, 40));
    assert_eq!(changes, [gone("a")]);
    assert_eq!(feed.next_query(), Query::Read(40));
}

/// Listing anew gives an older record of a key than the one already read.
/// Taking it back in would bring a draining endpoint back to life.
#[test]
fn an_older_record_does_not_undo_a_newer_one() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 1)], false, 2));
    feed.apply_tail(tail(vec![set("a", 6)], 7));
    feed.apply_tail(EXPIRED);
    assert_eq!(feed.apply_page(page(vec![set("a", 1)], false, 7)), []);
}

#[test]
fn an_unreadable_value_names_nothing_and_leaves_the_others() {
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

/// The first page held only keys that say nothing to us. Taken for the end of
/// the list, it would hide every endpoint that follows.
#[test]
fn a_page_without_a_record_of_ours_is_not_the_end() {
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
fn keys_known_from_elsewhere_are_gone_if_the_list_does_not_hold_them() {
    let mut feed = Feed::with_known_keys(["a".to_owned(), "b".to_owned()]);
    let changes = feed.apply_page(page(vec![set("b", 0)], false, 3));
    assert_eq!(
        changes,
        [Change::Set("b".to_owned(), "b@0".to_owned()), gone("a")]
    );
}

fn later<A>(reply: Reply<A>) -> Reply<A> {
    Reply {
        era: Some(2),
        ..reply
    }
}

/// Guards against records that are dropped since their offsets are below those of lost
/// ones.
#[test]
fn in_a_later_era_smaller_offsets_are_newer() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8), set("b", 2)], false, 9));
    assert_eq!(feed.apply_tail(later(EXPIRED)), []);
    assert_eq!(feed.next_query(), Query::List(None));
    let changes = feed.apply_page(later(page(vec![set("a", 3)], false, 4)));
    let again = Change::Set("a".to_owned(), "a@3".to_owned());
    assert_eq!(changes, [again, gone("b")]);
    let changes = feed.apply_tail(later(tail(vec![set("a", 4)], 5)));
    assert_eq!(changes, [Change::Set("a".to_owned(), "a@4".to_owned())]);
}

/// Guards against records that are passed over since the offset read before is there
/// again.
#[test]
fn in_a_later_era_nothing_is_read_on_from_the_old_offset() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 3)], false, 4));
    assert_eq!(feed.apply_tail(later(tail(vec![set("b", 4)], 5))), []);
    assert_eq!(feed.next_query(), Query::List(None));
    assert_eq!(feed.position(), None);
}

/// Guards against a list of which one page is older than the other.
#[test]
fn a_list_is_begun_anew_if_the_era_changes_between_its_pages() {
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8)], true, 9));
    assert_eq!(
        feed.apply_page(later(page(vec![set("b", 1)], false, 2))),
        []
    );
    assert_eq!(feed.next_query(), Query::List(None));
    feed.apply_page(later(page(vec![set("b", 1)], false, 2)));
    assert_eq!(feed.next_query(), Query::Read(2));
}

/// Guards against an answer that was on its way while the log came back.
#[test]
fn an_answer_of_an_earlier_era_changes_nothing() {
    let mut feed = Feed::default();
    feed.apply_page(later(page(vec![set("a", 1)], false, 2)));
    assert!(feed.is_outdated(Some(1)) && !feed.is_outdated(None));
    assert_eq!(feed.apply_tail(tail(vec![set("a", 9)], 10)), []);
    assert_eq!(feed.next_query(), Query::Read(2));
}

/// Guards against dropped and passed-over records with a log that names no era.
#[test]
fn a_log_that_ends_before_what_was_read_is_listed_anew() {
    let nameless = |reply: Reply<Tail<String>>| Reply { era: None, ..reply };
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8)], false, 9));
    assert_eq!(feed.apply_tail(nameless(tail(Vec::new(), 4))), []);
    assert_eq!(feed.next_query(), Query::List(None));
    let mut feed = Feed::default();
    feed.apply_page(page(vec![set("a", 8)], false, 9));
    feed.apply_tail(nameless(EXPIRED));
    let listed = page(vec![set("a", 3)], false, 4);
    let changes = feed.apply_page(Reply {
        era: None,
        ..listed
    });
    assert_eq!(changes, [Change::Set("a".to_owned(), "a@3".to_owned())]);
}

/// Guards against records that are passed over in the first era that a log names.
#[test]
fn a_log_that_names_its_first_era_is_listed_anew() {
    let nameless = |reply: Reply<Page<String>>| Reply { era: None, ..reply };
    let mut feed = Feed::default();
    feed.apply_page(nameless(page(vec![set("a", 3)], false, 4)));
    assert_eq!(feed.apply_tail(tail(vec![set("b", 4)], 5)), []);
    assert_eq!(feed.next_query(), Query::List(None));
}

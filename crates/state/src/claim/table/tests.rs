//! The fold gives one winner a key, to every reader, from any start.

use proptest::prelude::*;

use super::*;

const WINDOW: Duration = Duration::from_mins(2);

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

const fn claim(holder: u64, key: u8, issued: u64) -> Record {
    Record {
        id: Id {
            holder,
            incarnation: 1,
            sequence: 1,
        },
        key: [key; 16],
        body: [0; 16],
        issued: at(issued),
    }
}

/// A shop is told that its order was refused, though it was placed. The
/// append of its claim timed out and took effect; the retry made a second
/// record of the same claim, which lost against the first.
#[test]
fn a_record_that_is_there_twice_counts_once() {
    let record = claim(1, 7, 1000);
    let mut table = Table::new(WINDOW);
    table.apply(0, at(1001), &[Item::Claim(record)]);
    table.apply(1, at(1002), &[Item::Claim(record)]);
    assert_eq!(table.verdict(&record), Some(Verdict::Claimed));
    assert_eq!(table.len(), 1);
}

/// A booking runs twice. A reader starts on a truncated stream, misses the
/// claim that won, and takes the resent one for the first.
#[test]
fn a_truncated_start_vouches_for_younger_keys_only() {
    let lost = claim(1, 7, 1000);
    let resent = claim(2, 7, 1000);
    let younger = claim(2, 8, 1040);
    let mut table = Table::new(WINDOW);
    table.skip_to(1);
    table.apply(1, at(1005), &[Item::Claim(resent), Item::Claim(younger)]);
    assert_eq!(table.verdict(&lost), Some(Verdict::Expired));
    assert_eq!(table.verdict(&resent), Some(Verdict::Expired));
    assert_eq!(table.verdict(&younger), None, "36 s ahead of its record");
    let later = claim(3, 9, 1036);
    table.apply(2, at(1010), &[Item::Claim(later)]);
    assert_eq!(table.verdict(&later), Some(Verdict::Claimed));
}

/// An order runs twice. A new bundle lengthens the claim window, and a key
/// that was forgotten under the shorter one is honoured again.
#[test]
fn a_longer_window_brings_no_forgotten_key_back() {
    let record = claim(1, 7, 1000);
    let mut table = Table::new(WINDOW);
    table.apply(0, at(1001), &[Item::Claim(record)]);
    table.apply(1, at(1121), &[]);
    table.set_window(WINDOW * 10);
    let resent = claim(2, 7, 1000);
    table.apply(2, at(1122), &[Item::Claim(resent)]);
    assert_eq!(table.verdict(&resent), Some(Verdict::Expired));
}

/// A reader that asks about another body must not get the answer of the
/// first: the caller reused a key by mistake.
#[test]
fn a_key_with_another_body_is_refused() {
    let record = claim(1, 7, 1000);
    let mut table = Table::new(WINDOW);
    table.apply(0, at(1001), &[Item::Claim(record)]);
    let mut other = claim(2, 7, 1000);
    other.body = [1; 16];
    assert_eq!(table.verdict(&other), Some(Verdict::OtherBody));
}

/// A shop is told that its order never ran while it is being printed. A
/// claim that lost writes a fate for the key.
#[test]
fn only_the_winner_tells_the_fate() {
    let winner = claim(1, 7, 1000);
    let loser = claim(2, 7, 1000);
    let fate = |record: &Record, outcome| Item::Outcome {
        key: record.key,
        id: record.id,
        outcome,
    };
    let mut table = Table::new(WINDOW);
    table.apply(
        0,
        at(1001),
        &[
            Item::Claim(winner),
            Item::Claim(loser),
            fate(&loser, Outcome::NotRun),
            fate(&winner, Outcome::Ran),
            fate(&winner, Outcome::NotRun),
        ],
    );
    let taken = Verdict::Taken {
        by: winner.id,
        outcome: Some(Outcome::Ran),
    };
    assert_eq!(table.verdict(&loser), Some(taken));
}

type Batch = (u64, Vec<Item>);

fn any_batches() -> impl Strategy<Value = Vec<Batch>> {
    let item = (1..4_u64, 0..6_u8, 0..200_u64)
        .prop_map(|(holder, key, _)| Item::Claim(claim(holder, key, 1000 + u64::from(key) * 37)));
    let batch = (0..30_u64, prop::collection::vec(item, 0..4));
    prop::collection::vec(batch, 1..30)
}

fn fold(batches: &[Batch], start: usize) -> (Table, BTreeMap<KeyDigest, Vec<Id>>) {
    let mut table = Table::new(WINDOW);
    table.skip_to(start as u64);
    let mut winners: BTreeMap<KeyDigest, Vec<Id>> = BTreeMap::new();
    let mut time = 990;
    for (offset, (step, items)) in batches.iter().enumerate() {
        time += step;
        if offset < start {
            continue;
        }
        table.apply(offset as u64, at(time), items);
        for item in items {
            if let Item::Claim(record) = item
                && table.verdict(record) == Some(Verdict::Claimed)
            {
                winners.entry(record.key).or_default().push(record.id);
            }
        }
    }
    (table, winners)
}

proptest! {
    #[test]
    fn every_start_gives_the_same_winner_or_none(
        batches in any_batches(),
        starts in prop::collection::vec(0..30_usize, 1..4),
    ) {
        let (_, whole) = fold(&batches, 0);
        for start in starts {
            let (_, part) = fold(&batches, start.min(batches.len()));
            for (key, ids) in part {
                let mut all = ids;
                all.extend(whole.get(&key).into_iter().flatten());
                all.dedup();
                prop_assert_eq!(all.len(), 1, "two winners of {:?}", key);
            }
        }
    }

    #[test]
    fn memory_is_bounded_by_the_window(batches in any_batches()) {
        let (mut table, _) = fold(&batches, 0);
        let next = table.next_offset();
        table.apply(next, at(1_000_000), &[]);
        prop_assert!(table.is_empty());
    }
}

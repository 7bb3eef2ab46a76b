//! Each key has one winner for all readers, wherever they start to read.

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

/// A caller must not be refused because its claim has two records: the first
/// append timed out but took effect, and the retry added another one.
#[test]
fn duplicate_record_of_a_claim_is_ignored() {
    let record = claim(1, 7, 1000);
    let mut table = Table::new(WINDOW);
    table.apply(0, at(1001), &[Item::Claim(record)]);
    table.apply(1, at(1002), &[Item::Claim(record)]);
    assert_eq!(table.verdict(&record), Some(Verdict::Claimed));
    assert_eq!(table.len(), 1);
}

/// A request must not run twice when a reader of a truncated stream misses the
/// winning claim and treats a resent one as the first.
#[test]
fn truncated_stream_allows_only_younger_keys() {
    let missed = claim(1, 7, 1000);
    let resent = claim(2, 7, 1000);
    let younger = claim(2, 8, 1040);
    let mut table = Table::new(WINDOW);
    table.skip_to(1);
    table.apply(1, at(1005), &[Item::Claim(resent), Item::Claim(younger)]);
    assert_eq!(table.verdict(&missed), Some(Verdict::Expired));
    assert_eq!(table.verdict(&resent), Some(Verdict::Expired));
    assert_eq!(table.verdict(&younger), None, "36 s ahead of its record");
    let later = claim(3, 9, 1036);
    table.apply(2, at(1010), &[Item::Claim(later)]);
    assert_eq!(table.verdict(&later), Some(Verdict::Claimed));
}

/// A request must not run twice when a new bundle lengthens the claim window and
/// a key that expired under the shorter one is accepted again.
#[test]
fn longer_window_does_not_restore_expired_keys() {
    let record = claim(1, 7, 1000);
    let mut table = Table::new(WINDOW);
    table.apply(0, at(1001), &[Item::Claim(record)]);
    table.apply(1, at(1121), &[]);
    table.set_window(WINDOW * 10);
    let resent = claim(2, 7, 1000);
    table.apply(2, at(1122), &[Item::Claim(resent)]);
    assert_eq!(table.verdict(&resent), Some(Verdict::Expired));
}

/// A caller that reuses a key with another body by mistake must not get the
/// response to the first body.
#[test]
fn key_with_another_body_is_refused() {
    let record = claim(1, 7, 1000);
    let mut table = Table::new(WINDOW);
    table.apply(0, at(1001), &[Item::Claim(record)]);
    let mut other = claim(2, 7, 1000);
    other.body = [1; 16];
    assert_eq!(table.verdict(&other), Some(Verdict::OtherBody));
}

/// A caller must not be told *not run* while its request is running, because a
/// claim that lost recorded an outcome for the key.
#[test]
fn only_the_winner_sets_the_outcome() {
    let winner = claim(1, 7, 1000);
    let loser = claim(2, 7, 1000);
    let outcome_of = |record: &Record, outcome| Item::Outcome {
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
            outcome_of(&loser, Outcome::NotRun),
            outcome_of(&winner, Outcome::Ran),
            outcome_of(&winner, Outcome::NotRun),
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
    fn all_readers_agree_on_the_winner_or_have_none(
        batches in any_batches(),
        starts in prop::collection::vec(0..30_usize, 1..4),
    ) {
        let (_, all_winners) = fold(&batches, 0);
        for start in starts {
            let (_, partial) = fold(&batches, start.min(batches.len()));
            for (key, ids) in partial {
                let mut distinct = ids;
                distinct.extend(all_winners.get(&key).into_iter().flatten());
                distinct.dedup();
                prop_assert_eq!(distinct.len(), 1, "two winners of {:?}", key);
            }
        }
    }

    #[test]
    fn memory_is_bounded_by_the_claim_window(batches in any_batches()) {
        let (mut table, _) = fold(&batches, 0);
        let next = table.next_offset();
        table.apply(next, at(1_000_000), &[]);
        prop_assert!(table.is_empty());
    }
}

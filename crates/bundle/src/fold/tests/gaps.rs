use super::{Stream, bundle, new_fold, root};
use crate::fold::{Fold, Next, Refusal};
use crate::record::Record;

// The log drops the record of version 3 that won and still retains the one
// that lost. An instance that starts then, or that was paused at version 2,
// must not accept the losing record: it would differ from the fleet for good.
#[test]
fn a_losing_record_is_not_accepted_after_the_winner_was_dropped() {
    let mut stream = Stream::rolled(2);
    let mut slept = stream.fold().clone();
    let winner = stream.sign(&bundle(3, 30), "kushiro");
    let loser = stream.sign(&bundle(3, 31), "asahikawa");
    stream.append(&winner);
    stream.append(&loser);
    let mut fresh = new_fold();
    for fold in [&mut slept, &mut fresh] {
        let before = fold.version();
        assert_eq!(stream.read(3, fold), Next::Waiting);
        assert_eq!(fold.version(), before);
        assert!(fold.has_gap());
    }
    let snapshot = stream.fold().snapshot().expect("it is in force");
    for fold in [&mut slept, &mut fresh] {
        assert_eq!(fold.apply_snapshot(snapshot.clone()), Ok(Next::InForce(3)));
        assert_eq!(root(fold), root(stream.fold()));
        assert!(!fold.has_gap());
    }
}

// All instances are replaced at once after the log dropped everything before
// the checkpoint. Version 4 was rolled while the checkpoint was being written,
// so its record precedes the checkpoint.
#[test]
fn a_new_reader_catches_up_from_a_checkpoint() {
    let mut stream = Stream::rolled(3);
    let writer = stream.fold().clone();
    stream.roll(4);
    stream.checkpoint(&writer);
    stream.roll(5);
    let mut fresh = new_fold();
    stream.read(3, &mut fresh);
    assert_eq!(fresh.version(), 5);
    assert_eq!(root(&fresh), root(stream.fold()));
    assert!(!fresh.has_gap());
}

// An instance is paused before it appends a checkpoint of version 2, and
// appends it hours later. Readers with a bundle must keep it; a new reader must
// wait for a checkpoint that leaves no gap.
#[test]
fn a_stale_checkpoint_does_not_replace_a_newer_bundle() {
    let mut stream = Stream::rolled(2);
    let paused = stream.fold().clone();
    stream.roll(3);
    stream.roll(4);
    stream.checkpoint(&paused);
    assert_eq!(stream.outcomes.last(), Some(&Next::Ignored));
    assert_eq!(stream.fold().version(), 4);
    let mut fresh = new_fold();
    stream.read(3, &mut fresh);
    assert_eq!((fresh.version(), fresh.has_gap()), (0, true));
    stream.checkpoint(&stream.fold().clone());
    stream.read(5, &mut fresh);
    assert_eq!((fresh.version(), fresh.has_gap()), (4, false));
}

// A stale checkpoint must not move the anchor, or the log would drop records
// that readers need before an instance appends the next checkpoint.
#[test]
fn only_a_checkpoint_that_reaches_further_moves_the_anchor() {
    let mut stream = Stream::rolled(2);
    let paused = stream.fold().clone();
    stream.roll(3);
    stream.checkpoint(&stream.fold().clone());
    let anchor = stream.fold().anchor().expect("it is in force");
    assert_eq!(anchor.from, 3);
    stream.checkpoint(&paused);
    assert_eq!(stream.fold().anchor(), Some(anchor));
}

// Two instances append large checkpoints at the same time, one of them crashes
// half-way, and a lost response causes one part to be appended twice.
#[test]
fn interleaved_repeated_and_incomplete_checkpoints_are_assembled_separately() {
    let mut stream = Stream::new();
    stream.roll_many(1, 3_500);
    stream.roll_many(2, 7_000);
    stream.roll_many(3, 10_000);
    let parts_of =
        |fold: &Fold| crate::record::checkpoint(&fold.snapshot().expect("it is in force"));
    let one = parts_of(stream.fold());
    stream.roll(4);
    let other = parts_of(stream.fold());
    assert!(one.len() > 2 && other.len() > 2);
    for (index, part) in other.iter().enumerate() {
        stream.append(part);
        if index < 2 {
            stream.append(&one[index]);
            stream.append(part);
        }
    }
    let mut fresh = new_fold();
    stream.read(4, &mut fresh);
    assert_eq!((fresh.version(), fresh.has_gap()), (4, false));
}

#[test]
fn a_checkpoint_with_changed_bytes_is_rejected() {
    let mut stream = Stream::rolled(2);
    let parts = crate::record::checkpoint(&stream.fold().snapshot().expect("it is in force"));
    for part in parts {
        let Record::Checkpoint(mut part) = part else {
            panic!("it is a part of a checkpoint")
        };
        let last = part.bytes.0.len() - 1;
        part.bytes.0[last] ^= 1;
        stream.append(&Record::Checkpoint(part));
    }
    let mut fresh = new_fold();
    stream.read(2, &mut fresh);
    assert_eq!((fresh.version(), fresh.has_gap()), (0, true));
}

#[test]
fn a_checkpoint_that_covers_later_records_is_rejected() {
    let mut stream = Stream::rolled(2);
    let mut snapshot = stream.fold().snapshot().expect("it is in force");
    snapshot.next = 100;
    let parts = crate::record::checkpoint(&snapshot);
    assert_eq!(stream.append(&parts[0]), Next::Refused(Refusal::Future));
}

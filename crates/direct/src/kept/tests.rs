use std::time::{Duration, SystemTime};

use godwitpost_types::clock::Moment;

use super::{
    KeepRequest, MAX_BATCH_STREAMS, MAX_READS, Next, Reading, Unwritten, WRITE_INTERVAL, decode,
    encode, streams_of,
};
use crate::origins::{MAX_STREAMS, Origin, Record};
use crate::source::{self, Tail, Value};

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn time_of_day(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
}

fn record(stream: u64) -> Record {
    Record {
        stream,
        origin: Origin {
            service: 7,
            build: u64::MAX,
        },
        age: at(10),
    }
}

fn tail(next: u64, end: u64, values: &[Vec<u8>]) -> Tail<Vec<u8>> {
    let records = values.iter().map(|value| source::Record {
        key: String::new(),
        offset: 0,
        value: Value::Set(value.clone()),
    });
    Tail::Records {
        records: records.collect(),
        next,
        end,
    }
}

fn told(streams: impl Iterator<Item = u64>) -> KeepRequest {
    KeepRequest {
        streams: streams.map(record).collect(),
        is_passed_on: false,
    }
}

fn streams(batch: &[Record]) -> Vec<u64> {
    batch.iter().map(|one| one.stream).collect()
}

#[test]
fn batches_hold_the_streams_told_first_with_their_ages() {
    let mut unwritten = Unwritten::default();
    unwritten.add(&told(0..5_000), at(100));
    let batch = unwritten.batch(at(130));
    assert_eq!((batch.len(), batch[0].stream), (MAX_BATCH_STREAMS, 0));
    assert_eq!(batch[0].age, at(40));
    unwritten.record_written(&batch);
    let rest = unwritten.batch(at(130));
    assert_eq!(rest.len(), 5_000 - MAX_BATCH_STREAMS);
    unwritten.record_written(&rest);
    assert!(unwritten.is_empty());
}

/// Guards against streams that are lost since the log was away for a moment.
#[test]
fn batch_that_was_not_written_comes_first_again() {
    let mut unwritten = Unwritten::default();
    unwritten.add(&told(1..3), at(0));
    assert_eq!(streams(&unwritten.batch(at(20))), [1, 2]);
    unwritten.add(&told(3..4), at(30));
    let again = unwritten.batch(at(50));
    assert_eq!(streams(&again), [1, 2, 3]);
    assert_eq!(again[0].age, at(60));
}

/// Guards against streams that seeds pass on to each other without end.
#[test]
fn stream_is_passed_on_once() {
    let mut unwritten = Unwritten::default();
    unwritten.add(&told(1..3), at(0));
    let passed_on = KeepRequest {
        is_passed_on: true,
        ..told(3..4)
    };
    unwritten.add(&passed_on, at(0));
    assert_eq!(streams(&unwritten.take_to_pass_on(at(10))), [1, 2]);
    assert_eq!(unwritten.take_to_pass_on(at(20)), []);
    assert_eq!(streams(&unwritten.batch(at(20))), [1, 2, 3]);
}

/// Guards against memory that grows while the log is away.
#[test]
fn oldest_streams_are_dropped_if_there_are_too_many() {
    let mut unwritten = Unwritten::default();
    let count = MAX_STREAMS as u64;
    unwritten.add(&told(0..count), at(0));
    let batch = unwritten.batch(at(0));
    unwritten.add(&told(count..count + 3), at(0));
    assert_eq!(unwritten.dropped(), 3);
    unwritten.record_written(&batch);
    let next = unwritten.batch(at(0));
    assert_eq!(next[0].stream, MAX_BATCH_STREAMS as u64);
}

/// Guards against streams that are forgotten at once, or never, as the time of day was changed.
#[test]
fn streams_are_as_old_as_the_time_of_day_tells_and_never_younger_than_they_were() {
    let bytes = encode(&[record(1)], time_of_day(1_000)).expect("a batch");
    let age = |now| decode(&bytes, time_of_day(now)).expect("a batch")[0].age;
    assert_eq!(age(1_003), at(3_010));
    assert_eq!(age(990), at(10));
    decode(b"something else", time_of_day(0)).expect_err("no batch");
    decode(&bytes[..bytes.len() - 1], time_of_day(0)).expect_err("a part of a batch");
}

#[test]
fn a_batch_is_far_smaller_than_a_record_may_be() {
    let streams = vec![record(u64::MAX); MAX_BATCH_STREAMS];
    let bytes = encode(&streams, time_of_day(1_000_000_000)).expect("a batch");
    assert!(bytes.len() < 262_144, "{}", bytes.len());
}

#[test]
fn short_topic_is_read_at_once_and_a_long_one_from_what_matters() {
    let retention = WRITE_INTERVAL * 10;
    let mut reading = Reading::new(2, retention);
    assert_eq!(reading.start(), 0);
    assert_eq!(reading.handle(&tail(5, 5, &[])), Next::Done);
    let mut reading = Reading::new(2, retention);
    assert_eq!(
        reading.handle(&Tail::Expired { first: Some(40) }),
        Next::Read(40)
    );
    assert_eq!(reading.handle(&tail(60, 200, &[])), Next::Read(200 - 24));
    assert_eq!(reading.handle(&tail(190, 200, &[])), Next::Read(190));
    assert_eq!(reading.handle(&tail(201, 201, &[])), Next::Done);
}

/// Guards against reading forever.
#[test]
fn answers_that_make_no_sense_end_the_reading() {
    let mut reading = Reading::new(1, WRITE_INTERVAL);
    assert_eq!(reading.handle(&Tail::Expired { first: None }), Next::GiveUp);
    let mut reading = Reading::new(1, WRITE_INTERVAL);
    assert_eq!(
        reading.handle(&Tail::Expired { first: Some(0) }),
        Next::GiveUp
    );
    let mut reading = Reading::new(1_000, WRITE_INTERVAL);
    let answers = (1..).map(|next| reading.handle(&tail(next, next + 1, &[])));
    let reads = answers.take_while(|next| matches!(next, Next::Read(_)));
    assert_eq!(reads.count() + 1, MAX_READS as usize);
}

#[test]
fn record_that_is_no_batch_hides_no_others() {
    let good = encode(&[record(1), record(2)], time_of_day(0)).expect("a batch");
    let answer = tail(2, 2, &[b"?".to_vec(), good]);
    let (streams, undecoded) = streams_of(&answer, time_of_day(0));
    assert_eq!((streams.len(), undecoded), (2, 1));
}

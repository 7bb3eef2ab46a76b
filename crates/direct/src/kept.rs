//! Where streams began, kept on the platform, where it outlasts all instances.
//!
//! While more than one build can have begun the streams of a service, instances tell a seed of
//! each, and seeds write what they are told to a topic of the log, in batches. A seed that the log
//! refuses passes its streams on to the others. A seed that has just started reads the batches.
//! An origin never changes, so it does no harm if a stream is written twice or late, or is older
//! than it seems.

use std::borrow::Cow;
use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, SystemTime};

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{Offset, StreamId};
use serde::{Deserialize, Serialize};

use crate::origins::{MAX_STREAMS, Record};
use crate::source::{Tail, Value};

/// How often a seed writes a batch, at most. Streams that begin less than that before all
/// instances are lost can't be taken up.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// How many streams a batch holds at most, at some 40 bytes each.
pub const MAX_BATCH_STREAMS: usize = 4_096;

/// How many calls it may take to read all batches; each returns up to a megabyte.
const MAX_READS: u32 = 16;

/// A message to a seed that is to write streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepRequest {
    /// The streams.
    pub streams: Vec<Record>,
    /// Whether another seed, which could not write them, passes them on. They aren't passed on
    /// again.
    pub is_passed_on: bool,
}

/// Streams that are to be written, from the one that was told first.
#[derive(Debug, Default)]
pub struct Unwritten {
    streams: VecDeque<Waiting>,
    dropped: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    record: Record,
    told_at: Moment,
    is_passed_on: bool,
}

impl Unwritten {
    /// Adds streams that this instance is to write. The oldest are dropped if there are too many.
    pub fn add(&mut self, request: &KeepRequest, now: Moment) {
        let added = request.streams.iter().map(|record| Waiting {
            record: *record,
            told_at: now,
            is_passed_on: request.is_passed_on,
        });
        self.streams.extend(added);
        while self.streams.len() > MAX_STREAMS {
            self.streams.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the streams of the next batch.
    #[must_use]
    pub fn batch(&self, now: Moment) -> Vec<Record> {
        let next = self.streams.iter().take(MAX_BATCH_STREAMS);
        next.map(|one| one.record_at(now)).collect()
    }

    /// Records that a batch was written.
    pub fn record_written(&mut self, batch: &[Record]) {
        // Others may have been dropped meanwhile, but none has come before them.
        let written: BTreeSet<StreamId> = batch.iter().map(|record| record.stream).collect();
        while let Some(first) = self.streams.front()
            && written.contains(&first.record.stream)
        {
            self.streams.pop_front();
        }
    }

    /// Returns the streams that other seeds are to write too, as this instance could not: each
    /// once.
    pub fn take_to_pass_on(&mut self, now: Moment) -> Vec<Record> {
        let mut taken = Vec::new();
        for one in self.streams.iter_mut().filter(|one| !one.is_passed_on) {
            one.is_passed_on = true;
            taken.push(one.record_at(now));
        }
        taken
    }

    /// Returns whether nothing is to be written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns how many streams were dropped, as there were too many.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl Waiting {
    fn record_at(&self, now: Moment) -> Record {
        Record {
            age: self.record.age + since(now, self.told_at),
            ..self.record
        }
    }
}

/// The content of a record of the log.
#[derive(Debug, Serialize, Deserialize)]
struct Batch<'a> {
    // The time of day at which it was written, since 1970.
    written_at: Duration,
    streams: Cow<'a, [Record]>,
}

/// Encodes a batch that is written at this time of day.
///
/// # Errors
///
/// Returns an error if it can't be encoded.
pub fn encode(
    streams: &[Record],
    written_at: SystemTime,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    rmp_serde::to_vec(&Batch {
        written_at: time_of_day(written_at),
        streams: streams.into(),
    })
}

/// Decodes a batch that is read at this time of day. The time of day may have been changed, so
/// the streams may seem younger or older than they are.
///
/// # Errors
///
/// Returns an error if it isn't a batch.
pub fn decode(bytes: &[u8], now: SystemTime) -> Result<Vec<Record>, rmp_serde::decode::Error> {
    let batch: Batch<'_> = rmp_serde::from_slice(bytes)?;
    let elapsed = time_of_day(now).saturating_sub(batch.written_at);
    let aged = batch.streams.iter().map(|record| Record {
        age: record.age.saturating_add(elapsed),
        ..*record
    });
    Ok(aged.collect())
}

fn time_of_day(at: SystemTime) -> Duration {
    at.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// What to do next to read the batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read from this offset.
    Read(Offset),
    /// All batches that matter have been read.
    Done,
    /// The log's answers make no sense, or there are too many.
    GiveUp,
}

/// Reads the batches that streams of the last while can be in.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    from: Offset,
    // How many batches the last while can have.
    batches: u64,
    reads: u32,
}

impl Reading {
    /// Returns a reading of what `seeds` instances have written in the time in which a stream may
    /// be taken up.
    #[must_use]
    pub fn new(seeds: usize, retention: Duration) -> Self {
        let intervals = retention.as_millis() / WRITE_INTERVAL.as_millis() + 2;
        let batches_of_one = u64::try_from(intervals).unwrap_or(u64::MAX);
        Self {
            from: 0,
            batches: batches_of_one.saturating_mul(seeds.max(1) as u64),
            reads: 0,
        }
    }

    /// Returns where to read first. The end of the topic isn't known yet.
    #[must_use]
    pub const fn start(&self) -> Offset {
        self.from
    }

    /// Returns how many answers it has got.
    #[must_use]
    pub const fn reads(&self) -> u32 {
        self.reads
    }

    /// Handles an answer and returns what to do next.
    pub fn handle(&mut self, tail: &Tail<Vec<u8>>) -> Next {
        self.reads += 1;
        let from = match tail {
            Tail::Expired { first: Some(first) } => *first,
            Tail::Expired { first: None } => return Next::GiveUp,
            Tail::Records { next, end, .. } if next >= end => return Next::Done,
            Tail::Records { next, end, .. } => (*next).max(end.saturating_sub(self.batches)),
        };
        if from <= self.from || self.reads >= MAX_READS {
            return Next::GiveUp;
        }
        self.from = from;
        Next::Read(from)
    }
}

/// Returns the streams that the records of an answer hold, and the number of records that can't
/// be decoded.
#[must_use]
pub fn streams_of(tail: &Tail<Vec<u8>>, now: SystemTime) -> (Vec<Record>, usize) {
    let Tail::Records { records, .. } = tail else {
        return (Vec::new(), 0);
    };
    let mut streams = Vec::new();
    let mut undecoded = 0;
    for record in records {
        let decoded = match &record.value {
            Value::Set(bytes) => decode(bytes, now).ok(),
            Value::Removed | Value::Unreadable(_) => None,
        };
        match decoded {
            Some(batch) => streams.extend(batch),
            None => undecoded += 1,
        }
    }
    (streams, undecoded)
}

#[cfg(test)]
mod tests;

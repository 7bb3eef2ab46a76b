//! The streams of the log stand-in, in memory.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its offset in the stream.
    pub offset: Offset,
    /// When it took effect.
    pub time: Moment,
    /// Its bytes.
    pub body: Bytes,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<Record>,
}

/// All streams and the token bucket for appends.
#[derive(Debug, Default)]
pub(super) struct Streams {
    by_name: BTreeMap<String, Stream>,
    tokens: f64,
    refilled_at: Option<Moment>,
}

/// The offset and time of an append.
#[derive(Clone, Copy, Debug)]
pub(super) struct Appended {
    pub(super) offset: Offset,
    pub(super) time: Moment,
}

impl Streams {
    /// Takes one append from the token bucket, which holds one second's worth.
    pub(super) fn allow(&mut self, now: Moment, rate: f64) -> bool {
        let refill = self.refilled_at.map_or(rate.max(1.0), |last| {
            now.saturating_sub(last).as_secs_f64() * rate
        });
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + refill).min(rate.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub(super) fn append(&mut self, stream: &str, time: Moment, body: Bytes) -> Appended {
        let stream = self.by_name.entry(stream.to_owned()).or_default();
        let offset = stream.first + stream.records.len() as Offset;
        stream.records.push_back(Record { offset, time, body });
        Appended { offset, time }
    }

    /// Returns the first retained offset and up to `limit` records from an offset
    /// on that took effect no later than `until`.
    pub(super) fn page(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        until: Moment,
    ) -> (Offset, Vec<Record>) {
        let Some(stream) = self.by_name.get(stream) else {
            return (0, Vec::new());
        };
        let skip = usize::try_from(from.saturating_sub(stream.first)).unwrap_or(usize::MAX);
        let records = stream
            .records
            .iter()
            .skip(skip)
            .take_while(|record| record.time <= until)
            .take(limit)
            .cloned()
            .collect();
        (stream.first, records)
    }

    pub(super) fn all(&self, stream: &str) -> Vec<Record> {
        self.by_name
            .get(stream)
            .map(|stream| stream.records.iter().cloned().collect())
            .unwrap_or_default()
    }

    pub(super) fn truncate(&mut self, stream: &str, before: Offset) {
        if let Some(stream) = self.by_name.get_mut(stream) {
            stream.drop_while(|record| record.offset < before);
        }
    }

    pub(super) fn expire(&mut self, before: Moment) {
        for stream in self.by_name.values_mut() {
            stream.drop_while(|record| record.time < before);
        }
    }
}

impl Stream {
    fn drop_while(&mut self, is_removed: impl Fn(&Record) -> bool) {
        while self.records.front().is_some_and(&is_removed) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

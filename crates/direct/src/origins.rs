//! Where streams have begun: the service and build of the endpoint that wrote the first event.
//!
//! An origin never changes once it is recorded, so it doesn't matter in which order instances
//! are told of it. It is recorded when the first event is passed on, and forgotten when the
//! stream can no longer be taken up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, ServiceId, StreamId};
use serde::{Deserialize, Serialize};

/// How many streams are remembered, at about 150 bytes each.
pub const MAX_STREAMS: usize = 16_384;

/// The service and build of the endpoint that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The service.
    pub service: ServiceId,
    /// The build.
    pub build: BuildId,
}

/// A stream and its origin, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    pub stream: StreamId,
    /// Its origin.
    pub origin: Origin,
    /// How long ago the first event was passed on.
    pub age: Duration,
}

/// The origins of the streams that may still be taken up.
#[derive(Debug, Default)]
pub struct Origins {
    streams: BTreeMap<StreamId, (Origin, Moment)>,
    by_time: BTreeSet<(Moment, StreamId)>,
    // Streams that began here and that no other instance was told of.
    untold: BTreeSet<StreamId>,
    // Streams that began here and that no seed was asked to keep.
    unkept: BTreeSet<StreamId>,
    is_telling: bool,
    dropped: u64,
}

impl Origins {
    /// Records the origin of a stream whose first event was passed on here at `began_at`.
    pub fn record_own(&mut self, stream: StreamId, origin: Origin, began_at: Moment) {
        if self.insert(stream, origin, began_at) {
            self.untold.insert(stream);
            self.unkept.insert(stream);
        }
    }

    /// Records the origin of a stream that another instance told of.
    pub fn record_told(&mut self, record: &Record, now: Moment) {
        self.insert(record.stream, record.origin, since(now, record.age));
    }

    // Returns whether the stream is new.
    fn insert(&mut self, stream: StreamId, origin: Origin, began_at: Moment) -> bool {
        if self.streams.contains_key(&stream) {
            return false;
        }
        self.streams.insert(stream, (origin, began_at));
        self.by_time.insert((began_at, stream));
        if self.streams.len() > MAX_STREAMS {
            self.remove_oldest();
            self.dropped += 1;
        }
        true
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.by_time.pop_first() {
            self.streams.remove(&stream);
            self.untold.remove(&stream);
            self.unkept.remove(&stream);
        }
    }

    /// Forgets the streams that began longer ago than `retention`.
    pub fn forget_old(&mut self, retention: Duration, now: Moment) {
        while let Some((began_at, _)) = self.by_time.first()
            && since(now, *began_at) > retention
        {
            self.remove_oldest();
        }
    }

    /// Returns the origin of a stream and when it began, if it is known.
    #[must_use]
    pub fn get(&self, stream: StreamId) -> Option<(Origin, Moment)> {
        self.streams.get(&stream).copied()
    }

    /// Returns the number of streams that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns how many streams were forgotten early, as there were too many.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns whether others are to be told of streams and no task is about to. If so, the
    /// caller has to tell them.
    pub fn begin_telling(&mut self) -> bool {
        let begins = !self.is_telling && !self.untold.is_empty();
        self.is_telling |= begins;
        begins
    }

    /// Takes the streams that began here and are to be told of: those of the services for
    /// which `is_needed` holds.
    pub fn take_untold(
        &mut self,
        is_needed: impl Fn(ServiceId) -> bool,
        now: Moment,
    ) -> Vec<Record> {
        self.is_telling = false;
        take(&mut self.untold, &self.streams, is_needed, now)
    }

    /// Takes the streams that began here and are to be kept: those of the services for which
    /// `is_needed` holds.
    pub fn take_unkept(
        &mut self,
        is_needed: impl Fn(ServiceId) -> bool,
        now: Moment,
    ) -> Vec<Record> {
        take(&mut self.unkept, &self.streams, is_needed, now)
    }

    /// Records that no seed could be asked to keep a stream.
    pub fn put_back_unkept(&mut self, stream: StreamId) {
        if self.streams.contains_key(&stream) {
            self.unkept.insert(stream);
        }
    }

    /// Records that nobody could be told of a stream.
    pub fn put_back(&mut self, stream: StreamId) {
        if self.streams.contains_key(&stream) {
            self.untold.insert(stream);
        }
    }
}

// Takes the streams of the services for which `is_needed` holds out of a set.
fn take(
    set: &mut BTreeSet<StreamId>,
    streams: &BTreeMap<StreamId, (Origin, Moment)>,
    is_needed: impl Fn(ServiceId) -> bool,
    now: Moment,
) -> Vec<Record> {
    let mut taken = Vec::new();
    set.retain(|stream| {
        let Some((origin, began_at)) = streams.get(stream) else {
            return false;
        };
        let is_taken = is_needed(origin.service);
        if is_taken {
            taken.push(Record {
                stream: *stream,
                origin: *origin,
                age: since(now, *began_at),
            });
        }
        !is_taken
    });
    taken
}

#[cfg(test)]
mod tests;

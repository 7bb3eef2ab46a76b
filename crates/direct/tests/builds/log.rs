//! The simulated log: endpoints' entries, what it keeps of them, and what instances write.

use std::time::Duration;

use godwitpost_direct::past::Past;
use godwitpost_direct::roster::Registration;
use godwitpost_direct::source::{Record, Tail, Value};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use crate::world::{DURATION, HEARTBEAT};

/// What the log keeps, in one schedule and the next.
const KEEPS: [Keeps; 4] = [
    Keeps::Heartbeats(Duration::from_secs(12)),
    Keeps::Heartbeats(Duration::from_secs(30)),
    Keeps::Changes {
        is_forgotten: false,
    },
    Keeps::Changes { is_forgotten: true },
];

/// How long the log keeps what instances write, and how much of it one call returns.
const KEPT_FOR: Duration = Duration::from_secs(20);
const RECORDS_PER_CALL: usize = 40;

/// What the log keeps of endpoints' entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Keeps {
    /// A record of each heartbeat, for this long.
    Heartbeats(Duration),
    /// A record of each change, until all but the newest are forgotten at some moment.
    Changes { is_forgotten: bool },
}

/// The log.
pub(crate) struct Log {
    keeps: Keeps,
    forgotten_at: Moment,
    is_whole: bool,
    entries: Vec<(Moment, Record<Registration>)>,
    // What instances wrote, and the offset of the first record that is left.
    kept: Vec<(Moment, Vec<u8>)>,
    first_kept: Offset,
}

impl Log {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            keeps: KEEPS[usize::try_from(seed).expect("a small number") % KEEPS.len()],
            forgotten_at: Duration::from_millis(seed * 7_919 % 45_000),
            is_whole: true,
            entries: Vec::new(),
            kept: Vec::new(),
            first_kept: 0,
        }
    }

    /// Returns how long after an endpoint's entry its next one follows.
    pub(crate) const fn entry_interval(&self) -> Duration {
        match self.keeps {
            Keeps::Heartbeats(_) => HEARTBEAT,
            Keeps::Changes { .. } => DURATION,
        }
    }

    /// Writes the entry of an endpoint.
    pub(crate) fn set(&mut self, registration: &Registration, now: Moment) {
        let name = registration.endpoint.name.clone();
        self.push(name, Value::Set(registration.clone()), now);
    }

    /// Removes the entry of an endpoint.
    pub(crate) fn remove(&mut self, name: String, now: Moment) {
        self.push(name, Value::Removed, now);
    }

    fn push(&mut self, key: String, value: Value<Registration>, now: Moment) {
        let offset = 0;
        let record = Record { key, offset, value };
        self.entries.push((now, record));
    }

    /// Deletes old records.
    pub(crate) fn forget_old(&mut self, now: Moment) {
        let forgotten = match self.keeps {
            Keeps::Heartbeats(time) => now.saturating_sub(time),
            Keeps::Changes { is_forgotten: true } if now >= self.forgotten_at => self.forgotten_at,
            Keeps::Changes { .. } => Moment::ZERO,
        };
        let count = self.entries.len();
        self.entries.retain(|(at, _)| *at >= forgotten);
        self.is_whole &= self.entries.len() == count;
        let count = self.kept.len();
        self.kept.retain(|(at, _)| *at + KEPT_FOR >= now);
        self.first_kept += (count - self.kept.len()) as u64;
    }

    /// Appends what an instance writes.
    pub(crate) fn keep(&mut self, bytes: Vec<u8>, now: Moment) {
        self.kept.push((now, bytes));
    }

    /// Returns what instances wrote from this offset on.
    pub(crate) fn read_kept(&self, from: Offset) -> Tail<Vec<u8>> {
        if from < self.first_kept {
            let first = Some(self.first_kept);
            return Tail::Expired { first };
        }
        let skipped = usize::try_from(from - self.first_kept).expect("a small number");
        let records = self.kept.iter().skip(skipped).take(RECORDS_PER_CALL);
        let records: Vec<Record<Vec<u8>>> = (from..)
            .zip(records)
            .map(|(offset, (_, bytes))| Record {
                key: String::new(),
                offset,
                value: Value::Set(bytes.clone()),
            })
            .collect();
        let next = from + records.len() as u64;
        let end = self.first_kept + self.kept.len() as u64;
        Tail::Records { records, next, end }
    }

    /// Returns when the oldest entry was written.
    pub(crate) fn oldest(&self) -> Option<Moment> {
        self.entries.first().map(|(at, _)| *at)
    }

    /// Returns what it holds of endpoints' entries.
    pub(crate) fn past(&self) -> Past {
        let mut past = Past::new(self.is_whole);
        for (_, record) in &self.entries {
            past.add(std::slice::from_ref(record));
        }
        past
    }
}

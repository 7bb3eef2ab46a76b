//! An in-memory stream with the faults of the log service.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;
use rand::{Rng, RngExt};

/// Every record ever appended, and which of them are still kept.
#[derive(Debug)]
pub(super) struct Stream {
    records: Vec<(Moment, Vec<u8>)>,
    first: usize,
    now: Moment,
    retention: Duration,
    down: u32,
    late: Vec<Vec<u8>>,
}

impl Stream {
    pub fn new(retention: Duration) -> Self {
        Self {
            records: Vec::new(),
            first: 0,
            now: Duration::ZERO,
            retention,
            down: 0,
            late: Vec::new(),
        }
    }

    /// Lets time pass: records expire, an outage comes nearer to its end.
    pub fn pass(&mut self, now: Moment) {
        self.now = now;
        self.down = self.down.saturating_sub(1);
        let expired = |(time, _): &(Moment, Vec<u8>)| *time + self.retention < now;
        let kept = self.records.iter().position(|record| !expired(record));
        self.first = self.first.max(kept.unwrap_or(self.records.len()));
    }

    pub fn fail(&mut self, steps: u32) {
        self.down = steps;
    }

    pub const fn up(&self) -> bool {
        self.down == 0
    }

    /// Drops more than the retention allows.
    pub fn truncate(&mut self, rng: &mut impl Rng) {
        self.first = rng.random_range(self.first..=self.records.len());
    }

    pub fn append(&mut self, bytes: Vec<u8>) {
        self.records.push((self.now, bytes));
    }

    /// Appends once, twice, later, or not at all.
    pub fn append_somehow(&mut self, bytes: Vec<u8>, rng: &mut impl Rng) {
        match rng.random_range(0..10) {
            _ if !self.up() => {}
            0 => {
                self.append(bytes.clone());
                self.append(bytes);
            }
            1..3 => self.late.push(bytes),
            3 => {}
            _ => self.append(bytes),
        }
    }

    /// Lets an append take effect whose answer was lost long ago.
    pub fn land(&mut self, rng: &mut impl Rng) {
        if !self.late.is_empty() && self.up() {
            let bytes = self.late.remove(rng.random_range(0..self.late.len()));
            self.append(bytes);
        }
    }

    /// Appends an old record once more.
    pub fn repeat(&mut self, rng: &mut impl Rng) {
        if !self.records.is_empty() && self.up() {
            let at = rng.random_range(0..self.records.len());
            self.append(self.records[at].1.clone());
        }
    }

    /// Returns the end of the stream.
    pub fn next(&self) -> Offset {
        self.records.len() as Offset
    }

    /// Returns up to `most` kept records from an offset on.
    pub fn read(&self, from: Offset, most: usize) -> impl Iterator<Item = (Offset, Moment, &[u8])> {
        let from = usize::try_from(from).unwrap_or(usize::MAX).max(self.first);
        self.all(from).take(most)
    }

    /// Returns all records from an offset on, dropped or not.
    pub fn all(&self, from: usize) -> impl Iterator<Item = (Offset, Moment, &[u8])> {
        let records = self.records.iter().enumerate().skip(from);
        records.map(|(offset, (time, bytes))| (offset as Offset, *time, bytes.as_slice()))
    }
}

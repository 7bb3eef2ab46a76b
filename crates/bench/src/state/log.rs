//! One stream of the log service, in memory, with its faults.
//!
//! The runner asks what becomes of an append when it is sent, and calls
//! [`Log::land`] at the moment it takes effect.

use std::time::Duration;

use godwitpost_state::claim::{Page, StoredRecord};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;
use rand::{Rng, RngExt};

/// How badly the log behaves in one schedule.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// The share of appends whose answer is lost.
    pub lost: f64,
    /// The share of reads that fail.
    pub unread: f64,
    /// When the log is down.
    pub outages: Vec<(Moment, Moment)>,
    /// The longest delay of one way to the log.
    pub delay: Duration,
}

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fate {
    /// When it takes effect, if ever.
    pub effect: Option<Moment>,
    /// When its sender learns something.
    pub answer: Moment,
    /// What its sender learns.
    pub reply: Reply,
}

/// What the sender of an append learns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The offset, which is known by then.
    Done,
    /// That it had no effect.
    NotDone,
    /// Nothing.
    Lost,
}

/// The stream.
#[derive(Clone, Debug)]
pub struct Log {
    weather: Weather,
    ahead: Duration,
    first: Offset,
    records: Vec<StoredRecord>,
}

// The client's timeout on an append.
const TIMEOUT: Duration = Duration::from_millis(500);

// The longest that an append goes on after its sender gave it up.
const LATEST: Duration = Duration::from_secs(4);

impl Log {
    /// Returns an empty stream whose clock is ahead by `ahead`.
    #[must_use]
    pub const fn new(weather: Weather, ahead: Duration) -> Self {
        Self {
            weather,
            ahead,
            first: 0,
            records: Vec::new(),
        }
    }

    /// Decides what becomes of an append sent at `now`.
    pub fn append<R: Rng>(&self, now: Moment, rng: &mut R) -> Fate {
        let way = self.way(rng);
        if self.down(now) {
            let reached = rng.random_bool(0.3);
            return Fate {
                effect: None,
                answer: now + if reached { TIMEOUT } else { way },
                reply: if reached { Reply::Lost } else { Reply::NotDone },
            };
        }
        if rng.random_bool(self.weather.lost) {
            return Fate {
                effect: lost_effect(now + way, rng),
                answer: now + TIMEOUT,
                reply: Reply::Lost,
            };
        }
        Fate {
            effect: Some(now + way),
            answer: now + way + self.way(rng),
            reply: Reply::Done,
        }
    }

    /// Lets an append take effect and returns its offset and time.
    pub fn land(&mut self, now: Moment, body: Vec<u8>) -> (Offset, Moment) {
        let offset = self.next();
        let time = now + self.ahead;
        self.records.push(StoredRecord { offset, time, body });
        (offset, time)
    }

    /// Answers a read that arrives at `now`; `None` for a failure.
    ///
    /// # Panics
    ///
    /// Panics if an offset exceeds the address space.
    pub fn read<R: Rng>(
        &self,
        now: Moment,
        from: Offset,
        limit: usize,
        rng: &mut R,
    ) -> Option<Page> {
        if self.down(now) || rng.random_bool(self.weather.unread) {
            return None;
        }
        let skipped = usize::try_from(from.max(self.first)).expect("offsets are small here");
        let records = self.records.iter().skip(skipped).take(limit);
        Some(Page {
            first: self.first,
            next: self.next(),
            records: records.cloned().collect(),
        })
    }

    /// Drops the records older than `kept` at `now`.
    pub fn truncate(&mut self, now: Moment, kept: Duration) {
        let oldest = (now + self.ahead).saturating_sub(kept);
        let gone = self.records.partition_point(|record| record.time < oldest);
        self.first = self.first.max(gone as Offset);
    }

    /// Returns a random one-way delay.
    pub fn way<R: Rng>(&self, rng: &mut R) -> Duration {
        self.weather.delay.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Returns the offset that the next append gets.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.records.len() as Offset
    }

    fn down(&self, now: Moment) -> bool {
        let mut outages = self.weather.outages.iter();
        outages.any(|(from, to)| (*from..*to).contains(&now))
    }
}

// An append whose answer is lost took effect, will late, or never does.
fn lost_effect<R: Rng>(arrival: Moment, rng: &mut R) -> Option<Moment> {
    match rng.random_range(0..3) {
        0 => None,
        1 => Some(arrival),
        _ => Some(arrival + LATEST.mul_f64(rng.random_range(0.0..1.0))),
    }
}

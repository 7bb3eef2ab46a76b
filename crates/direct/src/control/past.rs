//! Reads, after a start, what the log still holds of endpoints that have left.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::Offset;

use crate::past::Past;
use crate::roster::Registration;
use crate::shared::Shared;
use crate::source::{ReadError, Source, Tail};

/// The pause between two calls, each of which returns up to a megabyte. Other instances read the
/// log at the same time, in order to start.
const READ_PAUSE: Duration = Duration::from_millis(250);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// How often reading the past is tried. After that, only the time since the start tells more.
const MAX_ATTEMPTS: u32 = 5;

/// How much more than the time in which a stream may be taken up is read, as a fraction of it.
const SPARE_FRACTION: f64 = 0.25;

/// Heartbeats read beyond that: the first and the last interval may be cut.
const SPARE_HEARTBEATS: u64 = 2;

/// Whether the past is read, which is done once.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum Reading {
    /// The list of endpoints isn't complete yet.
    #[default]
    Impossible,
    /// It may begin.
    Possible {
        /// Where the list of endpoints ended in the log.
        end: Offset,
    },
    /// It has begun.
    Begun,
}

impl Reading {
    /// Records where the list of endpoints ended.
    pub(super) const fn record_end(&mut self, end: Offset) {
        if !matches!(self, Self::Begun) {
            *self = Self::Possible { end };
        }
    }
}

/// The part of the log to read.
#[derive(Clone, Copy, Debug)]
pub(super) struct Extent {
    /// Where the list of endpoints ended.
    pub(super) end: Offset,
    /// How many endpoints it holds.
    pub(super) endpoints: usize,
}

impl Extent {
    // Returns the offset from which on the records hold what streams can have begun at.
    fn start(self, retention: Duration, heartbeat: Duration) -> Offset {
        let mut heartbeats = SPARE_HEARTBEATS;
        let time = retention.mul_f64(1.0 + SPARE_FRACTION);
        let mut covered = Duration::ZERO;
        while covered < time && !heartbeat.is_zero() {
            covered += heartbeat;
            heartbeats += 1;
        }
        self.end.saturating_sub(heartbeats * self.endpoints as u64)
    }
}

/// What came of reading the past.
enum Outcome {
    /// It was read in this many calls.
    Read(Past, u32),
    /// The records that follow were deleted meanwhile.
    Deleted,
}

/// Reads the past and records which builds it names, unless another instance tells first.
pub(super) async fn read(source: Arc<Source<Registration>>, shared: Arc<Shared>, extent: Extent) {
    for _ in 0..MAX_ATTEMPTS {
        if !shared.builds().lacks_past(boot_time()) {
            return;
        }
        let started_at = boot_time();
        match read_once(&source, &shared, extent).await {
            Ok(Outcome::Read(past, calls)) => {
                record(&shared, &past, calls, started_at);
                return;
            }
            Ok(Outcome::Deleted) => {
                log::warn!(end = extent.end; "records of past endpoints were deleted while they were read");
            }
            Err(error) => log::warn!(cause:% = error; "records of past endpoints can't be read"),
        }
        shared.metrics.streams().count_past_read(false);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn read_once(
    source: &Source<Registration>,
    shared: &Shared,
    extent: Extent,
) -> Result<Outcome, ReadError> {
    let retention = shared.builds().retention();
    let mut from = extent.start(retention, shared.settings.heartbeat);
    let mut past = Past::new(from == 0);
    let mut calls = 0;
    while from < extent.end {
        if calls > 0 && !past.is_empty() {
            tokio::time::sleep(READ_PAUSE).await;
        }
        calls += 1;
        match (source.read)(from, Duration::ZERO).await?.body {
            Tail::Expired { first: Some(first) } if past.is_empty() && first > from => {
                from = first;
                past = Past::new(false);
            }
            Tail::Expired { .. } => return Ok(Outcome::Deleted),
            Tail::Records { next, end, .. } if next <= from || end < extent.end => {
                return Ok(Outcome::Deleted);
            }
            Tail::Records { records, next, .. } => {
                past.add(&records);
                from = next;
            }
        }
    }
    Ok(Outcome::Read(past, calls))
}

fn record(shared: &Shared, past: &Past, calls: u32, started_at: Moment) {
    let now = boot_time();
    let reach = past.reach(shared.settings.heartbeat);
    let builds = past.builds(shared.settings.heartbeat);
    shared.builds().record_past(reach, &builds, now);
    shared.metrics.streams().count_past_read(true);
    let reach_ms = (!past.is_whole()).then_some(reach.as_millis());
    log::info!(
        records = past.len(), reach_ms:? = reach_ms, is_whole = past.is_whole(), builds = builds.len(), calls = calls,
        took_ms = since(now, started_at).as_millis();
        "records of past endpoints read"
    );
}

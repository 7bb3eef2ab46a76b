//! What the log still holds of the endpoints that services have had.
//!
//! The log keeps all records of the last while, not only the newest of each key, so an instance
//! that has just started can learn which builds served before it did. Records have no times. If
//! none has been deleted, they tell all builds that ever served. Otherwise, where endpoints renew
//! their entries at each heartbeat, how often they did tells how far the records reach back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::id::{self, BuildId, ServiceId};

use crate::roster::Registration;
use crate::source::{Record, Value};

/// The shortest time between two records of an endpoint, as a fraction of its heartbeat.
const MIN_INTERVAL_FRACTION: f64 = 0.9;

/// How many endpoints are looked at to see how far the records reach back. Some may have been
/// silent for a while, and one that has just started writes its entry more often.
const MEASURED_ENDPOINTS: usize = 5;

/// The records of endpoints' entries, oldest first, without gaps.
#[derive(Debug)]
pub struct Past {
    mentions: Vec<Mention>,
    is_whole: bool,
}

/// What a record says of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Mention {
    endpoint: u64,
    entry: Entry,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Set(ServiceId, BuildId),
    Unreadable,
    Removed,
}

impl Past {
    /// Returns a past without records so far. `is_whole` says that none was deleted before those
    /// that will be added.
    #[must_use]
    pub const fn new(is_whole: bool) -> Self {
        Self {
            mentions: Vec::new(),
            is_whole,
        }
    }

    /// Adds records that follow those that were added before.
    pub fn add(&mut self, records: &[Record<Registration>]) {
        let mentions = records.iter().map(|record| Mention {
            endpoint: id::from_name(&record.key),
            entry: match &record.value {
                Value::Set(one) => Entry::Set(one.endpoint.service, one.build_id()),
                Value::Removed => Entry::Removed,
                Value::Unreadable(_) => Entry::Unreadable,
            },
        });
        self.mentions.extend(mentions);
    }

    /// Returns whether no record was deleted before these.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.mentions.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.mentions.is_empty()
    }

    /// Returns the builds that the records name, and how long before the last record each was
    /// last mentioned, at least, if endpoints renew their entries at this interval.
    #[must_use]
    pub fn builds(&self, heartbeat: Duration) -> BTreeMap<(ServiceId, BuildId), Duration> {
        let mut of_endpoint = BTreeMap::new();
        let mut last = BTreeMap::new();
        for (index, one) in self.mentions.iter().enumerate() {
            let before = of_endpoint.get(&one.endpoint).copied();
            let build = match one.entry {
                Entry::Set(service, build) => Some((service, build)),
                Entry::Unreadable | Entry::Removed => None,
            };
            if let Some(build) = build {
                of_endpoint.insert(one.endpoint, build);
            }
            // The build that an endpoint had until now served until now.
            last.extend(before.into_iter().chain(build).map(|build| (build, index)));
        }
        let age = |index: usize| min_time(&self.mentions[index + 1..], heartbeat);
        last.into_iter()
            .map(|(build, index)| (build, age(index)))
            .collect()
    }

    /// Returns how long before the last record all builds are known, at least, if endpoints
    /// renew their entries at this interval.
    #[must_use]
    pub fn reach(&self, heartbeat: Duration) -> Duration {
        if self.is_whole {
            return Duration::MAX;
        }
        min_time(&self.mentions[self.first_known()..], heartbeat)
    }

    // Returns the index of the first record from which on the build of every endpoint is known.
    // An endpoint that is removed without having been mentioned was of an unknown one.
    fn first_known(&self) -> usize {
        let mut mentioned = BTreeSet::new();
        let mut first = 0;
        for (index, one) in self.mentions.iter().enumerate() {
            let is_new = mentioned.insert(one.endpoint);
            if is_new && one.entry == Entry::Removed {
                first = index + 1;
            }
        }
        first
    }
}

// Returns the time between the first and the last of some records, at least.
fn min_time(mentions: &[Mention], heartbeat: Duration) -> Duration {
    let mut counts = counts_of_first_measured(mentions);
    counts.sort_unstable();
    let median = counts.get(counts.len().saturating_sub(1) / 2);
    let intervals = median.map_or(0, |count| count.saturating_sub(1));
    heartbeat.mul_f64(MIN_INTERVAL_FRACTION) * intervals
}

// Returns how many records each of the first endpoints has, of those that are there to the end.
fn counts_of_first_measured(mentions: &[Mention]) -> Vec<u32> {
    let last: BTreeMap<u64, Entry> = mentions
        .iter()
        .map(|one| (one.endpoint, one.entry))
        .collect();
    let is_left = |one: &&Mention| matches!(last.get(&one.endpoint), Some(Entry::Set(..)));
    let is_set = |one: &&Mention| matches!(one.entry, Entry::Set(..));
    let mut counts: Vec<(u64, u32)> = Vec::new();
    for one in mentions.iter().filter(is_set).filter(is_left) {
        let index = counts
            .iter()
            .position(|(endpoint, _)| *endpoint == one.endpoint);
        match index {
            Some(index) => counts[index].1 += 1,
            None if counts.len() < MEASURED_ENDPOINTS => counts.push((one.endpoint, 1)),
            None => {}
        }
    }
    counts.into_iter().map(|(_, count)| count).collect()
}

#[cfg(test)]
mod tests;

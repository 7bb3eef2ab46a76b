//! Tracks which endpoints hold prompt prefixes in memory.
//!
//! Reading a shared prefix again keeps an engine as busy as a hundred tokens of output;
//! fetching it from another engine takes a tenth of that time. So each request names an
//! endpoint that is believed to hold most of its prefix.
//!
//! Holders are learned from this instance's own requests and from other instances. They
//! are hints only: an endpoint may have dropped a prefix since, and then it is read as if
//! there were no holder.
//!
//! State is bounded: a few holders of a prefix suffice as sources, so only those are
//! retained and sent to others, and only recently used prefixes are retained.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, PrefixId};
use serde::{Deserialize, Serialize};

use crate::dialect::Prefix;

/// The maximum number of holders retained for a prefix. One would do; the others replace
/// it when it leaves, and share the fetches of a prefix in sudden demand.
const MAX_HOLDERS_PER_PREFIX: usize = 4;

/// The maximum number of prefixes retained, at about 250 bytes each. An instance of the
/// largest fleet gets some fifty prompts a second, so this covers minutes.
const MAX_PREFIXES: usize = 20_000;

/// How long an endpoint counts as a holder after it last used the prefix. Reading at full
/// speed, an engine replaces its memory within ten seconds; under an ordinary load that
/// takes minutes.
const HOLDER_LIFETIME: Duration = Duration::from_mins(1);

/// The minimum time before the same holder is sent to other instances again.
const RESEND_INTERVAL: Duration = Duration::from_secs(20);

/// The maximum number of holders in one message, at about 20 bytes each.
pub const MAX_HOLDERS_PER_MESSAGE: usize = 512;

/// The maximum number of holders waiting to be sent. Beyond it the oldest are dropped:
/// the receivers rank endpoints and find most holders by that.
const MAX_UNSENT: usize = 2_048;

/// An endpoint that holds a prefix, as instances send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHolder {
    /// The prefix.
    #[serde(rename = "span")]
    pub prefix: PrefixId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time since the endpoint was last seen to use the prefix.
    pub age: Duration,
}

impl PrefixHolder {
    /// Returns the holder as it is after `time` has passed.
    #[must_use]
    pub fn aged(self, time: Duration) -> Self {
        Self {
            age: self.age + time,
            ..self
        }
    }
}

/// An endpoint that a prefix can be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The length of the prefix that it is believed to hold.
    pub tokens: u32,
}

/// The known holders of prefixes.
#[derive(Debug, Default)]
pub struct Directory {
    prefixes: BTreeMap<PrefixId, Vec<HolderEntry>>,
    // Holders that have not been sent to other instances yet.
    unsent: Vec<(PrefixId, EndpointId, Moment)>,
}

#[derive(Clone, Copy, Debug)]
struct HolderEntry {
    endpoint: EndpointId,
    used: Moment,
    sent_at: Moment,
}

impl Directory {
    /// Records that an endpoint started to respond to a request with these prefixes and
    /// therefore holds them.
    pub fn record_read(&mut self, endpoint: EndpointId, prefixes: &[Prefix], now: Moment) {
        for prefix in prefixes {
            if self.record_holder(prefix.id, endpoint, now) {
                self.queue_unsent(prefix.id, endpoint, now);
            }
        }
    }

    /// Applies a holder that another instance sent at `sent_at`; returns whether it
    /// should be forwarded.
    pub fn apply_remote(&mut self, holder: &PrefixHolder, sent_at: Moment) -> bool {
        let used = since(sent_at, holder.age);
        self.record_holder(holder.prefix, holder.endpoint, used)
    }

    /// Applies a holder from another instance and queues it to be sent with the local
    /// ones.
    pub fn apply_and_forward(&mut self, holder: &PrefixHolder, sent_at: Moment) {
        if self.apply_remote(holder, sent_at) {
            self.queue_unsent(holder.prefix, holder.endpoint, since(sent_at, holder.age));
        }
    }

    /// Returns the holders to send next, at most one message's worth.
    pub fn take_unsent(&mut self, now: Moment) -> Vec<PrefixHolder> {
        let count = self.unsent.len().min(MAX_HOLDERS_PER_MESSAGE);
        self.unsent
            .drain(..count)
            .map(|(prefix, endpoint, used)| PrefixHolder {
                prefix,
                endpoint,
                age: since(now, used),
            })
            .collect()
    }

    /// Returns whether an endpoint is believed to hold a prefix.
    #[must_use]
    pub fn holds(&self, prefix: PrefixId, endpoint: EndpointId, now: Moment) -> bool {
        let holders = self.prefixes.get(&prefix).map_or(&[][..], Vec::as_slice);
        holders
            .iter()
            .any(|one| one.endpoint == endpoint && since(now, one.used) < HOLDER_LIFETIME)
    }

    /// Returns the source of the longest of these prefixes that has one; they are ordered
    /// from the shortest. `usable` says whether an endpoint may be a source; `draw`
    /// selects one of several.
    #[must_use]
    pub fn source(
        &self,
        prefixes: &[Prefix],
        usable: impl Fn(EndpointId) -> bool,
        draw: u64,
        now: Moment,
    ) -> Option<Source> {
        prefixes.iter().rev().find_map(|prefix| {
            self.prefixes
                .get(&prefix.id)?
                .iter()
                .filter(|holder| {
                    since(now, holder.used) < HOLDER_LIFETIME && usable(holder.endpoint)
                })
                .max_by_key(|holder| hash::score(draw, holder.endpoint))
                .map(|holder| Source {
                    endpoint: holder.endpoint,
                    tokens: prefix.tokens,
                })
        })
    }

    /// Returns the number of prefixes with a known holder.
    #[must_use]
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns whether no holder is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    // Records a holder; returns whether it should be sent to other instances.
    fn record_holder(&mut self, prefix: PrefixId, endpoint: EndpointId, used: Moment) -> bool {
        if !self.prefixes.contains_key(&prefix) {
            self.evict();
        }
        let holders = self.prefixes.entry(prefix).or_default();
        if let Some(holder) = holders.iter_mut().find(|one| one.endpoint == endpoint) {
            holder.used = holder.used.max(used);
            let resend = since(used, holder.sent_at) >= RESEND_INTERVAL;
            if resend {
                holder.sent_at = used;
            }
            return resend;
        }
        let holder = HolderEntry {
            endpoint,
            used,
            sent_at: used,
        };
        if holders.len() < MAX_HOLDERS_PER_PREFIX {
            holders.push(holder);
            return true;
        }
        // A holder that has left or dropped the prefix is no longer used.
        let oldest = holders.iter_mut().min_by_key(|one| one.used);
        let unused = oldest.filter(|one| since(used, one.used) >= RESEND_INTERVAL);
        unused.is_some_and(|unused| {
            *unused = holder;
            true
        })
    }

    fn queue_unsent(&mut self, prefix: PrefixId, endpoint: EndpointId, used: Moment) {
        if self.unsent.len() >= MAX_UNSENT {
            self.unsent.drain(..MAX_HOLDERS_PER_MESSAGE);
        }
        self.unsent.push((prefix, endpoint, used));
    }

    // Over capacity, drops the half of the prefixes that was least recently used. This
    // takes time proportional to the size, but happens only once in as many insertions.
    fn evict(&mut self) {
        if self.prefixes.len() < MAX_PREFIXES {
            return;
        }
        let used = |holders: &Vec<HolderEntry>| holders.iter().map(|one| one.used).max();
        let mut last_used: Vec<Option<Moment>> = self.prefixes.values().map(used).collect();
        let (_, median, _) = last_used.select_nth_unstable(MAX_PREFIXES / 2);
        let median = *median;
        self.prefixes.retain(|_, holders| used(holders) > median);
    }
}

#[cfg(test)]
mod tests;

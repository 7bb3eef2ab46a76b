//! Which endpoints hold the beginnings of prompts in their memory.
//!
//! An engine that has to read a shared beginning anew is busy with it for as
//! long as with a hundred tokens of answers, although another one holds it; it
//! can fetch it from that one in a tenth of the time. So each request names an
//! endpoint that is believed to hold most of its beginning.
//!
//! What is known comes from own requests that were answered, and from what
//! other instances tell of theirs. It is a hint only: an endpoint may have
//! dropped the beginning since, and then it is read as if nobody held it.
//!
//! State is bounded: a few holders of each beginning suffice as sources, so no
//! more are kept or told, and of the beginnings those asked for lately.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::{EndpointId, SpanId};
use serde::{Deserialize, Serialize};

use crate::dialect::Prefix;

/// Holders that are kept of a beginning. One would do; the others are there
/// when it leaves, and share the fetches of a beginning in sudden demand.
const MAX_HOLDERS_PER_PREFIX: usize = 4;

/// Beginnings that are kept, about 250 bytes each. An instance of the largest
/// fleet takes some fifty prompts a second, so these are those of minutes.
const MAX_PREFIXES: usize = 20_000;

/// For how long an endpoint counts as a holder without having been seen to use
/// the beginning again. Reading at full speed, an engine fills its memory anew
/// within ten seconds; under an ordinary load it takes minutes.
const HOLDER_LIFETIME: Duration = Duration::from_mins(1);

/// How long after it was told a holder is told again, if it still is one.
const RESEND_INTERVAL: Duration = Duration::from_secs(20);

/// Holdings that are told at once, about 20 bytes each.
pub const MAX_HOLDERS_PER_MESSAGE: usize = 512;

/// Holdings that wait to be told. Over that the oldest are left out: those who
/// ask rank endpoints and find most holders by that.
const MAX_UNSENT: usize = 2_048;

/// An endpoint that holds a beginning, as one instance tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixHolder {
    /// The beginning.
    pub span: SpanId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How long ago it was last seen to use it.
    pub age: Duration,
}

impl PrefixHolder {
    /// Returns what it is when so much time has passed.
    #[must_use]
    pub fn aged(self, time: Duration) -> Self {
        Self {
            age: self.age + time,
            ..self
        }
    }
}

/// Where a beginning can be fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The tokens that it is believed to hold.
    pub tokens: u32,
}

/// What is known of holders.
#[derive(Debug, Default)]
pub struct Directory {
    spans: BTreeMap<SpanId, Vec<Holder>>,
    // What is new here and not passed on yet.
    unsent: Vec<(SpanId, EndpointId, Moment)>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    endpoint: EndpointId,
    used: Moment,
    told: Moment,
}

impl Directory {
    /// Takes in that an endpoint began to answer a request with these
    /// beginnings, so that it holds them.
    pub fn record_read(&mut self, endpoint: EndpointId, spans: &[Prefix], now: Moment) {
        for span in spans {
            if self.note(span.id, endpoint, now) {
                self.tell(span.id, endpoint, now);
            }
        }
    }

    /// Takes in what another instance told at `then`; returns whether it is
    /// worth being passed on.
    pub fn apply_remote(&mut self, holding: &PrefixHolder, then: Moment) -> bool {
        let used = since(then, holding.age);
        self.note(holding.span, holding.endpoint, used)
    }

    /// Takes in what another instance told, to be passed on with what is new
    /// here.
    pub fn apply_and_forward(&mut self, holding: &PrefixHolder, then: Moment) {
        if self.apply_remote(holding, then) {
            self.tell(holding.span, holding.endpoint, since(then, holding.age));
        }
    }

    /// Returns what is new since this was last asked, a message's worth of it.
    pub fn take_unsent(&mut self, now: Moment) -> Vec<PrefixHolder> {
        let count = self.unsent.len().min(MAX_HOLDERS_PER_MESSAGE);
        self.unsent
            .drain(..count)
            .map(|(span, endpoint, used)| PrefixHolder {
                span,
                endpoint,
                age: since(now, used),
            })
            .collect()
    }

    /// Returns whether an endpoint is believed to hold a beginning.
    #[must_use]
    pub fn holds(&self, span: SpanId, endpoint: EndpointId, now: Moment) -> bool {
        let holders = self.spans.get(&span).map_or(&[][..], Vec::as_slice);
        holders
            .iter()
            .any(|one| one.endpoint == endpoint && since(now, one.used) < HOLDER_LIFETIME)
    }

    /// Returns where to fetch the longest of these beginnings from, the
    /// shortest of which comes first. `usable` says whether an endpoint may be
    /// asked; `draw` decides among several.
    #[must_use]
    pub fn source(
        &self,
        spans: &[Prefix],
        usable: impl Fn(EndpointId) -> bool,
        draw: u64,
        now: Moment,
    ) -> Option<Source> {
        spans.iter().rev().find_map(|span| {
            self.spans
                .get(&span.id)?
                .iter()
                .filter(|holder| {
                    since(now, holder.used) < HOLDER_LIFETIME && usable(holder.endpoint)
                })
                .max_by_key(|holder| hash::score(draw, holder.endpoint))
                .map(|holder| Source {
                    endpoint: holder.endpoint,
                    tokens: span.tokens,
                })
        })
    }

    /// Returns how many beginnings have a known holder.
    #[must_use]
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    /// Returns whether no holder is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    // Notes a holder; returns whether others are to be told of it.
    fn note(&mut self, span: SpanId, endpoint: EndpointId, used: Moment) -> bool {
        if !self.spans.contains_key(&span) {
            self.shed();
        }
        let holders = self.spans.entry(span).or_default();
        if let Some(holder) = holders.iter_mut().find(|one| one.endpoint == endpoint) {
            holder.used = holder.used.max(used);
            let due = since(used, holder.told) >= RESEND_INTERVAL;
            if due {
                holder.told = used;
            }
            return due;
        }
        let holder = Holder {
            endpoint,
            used,
            told: used,
        };
        if holders.len() < MAX_HOLDERS_PER_PREFIX {
            holders.push(holder);
            return true;
        }
        // One that is gone, or has dropped it, is not used any more.
        let oldest = holders.iter_mut().min_by_key(|one| one.used);
        let idle = oldest.filter(|one| since(used, one.used) >= RESEND_INTERVAL);
        idle.is_some_and(|idle| {
            *idle = holder;
            true
        })
    }

    fn tell(&mut self, span: SpanId, endpoint: EndpointId, used: Moment) {
        if self.unsent.len() >= MAX_UNSENT {
            self.unsent.drain(..MAX_HOLDERS_PER_MESSAGE);
        }
        self.unsent.push((span, endpoint, used));
    }

    // Over its capacity the half goes that was not asked for longest. That
    // takes time in proportion to its size, but only once in as many notes.
    fn shed(&mut self) {
        if self.spans.len() < MAX_PREFIXES {
            return;
        }
        let used = |holders: &Vec<Holder>| holders.iter().map(|one| one.used).max();
        let mut times: Vec<Option<Moment>> = self.spans.values().map(used).collect();
        let (_, middle, _) = times.select_nth_unstable(MAX_PREFIXES / 2);
        let middle = *middle;
        self.spans.retain(|_, holders| used(holders) > middle);
    }
}

#[cfg(test)]
mod tests;

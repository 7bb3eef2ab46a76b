//! Encoded endpoint changes, kept for the next instances that ask for the same ones.
//!
//! Instances that start together, or that follow the same instance, ask for the same
//! changes within a moment. Each part of them is encoded once, so the cost of a change
//! doesn't grow with the number of instances that have to learn of it.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::clock::{Moment, since};

/// How long an encoded part with an endpoint that is warming up is used. By as much such
/// an endpoint may count as warming up for too long.
const WARMING_PART_LIFETIME: Duration = Duration::from_millis(100);

/// How long any part is kept: about as long as a thousand instances take to receive a list.
const PART_LIFETIME: Duration = Duration::from_secs(5);

/// The changes after a revision, encoded.
#[derive(Clone, Debug)]
pub(super) struct Part {
    /// The revision up to which changes are included.
    pub(super) revision: u64,
    /// Whether later changes are left out.
    pub(super) more: bool,
    /// Whether an endpoint in it is warming up.
    pub(super) warming: bool,
    /// When it was encoded.
    pub(super) encoded_at: Moment,
    /// The encoded changes; empty if there are none.
    pub(super) bytes: Bytes,
}

/// Encoded parts by the revision that they follow.
#[derive(Debug, Default)]
pub(super) struct Parts {
    parts: BTreeMap<u64, Part>,
}

impl Parts {
    /// Returns no parts.
    pub(super) const fn new() -> Self {
        Self {
            parts: BTreeMap::new(),
        }
    }

    /// Returns the part after a revision.
    pub(super) fn get(&self, after: u64, now: Moment) -> Option<&Part> {
        let part = self.parts.get(&after)?;
        let age = since(now, part.encoded_at);
        (!part.warming || age < WARMING_PART_LIFETIME).then_some(part)
    }

    /// Keeps the part after a revision.
    pub(super) fn insert(&mut self, after: u64, part: Part) {
        let now = part.encoded_at;
        self.parts
            .retain(|_, part| since(now, part.encoded_at) < PART_LIFETIME);
        self.parts.insert(after, part);
    }

    /// Drops what an entry invalidates that changes now and changed last at `before`: the
    /// parts that include it, and those that end with the latest change.
    pub(super) fn record_change(&mut self, before: Option<u64>) {
        let includes = |after: u64, part: &Part| {
            before.is_some_and(|before| after < before && before <= part.revision)
        };
        self.parts
            .retain(|after, part| part.more && !includes(*after, part));
    }
}

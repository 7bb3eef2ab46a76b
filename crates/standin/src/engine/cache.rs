//! The prefix cache: token counts by prefix, evicted least recently used first.

use std::collections::{BTreeMap, VecDeque};

use godwitpost_types::clock::Moment;
use serde::Serialize;

/// Events retained for readers.
const MAX_EVENTS: usize = 10_000;

/// A change of the cache, as published by engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Event {
    pub(super) offset: u64,
    pub(super) kind: Kind,
    pub(super) prefix: String,
    pub(super) tokens: u32,
    #[serde(skip)]
    pub(super) at: Moment,
}

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Kind {
    Stored,
    Evicted,
}

#[derive(Debug)]
struct Entry {
    tokens: u32,
    last_use: u64,
}

/// The cache and the events of its changes.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: u32,
    size: u32,
    use_count: u64,
    entries: BTreeMap<String, Entry>,
    by_use: BTreeMap<u64, String>,
    events: VecDeque<Event>,
    next_event: u64,
}

impl Cache {
    pub(super) const fn new(capacity: u32) -> Self {
        Self {
            capacity,
            size: 0,
            use_count: 0,
            entries: BTreeMap::new(),
            by_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// Returns the tokens cached for a prefix and marks it as used.
    pub(super) fn tokens(&mut self, prefix: &str) -> Option<u32> {
        let entry = self.entries.get_mut(prefix)?;
        self.by_use.remove(&entry.last_use);
        self.use_count += 1;
        entry.last_use = self.use_count;
        self.by_use.insert(self.use_count, prefix.to_owned());
        Some(entry.tokens)
    }

    /// Caches tokens for a prefix and evicts what no longer fits. `published`
    /// decides for each event whether it is published.
    pub(super) fn store(
        &mut self,
        prefix: &str,
        tokens: u32,
        now: Moment,
        mut published: impl FnMut() -> bool,
    ) {
        let tokens = tokens.min(self.capacity);
        self.remove(prefix);
        while self.size + tokens > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            let evicted = self.remove(&oldest);
            self.publish(Kind::Evicted, &oldest, evicted, now, published());
        }
        self.use_count += 1;
        let last_use = self.use_count;
        self.entries
            .insert(prefix.to_owned(), Entry { tokens, last_use });
        self.by_use.insert(last_use, prefix.to_owned());
        self.size += tokens;
        self.publish(Kind::Stored, prefix, tokens, now, published());
    }

    /// Returns the first retained offset, the next to read from, and the events
    /// from an offset on that happened no later than `until`.
    pub(super) fn events(&self, from: u64, until: Moment) -> (u64, u64, Vec<Event>) {
        let first = self.events.front().map_or(self.next_event, |e| e.offset);
        let events: Vec<_> = self
            .events
            .iter()
            .skip_while(|event| event.offset < from)
            .take_while(|event| event.at <= until)
            .cloned()
            .collect();
        let next = events.last().map_or(from, |event| event.offset + 1);
        (first, next, events)
    }

    fn remove(&mut self, prefix: &str) -> u32 {
        let Some(entry) = self.entries.remove(prefix) else {
            return 0;
        };
        self.by_use.remove(&entry.last_use);
        self.size -= entry.tokens;
        entry.tokens
    }

    // An unpublished event still use_count an offset, so readers see a gap.
    fn publish(&mut self, kind: Kind, prefix: &str, tokens: u32, at: Moment, published: bool) {
        let offset = self.next_event;
        self.next_event += 1;
        if !published {
            return;
        }
        self.events.push_back(Event {
            offset,
            kind,
            prefix: prefix.to_owned(),
            tokens,
            at,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

//! Where chats have their context cached: a bounded table from chat to
//! endpoint.
//!
//! Rendezvous hashing gives a chat's home endpoint. This table records the
//! chats whose context is cached elsewhere, and how much of it is cached at
//! the home endpoint. It is kept by the owner of the home endpoint, handed
//! over on a graceful stop, and rebuilt from the engines' cache events after a
//! crash. An entry is only a hint: a wrong one costs a prefill but never gives
//! a wrong answer.

use std::num::NonZeroUsize;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{ChatId, EndpointId, Incarnation};
use lru::LruCache;
use serde::{Deserialize, Serialize};

use crate::view::Pool;

/// Maximum number of chats that one instance records.
///
/// The target deployment has 5.5 M chats over 320 instances, which is
/// 17,200 per instance; twice that leaves room for uneven shares. An entry
/// takes about 120 bytes with its index, so a full table takes about 4 MB of
/// the 64 MB allowed for control.
pub const MAX_CHATS: NonZeroUsize = NonZeroUsize::new(34_400).unwrap();

/// Where a chat's context is cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// The chat.
    pub chat: ChatId,
    /// The pool that its requests ask for.
    pub pool: Pool,
    /// The endpoint that last ran it.
    pub endpoint: EndpointId,
    /// The endpoint's incarnation; a restart empties its cache.
    pub incarnation: Incarnation,
    /// Prompt tokens estimated to be cached there.
    pub tokens: u32,
    /// When the endpoint last ran it.
    pub seen: Moment,
}

/// A cache event that an engine reports for a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The chat whose prefix is concerned.
    pub chat: ChatId,
    /// The pool of the engine's model.
    pub pool: Pool,
    /// Whether the prefix was stored or evicted.
    pub kind: Kind,
    /// Number of tokens concerned.
    pub tokens: u32,
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// When it happened, by the engine's clock.
    pub at: Moment,
}

/// The kinds of cache events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The prefix is now cached.
    Stored,
    /// The prefix is no longer cached.
    Evicted,
}

/// A bounded table of chat locations that evicts the least recently used.
#[derive(Debug)]
pub struct Table {
    locations: LruCache<(Pool, ChatId), Location>,
}

impl Default for Table {
    fn default() -> Self {
        Self::new(MAX_CHATS)
    }
}

impl Table {
    /// Returns an empty table for `capacity` chats.
    #[must_use]
    pub fn new(capacity: NonZeroUsize) -> Self {
        Self {
            locations: LruCache::sparse(capacity),
        }
    }

    /// Returns the number of chats in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns a chat's location and marks it as used.
    pub fn get(&mut self, pool: Pool, chat: ChatId) -> Option<Location> {
        self.locations.get(&(pool, chat)).copied()
    }

    /// Records a location unless a later one is known.
    pub fn insert(&mut self, location: Location) {
        let key = (location.pool, location.chat);
        let newer = self
            .locations
            .peek(&key)
            .is_none_or(|l| l.seen <= location.seen);
        if newer {
            self.locations.put(key, location);
        }
    }

    /// Removes a location that proved wrong.
    pub fn remove(&mut self, pool: Pool, chat: ChatId) {
        self.locations.pop(&(pool, chat));
    }

    /// Applies an engine's cache event, which may be late.
    ///
    /// A late "stored" must not undo what has happened since. It only adds a
    /// missing location or corrects the token estimate at the same endpoint.
    /// An "evicted" counts only if the chat has not run there since.
    pub fn apply_event(&mut self, endpoint: EndpointId, event: &Event) {
        let key = (event.pool, event.chat);
        match (event.kind, self.locations.peek_mut(&key)) {
            (Kind::Stored, None) => self.insert(Location {
                chat: event.chat,
                pool: event.pool,
                endpoint,
                incarnation: event.incarnation,
                tokens: event.tokens,
                seen: event.at,
            }),
            (Kind::Stored, Some(location))
                if location.endpoint == endpoint && location.seen <= event.at =>
            {
                location.tokens = event.tokens;
            }
            (Kind::Evicted, Some(location))
                if location.endpoint == endpoint && location.seen <= event.at =>
            {
                location.tokens = 0;
            }
            _ => {}
        }
    }

    /// Returns a chat's location without marking it as used.
    #[must_use]
    pub fn peek(&self, pool: Pool, chat: ChatId) -> Option<&Location> {
        self.locations.peek(&(pool, chat))
    }

    /// Returns all locations, the most recently used first.
    pub fn iter(&self) -> impl Iterator<Item = &Location> {
        self.locations.iter().map(|(_, location)| location)
    }
}

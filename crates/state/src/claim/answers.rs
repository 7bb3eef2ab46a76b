//! Finished responses, cached for callers that resend their key.
//!
//! The dispatcher caches them because no other instance saw the complete
//! response. The cache is bounded by bytes and by age. After an eviction a
//! caller no longer gets the response replayed, but the request still cannot
//! run twice: the claim in the log says that it ran.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, KeyDigest};

/// Responses by key; the oldest is evicted first.
#[derive(Debug)]
pub struct ResponseCache<R> {
    max_bytes: usize,
    max_age: Duration,
    bytes: usize,
    entries: BTreeMap<KeyDigest, Entry<R>>,
    insertion_order: VecDeque<KeyDigest>,
}

#[derive(Debug)]
struct Entry<R> {
    body: BodyDigest,
    inserted_at: Moment,
    size: usize,
    response: R,
}

/// The result of looking up a key.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup<'a, R> {
    /// The response of the request that ran.
    Hit(&'a R),
    /// A response exists under the same key, but for another body.
    OtherBody,
    /// No response is cached for the key.
    Miss,
}

impl<R> ResponseCache<R> {
    /// Returns an empty cache limited to `max_bytes` and to responses younger
    /// than `max_age`.
    #[must_use]
    pub const fn new(max_bytes: usize, max_age: Duration) -> Self {
        Self {
            max_bytes,
            max_age,
            bytes: 0,
            entries: BTreeMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Inserts a response of `size` bytes, evicting older ones to make room.
    ///
    /// A response larger than the cache, or a second one for a key, is not
    /// inserted.
    pub fn insert(
        &mut self,
        now: Moment,
        key: KeyDigest,
        body: BodyDigest,
        response: R,
        size: usize,
    ) {
        self.evict_expired(now);
        if size > self.max_bytes || self.entries.contains_key(&key) {
            return;
        }
        while self.bytes + size > self.max_bytes {
            self.evict_oldest();
        }
        self.bytes += size;
        self.insertion_order.push_back(key);
        let entry = Entry {
            body,
            inserted_at: now,
            size,
            response,
        };
        self.entries.insert(key, entry);
    }

    /// Looks up the response to a key that was sent with `body`.
    pub fn get(&mut self, now: Moment, key: &KeyDigest, body: &BodyDigest) -> Lookup<'_, R> {
        self.evict_expired(now);
        match self.entries.get(key) {
            None => Lookup::Miss,
            Some(entry) if entry.body != *body => Lookup::OtherBody,
            Some(entry) => Lookup::Hit(&entry.response),
        }
    }

    /// Returns the total of the sizes that were passed to
    /// [`ResponseCache::insert`].
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict_expired(&mut self, now: Moment) {
        while let Some(key) = self.insertion_order.front() {
            if self.entries[key].inserted_at + self.max_age > now {
                break;
            }
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some(key) = self.insertion_order.pop_front() {
            let entry = self.entries.remove(&key);
            self.bytes -= entry.map_or(0, |entry| entry.size);
        }
    }
}

#[cfg(test)]
mod tests;

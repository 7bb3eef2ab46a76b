//! Finished answers, held for callers that send their key again.
//!
//! The dispatcher holds them, because it alone saw the answer whole. The
//! memory is bounded by bytes and by time; what is dropped costs a caller the
//! replay, not the promise: the claim in the log still says that it ran.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, KeyDigest};

/// Answers by key, the oldest dropped first.
#[derive(Debug)]
pub struct ResponseCache<A> {
    most_bytes: usize,
    longest: Duration,
    bytes: usize,
    held: BTreeMap<KeyDigest, Held<A>>,
    order: VecDeque<KeyDigest>,
}

#[derive(Debug)]
struct Held<A> {
    body: BodyDigest,
    since: Moment,
    size: usize,
    answer: A,
}

/// What is held for a key.
#[derive(Debug, PartialEq, Eq)]
pub enum Lookup<'a, A> {
    /// The answer of the request that ran.
    Hit(&'a A),
    /// An answer to another body under the same key.
    OtherBody,
    /// Nothing.
    Miss,
}

impl<A> ResponseCache<A> {
    /// Returns an empty store that keeps `most_bytes` for `longest` at most.
    #[must_use]
    pub const fn new(most_bytes: usize, longest: Duration) -> Self {
        Self {
            most_bytes,
            longest,
            bytes: 0,
            held: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Holds an answer of `size` bytes, dropping older ones to make room.
    ///
    /// An answer larger than the whole store, or a second one for a key, is
    /// not held.
    pub fn insert(
        &mut self,
        now: Moment,
        key: KeyDigest,
        body: BodyDigest,
        answer: A,
        size: usize,
    ) {
        self.expire(now);
        if size > self.most_bytes || self.held.contains_key(&key) {
            return;
        }
        while self.bytes + size > self.most_bytes {
            self.drop_oldest();
        }
        self.bytes += size;
        self.order.push_back(key);
        let held = Held {
            body,
            since: now,
            size,
            answer,
        };
        self.held.insert(key, held);
    }

    /// Returns what is held for a key that came with `body`.
    pub fn get(&mut self, now: Moment, key: &KeyDigest, body: &BodyDigest) -> Lookup<'_, A> {
        self.expire(now);
        match self.held.get(key) {
            None => Lookup::Miss,
            Some(held) if held.body != *body => Lookup::OtherBody,
            Some(held) => Lookup::Hit(&held.answer),
        }
    }

    /// Returns the bytes held, as their sizes were given.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn expire(&mut self, now: Moment) {
        while let Some(key) = self.order.front() {
            if self.held[key].since + self.longest > now {
                break;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(key) = self.order.pop_front() {
            let held = self.held.remove(&key);
            self.bytes -= held.map_or(0, |held| held.size);
        }
    }
}

#[cfg(test)]
mod tests;

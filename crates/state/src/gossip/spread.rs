//! News to pass on, each item a limited number of times.
//!
//! Items told least often go first, so a burst of news can't starve the last
//! of it, and an item is dropped once it was told often enough to have reached
//! everyone with near certainty.

use std::collections::VecDeque;

/// A bounded queue of items to tell peers.
#[derive(Clone, Debug)]
pub struct SendQueue<T> {
    capacity: usize,
    items: VecDeque<(u32, T)>,
}

impl<T: Copy + PartialEq> SendQueue<T> {
    /// Returns an empty queue of at most `capacity` items.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            items: VecDeque::new(),
        }
    }

    /// Adds an item, unless it is held; the item told most often makes room.
    pub fn push(&mut self, item: T) {
        if self.items.iter().any(|(_, queued)| *queued == item) {
            return;
        }
        self.items.push_front((0, item));
        self.items.truncate(self.capacity);
    }

    /// Removes the items that a newer one makes worthless.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.items.retain(|(_, item)| keep(item));
    }

    /// Returns up to `most` items to tell now and counts them as told; each is
    /// dropped once told `times` times.
    pub fn take_batch(&mut self, max_items: usize, max_sends: u32) -> Vec<T> {
        let count = max_items.min(self.items.len());
        let sent: Vec<(u32, T)> = self.items.drain(..count).collect();
        for &(sends, item) in &sent {
            if sends + 1 < max_sends {
                self.insert(sends + 1, item);
            }
        }
        sent.into_iter().map(|(_, item)| item).collect()
    }

    /// Returns the number of items held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether nothing is to be told.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    // Keeps the queue ordered by how often items were told.
    fn insert(&mut self, sends: u32, item: T) {
        let at = self.items.partition_point(|(count, _)| *count <= sends);
        self.items.insert(at, (sends, item));
    }
}

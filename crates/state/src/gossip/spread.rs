//! A queue of updates to propagate, each sent a limited number of times.
//!
//! The items sent least often go first, so no item of a burst is starved. An
//! item is dropped once it has been sent often enough to have reached all
//! instances with near certainty.

use std::collections::VecDeque;

/// A bounded queue of items to send to peers.
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

    /// Adds an item unless it is queued already. A full queue drops the item
    /// that was sent most often.
    pub fn push(&mut self, item: T) {
        if self.items.iter().any(|(_, queued)| *queued == item) {
            return;
        }
        self.items.push_front((0, item));
        self.items.truncate(self.capacity);
    }

    /// Keeps only the items for which `keep` returns true, to remove those that
    /// a newer item supersedes.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.items.retain(|(_, item)| keep(item));
    }

    /// Returns up to `max_items` items to send now and counts them as sent. An
    /// item is dropped once it has been sent `max_sends` times.
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

    /// Returns the number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no items are queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    // Keeps the queue ordered by how often items were sent.
    fn insert(&mut self, sends: u32, item: T) {
        let at = self
            .items
            .partition_point(|(queued_sends, _)| *queued_sends <= sends);
        self.items.insert(at, (sends, item));
    }
}

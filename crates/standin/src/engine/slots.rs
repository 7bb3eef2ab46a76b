//! Slots for running requests, given to waiters by priority, then in order of arrival.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::faults::lock;

/// The slots of one engine.
#[derive(Clone, Debug)]
pub(super) struct Slots {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    free: usize,
    sequence: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
}

/// An occupied slot, released on drop.
#[derive(Debug)]
pub(super) struct Permit {
    slots: Option<Slots>,
}

impl Slots {
    pub(super) fn new(free: usize) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                free,
                sequence: 0,
                waiting: BTreeMap::new(),
            })),
        }
    }

    /// Waits for a slot.
    pub(super) async fn acquire(&self, priority: u8) -> Permit {
        let waiter = {
            let mut state = lock(&self.state);
            if state.free > 0 {
                state.free -= 1;
                return self.permit();
            }
            let (sender, waiter) = oneshot::channel();
            state.sequence += 1;
            let position = (priority, state.sequence);
            state.waiting.insert(position, sender);
            waiter
        };
        waiter
            .await
            .expect("a sender is not dropped before it is used")
    }

    fn permit(&self) -> Permit {
        Permit {
            slots: Some(self.clone()),
        }
    }

    fn release(&self) {
        while let Some(sender) = self.pop_waiter() {
            let Err(mut returned) = sender.send(self.permit()) else {
                return;
            };
            // The waiter is gone; its returned permit must not release the slot
            // a second time.
            returned.slots = None;
        }
    }

    // Removes the next waiter; if there is none, marks the slot as free.
    fn pop_waiter(&self) -> Option<oneshot::Sender<Permit>> {
        let mut state = lock(&self.state);
        let next = state.waiting.pop_first();
        if next.is_none() {
            state.free += 1;
        }
        next.map(|(_, sender)| sender)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slots) = self.slots.take() {
            slots.release();
        }
    }
}

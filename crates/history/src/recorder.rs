//! A recorder shared by all threads of a run.
//!
//! An event's number and time are taken under one mutex, so both increase
//! together and the order is total. The lock is held for one push, which is
//! cheap compared with the network calls around it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use godwitpost_types::clock::Moment;

use crate::event::{Event, What};

#[cfg(test)]
mod tests;

/// Records the events of a run; clones append to the same history.
#[derive(Clone)]
pub struct Recorder {
    clock: Arc<dyn Fn() -> Moment + Send + Sync>,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Returns an empty recorder that reads the time from `clock`.
    ///
    /// A test passes its simulated clock; a live run passes the router's clock.
    pub fn new(clock: impl Fn() -> Moment + Send + Sync + 'static) -> Self {
        Self {
            clock: Arc::new(clock),
            events: Arc::default(),
        }
    }

    /// Appends an event with the next number and the current time.
    ///
    /// Record a cause before the action and an effect once it is observed.
    pub fn record(&self, what: What) {
        let mut events = self.lock();
        let order = events.len() as u64;
        let at = (self.clock)();
        events.push(Event { order, at, what });
    }

    /// Returns the events recorded so far, in order.
    #[must_use]
    pub fn events(&self) -> Vec<Event> {
        self.lock().clone()
    }

    /// Returns the number of recorded events.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no event was recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    // A panic of another thread while it held the lock leaves the vector
    // intact and is reported by that thread, so the history stays readable.
    fn lock(&self) -> MutexGuard<'_, Vec<Event>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Recorder")
            .field("events", &self.len())
            .finish_non_exhaustive()
    }
}

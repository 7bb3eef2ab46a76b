//! Faults that can be changed while a stand-in runs.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// The faults of a running stand-in; clones share them.
#[derive(Clone, Debug)]
pub struct Handle<F> {
    shared: Arc<Mutex<F>>,
    random: Arc<Mutex<ChaCha8Rng>>,
}

/// Seeds the random numbers that decide which calls a fault affects.
const FAULT_SEED: u64 = 4;

impl<F: Clone> Handle<F> {
    /// Creates a handle with the given faults.
    #[must_use]
    pub fn new(faults: F) -> Self {
        Self {
            shared: Arc::new(Mutex::new(faults)),
            random: Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(FAULT_SEED))),
        }
    }

    /// Returns the current faults.
    #[must_use]
    pub fn get(&self) -> F {
        lock(&self.shared).clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: F) {
        *lock(&self.shared) = faults;
    }

    /// Changes some of the faults.
    pub fn change(&self, change: impl FnOnce(&mut F)) {
        change(&mut lock(&self.shared));
    }

    /// Decides at random whether a fault of this probability affects a call.
    pub(crate) fn occurs(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.random).random_bool(probability.min(1.0))
    }
}

/// Locks a mutex and ignores poisoning: no holder panics in the middle of a change.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serializes durations as whole milliseconds.
pub(crate) mod millis {
    use std::time::Duration;

    use serde::{Deserialize as _, Deserializer, Serializer};

    pub(crate) fn serialize<S: Serializer>(time: &Duration, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
        u64::deserialize(from).map(Duration::from_millis)
    }
}

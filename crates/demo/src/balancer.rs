//! The platform's balancer as callers meet it: a list of instances that lags.

use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::caller::Target;

/// Spreads calls over the instances that it knows.
#[derive(Debug)]
pub struct Balancer {
    targets: Mutex<Vec<Target>>,
}

impl Balancer {
    /// Makes a balancer that knows some instances.
    #[must_use]
    pub const fn new(targets: Vec<Target>) -> Self {
        Self {
            targets: Mutex::new(targets),
        }
    }

    /// Returns an instance to send a call to, unless all were forgotten.
    pub fn pick(&self, rng: &mut impl Rng) -> Option<Target> {
        self.lock().choose(rng).cloned()
    }

    /// Learns of an instance.
    pub fn learn(&self, target: Target) {
        self.lock().push(target);
    }

    /// Forgets an instance that left.
    pub fn forget(&self, name: &str) {
        self.lock().retain(|target| target.name != name);
    }

    /// Returns the instances that it knows.
    #[must_use]
    pub fn targets(&self) -> Vec<Target> {
        self.lock().clone()
    }

    // Nothing that holds the lock panics half-way through a change.
    fn lock(&self) -> MutexGuard<'_, Vec<Target>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The timer service that parts subscribe to.
//!
//! Parts never sleep by themselves: they subscribe to a period or a moment and
//! get the [`Moment`] at which they are due. A program runs [`Timer::drive`]
//! on the runtime's clock; a test calls [`Timer::advance`] instead, so a part
//! behaves the same with either. The order of what is due lives in [`wheel`],
//! which knows no clock.
//!
//! A subscriber that is slower than its period gets one tick for all it
//! missed: a queue of old ticks would only make it later still.

pub mod wheel;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use tokio::sync::{Notify, watch};

use self::wheel::{Schedule, Wheel};
use crate::clock::Clock;

/// A shared timer; its clones are one timer.
#[derive(Clone, Debug, Default)]
pub struct Timer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    wheel: Mutex<Wheel<watch::Sender<Moment>>>,
    // Wakes the driver when something earlier was subscribed.
    changed: Notify,
}

/// What a part holds to be told when it is due.
///
/// Dropping it ends the subscription at its next tick.
#[derive(Debug)]
pub struct Subscription {
    ticks: watch::Receiver<Moment>,
}

impl Subscription {
    /// Waits until due and returns the moment at which that was noticed.
    ///
    /// Returns `None` when no tick can come any more: the one moment has
    /// passed, or the timer is gone.
    pub async fn next(&mut self) -> Option<Moment> {
        self.ticks.changed().await.ok()?;
        Some(*self.ticks.borrow_and_update())
    }
}

impl Timer {
    /// Makes a timer at a moment, to be driven by one of the two drivers.
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            shared: Arc::new(Shared {
                wheel: Mutex::new(Wheel::new(now)),
                changed: Notify::new(),
            }),
        }
    }

    /// Subscribes to every `period` from now on.
    ///
    /// # Panics
    ///
    /// Panics if the period is zero, which would be due without end.
    #[must_use]
    pub fn every(&self, period: Duration) -> Subscription {
        assert!(!period.is_zero(), "a period must be longer than zero");
        self.subscribe(Schedule::Every(period))
    }

    /// Subscribes to one moment; one that has passed is due at once.
    #[must_use]
    pub fn at(&self, moment: Moment) -> Subscription {
        self.subscribe(Schedule::At(moment))
    }

    /// Moves time on and wakes who is due. Tests drive the timer by this.
    pub fn advance(&self, now: Moment) {
        let mut wheel = self.lock();
        wheel.advance(now, |sender| sender.send(now).is_ok());
    }

    /// Drives the timer by the runtime's clock; it never returns.
    pub async fn drive(self, clock: Clock) {
        loop {
            self.advance(clock.now());
            let next = self.lock().next();
            let changed = self.shared.changed.notified();
            match next {
                Some(next) => {
                    tokio::select! {
                        () = tokio::time::sleep_until(clock.instant(next)) => {}
                        () = changed => {}
                    }
                }
                None => changed.await,
            }
        }
    }

    fn subscribe(&self, schedule: Schedule) -> Subscription {
        let (sender, ticks) = watch::channel(Moment::ZERO);
        self.lock().insert(schedule, sender);
        self.shared.changed.notify_one();
        Subscription { ticks }
    }

    fn lock(&self) -> MutexGuard<'_, Wheel<watch::Sender<Moment>>> {
        // No code that holds the lock can panic half-way through a change.
        self.shared
            .wheel
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

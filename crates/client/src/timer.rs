//! A timer service that components subscribe to.
//!
//! Components never sleep by themselves. They subscribe to a period or a moment
//! and receive the [`Moment`] at which they are due. A program runs
//! [`Timer::drive`] on the clock of the runtime; a test calls
//! [`Timer::advance`] instead, and components behave the same with both. The
//! schedule itself is kept in [`wheel`], which reads no clock.
//!
//! A subscriber that is slower than its period gets a single tick for all
//! missed ones, because a queue of old ticks would delay it further.

pub mod wheel;

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use tokio::sync::{Notify, watch};

use self::wheel::{Key, Schedule, Wheel};
use crate::clock::Clock;

/// A shared timer. Clones refer to the same timer.
#[derive(Clone, Debug, Default)]
pub struct Timer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    wheel: Mutex<Wheel<watch::Sender<Moment>>>,
    // Wakes the driver after a new subscription, which may be due first.
    changed: Notify,
    // The driver's clock. The wheel only advances when something is due, so
    // its time may be far behind between two ticks.
    clock: OnceLock<Clock>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Wheel<watch::Sender<Moment>>> {
        // No code can panic in the middle of an update while holding the lock.
        self.wheel.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A subscription to a period or a moment.
///
/// Dropping it ends the subscription.
#[derive(Debug)]
pub struct Subscription {
    ticks: watch::Receiver<Moment>,
    key: Key,
    // Weak, so that a subscription doesn't keep a dropped timer alive.
    shared: Weak<Shared>,
}

impl Drop for Subscription {
    // Components that wait for an event or a time-out drop far more
    // subscriptions than fire. Left in the wheel, these would accumulate until
    // they are due.
    fn drop(&mut self) {
        if let Some(shared) = self.shared.upgrade() {
            shared.lock().remove(self.key);
        }
    }
}

impl Subscription {
    /// Waits for the next tick and returns the timer's moment at that tick.
    ///
    /// Returns `None` if no more ticks can come because the only moment has
    /// passed or the timer was dropped.
    pub async fn next(&mut self) -> Option<Moment> {
        self.ticks.changed().await.ok()?;
        Some(*self.ticks.borrow_and_update())
    }
}

impl Timer {
    /// Creates a timer at a moment. It advances with [`Timer::drive`] or
    /// [`Timer::advance`].
    #[must_use]
    pub fn new(now: Moment) -> Self {
        Self {
            shared: Arc::new(Shared {
                wheel: Mutex::new(Wheel::new(now)),
                changed: Notify::new(),
                clock: OnceLock::new(),
            }),
        }
    }

    /// Returns the current moment of the driver's clock or, without a driver,
    /// of the last advance.
    #[must_use]
    pub fn now(&self) -> Moment {
        match self.shared.clock.get() {
            Some(clock) => clock.now(),
            None => self.shared.lock().now(),
        }
    }

    /// Waits until a moment is reached.
    pub async fn sleep_until(&self, moment: Moment) {
        if moment > self.now() {
            // Never `None`: `self` keeps the timer alive.
            let _tick = self.at(moment).next().await;
        }
    }

    /// Subscribes to a tick every `period` from now on.
    ///
    /// # Panics
    ///
    /// Panics if the period is zero, which would be due all the time.
    #[must_use]
    pub fn every(&self, period: Duration) -> Subscription {
        assert!(!period.is_zero(), "a period must be longer than zero");
        self.subscribe(Schedule::Every(period))
    }

    /// Subscribes to a single moment. A moment in the past is due at once.
    #[must_use]
    pub fn at(&self, moment: Moment) -> Subscription {
        self.subscribe(Schedule::At(moment))
    }

    /// Advances the time and wakes the subscribers that are due. Used directly by
    /// tests.
    pub fn advance(&self, now: Moment) {
        let mut wheel = self.shared.lock();
        wheel.advance(now, |sender| sender.send(now).is_ok());
    }

    /// Drives the timer by the clock of the runtime. Never returns.
    ///
    /// A second driver only affects when ticks are delivered.
    pub async fn drive(self, clock: Clock) {
        let clock = *self.shared.clock.get_or_init(|| clock);
        loop {
            self.advance(clock.now());
            let next = self.shared.lock().next_due();
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
        let now = self.now();
        let key = self.shared.lock().insert(now, schedule, sender);
        self.shared.changed.notify_one();
        Subscription {
            ticks,
            key,
            shared: Arc::downgrade(&self.shared),
        }
    }

    /// Returns the number of subscriptions that are not yet due.
    #[must_use]
    pub fn subscriptions(&self) -> usize {
        self.shared.lock().len()
    }
}

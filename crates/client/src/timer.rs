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

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use tokio::sync::{Notify, watch};

use self::wheel::{Key, Schedule, Wheel};
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
    // The driver's clock. A wheel moves only when something is due, so
    // between two ticks it may be far behind.
    clock: OnceLock<Clock>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Wheel<watch::Sender<Moment>>> {
        // No code that holds the lock can panic half-way through a change.
        self.wheel.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a part holds to be told when it is due.
///
/// Dropping it ends the subscription.
#[derive(Debug)]
pub struct Subscription {
    ticks: watch::Receiver<Moment>,
    key: Key,
    // Weak, so that a subscription doesn't keep a timer that is gone.
    shared: Weak<Shared>,
}

impl Drop for Subscription {
    // Parts that wait for "this or a time-out" drop far more subscriptions
    // than fire; left in the wheel they would pile up until due.
    fn drop(&mut self) {
        if let Some(shared) = self.shared.upgrade() {
            shared.lock().remove(self.key);
        }
    }
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
                clock: OnceLock::new(),
            }),
        }
    }

    /// Returns the present moment: the driver's, or the last advance's.
    #[must_use]
    pub fn now(&self) -> Moment {
        match self.shared.clock.get() {
            Some(clock) => clock.now(),
            None => self.shared.lock().now(),
        }
    }

    /// Waits until a moment has come.
    pub async fn sleep_until(&self, moment: Moment) {
        if moment > self.now() {
            // `None` would mean that the timer is gone, yet it is held here.
            let _tick = self.at(moment).next().await;
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
        let mut wheel = self.shared.lock();
        wheel.advance(now, |sender| sender.send(now).is_ok());
    }

    /// Drives the timer by the runtime's clock; it never returns.
    ///
    /// A second driver changes nothing but the time at which ticks come.
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

    /// Returns how many subscriptions wait to be due.
    #[must_use]
    pub fn subscriptions(&self) -> usize {
        self.shared.lock().len()
    }
}

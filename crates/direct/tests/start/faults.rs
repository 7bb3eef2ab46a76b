//! The faults of a schedule.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Which seeds are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seeds {
    All,
    /// All but one are cut off.
    OneLeft,
    /// All are cut off.
    NoneLeft,
    /// Each is there, late, cut off for a time, or killed again.
    Drawn,
}

/// Whom the log turns away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turned {
    None,
    Seeds,
    Third,
    TwoThirds,
    Drawn,
}

/// The faults beside a start of all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Faults {
    pub(crate) seeds: Seeds,
    pub(crate) turned: Turned,
    /// Whether the log takes fifty times as long.
    pub(crate) slow: bool,
    /// Whether a third of the log's answers are lost.
    pub(crate) loses: bool,
    /// Whether the rest is drawn as well.
    pub(crate) drawn: bool,
}

impl Faults {
    pub(crate) const NONE: Self = Self {
        seeds: Seeds::All,
        turned: Turned::None,
        slow: false,
        loses: false,
        drawn: false,
    };
    pub(crate) const DRAWN: Self = Self {
        seeds: Seeds::Drawn,
        turned: Turned::Drawn,
        slow: false,
        loses: false,
        drawn: true,
    };

    /// Draws what is left open.
    pub(crate) fn draw(mut self, rng: &mut ChaCha8Rng) -> Self {
        if self.drawn {
            self.turned = [
                Turned::None,
                Turned::Seeds,
                Turned::Third,
                Turned::TwoThirds,
            ][rng.random_range(0..4)];
            self.slow = rng.random_bool(0.2);
            self.loses = rng.random_bool(0.2);
        }
        self
    }
}

/// A time in which an instance is in trouble.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trouble {
    pub(crate) from: Moment,
    pub(crate) until: Moment,
}

impl Trouble {
    pub(crate) const NEVER: Self = Self {
        from: Moment::ZERO,
        until: Moment::ZERO,
    };
    pub(crate) const ALWAYS: Self = Self {
        from: Moment::ZERO,
        until: Moment::MAX,
    };

    pub(crate) const fn for_time(until: Moment) -> Self {
        Self {
            from: Moment::ZERO,
            until,
        }
    }

    pub(crate) fn is_on(self, now: Moment) -> bool {
        self.from <= now && now < self.until
    }
}

/// How long the log turns instances away, beyond the time in which they have to start.
pub(crate) const TURNED_AWAY_TIME: Duration = Duration::from_secs(25);

/// The multiple of its usual time that a slow log takes.
pub(crate) const SLOW_FACTOR: u32 = 50;

/// How long answers of the log get lost, and the part of them.
pub(crate) const LOSS_TIME: Duration = Duration::from_secs(10);
pub(crate) const LOST_FRACTION: f64 = 0.35;

//! Seeded schedules of faults against leases and the orders given under them.
//!
//! Several instances want the lease of one pool, because their views disagree
//! about who should have it. They pause, crash and read a log that loses
//! answers, lags, truncates and goes down. Two endpoints obey orders: one
//! refuses old fencing numbers, the other obeys whoever spoke last. Whoever
//! may order declares the version that it believes to be wanted; the belief
//! of some lags behind.

use self::world::play;
use crate::figure::{Bound, Figure};

pub mod world;

/// What a schedule came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Orders sent.
    pub orders: u64,
    /// Instances that held the lease at some time.
    pub holders: u64,
    /// Orders that the checking endpoint obeyed after one of a newer lease.
    pub obeyed_old: u64,
    /// Orders that the other one obeyed after one of a newer lease; the next
    /// look at its report mends them.
    pub ignored_old: u64,
    /// Fencing numbers that two instances held.
    pub shared_fences: u64,
    /// Whether the checking endpoint ended in another state than the wanted.
    pub checking_wrong: bool,
    /// Whether the other one did.
    pub ignoring_wrong: bool,
}

/// Schedules behind the figures.
pub const SCHEDULES: u64 = 10_000;

/// Sums over many schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Orders sent.
    pub orders: u64,
    /// Leases held.
    pub leases: u64,
    /// Orders of an older lease that the checking endpoint obeyed.
    pub obeyed_old: u64,
    /// Those that the ignoring one obeyed.
    pub ignored_old: u64,
    /// Fencing numbers that two instances held.
    pub shared_fences: u64,
    /// Schedules after which the checking endpoint was in the wrong state.
    pub checking_wrong: u64,
    /// Schedules after which the ignoring one was.
    pub ignoring_wrong: u64,
}

impl Tally {
    /// Plays the seeds in a range.
    #[must_use]
    pub fn over(seeds: std::ops::Range<u64>, weakness: Weakness) -> Self {
        let mut tally = Self::default();
        for seed in seeds {
            let verdict = play(seed, weakness);
            tally.orders += verdict.orders;
            tally.leases += verdict.holders;
            tally.obeyed_old += verdict.obeyed_old;
            tally.ignored_old += verdict.ignored_old;
            tally.shared_fences += verdict.shared_fences;
            tally.checking_wrong += u64::from(verdict.checking_wrong);
            tally.ignoring_wrong += u64::from(verdict.ignoring_wrong);
        }
        tally
    }
}

/// Returns the figures of the leases over [`SCHEDULES`] schedules.
#[must_use]
pub fn figures() -> Vec<Figure> {
    let tally = Tally::over(0..SCHEDULES, Weakness::None);
    let zero = |name, value, unit| Figure::new(name, count(value), unit, Bound::AtMost(0.0));
    let free = |name, value, unit| Figure::new(name, count(value), unit, Bound::Free);
    let wrong = tally.checking_wrong + tally.ignoring_wrong;
    vec![
        zero("leases.two_holders_obeyed", tally.obeyed_old, "orders"),
        zero("leases.shared_fences", tally.shared_fences, "leases"),
        zero("leases.wrong_end_state", wrong, "schedules"),
        free("leases.held", tally.leases, "leases"),
        free("leases.orders", tally.orders, "orders"),
        free("leases.old_orders_mended", tally.ignored_old, "orders"),
        free(
            "leases.weak.trusts_its_lease.old_orders",
            Tally::over(0..SCHEDULES / 10, Weakness::TrustsItsLease).ignored_old,
            "of_1000",
        ),
        free(
            "leases.weak.never_looks_again.wrong_end_state",
            Tally::over(0..SCHEDULES / 10, Weakness::NeverLooksAgain).ignoring_wrong,
            "of_1000",
        ),
        free(
            "leases.weak.no_fence.two_holders_obeyed",
            Tally::over(0..SCHEDULES / 10, Weakness::NoFence).obeyed_old,
            "of_1000",
        ),
    ]
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a bench stay far below 2^53"
)]
const fn count(value: u64) -> f64 {
    value as f64
}

/// Which guard is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    /// None: the design as it is.
    None,
    /// A holder doesn't look at its clock again before an order.
    TrustsItsLease,
    /// Orders are sent once and never compared with the endpoint's report.
    NeverLooksAgain,
    /// The checking endpoint's orders carry no fencing number.
    NoFence,
}

#[cfg(test)]
mod tests;

//! How old what a peer tells may be.
//!
//! What an instance knows has to be acted on within a bound, which covers the age of
//! what it was told, the wait for the next answer, the time in which that may fail to
//! come, and reading the log after it.

use std::time::Duration;

/// The longest that a question waits for news: what is known only by asking, such as
/// loads, is told no later.
pub(super) const LONGEST_WAIT: Duration = Duration::from_millis(1_400);

/// The shortest that it waits while loads are told oftener.
const SHORTEST_WAIT: Duration = Duration::from_millis(400);

/// The time between two questions that those that are asked bear then, all together.
const BETWEEN: Duration = Duration::from_millis(5);

/// What is kept back of the time within which news has to be acted on, for
/// reading the log anew and a moment without the processor.
pub(super) const SPARE: Duration = Duration::from_millis(150);

/// How long an answer may take beyond that: machines are 2 ms apart, and a
/// small one may be without the processor for a tenth of a second.
pub(super) const PATIENCE: Duration = Duration::from_millis(250);

/// The least age of its news from which on a peer counts as having lost the log.
/// One that reads for others is confirmed every half second, by a read sent as
/// long ago.
pub(super) const LEAST_AGE: Duration = Duration::from_millis(1_200);

/// Returns how long a question waits for news that has to be acted on within
/// `bound`.
///
/// It bounds how old what is known here can get while the one that is asked
/// loses the log or goes dark: an answer at the limit of its age, this wait,
/// and the patience.
pub(super) fn wait(bound: Duration) -> Duration {
    bound
        .saturating_sub(SPARE)
        .saturating_sub(LEAST_AGE)
        .saturating_sub(PATIENCE)
        .min(LONGEST_WAIT)
}

/// Returns how long a question waits at most while a part of a service takes nothing,
/// where this many instances ask.
///
/// What is left of the service has more than the mean then, and so less room for what an
/// instance doesn't know of it. With the loads told no oftener than else, endpoints that
/// many prompts have for their home pass the bound before anybody hears.
pub(super) fn wait_while_partial(instances: u32) -> Duration {
    (BETWEEN * instances).clamp(SHORTEST_WAIT, LONGEST_WAIT)
}

/// Returns the age of its news from which on a peer counts as having lost the log,
/// where news has to be acted on within `bound`: all that the wait leaves of it.
///
/// A log whose answers are slow or get lost makes what is known older, but not
/// wrong. Left at the least age by all that ask it, a peer would be of no use just
/// when the log is in trouble, and hundreds of instances would go there themselves.
pub(super) fn oldest(bound: Duration) -> Duration {
    bound
        .saturating_sub(SPARE)
        .saturating_sub(wait(bound))
        .saturating_sub(PATIENCE)
        .max(LEAST_AGE)
}

/// Returns how long asking another peer may take with news of this age, which has to
/// be acted on within `bound`: until the log has to be read anew.
pub(super) fn left(bound: Duration, age: Duration) -> Duration {
    bound.saturating_sub(SPARE).saturating_sub(age)
}

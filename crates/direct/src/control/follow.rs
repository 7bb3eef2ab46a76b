//! One topic's follower: asks, waits, and tells what it heard.

mod notes;

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{Era, Offset};
use rand::RngExt;
use tokio::sync::{mpsc, watch};

use crate::feed::{Change, Feed, Query};
use crate::roster::EXPIRED_ENTRY_GRACE;
use crate::shared::Shared;
use crate::source::{ReadError, Source, Tail};

/// The first pause after a failed call, before jitter. It doubles, up to the
/// second of these figures, or the third at an instance that has others to ask
/// and does so meanwhile. A lost answer is asked for again soon, and a service
/// in trouble gets a call a second from each instance at most, but two from
/// those that the others wait for: they notice its return within 0.6 s, which
/// the grace of lapsed entries counts on.
const BACKOFF: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_millis(500);
const LONGEST_OF_MANY: Duration = Duration::from_secs(2);

/// The pause between reads while lapsed entries may come back, or while what was read
/// can't be relied on yet.
const HURRY: Duration = Duration::from_millis(250);

/// How long a read of the configuration waits for a change. Each read is a
/// call that the platform counts. Twice this and one call that fails, with its
/// time-out and pause, is 4.1 s: less than the shortest lease, of 4.7 s.
const WAIT: Duration = Duration::from_millis(1_300);

/// The same at an instance that others ask. What they know is older than what
/// it knows by as much as they need to find out that it lost the log.
const WAIT_FOR_OTHERS: Duration = Duration::from_millis(500);

/// How many times as often the list of endpoints is read for others.
const OFTENER: u32 = 2;

/// The pause after a topic was listed at an instance that has others to ask: one of
/// them most likely spares it the next read.
const LISTED: Duration = Duration::from_millis(600);

/// When a topic is asked again.
#[derive(Clone, Copy, Debug)]
enum Pace {
    /// At once; the call itself waits this long for a change.
    Wait(Duration),
    /// After this long, without waiting in the call.
    Poll(Duration),
}

/// Whether the log itself is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Mode {
    /// Whether it is, rather than a peer asked.
    pub(super) direct: bool,
    /// Counts the changes.
    pub(super) epoch: u64,
}

impl Default for Mode {
    fn default() -> Self {
        Self {
            direct: true,
            epoch: 0,
        }
    }
}

impl Mode {
    /// Returns the mode of an instance that starts, and asks peers first or doesn't.
    pub(super) const fn at_start(asks: bool) -> Self {
        Self {
            direct: !asks,
            epoch: 0,
        }
    }

    /// Returns whether what was read in `mode` still counts.
    pub(super) fn current(self, mode: Self) -> bool {
        self.direct && self == mode
    }
}

/// What a follower needs beside its topic's source.
pub(super) struct Log {
    pub(super) shared: Arc<Shared>,
    pub(super) topic: Topic,
    pub(super) modes: watch::Receiver<Mode>,
}

impl Log {
    fn pace(&self) -> Pace {
        let refresh = self.shared.settings.refresh;
        match (self.topic, self.shared.serves_peers()) {
            (Topic::Operator, false) => Pace::Wait(WAIT),
            (Topic::Operator, true) => Pace::Wait(WAIT_FOR_OTHERS),
            (Topic::Endpoints, false) => Pace::Poll(refresh),
            (Topic::Endpoints, true) => Pace::Poll(refresh / OFTENER),
        }
    }

    fn polls_peers(&self) -> bool {
        self.shared.settings.polls_peers()
    }
}

/// Which topic is followed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Topic {
    Operator,
    Endpoints,
}

impl Topic {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Endpoints => "endpoints",
        }
    }
}

/// What one call told.
pub(super) struct Heard<T> {
    pub(super) changes: Vec<Change<T>>,
    /// Whether they come from a list, not from records.
    pub(super) listed: bool,
    /// When the call was sent.
    pub(super) asked: Moment,
    /// Whether everything that the topic held then is known now.
    pub(super) whole: bool,
    /// Up to which offset all records are known, unless the topic is being listed.
    pub(super) position: Option<Offset>,
    /// The era of the log that told it; 0 if it names none.
    pub(super) era: Era,
    /// The mode in which it was asked.
    pub(super) mode: Mode,
}

/// Follows a topic for as long as somebody listens.
pub(super) async fn follow<T, E>(
    source: Source<T>,
    mut log: Log,
    events: mpsc::Sender<E>,
    event: fn(Heard<T>) -> E,
) {
    let mut feed = Feed::default();
    let mut mode = Mode::default();
    let mut loss = Loss::default();
    // Whether the last call told all there was. Only then is it worth waiting
    // for a change; at a start or after an absence the answer is wanted now.
    let mut current = false;
    // How long the last answer took beyond its wait. One with changes comes
    // before the wait is over, and says less than one without.
    let mut lag = Duration::ZERO;
    loop {
        let Ok(now) = log.modes.wait_for(|mode| mode.direct).await.map(|now| *now) else {
            return;
        };
        if now != mode {
            mode = now;
            feed = Feed::with_known_keys(
                log.shared
                    .update_replica(false, |replica| replica.endpoint_names()),
            );
            current = false;
        }
        let pace = log.pace();
        let listing = !feed.is_listed();
        let wait = if current && !log.shared.log_needs_reread() {
            waiting(pace, lag)
        } else {
            Duration::ZERO
        };
        let asked = boot_time();
        let answer = ask(&source, &mut feed, wait, mode, &log).await;
        current = matches!(&answer, Ok(heard) if heard.whole);
        let quiet = matches!(&answer, Ok(heard) if heard.changes.is_empty());
        if quiet || wait.is_zero() {
            lag = since(boot_time(), asked).saturating_sub(wait);
        }
        let pause = loss.note(&log, answer.as_ref().err());
        if let Ok(heard) = answer
            && events.send(event(heard)).await.is_err()
        {
            return;
        }
        let rest = match current {
            true if listing && log.polls_peers() => LISTED,
            true if log.shared.log_needs_reread() => HURRY,
            true => rest(pace, lag).min(loss.hurry()),
            false => pause,
        };
        tokio::time::sleep(rest).await;
    }
}

fn longest(log: &Log) -> Duration {
    if log.polls_peers() && !log.shared.serves_peers() {
        LONGEST_OF_MANY
    } else {
        LONGEST
    }
}

/// Since when the log can't be read, and how often that was tried.
#[derive(Debug, Default)]
struct Loss {
    since: Option<Moment>,
    failures: u32,
    regained: Option<Moment>,
}

impl Loss {
    // The longest pause between reads now.
    fn hurry(&self) -> Duration {
        let now = boot_time();
        let recent = self
            .regained
            .is_some_and(|at| since(now, at) < EXPIRED_ENTRY_GRACE);
        if recent { HURRY } else { Duration::MAX }
    }

    // Takes in how a call ended; returns the pause before the next one.
    fn note(&mut self, log: &Log, fault: Option<&ReadError>) -> Duration {
        let topic = log.topic.as_str();
        let now = boot_time();
        log.shared
            .metrics
            .count_log_read(topic, fault.map_or("ok", name));
        let Some(fault) = fault else {
            if let Some(from) = self.since.take() {
                let lost = since(now, from).as_millis();
                log::info!(topic:% = topic, away_ms:% = lost, calls = self.failures; "log regained");
            }
            if matches!(log.topic, Topic::Operator) {
                log.shared.set_log_unavailable(false);
            }
            if self.failures > 0 {
                self.regained = Some(now);
            }
            self.failures = 0;
            return Duration::ZERO;
        };
        if matches!(log.topic, Topic::Operator) {
            log.shared.set_log_unavailable(true);
        }
        if self.since.is_none() {
            self.since = Some(now);
            log::warn!(topic:% = topic, cause:% = fault; "log lost");
        }
        let pause = (BACKOFF * 2_u32.pow(self.failures.min(8))).min(longest(log));
        self.failures += 1;
        pause.mul_f64(rand::rng().random_range(0.75..1.25))
    }
}

const fn name(fault: &ReadError) -> &'static str {
    match fault {
        ReadError::Unreachable(_) => "unreachable",
        ReadError::Timeout => "timeout",
        ReadError::Refused(_) => "refused",
        ReadError::Garbled(_) => "garbled",
        ReadError::Outdated => "outdated",
    }
}

// How long a read waits for a change, from a log that is this late.
//
// A log whose answers are slow is read as often as another one. Waiting as long
// as ever beside that, the instances that are asked knew news so old that they
// seemed to have lost the log, and all others went there themselves.
const fn waiting(pace: Pace, lag: Duration) -> Duration {
    match pace {
        Pace::Wait(wait) => wait.saturating_sub(lag),
        Pace::Poll(_) => Duration::ZERO,
    }
}

// How long to rest between reads, likewise.
const fn rest(pace: Pace, lag: Duration) -> Duration {
    match pace {
        Pace::Wait(_) => Duration::ZERO,
        Pace::Poll(pause) => pause.saturating_sub(lag),
    }
}

async fn ask<T>(
    source: &Source<T>,
    feed: &mut Feed,
    wait: Duration,
    mode: Mode,
    log: &Log,
) -> Result<Heard<T>, ReadError> {
    let asked = boot_time();
    let next = feed.next_query();
    let listed = matches!(next, Query::List(_));
    let (changes, whole) = match next {
        Query::List(after) => {
            let first = after.is_none();
            let reply = (source.list)(after).await?;
            check_era(feed, reply.era)?;
            notes::era(log, feed, reply.era);
            // What changed while several pages were read is still to come. A
            // single one is the topic as it was: read on for that alone, each
            // topic would cost everybody that starts another call.
            let whole = first && reply.body.next.is_none();
            notes::page(log, &reply.body);
            (feed.apply_page(reply), whole)
        }
        Query::Read(from) => {
            let reply = (source.read)(from, wait).await?;
            check_era(feed, reply.era)?;
            notes::era(log, feed, reply.era);
            let whole = matches!(&reply.body, Tail::Records { next, end, .. } if next >= end);
            notes::tail(log, from, &reply.body);
            (feed.apply_tail(reply), whole)
        }
    };
    notes::ignored(log, feed.take_ignored_count());
    Ok(Heard {
        changes,
        listed,
        asked,
        // One that has to be listed anew isn't known.
        whole: whole && feed.is_listed(),
        position: feed.position(),
        era: feed.era(),
        mode,
    })
}

fn check_era(feed: &Feed, era: Option<Era>) -> Result<(), ReadError> {
    if feed.is_outdated(era) {
        return Err(ReadError::Outdated);
    }
    Ok(())
}

#[cfg(test)]
mod tests;

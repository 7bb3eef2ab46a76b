//! Follows one topic of the log: reads it repeatedly and sends each result on.

mod notes;

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{Era, Offset};
use rand::RngExt;
use tokio::sync::{mpsc, watch};

use crate::backoff;
use crate::feed::{Change, Feed, Query};
use crate::roster::EXPIRED_ENTRY_GRACE;
use crate::shared::Shared;
use crate::source::{ReadError, Source, Tail};

/// The pause between reads while expired entries may return, or while the last
/// read can't be relied on yet.
const FAST_READ_PAUSE: Duration = Duration::from_millis(250);

/// How long a read of the configuration waits for a change. Each read is a call
/// that the platform counts. Twice this, plus one failed call with its timeout
/// and pause, is 4.1 s, which is less than the shortest lease of 4.7 s.
const READ_WAIT: Duration = Duration::from_millis(1_300);

/// The same at an instance that serves peers. Their state is older than its own
/// by the time that they need to detect that it has lost the log.
const READ_WAIT_SERVING_PEERS: Duration = Duration::from_millis(500);

/// The factor by which an instance that serves peers reads the list of
/// endpoints more often.
const REFRESH_DIVISOR_SERVING_PEERS: u32 = 2;

/// The pause after listing a topic at an instance that polls peers. A peer's
/// answer most likely makes the next read unnecessary.
const PAUSE_AFTER_LISTING: Duration = Duration::from_millis(600);

/// When a topic is read again.
#[derive(Clone, Copy, Debug)]
enum Pace {
    /// At once. The call itself waits up to this long for a change.
    Wait(Duration),
    /// After this pause, with a call that doesn't wait.
    Poll(Duration),
}

/// Whether the log is read directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Mode {
    /// Whether the log is read, rather than a peer polled.
    pub(super) direct: bool,
    /// The number of changes of mode so far.
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
    /// Returns the initial mode of an instance, by whether it polls peers
    /// first.
    pub(super) const fn at_start(polls_peers: bool) -> Self {
        Self {
            direct: !polls_peers,
            epoch: 0,
        }
    }

    /// Returns whether a read made in `mode` is still valid.
    pub(super) fn is_current(self, mode: Self) -> bool {
        self.direct && self == mode
    }
}

/// The context of the task that follows a topic.
pub(super) struct Follower {
    pub(super) shared: Arc<Shared>,
    pub(super) topic: Topic,
    pub(super) modes: watch::Receiver<Mode>,
}

impl Follower {
    fn pace(&self) -> Pace {
        let refresh = self.shared.settings.refresh;
        match (self.topic, self.shared.serves_peers()) {
            (Topic::Operator, false) => Pace::Wait(READ_WAIT),
            (Topic::Operator, true) => Pace::Wait(READ_WAIT_SERVING_PEERS),
            (Topic::Endpoints, false) => Pace::Poll(refresh),
            (Topic::Endpoints, true) => Pace::Poll(refresh / REFRESH_DIVISOR_SERVING_PEERS),
        }
    }

    fn polls_peers(&self) -> bool {
        self.shared.settings.polls_peers()
    }
}

/// The topics of the log.
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

/// The result of one call.
pub(super) struct TopicUpdate<T> {
    pub(super) changes: Vec<Change<T>>,
    /// Whether the changes come from a list rather than from single records.
    pub(super) from_list: bool,
    /// When the call was sent.
    pub(super) sent_at: Moment,
    /// Whether everything that the topic held when the call was sent is now
    /// known.
    pub(super) complete: bool,
    /// The offset up to which all records are known; `None` while the topic is
    /// being listed.
    pub(super) position: Option<Offset>,
    /// The era of the log; 0 if it names none.
    pub(super) era: Era,
    /// The mode in which the call was sent.
    pub(super) mode: Mode,
}

/// Follows a topic until the receiver of its events is closed.
pub(super) async fn follow<T, E>(
    source: Arc<Source<T>>,
    mut follower: Follower,
    events: mpsc::Sender<E>,
    event: fn(TopicUpdate<T>) -> E,
) {
    let mut feed = Feed::default();
    let mut mode = Mode::default();
    let mut outage = Outage::default();
    // Whether the last call returned everything. Only then may the next call
    // wait for a change: after a start or an outage, the answer is needed at
    // once.
    let mut up_to_date = false;
    // How long the last answer took beyond its wait. An answer with changes
    // arrives before the wait ends, so an answer without changes is the better
    // measure.
    let mut lag = Duration::ZERO;
    loop {
        let Ok(now) = follower
            .modes
            .wait_for(|mode| mode.direct)
            .await
            .map(|now| *now)
        else {
            return;
        };
        if now != mode {
            mode = now;
            feed = Feed::with_known_keys(
                follower
                    .shared
                    .update_replica(false, |replica| replica.endpoint_names()),
            );
            up_to_date = false;
        }
        let pace = follower.pace();
        let listing = !feed.is_listed();
        let wait = if up_to_date && !follower.shared.log_needs_reread() {
            read_wait(pace, lag)
        } else {
            Duration::ZERO
        };
        let sent_at = boot_time();
        let answer = read_topic(&source, &mut feed, wait, mode, &follower).await;
        up_to_date = matches!(&answer, Ok(update) if update.complete);
        let unchanged = matches!(&answer, Ok(update) if update.changes.is_empty());
        if unchanged || wait.is_zero() {
            lag = since(boot_time(), sent_at).saturating_sub(wait);
        }
        let backoff = outage.record_call(&follower, answer.as_ref().err());
        if listing && answer.is_ok() {
            follower.shared.count_list_progress();
        }
        if let Ok(update) = answer
            && events.send(event(update)).await.is_err()
        {
            return;
        }
        let pause = match up_to_date {
            true if listing && follower.polls_peers() => PAUSE_AFTER_LISTING,
            true if follower.shared.log_needs_reread() => FAST_READ_PAUSE,
            true => pause_between_reads(pace, lag).min(outage.max_pause()),
            false => backoff,
        };
        tokio::time::sleep(pause).await;
    }
}

/// The current or last period in which the log couldn't be read.
#[derive(Debug, Default)]
struct Outage {
    since: Option<Moment>,
    failures: u32,
    ended_at: Option<Moment>,
}

impl Outage {
    // Returns the longest pause between reads for now.
    fn max_pause(&self) -> Duration {
        let now = boot_time();
        let recent = self
            .ended_at
            .is_some_and(|at| since(now, at) < EXPIRED_ENTRY_GRACE);
        if recent {
            FAST_READ_PAUSE
        } else {
            Duration::MAX
        }
    }

    // Records the result of a call. Returns the pause before the next call if
    // it failed.
    fn record_call(&mut self, follower: &Follower, error: Option<&ReadError>) -> Duration {
        let topic = follower.topic.as_str();
        let now = boot_time();
        follower
            .shared
            .metrics
            .count_log_read(topic, error.map_or("ok", metric_label));
        let Some(error) = error else {
            if let Some(from) = self.since.take() {
                let outage = since(now, from).as_millis();
                log::info!(topic:% = topic, away_ms:% = outage, calls = self.failures; "log reachable again");
            }
            if matches!(follower.topic, Topic::Operator) {
                follower.shared.set_log_unavailable(false);
            }
            if self.failures > 0 {
                self.ended_at = Some(now);
            }
            self.failures = 0;
            return Duration::ZERO;
        };
        if matches!(follower.topic, Topic::Operator) {
            follower.shared.set_log_unavailable(true);
        }
        if self.since.is_none() {
            self.since = Some(now);
            log::warn!(topic:% = topic, cause:% = error; "log lost");
        }
        let has_peers = follower.polls_peers() && !follower.shared.serves_peers();
        let pause = backoff::pause(self.failures, has_peers);
        self.failures += 1;
        pause.mul_f64(rand::rng().random_range(0.75..1.25))
    }
}

const fn metric_label(error: &ReadError) -> &'static str {
    match error {
        ReadError::Unreachable(_) => "unreachable",
        ReadError::Timeout => "timeout",
        ReadError::Refused(_) => "refused",
        ReadError::Garbled(_) => "garbled",
        ReadError::Outdated => "outdated",
    }
}

// Returns how long a read waits for a change, given the log's lag.
//
// The lag is subtracted so that a slow log is read as often as a fast one. With
// the full wait on top of the lag, the state of instances that serve peers
// became so old that they appeared to have lost the log, and all the others
// turned to the log themselves.
const fn read_wait(pace: Pace, lag: Duration) -> Duration {
    match pace {
        Pace::Wait(wait) => wait.saturating_sub(lag),
        Pace::Poll(_) => Duration::ZERO,
    }
}

// Returns the pause between reads, given the log's lag, which is subtracted for
// the same reason.
const fn pause_between_reads(pace: Pace, lag: Duration) -> Duration {
    match pace {
        Pace::Wait(_) => Duration::ZERO,
        Pace::Poll(pause) => pause.saturating_sub(lag),
    }
}

async fn read_topic<T>(
    source: &Source<T>,
    feed: &mut Feed,
    wait: Duration,
    mode: Mode,
    follower: &Follower,
) -> Result<TopicUpdate<T>, ReadError> {
    let sent_at = boot_time();
    let next = feed.next_query();
    let from_list = matches!(next, Query::List(_));
    let (changes, complete) = match next {
        Query::List(after) => {
            let first = after.is_none();
            let reply = (source.list)(after).await?;
            check_era(feed, reply.era)?;
            notes::log_new_era(follower, feed, reply.era);
            // Changes made while several pages were read are still to come. A
            // single page is a consistent snapshot. Reading on just to be sure
            // would cost every starting instance another call per topic.
            let complete = first && reply.body.next.is_none();
            notes::log_page(follower, &reply.body);
            (feed.apply_page(reply), complete)
        }
        Query::Read(from) => {
            let reply = (source.read)(from, wait).await?;
            check_era(feed, reply.era)?;
            notes::log_new_era(follower, feed, reply.era);
            let complete = matches!(&reply.body, Tail::Records { next, end, .. } if next >= end);
            notes::log_tail(follower, from, &reply.body);
            (feed.apply_tail(reply), complete)
        }
    };
    notes::log_ignored(follower, feed.take_ignored_count());
    Ok(TopicUpdate {
        changes,
        from_list,
        sent_at,
        // A topic that has to be listed again isn't known.
        complete: complete && feed.is_listed(),
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

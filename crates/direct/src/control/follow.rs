//! One topic's follower: asks, waits, and tells what it heard.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};
use rand::RngExt;
use tokio::sync::{mpsc, watch};

use crate::feed::{Change, Feed, Next};
use crate::roster::GRACE;
use crate::shared::Shared;
use crate::source::{Fault, Source, Tail};

/// The first pause after a failed call, before jitter. It doubles, up to the
/// second of these figures, or the third at an instance that has others to ask
/// and does so meanwhile. A lost answer is asked for again soon, and a service
/// in trouble gets a call a second from each instance at most, but two from
/// those that the others wait for: they notice its return within 0.6 s, which
/// the grace of lapsed entries counts on.
const BACKOFF: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_millis(500);
const LONGEST_OF_MANY: Duration = Duration::from_secs(2);

/// The pause between reads while lapsed entries may come back.
const HURRY: Duration = Duration::from_millis(250);

/// When a topic is asked again.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pace {
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
    /// Returns whether what was read in `mode` still counts.
    pub(super) fn current(self, mode: Self) -> bool {
        self.direct && self == mode
    }
}

/// What a follower needs beside its topic's source.
pub(super) struct Log {
    pub(super) shared: Arc<Shared>,
    pub(super) topic: Topic,
    pub(super) pace: Pace,
    pub(super) modes: watch::Receiver<Mode>,
}

/// Which topic is followed.
#[derive(Clone, Copy, Debug)]
pub(super) enum Topic {
    Policies,
    Endpoints,
}

impl Topic {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Policies => "policies",
            Self::Endpoints => "endpoints",
        }
    }
}

/// What one call told.
pub(super) struct Heard<T> {
    pub(super) changes: Vec<Change<T>>,
    /// When the call was sent.
    pub(super) asked: Moment,
    /// Whether everything that the topic held then is known now.
    pub(super) whole: bool,
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
    loop {
        let Ok(now) = log.modes.wait_for(|mode| mode.direct).await.map(|now| *now) else {
            return;
        };
        if now != mode {
            mode = now;
            feed = Feed::knowing(log.shared.tell(false, |board| board.names()));
            current = false;
        }
        let wait = if current {
            waiting(log.pace)
        } else {
            Duration::ZERO
        };
        let answer = ask(&source, &mut feed, wait, mode).await;
        current = matches!(&answer, Ok(heard) if heard.whole);
        let pause = loss.note(&log, answer.as_ref().err());
        if let Ok(heard) = answer
            && events.send(event(heard)).await.is_err()
        {
            return;
        }
        let rest = if current {
            rest(log.pace).min(loss.hurry())
        } else {
            pause
        };
        tokio::time::sleep(rest).await;
    }
}

fn longest(log: &Log) -> Duration {
    let settings = &log.shared.settings;
    if settings.reads_for_others() || settings.others().is_empty() {
        LONGEST
    } else {
        LONGEST_OF_MANY
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
        let recent = self.regained.is_some_and(|at| since(now, at) < GRACE);
        if recent { HURRY } else { Duration::MAX }
    }

    // Takes in how a call ended; returns the pause before the next one.
    fn note(&mut self, log: &Log, fault: Option<&Fault>) -> Duration {
        let topic = log.topic.as_str();
        let now = boot_time();
        log.shared.metrics.log_call(topic, fault.map_or("ok", name));
        let Some(fault) = fault else {
            if let Some(from) = self.since.take() {
                let lost = since(now, from).as_millis();
                log::info!(topic:% = topic, away_ms:% = lost, calls = self.failures; "log regained");
            }
            if matches!(log.topic, Topic::Policies) {
                log.shared.set_lost(false);
            }
            if self.failures > 0 {
                self.regained = Some(now);
            }
            self.failures = 0;
            return Duration::ZERO;
        };
        if matches!(log.topic, Topic::Policies) {
            log.shared.set_lost(true);
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

const fn name(fault: &Fault) -> &'static str {
    match fault {
        Fault::Unreachable(_) => "unreachable",
        Fault::Timeout => "timeout",
        Fault::Refused(_) => "refused",
        Fault::Garbled(_) => "garbled",
    }
}

const fn waiting(pace: Pace) -> Duration {
    match pace {
        Pace::Wait(wait) => wait,
        Pace::Poll(_) => Duration::ZERO,
    }
}

const fn rest(pace: Pace) -> Duration {
    match pace {
        Pace::Wait(_) => Duration::ZERO,
        Pace::Poll(pause) => pause,
    }
}

async fn ask<T>(
    source: &Source<T>,
    feed: &mut Feed,
    wait: Duration,
    mode: Mode,
) -> Result<Heard<T>, Fault> {
    let asked = boot_time();
    match feed.next() {
        Next::List(after) => {
            let page = (source.list)(after).await?;
            let changes = feed.listed(page);
            Ok(Heard {
                changes,
                asked,
                // What changed while the pages were read is still to come.
                whole: false,
                mode,
            })
        }
        Next::Read(from) => {
            let tail = (source.read)(from, wait).await?;
            let whole = matches!(&tail, Tail::Records { next, end, .. } if next >= end);
            let changes = feed.read(tail);
            Ok(Heard {
                changes,
                asked,
                whole,
                mode,
            })
        }
    }
}

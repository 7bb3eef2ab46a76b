//! One topic's follower: asks, waits, and tells what it heard.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};
use rand::RngExt;
use tokio::sync::mpsc;

use crate::feed::{Change, Feed, Next};
use crate::shared::Shared;
use crate::source::{Fault, Source, Tail};

/// The pause after a failed call, before jitter. An outage of seconds is to be
/// noticed as over soon; three calls a second of each instance is what a fleet
/// of hundreds may add to a service in trouble.
const BACKOFF: Duration = Duration::from_millis(300);

/// When a topic is asked again.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pace {
    /// At once; the call itself waits this long for a change.
    Wait(Duration),
    /// After this long, without waiting in the call.
    Poll(Duration),
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
}

/// Follows a topic for as long as somebody listens.
pub(super) async fn follow<T, E>(
    source: &Source<T>,
    topic: Topic,
    pace: Pace,
    shared: &Arc<Shared>,
    events: mpsc::Sender<E>,
    event: fn(Heard<T>) -> E,
) {
    let mut feed = Feed::default();
    let mut away: Option<Moment> = None;
    let mut shown = false;
    // Whether the last call told all there was. Only then is it worth waiting
    // for a change; at a start or after an absence the answer is wanted now.
    let mut current = false;
    loop {
        let asked = boot_time();
        let wait = if current {
            waiting(pace)
        } else {
            Duration::ZERO
        };
        let answer = ask(source, &mut feed, wait, asked).await;
        let now = boot_time();
        current = matches!(&answer, Ok(heard) if heard.whole);
        let pause = match answer {
            Ok(heard) => {
                if let Some(from) = away.take() {
                    let lost = since(now, from).as_millis();
                    log::info!(topic:% = topic.as_str(), away_ms:% = lost; "log regained");
                }
                shared.metrics.log_call(topic.as_str(), "ok");
                if heard.whole && !shown {
                    shown = true;
                    log::info!(topic:% = topic.as_str(); "topic read whole");
                }
                if events.send(event(heard)).await.is_err() {
                    return;
                }
                if current { rest(pace) } else { Duration::ZERO }
            }
            Err(fault) => {
                shared.metrics.log_call(topic.as_str(), name(&fault));
                if away.is_none() {
                    away = Some(asked);
                    log::warn!(topic:% = topic.as_str(), cause:% = fault; "log lost");
                }
                BACKOFF.mul_f64(rand::rng().random_range(0.5..1.5))
            }
        };
        tokio::time::sleep(pause).await;
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
    asked: Moment,
) -> Result<Heard<T>, Fault> {
    match feed.next() {
        Next::List(after) => {
            let page = (source.list)(after).await?;
            let changes = feed.listed(page);
            Ok(Heard {
                changes,
                asked,
                // What changed while the pages were read is still to come.
                whole: false,
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
            })
        }
    }
}

//! Polls another instance for the state of the log.
//!
//! An instance with seeds to poll follows one of them instead of the log. Each
//! poll waits at the peer until something changes, so updates arrive as soon as
//! from the log itself. When the peer fails, doesn't answer in time or has lost
//! the log, the instance polls another one for as long as its own state isn't
//! too old, and otherwise reads the log and looks for another peer after a
//! pause.
//!
//! A peer's update is accepted only if it is not older than the state read
//! here: an endpoint that was seen leaving must not come back.

mod answer;
mod evidence;
mod overloads;
mod passing;
mod peer;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{self, Body, Connector};
use godwitpost_types::clock::since;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

pub(super) use self::answer::handle_request;
pub(super) use self::evidence::{record_evidence, withdraw_evidence};
pub(crate) use self::evidence::{record_own_evidence, tell_answers};
pub(super) use self::overloads::send_overloads;
pub(super) use self::passing::run_exchange;
pub(super) use self::peer::PeerUpdate;
use self::peer::{Peer, PeerError};
use super::follow::Mode;
use crate::polling::age::{
    ANSWER_TIMEOUT, MAX_POLL_WAIT, poll_wait, poll_wait_at_reduced_service, remaining_time,
};
use crate::polling::{
    Knowledge, MAX_LIST_TIME, Next, Round, STARTUP_RETRY_PAUSE, first_wait, max_wait,
};
use crate::shared::Shared;
use crate::standby::Peers;

const STATE_PATH: &str = "/peer/v12/state";

/// The largest accepted request or answer. A configuration of 8,900 workspaces
/// takes about 2 MB; endpoints are sent in parts of some 60 KB.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// The pause before looking for another peer, before jitter.
const RETRY_PAUSE: Duration = Duration::from_secs(3);

/// The same while the log can't be read. Polling a peer costs the platform
/// nothing, and the first instance that gets through to the log serves all
/// others.
const FAST_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// How long after its start an instance uses `FAST_RETRY_PAUSE`. The peers
/// start at the same time and need up to a second themselves, and until the
/// instance follows one of them it reads the log.
const STARTUP_PERIOD: Duration = Duration::from_secs(5);

/// How long a poll for the next part of a list waits at a busy peer.
const LIST_POLL_WAIT: Duration = Duration::from_secs(1);

/// The shortest wait of a poll after answers that had other news than loads. Loads are due
/// as long after the last ones as a poll usually waits.
const MIN_LOADS_WAIT: Duration = Duration::from_millis(50);

/// How long a seed that lost the log polls another one before it tries the log
/// again.
const MAX_SEED_POLL_TIME: Duration = Duration::from_secs(4);

/// Why a round of polling peers ended.
enum RoundEnd {
    /// The log has to be read.
    ReadLog,
    /// The receiver of events is closed.
    Closed,
}

// What polling needs, whichever peer is polled.
struct Poller<E> {
    shared: Arc<Shared>,
    connector: Connector,
    mode: watch::Sender<Mode>,
    events: mpsc::Sender<E>,
    event: fn(PeerUpdate) -> E,
    round: Round,
}

/// Follows one peer after another until the receiver of events is closed.
pub(super) async fn poll_peers<E>(
    shared: Arc<Shared>,
    mode: watch::Sender<Mode>,
    events: mpsc::Sender<E>,
    event: fn(PeerUpdate) -> E,
) {
    let seeds = shared.settings.other_seeds();
    let first = rand::rng().random_range(0..seeds.len().max(1));
    let is_seed = shared.settings.is_seed();
    let mut log_unavailable = shared.log_unavailable();
    let mut poller = Poller {
        connector: Connector::new(connect::Settings {
            connect_timeout: ANSWER_TIMEOUT,
            ..connect::Settings::default()
        }),
        round: Round::new(Peers::new(seeds, shared.settings.listen.peers, first)),
        shared,
        mode,
        events,
        event,
    };
    // A seed polls peers only after it has lost the log. Any other instance
    // polls them before it first reads the log.
    if is_seed && !wait_for_next_round(&poller.shared, &mut log_unavailable, is_seed).await {
        return;
    }
    loop {
        let end = poller.poll_round(is_seed).await;
        poller.set_direct(true);
        let running = wait_for_next_round(&poller.shared, &mut log_unavailable, is_seed);
        if matches!(end, RoundEnd::Closed) || !running.await {
            return;
        }
    }
}

impl<E> Poller<E> {
    // Polls one peer after another. When the followed peer fails, the next one
    // is polled before the log is read, as long as the state known here doesn't
    // become too old.
    async fn poll_round(&mut self, is_seed: bool) -> RoundEnd {
        if is_seed {
            let standbys = self.own_standbys();
            self.round.set_own_standbys(standbys);
        }
        self.round.begin(rand::rng().random());
        loop {
            let next = self.round.next(&self.knowledge(), rand::rng().random());
            let (address, time_left) = match next {
                Next::Poll(address, time_left) => (address, time_left),
                Next::Pause(pause) => {
                    tokio::time::sleep(pause).await;
                    continue;
                }
                Next::ReadLog => {
                    log::info!(uptime_ms = self.shared.uptime().as_millis(); "no peer to poll in time; reading the log");
                    return RoundEnd::ReadLog;
                }
            };
            let started_at = Instant::now();
            let max_time = if is_seed {
                MAX_SEED_POLL_TIME
            } else {
                Duration::MAX
            };
            let following = timeout(max_time, self.follow(address, time_left)).await;
            let error = match following {
                Ok(None) => return RoundEnd::Closed,
                Ok(Some(error)) => error,
                Err(_elapsed) => {
                    log::info!(peer:% = address; "trying the log again");
                    return RoundEnd::ReadLog;
                }
            };
            self.shared.metrics.start().count_failure(error.label());
            log::info!(peer:% = address, cause:% = error, uptime_ms = self.shared.uptime().as_millis(); "peer not followed");
            if let Some(standbys) = error.standbys() {
                self.round.set_standbys(address, standbys.to_vec());
            }
            let knowledge = self.knowledge();
            self.round.record_failure(
                address,
                error.failure(),
                started_at.elapsed(),
                time_left,
                &knowledge,
                rand::rng().random(),
            );
        }
    }

    // Returns the instances that poll this one and may have read the log, which it can't.
    fn own_standbys(&self) -> Vec<SocketAddr> {
        let incarnation = self
            .shared
            .update_replica(false, |replica| replica.incarnation());
        let mut pollers = self.shared.pollers();
        pollers.standbys(incarnation, boot_time()).to_vec()
    }

    // Sets whether the log itself is read from now on.
    fn set_direct(&self, direct: bool) {
        self.shared.set_reads_log(direct);
        self.mode.send_if_modified(|mode| {
            let changed = mode.direct != direct;
            if changed {
                mode.direct = direct;
                mode.epoch += 1;
            }
            changed
        });
    }

    fn knowledge(&self) -> Knowledge {
        let confirmed_at = self
            .shared
            .update_replica(false, |replica| replica.confirmed_at());
        Knowledge {
            uptime: self.shared.uptime(),
            reads_log: self.mode.borrow().direct,
            age: confirmed_at.map(|at| since(boot_time(), at)),
            max_update_delay: self.shared.settings.max_update_delay(),
        }
    }

    // Returns how long a peer may still take to send its list of endpoints, `listing` after
    // it began. An instance that relies on peers and has a list has to learn of changes to
    // it in time.
    fn list_time_left(&self, listing: Duration) -> Duration {
        let confirmed_at = self
            .shared
            .update_replica(false, |replica| replica.endpoints_confirmed_at());
        match confirmed_at {
            Some(at) if !self.mode.borrow().direct => remaining_time(
                self.shared.settings.max_update_delay(),
                since(boot_time(), at),
            ),
            _ => MAX_LIST_TIME.saturating_sub(listing),
        }
    }

    // Follows a peer until it is no longer useful and returns why; returns
    // `None` if the receiver of events is closed.
    async fn follow(&mut self, address: SocketAddr, time_left: Duration) -> Option<PeerError> {
        let shared = Arc::clone(&self.shared);
        let connector = self.connector.clone();
        let mut peer = Peer::new(&connector, address, &shared);
        let knowledge = self.knowledge();
        let first_wait = first_wait(&knowledge, time_left);
        let first = timeout(time_left, peer.first_poll(first_wait)).await;
        let mut answer = match first.unwrap_or(Err(PeerError::Timeout)) {
            Ok(answer) => answer,
            Err(error) => return Some(error),
        };
        if answer.is_busy && !knowledge.has_state() {
            return Some(PeerError::Busy(answer.standbys));
        }
        log::info!(peer:% = address; "following the peer instead of the log");
        self.round.record_answer();
        let started_at = Instant::now();
        let mut loads_at = Instant::now();
        let mut listing_parts = 0;
        loop {
            let parts = peer.received_parts();
            if parts == 0 && listing_parts > 0 {
                shared.metrics.start().count_list(true);
                log::info!(
                    peer:% = address, answers = listing_parts + 1, took_ms = started_at.elapsed().as_millis(),
                    uptime_ms = shared.uptime().as_millis();
                    "list of endpoints received"
                );
            }
            listing_parts = parts;
            if answer.has_loads {
                loads_at = Instant::now();
            }
            self.round.set_standbys(address, answer.standbys.clone());
            let (is_busy, is_secondhand) = (answer.is_busy, answer.is_secondhand);
            if peer.is_listing() {
                shared.count_list_progress();
            }
            if self.events.send((self.event)(answer.update)).await.is_err() {
                return None;
            }
            let wait = if peer.is_listing() {
                if self.list_time_left(started_at.elapsed()).is_zero() {
                    report_partial_list(&shared, address, listing_parts);
                    return Some(PeerError::Slow);
                }
                if is_busy {
                    tokio::time::sleep(STARTUP_RETRY_PAUSE).await;
                }
                LIST_POLL_WAIT
            } else if is_secondhand {
                return Some(PeerError::Secondhand(answer.standbys));
            } else {
                // Until the list is complete, an instance that reads the log continues to.
                self.set_direct(false);
                let wait =
                    poll_wait(shared.settings.max_update_delay()).min(max_poll_wait(&shared));
                let wait = wait.min(max_wait(shared.serves_peers()));
                wait.saturating_sub(loads_at.elapsed())
                    .max(MIN_LOADS_WAIT.min(wait))
            };
            answer = match peer.poll(wait).await {
                Ok(answer) => answer,
                Err(error) => {
                    report_partial_list(&shared, address, listing_parts);
                    return Some(error);
                }
            };
        }
    }
}

// Reports that a list of endpoints was given up after these many answers.
fn report_partial_list(shared: &Shared, peer: SocketAddr, answers: usize) {
    if answers > 0 {
        shared.metrics.start().count_list(false);
        log::warn!(peer:% = peer, answers = answers, uptime_ms = shared.uptime().as_millis(); "list of endpoints given up");
    }
}

// Returns how long a poll may wait, given how quickly loads go out of date now.
fn max_poll_wait(shared: &Shared) -> Duration {
    let now = boot_time();
    let instances = shared.instance_count(now);
    let has_reduced_service = shared.view().has_reduced_service(now);
    let reduced = instances
        .filter(|_| has_reduced_service)
        .map(poll_wait_at_reduced_service);
    reduced.unwrap_or(MAX_POLL_WAIT)
}

// Waits until the next round of polling: for a pause, which is short while the
// log is unavailable or the process has just started. A seed waits until the
// log is unavailable. Returns whether the process goes on.
async fn wait_for_next_round(
    shared: &Shared,
    log_unavailable: &mut watch::Receiver<bool>,
    is_seed: bool,
) -> bool {
    let jitter = rand::rng().random_range(0.5..1.5);
    let pause = if is_seed {
        Duration::MAX
    } else if shared.uptime() < STARTUP_PERIOD {
        FAST_RETRY_PAUSE.mul_f64(jitter)
    } else {
        RETRY_PAUSE.mul_f64(jitter)
    };
    tokio::select! {
        () = tokio::time::sleep(pause) => true,
        running = async { log_unavailable.wait_for(|unavailable| *unavailable).await.is_ok() } => {
            tokio::time::sleep(FAST_RETRY_PAUSE.mul_f64(jitter)).await;
            running
        }
    }
}

fn status_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full_body(Vec::new()));
    *response.status_mut() = status;
    response
}

fn full_body(bytes: Vec<u8>) -> Body {
    Full::new(Bytes::from(bytes))
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

#[cfg(test)]
mod tests;

//! Asking another instance what the log says.
//!
//! An instance with seeds to ask follows one of them in place of the log: a
//! question waits there until something changes, so news is as quick as with
//! the log itself. When the one it asks fails, falls silent or lost the log
//! itself, it asks another one, as long as what it knows isn't too old by then,
//! and else reads the log and looks for another after a pause.
//! What a peer tells is taken only if it is not older than what was read
//! here: an endpoint that was seen leaving must not come back.

mod age;
mod answer;
mod passing;
mod peer;

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{self, Body, Connector};
use godwitpost_types::clock::{Moment, since};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full};
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

use self::age::{LONGEST_WAIT, PATIENCE, left, wait, wait_while_partial};
pub(super) use self::answer::answer;
pub(super) use self::passing::exchange;
pub(crate) use self::passing::forward_evidence;
pub(super) use self::peer::News;
use self::peer::{Peer, Refusal};
use super::follow::Mode;
use crate::shared::Shared;
use crate::standby::Peers;

const PATH: &str = "/peer/v4/state";

/// The most that a question or an answer may hold: a configuration of 8,900
/// workspaces and 3,300 endpoints takes about 3 MB.
const MESSAGE_BYTES: usize = 16 << 20;

/// The pause before another instance is looked for, before jitter.
const PAUSE: Duration = Duration::from_secs(3);

/// The same while the log can't be read. Asking a peer costs the platform
/// nothing, and the first of them to get through serves all.
const HASTE: Duration = Duration::from_millis(400);

/// How long after its start an instance asks peers in haste. Those that are asked
/// start at the same time and need up to a second themselves, and until it follows one
/// it reads the log.
const STARTS: Duration = Duration::from_secs(5);

/// How long an instance that starts asks peers before it reads the log: time for
/// one that is gone, and for one that starts as well and answers when it has read.
const ASKS_FIRST: Duration = Duration::from_millis(600);

/// The pause before it asks again peers that don't listen yet.
const AGAIN: Duration = Duration::from_millis(50);

/// How long an instance that is to read the log asks another one before it
/// tries the log again.
const VISIT: Duration = Duration::from_secs(4);

/// How asking one peer after the other ended.
enum Turn {
    /// The log has to be read.
    Over,
    /// Nobody listens any more.
    Closed,
}

// What asking needs, whoever is asked.
struct Asker<E> {
    shared: Arc<Shared>,
    connector: Connector,
    mode: watch::Sender<Mode>,
    events: mpsc::Sender<E>,
    event: fn(News) -> E,
    peers: Peers,
}

/// Follows one peer after the other for as long as somebody listens.
pub(super) async fn ask<E>(
    shared: Arc<Shared>,
    mode: watch::Sender<Mode>,
    events: mpsc::Sender<E>,
    event: fn(News) -> E,
) {
    let seeds = shared.settings.other_seeds();
    let first = rand::rng().random_range(0..seeds.len().max(1));
    let visits = shared.settings.is_seed();
    let mut lost = shared.log_unavailable();
    let mut asker = Asker {
        connector: Connector::new(connect::Settings {
            connect_timeout: PATIENCE,
            ..connect::Settings::default()
        }),
        peers: Peers::new(seeds, shared.settings.listen.peers, first),
        shared,
        mode,
        events,
        event,
    };
    // An instance that starts asks a peer before it reads the log.
    if visits && !due(&asker.shared, &mut lost, visits).await {
        return;
    }
    loop {
        let turn = asker.turn(visits).await;
        direct(&asker.mode, true);
        let goes_on = due(&asker.shared, &mut lost, visits);
        if matches!(turn, Turn::Closed) || !goes_on.await {
            return;
        }
    }
}

impl<E> Asker<E> {
    // Asks one peer after the other. Where the one that was followed fails, the
    // next one is asked before anybody goes to the log, as long as what is known
    // here doesn't get too old by it.
    async fn turn(&mut self, visits: bool) -> Turn {
        let mut turn = VecDeque::from(self.peers.next_round(rand::rng().random()));
        loop {
            let Some(address) = turn.pop_front() else {
                // Others that start at the same time may not listen yet.
                if self.knows() || self.allowed() < PATIENCE {
                    return Turn::Over;
                }
                tokio::time::sleep(AGAIN).await;
                turn = self.peers.next_round(rand::rng().random()).into();
                continue;
            };
            let allowed = self.allowed();
            if allowed < PATIENCE {
                log::info!(left_ms = allowed.as_millis(); "no time to ask another peer; the log is read");
                return Turn::Over;
            }
            let began = Instant::now();
            let longest = if visits { VISIT } else { Duration::MAX };
            let following = timeout(longest, self.follow(address, allowed)).await;
            match following {
                Ok(None) => return Turn::Closed,
                Ok(Some(refusal)) => {
                    log::info!(peer:% = address, cause:% = refusal; "peer not followed");
                }
                Err(_elapsed) => {
                    log::info!(peer:% = address; "the log is tried again");
                    return Turn::Over;
                }
            }
            // One that was followed for a while is asked again only after all others.
            if began.elapsed() > allowed {
                turn = self.peers.next_round(rand::rng().random()).into();
                turn.retain(|other| *other != address);
            }
        }
    }

    // Whether anything of the log is known here.
    fn knows(&self) -> bool {
        self.mode.borrow().direct || self.known().is_some()
    }

    // When the older of both topics was confirmed last.
    fn known(&self) -> Option<Moment> {
        self.shared
            .update_replica(false, |replica| replica.confirmed_at())
    }

    // How long asking a peer may take before the log has to be read.
    fn allowed(&self) -> Duration {
        if self.mode.borrow().direct {
            return LONGEST_WAIT;
        }
        match self.known() {
            Some(read) => left(
                self.shared.settings.max_update_delay(),
                since(boot_time(), read),
            ),
            None => ASKS_FIRST.saturating_sub(self.shared.uptime()),
        }
    }

    // Follows a peer until it is no use any more; `None` if nobody listens.
    async fn follow(&mut self, address: SocketAddr, allowed: Duration) -> Option<Refusal> {
        let shared = Arc::clone(&self.shared);
        let connector = self.connector.clone();
        let mut peer = Peer::new(&connector, address, &shared);
        let patience = if self.knows() {
            Duration::ZERO
        } else {
            allowed.saturating_sub(PATIENCE)
        };
        let begun = timeout(allowed, peer.begin(patience)).await;
        let mut told = match begun.unwrap_or(Err(Refusal::Silent)) {
            Ok(told) => told,
            Err(refusal) => return Some(refusal),
        };
        log::info!(peer:% = address; "peer followed in place of the log");
        direct(&self.mode, false);
        loop {
            self.peers.set_standbys(address, told.standbys);
            if self.events.send((self.event)(told.news)).await.is_err() {
                return None;
            }
            let wait = wait(shared.settings.max_update_delay()).min(longest(&shared));
            told = match peer.question(wait).await {
                Ok(told) => told,
                Err(refusal) => return Some(refusal),
            };
        }
    }
}

// How long a question may wait by what loads are worth now.
fn longest(shared: &Shared) -> Duration {
    let now = boot_time();
    let instances = shared.instance_count(now);
    let partial = shared.view().has_reduced_service(now);
    let oftener = instances.filter(|_| partial).map(wait_while_partial);
    oftener.unwrap_or(LONGEST_WAIT)
}

// Waits until a peer is to be asked: after a pause, or soon while the log is
// lost or the process has just started. An instance that is to read the log waits
// until it is lost. Returns whether the process goes on.
async fn due(shared: &Shared, lost: &mut watch::Receiver<bool>, visits: bool) -> bool {
    let jitter = rand::rng().random_range(0.5..1.5);
    let pause = if visits {
        Duration::MAX
    } else if shared.uptime() < STARTS {
        HASTE.mul_f64(jitter)
    } else {
        PAUSE.mul_f64(jitter)
    };
    tokio::select! {
        () = tokio::time::sleep(pause) => true,
        goes_on = async { lost.wait_for(|lost| *lost).await.is_ok() } => {
            tokio::time::sleep(HASTE.mul_f64(jitter)).await;
            goes_on
        }
    }
}

// Says whether the log itself is read from now on.
fn direct(mode: &watch::Sender<Mode>, direct: bool) {
    mode.send_if_modified(|mode| {
        let changed = mode.direct != direct;
        if changed {
            mode.direct = direct;
            mode.epoch += 1;
        }
        changed
    });
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(whole(Vec::new()));
    *response.status_mut() = status;
    response
}

fn whole(bytes: Vec<u8>) -> Body {
    Full::new(Bytes::from(bytes))
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

#[cfg(test)]
mod tests;

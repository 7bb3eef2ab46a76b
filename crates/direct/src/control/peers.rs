//! Asking another instance what the log says.
//!
//! An instance with seeds to ask follows one of them in place of the log: a
//! question waits there until something changes, so news is as quick as with
//! the log itself. When the one it asks fails, falls silent or lost the log
//! itself, it asks another one, as long as what it knows isn't too old by then,
//! and else reads the log and looks for another after a pause.
//! What a peer tells is taken only if it is not older than what was read
//! here: an endpoint that was seen leaving must not come back.

mod answer;
mod passing;

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{self, Body, Connector};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::Version;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

pub(super) use self::answer::answer;
pub(super) use self::passing::exchange;
pub(crate) use self::passing::pass_on;
use self::passing::take;
use super::follow::Mode;
use crate::board::{Question, Told};
use crate::policy::Content;
use crate::roster::Registration;
use crate::shared::Shared;
use crate::standby::Peers;
use crate::suspects::Evidence;

const PATH: &str = "/peer/v1/state";

/// The longest that a question waits for news. Two instances of hundreds that
/// are asked were busy with questions that nothing had come of.
const LONGEST_WAIT: Duration = Duration::from_millis(1_400);

/// What is kept back of the time within which news has to be acted on, for
/// reading the log anew and a moment without the processor.
const SPARE: Duration = Duration::from_millis(150);

/// How long an answer may take beyond that: machines are 2 ms apart, and a
/// small one may be without the processor for a tenth of a second.
const PATIENCE: Duration = Duration::from_millis(250);

/// The least age of its news from which on a peer counts as having lost the log.
/// One that reads for others is confirmed every half second, by a read sent as
/// long ago.
const LEAST_AGE: Duration = Duration::from_millis(1_200);

/// The pause before another instance is looked for, before jitter.
const PAUSE: Duration = Duration::from_secs(3);

/// The same while the log can't be read. Asking a peer costs the platform
/// nothing, and the first of them to get through serves all.
const HASTE: Duration = Duration::from_millis(400);

/// How long after its start an instance asks peers in haste. Those that are asked
/// start at the same time and need up to a second themselves. Until it follows one
/// it reads the log: of 1,367 calls that seventy instances made on a calm day with a
/// pause of three seconds, these save 240.
const STARTS: Duration = Duration::from_secs(5);

/// How long an instance that starts asks peers before it reads the log: time for
/// one that is gone, and for one that starts as well and answers when it has read.
const START: Duration = Duration::from_millis(600);

/// The pause before it asks again peers that don't listen yet.
const AGAIN: Duration = Duration::from_millis(50);

/// How long an instance that is to read the log asks another one before it
/// tries the log again.
const VISIT: Duration = Duration::from_secs(4);

/// How often one instance is asked until it tells something that is not older
/// than what is known here. Both read the log at moments of their own.
const TRIES: u32 = 4;

/// The most that a question or an answer may hold: a configuration of 8,900
/// workspaces and 3,300 endpoints takes about 3 MB.
const MESSAGE_BYTES: usize = 16 << 20;

/// What a peer told, in this instance's time.
pub(super) struct News {
    pub(super) policy: Option<Content>,
    /// When the read was sent that confirmed the configuration.
    pub(super) policy_read: Moment,
    /// When the read was sent that confirmed the list of endpoints.
    pub(super) endpoints_read: Moment,
    pub(super) whole: bool,
    pub(super) set: Vec<Registration>,
    pub(super) lapsed: Vec<String>,
    pub(super) gone: Vec<String>,
    pub(super) evidence: Vec<Evidence>,
}

/// Why a peer is not followed.
#[derive(Debug, displaydoc::Display)]
enum Refusal {
    /// it can't be asked ({0})
    Unreachable(String),
    /// it answered nothing in time
    Silent,
    /// it has status {0}
    Status(StatusCode),
    /// its answer makes no sense ({0})
    Garbled(String),
    /// it has not read the log for a while
    Stale,
    /// it knows less than is known here
    Older,
}

/// Returns how long a question waits for news that has to be acted on within
/// `bound`.
///
/// It bounds how old what is known here can get while the one that is asked
/// loses the log or goes dark: an answer at the limit of its age, this wait,
/// and the patience.
fn wait(bound: Duration) -> Duration {
    bound
        .saturating_sub(SPARE)
        .saturating_sub(LEAST_AGE)
        .saturating_sub(PATIENCE)
        .min(LONGEST_WAIT)
}

/// Returns the age of its news from which on a peer counts as having lost the log,
/// where news has to be acted on within `bound`: all that the wait leaves of it.
///
/// A log whose answers are slow or get lost makes what is known older, but not
/// wrong. Left at the least age by all that ask it, a peer was of no use just when
/// the log was in trouble, and hundreds of instances went there themselves.
fn oldest(bound: Duration) -> Duration {
    bound
        .saturating_sub(SPARE)
        .saturating_sub(wait(bound))
        .saturating_sub(PATIENCE)
        .max(LEAST_AGE)
}

/// Returns how long asking another peer may take with news of this age, which has to
/// be acted on within `bound`: until the log has to be read anew.
fn left(bound: Duration, age: Duration) -> Duration {
    bound.saturating_sub(SPARE).saturating_sub(age)
}

struct Peer<'a> {
    connector: &'a Connector,
    address: SocketAddr,
    shared: &'a Shared,
    told: Known,
}

/// What a peer has told so far, so that it tells only what came since.
#[derive(Debug, Default)]
struct Known {
    life: u64,
    stamp: u64,
    version: Version,
}

impl Known {
    fn take(&mut self, told: &Told) {
        (self.life, self.stamp) = (told.life, told.stamp);
        if let Some(policy) = &told.policy {
            self.version = policy.version;
        }
    }

    // The version to ask with, where this one is in force. What was just told may not
    // be yet. Asked for by what is, the next answer held a long configuration once
    // more, from an instance that a hundred others ask at the same time.
    fn version(&self, in_force: Version) -> Version {
        in_force.max(self.version)
    }
}

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
    let seeds = shared.settings.others();
    let first = rand::rng().random_range(0..seeds.len().max(1));
    let visits = shared.settings.reads_for_others();
    let mut lost = shared.lost();
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
        let mut turn = VecDeque::from(self.peers.turn(rand::rng().random()));
        loop {
            let Some(address) = turn.pop_front() else {
                // Others that start at the same time may not listen yet.
                if self.knows() || self.allowed() < PATIENCE {
                    return Turn::Over;
                }
                tokio::time::sleep(AGAIN).await;
                turn = self.peers.turn(rand::rng().random()).into();
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
                turn = self.peers.turn(rand::rng().random()).into();
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
        self.shared.tell(false, |board| board.confirmed())
    }

    // How long asking a peer may take before the log has to be read.
    fn allowed(&self) -> Duration {
        if self.mode.borrow().direct {
            return LONGEST_WAIT;
        }
        match self.known() {
            Some(read) => left(self.shared.settings.news(), since(boot_time(), read)),
            None => START.saturating_sub(self.shared.uptime()),
        }
    }

    // Follows a peer until it is no use any more; `None` if nobody listens.
    async fn follow(&mut self, address: SocketAddr, allowed: Duration) -> Option<Refusal> {
        let shared = Arc::clone(&self.shared);
        let connector = self.connector.clone();
        let mut peer = Peer {
            connector: &connector,
            address,
            shared: &shared,
            told: Known::default(),
        };
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
            self.peers.named(address, told.standbys);
            if self.events.send((self.event)(told.news)).await.is_err() {
                return None;
            }
            let wait = wait(shared.settings.news());
            told = match peer.question(wait).await {
                Ok(told) => told,
                Err(refusal) => return Some(refusal),
            };
        }
    }
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

// An answer, and whom else to ask.
struct Answered {
    news: News,
    standbys: Vec<SocketAddr>,
}

impl Peer<'_> {
    // Asks until the peer tells something that is not older than what is
    // known here; one that knows nothing yet itself may wait this long for it.
    async fn begin(&mut self, wait: Duration) -> Result<Answered, Refusal> {
        for _ in 0..TRIES {
            let told = self.question(wait).await?;
            let known = self.shared.tell(false, |board| board.endpoints_confirmed());
            if Some(told.news.endpoints_read) >= known {
                return Ok(told);
            }
            // It has to tell all again: this was not taken.
            self.told = Known::default();
            tokio::time::sleep(PATIENCE).await;
        }
        Err(Refusal::Older)
    }

    async fn question(&mut self, wait: Duration) -> Result<Answered, Refusal> {
        let view = self.shared.view();
        let in_force = view.policy.as_ref().map_or(0, |policy| policy.version());
        let digest = if self.told.life == 0 {
            self.shared.tell(false, |board| board.digest())
        } else {
            0
        };
        let question = Question {
            life: self.told.life,
            stamp: self.told.stamp,
            digest,
            own: self.shared.settings.listen.peers,
            version: self.told.version(in_force),
            wait,
            loads: self.shared.book().take_heard(boot_time()),
            held: self.shared.directory().take_untold(boot_time()),
        };
        let asked = boot_time();
        let mut told = timeout(wait + PATIENCE, self.send(&question))
            .await
            .map_err(|_elapsed| Refusal::Silent)??;
        self.told.take(&told);
        let made = asked + told.waited;
        take(self.shared, &told.loads, made);
        for holding in &told.held {
            self.shared.directory().learn(holding, made);
        }
        Ok(Answered {
            standbys: std::mem::take(&mut told.standbys),
            news: news(told, asked, oldest(self.shared.settings.news()))?,
        })
    }

    async fn send(&self, question: &Question) -> Result<Told, Refusal> {
        let body =
            rmp_serde::to_vec(question).map_err(|error| Refusal::Garbled(error.to_string()))?;
        let request = Request::post(PATH)
            .body(whole(body))
            .map_err(|error| Refusal::Garbled(error.to_string()))?;
        let wait = question.wait + PATIENCE;
        let response = self
            .connector
            .send(self.address, request, wait)
            .await
            .map_err(|error| Refusal::Unreachable(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(Refusal::Status(response.status()));
        }
        let bytes = Limited::new(response.into_body(), MESSAGE_BYTES)
            .collect()
            .await
            .map_err(|error| Refusal::Unreachable(error.to_string()))?
            .to_bytes();
        rmp_serde::from_slice(&bytes).map_err(|error| Refusal::Garbled(error.to_string()))
    }
}

// The peer made its answer no sooner than it had waited after it was
// asked. Counted from there, its ages never make anything look younger.
fn news(told: Told, asked: Moment, oldest: Duration) -> Result<News, Refusal> {
    let made = asked + told.waited;
    let (Some(policy_age), Some(endpoints_age)) = (told.policy_age, told.endpoints_age) else {
        return Err(Refusal::Stale);
    };
    if policy_age.max(endpoints_age) > oldest {
        return Err(Refusal::Stale);
    }
    Ok(News {
        policy: told.policy,
        policy_read: since(made, policy_age),
        endpoints_read: since(made, endpoints_age),
        whole: told.whole,
        set: told.set,
        lapsed: told.lapsed,
        gone: told.gone,
        evidence: told
            .sightings
            .iter()
            .map(|sighting| sighting.evidence(made))
            .collect(),
    })
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

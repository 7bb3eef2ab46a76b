//! Asking another instance what the log says, and answering such questions.
//!
//! An instance with seeds to ask follows one of them in place of the log: a
//! question waits there until something changes, so news is as quick as with
//! the log itself. It goes back to the log at once when the one it asks fails,
//! falls silent or lost the log itself, and looks for another after a pause.
//! What a peer tells is taken only if it is not older than what was read
//! here: an endpoint that was seen leaving must not come back.

mod passing;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{self, Body, Connector};
use godwitpost_types::clock::{Moment, since};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

pub(super) use self::passing::exchange;
pub(crate) use self::passing::pass_on;
use self::passing::{EVIDENCE_PATH, HEARD_PATH, heard, learn, take};
use super::follow::Mode;
use crate::board::{Question, Told};
use crate::policy::Content;
use crate::roster::Registration;
use crate::shared::Shared;
use crate::suspects::Evidence;

const PATH: &str = "/peer/v1/state";

/// The longest that a question waits for news. Two instances of hundreds that
/// are asked were busy with questions that nothing had come of.
const LONGEST_WAIT: Duration = Duration::from_millis(1_400);

/// What is kept back of the time within which news has to be acted on, for
/// reading the log anew and a moment without the processor.
const SPARE: Duration = Duration::from_millis(150);

/// How long news waits for more before it is told: a release or a scale-out
/// brings a change a few times a second, and each would be an answer to all.
const SETTLE: Duration = Duration::from_millis(100);

/// How long an answer may take beyond that: machines are 2 ms apart, and a
/// small one may be without the processor for a tenth of a second.
const PATIENCE: Duration = Duration::from_millis(250);

/// The age of a configuration from which on a peer counts as having lost the
/// log. One that reads for others is confirmed every half second, by a read
/// sent as long ago.
const POLICY_AGE: Duration = Duration::from_millis(1_200);

/// The same for the list of endpoints, which is read every half second.
const LIST_AGE: Duration = Duration::from_millis(900);

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
        .saturating_sub(POLICY_AGE)
        .saturating_sub(PATIENCE)
        .min(LONGEST_WAIT)
}

struct Peer<'a> {
    connector: &'a Connector,
    address: SocketAddr,
    shared: &'a Shared,
    life: u64,
    stamp: u64,
}

/// Follows one seed after the other for as long as somebody listens.
pub(super) async fn ask<E>(
    shared: Arc<Shared>,
    mode: watch::Sender<Mode>,
    events: mpsc::Sender<E>,
    event: fn(News) -> E,
) {
    let connector = Connector::new(connect::Settings {
        connect_timeout: PATIENCE,
        ..connect::Settings::default()
    });
    let seeds = shared.settings.others();
    let visits = shared.settings.reads_for_others();
    let mut next = rand::rng().random_range(0..seeds.len().max(1));
    let mut lost = shared.lost();
    while due(&shared, &mut lost, visits).await {
        let Some(address) = seeds.get(next % seeds.len().max(1)).copied() else {
            return;
        };
        next += 1;
        let mut peer = Peer {
            connector: &connector,
            address,
            shared: &shared,
            life: 0,
            stamp: 0,
        };
        let following = peer.follow(&mode, &events, event);
        let longest = if visits { VISIT } else { Duration::MAX };
        let refusal = timeout(longest, following).await;
        direct(&mode, true);
        match refusal {
            Ok(None) => return,
            Ok(Some(refusal)) => {
                log::info!(peer:% = address, cause:% = refusal; "peer not followed; the log is read");
            }
            Err(_elapsed) => log::info!(peer:% = address; "the log is tried again"),
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

impl Peer<'_> {
    // Follows the peer until it is no use any more; `None` if nobody listens.
    async fn follow<E>(
        &mut self,
        mode: &watch::Sender<Mode>,
        events: &mpsc::Sender<E>,
        event: fn(News) -> E,
    ) -> Option<Refusal> {
        let mut news = match self.begin().await {
            Ok(news) => news,
            Err(refusal) => return Some(refusal),
        };
        log::info!(peer:% = self.address; "peer followed in place of the log");
        direct(mode, false);
        loop {
            if events.send(event(news)).await.is_err() {
                return None;
            }
            news = match self.question().await {
                Ok(news) => news,
                Err(refusal) => return Some(refusal),
            };
        }
    }

    // Asks until the peer tells something that is not older than what is
    // known here.
    async fn begin(&mut self) -> Result<News, Refusal> {
        for _ in 0..TRIES {
            let news = self.question().await?;
            let known = self.shared.tell(false, |board| board.endpoints_confirmed());
            if Some(news.endpoints_read) >= known {
                return Ok(news);
            }
            // It has to tell all again: this was not taken.
            (self.life, self.stamp) = (0, 0);
            tokio::time::sleep(PATIENCE).await;
        }
        Err(Refusal::Older)
    }

    async fn question(&mut self) -> Result<News, Refusal> {
        let wait = wait(self.shared.settings.news());
        let view = self.shared.view();
        let question = Question {
            life: self.life,
            stamp: self.stamp,
            version: view.policy.as_ref().map_or(0, |policy| policy.version()),
            wait,
            loads: self.shared.book().take_heard(boot_time()),
            held: self.shared.directory().take_untold(boot_time()),
        };
        let asked = boot_time();
        let told = timeout(wait + PATIENCE, self.send(&question))
            .await
            .map_err(|_elapsed| Refusal::Silent)??;
        (self.life, self.stamp) = (told.life, told.stamp);
        let made = asked + told.waited;
        take(self.shared, &told.loads, made);
        for holding in &told.held {
            self.shared.directory().learn(holding, made);
        }
        news(told, asked)
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
fn news(told: Told, asked: Moment) -> Result<News, Refusal> {
    let made = asked + told.waited;
    let (Some(policy_age), Some(endpoints_age)) = (told.policy_age, told.endpoints_age) else {
        return Err(Refusal::Stale);
    };
    if policy_age > POLICY_AGE || endpoints_age > LIST_AGE {
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

/// Answers a peer's question, at once if there is news.
pub(super) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let began = boot_time();
    let path = request.uri().path().to_owned();
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_BYTES)
        .collect()
        .await
    else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    match path.as_str() {
        PATH => state(&shared, &body, began).await,
        EVIDENCE_PATH => learn(&shared, &body, began),
        HEARD_PATH => heard(&shared, &body, began),
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn state(shared: &Shared, body: &[u8], began: Moment) -> Response<Body> {
    let Ok(question) = rmp_serde::from_slice::<Question>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let until = Instant::now() + question.wait.min(LONGEST_WAIT);
    take(shared, &question.loads, began);
    for holding in &question.held {
        shared.directory().relay(holding, began);
    }
    let mut news = shared.news();
    loop {
        news.mark_unchanged();
        let now = boot_time();
        let told = shared.tell(false, |board| board.tell(&question, since(now, began), now));
        if told.whole || told.policy.is_some() {
            break;
        }
        if told.is_news() {
            sleep_until(until.min(Instant::now() + SETTLE)).await;
            break;
        }
        if timeout_at(until, news.changed()).await.is_err() {
            break;
        }
    }
    // The ages are those of now, also if nothing came in the time allowed.
    let now = boot_time();
    let mut told = shared.tell(false, |board| board.tell(&question, since(now, began), now));
    told.loads = shared.book().loads(now);
    match rmp_serde::to_vec(&told) {
        Ok(bytes) => Response::new(whole(bytes)),
        Err(error) => {
            log::error!(error:% = error; "state can't be told to peers");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
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

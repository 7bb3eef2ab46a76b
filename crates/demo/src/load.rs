//! Callers that hold the planned sessions, as `docs/CALLERS.md` tells them to.
//!
//! A call that was not run is sent again, and so is one whose answer broke.
//! An order whose fate is not known is sent again under its key: the key makes
//! a resend a question about the first, and never a second order.

use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::Clock;
use godwitpost_history::event::{CallId, End};
use godwitpost_history::recorder::Recorder;
use godwitpost_types::outcome::Outcome;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::answer;
use crate::balancer::Balancer;
use crate::caller::{self, Ask, Seen};
use crate::deployment::Deployment;
use crate::key;
use crate::plan::{Chat, Lookup, Order, Session};
use crate::report::Report;

/// Sends of one request at most. Six outlast a hard kill and a short outage
/// with the pauses between them.
const SENDS: u64 = 6;

/// The pause before the first resend; it doubles with each.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a person takes to read an answer and write on, in milliseconds.
const THINK_MILLIS: RangeInclusive<u64> = 20..=300;

/// How long a person at a counter takes to ask, in milliseconds. It spreads
/// orders and lookups over the run, through every fault of it.
const COUNTER_MILLIS: RangeInclusive<u64> = 0..=1500;

/// Callers of one deployment with what they share.
#[derive(Debug)]
pub struct Load {
    deployment: &'static Deployment,
    recorder: Recorder,
    balancer: Arc<Balancer>,
    clock: Clock,
    seed: u64,
    next_call: AtomicU64,
    permitted: watch::Sender<u64>,
    done: watch::Sender<u64>,
    report: Mutex<Report>,
}

impl Load {
    /// Makes callers that record what they do and reach the fleet through a
    /// balancer.
    #[must_use]
    pub fn new(
        deployment: &'static Deployment,
        recorder: Recorder,
        balancer: Arc<Balancer>,
        seed: u64,
    ) -> Self {
        let report = Report {
            fleet: deployment.fleet.to_owned(),
            ..Report::default()
        };
        Self {
            deployment,
            recorder,
            balancer,
            clock: Clock::start(),
            seed,
            // A trace id of zero is invalid.
            next_call: AtomicU64::new(1),
            permitted: watch::Sender::new(u64::MAX),
            done: watch::Sender::new(0),
            report: Mutex::new(report),
        }
    }

    /// Returns how many requests have come to their end, as it grows.
    #[must_use]
    pub fn done(&self) -> watch::Receiver<u64> {
        self.done.subscribe()
    }

    /// Starts sessions only while fewer requests than these were started
    /// before them, until told otherwise; those held go on.
    pub fn permit(&self, requests: u64) {
        self.permitted.send_replace(requests);
    }

    /// Returns the figures so far.
    pub fn report(&self) -> MutexGuard<'_, Report> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Holds sessions side by side, `width` at once.
    ///
    /// # Panics
    ///
    /// Panics if a session did, which is a bug of the demo.
    pub async fn run(self: &Arc<Self>, sessions: Vec<Session>, width: usize) {
        let mut held = JoinSet::new();
        let mut started = 0;
        for (session, number) in sessions.into_iter().zip(0..) {
            if held.len() >= width {
                join(&mut held).await;
            }
            self.wait_until_permitted(started).await;
            started += session.requests();
            let load = Arc::clone(self);
            held.spawn(async move { load.hold(session, number).await });
        }
        while !held.is_empty() {
            join(&mut held).await;
        }
    }

    async fn wait_until_permitted(&self, started: u64) {
        let mut permitted = self.permitted.subscribe();
        let waited = permitted.wait_for(|permitted| started < *permitted).await;
        waited.expect("the load holds the sender");
    }

    async fn hold(&self, session: Session, number: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(number + 1);
        match session {
            Session::Chat(chat) => self.chat(chat, &mut rng).await,
            Session::Order(order) => {
                pause(COUNTER_MILLIS, &mut rng).await;
                self.order(&order, &mut rng).await;
            }
            Session::Lookup(lookup) => {
                pause(COUNTER_MILLIS, &mut rng).await;
                self.lookup(&lookup, &mut rng).await;
            }
        }
    }

    async fn chat(&self, chat: Chat, rng: &mut ChaCha8Rng) {
        let mut messages = Vec::new();
        for (number, turn) in (1..).zip(&chat.turns) {
            messages.push(json!({ "role": "user", "content": turn.text }));
            let body = json!({
                "model": self.deployment.model,
                "stream": true,
                "max_tokens": turn.tokens,
                "messages": messages,
            });
            let ask = Ask {
                job: format!("{}-{number}", chat.id),
                workspace: chat.workspace.clone(),
                chat: Some(chat.id.clone()),
                key: None,
                method: Method::POST,
                path: "/v1/chat/completions".to_owned(),
                body: Bytes::from(body.to_string()),
            };
            let seen = self.settle(0, ask, rng).await;
            let said = answer::streamed(&String::from_utf8_lossy(&seen.body));
            messages.push(json!({ "role": "assistant", "content": said }));
            pause(THINK_MILLIS, rng).await;
        }
    }

    /// Places an order and returns the last answer to it.
    pub async fn order(&self, order: &Order, rng: &mut ChaCha8Rng) -> Seen {
        let body = json!({ "order": order.key, "copies": order.copies });
        let ask = Ask {
            job: order.key.clone(),
            workspace: order.workspace.clone(),
            chat: None,
            key: Some(self.key(rng)),
            method: Method::POST,
            path: self.deployment.order_path.to_owned(),
            body: Bytes::from(body.to_string()),
        };
        self.settle(1, ask, rng).await
    }

    async fn lookup(&self, lookup: &Lookup, rng: &mut ChaCha8Rng) -> Seen {
        let ask = Ask {
            job: format!("lookup-{}", lookup.item),
            workspace: lookup.workspace.clone(),
            chat: None,
            key: None,
            method: Method::GET,
            path: format!("{}/{}", self.deployment.lookup_path, lookup.item),
            body: Bytes::new(),
        };
        self.settle(2, ask, rng).await
    }

    /// Sends a request until its fate is settled or patience ends.
    pub async fn settle(&self, class: usize, mut ask: Ask, rng: &mut ChaCha8Rng) -> Seen {
        let class = self.deployment.classes[class];
        let mut sends = 0;
        let seen = loop {
            let seen = self.send(class, &ask, rng).await;
            sends += 1;
            if sends == SENDS || settled(&seen, &ask) {
                break seen;
            }
            self.rekey(&mut ask, &seen, rng);
            tokio::time::sleep(PAUSE * (1 << (sends - 1))).await;
        };
        self.done.send_modify(|done| *done += 1);
        seen
    }

    // *Not run* is a promise, so the order may be placed anew under another
    // key; the old key is as good unless it was spent. Callers do either.
    fn rekey(&self, ask: &mut Ask, seen: &Seen, rng: &mut ChaCha8Rng) {
        let told = seen.end == End::Whole && seen.outcome == Some(Outcome::NotRun);
        if told && ask.key.is_some() && rng.random_bool(0.5) {
            ask.key = Some(self.key(rng));
        }
    }

    fn key(&self, rng: &mut ChaCha8Rng) -> String {
        key::draw(self.clock.now(), rng)
    }

    /// Sends one call to an instance that the balancer picks.
    ///
    /// # Panics
    ///
    /// Panics if the balancer knows no instance; the demo leaves some up.
    pub async fn send(&self, class: &str, ask: &Ask, rng: &mut ChaCha8Rng) -> Seen {
        let call: CallId = self.next_call.fetch_add(1, Ordering::Relaxed);
        let to = self
            .balancer
            .pick(rng)
            .expect("the demo leaves instances up");
        let seen = caller::call(&self.recorder, call, &to, ask).await;
        let whole = seen.end == End::Whole;
        let mut report = self.report();
        report.count(class, seen.outcome, whole);
        report.refused(reason(&seen));
        if whole && seen.outcome == Some(Outcome::Ran) {
            report.time(class, seen.first.unwrap_or(seen.total), seen.total);
        }
        seen
    }
}

async fn join(held: &mut JoinSet<()>) {
    if let Some(ended) = held.join_next().await {
        ended.expect("a session doesn't panic");
    }
}

async fn pause(millis: RangeInclusive<u64>, rng: &mut ChaCha8Rng) {
    let millis = rng.random_range(millis);
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

// Routers' own answers (RFC 9457) name their reason for programs as a type.
fn reason(seen: &Seen) -> Option<String> {
    if !matches!(seen.outcome, Some(Outcome::NotRun | Outcome::Unknown)) {
        return None;
    }
    let problem: Value = serde_json::from_slice(&seen.body).ok()?;
    let kind = problem.get("type")?.as_str()?;
    kind.strip_prefix("urn:godwitpost:").map(str::to_owned)
}

// A whole answer that says *ran* is the end, whatever the endpoint said in it.
// The fate of an order that is unknown stays so: asking again tells no more.
// What may run twice is simply sent again.
fn settled(seen: &Seen, ask: &Ask) -> bool {
    let told = match seen.outcome {
        Some(Outcome::Ran) => true,
        Some(Outcome::Unknown) => ask.key.is_some(),
        Some(Outcome::NotRun) | None => false,
    };
    told && seen.end == End::Whole
}

//! A caller that writes into the history what it asked and what it got.
//!
//! Each call has a connection of its own, so a broken connection belongs to
//! one call, and a server that closes an idle connection can't be mistaken
//! for one that cuts a request. The call's number goes along as the trace id
//! of a `traceparent` header (W3C Trace Context), which routers relay as any
//! other, so an endpoint's run can be told apart from that of a resend.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_history::event::{CallId, Dispatch, End, Got, Sent, What};
use godwitpost_history::recorder::Recorder;
use godwitpost_types::outcome::Outcome;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::answer;

/// Longest head and body of an answer that a caller waits for. Streams of the
/// demo last a second or two; the rest is a machine under load.
const PATIENCE: Duration = Duration::from_secs(20);

/// An instance as the balancer knows it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: String,
    /// Where it listens for callers.
    pub address: SocketAddr,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The job; the same for each resend of an unrepeatable request.
    pub job: String,
    /// The workspace.
    pub workspace: String,
    /// The chat, if it continues one.
    pub chat: Option<String>,
    /// The idempotency key of an unrepeatable request.
    pub key: Option<String>,
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// What it was told of its request's fate.
    pub outcome: Option<Outcome>,
    /// The status, if a head came.
    pub status: Option<u16>,
    /// How the answer ended.
    pub end: End,
    /// The answer's body, as far as it came.
    pub body: Vec<u8>,
    /// How long the first byte of the body took, if one came.
    pub first: Option<Duration>,
    /// How long all of it took.
    pub total: Duration,
}

/// Sends one call to an instance, and records it.
pub async fn call(recorder: &Recorder, call: CallId, to: &Target, ask: &Ask) -> Seen {
    recorder.record(What::CallerSent(Sent {
        call,
        job: ask.job.clone(),
        workspace: ask.workspace.clone(),
        instance: to.name.clone(),
        unrepeatable: ask.key.is_some(),
    }));
    let started = Instant::now();
    let mut seen = Seen {
        outcome: None,
        status: None,
        end: End::Cut,
        body: Vec::new(),
        first: None,
        total: Duration::ZERO,
    };
    let exchange = exchange(recorder, call, to, ask, started, &mut seen);
    let end = timeout(PATIENCE, exchange).await.unwrap_or(End::Abandoned);
    seen.end = end;
    seen.total = started.elapsed();
    recorder.record(What::CallerGot(Got {
        call,
        outcome: seen.outcome,
        status: seen.status,
        end,
        answer: answer(&seen),
    }));
    seen
}

// A router's own answers are errors in JSON; what an endpoint answers has the
// outcome *ran* and is relayed with its status.
fn answer(seen: &Seen) -> Option<String> {
    let from_endpoint = seen.outcome == Some(Outcome::Ran) && seen.status == Some(200);
    from_endpoint.then(|| answer::of_body(&seen.body))
}

async fn exchange(
    recorder: &Recorder,
    call: CallId,
    to: &Target,
    ask: &Ask,
    started: Instant,
    seen: &mut Seen,
) -> End {
    let Ok(stream) = TcpStream::connect(to.address).await else {
        return End::Unreached;
    };
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return End::Unreached;
    };
    // The connection's error shows at the sender or in the body as well.
    let driver = tokio::spawn(connection);
    let end = match sender.send_request(request(call, to, ask)).await {
        Ok(response) => {
            let (head, body) = response.into_parts();
            seen.status = Some(head.status.as_u16());
            seen.outcome = outcome(&head.headers);
            dispatched(recorder, call, to, &head.headers);
            read(body, started, seen).await
        }
        Err(_) => End::Cut,
    };
    driver.abort();
    end
}

async fn read(mut body: Incoming, started: Instant, seen: &mut Seen) -> End {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return End::Cut;
        };
        if let Ok(bytes) = frame.into_data() {
            seen.first.get_or_insert_with(|| started.elapsed());
            seen.body.extend_from_slice(&bytes);
        }
    }
    End::Whole
}

fn request(call: CallId, to: &Target, ask: &Ask) -> Request<Full<Bytes>> {
    let mut request = Request::builder()
        .method(&ask.method)
        .uri(&ask.path)
        .header("host", to.address.to_string())
        .header("content-type", "application/json")
        .header("traceparent", format!("00-{call:032x}-{call:016x}-01"))
        .header("godwitpost-workspace", &ask.workspace);
    if let Some(chat) = &ask.chat {
        request = request.header("godwitpost-chat", chat);
    }
    if let Some(key) = &ask.key {
        request = request.header("idempotency-key", key);
    }
    request
        .body(Full::new(ask.body.clone()))
        .expect("names of the demo are valid header values")
}

fn outcome(headers: &HeaderMap) -> Option<Outcome> {
    let value = headers.get("godwitpost-outcome")?;
    Outcome::parse(value.to_str().ok()?)
}

// The caller learns from the head under which version and which way its
// request went out.
fn dispatched(recorder: &Recorder, call: CallId, to: &Target, headers: &HeaderMap) {
    if outcome(headers) != Some(Outcome::Ran) {
        return;
    }
    let version = headers
        .get("godwitpost-version")
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let Some(version) = version else {
        return;
    };
    for instance in way(headers, to) {
        recorder.record(What::Dispatched(Dispatch {
            call,
            instance,
            version,
        }));
    }
}

// The instances that relayed an answer name themselves in its `Via`.
fn way(headers: &HeaderMap, to: &Target) -> Vec<String> {
    let via = headers.get_all("via").iter();
    let names = via.filter_map(|value| value.to_str().ok()?.strip_prefix("1.1 "));
    let way: Vec<String> = names.map(str::to_owned).collect();
    if way.is_empty() {
        return vec![to.name.clone()];
    }
    way
}

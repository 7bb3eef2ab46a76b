//! Sends a request to an endpoint, through another instance if this one can't connect.
//!
//! The request is given to one instance after another until one of them has sent it or
//! enough say that they don't reach the endpoint either. All decisions stay here: which
//! endpoint, how many attempts, when to give up. An instance that takes a request checks it
//! under its own configuration, sends it to the named endpoint once or not at all, and never
//! gives it to a further instance.

mod taken;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::{Cause, Connection, Connector, Error, ResponseBody};
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

pub(crate) use self::taken::handle_forwarded;
use super::Job;
use super::choose::{Chosen, RESPONSE_RETURN_TIME};
use super::send::{build_request, head_timeout, max_idle};
use super::source::Source;
use crate::forwarders::Fault;
use crate::hop::{
    FORWARD_PATH, Frame, FrameError, HEAD_LENGTH_HEADER, Outcome, PROBE_PATH, encode_headers,
};
use crate::reach::{Destination, Way};
use crate::roster::Registration;
use crate::shared::Shared;
use crate::stats::Observation;

/// How long a connection may take before the request is given to another instance. The
/// connection goes on being opened meanwhile. A live endpoint in another region accepts
/// within 45 ms; a plain request has 100 ms to be of full value.
const HANDOVER_DELAY: Duration = Duration::from_millis(60);

/// How long after the start of an attempt further instances are asked. With the time that
/// the last one takes to connect, an attempt costs no more than a connection that hangs.
const MAX_ASKING_TIME: Duration = Duration::from_millis(100);

/// How many instances are asked for one attempt, and how many of them have to be unable to
/// connect to the endpoint for it to count as down. One alone may be cut off as well.
const MAX_ASKED: usize = 3;
const UNREACHABLE_FROM_TO_BE_DOWN: usize = 2;

/// How long another instance may take to say whether it reaches an endpoint: its connection
/// to the endpoint, and the way there and back.
const MAX_QUESTION_TIME: Duration = Duration::from_millis(300);

/// What came of sending a request.
pub(super) enum Sent {
    /// The endpoint responded, to this instance itself or to the one that is named.
    Response(Box<Response<ResponseBody>>, Option<SocketAddr>),
    /// This instance itself sent it, or couldn't.
    Failed(Error),
    /// Nothing was sent: neither this instance nor those that it asked reach the endpoint.
    Unreachable,
    /// It is unknown whether it ran: another instance took it, or this one shuts down.
    Lost,
}

/// What came of giving a request to other instances.
enum Forwarded {
    Response(Box<Response<ResponseBody>>, SocketAddr),
    Lost,
    /// Nothing was sent; whether enough instances don't reach the endpoint.
    NotSent {
        is_down: bool,
    },
}

/// A connection of this instance that is not established.
enum Connecting {
    Failed(Cause),
    Pending(JoinHandle<Result<Connection, Cause>>),
    /// It was not tried, since the endpoint is out of reach.
    Skipped,
}

/// Sends a request to the chosen endpoint.
pub(super) async fn send(job: &Job, chosen: &Chosen, last_event_id: Option<u64>) -> Sent {
    let registration = &chosen.registration;
    let connecting = match send_directly(job, chosen, last_event_id).await {
        Ok(sent) => return sent,
        Err(connecting) => connecting,
    };
    let now = boot_time();
    let may_ask = job
        .shared
        .reach()
        .may_ask_others(registration.endpoint.id, now);
    let forwarded = if may_ask {
        give_to_others(job, chosen, last_event_id).await
    } else {
        // What was learned half a second ago is not learned anew.
        Forwarded::NotSent { is_down: false }
    };
    match forwarded {
        Forwarded::Response(response, via) => {
            record_forwarded(&job.shared, registration, connecting);
            Sent::Response(response, Some(via))
        }
        Forwarded::Lost => Sent::Lost,
        Forwarded::NotSent { is_down } => {
            if is_down {
                record_down(job, registration);
            }
            finish_directly(job, chosen, last_event_id, connecting).await
        }
    }
}

/// Returns an endpoint as the record of lost paths knows it.
pub(super) fn destination(registration: &Registration) -> Destination {
    let endpoint = &registration.endpoint;
    Destination {
        endpoint: endpoint.id,
        service: endpoint.service,
        zone: endpoint.zone,
    }
}

// Sends the request over a connection of this instance if there is one or one is
// established soon. Otherwise nothing was sent.
async fn send_directly(
    job: &Job,
    chosen: &Chosen,
    last_event_id: Option<u64>,
) -> Result<Sent, Connecting> {
    let registration = &chosen.registration;
    let address = registration.endpoint.address;
    let connector = &job.shared.connector;
    let wait = head_timeout(job);
    // A connection from before a cut may live on.
    if connector.has_recent(address, max_idle(job)) {
        let request = build_direct_request(job, chosen, last_event_id);
        let sent = connector.send_with_max_idle(address, request, wait, max_idle(job));
        return match sent.await {
            Err(Error::NotSent { cause, .. }) if cause.is_unreachable() => {
                Err(Connecting::Failed(cause))
            }
            result => Ok(sent_directly(result)),
        };
    }
    let to = destination(registration);
    if job.shared.reach().way(to) == Way::Forward {
        probe(&job.shared, registration);
        return Err(Connecting::Skipped);
    }
    let mut opening = Box::pin(open(connector.clone(), address, wait));
    match timeout(HANDOVER_DELAY, &mut opening).await {
        Ok(Ok(connection)) => {
            let request = build_direct_request(job, chosen, last_event_id);
            let result = connector.send_over(connection, request, wait).await;
            Ok(sent_directly(result))
        }
        Ok(Err(cause)) => Err(Connecting::Failed(cause)),
        Err(_elapsed) => Err(Connecting::Pending(tokio::spawn(opening))),
    }
}

// Waits for the connection that is being established, after no other instance has sent the
// request.
async fn finish_directly(
    job: &Job,
    chosen: &Chosen,
    last_event_id: Option<u64>,
    connecting: Connecting,
) -> Sent {
    let opened = match connecting {
        Connecting::Skipped => return Sent::Unreachable,
        Connecting::Failed(cause) => Err(cause),
        Connecting::Pending(opening) => opening.await.unwrap_or(Err(Cause::ConnectTimeout)),
    };
    match opened {
        Ok(connection) => {
            let request = build_direct_request(job, chosen, last_event_id);
            let wait = head_timeout(job);
            let result = job.shared.connector.send_over(connection, request, wait);
            sent_directly(result.await)
        }
        Err(cause) => Sent::Failed(Error::NotSent {
            cause,
            request: None,
        }),
    }
}

async fn open(
    connector: Connector,
    address: SocketAddr,
    wait: Duration,
) -> Result<Connection, Cause> {
    connector.connect(address, wait).await
}

fn sent_directly(result: Result<Response<ResponseBody>, Error>) -> Sent {
    match result {
        Ok(response) => Sent::Response(Box::new(response), None),
        Err(error) => Sent::Failed(error),
    }
}

fn build_direct_request(
    job: &Job,
    chosen: &Chosen,
    last_event_id: Option<u64>,
) -> Request<godwitpost_client::connect::Body> {
    let source = chosen.source.as_ref().and_then(Source::registration);
    let source = source.map(|source| source.endpoint.address);
    build_request(job, &chosen.registration, source, last_event_id)
}

// Gives the request to one instance after another until one has sent it.
async fn give_to_others(job: &Job, chosen: &Chosen, last_event_id: Option<u64>) -> Forwarded {
    let started = Instant::now();
    let mut asked = Vec::new();
    let mut unreachable = Vec::new();
    while asked.len() < MAX_ASKED && (asked.is_empty() || started.elapsed() < MAX_ASKING_TIME) {
        let draw = rand::rng().random();
        let picked = job.shared.forwarders().pick(&asked, draw, boot_time());
        let Some(via) = picked.filter(|_| job.remaining() > RESPONSE_RETURN_TIME) else {
            break;
        };
        asked.push(via);
        let (outcome, response) = give(job, chosen, last_event_id, via).await;
        job.shared.metrics.count_forward(outcome);
        log::info!(
            request:% = job.id(), endpoint:% = chosen.registration.endpoint.name, via:% = via,
            outcome:% = outcome.as_str(), left_ms:% = job.remaining().as_millis();
            "request given to another instance"
        );
        match (outcome, response) {
            (Outcome::Answered, Some(response)) => {
                // Those that don't reach what this one does are cut off themselves.
                for one in unreachable {
                    avoid(&job.shared, one, Fault::OutOfReach);
                }
                job.shared.forwarders().record_sent_on(via, boot_time());
                return Forwarded::Response(Box::new(response), via);
            }
            (Outcome::Answered | Outcome::Lost, _) => return Forwarded::Lost,
            (Outcome::Unreachable, _) => {
                avoid(&job.shared, via, Fault::Unreachable);
                unreachable.push(via);
            }
            (Outcome::OutOfReach, _) => avoid(&job.shared, via, Fault::OutOfReach),
            (Outcome::Declined, _) => avoid(&job.shared, via, Fault::Declined),
        }
        if unreachable.len() >= UNREACHABLE_FROM_TO_BE_DOWN {
            break;
        }
    }
    let is_down = !unreachable.is_empty()
        && (unreachable.len() >= UNREACHABLE_FROM_TO_BE_DOWN || asked.len() == unreachable.len());
    Forwarded::NotSent { is_down }
}

// Gives the request to one instance and waits for the head of the response.
async fn give(
    job: &Job,
    chosen: &Chosen,
    last_event_id: Option<u64>,
    via: SocketAddr,
) -> (Outcome, Option<Response<ResponseBody>>) {
    let request = match forward_request(job, chosen, last_event_id) {
        Ok(request) => request,
        Err(error) => {
            log::error!(request:% = job.id(), error:% = error; "request can't be given to another instance");
            return (Outcome::Declined, None);
        }
    };
    let connector = &job.shared.forward_connector;
    let sent = connector.send_with_max_idle(via, request, head_timeout(job), max_idle(job));
    match sent.await {
        Ok(mut response) => {
            let outcome = Outcome::take(response.headers_mut());
            if job.method == Method::HEAD {
                restore_length(&mut response);
            }
            (outcome, Some(response))
        }
        Err(error) => {
            log::info!(request:% = job.id(), via:% = via, error:% = error; "another instance did not answer");
            let may_have_run = error.may_have_run();
            // A late head says more of the endpoint than of the instance.
            let is_late = matches!(error, Error::Unknown(Cause::ResponseTimeout));
            let fault = if is_late {
                Fault::Declined
            } else {
                Fault::Gone
            };
            avoid(&job.shared, via, fault);
            let outcome = if may_have_run {
                Outcome::Lost
            } else {
                Outcome::Declined
            };
            (outcome, None)
        }
    }
}

fn forward_request(
    job: &Job,
    chosen: &Chosen,
    last_event_id: Option<u64>,
) -> Result<Request<godwitpost_client::connect::Body>, FrameError> {
    let mut headers = job.headers.clone();
    if let Ok(host) = HeaderValue::try_from(job.host()) {
        headers.insert(HOST, host);
    }
    let source = chosen.source.as_ref().and_then(Source::registration);
    let frame = Frame {
        endpoint: chosen.registration.endpoint.name.clone(),
        build: chosen.registration.build_id(),
        version: job.version,
        remaining: job.remaining().saturating_sub(RESPONSE_RETURN_TIME),
        repeated: job.attempts.sent() > 0,
        last_event_id,
        source: source.map(|source| source.endpoint.name.clone()),
        method: job.method.as_str().to_owned(),
        target: job.target.to_string(),
        headers: encode_headers(&headers),
    };
    let body = Full::new(frame.encode(&job.body)?).map_err(Into::into);
    let mut request = Request::new(body.boxed_unsync());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(FORWARD_PATH);
    Ok(request)
}

// Restores the length of a response to `HEAD`, which has no body on its way between
// instances either.
fn restore_length(response: &mut Response<ResponseBody>) {
    let headers = response.headers_mut();
    if let Some(length) = headers.remove(HEAD_LENGTH_HEADER) {
        headers.insert(CONTENT_LENGTH, length);
    }
}

pub(super) fn avoid(shared: &Shared, via: SocketAddr, fault: Fault) {
    shared.forwarders().avoid(via, fault, boot_time());
    log::info!(via:% = via, fault:% = fault; "instance passed over for a while");
}

/// Returns whether another instance can connect to an endpoint that this one can't connect
/// to, and records that the endpoint is out of reach if so.
pub(super) async fn is_reached_by_others(shared: &Shared, registration: &Registration) -> bool {
    let endpoint = registration.endpoint.id;
    if shared.reach().is_lost(endpoint) {
        return true;
    }
    let mut asked = Vec::new();
    while asked.len() < MAX_ASKED && shared.reach().may_ask_others(endpoint, boot_time()) {
        let draw = rand::rng().random();
        let Some(via) = shared.forwarders().pick(&asked, draw, boot_time()) else {
            break;
        };
        asked.push(via);
        let outcome = ask(shared, registration, via).await;
        log::info!(
            endpoint:% = registration.endpoint.name, via:% = via, outcome:% = outcome.as_str();
            "another instance asked whether it reaches the endpoint"
        );
        if outcome == Outcome::Answered {
            record_loss(shared, registration, &"connection refused after one broke");
            return true;
        }
    }
    if !asked.is_empty() {
        shared.reach().record_down(endpoint, boot_time());
    }
    false
}

async fn ask(shared: &Shared, registration: &Registration, via: SocketAddr) -> Outcome {
    let name = registration.endpoint.name.clone();
    let body = Full::new(name.into()).map_err(Into::into);
    let mut request = Request::new(body.boxed_unsync());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PROBE_PATH);
    let connector = &shared.forward_connector;
    match connector.send(via, request, MAX_QUESTION_TIME).await {
        Ok(mut response) => Outcome::take(response.headers_mut()),
        Err(error) => {
            log::info!(via:% = via, error:% = error; "another instance did not answer");
            avoid(shared, via, Fault::Gone);
            Outcome::Declined
        }
    }
}

// Records that another instance reached the endpoint. Whether this one lost its path shows
// when its own connection has failed.
fn record_forwarded(shared: &Arc<Shared>, registration: &Arc<Registration>, own: Connecting) {
    match own {
        Connecting::Skipped => {}
        Connecting::Failed(cause) => record_loss(shared, registration, &cause),
        Connecting::Pending(opening) => {
            let (shared, registration) = (Arc::clone(shared), Arc::clone(registration));
            tokio::spawn(async move {
                match opening.await {
                    Ok(Ok(connection)) => shared.connector.keep(connection),
                    Ok(Err(cause)) => record_loss(&shared, &registration, &cause),
                    Err(error) => log::error!(error:% = error; "connecting ended early"),
                }
            });
        }
    }
}

// What broke with the path is not held against the endpoint any longer.
fn record_loss(shared: &Shared, registration: &Registration, cause: &dyn fmt::Display) {
    let endpoint = &registration.endpoint;
    shared.connector.close_idle(endpoint.address);
    let draw = rand::rng().random();
    let is_new = shared
        .reach()
        .record_loss(destination(registration), boot_time(), draw);
    if is_new {
        let change = shared.endpoint_stats().forget_failures(endpoint.id);
        shared.record_access_change(endpoint, change, Observation::ReachedByOthers);
        log::warn!(
            endpoint:% = endpoint.name, cause:% = cause;
            "endpoint out of reach: another instance reaches it"
        );
    }
}

// Records that neither this instance nor others reach the endpoint.
fn record_down(job: &Job, registration: &Registration) {
    let endpoint = &registration.endpoint;
    job.shared.reach().record_down(endpoint.id, boot_time());
    log::info!(
        request:% = job.id(), endpoint:% = endpoint.name;
        "endpoint not reached by other instances either"
    );
}

// Tries a connection to an endpoint that is out of reach, if it is time to.
fn probe(shared: &Arc<Shared>, registration: &Arc<Registration>) {
    let to = destination(registration);
    let draw = rand::rng().random();
    if !shared.reach().take_probe(to, boot_time(), draw) {
        return;
    }
    let (shared, registration) = (Arc::clone(shared), Arc::clone(registration));
    tokio::spawn(async move {
        let endpoint = &registration.endpoint;
        match shared
            .connector
            .connect(endpoint.address, Duration::MAX)
            .await
        {
            Ok(connection) => {
                shared.connector.keep(connection);
                let returned = shared.reach().record_connected(to);
                log::info!(
                    endpoint:% = endpoint.name, returned = returned.len();
                    "endpoint within reach again, and others of its service and zone"
                );
            }
            Err(cause) => {
                log::debug!(endpoint:% = endpoint.name, cause:% = cause; "endpoint still out of reach");
            }
        }
    });
}

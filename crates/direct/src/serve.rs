//! The limits of an instance's ports, and the answers to probes and collectors.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_process::serve::{IntakeWait, Limits, SlowClients};
use godwitpost_types::clock::{Moment, since};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use crate::policy;
use crate::shared::Shared;

/// How long a caller's connection may be idle or take to send its next head.
///
/// hyper measures both with one timer. Callers reuse a connection after up to
/// four fifths of the idle time that the configuration allows them, which is
/// mostly a quarter of a minute. A connection that is closed just as a caller
/// sends an order leaves its outcome unknown, so this time is longer.
const IDLE_AND_HEAD_TIMEOUT: Duration = Duration::from_secs(75);

/// The largest head that hyper reads. The configuration's limit, mostly 16 KiB,
/// is checked once the head is complete. Buffers grow only as needed.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long new connections of callers may wait to be taken. A client gives one up after a
/// third of the time that it has left, which for a plain request is two tenths of a second.
const MAX_INTAKE_WAIT: Duration = Duration::from_millis(150);

/// How long a caller may read nothing before its connection is reset, which releases the slot
/// at the endpoint. Progress shows late: a client's system announces room only when a part of
/// its buffer is free. With 5 s a client that read 2 KB/s was disconnected.
const MAX_UNREAD: Duration = Duration::from_secs(10);

/// Size of the system's send buffer for a caller's connection. A response that isn't read
/// fills it; by default it grows to megabytes.
const SEND_BUFFER_BYTES: usize = 16 << 10;

/// How often connections that were closed or reset are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the limits of the ports that only the system's own components use.
pub(crate) const fn internal_limits() -> Limits {
    Limits {
        head_bytes: MAX_HEAD_BYTES,
        head_time: IDLE_AND_HEAD_TIMEOUT,
        head_timeout: None,
        intake_wait: None,
        slow_clients: None,
    }
}

/// Returns the limits of the callers' port under the configuration in force.
pub(crate) fn caller_limits(shared: &Arc<Shared>) -> Limits {
    let for_timeout = Arc::clone(shared);
    let head_timeout = move || {
        let view = for_timeout.view();
        let policy = view.policy.as_ref();
        policy
            .map_or_else(policy::Limits::default, |policy| policy.limits())
            .head_time
    };
    Limits {
        head_timeout: Some(Arc::new(head_timeout)),
        intake_wait: Some(IntakeWait {
            max_wait: MAX_INTAKE_WAIT,
            turned_away: Arc::new(turned_away(shared)),
        }),
        slow_clients: Some(SlowClients {
            send_buffer_bytes: SEND_BUFFER_BYTES,
            max_unread: MAX_UNREAD,
            disconnected: Arc::new(disconnected(shared)),
        }),
        ..internal_limits()
    }
}

// Counts connections that are closed unread, and logs them once in a while.
fn turned_away(shared: &Arc<Shared>) -> impl Fn() + Send + Sync + 'static {
    let shared = Arc::clone(shared);
    let sampler = LogSampler::default();
    move || {
        shared.metrics.count_turned_away();
        if let Some(count) = sampler.count() {
            log::warn!(
                connections = count;
                "new connections closed unread: they waited for longer than clients do"
            );
        }
    }
}

// Counts connections whose clients read nothing, and logs them once in a while.
fn disconnected(shared: &Arc<Shared>) -> impl Fn() + Send + Sync + 'static {
    let shared = Arc::clone(shared);
    let sampler = LogSampler::default();
    move || {
        shared.metrics.streams().count_unread_connection();
        if let Some(count) = sampler.count() {
            log::warn!(
                connections = count, after_ms:% = MAX_UNREAD.as_millis();
                "connections reset: their clients read nothing of their responses"
            );
        }
    }
}

/// Counts events, of which a log line is written once in a while.
#[derive(Debug, Default)]
struct LogSampler {
    // How many weren't logged yet, and when the last line was written.
    unlogged: Mutex<(u64, Option<Moment>)>,
}

impl LogSampler {
    // Counts an event, and returns how many to log now if a line is due.
    fn count(&self) -> Option<u64> {
        let now = boot_time();
        let mut unlogged = self.unlogged.lock().unwrap_or_else(PoisonError::into_inner);
        let (count, logged_at) = &mut *unlogged;
        *count += 1;
        if logged_at.is_some_and(|logged_at| since(now, logged_at) < LOG_INTERVAL) {
            return None;
        }
        *logged_at = Some(now);
        Some(std::mem::take(count))
    }
}

/// Answers whether the balancer should send callers here.
pub(crate) fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != shared.settings.ready_path {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    if shared.is_ready() {
        text_response(StatusCode::OK, "ready\n".to_owned())
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

/// Answers with the metrics in text form.
pub(crate) fn metrics(shared: &Arc<Shared>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() == "/metrics" {
        shared.update_service_gauges();
        text_response(StatusCode::OK, shared.metrics.requests().text())
    } else {
        text_response(StatusCode::NOT_FOUND, "see /metrics\n".to_owned())
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(Into::into);
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
}

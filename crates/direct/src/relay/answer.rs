//! Relays an endpoint's response to the caller.
//!
//! A response that isn't a stream is buffered first, up to a size limit. If it breaks
//! off, the request can be retried at another endpoint, or the caller is told at once
//! that the outcome is unknown. An event stream is relayed as it arrives.

use bytes::{Bytes, BytesMut};
use godwitpost_client::connect::Body;
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{Method, Response};
use http_body_util::{BodyExt, Full};
use tokio::time::timeout_at;

use super::payload::{End, Part, Payload};
use super::response::is_capacity_refusal;
use super::send::BufferedBody;
use super::stream::Stream;
use super::{
    BodyEnd, EndpointResponse, InFlightRequest, Job, Refused, RefusedRequest, choose, dispatch,
    headers, refuse, set_retry_after,
};
use crate::attempt::{Failure, Next};
use crate::refusal::Reason;

/// The maximum size of a buffered response. Plain services respond with a few kilobytes.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

pub(super) async fn relay(mut job: Box<Job>, mut response: EndpointResponse) -> Response<Body> {
    if job.kind().is_stream() && response.head.status.is_success() {
        return relay_stream(job, response, Bytes::new());
    }
    loop {
        let until = job.timer_deadline();
        let body = buffer_body(&job, &response.in_flight, response.body);
        let shared = std::sync::Arc::clone(job.shared());
        let buffered = tokio::select! {
            buffered = timeout_at(until, body) => buffered.unwrap_or(BufferedBody::Broken(None)),
            () = shared.shutdown().ended() => BufferedBody::Broken(None),
        };
        match buffered {
            BufferedBody::Whole(bytes) => {
                return relay_buffered(job, response.head, &response.in_flight, bytes);
            }
            BufferedBody::TooLong(buffered, rest) => {
                response.body = *rest;
                return relay_stream(job, response, buffered);
            }
            BufferedBody::Broken(cause) => {
                log::warn!(request:% = job.id(), endpoint:% = response.in_flight.name(); "response broke off");
                response.in_flight.record_break(&job, cause.as_ref());
                drop(response.in_flight);
                match retry(&mut job).await {
                    Ok(next) => response = next,
                    Err(reason) => {
                        let request = RefusedRequest::Resolved(job);
                        return refuse(&shared, Refused { reason, request });
                    }
                }
            }
        }
    }
}

async fn retry(job: &mut Job) -> Result<EndpointResponse, Reason> {
    match job.attempts.record_failure(Failure::Lost) {
        Next::Retry { .. } if !job.remaining().is_zero() => {}
        Next::Retry { .. } => return Err(job.attempts.deadline_reason()),
        Next::GiveUp(_) if job.remaining().is_zero() => return Err(job.attempts.deadline_reason()),
        Next::GiveUp(reason) => return Err(reason),
    }
    let now = godwitpost_client::clock::boot_time();
    let allowed = job.shared.budget().try_take(job.service, now);
    job.shared.metrics.count_repeat(allowed);
    if !allowed {
        return Err(Reason::Broken);
    }
    dispatch(job, None).await
}

async fn buffer_body(job: &Job, in_flight: &InFlightRequest, mut body: Payload) -> BufferedBody {
    let mut bytes = BytesMut::new();
    let end = loop {
        match body.part().await {
            Part::Frame(frame) => {
                in_flight.record_data();
                if let Some(data) = frame.data_ref() {
                    bytes.extend_from_slice(data);
                }
            }
            Part::End(end) => break end,
        }
        if bytes.len() > MAX_BUFFERED_BYTES {
            return BufferedBody::TooLong(bytes.freeze(), Box::new(body));
        }
    };
    job.record_payload_end(in_flight.name(), &body, &end);
    match end {
        End::Whole => BufferedBody::Whole(bytes.freeze()),
        End::Broken(cause) => BufferedBody::Broken(Some(cause)),
    }
}

/// A whole body with the room of its request, which is released once the body is written.
pub(super) struct WholeBody {
    bytes: Bytes,
    _job: Box<Job>,
}

impl WholeBody {
    pub(super) fn into_bytes(bytes: Bytes, job: Box<Job>) -> Bytes {
        Bytes::from_owner(Self { bytes, _job: job })
    }
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn relay_buffered(
    job: Box<Job>,
    mut head: Parts,
    in_flight: &InFlightRequest,
    bytes: Bytes,
) -> Response<Body> {
    // The response to HEAD keeps the Content-Length that GET would have returned.
    if job.method != Method::HEAD {
        headers::remove_hop_by_hop(&mut head.headers);
    }
    // The endpoint's `Retry-After` is meant for this instance; other endpoints may accept
    // the request sooner.
    if is_capacity_refusal(head.status) && head.headers.contains_key(RETRY_AFTER) {
        let reason = choose::pause_reason(&job).unwrap_or(Reason::Refused);
        set_retry_after(job.shared(), &mut head.headers, reason);
    }
    job.record_response(in_flight.name(), head.status.as_u16());
    job.record_end(BodyEnd::Whole);
    if head.status.is_success() {
        in_flight.record_completed(&job);
    }
    let bytes = WholeBody::into_bytes(bytes, job);
    let body = Full::new(bytes).map_err(Into::into);
    Response::from_parts(head, body.boxed_unsync())
}

fn relay_stream(job: Box<Job>, response: EndpointResponse, buffered: Bytes) -> Response<Body> {
    let EndpointResponse {
        mut head,
        body,
        in_flight,
    } = response;
    job.record_response(in_flight.name(), head.status.as_u16());
    if buffered.is_empty() {
        headers::remove_hop_by_hop(&mut head.headers);
    } else {
        // The body is relayed unchanged, so its Content-Length still applies.
        let length = head.headers.get(http::header::CONTENT_LENGTH).cloned();
        headers::remove_hop_by_hop(&mut head.headers);
        if let Some(length) = length {
            head.headers.insert(http::header::CONTENT_LENGTH, length);
        }
    }
    let succeeded = head.status.is_success();
    let body = Stream::new(job, body, in_flight, buffered, succeeded);
    Response::from_parts(head, body.boxed_unsync())
}

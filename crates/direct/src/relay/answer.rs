//! Passing an endpoint's answer on to the caller.
//!
//! A plain answer is gathered first, up to a size: if it breaks off, the
//! request may still go to another endpoint, or the caller is told at once
//! that its fate is unknown. An event stream is passed on as it comes.

use bytes::{Bytes, BytesMut};
use godwitpost_client::connect::{Body, Received};
use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{Method, Response};
use http_body_util::{BodyExt, Full};
use tokio::time::timeout_at;

use super::send::{Gathered, turns_away};
use super::{
    BodyEnd, EndpointResponse, Job, Refused, Who, choose, dispatch, headers, refuse,
    set_retry_after,
};
use crate::attempt::{Failure, Next};
use crate::refusal::Reason;
use crate::stream::Stream;

/// The length up to which an answer is gathered. Plain services answer with a
/// few kilobytes.
const GATHERED: usize = 64 << 10;

pub(super) async fn relay(mut job: Box<Job>, mut sent: EndpointResponse) -> Response<Body> {
    if job.kind().is_stream() && sent.head.status.is_success() {
        return stream(job, sent, Bytes::new());
    }
    loop {
        let until = job.until();
        let gathered = timeout_at(until, gather(sent.body)).await;
        match gathered.unwrap_or(Gathered::Broken) {
            Gathered::Whole(bytes) => return whole(&job, sent.head, &sent.flight, bytes),
            Gathered::Long(first, rest) => {
                sent.body = rest;
                return stream(job, sent, first);
            }
            Gathered::Broken => {
                log::warn!(request:% = job.id(), endpoint:% = sent.flight.name(); "answer broke off");
                sent.flight.broke();
                sent.flight.look(job.id(), job.digest());
                drop(sent.flight);
                match again(&mut job).await {
                    Ok(next) => sent = next,
                    Err(reason) => {
                        let shared = std::sync::Arc::clone(job.shared());
                        let who = Who::Job(job);
                        return refuse(&shared, &Refused { reason, who });
                    }
                }
            }
        }
    }
}

async fn again(job: &mut Job) -> Result<EndpointResponse, Reason> {
    match job.attempts.record_failure(Failure::Lost) {
        Next::Retry { .. } if !job.left().is_zero() => {}
        Next::Retry { .. } => return Err(job.attempts.deadline_reason()),
        Next::GiveUp(_) if job.left().is_zero() => return Err(job.attempts.deadline_reason()),
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

async fn gather(mut body: Received) -> Gathered {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Gathered::Broken;
        };
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
        if bytes.len() > GATHERED {
            return Gathered::Long(bytes.freeze(), body);
        }
    }
    Gathered::Whole(bytes.freeze())
}

fn whole(
    job: &Job,
    mut head: Parts,
    flight: &super::InFlightRequest,
    bytes: Bytes,
) -> Response<Body> {
    // The answer to HEAD has the length of what GET would have got.
    if job.method != Method::HEAD {
        headers::strip(&mut head.headers);
    }
    // The endpoint's own time is for this instance: others may take the request before.
    if turns_away(head.status) && head.headers.contains_key(RETRY_AFTER) {
        let reason = choose::paused(job).unwrap_or(Reason::Refused);
        set_retry_after(job.shared(), &mut head.headers, reason);
    }
    job.answered(flight.name(), head.status.as_u16());
    job.ended(BodyEnd::Whole);
    let body = Full::new(bytes).map_err(Into::into);
    Response::from_parts(head, body.boxed_unsync())
}

fn stream(job: Box<Job>, sent: EndpointResponse, first: Bytes) -> Response<Body> {
    let EndpointResponse {
        mut head,
        body,
        flight,
    } = sent;
    job.answered(flight.name(), head.status.as_u16());
    if first.is_empty() {
        headers::strip(&mut head.headers);
    } else {
        // What is passed on is as long as it was said to be.
        let length = head.headers.get(http::header::CONTENT_LENGTH).cloned();
        headers::strip(&mut head.headers);
        if let Some(length) = length {
            head.headers.insert(http::header::CONTENT_LENGTH, length);
        }
    }
    let body = Stream::new(job, body, flight, first);
    Response::from_parts(head, body.boxed_unsync())
}

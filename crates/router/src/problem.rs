//! Error responses to callers: RFC 9457 problem details.
//!
//! Each names a remedy and has the outcome header, so that a program can
//! distinguish "not run, send it again" from "it may have run" without parsing
//! the text.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::Body;
use godwitpost_decide::refusal::{Reason, Refusal};
use godwitpost_types::outcome::{Outcome, Scope};
use godwitpost_wire::dispatch::ErrorResponse;
use godwitpost_wire::header as name;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;

use crate::body;

/// The reason why a request has no response from an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    /// A short stable name for programs.
    pub reason: Cow<'static, str>,
    /// What happened and the remedy.
    pub detail: String,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// The attempts that a *not run* outcome covers.
    pub scope: Scope,
    /// How long to wait before sending the request again.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct Details<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
}

impl Problem {
    /// Returns a problem for a request that was not run.
    #[must_use]
    pub fn not_run(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            reason: Cow::Borrowed(reason),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            scope: Scope::Attempt,
            retry_after: None,
        }
    }

    /// Returns a problem for a request that may have run.
    #[must_use]
    pub fn unknown(status: StatusCode, reason: &'static str, detail: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(status, reason, detail)
        }
    }

    /// Returns the problem with the time to wait before sending again.
    #[must_use]
    pub fn with_retry_after(self, wait: Duration) -> Self {
        Self {
            retry_after: Some(wait),
            ..self
        }
    }

    /// Returns the problem with another outcome.
    #[must_use]
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        Self { outcome, ..self }
    }

    /// Returns the problem with another scope.
    #[must_use]
    pub fn with_scope(self, scope: Scope) -> Self {
        Self { scope, ..self }
    }

    /// Returns the HTTP response for a caller.
    ///
    /// # Panics
    ///
    /// Never panics: plain text and numbers always serialize to JSON.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let details = Details {
            r#type: format!("urn:godwitpost:{}", self.reason),
            title: self.status.canonical_reason().unwrap_or("Problem"),
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
        };
        let json = serde_json::to_vec(&details).expect("plain text and numbers are JSON");
        let mut response = Response::new(body::full(Bytes::from(json)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(
            name::OUTCOME,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if self.outcome == Outcome::NotRun {
            headers.insert(name::SCOPE, HeaderValue::from_static(self.scope.as_str()));
        }
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_seconds(wait)));
        }
        response
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, reason) = match refusal.reason {
            Reason::UnknownWorkspace => (StatusCode::FORBIDDEN, "unknown-workspace"),
            Reason::UnknownService => (StatusCode::NOT_FOUND, "unknown-service"),
            Reason::Forbidden => (StatusCode::FORBIDDEN, "forbidden"),
            Reason::NoEndpoint => (StatusCode::SERVICE_UNAVAILABLE, "no-endpoint"),
            Reason::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
            Reason::QueueFull => (StatusCode::SERVICE_UNAVAILABLE, "queue-full"),
            Reason::Busy => (StatusCode::SERVICE_UNAVAILABLE, "busy"),
            Reason::Rate => (StatusCode::TOO_MANY_REQUESTS, "rate"),
            Reason::Concurrency => (StatusCode::TOO_MANY_REQUESTS, "concurrency"),
            Reason::Quarantined => (StatusCode::UNPROCESSABLE_ENTITY, "quarantined"),
            Reason::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
        };
        Self::not_run(status, reason, refusal.reason.to_string())
            .with_retry_after(refusal.retry_after)
    }
}

impl From<ErrorResponse> for Problem {
    fn from(response: ErrorResponse) -> Self {
        Self {
            status: StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY),
            reason: Cow::Owned(response.reason),
            detail: response.detail,
            outcome: response.outcome,
            scope: response.scope,
            retry_after: response.retry_after,
        }
    }
}

impl From<Problem> for ErrorResponse {
    fn from(problem: Problem) -> Self {
        Self {
            status: problem.status.as_u16(),
            reason: problem.reason.into_owned(),
            detail: problem.detail,
            outcome: problem.outcome,
            scope: problem.scope,
            retry_after: problem.retry_after,
        }
    }
}

// Rounds up to whole seconds: an earlier retry would be refused again.
fn retry_after_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

//! Decides what follows a failed attempt of a request.
//!
//! A request may go to another endpoint if it is certain that it has not run, or if
//! running it twice does no harm. The route limits the number of endpoints that it may be
//! sent to, and a budget limits the retries of all requests together. An attempt that
//! never reached an endpoint counts towards neither.

use http::StatusCode;

use crate::dialect::ResponseFields;
use crate::refusal::Reason;

/// The maximum number of attempts that fail to reach an endpoint before the request is
/// given up. Each costs a connect timeout if the machine is down; three in a row mean
/// that something else is wrong.
const MAX_UNREACHED_ATTEMPTS: u32 = 4;

/// How an attempt ended without a response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the endpoint.
    NotSent,
    /// The endpoint states that it has not run the request and never will.
    Refused,
    /// The endpoint ran the request and failed.
    Failed,
    /// It is unknown whether the request ran.
    Lost,
}

/// How a response to an attempt is to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Relay it to the caller.
    Relay,
    /// The endpoint failed; retry elsewhere, or relay it if that isn't possible.
    Fallback,
    /// Don't relay it; the attempt failed this way.
    Failed(Failure),
}

/// Classifies the head of a response to the attempt `id`.
///
/// - A late response may arrive in place of the next one on its connection. It is
///   recognized by the attempt id that it echoes.
/// - For a request that must not run twice, a status which promises that the request has
///   not run is relayed only if the endpoint confirms it. Some endpoints respond 503
///   after they ran a request.
/// - A statement that the request was not run counts only if it names the attempt. Bytes that
///   belong to nobody may arrive in place of the response, while the request runs.
/// - A status that isn't final is no response. hyper passes on the ones that it doesn't know, and
///   101, at which a caller takes its connection as switched to another protocol.
/// - A success without the endpoint's signature, or with an encoded body, doesn't come
///   from the endpoint unchanged.
/// - A status that is neither signed nor names the attempt belongs to nobody: servers write a
///   bare 400 for bytes that they can't read.
#[must_use]
pub fn classify_response(
    status: StatusCode,
    fields: &ResponseFields,
    id: &str,
    idempotent: bool,
) -> Verdict {
    if !is_final(status) || fields.is_for_other_attempt(id) || fields.content_encoded {
        return Verdict::Failed(Failure::Lost);
    }
    if fields.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        let failure = if fields.names_attempt(id) {
            Failure::Refused
        } else {
            Failure::Lost
        };
        return Verdict::Failed(failure);
    }
    let claims_not_run = matches!(status.as_u16(), 408 | 429 | 503);
    match (fields.signed, idempotent) {
        (false, _)
            if status.is_success() || status.is_server_error() || !fields.names_attempt(id) =>
        {
            Verdict::Failed(Failure::Lost)
        }
        (_, false) if claims_not_run => Verdict::Failed(Failure::Failed),
        (_, true) if claims_not_run || status.is_server_error() => Verdict::Fallback,
        _ => Verdict::Relay,
    }
}

/// Returns whether a status is that of a final response: of one of the classes 2xx to 5xx.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another endpoint.
    Retry {
        /// Whether the retry is charged to the budget, which is the case if an endpoint
        /// has received the request before.
        uses_budget: bool,
    },
    /// Refuse the request with this reason.
    GiveUp(Reason),
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    max_sends: u32,
    sent: u32,
    unreached: u32,
    // Whether an attempt failed that may have run the request.
    may_have_run: bool,
}

impl Attempts {
    /// Returns the state of a request that may be sent to `max_sends` endpoints.
    #[must_use]
    pub const fn new(idempotent: bool, max_sends: u32) -> Self {
        Self {
            idempotent,
            max_sends,
            sent: 0,
            unreached: 0,
            may_have_run: false,
        }
    }

    /// Returns the number of endpoints that the request was sent to.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the reason to give when no further attempt is possible for `reason`. Where
    /// the request may have run, this replaces a reason that promises it has not.
    #[must_use]
    pub const fn final_reason(&self, reason: Reason) -> Reason {
        if self.may_have_run {
            Reason::Broken
        } else {
            reason
        }
    }

    /// Returns the reason to give when the deadline has passed.
    #[must_use]
    pub const fn deadline_reason(&self) -> Reason {
        if self.may_have_run {
            Reason::Timeout
        } else {
            Reason::Expired
        }
    }

    /// Records a failed attempt and returns what to do next.
    pub const fn record_failure(&mut self, failure: Failure) -> Next {
        let reason = match failure {
            Failure::NotSent => {
                self.unreached += 1;
                if self.unreached < MAX_UNREACHED_ATTEMPTS {
                    return Next::Retry {
                        uses_budget: self.sent > 0,
                    };
                }
                Reason::Unreachable
            }
            Failure::Refused => {
                self.sent += 1;
                Reason::Refused
            }
            Failure::Failed | Failure::Lost => {
                self.sent += 1;
                self.may_have_run = true;
                Reason::Broken
            }
        };
        let safe = self.idempotent || !self.may_have_run;
        if safe && self.sent < self.max_sends && self.unreached < MAX_UNREACHED_ATTEMPTS {
            return Next::Retry { uses_budget: true };
        }
        Next::GiveUp(self.final_reason(reason))
    }
}

#[cfg(test)]
mod tests;

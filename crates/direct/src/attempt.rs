//! What follows an attempt to have a request run.
//!
//! A request may go to another endpoint if it is proved that nothing has run,
//! or if running it twice does no harm. The route says to how many endpoints
//! it may be sent, and a budget bounds the repeats of all requests together.
//! An attempt that never reached an endpoint costs neither.

use http::StatusCode;

use crate::dialect::ResponseFields;
use crate::refusal::Reason;

/// Attempts that may fail to reach an endpoint before the request is given up.
/// Each costs a connection time-out where a machine is dark; three in a row
/// mean that something else is wrong.
const MAX_UNREACHED: u32 = 4;

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of it reached the endpoint.
    NotSent,
    /// The endpoint says that it has not run it, and never will.
    Refused,
    /// The endpoint ran it and failed.
    Failed,
    /// Its fate is unknown.
    Lost,
}

/// What an answer is to the request that waits for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller's.
    Relay,
    /// A failure that may be tried elsewhere, or relayed if it can't be.
    Fallback,
    /// None that the caller may see; the attempt ended like this.
    Failed(Failure),
}

/// Judges the head of an answer to the attempt `id`.
///
/// - An answer may come late, in the place of the next one on its connection;
///   the id it echoes gives it away.
/// - A status that promises that nothing has run is passed on for a request
///   that runs once at most only with the endpoint's word on it. Some endpoints
///   say 503 after they ran a request.
/// - A success without the endpoint's signature, or with a coded body, is not
///   what the endpoint made.
#[must_use]
pub fn classify_response(
    status: StatusCode,
    fields: &ResponseFields,
    id: &str,
    idempotent: bool,
) -> Verdict {
    if fields.is_for_other_attempt(id) || fields.content_encoded {
        return Verdict::Failed(Failure::Lost);
    }
    if fields.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Failed(Failure::Refused);
    }
    let promises = matches!(status.as_u16(), 408 | 429 | 503);
    match (fields.signed, idempotent) {
        (false, _) if status.is_success() || status.is_server_error() => {
            Verdict::Failed(Failure::Lost)
        }
        (_, false) if promises => Verdict::Failed(Failure::Failed),
        (_, true) if promises || status.is_server_error() => Verdict::Fallback,
        _ => Verdict::Relay,
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another endpoint; `repeat` says whether that is to be paid
    /// from the budget.
    Retry {
        /// Whether an endpoint has received the request before.
        uses_budget: bool,
    },
    /// Answer the caller.
    GiveUp(Reason),
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    max_sends: u32,
    sent: u32,
    unreached: u32,
    // Whether an attempt ended that may have run it.
    may_have_run: bool,
}

impl Attempts {
    /// Returns the attempts of a request that may be sent to `most` endpoints.
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

    /// Returns to how many endpoints it was sent.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the reason to give when no attempt can follow for `reason`,
    /// which by itself would say that nothing has run.
    #[must_use]
    pub const fn final_reason(&self, reason: Reason) -> Reason {
        if self.may_have_run {
            Reason::Broken
        } else {
            reason
        }
    }

    /// Returns the reason to give when the time allowed is over.
    #[must_use]
    pub const fn deadline_reason(&self) -> Reason {
        if self.may_have_run {
            Reason::Timeout
        } else {
            Reason::Expired
        }
    }

    /// Takes in how an attempt ended and returns what follows.
    pub const fn record_failure(&mut self, failure: Failure) -> Next {
        let reason = match failure {
            Failure::NotSent => {
                self.unreached += 1;
                if self.unreached < MAX_UNREACHED {
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
        if safe && self.sent < self.max_sends && self.unreached < MAX_UNREACHED {
            return Next::Retry { uses_budget: true };
        }
        Next::GiveUp(self.final_reason(reason))
    }
}

#[cfg(test)]
mod tests;

//! What follows an attempt to have a request run.
//!
//! A request may go to another endpoint if it is proved that nothing has run,
//! or if running it twice does no harm. The route says to how many endpoints
//! it may be sent, and a budget bounds the repeats of all requests together.
//! An attempt that never reached an endpoint costs neither.

use http::StatusCode;

use crate::dialect::Answer;
use crate::refusal::Reason;

/// Attempts that may fail to reach an endpoint before the request is given up.
/// Each costs a connection time-out where a machine is dark; three in a row
/// mean that something else is wrong.
const UNREACHED: u32 = 4;

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
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
    Ended(Ending),
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
pub fn judge(status: StatusCode, answer: &Answer, id: &str, idempotent: bool) -> Verdict {
    if answer.is_crossed(id) || answer.coded {
        return Verdict::Ended(Ending::Lost);
    }
    if answer.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Ended(Ending::Refused);
    }
    let promises = matches!(status.as_u16(), 408 | 429 | 503);
    match (answer.signed, idempotent) {
        (false, _) if status.is_success() || status.is_server_error() => {
            Verdict::Ended(Ending::Lost)
        }
        (_, false) if promises => Verdict::Ended(Ending::Failed),
        (_, true) if promises || status.is_server_error() => Verdict::Fallback,
        _ => Verdict::Relay,
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another endpoint; `repeat` says whether that is to be paid
    /// from the budget.
    Again {
        /// Whether an endpoint has received the request before.
        repeat: bool,
    },
    /// Answer the caller.
    GiveUp(Reason),
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    most: u32,
    sent: u32,
    unreached: u32,
    // Whether an attempt ended that may have run it.
    doubt: bool,
}

impl Attempts {
    /// Returns the attempts of a request that may be sent to `most` endpoints.
    #[must_use]
    pub const fn new(idempotent: bool, most: u32) -> Self {
        Self {
            idempotent,
            most,
            sent: 0,
            unreached: 0,
            doubt: false,
        }
    }

    /// Returns to how many endpoints it was sent.
    #[must_use]
    pub const fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub const fn doubt(&self) -> bool {
        self.doubt
    }

    /// Returns the reason to give when no attempt can follow for `reason`,
    /// which by itself would say that nothing has run.
    #[must_use]
    pub const fn excuse(&self, reason: Reason) -> Reason {
        if self.doubt { Reason::Broken } else { reason }
    }

    /// Returns the reason to give when the time allowed is over.
    #[must_use]
    pub const fn late(&self) -> Reason {
        if self.doubt {
            Reason::Timeout
        } else {
            Reason::Expired
        }
    }

    /// Takes in how an attempt ended and returns what follows.
    pub const fn ended(&mut self, ending: Ending) -> Next {
        let reason = match ending {
            Ending::NotSent => {
                self.unreached += 1;
                if self.unreached < UNREACHED {
                    return Next::Again {
                        repeat: self.sent > 0,
                    };
                }
                Reason::Unreachable
            }
            Ending::Refused => {
                self.sent += 1;
                Reason::Refused
            }
            Ending::Failed | Ending::Lost => {
                self.sent += 1;
                self.doubt = true;
                Reason::Broken
            }
        };
        let safe = self.idempotent || !self.doubt;
        if safe && self.sent < self.most && self.unreached < UNREACHED {
            return Next::Again { repeat: true };
        }
        Next::GiveUp(self.excuse(reason))
    }
}

#[cfg(test)]
mod tests;

//! Evidence on requests that may crash endpoints, and the form in which it is sent.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BodyDigest, EndpointId, PartId, ServiceId};
use serde::{Deserialize, Serialize};

/// By how much times from another instance may be off, because of the transit time of the
/// message.
pub(super) const MAX_TRANSIT: Duration = Duration::from_millis(5);

/// The digest in evidence that is not on one request.
pub(super) const NO_DIGEST: BodyDigest = [0; 16];

/// Returns the form of a digest that logs show: enough of it to tell requests apart.
#[must_use]
pub fn loggable_digest(digest: &BodyDigest) -> String {
    let shown = digest.first_chunk().copied().map(u64::from_be_bytes);
    format!("{:016x}", shown.unwrap_or_default())
}

/// One observation of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// The service whose endpoint ran it.
    pub service: ServiceId,
    /// The digest of the request's body, or zeros if this is not on one request.
    pub digest: BodyDigest,
    /// The parts of its prompt that count: those of its own request only don't.
    pub parts: Vec<PartId>,
    /// What was observed.
    pub observed: Observed,
    /// When the request was sent, or, of an answer, when it began.
    pub sent_at: Moment,
    /// When it was observed.
    pub observed_at: Moment,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observed {
    /// The endpoint that was running it ended.
    Crashed(EndpointId),
    /// It was answered.
    Answered,
    /// Requests with its parts were answered, or had been for longer than a crash takes.
    PartsAnswered,
}

/// Evidence as sent to other instances, with ages instead of times since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedEvidence {
    service: ServiceId,
    digest: BodyDigest,
    parts: Vec<PartId>,
    #[serde(rename = "fate")]
    observed: Observed,
    sent_ago: Duration,
    seen_ago: Duration,
}

impl ForwardedEvidence {
    /// Returns evidence in the form in which it is sent at `now`.
    #[must_use]
    pub fn from_evidence(evidence: &Evidence, now: Moment) -> Self {
        Self {
            service: evidence.service,
            digest: evidence.digest,
            parts: evidence.parts.clone(),
            observed: evidence.observed,
            sent_ago: since(now, evidence.sent_at),
            seen_ago: since(now, evidence.observed_at),
        }
    }

    /// Returns the evidence from a message received at `then`.
    #[must_use]
    pub fn to_evidence(&self, received_at: Moment) -> Evidence {
        Evidence {
            service: self.service,
            digest: self.digest,
            parts: self.parts.clone(),
            observed: self.observed,
            sent_at: since(received_at, self.sent_ago),
            observed_at: since(received_at, self.seen_ago),
        }
    }
}

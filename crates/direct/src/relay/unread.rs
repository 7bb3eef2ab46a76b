//! Tracks for how long a response isn't read from its endpoint because its client reads slowly.

use std::time::Duration;

use tokio::time::Instant;

/// How long in total a response has to be unread for a break to count as an abort for that
/// reason. Endpoints wait for some seconds before they abort, so an earlier break has another
/// cause.
pub(super) const MIN_UNREAD: Duration = Duration::from_secs(1);

/// How long after the last pause such an abort may be noticed. Data that arrived before the
/// abort is read first.
const MAX_NOTICE_TIME: Duration = Duration::from_secs(5);

/// The pauses in which one response isn't read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pauses {
    since: Option<Instant>,
    ended_at: Option<Instant>,
    total: Duration,
}

impl Pauses {
    /// Records that the response isn't read.
    pub(super) fn begin(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }

    /// Records that the response is read again; returns whether a pause ended.
    pub(super) fn end(&mut self, now: Instant) -> bool {
        let Some(since) = self.since.take() else {
            return false;
        };
        self.total += now - since;
        self.ended_at = Some(now);
        true
    }

    /// Returns for how long in total it wasn't read.
    pub(super) fn total(&self, now: Instant) -> Duration {
        let current = self.since.map_or(Duration::ZERO, |since| now - since);
        self.total + current
    }

    /// Returns whether the endpoint may have aborted the response because it wasn't read.
    pub(super) fn explain_abort(&self, now: Instant) -> bool {
        let is_recent = |ended_at| now - ended_at <= MAX_NOTICE_TIME;
        self.total(now) >= MIN_UNREAD
            && (self.since.is_some() || self.ended_at.is_some_and(is_recent))
    }
}

#[cfg(test)]
mod tests;

//! Records when the events of a stream arrived, and tells whether that was in time.

use std::time::Duration;

use super::{InFlightRequest, Job};

/// Whether the events of a stream arrived in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// All events are in time.
    InTime,
    /// The first event came after the route's objective, or not at all.
    LateFirstEvent,
    /// A pause between two events exceeded the route's longest.
    LongPause,
}

impl Timeliness {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in-time",
            Self::LateFirstEvent => "late-first-event",
            Self::LongPause => "long-pause",
        }
    }
}

/// The times of a stream's events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timing {
    // The age of the request at its first event.
    first: Option<Duration>,
    // Parts of the body as they were read; one may hold several events.
    frames: u32,
    longest_pause: Duration,
    // How many frames came before the longest pause.
    frames_before_pause: u32,
}

impl Timing {
    /// Records data that arrived `age` after the request, and `pause` after the data before it.
    pub(crate) fn record_data(&mut self, age: Duration, pause: Duration) {
        if self.first.is_none() {
            self.first = Some(age);
        } else if pause > self.longest_pause {
            self.longest_pause = pause;
            self.frames_before_pause = self.frames;
        }
        self.frames = self.frames.saturating_add(1);
    }

    /// Returns whether the events so far are in time, by the route's objective for the first
    /// one and its longest pause between two.
    pub(crate) fn timeliness(
        &self,
        objective: Duration,
        max_pause: Option<Duration>,
    ) -> Timeliness {
        if self.first.is_none_or(|first| first > objective) {
            Timeliness::LateFirstEvent
        } else if max_pause.is_some_and(|max_pause| self.longest_pause > max_pause) {
            Timeliness::LongPause
        } else {
            Timeliness::InTime
        }
    }

    /// Counts a stream that was relayed completely, and logs it if it is late.
    pub(crate) fn record_end(&self, job: &Job, in_flight: &InFlightRequest) {
        let timeliness = self.timeliness(job.route.objective, job.route.max_pause);
        let metrics = job.shared().metrics.streams();
        metrics.count_timeliness(&job.route.name, timeliness.as_str());
        if timeliness == Timeliness::InTime {
            return;
        }
        log::info!(
            request:% = job.id(), route:% = job.route.name, endpoint:% = in_flight.name(),
            cause:% = timeliness.as_str(), first_ms:? = self.first.map(|first| first.as_millis()),
            pause_ms:% = self.longest_pause.as_millis(), after_frames = self.frames_before_pause,
            frames = self.frames, prompt_tokens:? = job.fields.tokens.map(|tokens| tokens.prompt),
            sent = job.attempts.sent() + 1;
            "stream was late"
        );
    }
}

#[cfg(test)]
mod tests;

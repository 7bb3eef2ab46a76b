//! How fast the endpoints of a service work, by what was observed.

use std::time::Duration;

use self::line::{Coefficients, Fallback, Line};
use super::{MAX_REQUESTS, MAX_TIME, MAX_TOKENS, duration, millis};

mod line;

/// The fewest observations that anything is predicted from.
const MIN_OBSERVATIONS: u64 = 16;

/// The number of first pauses that are all recorded; later ones are sampled.
const ALL_PAUSES: u64 = 64;

/// After the first [`ALL_PAUSES`], one in this many pauses is recorded.
///
/// A few streams have hundreds of events a second. If all were recorded, a
/// bucket would span less than the 600 ms for which an endpoint is slow.
const PAUSE_STRIDE: u64 = 16;

/// The shortest time that is recorded. Events that a stalled packet held up
/// arrive together, and the time between them says nothing.
const MIN_TIME: Duration = Duration::from_micros(50);

/// How fast the endpoints of a service work at the usual pace.
///
/// Both times are lines through medians, so that observations of slow
/// machines and stalled packets barely count as long as they are fewer than half.
/// Nothing is predicted before 16 observations were made.
#[derive(Clone, Debug)]
pub struct Speed {
    // Milliseconds to the first event, by prompt tokens.
    read: Line,
    // Milliseconds per token, by running requests.
    write: Line,
    pauses: u64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            read: Line::new(Fallback::Proportional),
            write: Line::new(Fallback::Level),
            pauses: 0,
        }
    }
}

impl Speed {
    /// Records that the first event of a request came `took` after it was
    /// sent, with `read_tokens` of its own to prefill behind `ahead` prompt
    /// tokens of others.
    ///
    /// Figures that can't be right are ignored.
    pub fn record_first_event(&mut self, read_tokens: f64, ahead: f64, took: Duration) {
        let valid = is_within(read_tokens, 1.0, MAX_TOKENS)
            && is_within(ahead, 0.0, MAX_TOKENS)
            && is_valid_time(took);
        if valid {
            self.read.record(read_tokens + ahead, millis(took));
        }
    }

    /// Records that one or several events of `tokens` in total came within
    /// `took` of the event before them, while the endpoint ran `running`
    /// requests.
    ///
    /// Figures that can't be right are ignored.
    pub fn record_pause(&mut self, running: f64, tokens: f64, took: Duration) {
        let valid = is_within(running, 1.0, MAX_REQUESTS)
            && is_within(tokens, 1.0, MAX_TOKENS)
            && is_valid_time(took);
        if !valid {
            return;
        }
        self.pauses += 1;
        if self.pauses <= ALL_PAUSES || self.pauses.is_multiple_of(PAUSE_STRIDE) {
            self.write.record(running, millis(took) / tokens);
        }
    }

    /// Returns the time from sending a request to its first event if `tokens`
    /// are prefilled until then, or `None` if it isn't known yet.
    #[must_use]
    pub fn read_time(&self, tokens: f64) -> Option<Duration> {
        let line = known(&self.read)?;
        Some(duration(line.at(tokens)))
    }

    /// Returns the time for which an engine prefills `tokens`, or `None` if
    /// it isn't known yet.
    ///
    /// This is less than [`Speed::read_time`], which includes the way to the
    /// engine and back and the step that writes the first event.
    #[must_use]
    pub fn prefill_time(&self, tokens: f64) -> Option<Duration> {
        let line = known(&self.read)?;
        Some(duration(line.slope * tokens))
    }

    /// Returns the time that writing `tokens` takes while the endpoint runs
    /// `running` requests, or `None` if it isn't known yet.
    #[must_use]
    pub fn write_time(&self, tokens: f64, running: f64) -> Option<Duration> {
        let line = known(&self.write)?;
        Some(duration(line.at(running) * tokens))
    }

    /// Returns the prompt tokens that are prefilled in a millisecond, or
    /// `None` if it isn't known yet.
    #[must_use]
    pub fn prefill_rate(&self) -> Option<f64> {
        let line = known(&self.read)?;
        (line.slope > 0.0).then(|| 1.0 / line.slope)
    }
}

fn known(line: &Line) -> Option<Coefficients> {
    (line.observations() >= MIN_OBSERVATIONS).then(|| line.coefficients())
}

fn is_within(figure: f64, min: f64, max: f64) -> bool {
    (min..=max).contains(&figure)
}

fn is_valid_time(time: Duration) -> bool {
    (MIN_TIME..=MAX_TIME).contains(&time)
}

#[cfg(test)]
mod tests;

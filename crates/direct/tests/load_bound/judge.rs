//! Judges the load bound over sliding windows.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

/// The greatest load as a multiple of the mean, and requests beyond it that are allowed.
pub(crate) const MULTIPLE: f64 = 2.0;
const SLACK: f64 = 3.0;

const WINDOW: Duration = Duration::from_secs(5);

/// Fewer arrivals above the bound than this in a window don't count.
const MIN_ABOVE: u32 = 20;

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) arrivals: u32,
    pub(crate) above: u32,
    /// The greatest share of arrivals above the bound in a window that has enough of them.
    pub(crate) worst_share: f64,
    pub(crate) worst_end: Duration,
    /// The same over all windows, also those with too few to count.
    pub(crate) greatest_share: f64,
    /// The bound that was believed, as a part of the true one, added up over the arrivals
    /// above the bound.
    pub(crate) believed_parts: f64,
    /// The arrivals, and those above the bound, in each five seconds that follow each other.
    pub(crate) by_window: Vec<(u32, u32)>,
}

/// An arrival at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// What the endpoint held before.
    pub(crate) held: u32,
    /// What the endpoints of the service hold on average.
    pub(crate) mean: f64,
    /// The load that the sender believed no endpoint should have.
    pub(crate) believed_limit: f64,
    /// Whether the sender started long enough ago for its arrivals to count.
    pub(crate) in_touch: bool,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} above the bound, at most {:.1}% in the five seconds before {:.1} s \
             ({:.1}% in any); believed {:.2} of the bound at those above",
            self.above,
            self.arrivals,
            self.worst_share * 100.0,
            self.worst_end.as_secs_f64(),
            self.greatest_share * 100.0,
            self.believed_parts / f64::from(self.above.max(1)),
        )?;
        write!(f, "; in each five seconds")?;
        for (arrivals, above) in &self.by_window {
            let share = f64::from(*above) / f64::from((*arrivals).max(1));
            write!(f, " {:.1}%", share * 100.0)?;
        }
        Ok(())
    }
}

/// The arrivals of the last seconds.
#[derive(Debug, Default)]
pub(crate) struct Judge {
    recent: VecDeque<(Duration, bool)>,
    recent_above: u32,
    outcome: Outcome,
}

impl Judge {
    /// Records an arrival.
    pub(crate) fn record(&mut self, now: Duration, arrival: Arrival) {
        let limit = MULTIPLE * arrival.mean + SLACK;
        let above = arrival.in_touch && f64::from(arrival.held) > limit;
        if above {
            self.outcome.believed_parts += arrival.believed_limit / limit;
        }
        self.recent.push_back((now, above));
        self.recent_above += u32::from(above);
        while let Some((at, was_above)) = self.recent.front().copied()
            && at + WINDOW < now
        {
            self.recent_above -= u32::from(was_above);
            self.recent.pop_front();
        }
        let window = usize::try_from(now.as_secs() / WINDOW.as_secs()).expect("a short time");
        let windows = &mut self.outcome.by_window;
        windows.resize(windows.len().max(window + 1), (0, 0));
        windows[window].0 += 1;
        windows[window].1 += u32::from(above);
        self.outcome.arrivals += 1;
        self.outcome.above += u32::from(above);
        let count = u32::try_from(self.recent.len()).unwrap_or(u32::MAX);
        let share = f64::from(self.recent_above) / f64::from(count);
        let is_whole = now >= WINDOW;
        if is_whole {
            self.outcome.greatest_share = self.outcome.greatest_share.max(share);
        }
        if is_whole && self.recent_above >= MIN_ABOVE && share > self.outcome.worst_share {
            self.outcome.worst_share = share;
            self.outcome.worst_end = now;
        }
    }

    pub(crate) fn into_outcome(self) -> Outcome {
        self.outcome
    }
}

//! What endpoints say of themselves in their answers to this instance.
//!
//! That is known at once, and also while the log is away, in which an endpoint can't
//! write. Who is leaving doesn't come back in the same life, whatever the log still
//! lists; what is heard here goes on to the roster, which remembers it for longer.
//!
//! An endpoint that turns a request away may say for how long it wants none. It says so
//! to this instance, and other instances are not told: that it has had enough of one is
//! no word on the others. Afterwards it gets one request at a time until it has answered
//! one, since all that waited would come back at once. One that names no time is left for
//! a short one, which grows while it turns everything away.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::EndpointId;

use crate::roster::EndpointIncarnation;

/// How long an endpoint counts as leaving here; the roster has taken it in by then.
const KEPT: Duration = Duration::from_mins(1);

/// The longest pause that is kept to. Whoever asks for more is asked again then, by one
/// request.
const LONGEST: Duration = Duration::from_mins(10);

/// The pause after a refusal that names no time. Each further one without an answer in
/// between doubles it.
const UNNAMED: Duration = Duration::from_millis(50);

/// How often it doubles, to less than two seconds.
const DOUBLINGS: u32 = 5;

/// What an endpoint may get by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Nothing: it is leaving.
    Leaving,
    /// Nothing before this moment.
    Paused {
        /// When its pause is over.
        until: Moment,
    },
    /// One request at a time: its pause is over, and it has not answered since.
    Resuming,
}

/// What endpoints said of themselves lately.
#[derive(Debug, Default)]
pub struct Notices {
    // When they last said that they are leaving.
    leaving: BTreeMap<EndpointId, Moment>,
    // Until when they want no requests, or wanted none.
    pauses: BTreeMap<EndpointId, Moment>,
    // Refusals in a row that named no time.
    refusals: BTreeMap<EndpointId, u32>,
    // Lives that the roster has not been told of.
    untold: Vec<EndpointIncarnation>,
}

impl Notices {
    /// Takes in that an endpoint says that it is leaving; returns whether that is news.
    pub fn record_leaving(
        &mut self,
        endpoint: EndpointId,
        life: &EndpointIncarnation,
        now: Moment,
    ) -> bool {
        let news = self.leaving.insert(endpoint, now).is_none();
        if news {
            self.untold.push(life.clone());
        }
        news
    }

    /// Takes in that an endpoint wants no requests for a while. A shorter pause that it
    /// asks for later doesn't end a longer one.
    pub fn record_pause(&mut self, endpoint: EndpointId, pause: Duration, now: Moment) {
        let until = now + pause.min(LONGEST);
        let known = self.pauses.entry(endpoint).or_default();
        *known = until.max(*known);
    }

    /// Takes in that an endpoint turned a request away and named no time; returns for how
    /// long it gets nothing by that.
    ///
    /// One that turns everything away at once would look the emptier the more it was sent.
    pub fn record_refusal(&mut self, endpoint: EndpointId, now: Moment) -> Duration {
        let refusals = self.refusals.entry(endpoint).or_default();
        let pause = UNNAMED * 2_u32.pow(*refusals);
        *refusals = (*refusals + 1).min(DOUBLINGS);
        self.record_pause(endpoint, pause, now);
        pause
    }

    /// Takes in that an endpoint answered a request; returns whether it is used again by
    /// that. What it was sent before its pause says nothing of it.
    pub fn record_response(&mut self, endpoint: EndpointId, now: Moment) -> bool {
        self.refusals.remove(&endpoint);
        let over = self.get(endpoint, now) == Some(Notice::Resuming);
        if over {
            self.pauses.remove(&endpoint);
        }
        over
    }

    /// Returns what an endpoint may get by its own word, if that is not what it may get
    /// anyway.
    #[must_use]
    pub fn get(&self, endpoint: EndpointId, now: Moment) -> Option<Notice> {
        if self.leaving.contains_key(&endpoint) {
            return Some(Notice::Leaving);
        }
        let until = *self.pauses.get(&endpoint)?;
        Some(if now < until {
            Notice::Paused { until }
        } else {
            Notice::Resuming
        })
    }

    /// Returns how many endpoints want no requests.
    #[must_use]
    pub fn paused_count(&self, now: Moment) -> usize {
        self.pauses.values().filter(|until| now < **until).count()
    }

    /// Returns the lives that are leaving and that this was not yet asked for, and
    /// forgets what was heard long ago.
    pub fn take_leaving(&mut self, now: Moment) -> Vec<EndpointIncarnation> {
        self.leaving.retain(|_, at| since(now, *at) < KEPT);
        self.pauses.retain(|_, until| since(now, *until) < KEPT);
        let pauses = &self.pauses;
        self.refusals
            .retain(|endpoint, _| pauses.contains_key(endpoint));
        std::mem::take(&mut self.untold)
    }
}

#[cfg(test)]
mod tests;

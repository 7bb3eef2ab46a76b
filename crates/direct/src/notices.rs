//! What endpoints say of themselves in their answers to this instance.
//!
//! That is known at once, and also while the log is away, in which an endpoint can't
//! write. Who is leaving doesn't come back in the same life, whatever the log still
//! lists; what is heard here goes on to the roster, which remembers it for longer.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::EndpointId;

use crate::roster::Life;

/// How long an endpoint counts as leaving here; the roster has taken it in by then.
const KEPT: Duration = Duration::from_mins(1);

/// What endpoints said of themselves lately.
#[derive(Debug, Default)]
pub struct Notices {
    // When they last said that they are leaving.
    leaving: BTreeMap<EndpointId, Moment>,
    // Lives that the roster has not been told of.
    untold: Vec<Life>,
}

impl Notices {
    /// Takes in that an endpoint says that it is leaving; returns whether that is news.
    pub fn leaves(&mut self, endpoint: EndpointId, life: &Life, now: Moment) -> bool {
        let news = self.leaving.insert(endpoint, now).is_none();
        if news {
            self.untold.push(life.clone());
        }
        news
    }

    /// Returns whether an endpoint said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, endpoint: EndpointId) -> bool {
        self.leaving.contains_key(&endpoint)
    }

    /// Returns the lives that are leaving and that this was not yet asked for, and
    /// forgets what was heard long ago.
    pub fn take_leaving(&mut self, now: Moment) -> Vec<Life> {
        self.leaving.retain(|_, at| since(now, *at) < KEPT);
        std::mem::take(&mut self.untold)
    }
}

#[cfg(test)]
mod tests;

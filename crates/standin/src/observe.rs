//! Events of an endpoint for checkers of a run.
//!
//! The run logs of engines and plain services contain timestamps, which give no
//! order of events across machines. An observer is therefore called
//! synchronously: for a start before any work on the request, for an end before
//! the last byte of the response is sent, for a crash before a connection breaks.

use std::fmt;
use std::sync::{Arc, OnceLock};

/// An event of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It accepted a request.
    Started {
        /// The number of the run in the run log.
        run: u64,
        /// The `traceparent` header of the request.
        trace: Option<String>,
        /// Estimated work in tokens; 1 for a plain service.
        work: u64,
        /// The correct answer: an engine's text, a plain service's body.
        answer: String,
    },
    /// It is about to end a run.
    Ended {
        /// The number of the run in the run log.
        run: u64,
        /// How the run ends.
        end: End,
    },
    /// A fault is about to truncate the response of a run, which itself continues.
    Truncated {
        /// The number of the run in the run log.
        run: u64,
    },
    /// It refused a request because it is leaving.
    Refused {
        /// The `traceparent` header of the request.
        trace: Option<String>,
    },
    /// It is about to crash.
    Crashed {
        /// The incarnation that ends.
        incarnation: u64,
    },
    /// It is about to listen again after a crash.
    Restarted {
        /// The incarnation that begins.
        incarnation: u64,
    },
}

/// How a run ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its answer was completed.
    Completed,
    /// It was cancelled, or its caller disconnected.
    Abandoned,
    /// The endpoint crashed, or a fault dropped the response.
    Interrupted,
}

type Callback = Box<dyn Fn(Event) + Send + Sync>;

/// A slot for at most one observer; clones share it.
#[derive(Clone, Default)]
pub(crate) struct ObserverSlot(Arc<OnceLock<Callback>>);

impl ObserverSlot {
    /// Sets the observer unless one is already set.
    pub(crate) fn set(&self, callback: impl Fn(Event) + Send + Sync + 'static) {
        let _already_set = self.0.set(Box::new(callback));
    }

    pub(crate) fn notify(&self, event: Event) {
        if let Some(callback) = self.0.get() {
            callback(event);
        }
    }
}

impl fmt::Debug for ObserverSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_set = self.0.get().is_some();
        f.debug_struct("Place").field("taken", &is_set).finish()
    }
}

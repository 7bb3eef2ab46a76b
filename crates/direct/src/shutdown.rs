//! The end of a graceful shutdown, by which all requests are answered.
//!
//! A request that outlasts the shutdown would be cut when the process ends. Its caller is better
//! served by an answer that says what is known of it, shortly before.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// How long before the end of the grace period a shutdown finishes, so that the process
/// is gone before the platform kills it.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);

/// How long before the shutdown's limit the requests that are left are answered, so that the
/// answers are written.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Returns how long a shutdown may take in a grace period.
pub(crate) const fn limit(grace: Duration) -> Duration {
    grace.saturating_sub(SHUTDOWN_MARGIN)
}

/// When this instance answers all that is left, once it shuts down.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    ends_at: watch::Sender<Option<Instant>>,
}

impl Shutdown {
    /// Begins a shutdown that takes `limit` at most.
    pub(crate) fn begin(&self, limit: Duration) {
        let ends_at = Instant::now() + limit.saturating_sub(ANSWER_TIME);
        self.ends_at.send_replace(Some(ends_at));
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.ends_at.borrow().is_some()
    }

    /// Returns when the requests that are left are answered, if it has begun.
    pub(crate) fn ends_at(&self) -> Option<Instant> {
        *self.ends_at.borrow()
    }

    /// Returns the time until then, if it has begun.
    pub(crate) fn remaining(&self) -> Option<Duration> {
        let ends_at = self.ends_at()?;
        Some(ends_at.saturating_duration_since(Instant::now()))
    }

    /// Waits until the requests that are left are to be answered.
    pub(crate) async fn ended(&self) {
        let mut begun = self.ends_at.subscribe();
        let ends_at = begun.wait_for(Option::is_some).await.map(|at| *at);
        match ends_at {
            Ok(Some(ends_at)) => sleep_until(ends_at).await,
            // The instance is gone, and so are its requests.
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;

//! Graceful shutdown: requests in flight are finished, and owned chats are
//! handed over.
//!
//! `godwitpost_state::drain` decides the steps; this module carries them out.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_state::drain::{Drain, Limits, Next};
use tokio::sync::{oneshot, watch};

use crate::control::Event;
use crate::handover;
use crate::shared::Shared;

/// Period of checks for requests in flight.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownResult {
    /// All requests in flight were finished.
    Whole,
    /// The limit passed or a second signal arrived with requests in flight.
    Cut {
        /// How many requests were cut off.
        requests: usize,
    },
}

/// Shuts down; `hurry` becomes true when a second signal arrives.
pub(crate) async fn run(
    shared: Arc<Shared>,
    closing: watch::Sender<bool>,
    hurry: watch::Receiver<bool>,
) -> ShutdownResult {
    let mut drain = Drain::new(Limits {
        balancer_lag: shared.settings.balancer_lag,
        hard_limit: shared.settings.drain,
        // A second signal ends the shutdown at once.
        second_signal_limit: Duration::ZERO,
    });
    drain.handle_signal(shared.now());
    let mut hurried = false;
    let mut announced = false;
    let mut closed = false;
    loop {
        if *hurry.borrow() && !hurried {
            hurried = true;
            drain.handle_signal(shared.now());
        }
        match drain.tick(shared.now(), shared.in_flight()) {
            Next::Announce { .. } if announced => {}
            Next::Announce { .. } => {
                announced = true;
                announce(&shared).await;
            }
            Next::Close { .. } if closed => {}
            Next::Close { .. } => {
                closed = true;
                closing.send_replace(true);
                handover::send_all(&shared).await;
                drain.record_handover();
            }
            Next::Serve | Next::Wait { .. } => {}
            Next::Exit { aborted: 0 } => return ShutdownResult::Whole,
            Next::Exit { aborted } => return ShutdownResult::Cut { requests: aborted },
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

async fn announce(shared: &Shared) {
    log::info!(name:% = shared.settings.name; "leaving");
    shared.begin_leaving();
    let (done, published) = oneshot::channel();
    if shared.control.send(Event::Leave(done)).await.is_ok() {
        drop(published.await);
    }
}

//! A graceful shutdown: nothing in flight is cut, and owned chats move on.
//!
//! `godwitpost_state::drain` says what to do when; this carries it out.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_state::drain::{Drain, Limits, Next};
use tokio::sync::{oneshot, watch};

use crate::control::Event;
use crate::handover;
use crate::shared::Shared;

/// How often the shutdown looks at what is in flight.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownResult {
    /// Nothing was in flight any more.
    Whole,
    /// The limit passed, or a second signal came, with requests in flight.
    Cut {
        /// How many were cut.
        requests: usize,
    },
}

/// Shuts down; `hurry` turns true when a second signal comes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    closing: watch::Sender<bool>,
    hurry: watch::Receiver<bool>,
) -> ShutdownResult {
    let mut drain = Drain::new(Limits {
        balancer_lag: shared.settings.balancer_lag,
        hard_limit: shared.settings.drain,
        // A second signal is an operator who can't wait.
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

//! A graceful shutdown: nothing in flight is cut, and owned chats move on.
//!
//! `godwitpost_state::drain` says what to do when; this carries it out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_decide::chats::Location;
use godwitpost_state::drain::{Drain, Limits, Next};
use godwitpost_types::id::InstanceId;
use godwitpost_types::instance::Instance;
use http::Method;
use tokio::sync::{oneshot, watch};

use crate::control::Event;
use crate::relay::peer;
use crate::shared::Shared;

/// The path that chat locations are handed over on.
pub(crate) const PATH: &str = "/peer/v1/handover";

/// Locations in one message: about 60 bytes each make 60 KB.
const CHUNK: usize = 1000;

/// How long a peer may take to accept one message of locations.
const WAIT: Duration = Duration::from_secs(2);

/// How often the shutdown looks at what is in flight.
const TICK: Duration = Duration::from_millis(20);

/// How a graceful shutdown ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
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
) -> Stopped {
    let mut drain = Drain::new(Limits {
        lag: shared.settings.balancer_lag,
        hard: shared.settings.drain,
        // A second signal is an operator who can't wait.
        second: Duration::ZERO,
    });
    drain.signal(shared.now());
    let mut hurried = false;
    let mut announced = false;
    let mut closed = false;
    loop {
        if *hurry.borrow() && !hurried {
            hurried = true;
            drain.signal(shared.now());
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
                hand_over(&shared).await;
                drain.handed_over();
            }
            Next::Serve | Next::Wait { .. } => {}
            Next::Exit { cut: 0 } => return Stopped::Whole,
            Next::Exit { cut } => return Stopped::Cut { requests: cut },
        }
        tokio::time::sleep(TICK).await;
    }
}

async fn announce(shared: &Shared) {
    log::info!(name:% = shared.settings.name; "leaving");
    shared.leave();
    let (done, published) = oneshot::channel();
    if shared.control.send(Event::Leave(done)).await.is_ok() {
        drop(published.await);
    }
}

/// Hands chat locations to the new owners of the chats' homes.
///
/// A peer that can't be reached goes without: the chats it now owns start
/// cold, which costs a prefill and no answer.
async fn hand_over(shared: &Arc<Shared>) {
    let snapshot = shared.snapshot();
    let view = &snapshot.view;
    let zone = shared.settings.zone_id();
    let mut moves: BTreeMap<InstanceId, Vec<Location>> = BTreeMap::new();
    for location in shared.desk.with(|owner| owner.handover()) {
        let home = view.ranked(location.pool, location.chat, zone).next();
        let Some(home) = home else { continue };
        moves.entry(view.owner(home)).or_default().push(location);
    }
    for (instance, locations) in moves {
        if let Some(instance) = view.instance(instance).filter(|i| i.id != shared.local()) {
            send(shared, instance, &locations).await;
        }
    }
}

async fn send(shared: &Shared, instance: &Instance, locations: &[Location]) {
    for chunk in locations.chunks(CHUNK) {
        let bytes = Bytes::from(rmp_serde::to_vec(chunk).unwrap_or_default());
        let request = peer::sealed(shared, instance, Method::POST, PATH, &bytes);
        let sent = shared.side.send(instance.peer_address, request, WAIT);
        if let Err(error) = sent.await {
            log::warn!(instance:% = instance.name, error:% = error; "chats not handed over");
            return;
        }
    }
}

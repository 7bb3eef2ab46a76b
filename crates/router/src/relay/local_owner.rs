//! The local owner behind its lock, and the requests waiting in its queue.
//!
//! Each call holds the lock for microseconds and never across an await. A
//! waiting request gets its decision through a channel. A caller that
//! disconnects can race with that: a request that still waits is removed from
//! the queue, and one that has just been granted returns its grant, since
//! otherwise the endpoint's slot would be lost permanently.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::owner::{Grant, Next, Owner, Wake};
use godwitpost_decide::queue::Ticket;
use godwitpost_decide::refusal::{Reason, Refusal};
use godwitpost_decide::view::View;
use godwitpost_types::clock::Moment;
use godwitpost_types::policy::Policy;
use godwitpost_types::request::Request;
use tokio::sync::oneshot;

use crate::shared::Shared;

/// The local owner and the requests that wait for its decision.
#[derive(Debug)]
pub(crate) struct LocalOwner {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    owner: Owner,
    waiting: BTreeMap<Ticket, oneshot::Sender<Next>>,
}

/// The final decision on a request.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Send it to the endpoint now.
    Dispatch(Permit),
    /// Send it to another owner.
    Forward(godwitpost_types::id::InstanceId, Hop),
    /// It was not run here and won't be.
    Refuse(Refusal),
}

impl LocalOwner {
    pub(crate) fn new(view: Arc<View>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                owner: Owner::new(view, Arc::new(Policy::default())),
                waiting: BTreeMap::new(),
            }),
        }
    }

    /// Applies a new view and policy.
    pub(crate) fn apply_view(&self, now: Moment, view: Arc<View>, policy: Arc<Policy>) {
        self.wake(now, |owner| owner.apply_view(now, view, policy));
    }

    /// Advances the time; called about every 100 ms.
    pub(crate) fn tick(&self, now: Moment) {
        self.wake(now, |owner| owner.tick(now));
    }

    /// Runs `call` on the owner.
    pub(crate) fn with<T>(&self, call: impl FnOnce(&mut Owner) -> T) -> T {
        call(&mut self.lock().owner)
    }

    /// Runs `call` on the owner and delivers the decisions it returns.
    fn wake(&self, now: Moment, call: impl FnOnce(&mut Owner) -> Vec<Wake>) {
        let mut inner = self.lock();
        let wakes = call(&mut inner.owner);
        inner.deliver(now, wakes);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic under the lock is a bug in the owner. Its tables are still
        // consistent enough to serve the requests in flight.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn deliver(&mut self, now: Moment, mut wakes: Vec<Wake>) {
        while let Some(wake) = wakes.pop() {
            let undelivered = match self.waiting.remove(&wake.ticket) {
                Some(sender) => sender.send(wake.next).err(),
                None => Some(wake.next),
            };
            if let Some(Next::Dispatch(grant)) = undelivered {
                wakes.extend(self.owner.finish(now, grant.attempt, Ending::Abandoned));
            }
        }
    }
}

/// Offers a request to the local owner and waits for its decision.
pub(crate) async fn offer(shared: &Arc<Shared>, request: &Request, hop: &Hop) -> Decision {
    let now = shared.now();
    let waiting = {
        let mut inner = shared.owner.lock();
        match inner.owner.offer(now, request, hop) {
            Next::Wait { ticket, .. } => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(ticket, sender);
                Waiting {
                    shared: Arc::clone(shared),
                    ticket,
                    receiver,
                }
            }
            next => return to_decision(shared, next),
        }
    };
    waiting.wait().await
}

fn to_decision(shared: &Arc<Shared>, next: Next) -> Decision {
    match next {
        Next::Dispatch(grant) => Decision::Dispatch(Permit {
            shared: Arc::clone(shared),
            grant,
            finished: false,
        }),
        Next::Forward { instance, hop } => Decision::Forward(instance, hop),
        Next::Refuse(refusal) => Decision::Refuse(refusal),
        // Not expected from a wake; refusing the request is safe.
        Next::Wait { .. } => Decision::Refuse(Refusal::new(Reason::Busy)),
    }
}

/// A request in the local owner's queue; dropping it removes the request.
#[derive(Debug)]
struct Waiting {
    shared: Arc<Shared>,
    ticket: Ticket,
    receiver: oneshot::Receiver<Next>,
}

impl Waiting {
    async fn wait(mut self) -> Decision {
        match (&mut self.receiver).await {
            Ok(next) => to_decision(&self.shared, next),
            // The sender is dropped only when the router stops.
            Err(_closed) => Decision::Refuse(Refusal::new(Reason::Leaving)),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut inner = self.shared.owner.lock();
        inner.waiting.remove(&self.ticket);
        if inner.owner.cancel(self.ticket) {
            return;
        }
        // Granted, but the caller disconnected before reading the decision.
        if let Ok(Next::Dispatch(grant)) = self.receiver.try_recv() {
            let wakes = inner.owner.finish(now, grant.attempt, Ending::Abandoned);
            inner.deliver(now, wakes);
        }
    }
}

/// A permit to dispatch one request; reports its end to the owner exactly once.
#[derive(Debug)]
pub(crate) struct Permit {
    shared: Arc<Shared>,
    grant: Grant,
    finished: bool,
}

impl Permit {
    pub(crate) const fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Reports how the attempt ended.
    pub(crate) fn finish(mut self, ending: Ending) {
        self.report_end(ending);
    }

    fn report_end(&mut self, ending: Ending) {
        if self.finished {
            return;
        }
        self.finished = true;
        let now = self.shared.now();
        let attempt = self.grant.attempt;
        self.shared
            .owner
            .wake(now, |owner| owner.finish(now, attempt, ending));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.report_end(Ending::Abandoned);
    }
}

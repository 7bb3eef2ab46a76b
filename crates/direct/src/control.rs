//! The control thread: follows the log and publishes what is in force.
//!
//! Each topic is followed by a task of this thread, which sends what it heard
//! to one loop. The loop alone changes state, and publishes a new view when
//! something in it changed.

mod follow;

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::{Clock, boot_time};
use godwitpost_client::timer::Timer;
use godwitpost_process::logging::queue::Queue;
use godwitpost_types::clock::{Moment, since};
use tokio::sync::mpsc;

use self::follow::{Heard, Pace, Topic, follow};
use crate::feed::Change;
use crate::policy::Policy;
use crate::roster::{Registration, Removal, Roster};
use crate::shared::{Shared, View, by_service};
use crate::source::Source;

/// How often endpoints that are held to be down, and lapsed entries, are
/// looked at.
const TICK: Duration = Duration::from_millis(250);

/// How long a read of the configuration waits for a change. Half of it is the
/// mean age of the configuration while nothing changes, and each read is a
/// call that the platform counts.
const WAIT: Duration = Duration::from_millis(1_300);

/// The configuration and the endpoints, where they are followed from.
#[derive(Debug)]
pub struct Sources {
    /// The configuration; versions only ever increase.
    pub policies: Source<Policy>,
    /// What endpoints say of themselves.
    pub endpoints: Source<Registration>,
}

enum Event {
    Policies(Heard<Policy>),
    Endpoints(Heard<Registration>),
}

/// Follows both topics; never returns.
pub(crate) async fn run(shared: Arc<Shared>, sources: Sources, lines: Queue) {
    // Two tasks that wait for their turn to send; nothing piles up.
    let (sender, mut events) = mpsc::channel(2);
    let timer = Timer::new(Duration::ZERO);
    tokio::spawn(timer.clone().drive(Clock::start_at(Duration::ZERO)));
    let waiting = Pace::Wait(WAIT);
    let polling = Pace::Poll(shared.settings.refresh);
    let policies = sources.policies;
    let endpoints = sources.endpoints;
    let (first, second) = (sender.clone(), sender);
    let metrics = Arc::clone(&shared);
    tokio::spawn(async move {
        let topic = Topic::Policies;
        follow(&policies, topic, waiting, &metrics, first, Event::Policies).await;
    });
    let metrics = Arc::clone(&shared);
    tokio::spawn(async move {
        let topic = Topic::Endpoints;
        follow(
            &endpoints,
            topic,
            polling,
            &metrics,
            second,
            Event::Endpoints,
        )
        .await;
    });
    let mut control = Control::new(shared, lines);
    let mut ticks = timer.every(TICK);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(Event::Policies(heard)) => control.policies(heard),
                Some(Event::Endpoints(heard)) => control.endpoints(heard),
                None => return,
            },
            _ = ticks.next() => control.tick(boot_time()),
        }
    }
}

struct Control {
    shared: Arc<Shared>,
    lines: Queue,
    policy: Option<Arc<Policy>>,
    roster: Roster,
    listed: bool,
    fresh: bool,
}

impl Control {
    fn new(shared: Arc<Shared>, lines: Queue) -> Self {
        Self {
            roster: Roster::new(shared.settings.heartbeat),
            shared,
            lines,
            policy: None,
            listed: false,
            fresh: false,
        }
    }

    fn policies(&mut self, heard: Heard<Policy>) {
        let mut newer = false;
        for change in heard.changes {
            newer |= self.policy(change);
        }
        if newer {
            self.publish();
        }
        if heard.whole && self.policy.is_some() {
            self.shared.confirm(heard.asked);
        }
    }

    fn policy(&mut self, change: Change<Policy>) -> bool {
        match change {
            Change::Set(policy) => {
                let held = self.policy.as_ref().map_or(0, |held| held.version());
                // The log never goes back; whatever looks like it is a mistake
                // that must not undo a version that callers have seen work.
                if policy.version() <= held {
                    log::warn!(version = policy.version(), held = held; "older version ignored");
                    return false;
                }
                log::info!(
                    version = policy.version(), before = held, routes = policy.routes();
                    "version in force"
                );
                self.shared.metrics.requests().version(policy.version());
                self.policy = Some(Arc::new(policy));
                true
            }
            Change::Unreadable(key, cause) => {
                log::error!(key:% = key, cause:% = cause; "version can't be read; the last one stays");
                false
            }
            Change::Removed(_) => false,
        }
    }

    fn endpoints(&mut self, heard: Heard<Registration>) {
        let now = boot_time();
        self.roster.reached(now);
        let mut changed = heard.whole && !self.listed;
        for change in heard.changes {
            changed |= self.endpoint(change, now);
        }
        self.listed |= heard.whole;
        if changed {
            self.publish();
        }
    }

    fn endpoint(&mut self, change: Change<Registration>, now: Moment) -> bool {
        match change {
            Change::Set(registration) => {
                let endpoint = registration.endpoint.clone();
                let changed = self.roster.set(registration);
                if changed {
                    log::info!(
                        endpoint:% = endpoint.name, incarnation = endpoint.incarnation,
                        address:% = endpoint.address, standing:? = endpoint.standing;
                        "endpoint changed"
                    );
                }
                changed
            }
            Change::Removed(name) => match self.roster.remove(&name, now) {
                Removal::Gone => {
                    log::info!(endpoint:% = name; "endpoint gone");
                    true
                }
                Removal::Kept => {
                    log::info!(endpoint:% = name; "entry lapsed with the log away; endpoint kept");
                    false
                }
                Removal::Unknown => false,
            },
            Change::Unreadable(name, cause) => {
                log::warn!(entry:% = name, cause:% = cause; "entry names no endpoint");
                false
            }
        }
    }

    fn tick(&mut self, now: Moment) {
        self.shared.book().tick(now);
        self.shared.metrics.dropped(self.lines.dropped());
        let gone = self.roster.expire(now);
        for name in &gone {
            log::info!(endpoint:% = name; "endpoint still missing after the log's return; gone");
        }
        if !gone.is_empty() {
            self.publish();
        }
        self.freshness(now);
    }

    fn freshness(&mut self, now: Moment) {
        let fresh = self.shared.fresh();
        if fresh == self.fresh {
            return;
        }
        self.fresh = fresh;
        let age = self.shared.confirmed().map(|at| since(now, at).as_millis());
        if fresh {
            log::info!(age_ms:? = age; "configuration confirmed; keys are acted on");
        } else {
            log::warn!(age_ms:? = age; "configuration not confirmed in time; keys are not acted on");
        }
    }

    fn publish(&self) {
        let endpoints = self.listed.then(|| by_service(self.roster.registrations()));
        let live = endpoints.iter().flatten().map(|(_, of)| of.len()).sum();
        self.shared.metrics.endpoints(live);
        self.shared.publish(View {
            policy: self.policy.clone(),
            endpoints,
        });
        let known: Vec<_> = self
            .roster
            .registrations()
            .map(|one| one.endpoint.id)
            .collect();
        self.shared.book().retain(|id| known.contains(&id));
    }
}

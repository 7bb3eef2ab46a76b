//! Schedules of offers, cancellations, endings, time and changing lists, and
//! the check that whoever was told *not run* was not run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::owner::{AttemptId, Next, Owner, Wake};
use godwitpost_decide::queue::Ticket;
use godwitpost_decide::view::{Fleet, View};
use godwitpost_types::clock::Moment;
use godwitpost_types::id;
use godwitpost_types::policy::Policy;
use godwitpost_types::request::Request;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::size::{self, Size};

/// What a schedule showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests dispatched after their callers were told *not run*.
    pub lies: usize,
    /// Requests dispatched twice.
    pub twice: usize,
    /// Requests that nobody answered by their deadline.
    pub forgotten: usize,
    /// Requests whose cancellation was confirmed.
    pub cancelled: usize,
    /// Requests dispatched.
    pub dispatched: usize,
}

const STEPS: usize = 120;

#[derive(Debug)]
struct Run {
    now: Moment,
    size: Size,
    owner: Owner,
    policy: Arc<Policy>,
    waiting: BTreeMap<Ticket, (u128, Moment)>,
    running: Vec<AttemptId>,
    told: BTreeSet<u128>,
    dispatched: BTreeSet<u128>,
    tally: Tally,
    rng: ChaCha8Rng,
    next: u64,
    confirms: bool,
}

/// Drives one owner through a seeded schedule.
#[must_use]
pub fn drive(seed: u64) -> Tally {
    follow(seed, true)
}

/// Drives a weakened caller of the owner, which says *not run* without having
/// its cancellation confirmed; shows that the check finds what it is for.
#[must_use]
pub fn drive_unconfirmed(seed: u64) -> Tally {
    follow(seed, false)
}

fn follow(seed: u64, confirms: bool) -> Tally {
    let mut run = Run::new(seed);
    run.confirms = confirms;
    for _ in 0..STEPS {
        run.step();
    }
    run.finish();
    run.tally
}

fn small() -> Size {
    Size {
        instances: 2,
        engines: 2,
        slots: 2,
        ..size::today()
    }
}

fn view(size: &Size, engines: usize) -> Arc<View> {
    let instances = (0..size.instances).map(|i| size.instance(i));
    let endpoints = (0..engines).map(|i| size.endpoint(i, 1));
    let fleet = Arc::new(Fleet::new(instances, endpoints));
    let owner = fleet_owner(&fleet, size);
    Arc::new(View::from_fleet(owner, fleet))
}

// The instance that owns the first engine.
fn fleet_owner(fleet: &Arc<Fleet>, size: &Size) -> u64 {
    let view = View::from_fleet(size.instance(0).id, Arc::clone(fleet));
    view.owner(size.endpoint(0, 1).id)
}

impl Run {
    fn new(seed: u64) -> Self {
        let size = small();
        let policy = Arc::new(size.policy());
        Self {
            now: Duration::from_secs(1000),
            owner: Owner::new(view(&size, 2), Arc::clone(&policy)),
            policy,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            told: BTreeSet::new(),
            dispatched: BTreeSet::new(),
            tally: Tally::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: 0,
            confirms: true,
            size,
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..500));
        match self.rng.random_range(0..10) {
            0..=4 => self.offer(),
            5 | 6 => self.end(),
            7 => self.cancel(),
            8 => self.tick(),
            _ => self.change(),
        }
    }

    fn offer(&mut self) {
        self.next += 1;
        let request = self.request();
        let home = self.size.endpoint(self.rng.random_range(0..2), 1).id;
        let mut hop = Hop::first(0, home);
        // Sent here as the last stop, so that it waits and isn't sent on.
        hop.count = godwitpost_decide::hop::MAX_FORWARDS;
        hop.tried = vec![self.size.endpoint(1, 1).id];
        let next = self.owner.offer(self.now, &request, &hop);
        self.follow(request.id, request.deadline, &next);
    }

    fn request(&mut self) -> Request {
        let wait = Duration::from_millis(self.rng.random_range(100..4000));
        Request {
            id: u128::from(self.next),
            version: 1,
            workspace: id::from_name(&format!("workspace-{}", self.next % 3)),
            service: id::from_name("drafting"),
            model: size::model(0),
            class: id::from_name("draft"),
            chat: self.next,
            prompt_tokens: self.rng.random_range(1..3000),
            answer_tokens: 100,
            deadline: self.now + wait,
            key: None,
            digest: u128::from(self.next).to_le_bytes(),
        }
    }

    fn follow(&mut self, id: u128, deadline: Moment, next: &Next) {
        match next {
            Next::Dispatch(grant) => {
                self.running.push(grant.attempt);
                self.tally.dispatched += 1;
                self.tally.lies += usize::from(self.told.contains(&id));
                self.tally.twice += usize::from(!self.dispatched.insert(id));
            }
            Next::Wait { ticket, .. } => {
                self.waiting.insert(*ticket, (id, deadline));
            }
            // Another instance answers for it from here on.
            Next::Forward { .. } => {}
            Next::Refuse(_) => {
                self.told.insert(id);
            }
        }
    }

    fn wake(&mut self, wakes: Vec<Wake>) {
        for wake in wakes {
            match self.waiting.remove(&wake.ticket) {
                Some((id, deadline)) => self.follow(id, deadline, &wake.next),
                // A wake for a request that is no longer there would run it.
                None if matches!(wake.next, Next::Dispatch(_)) => self.tally.lies += 1,
                None => {}
            }
        }
    }

    fn end(&mut self) {
        const ENDINGS: [Ending; 5] = [
            Ending::Done,
            Ending::Broken,
            Ending::Overloaded,
            Ending::Timeout,
            Ending::NotSent,
        ];
        if self.running.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.running.len());
        let attempt = self.running.swap_remove(index);
        let ending = ENDINGS[self.rng.random_range(0..ENDINGS.len())];
        let wakes = self.owner.finish(self.now, attempt, ending);
        self.wake(wakes);
    }

    fn cancel(&mut self) {
        let Some((&ticket, &(id, _))) = self.waiting.first_key_value() else {
            return;
        };
        if !self.confirms {
            self.told.insert(id);
            return;
        }
        if self.owner.cancel(ticket) {
            self.tally.cancelled += 1;
            self.told.insert(id);
            // The waiter is gone; only a wrong wake would name it again.
            self.waiting.remove(&ticket);
        }
    }

    fn tick(&mut self) {
        let wakes = self.owner.tick(self.now);
        self.wake(wakes);
        let late = self
            .waiting
            .values()
            .filter(|(_, until)| *until <= self.now);
        self.tally.forgotten += late.count();
    }

    fn change(&mut self) {
        let engines = self.rng.random_range(1..=2);
        let view = view(&self.size, engines);
        let policy = Arc::clone(&self.policy);
        let wakes = self.owner.apply_view(self.now, view, policy);
        self.wake(wakes);
    }

    fn finish(&mut self) {
        self.now += Duration::from_mins(5);
        self.tick();
        self.tally.forgotten += self.waiting.len() + self.owner.waiting();
    }
}

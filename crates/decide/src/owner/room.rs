//! Whether an endpoint has room for a request, and who in the queue goes next.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, WorkspaceId};

use super::book::Solo;
use super::job::Job;
use super::{LOOKED_AT, Owner, PATIENCE, Wake};
use crate::load::Summary;
use crate::queue::{Queue, Ticket};
use crate::view::Pool;

/// Part of an endpoint that a workspace over its share must leave free.
///
/// Others that are under theirs find room there at once, instead of after
/// the next request of a surge ends.
const RESERVE: f64 = 0.125;

/// Shares that a workspace may use before it leaves the reserve free.
///
/// Chance alone takes a workspace somewhat over its share without any surge.
const LENIENT: f64 = 1.5;

/// Part of the bound's room above the mean that a warm request may use.
const WARM: f64 = 0.45;

/// Part of it that a cold request may use before it looks elsewhere.
const COLD: f64 = 0.0;

/// Waiting requests among which one that is warm may go first, at a policy
/// that weighs reuse alone.
const PREFERRED: u32 = 32;

/// How long after a request had to wait the reserve is kept.
const CONTENDED: Duration = Duration::from_secs(10);

/// How fast the largest request is forgotten: by a 256th with each new one.
const FADE: f64 = 1.0 / 256.0;

/// Who uses a pool's endpoints here, and how large its requests are.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    users: BTreeMap<WorkspaceId, User>,
    running: u32,
    largest: f64,
    contended: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct User {
    weight: f64,
    running: u32,
    waiting: u32,
}

impl Shares {
    /// Counts a request that starts to wait.
    pub fn arrive(&mut self, now: Moment, job: &Job) {
        self.contended = now;
        let user = self.users.entry(job.rank.flow.workspace).or_default();
        user.weight = job.rank.weight;
        user.waiting += 1;
    }

    /// Counts a request that stops waiting.
    pub fn leave(&mut self, job: &Job) {
        self.change(job, |user| user.waiting = user.waiting.saturating_sub(1));
    }

    /// Counts a request that starts to run.
    pub fn begin(&mut self, job: &Job) {
        let user = self.users.entry(job.rank.flow.workspace).or_default();
        user.weight = job.rank.weight;
        user.running += 1;
        self.running += 1;
        #[expect(clippy::cast_precision_loss, reason = "work is far under 2^52")]
        let work = job.rank.work as f64;
        self.largest = (self.largest * (1.0 - FADE)).max(work);
    }

    /// Counts a request that ended.
    pub fn end(&mut self, job: &Job) {
        self.running = self.running.saturating_sub(1);
        self.change(job, |user| user.running = user.running.saturating_sub(1));
    }

    fn change(&mut self, job: &Job, change: impl FnOnce(&mut User)) {
        let id = job.rank.flow.workspace;
        if let Some(user) = self.users.get_mut(&id) {
            change(user);
            if user.running == 0 && user.waiting == 0 {
                self.users.remove(&id);
            }
        }
    }

    // Whether one more request takes its workspace over its share of `slots`,
    // among those that run or wait now.
    fn over(&self, job: &Job, slots: u32) -> bool {
        let id = job.rank.flow.workspace;
        let others: f64 = self
            .users
            .iter()
            .filter(|(other, _)| **other != id)
            .map(|(_, user)| user.weight)
            .sum();
        let running = self.users.get(&id).map_or(0, |user| user.running);
        let share = job.rank.weight / (job.rank.weight + others);
        f64::from(running + 1) > f64::from(slots) * share * LENIENT
    }
}

impl Owner {
    /// Returns whether an endpoint has room for a request now.
    pub(super) fn fits(&self, now: Moment, endpoint: EndpointId, job: &Job) -> bool {
        let Some(book) = self.books.get(&endpoint) else {
            return false;
        };
        if job.suspect {
            return book.open(job.slots) && book.running() == 0;
        }
        let over = self.over(now, job);
        let free = if over { 1.0 - RESERVE } else { 1.0 };
        if !book.open(part(job.slots, free)) {
            return false;
        }
        if book.running() == 0 {
            return true;
        }
        let mean = self.exact_mean(now, job.pool);
        #[expect(clippy::cast_precision_loss, reason = "work is far under 2^52")]
        let (load, work) = (book.load() as f64, job.work(endpoint) as f64);
        let limit = multiple(job, endpoint) * mean.max(self.floor(job.pool));
        // One more is always right where the load is no more than the mean:
        // with few and equal requests, all at the mean, nobody could else
        // ever take a second. A cold one looks for a better place before.
        let stays = !job.roams(endpoint) && load <= mean * free;
        stays || load + work <= limit * free
    }

    fn over(&self, now: Moment, job: &Job) -> bool {
        let Some(shares) = self.shares.get(&job.pool) else {
            return false;
        };
        if since(now, shares.contended) > CONTENDED {
            return false;
        }
        let own = self.own(job.pool);
        shares.over(job, own.endpoints * job.slots)
    }

    // A mean under the largest request is taken as that request: a single one
    // on an idle endpoint would else be over the bound.
    fn floor(&self, pool: Pool) -> f64 {
        self.shares.get(&pool).map_or(0.0, |s| s.largest)
    }

    fn exact_mean(&self, now: Moment, pool: Pool) -> f64 {
        let size = self.view.pool_size(pool);
        self.means
            .mean_work(&self.own(pool), size, self.floor(pool), now)
    }

    /// Returns the mean work of a pool's endpoints, in tokens.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "work is positive and far under 2^52"
    )]
    pub(super) fn mean(&self, now: Moment, pool: Pool) -> u64 {
        self.exact_mean(now, pool) as u64
    }

    fn own(&self, pool: Pool) -> Summary {
        self.summary(Moment::ZERO, pool)
    }

    /// Dispatches what waits and now fits, in the order of the queues.
    pub(super) fn drain(&mut self, now: Moment) -> Vec<Wake> {
        let pools: Vec<Pool> = self.queues.keys().copied().collect();
        let mut wakes = Vec::new();
        for pool in pools {
            while let Some(wake) = self.advance(now, pool) {
                wakes.push(wake);
            }
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        wakes
    }

    fn advance(&mut self, now: Moment, pool: Pool) -> Option<Wake> {
        let (ticket, endpoint) = self.fitting(now, pool)?;
        let job = self.queues.get_mut(&pool)?.take_for_dispatch(ticket)?;
        self.left(ticket, &job);
        let next = self.grant(now, endpoint, job);
        Some(Wake { ticket, next })
    }

    // The first in the queue for which an owned endpoint has room.
    fn fitting(&mut self, now: Moment, pool: Pool) -> Option<(Ticket, EndpointId)> {
        let view = Arc::clone(&self.view);
        let owned = view.owned_in_pool(pool);
        let mut drains = None;
        let mut found = None;
        for (ticket, job) in self.queues.get(&pool)?.iter().take(LOOKED_AT) {
            let mut ranked = owned.iter().copied();
            if let Some(endpoint) = ranked.find(|id| self.fits_waiting(now, *id, ticket, job)) {
                found = Some((ticket, endpoint));
                break;
            }
            if job.suspect && drains.is_none() {
                drains = Some(ticket);
            }
            if since(now, job.since) > PATIENCE {
                break;
            }
        }
        if let Some(ticket) = drains {
            self.set_aside(ticket, owned);
        }
        found.map(|(ticket, endpoint)| self.warmer(now, pool, ticket, endpoint))
    }

    // When all endpoints are full, whoever is first in the queue gets the slot
    // that comes free, and every chat goes cold. One of the next few that is
    // warm there goes before, unless the first has waited long.
    fn warmer(
        &self,
        now: Moment,
        pool: Pool,
        first: Ticket,
        endpoint: EndpointId,
    ) -> (Ticket, EndpointId) {
        let queue = self.queues.get(&pool);
        let jobs = queue.into_iter().flat_map(Queue::iter);
        let mut jobs = jobs.skip_while(|(ticket, _)| *ticket != first);
        let Some((_, head)) = jobs.next() else {
            return (first, endpoint);
        };
        let settled = head.cached(endpoint) > 0 || since(now, head.since) > PATIENCE;
        if settled || head.suspect {
            return (first, endpoint);
        }
        let peers = jobs.take(part(PREFERRED, head.reuse) as usize);
        let mut warm = peers.filter(|(_, job)| {
            let peer = job.rank.priority == head.rank.priority && !job.suspect;
            peer && job.cached(endpoint) > 0 && self.fits(now, endpoint, job)
        });
        warm.next()
            .map_or((first, endpoint), |(ticket, _)| (ticket, endpoint))
    }

    fn fits_waiting(&self, now: Moment, id: EndpointId, ticket: Ticket, job: &Job) -> bool {
        let book = self.books.get(&id);
        let aside = book.is_some_and(|book| book.solo == Solo::Draining(ticket));
        if aside {
            return book.is_some_and(|book| book.running() == 0);
        }
        self.fits(now, id, job)
    }

    // One endpoint at a time takes no more until a suspect has run there.
    fn set_aside(&mut self, ticket: Ticket, owned: &[EndpointId]) {
        let busy = |id: &EndpointId| self.books.get(id).is_some_and(|b| b.solo != Solo::Off);
        if owned.iter().any(busy) {
            return;
        }
        let load = |id: &&EndpointId| self.load(**id);
        if let Some(id) = owned.iter().min_by_key(load).copied()
            && let Some(book) = self.books.get_mut(&id)
        {
            book.solo = Solo::Draining(ticket);
        }
    }
}

// Part of what the bound leaves above the mean. A request whose chat is warm
// may use most of it; a cold one may go anywhere, so the more the policy
// weighs skew the earlier it moves on. The rest covers what this owner can't
// know: means that changed since they were told, and wrong estimates.
fn multiple(job: &Job, endpoint: EndpointId) -> f64 {
    let reuse = job.reuse.clamp(0.0, 1.0);
    let part = if job.roams(endpoint) {
        COLD + 0.2 * reuse
    } else {
        WARM + 0.1 * reuse
    };
    1.0 + (job.bound - 1.0) * part
}
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a count is within the count"
)]
fn part(slots: u32, free: f64) -> u32 {
    ((f64::from(slots) * free) as u32).max(1)
}

//! What a change of lists moves: homes, owners, and those who wait.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{ChatId, EndpointId, Incarnation, InstanceId};
use godwitpost_types::policy::Policy;

use super::book::Book;
use super::job::Job;
use super::{Next, Owner, Wake};
use crate::chats::Location;
use crate::hop::Hop;
use crate::refusal::{Reason, Refusal};
use crate::view::{Pool, View};

/// Part of the mean that an endpoint taken over is presumed to be above it:
/// a fifth, so that it gets little before its first report.
const PRESUMED: u64 = 5;

/// Locations looked at in one call of [`Owner::next_handover_batch`], some 200 us.
const HANDED: usize = 512;

impl Owner {
    /// Goes over to a new view and policy.
    ///
    /// Running requests stay counted until they finish. Those that wait for a
    /// pool of which nothing is owned here any more move to its owners.
    pub fn apply_view(&mut self, now: Moment, view: Arc<View>, policy: Arc<Policy>) -> Vec<Wake> {
        self.lose(&view);
        let pools = view.owned_pools().keys();
        let means = pools.map(|pool| (*pool, self.mean(now, *pool))).collect();
        let last = std::mem::replace(&mut self.view, view);
        self.policy = policy;
        self.inherit(now, &last, &means);
        self.open_books();
        let mut wakes = self.evict();
        wakes.extend(self.drain(now));
        wakes
    }

    // Homes move with the endpoints and with their owners; what is known of
    // the chats whose home or context moves goes along.
    pub(super) fn lose(&mut self, next: &View) {
        if self.view.same_ownership(next) {
            return;
        }
        // With some of the last move left to do, both are done from before it.
        if self.strays.is_empty() {
            self.former = Arc::clone(&self.view);
        }
        let rows = self.chats.iter();
        self.strays = rows
            .map(|location| (location.pool, location.chat))
            .collect();
    }

    pub(super) fn lives(&self, location: &Location) -> bool {
        self.lives_on(location.endpoint, location.incarnation)
    }

    /// Returns chat locations that belong to other owners in the present
    /// view, with whom they go to; looks at some of the table in each call,
    /// and returns `None` when there is no more to look at.
    ///
    /// Homes move when [`Owner::apply_view`] brings other endpoints or instances;
    /// on a graceful stop, when the view has the local instance as leaving,
    /// all of them do. Called at each tick, and on a stop until it is done.
    pub fn next_handover_batch(&mut self) -> Option<Vec<(InstanceId, Location)>> {
        if self.strays.is_empty() {
            return None;
        }
        let most = self.strays.len().min(HANDED);
        let some: Vec<(Pool, ChatId)> = self.strays.drain(..most).collect();
        let known = some
            .iter()
            .filter_map(|(pool, chat)| self.chats.peek(*pool, *chat));
        Some(known.flat_map(|location| self.heirs(location)).collect())
    }

    // The owners of the chat's home and of the endpoint where it is warm, if
    // they were here in the former view and are elsewhere now.
    pub(super) fn heirs(&self, location: &Location) -> Vec<(InstanceId, Location)> {
        if !self.lives(location) || location.tokens == 0 {
            return Vec::new();
        }
        let home = |view: &View| view.ranked(location.pool, location.chat, 0).next();
        let local = self.view.local();
        let moved = |before: Option<EndpointId>, after: Option<EndpointId>| {
            let here = before.is_some_and(|id| self.former.owner(id) == local);
            let owner = after.map(|id| self.view.owner(id))?;
            (here && owner != local).then_some(owner)
        };
        let warm = Some(location.endpoint);
        let owners = [
            moved(home(&self.former), home(&self.view)),
            moved(warm, warm),
        ];
        let owners: BTreeSet<InstanceId> = owners.into_iter().flatten().collect();
        owners.into_iter().map(|id| (id, *location)).collect()
    }

    /// Takes over chat locations of an instance that stops.
    pub fn accept_handover(&mut self, locations: &[Location]) {
        // The most recently used come first and have to be put last.
        for location in locations.iter().rev() {
            self.record_location(*location);
        }
    }

    // An endpoint that was another's until now has work that no report has
    // shown here yet, and its last owner may go on for seconds. Taken to be
    // idle, it would get twice its bound; so it is taken to be somewhat above
    // the mean until a report that was taken from now on says what is there.
    pub(super) fn inherit(&mut self, now: Moment, last: &View, means: &BTreeMap<Pool, u64>) {
        let view = Arc::clone(&self.view);
        for (pool, owned) in view.owned_pools() {
            for id in owned {
                let here = self.books.contains_key(id);
                let known = last.endpoint(*id).map(|endpoint| endpoint.incarnation);
                let same = known.filter(|life| self.lives_on(*id, *life));
                if let Some(incarnation) = same.filter(|_| !here && last.serves(*id, *pool)) {
                    let mut book = Book::new(incarnation);
                    let mean = means.get(pool).copied().unwrap_or(0);
                    book.presume(now, mean + mean / PRESUMED);
                    self.books.insert(*id, book);
                }
            }
        }
    }

    pub(super) fn lives_on(&self, id: EndpointId, incarnation: Incarnation) -> bool {
        let endpoint = self.view.endpoint(id);
        endpoint.is_some_and(|endpoint| endpoint.incarnation == incarnation)
    }

    // Books of endpoints that the view lost stay while something runs there.
    pub(super) fn open_books(&mut self) {
        let view = Arc::clone(&self.view);
        for endpoint in view.endpoints() {
            if view.owner(endpoint.id) != view.local() && !self.books.contains_key(&endpoint.id) {
                continue;
            }
            let book = self.books.entry(endpoint.id);
            let book = book.or_insert_with(|| Book::new(endpoint.incarnation));
            book.health
                .update_standing(endpoint.incarnation, endpoint.standing);
        }
        self.books.retain(|id, book| {
            book.requests > 0 || (view.endpoint(*id).is_some() && view.owner(*id) == view.local())
        });
    }

    // What waits for a pool with no endpoint left here moves on.
    pub(super) fn evict(&mut self) -> Vec<Wake> {
        let view = Arc::clone(&self.view);
        let here = |pool: Pool| !view.owned_in_pool(pool).is_empty();
        let pools: Vec<Pool> = self.queues.keys().copied().filter(|p| !here(*p)).collect();
        let mut wakes = Vec::new();
        for pool in pools {
            let queue = self.queues.remove(&pool).unwrap_or_default();
            for (ticket, job) in queue.iter() {
                self.left(ticket, job);
                let next = self.relocate(job);
                wakes.push(Wake { ticket, next });
            }
        }
        wakes
    }

    pub(super) fn relocate(&self, job: &Job) -> Next {
        match self.home(job) {
            Some(endpoint) if !self.owns(endpoint) => {
                self.forward(job, Hop::first(0, endpoint), endpoint)
            }
            _ => Next::Refuse(Refusal::new(Reason::NoEndpoint)),
        }
    }
}

//! Requests that wait at the owner of their endpoints.
//!
//! Classes of a lower priority number go strictly first. Among one priority,
//! start-time fair queueing shares by weight over flows (one workspace in one
//! class): a request is stamped with the virtual time at which its flow's
//! earlier work would be done at its weight, and the smallest stamp goes
//! first. A flow that sent little has an early stamp however long the queue
//! of a surging one is. Cost is estimated work, so long prompts pay more.

use std::collections::{BTreeMap, BTreeSet};

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{ClassId, WorkspaceId};

/// A number for a waiting request, unique at its owner.
pub type Ticket = u64;

/// Virtual time for one token at weight 1; keeps fractions of weights.
const SCALE: f64 = 1024.0;

/// One workspace in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The class.
    pub class: ClassId,
}

/// What the queue needs to know to order a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// The priority of its class; 0 goes first.
    pub priority: u8,
    /// Its flow.
    pub flow: Flow,
    /// The flow's weight.
    pub weight: f64,
    /// Estimated work in tokens.
    pub work: u64,
    /// When it stops waiting.
    pub deadline: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: u8,
    start: u64,
    ticket: Ticket,
}

/// A queue of `T` in the order of priority and fair share.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    order: BTreeMap<Place, (Flow, T)>,
    places: BTreeMap<Ticket, (Place, Moment)>,
    until: BTreeSet<(Moment, Ticket)>,
    levels: BTreeMap<u8, Level>,
    waiting: BTreeMap<Flow, u32>,
}

#[derive(Clone, Debug, Default)]
struct Level {
    virtual_time: u64,
    finish: BTreeMap<Flow, u64>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            order: BTreeMap::new(),
            places: BTreeMap::new(),
            until: BTreeSet::new(),
            levels: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of waiting requests, as summaries tell it.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.order.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns how many requests of a flow wait.
    #[must_use]
    pub fn flow_len(&self, flow: Flow) -> u32 {
        self.waiting.get(&flow).copied().unwrap_or(0)
    }

    /// Returns whether a queue of `most` has no place for one more of a flow.
    ///
    /// Past `most`, only flows with less than an even part of it still get
    /// in, up to twice as many: a surge that fills the queue must not keep
    /// the others out of it.
    #[must_use]
    pub fn is_full_for(&self, most: usize, flow: Flow) -> bool {
        let flows = self.waiting.len().max(1);
        let own = usize::try_from(self.flow_len(flow)).unwrap_or(usize::MAX);
        self.len() >= 2 * most || (self.len() >= most && own.saturating_mul(flows) >= most)
    }

    /// Puts a request in its place.
    pub fn push(&mut self, ticket: Ticket, rank: &Rank, item: T) {
        let level = self.levels.entry(rank.priority).or_default();
        let finish = level.finish.get(&rank.flow).copied().unwrap_or(0);
        let start = finish.max(level.virtual_time);
        level.finish.insert(rank.flow, start + cost(rank));
        let place = Place {
            priority: rank.priority,
            start,
            ticket,
        };
        self.order.insert(place, (rank.flow, item));
        self.places.insert(ticket, (place, rank.deadline));
        self.until.insert((rank.deadline, ticket));
        *self.waiting.entry(rank.flow).or_insert(0) += 1;
    }

    /// Returns the waiting requests, first to go first.
    pub fn iter(&self) -> impl Iterator<Item = (Ticket, &T)> {
        self.order
            .iter()
            .map(|(place, (_, item))| (place.ticket, item))
    }

    /// Takes a request out to dispatch it, which moves the virtual time on.
    pub fn take_for_dispatch(&mut self, ticket: Ticket) -> Option<T> {
        let (place, _) = *self.places.get(&ticket)?;
        if let Some(level) = self.levels.get_mut(&place.priority) {
            level.virtual_time = level.virtual_time.max(place.start);
        }
        self.remove(ticket)
    }

    /// Takes a request out without dispatching it.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let (place, until) = self.places.remove(&ticket)?;
        self.until.remove(&(until, ticket));
        let (flow, item) = self.order.remove(&place)?;
        self.leave(flow);
        if self.order.is_empty() {
            self.levels.clear();
        }
        Some(item)
    }

    /// Takes out one request whose time is up.
    pub fn pop_expired(&mut self, now: Moment) -> Option<(Ticket, T)> {
        let &(until, ticket) = self.until.first()?;
        if until > now {
            return None;
        }
        self.remove(ticket).map(|item| (ticket, item))
    }

    fn leave(&mut self, flow: Flow) {
        if let Some(count) = self.waiting.get_mut(&flow) {
            *count -= 1;
            if *count == 0 {
                self.waiting.remove(&flow);
            }
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "work is far under 2^52, and the weight is positive"
)]
fn cost(rank: &Rank) -> u64 {
    (rank.work.max(1) as f64 * SCALE / rank.weight.max(f64::MIN_POSITIVE)) as u64
}

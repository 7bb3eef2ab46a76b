//! The queue of requests that wait at the owner of their endpoints.
//!
//! Classes with a lower priority number go strictly first. Within one
//! priority, start-time fair queueing shares by weight among flows, where a
//! flow is one workspace in one class. Each request gets as its start tag the
//! virtual time at which its flow's earlier work would be done at its weight,
//! and the smallest start tag goes first. A flow that sent little has an early
//! start tag, however long the queue of a surging flow is. Cost is estimated
//! work, so long prompts cost more.

use std::collections::{BTreeMap, BTreeSet};

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{ClassId, WorkspaceId};

/// Identifies a waiting request; unique at its owner.
pub type Ticket = u64;

/// Virtual time per token at weight 1; large enough to keep fractional costs.
const VIRTUAL_TIME_SCALE: f64 = 1024.0;

/// The requests of one workspace in one class.
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
    /// The flow it belongs to.
    pub flow: Flow,
    /// The weight of its flow.
    pub weight: f64,
    /// Estimated work in tokens.
    pub work: u64,
    /// When it stops waiting.
    pub deadline: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: u8,
    start: u64,
    ticket: Ticket,
}

/// A queue of `T` ordered by priority and fair share.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    order: BTreeMap<Position, (Flow, T)>,
    positions: BTreeMap<Ticket, (Position, Moment)>,
    deadlines: BTreeSet<(Moment, Ticket)>,
    levels: BTreeMap<u8, PriorityLevel>,
    flow_counts: BTreeMap<Flow, u32>,
}

#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    virtual_time: u64,
    finish: BTreeMap<Flow, u64>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            order: BTreeMap::new(),
            positions: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            levels: BTreeMap::new(),
            flow_counts: BTreeMap::new(),
        }
    }
}

impl<T> Queue<T> {
    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of waiting requests as a `u32`, for summaries.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.order.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns the number of waiting requests of a flow.
    #[must_use]
    pub fn flow_len(&self, flow: Flow) -> u32 {
        self.flow_counts.get(&flow).copied().unwrap_or(0)
    }

    /// Returns whether a queue of `capacity` has no room for another request
    /// of a flow.
    ///
    /// Beyond `capacity`, only flows with less than an even part of it are
    /// still admitted, up to twice the capacity. A surge that fills the queue
    /// must not keep the other flows out.
    #[must_use]
    pub fn is_full_for(&self, capacity: usize, flow: Flow) -> bool {
        let flows = self.flow_counts.len().max(1);
        let own = usize::try_from(self.flow_len(flow)).unwrap_or(usize::MAX);
        self.len() >= 2 * capacity
            || (self.len() >= capacity && own.saturating_mul(flows) >= capacity)
    }

    /// Adds a request at its position in the order.
    pub fn push(&mut self, ticket: Ticket, rank: &Rank, item: T) {
        let level = self.levels.entry(rank.priority).or_default();
        let finish = level.finish.get(&rank.flow).copied().unwrap_or(0);
        let start = finish.max(level.virtual_time);
        level.finish.insert(rank.flow, start + cost(rank));
        let position = Position {
            priority: rank.priority,
            start,
            ticket,
        };
        self.order.insert(position, (rank.flow, item));
        self.positions.insert(ticket, (position, rank.deadline));
        self.deadlines.insert((rank.deadline, ticket));
        *self.flow_counts.entry(rank.flow).or_insert(0) += 1;
    }

    /// Returns the waiting requests in the order in which they go.
    pub fn iter(&self) -> impl Iterator<Item = (Ticket, &T)> {
        self.order
            .iter()
            .map(|(position, (_, item))| (position.ticket, item))
    }

    /// Removes a request in order to dispatch it, which advances the virtual
    /// time.
    pub fn take_for_dispatch(&mut self, ticket: Ticket) -> Option<T> {
        let (position, _) = *self.positions.get(&ticket)?;
        if let Some(level) = self.levels.get_mut(&position.priority) {
            level.virtual_time = level.virtual_time.max(position.start);
        }
        self.remove(ticket)
    }

    /// Removes a request without dispatching it.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        let (position, deadline) = self.positions.remove(&ticket)?;
        self.deadlines.remove(&(deadline, ticket));
        let (flow, item) = self.order.remove(&position)?;
        self.decrement_flow(flow);
        if self.order.is_empty() {
            self.levels.clear();
        }
        Some(item)
    }

    /// Removes one request whose deadline has passed.
    pub fn pop_expired(&mut self, now: Moment) -> Option<(Ticket, T)> {
        let &(deadline, ticket) = self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(ticket).map(|item| (ticket, item))
    }

    fn decrement_flow(&mut self, flow: Flow) {
        if let Some(count) = self.flow_counts.get_mut(&flow) {
            *count -= 1;
            if *count == 0 {
                self.flow_counts.remove(&flow);
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
    (rank.work.max(1) as f64 * VIRTUAL_TIME_SCALE / rank.weight.max(f64::MIN_POSITIVE)) as u64
}

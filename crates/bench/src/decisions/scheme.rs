//! The ways of placing that the bench compares.

use std::collections::BTreeMap;

use godwitpost_decide::view::{Pool, View};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{ChatId, EndpointId};
use godwitpost_types::request::Request;

use super::engine::Engine;
use super::traffic::LARGEST;

/// A way of placing requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scheme {
    /// The router's own: one owner for each endpoint.
    Owned,
    /// Each entry instance goes round the pool.
    RoundRobin,
    /// The winner of rendezvous hashing, whatever its load.
    Rendezvous,
    /// The endpoint that last reported the least load.
    LeastReported,
    /// The less loaded, by last report, of the chat's first two.
    TwoReported,
    /// The less loaded of the chat's first two, by what answers to this
    /// instance told of their load.
    TwoPiggybacked,
    /// The chat's order, bounded by the entry instance's own work alone.
    LocalShare,
    /// Sees every cache and load as it is.
    Oracle,
}

/// What the router's own way is compared with.
pub const BASELINES: [Scheme; 4] = [
    Scheme::RoundRobin,
    Scheme::Rendezvous,
    Scheme::LeastReported,
    Scheme::TwoReported,
];

impl Scheme {
    /// Returns its name in figures.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Owned => "owned",
            Self::RoundRobin => "round_robin",
            Self::Rendezvous => "rendezvous",
            Self::LeastReported => "least_reported",
            Self::TwoReported => "two_reported",
            Self::TwoPiggybacked => "two_piggybacked",
            Self::LocalShare => "local_share",
            Self::Oracle => "oracle",
        }
    }
}

/// What an entry instance without owners knows.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    /// Its turn in the round.
    pub turn: usize,
    /// Loads that answers told it, in tokens.
    pub told: BTreeMap<EndpointId, u64>,
    /// Its own work on each endpoint, in tokens.
    pub own: BTreeMap<EndpointId, u64>,
}

/// Every engine, and what all instances may know of them.
#[derive(Debug)]
pub struct Engines {
    /// The engines.
    pub all: Vec<Engine>,
    /// The place of each in the list.
    pub index: BTreeMap<EndpointId, usize>,
    /// Those of each pool.
    pub pools: BTreeMap<Pool, Vec<usize>>,
    /// The loads of the last report that has arrived.
    pub reported: Vec<u64>,
    /// Where each chat was, for the oracle.
    pub been: BTreeMap<ChatId, Vec<usize>>,
}

impl Engines {
    /// Returns the engine of an id.
    pub fn get(&mut self, id: EndpointId) -> &mut Engine {
        let index = self.index[&id];
        &mut self.all[index]
    }

    fn reported_load(&self, id: EndpointId) -> u64 {
        self.reported[self.index[&id]]
    }
}

/// Picks an endpoint without an owner.
pub fn pick(
    scheme: Scheme,
    engines: &Engines,
    knowledge: &mut Knowledge,
    view: &View,
    request: &Request,
    bound: f64,
) -> Option<EndpointId> {
    let pool = Pool::for_request(request);
    let mut ranked = view.ranked(pool, request.chat, 0);
    match scheme {
        Scheme::Owned | Scheme::Rendezvous => ranked.next(),
        Scheme::RoundRobin => {
            knowledge.turn += 1;
            let size = view.pool_size(pool);
            // One order for all: that of the chat "0".
            let mut members = view.ranked(pool, 0, 0);
            members.nth(knowledge.turn % size.max(1))
        }
        Scheme::LeastReported => ranked.min_by_key(|id| engines.reported_load(*id)),
        Scheme::TwoReported => ranked.take(2).min_by_key(|id| engines.reported_load(*id)),
        Scheme::TwoPiggybacked => {
            let told = &knowledge.told;
            ranked
                .take(2)
                .min_by_key(|id| told.get(id).copied().unwrap_or(0))
        }
        Scheme::LocalShare => local_share(knowledge, ranked, view.pool_size(pool), request, bound),
        Scheme::Oracle => oracle(engines, pool, request, bound),
    }
}

#[expect(clippy::cast_precision_loss, reason = "work is far under 2^52")]
fn local_share(
    knowledge: &Knowledge,
    ranked: impl Iterator<Item = EndpointId> + Clone,
    size: usize,
    request: &Request,
    bound: f64,
) -> Option<EndpointId> {
    let own = |id: EndpointId| knowledge.own.get(&id).copied().unwrap_or(0);
    let members = ranked.clone();
    let sum: u64 = members.map(own).sum();
    let work = request.work(0);
    let mean = sum as f64 / size.max(1) as f64;
    let limit = bound * mean.max(work as f64);
    let mut fitting = ranked.clone();
    fitting
        .find(|id| (own(*id) + work) as f64 <= limit)
        .or_else(|| ranked.min_by_key(|id| own(*id)))
}

// The most of the chat's context among the live engines within the bound;
// the least loaded if there is none.
#[expect(clippy::cast_precision_loss, reason = "work is far under 2^52")]
fn oracle(engines: &Engines, pool: Pool, request: &Request, bound: f64) -> Option<EndpointId> {
    let members = &engines.pools[&pool];
    let live = || {
        let all = members.iter().map(|index| &engines.all[*index]);
        all.filter(|engine| engine.live)
    };
    let (count, sum) = live().fold((0_u64, 0), |(n, sum), e| (n + 1, sum + e.load));
    let mean = sum as f64 / count.max(1) as f64;
    let floor = f64::from(LARGEST);
    let limit = bound * mean.max(floor);
    let warm = engines.been.get(&request.chat).into_iter().flatten();
    warm.map(|index| &engines.all[*index])
        .filter(|engine| engine.live)
        .map(|engine| {
            (
                engine.cache.peek(request.chat).min(request.prompt_tokens),
                engine,
            )
        })
        .filter(|(hit, engine)| *hit > 0 && (engine.load + request.work(*hit)) as f64 <= limit)
        .max_by_key(|(hit, engine)| (*hit, engine.id))
        .map(|(_, engine)| engine)
        .or_else(|| live().min_by_key(|engine| engine.load))
        .map(|engine| engine.id)
}

/// A report of loads on its way.
#[derive(Clone, Debug)]
pub struct Sheet {
    /// When it was taken.
    pub taken: Moment,
    /// Load and requests of each engine.
    pub rows: Vec<(u64, u32)>,
}

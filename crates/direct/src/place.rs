//! Chooses the endpoint that a request is sent to.
//!
//! Two kinds of requests are placed differently:
//!
//! - A request whose prompt shares parts with others runs fastest where those parts were
//!   read before. Endpoints are ranked by rendezvous hashing on the last shared part, so
//!   all instances agree without communicating, and the first endpoint whose load is
//!   within a bound of the mean takes the request. A part in sudden demand thus spills to
//!   the second endpoint of its ranking, which then holds it too, and so on.
//! - Any other request goes to the endpoint with the least load, where each load is drawn
//!   from its estimated distribution, with a slight preference for the instance's own
//!   availability zone.
//!
//! Loads are this instance's estimates: its own requests are exact, those of other
//! instances come from the endpoint's last report.

mod least_loaded;

use std::time::Duration;

use godwitpost_decide::health::Access;
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;

use self::least_loaded::{least_loaded, standard_deviate};
use crate::dialect::Part;

/// The fraction of the way from the mean load to the allowed maximum up to which prompts
/// stay at their home, if all loads are known: for prompts that cost nothing to read
/// elsewhere, and for those that cost the most.
///
/// Loads are some hundred milliseconds old and other instances place requests at the same
/// time, so the target lies below the allowed maximum. Each prompt that spills is read or
/// fetched at its new endpoint. The cost of that grows with the length of the prompt
/// while the benefit doesn't, so short prompts spill first.
const TARGET_FRACTION: [f64; 2] = [0.3, 0.8];

/// Added to the bound, in requests, if all loads are known. With a mean load of one, a
/// multiple alone would send every second request of a chat away from its cached prompt.
const SLACK_REQUESTS: f64 = 3.0;

/// The fraction of both that remains if no loads are known, for the same two kinds of
/// prompts. In a fleet so large that an instance rarely hears from an endpoint, most
/// requests are placed without a known load, and the few that meet one have to compensate
/// for them.
const UNKNOWN_LOAD_FRACTION: [f64; 2] = [0.3, 0.6];

/// The fraction of all loads that has to be known for prompts to be placed by the most
/// likely loads.
const MIN_KNOWN_FRACTION: f64 = 0.5;

/// How long a request stays at an endpoint, in seconds: most streams take one to two.
const REQUEST_SECONDS: f64 = 1.5;

/// An endpoint is full at this multiple of its slots. Requests beyond the slots wait
/// there; a plain service holds about four times its slots and refuses more.
const FULL_AT_SLOTS: f64 = 3.0;

/// How many endpoints that follow in a prompt's ranking are compared with the first. All
/// instances compare the same ones, so the prompt is read at few endpoints.
const MAX_ALTERNATIVES: usize = 2;

/// The affinity of a request to the endpoints that hold its prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Affinity {
    /// The last shared part of the prompt, by which endpoints are ranked.
    pub part: u64,
    /// The cost per request of reading the prompt again elsewhere: 0 for none, 0.5 for a
    /// prompt of mean length that no other request shares, 1 for twice that length and
    /// more.
    pub cost: f64,
    /// The estimated number of requests for the part that all instances together have at
    /// endpoints, extrapolated from this instance's own.
    pub demand: f64,
}

impl Affinity {
    /// Returns the affinity of a prompt whose last shared part is `part`. The mean length
    /// is `mean_tokens`, this instance got `recent_requests` for the part within the last
    /// second or so, and the fleet is `fleet_factor` times as busy as this instance.
    ///
    /// An endpoint to which a part in demand spills reads it once for all requests that
    /// follow, so each of them bears only a share of the cost.
    #[must_use]
    pub fn new(part: Part, mean_tokens: f64, recent_requests: f64, fleet_factor: f64) -> Self {
        let length = f64::from(part.tokens) / (2.0 * mean_tokens.max(1.0));
        Self {
            part: part.id,
            cost: length.min(1.0) / (1.0 + recent_requests),
            demand: recent_requests * fleet_factor * REQUEST_SECONDS,
        }
    }

    // Returns the number of endpoints that the part is spread over.
    //
    // If all callers suddenly ask for the same thing, its home fills up within a second,
    // and instances know its load only with as much delay. Without spreading, all
    // instances then move on to the next endpoint in the ranking at once, which fills up
    // in turn.
    fn endpoint_count(&self, bound: f64) -> usize {
        let endpoints = (self.demand / bound.max(1.0)).ceil();
        // No service has more than a thousand endpoints to spread a part over.
        (1..1_000_u16)
            .find(|count| f64::from(*count) >= endpoints)
            .map_or(1_000, usize::from)
    }
}

/// An endpoint that a request may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// The estimated number of requests that it runs or queues.
    pub load: f64,
    /// The standard deviation of the estimated load.
    pub load_stddev: f64,
    /// This instance's own requests at the endpoint.
    pub own_requests: u32,
    /// The part of the load that is known from this instance's own requests and the endpoint's
    /// reports.
    pub known_load: f64,
    /// The fraction of the load that is known, 0 to 1.
    pub known_fraction: f64,
    /// The age of the last report, if there is one.
    pub report_age: Option<Duration>,
    /// Whether it was found to begin no responses since, so that its load isn't known.
    pub is_silent: bool,
    /// How many more requests than `load` it may have got, being used again after it was
    /// idle.
    pub filling: f64,
    /// How many requests it is expected to have got from other instances since its last report;
    /// infinite if there is none.
    pub arrivals: f64,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this instance's availability zone.
    pub same_zone: bool,
    /// Whether the network path to it is free of stalls.
    pub path_clear: bool,
    /// What it may be sent according to its observed health.
    pub access: Access,
    /// Whether it has room. Only an endpoint that crashes if it refuses too much lacks any.
    pub room: Room,
    /// Why this request can't be sent to it, if so.
    pub exclusion: Option<Exclusion>,
}

/// How long a request is expected to take at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// The time to its first event.
    pub first_event: Duration,
    /// The time for which reading its prompt keeps the endpoint from other work.
    pub added: Duration,
    /// Whether the endpoint's memory suffices for it and the requests there.
    pub fits: bool,
}

/// Whether an endpoint has room for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Room {
    /// It has, or nothing is at stake if it hasn't.
    #[default]
    Free,
    /// It may refuse the request, which it withstands.
    Unsure,
    /// It may refuse the request, and crash if it does.
    None,
}

/// Why a request can't be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The request has been sent to it already.
    Tried,
    /// The endpoint is warming up, and this instance's share of it is used up.
    NoShare,
}

/// The endpoints of a service that a request can't be sent to. They count towards the
/// mean: the allowed load is a multiple of the mean over all endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unavailable {
    /// The number of these endpoints.
    pub count: u32,
    /// How many of these are leaving.
    pub leaving: u32,
    /// The number of requests that they run or queue together.
    pub load: f64,
}

impl Unavailable {
    // Returns whether some are out that may be used again.
    const fn has_returning(self) -> bool {
        self.count > self.leaving
    }
}

/// What an instance believes of the load of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// The mean number of requests that an endpoint runs or queues.
    pub mean: f64,
    /// The fraction of the candidates' loads that is known, 0 to 1.
    pub known_fraction: f64,
}

impl ServiceLoad {
    /// Returns what is believed by the loads of candidates and unavailable endpoints.
    #[must_use]
    pub fn new(candidates: &[Candidate], unavailable: Unavailable) -> Self {
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let count = f64::from(count.max(1));
        let known: f64 = candidates.iter().map(|one| one.known_fraction).sum();
        let sum: f64 = candidates.iter().map(|one| one.load).sum();
        Self {
            mean: (sum + unavailable.load) / (count + f64::from(unavailable.count)),
            known_fraction: known / count,
        }
    }

    /// Returns the load that no endpoint should have, if `allowed` times the mean is
    /// allowed.
    #[must_use]
    pub fn limit(self, allowed: f64) -> f64 {
        self.mean * allowed + SLACK_REQUESTS
    }
}

/// The result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Send it to this endpoint.
    Send {
        /// The endpoint's id.
        endpoint: EndpointId,
        /// Why this endpoint was chosen.
        choice: Choice,
    },
    /// All usable endpoints are full.
    Full,
    /// All usable endpoints may be full, and some crash if they refuse more; try again
    /// shortly.
    NoRoom,
    /// All usable endpoints are warming up with no share left; try again shortly.
    Wait,
    /// There is no usable endpoint.
    None,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It is the first of the prompt's ranking.
    Home,
    /// It follows in the prompt's ranking; those before it are above the bound or can't
    /// be used.
    Spill,
    /// It is near the first of the prompt's ranking, and the request is expected to begin
    /// there earlier.
    Quicker,
    /// It has the least load.
    LeastLoaded,
    /// It has the least load of endpoints that may all refuse the request.
    Unsure,
}

impl Choice {
    /// Returns the choice's name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Spill => "spill",
            Self::Quicker => "quicker",
            Self::LeastLoaded => "lightest",
            Self::Unsure => "unsure",
        }
    }
}

impl Candidate {
    // Only known load makes an endpoint full. An instance that had just started in a
    // fleet of hundreds first heard of the endpoint in greatest demand. It assumed the
    // same load of all others and refused every request while most of them were idle.
    fn is_full(&self) -> bool {
        self.known_load >= f64::from(self.slots) * FULL_AT_SLOTS
    }

    // An endpoint on trial gets one request of each instance at a time. Other instances'
    // requests there don't count: they may never have marked it as down. When they
    // counted, an endpoint was never tried again on a busy fleet: after some seconds of
    // packet loss, instances stopped using some of their engines for good, and their
    // prompts were read again elsewhere.
    fn accepts_requests(&self) -> bool {
        match self.access {
            Access::Full => true,
            Access::Trial => self.own_requests == 0,
            Access::None => false,
        }
    }

    // Returns a load drawn from the estimated distribution, or the most likely load
    // without a draw.
    fn draw_load(&self, draw: Option<u64>) -> f64 {
        let deviation = draw.map_or(0.0, |draw| {
            standard_deviate(hash::score(draw, self.endpoint))
        });
        self.load + self.load_stddev * deviation
    }
}

/// Chooses an endpoint among `candidates` for a request, by its affinity if it has one.
/// No endpoint may have more than `allowed` times the mean load of the candidates and the
/// `unavailable` endpoints; `draw` breaks ties.
#[must_use]
pub fn pick(
    candidates: &[Candidate],
    unavailable: Unavailable,
    affinity: Option<Affinity>,
    allowed: f64,
    draw: u64,
) -> Pick {
    pick_by_time(candidates, unavailable, affinity, allowed, draw, |_| None)
}

/// Chooses an endpoint like [`pick`], and passes over the one that the prompt's ranking
/// names if the request is expected to begin earlier at one of the next, by more than the time
/// that it takes from other requests there. An endpoint whose memory suffices is preferred in
/// any case.
///
/// `outlook` returns what is expected at a candidate, if that is known.
#[must_use]
pub fn pick_by_time(
    candidates: &[Candidate],
    unavailable: Unavailable,
    affinity: Option<Affinity>,
    allowed: f64,
    draw: u64,
    outlook: impl Fn(&Candidate) -> Option<Outlook>,
) -> Pick {
    let untried: Vec<&Candidate> = candidates
        .iter()
        .filter(|one| one.exclusion != Some(Exclusion::Tried))
        .collect();
    if untried.is_empty() {
        return Pick::None;
    }
    let open: Vec<&Candidate> = untried
        .iter()
        .copied()
        .filter(|one| one.accepts_requests())
        .collect();
    // If every endpoint is marked as down, that is more likely a mistake than an attempt
    // is harmful.
    let open = if open.is_empty() { untried } else { open };
    let open: Vec<&Candidate> = open
        .into_iter()
        .filter(|one| one.exclusion.is_none())
        .collect();
    if open.is_empty() {
        return Pick::Wait;
    }
    let not_full = || open.iter().copied().filter(|one| !one.is_full());
    let free: Vec<&Candidate> = not_full().filter(|one| one.room == Room::Free).collect();
    if free.is_empty() {
        return pick_unsure(&not_full().collect::<Vec<_>>(), draw);
    }
    let by_rank = affinity.and_then(|affinity| {
        let bound = load_bound(candidates, unavailable, allowed, affinity.cost);
        // If some endpoints are out, the others are about as loaded as the bound
        // allows. Without drawing the load, all instances would move from one endpoint to
        // the next at the same time, when they learn a second late that it has passed the
        // bound. While most loads are unknown, as in the first seconds of a fleet, they
        // would all send a prompt in demand to its home, whose load they believe to be the
        // mean.
        let is_uncertain = unavailable.has_returning() || !are_loads_known(candidates);
        let load_draw = is_uncertain.then_some(draw);
        let within = |one: &&Candidate| one.draw_load(load_draw) + 1.0 <= bound;
        let within: Vec<&Candidate> = free.iter().copied().filter(within).collect();
        let clear: Vec<&Candidate> = within
            .iter()
            .copied()
            .filter(|one| one.path_clear)
            .collect();
        let choose = |among| ranked_and_quicker(among, affinity, bound, draw, &outlook);
        choose(answering(&clear))
            .or_else(|| choose(answering(&within)))
            .or_else(|| choose(clear))
            .or_else(|| choose(within))
    });
    if let (Some((one, quicker)), Some(affinity)) = (by_rank, affinity) {
        if let Some(quicker) = quicker {
            return send(quicker, Choice::Quicker);
        }
        let home = first_ranked(candidates.iter(), affinity.part).map(|home| home.endpoint);
        let choice = if home == Some(one.endpoint) {
            Choice::Home
        } else {
            Choice::Spill
        };
        return send(one, choice);
    }
    least_loaded(&free, draw).map_or(Pick::Full, |one| send(one, Choice::LeastLoaded))
}

// Chooses among endpoints none of which surely has room.
fn pick_unsure(candidates: &[&Candidate], draw: u64) -> Pick {
    if candidates.is_empty() {
        return Pick::Full;
    }
    let is_unsure = |one: &&&Candidate| one.room == Room::Unsure;
    let unsure: Vec<&Candidate> = candidates.iter().filter(is_unsure).copied().collect();
    least_loaded(&unsure, draw).map_or(Pick::NoRoom, |one| send(one, Choice::Unsure))
}

const fn send(one: &Candidate, choice: Choice) -> Pick {
    Pick::Send {
        endpoint: one.endpoint,
        choice,
    }
}

/// Returns the load up to which a prompt stays at the first endpoints of its ranking, if
/// reading it elsewhere costs `cost`.
#[must_use]
pub fn load_bound(
    candidates: &[Candidate],
    unavailable: Unavailable,
    allowed: f64,
    cost: f64,
) -> f64 {
    let interpolate = |[short, long]: [f64; 2]| short + (long - short) * cost;
    let (target, unknown) = (
        interpolate(TARGET_FRACTION),
        interpolate(UNKNOWN_LOAD_FRACTION),
    );
    let service = ServiceLoad::new(candidates, unavailable);
    let confidence = unknown + (1.0 - unknown) * service.known_fraction;
    let factor = 1.0 + (allowed - 1.0).max(0.0) * target * confidence;
    service.mean * factor + SLACK_REQUESTS * confidence
}

// Returns the endpoints that begin responses.
fn answering<'a>(candidates: &[&'a Candidate]) -> Vec<&'a Candidate> {
    let answering = candidates.iter().copied().filter(|one| !one.is_silent);
    answering.collect()
}

fn are_loads_known(candidates: &[Candidate]) -> bool {
    let unknown = |one: &Candidate| MIN_KNOWN_FRACTION - one.known_fraction;
    candidates.iter().map(unknown).sum::<f64>() <= 0.0
}

// Chooses by the prompt's ranking among endpoints within the bound.
fn ranked(
    mut within: Vec<&Candidate>,
    affinity: Affinity,
    bound: f64,
    draw: u64,
) -> Option<&Candidate> {
    let count = affinity.endpoint_count(bound);
    if count == 1 {
        return first_ranked(within.into_iter(), affinity.part);
    }
    let score = |one: &&Candidate| hash::score(affinity.part, one.endpoint);
    within.sort_by_key(|one| std::cmp::Reverse(score(one)));
    within.truncate(count);
    // Each request of each instance draws one of them anew.
    let one = draw.checked_rem(within.len() as u64)?;
    within.get(usize::try_from(one).unwrap_or(0)).copied()
}

// Chooses by the prompt's ranking, and names a quicker endpoint if there is one.
fn ranked_and_quicker(
    within: Vec<&Candidate>,
    affinity: Affinity,
    bound: f64,
    draw: u64,
    outlook: impl Fn(&Candidate) -> Option<Outlook>,
) -> Option<(&Candidate, Option<&Candidate>)> {
    let one = ranked(within.clone(), affinity, bound, draw)?;
    Some((one, quicker(within, one, affinity, outlook)))
}

// Returns the endpoint, of the first others in the prompt's ranking, at which the request begins
// earliest. It has to begin earlier than at `first` by more than the work that it adds, since
// reading or fetching its prompt there delays other requests; or its memory has to suffice where
// that of `first` doesn't.
fn quicker<'a>(
    mut within: Vec<&'a Candidate>,
    first: &Candidate,
    affinity: Affinity,
    outlook: impl Fn(&Candidate) -> Option<Outlook>,
) -> Option<&'a Candidate> {
    let at_first = outlook(first)?;
    within.retain(|one| one.endpoint != first.endpoint);
    let score = |one: &&Candidate| hash::score(affinity.part, one.endpoint);
    within.sort_by_key(|one| std::cmp::Reverse(score(one)));
    let next = within.into_iter().take(MAX_ALTERNATIVES);
    let known = next.filter_map(|one| Some((one, outlook(one)?)));
    let is_better = |other: &Outlook| match (at_first.fits, other.fits) {
        (true, false) => false,
        (false, true) => true,
        _ => other.first_event + other.added < at_first.first_event,
    };
    known
        .filter(|(_, other)| is_better(other))
        .min_by_key(|(_, other)| (!other.fits, other.first_event))
        .map(|(one, _)| one)
}

fn first_ranked<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    part: u64,
) -> Option<&'a Candidate> {
    candidates.max_by_key(|one| (hash::score(part, one.endpoint), one.endpoint))
}

#[cfg(test)]
mod tests;

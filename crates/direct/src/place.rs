//! Which endpoint a request is sent to.
//!
//! Two kinds of work are placed differently:
//!
//! - A request whose prompt shares parts with others does best where those
//!   were read before. Endpoints are ranked by rendezvous hashing on the last
//!   shared part, so all instances agree without a word, and the first whose
//!   load is within a bound of the mean takes it. A part in sudden demand thus
//!   spills to the second of its ranking, which then holds it too, and so on.
//! - Any other request goes to the endpoint that looks the least loaded, with each
//!   load drawn from what it may be and a slight preference for the own
//!   availability zone.
//!
//! Loads are what this instance knows: its own requests exactly, those of
//! others from the endpoint's last answer.

use godwitpost_decide::health::Access;
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;

use crate::dialect::Part;

/// The part of the way from the mean to the greatest load allowed that a
/// request may fill for its prompt's sake, with all loads known: for prompts
/// that cost nothing to read elsewhere, and for those that cost the most.
///
/// Loads are some hundred milliseconds old, and other instances place at the
/// same time, so what is aimed at lies below what must not be passed. Each
/// prompt that spills is read or fetched where it goes. What that costs goes by
/// the length of the prompt, and what it saves doesn't, so short ones go first.
const AIMED: [f64; 2] = [0.3, 0.8];

/// What is added to the bound, in requests, with all loads known: with a mean
/// of one, a multiple alone would send every second request of a chat away
/// from its context.
const SLACK: f64 = 3.0;

/// The part of both that is left with nothing known, for the same two. Where a
/// fleet is so large that an instance rarely hears from an endpoint, most requests
/// are placed blindly; the few that meet a known load have to make up for them.
const BLIND: [f64; 2] = [0.3, 0.6];

/// How long a request is at an endpoint, in seconds: most streams take one to
/// two.
const LASTS: f64 = 1.5;

/// What another availability zone counts, in parts of an endpoint's slots. The
/// way there and back takes some 2 ms of a request of 15 ms.
const FAR: f64 = 0.1;

/// What a way that holds answers up counts. A resend takes 200 ms, and one of
/// thirty packets needs one: as much as waiting for a round of 15 ms requests.
const HELD_UP: f64 = 1.0;

/// The number of values that half of a draw may have.
const HALF_SPAN: f64 = 4_294_967_296.0;

/// How much more than its slots an endpoint may hold before it is full. What
/// is beyond the slots waits there; a plain service holds about four times its
/// slots and refuses the rest.
const FULL: f64 = 3.0;

/// What a request's prompt shares with others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Affinity {
    /// The last part of it, which stands for all.
    pub part: u64,
    /// What reading it anew elsewhere costs each request: 0 for nothing, a half
    /// for the usual length with no other request to share it, 1 for twice that
    /// and more.
    pub cost: f64,
    /// Requests for the part that all instances together have at endpoints, as
    /// guessed from this instance's own.
    pub demand: f64,
}

impl Affinity {
    /// Returns the prefix that ends with a part, where `usual` tokens are usual,
    /// `lately` requests for it came here within the last second or so, and the
    /// fleet is `others` times as busy as this instance.
    ///
    /// An endpoint to which a part in demand spills reads it once for all that
    /// follow, so each of them bears a share of that.
    #[must_use]
    pub fn new(part: Part, usual: f64, lately: f64, others: f64) -> Self {
        let length = f64::from(part.tokens) / (2.0 * usual.max(1.0));
        Self {
            part: part.id,
            cost: length.min(1.0) / (1.0 + lately),
            demand: lately * others * LASTS,
        }
    }

    // How many endpoints the part is spread over.
    //
    // When all callers are suddenly about one thing, its home fills up within a
    // second, and what an instance last heard of it is as old. All instances then
    // leave it for the next in the ranking, which fills up in turn, unless it is
    // spread at once.
    fn spread(&self, bound: f64) -> usize {
        let endpoints = (self.demand / bound.max(1.0)).ceil();
        // A thousand is more than any service has that a part is spread over.
        (1..1_000_u16)
            .find(|count| f64::from(*count) >= endpoints)
            .map_or(1_000, usize::from)
    }
}

/// An endpoint that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its id.
    pub endpoint: EndpointId,
    /// Requests that it runs or holds, as believed.
    pub load: f64,
    /// How far that may be off, as a standard deviation.
    pub load_stddev: f64,
    /// This instance's own requests there.
    pub own_requests: u32,
    /// The part of the load that was seen there.
    pub observed_load: f64,
    /// How much of the load is known, 0 to 1.
    pub known_fraction: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this instance's availability zone.
    pub same_zone: bool,
    /// Whether nothing is held up on the way to it.
    pub path_clear: bool,
    /// What it may get by what was seen of it.
    pub access: Access,
    /// Why this request can't go there, if it can't.
    pub exclusion: Option<Exclusion>,
}

/// Why a request can't go to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// It has been sent there already.
    Tried,
    /// The endpoint is warming up, and this instance has no share of it left.
    NoShare,
}

/// A service's endpoints to which a request can't go at all. They take part in the
/// mean: what no endpoint may pass is a multiple of that of all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unavailable {
    /// How many there are.
    pub count: u32,
    /// Requests that they run or hold together.
    pub load: f64,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// To this endpoint.
    Send {
        /// Its id.
        endpoint: EndpointId,
        /// Why it.
        choice: Choice,
    },
    /// Nowhere: all that could take it are full.
    Full,
    /// Nowhere yet: all that could take it are warming up, with no share left.
    Wait,
    /// Nowhere: there is no endpoint left that could take it.
    None,
}

/// Why an endpoint was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It is the first of the prompt's ranking.
    Home,
    /// It follows in the prompt's ranking; those before it are above the bound
    /// or can't be used.
    Spill,
    /// It is the least loaded.
    Lightest,
}

impl Choice {
    /// Returns its name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Spill => "spill",
            Self::Lightest => "lightest",
        }
    }
}

impl Candidate {
    // Only what was seen makes an endpoint full. An instance that has just
    // started in a fleet of hundreds first hears of the endpoint that is in
    // greatest demand; with all others taken to be like it, it refused every
    // request while most were idle.
    fn full(&self) -> bool {
        self.observed_load >= f64::from(self.slots) * FULL
    }

    // An endpoint on trial gets one request of each instance at a time. What others
    // have there says nothing against it: they may never have held it to be down.
    // Counted all the same, it was never tried again on a busy fleet: after some
    // seconds of lost packets instances went without some of their engines for
    // good, and their prompts were read again elsewhere.
    fn open(&self) -> bool {
        match self.access {
            Access::Full => true,
            Access::Trial => self.own_requests == 0,
            Access::None => false,
        }
    }

    // The load that it may have, by a draw; the one that is most likely without.
    fn likely(&self, draw: Option<u64>) -> f64 {
        let off = draw.map_or(0.0, |draw| deviate(hash::score(draw, self.endpoint)));
        self.load + self.load_stddev * off
    }

    // What it counts beside others, for a request with this draw.
    //
    // Hundreds of instances are told the same loads, a second old. If all sent to the
    // one that was the least then, it would hold several times the mean while others
    // idle, and orders would wait there. Each draws what the load may be instead, so
    // that they send to an endpoint as often as it may be the least loaded.
    fn relative(&self, draw: u64) -> f64 {
        let far = if self.same_zone { 0.0 } else { FAR };
        let held_up = if self.path_clear { 0.0 } else { HELD_UP };
        self.likely(Some(draw)) / f64::from(self.slots.max(1)) + far + held_up
    }
}

/// Picks an endpoint among `candidates` for a prompt with this shared prefix, or
/// for a request without one. No endpoint may have more than `allowed` times
/// the mean load of the candidates and the `rest`; `draw` decides between equals.
#[must_use]
pub fn pick(
    candidates: &[Candidate],
    rest: Unavailable,
    prefix: Option<Affinity>,
    allowed: f64,
    draw: u64,
) -> Pick {
    let untried: Vec<&Candidate> = candidates
        .iter()
        .filter(|one| one.exclusion != Some(Exclusion::Tried))
        .collect();
    if untried.is_empty() {
        return Pick::None;
    }
    let open: Vec<&Candidate> = untried.iter().copied().filter(|one| one.open()).collect();
    // With every endpoint held to be down, that belief is more likely wrong
    // than a try is harmful.
    let open = if open.is_empty() { untried } else { open };
    let open: Vec<&Candidate> = open
        .into_iter()
        .filter(|one| one.exclusion.is_none())
        .collect();
    if open.is_empty() {
        return Pick::Wait;
    }
    let room: Vec<&Candidate> = open.into_iter().filter(|one| !one.full()).collect();
    let within = prefix.and_then(|prefix| {
        let bound = load_bound(candidates, rest, allowed, prefix.cost);
        // Where a part of the service takes nothing, the others are about as loaded as the
        // bound allows, and all instances would leave one of them for the next together
        // when they hear, a second late, that it has passed the bound.
        let drawn = (rest.count > 0).then_some(draw);
        let within = |one: &&Candidate| one.likely(drawn) + 1.0 <= bound;
        let within: Vec<&Candidate> = room.iter().copied().filter(within).collect();
        let clear: Vec<&Candidate> = within
            .iter()
            .copied()
            .filter(|one| one.path_clear)
            .collect();
        ranked(clear, prefix, bound, draw).or_else(|| ranked(within, prefix, bound, draw))
    });
    if let (Some(one), Some(prefix)) = (within, prefix) {
        let home = highest(candidates.iter(), prefix.part).map(|home| home.endpoint);
        let choice = if home == Some(one.endpoint) {
            Choice::Home
        } else {
            Choice::Spill
        };
        return send(one, choice);
    }
    lightest(&room, draw).map_or(Pick::Full, |one| send(one, Choice::Lightest))
}

const fn send(one: &Candidate, choice: Choice) -> Pick {
    Pick::Send {
        endpoint: one.endpoint,
        choice,
    }
}

/// Returns the load up to which a prompt stays at its first endpoints, if its
/// prefix costs this to read elsewhere.
#[must_use]
pub fn load_bound(candidates: &[Candidate], rest: Unavailable, allowed: f64, cost: f64) -> f64 {
    let between = |[short, long]: [f64; 2]| short + (long - short) * cost;
    let (aimed, blind) = (between(AIMED), between(BLIND));
    let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    let count = f64::from(count.max(1));
    let known: f64 = candidates.iter().map(|one| one.known_fraction).sum();
    let sight = blind + (1.0 - blind) * known / count;
    let most = 1.0 + (allowed - 1.0).max(0.0) * aimed * sight;
    let sum: f64 = candidates.iter().map(|one| one.load).sum();
    let mean = (sum + rest.load) / (count + f64::from(rest.count));
    mean * most + SLACK * sight
}

// Picks by the prompt's ranking among endpoints that are within the bound.
fn ranked(
    mut within: Vec<&Candidate>,
    prefix: Affinity,
    bound: f64,
    draw: u64,
) -> Option<&Candidate> {
    let spread = prefix.spread(bound);
    if spread == 1 {
        return highest(within.into_iter(), prefix.part);
    }
    let score = |one: &&Candidate| hash::score(prefix.part, one.endpoint);
    within.sort_by_key(|one| std::cmp::Reverse(score(one)));
    within.truncate(spread);
    // Any of them; each instance and each request draws anew.
    let one = draw.checked_rem(within.len() as u64)?;
    within.get(usize::try_from(one).unwrap_or(0)).copied()
}

fn highest<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    part: u64,
) -> Option<&'a Candidate> {
    candidates.max_by_key(|one| (hash::score(part, one.endpoint), one.endpoint))
}

// A random number of mean 0 and standard deviation 1: the sum of two that are
// uniform, in place of a normal one.
fn deviate(bits: u64) -> f64 {
    const HALF: u64 = 0xffff_ffff;
    let uniform = |bits: u64| f64::from(u32::try_from(bits & HALF).unwrap_or(0)) / HALF_SPAN;
    (uniform(bits) + uniform(bits >> 32) - 1.0) * 6.0_f64.sqrt()
}

fn lightest<'a>(room: &[&'a Candidate], draw: u64) -> Option<&'a Candidate> {
    let lighter = |a: &&&Candidate, b: &&&Candidate| {
        let key = |one: &Candidate| hash::score(draw, one.endpoint);
        a.relative(draw)
            .total_cmp(&b.relative(draw))
            .then_with(|| key(a).cmp(&key(b)))
    };
    room.iter().min_by(lighter).copied()
}

#[cfg(test)]
mod tests;

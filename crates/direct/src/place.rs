//! Which endpoint a request is sent to.
//!
//! Two kinds of work are placed differently:
//!
//! - A request whose prompt shares parts with others does best where those
//!   were read before. Endpoints are ranked by rendezvous hashing on the last
//!   shared part, so all instances agree without a word, and the first whose
//!   load is within a bound of the mean takes it. A part in sudden demand thus
//!   spills to the second of its ranking, which then holds it too, and so on.
//! - Any other request goes to the least loaded endpoint, with a slight
//!   preference for the own availability zone.
//!
//! Loads are what this instance knows: its own requests exactly, those of
//! others from the endpoint's last answer.

use godwitpost_decide::health::Access;
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;

/// The greatest load that an endpoint may have, as a multiple of the mean, for
/// a request to be placed there for its prompt's sake.
///
/// Loads are some hundred milliseconds old, and other instances place at the
/// same time; what is aimed at has to lie well below the multiple of 2 that
/// must not be passed.
const BOUND: f64 = 1.3;

/// What is added to the bound: with a mean of one request, a multiple alone
/// would send every second request of a chat away from its context.
const SLACK: f64 = 2.0;

/// What another availability zone counts, in parts of an endpoint's slots. The
/// way there and back takes some 2 ms of a request of 15 ms.
const FAR: f64 = 0.1;

/// How much more than its slots an endpoint may hold before it is full. What
/// is beyond the slots waits there; a plain service holds about four times its
/// slots and refuses the rest.
const FULL: f64 = 3.0;

/// An endpoint that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its id.
    pub endpoint: EndpointId,
    /// Requests that it runs or holds, as far as known.
    pub load: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this instance's availability zone.
    pub near: bool,
    /// What it may get by what was seen of it.
    pub access: Access,
    /// Whether this request has been sent there already.
    pub tried: bool,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// To this endpoint.
    Send(EndpointId),
    /// Nowhere: all that could take it are full.
    Full,
    /// Nowhere: there is no endpoint left that could take it.
    None,
}

impl Candidate {
    fn full(&self) -> bool {
        self.load >= f64::from(self.slots) * FULL
    }

    // An endpoint on trial gets one request of each instance at a time.
    fn open(&self) -> bool {
        match self.access {
            Access::Full => true,
            Access::Trial => self.load < 1.0,
            Access::None => false,
        }
    }

    fn relative(&self) -> f64 {
        let far = if self.near { 0.0 } else { FAR };
        self.load / f64::from(self.slots.max(1)) + far
    }
}

/// Picks an endpoint among `candidates` for a prompt with this shared part, or
/// for a request without one; `draw` decides between equals.
#[must_use]
pub fn pick(candidates: &[Candidate], part: Option<u64>, draw: u64) -> Pick {
    let untried: Vec<&Candidate> = candidates.iter().filter(|one| !one.tried).collect();
    if untried.is_empty() {
        return Pick::None;
    }
    let open: Vec<&Candidate> = untried.iter().copied().filter(|one| one.open()).collect();
    // With every endpoint held to be down, that belief is more likely wrong
    // than a try is harmful.
    let open = if open.is_empty() { untried } else { open };
    let room: Vec<&Candidate> = open.into_iter().filter(|one| !one.full()).collect();
    let chosen = match part {
        Some(part) => ranked(&room, part, bound(candidates)),
        None => lightest(&room, draw),
    };
    chosen.map_or(Pick::Full, |one| Pick::Send(one.endpoint))
}

/// Returns the load up to which a prompt stays at its first endpoints.
#[must_use]
pub fn bound(candidates: &[Candidate]) -> f64 {
    let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    let sum: f64 = candidates.iter().map(|one| one.load).sum();
    sum / f64::from(count.max(1)) * BOUND + SLACK
}

fn ranked<'a>(room: &[&'a Candidate], part: u64, bound: f64) -> Option<&'a Candidate> {
    let first = room
        .iter()
        .filter(|one| one.load + 1.0 <= bound)
        .max_by_key(|one| (hash::score(part, one.endpoint), one.endpoint));
    first.copied().or_else(|| lightest(room, part))
}

fn lightest<'a>(room: &[&'a Candidate], draw: u64) -> Option<&'a Candidate> {
    let lighter = |a: &&&Candidate, b: &&&Candidate| {
        let key = |one: &Candidate| hash::score(draw, one.endpoint);
        a.relative()
            .total_cmp(&b.relative())
            .then_with(|| key(a).cmp(&key(b)))
    };
    room.iter().min_by(lighter).copied()
}

#[cfg(test)]
mod tests;

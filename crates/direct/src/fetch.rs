//! Where an endpoint fetches what it lacks of a request's prompt.
//!
//! Shared prompts are read again wherever a request goes for the first time:
//! when its home is above the load bound, when endpoints join, leave or crash,
//! and when a part in demand is spread. Reading takes an engine some 16 ms for
//! 1,000 tokens, in which all its other streams wait; fetching the same from an
//! endpoint that holds them takes a tenth of that.
//!
//! A source is a hint. If it holds nothing, is dark or gone, the endpoint reads
//! the prompt as without one.

use godwitpost_types::clock::Moment;
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;

use crate::dialect::Prefix;
use crate::holders::Directory;

/// What a prompt shares with others.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The part by which endpoints are ranked for it.
    pub part: u64,
    /// Its beginnings, the shortest first.
    pub prefixes: &'a [Prefix],
}

/// Endpoints that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct SourceCandidates<'a> {
    /// All of them.
    pub all: &'a [EndpointId],
    /// Those that have been there for a while. Nobody else can hold what it wasn't
    /// seen to hold: an endpoint that is warming up is the first of many prompts'
    /// ranking and gets few of them.
    pub warm: &'a [EndpointId],
}

/// Where an endpoint fetches from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// From nowhere: it is believed to hold the whole, and a source that is named all
    /// the same delays the first event.
    AlreadyHeld,
    /// From this endpoint.
    From {
        /// Its id.
        endpoint: EndpointId,
        /// Why it.
        basis: Basis,
    },
    /// From nowhere: nobody else can be asked.
    Nobody,
}

/// Why an endpoint is believed to hold what another one lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// It was seen to use this much of the prompt.
    Known {
        /// The tokens.
        tokens: u32,
    },
    /// It is the first of the prompt's ranking beside the one that fetches.
    Ranked,
}

/// Picks where `target` fetches a prompt from, among `others`. `draw` decides between
/// equals.
///
/// The ranking tells more than it seems to: whatever spilled comes from the
/// first of it, and what a new endpoint is home to now had the second as its
/// home until then. Where it can't help is a prompt that nobody has read yet:
/// that goes to its home, and of its beginning a holder may be known.
#[must_use]
pub fn select_source(
    directory: &Directory,
    prompt: Prompt<'_>,
    target: EndpointId,
    others: SourceCandidates<'_>,
    draw: u64,
    now: Moment,
) -> Selection {
    let Some(whole) = prompt.prefixes.last() else {
        return Selection::Nobody;
    };
    if directory.holds(whole.id, target, now) {
        return Selection::AlreadyHeld;
    }
    let rank = |endpoint: EndpointId| (hash::score(prompt.part, endpoint), endpoint);
    let first = others.warm.iter().copied().max_by_key(|other| rank(*other));
    let home = first.is_none_or(|first| rank(target) > rank(first));
    let usable = |endpoint| others.all.contains(&endpoint);
    let known = directory
        .source(prompt.prefixes, usable, draw, now)
        .filter(|source| home || source.tokens >= whole.tokens);
    if let Some(source) = known {
        let basis = Basis::Known {
            tokens: source.tokens,
        };
        return Selection::From {
            endpoint: source.endpoint,
            basis,
        };
    }
    first.map_or(Selection::Nobody, |endpoint| Selection::From {
        endpoint,
        basis: Basis::Ranked,
    })
}

impl Selection {
    /// Returns its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AlreadyHeld => "held",
            Self::From {
                basis: Basis::Known { .. },
                ..
            } => "known",
            Self::From {
                basis: Basis::Ranked,
                ..
            } => "ranked",
            Self::Nobody => "nobody",
        }
    }
}

#[cfg(test)]
mod tests;

//! Selects the endpoint from which another one fetches missing parts of a prompt.
//!
//! Shared prompts are read again wherever a request goes for the first time: when its
//! home is above the load bound, when endpoints join, leave or crash, and when a part in
//! demand is spread. Reading 1,000 tokens takes an engine about 16 ms, in which all its
//! other streams wait; fetching them from an endpoint that holds them takes a tenth of
//! that.
//!
//! A source is a hint. If it is down or no longer holds the prompt, the endpoint reads
//! the prompt as without a source.

use godwitpost_types::clock::Moment;
use godwitpost_types::hash;
use godwitpost_types::id::EndpointId;

use crate::dialect::Prefix;
use crate::holders::Directory;

/// The shared part of a request's prompt.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The part by which endpoints are ranked for it.
    pub part: u64,
    /// Its prefixes, the shortest first.
    pub prefixes: &'a [Prefix],
}

/// Endpoints that may be a source.
#[derive(Clone, Copy, Debug)]
pub struct SourceCandidates<'a> {
    /// All of them.
    pub all: &'a [EndpointId],
    /// Those that have finished warming up. Only these can hold a prompt without being
    /// known to: an endpoint that is warming up ranks first for many prompts but gets few
    /// of them.
    pub warm: &'a [EndpointId],
}

/// The selected source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// No source: the endpoint is believed to hold the whole prompt, and naming a source
    /// anyway delays the first event.
    AlreadyHeld,
    /// Fetch from this endpoint.
    From {
        /// The endpoint's id.
        endpoint: EndpointId,
        /// Why this endpoint was selected.
        basis: Basis,
    },
    /// No source: there is no other endpoint.
    Nobody,
}

/// Why an endpoint is believed to hold the missing parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// It is known to have used this much of the prompt.
    Known {
        /// The length in tokens.
        tokens: u32,
    },
    /// It ranks first for the prompt among the other endpoints.
    Ranked,
}

/// Selects the source from which `target` fetches a prompt. `draw` breaks ties.
///
/// The ranking is a good predictor: a request that spilled comes from the first endpoint
/// of the ranking, and the previous home of a prompt whose home is new ranks second. It
/// doesn't help with a prompt that nobody has read yet. Such a prompt goes to its home,
/// and a holder of its shorter prefix may be known.
#[must_use]
pub fn select_source(
    directory: &Directory,
    prompt: Prompt<'_>,
    target: EndpointId,
    candidates: SourceCandidates<'_>,
    draw: u64,
    now: Moment,
) -> Selection {
    let Some(full_prefix) = prompt.prefixes.last() else {
        return Selection::Nobody;
    };
    if directory.holds(full_prefix.id, target, now) {
        return Selection::AlreadyHeld;
    }
    let rank = |endpoint: EndpointId| (hash::score(prompt.part, endpoint), endpoint);
    let first_ranked = candidates
        .warm
        .iter()
        .copied()
        .max_by_key(|other| rank(*other));
    let target_is_home = first_ranked.is_none_or(|first_ranked| rank(target) > rank(first_ranked));
    let usable = |endpoint| candidates.all.contains(&endpoint);
    let known = directory
        .source(prompt.prefixes, usable, draw, now)
        .filter(|source| target_is_home || source.tokens >= full_prefix.tokens);
    if let Some(source) = known {
        let basis = Basis::Known {
            tokens: source.tokens,
        };
        return Selection::From {
            endpoint: source.endpoint,
            basis,
        };
    }
    first_ranked.map_or(Selection::Nobody, |endpoint| Selection::From {
        endpoint,
        basis: Basis::Ranked,
    })
}

impl Selection {
    /// Returns the selection's name in logs and metrics.
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

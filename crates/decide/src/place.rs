//! Placement: the order in which endpoints are tried for a chat.
//!
//! Placement uses weighted rendezvous hashing. All endpoints of one zone have
//! the same weight, and the weighted score grows with the unweighted one. The
//! best endpoint of a zone is therefore found by the unweighted integer score,
//! and only one logarithm per zone is computed. The order is exactly that of
//! weighted rendezvous hashing at the cost of the unweighted form. It is
//! computed lazily because most requests need only its first endpoint.

use godwitpost_types::hash;
use godwitpost_types::id::{ChatId, EndpointId, RegionId, ZoneId};

/// The endpoints of one pool in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// The zone of the endpoints.
    pub zone: ZoneId,
    /// The region of the zone.
    pub region: RegionId,
    /// The ids of the endpoints.
    pub members: Vec<EndpointId>,
}

/// The endpoints of a pool in the order of one chat, best first.
#[derive(Clone, Debug)]
pub struct Ranked<'a> {
    chat: ChatId,
    local_region: RegionId,
    weights: Weights,
    groups: &'a [Group],
    candidates: Vec<Option<Candidate>>,
    started: bool,
    last_returned: Option<(usize, (u64, EndpointId))>,
}

/// The weights of zones in the order of a chat.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// The preferred zone, if any.
    pub preferred_zone: Option<ZoneId>,
    /// The weight of the preferred zone; every other zone has weight 1.
    pub preferred_weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    in_local_region: bool,
    weighted_score: f64,
    score: (u64, EndpointId),
}

impl<'a> Ranked<'a> {
    /// Returns the order of `chat` over `groups`; groups in `local_region`
    /// come first.
    #[must_use]
    pub fn new(
        groups: &'a [Group],
        chat: ChatId,
        local_region: RegionId,
        weights: Weights,
    ) -> Self {
        Self {
            chat,
            local_region,
            weights,
            groups,
            candidates: Vec::new(),
            started: false,
            last_returned: None,
        }
    }

    fn init_candidates(&mut self) {
        self.started = true;
        self.candidates = (0..self.groups.len())
            .map(|index| self.best_candidate(index, None))
            .collect();
    }

    // Returns the best member of a group whose score is below `below`.
    fn best_candidate(&self, index: usize, below: Option<(u64, EndpointId)>) -> Option<Candidate> {
        let group = &self.groups[index];
        let limit = below.unwrap_or((u64::MAX, EndpointId::MAX));
        let score = best_below(self.chat, &group.members, limit)?;
        let preferred = self.weights.preferred_zone == Some(group.zone);
        let weight = if preferred {
            self.weights.preferred_weight
        } else {
            1.0
        };
        Some(Candidate {
            in_local_region: group.region == self.local_region,
            weighted_score: hash::weighted(self.chat, score.1, weight),
            score,
        })
    }
}

impl Iterator for Ranked<'_> {
    type Item = EndpointId;

    fn next(&mut self) -> Option<EndpointId> {
        if !self.started {
            self.init_candidates();
        }
        if let Some((index, score)) = self.last_returned.take() {
            self.candidates[index] = self.best_candidate(index, Some(score));
        }
        let (index, candidate) = self
            .candidates
            .iter()
            .enumerate()
            .filter_map(|(index, candidate)| candidate.map(|candidate| (index, candidate)))
            .max_by(|(_, a), (_, b)| {
                (a.in_local_region.cmp(&b.in_local_region))
                    .then(a.weighted_score.total_cmp(&b.weighted_score))
                    .then(a.score.cmp(&b.score))
            })?;
        self.last_returned = Some((index, candidate.score));
        Some(candidate.score.1)
    }
}

// Placement spends most of its time in this loop: two multiplications for each
// member and a comparison that seldom succeeds.
fn best_below(
    chat: ChatId,
    members: &[EndpointId],
    below: (u64, EndpointId),
) -> Option<(u64, EndpointId)> {
    let mut best = (0, 0);
    for &id in members {
        let score = hash::score(chat, id);
        if score >= best.0 && (score, id) < below && (score, id) > best {
            best = (score, id);
        }
    }
    (best != (0, 0)).then_some(best)
}

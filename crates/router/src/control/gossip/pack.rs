//! Packs quarantine evidence into gossip's fixed size, five fields in 48 bytes,
//! and demands with integer rates.

use std::time::Duration;

use godwitpost_decide::limit::Demand;
use godwitpost_decide::quarantine::{Evidence, Kind};
use godwitpost_state::gossip;

const CRASHED: u64 = 0;
const CLEAN: u64 = 1;
const SURVIVED: u64 = 2;

/// Bytes of a digest; fields of eight bytes each follow it.
const DIGEST_BYTES: usize = 16;

/// Packed rates are in units of 1/1000 requests per second.
const RATE_SCALE: f32 = 1000.0;

/// Packs a piece of evidence.
pub(super) fn pack_evidence(evidence: &Evidence) -> gossip::Evidence {
    let kind = match evidence.kind {
        Kind::Crashed => CRASHED,
        Kind::Clean => CLEAN,
        Kind::Survived => SURVIVED,
    };
    let millis = u64::try_from(evidence.at.as_millis()).unwrap_or(u64::MAX);
    let mut packed = [0; gossip::EVIDENCE_BYTES];
    packed[..DIGEST_BYTES].copy_from_slice(&evidence.digest);
    let fields = [evidence.endpoint, evidence.incarnation, kind, millis];
    for (chunk, field) in packed[DIGEST_BYTES..].chunks_exact_mut(8).zip(fields) {
        chunk.copy_from_slice(&field.to_le_bytes());
    }
    packed
}

/// Unpacks a piece of evidence.
pub(super) fn unpack_evidence(packed: &gossip::Evidence) -> Evidence {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&packed[..DIGEST_BYTES]);
    let field = |index: usize| {
        let start = DIGEST_BYTES + 8 * index;
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&packed[start..start + 8]);
        u64::from_le_bytes(bytes)
    };
    Evidence {
        digest,
        endpoint: field(0),
        incarnation: field(1),
        kind: match field(2) {
            CLEAN => Kind::Clean,
            SURVIVED => Kind::Survived,
            _ => Kind::Crashed,
        },
        at: Duration::from_millis(field(3)),
    }
}

/// Packs a workspace's demand.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is never negative, and the cast saturates"
)]
pub(super) fn pack_demand(demand: &Demand) -> gossip::Demand {
    gossip::Demand {
        workspace: demand.workspace,
        rate: (demand.rate * RATE_SCALE) as u32,
        running: demand.running,
    }
}

/// Unpacks a workspace's demand.
#[expect(
    clippy::cast_precision_loss,
    reason = "a rate needs no more than 24 bits"
)]
pub(super) fn unpack_demand(packed: &gossip::Demand) -> Demand {
    Demand {
        workspace: packed.workspace,
        rate: packed.rate as f32 / RATE_SCALE,
        running: packed.running,
    }
}

#[cfg(test)]
mod tests;

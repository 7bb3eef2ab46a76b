//! Counts what control traffic costs on the wire, and claims apart from it.
//!
//! Each kind has a connector of its own, which counts the bytes that pass its
//! sockets with an estimate of packet headers. What peers send on their own
//! connections is counted by their connectors there; the half of it that
//! passes here is counted by message in `gossip.rs`.
//!
//! Claims are part of serving unrepeatable requests and grow with them, so
//! they have a counter of their own and no part in the control budget.

use super::Control;
use godwitpost_process::metrics::Traffic;

/// Bytes counted so far.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Costs {
    peers: u64,
    probes: u64,
    platform: u64,
    claims: u64,
}

impl Control {
    /// Moves the counters on by what passed since the last call.
    pub(super) fn count(&mut self) {
        let now = Costs {
            peers: self.io.peers.wire_bytes() + self.shared.side.wire_bytes(),
            probes: self.io.probes.wire_bytes(),
            platform: self.io.platform.wire_bytes(),
            claims: self.io.claiming.wire_bytes() + self.shared.claiming.wire_bytes(),
        };
        let metrics = &self.shared.metrics;
        metrics.control(Traffic::Peers, now.peers - self.costs.peers);
        metrics.control(Traffic::Probes, now.probes - self.costs.probes);
        metrics.control(Traffic::Platform, now.platform - self.costs.platform);
        metrics.claim_bytes(now.claims - self.costs.claims);
        self.costs = now;
    }
}

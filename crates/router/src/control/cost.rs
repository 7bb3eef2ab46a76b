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
pub(super) struct ByteCounts {
    peers: u64,
    probes: u64,
    platform: u64,
    claims: u64,
}

impl Control {
    /// Moves the counters on by what passed since the last call.
    pub(super) fn count_traffic(&mut self) {
        let now = ByteCounts {
            peers: self.io.peers.wire_bytes() + self.shared.control_connector.wire_bytes(),
            probes: self.io.probes.wire_bytes(),
            platform: self.io.platform.wire_bytes(),
            claims: self.io.claim_connector.wire_bytes()
                + self.shared.claims_connector.wire_bytes(),
        };
        let metrics = &self.shared.metrics;
        metrics.control(Traffic::Peers, now.peers - self.byte_counts.peers);
        metrics.control(Traffic::Probes, now.probes - self.byte_counts.probes);
        metrics.control(Traffic::Platform, now.platform - self.byte_counts.platform);
        metrics.claim_bytes(now.claims - self.byte_counts.claims);
        self.byte_counts = now;
    }
}

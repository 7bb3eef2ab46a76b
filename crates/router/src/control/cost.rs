//! Counts the bytes of control traffic, and those of claims separately.
//!
//! Each kind of traffic has its own connector, which counts the bytes on its
//! sockets and adds an estimate of packet headers. Connections that peers open
//! are counted by the peers' connectors; the bytes of their gossip at this
//! instance are counted per message in `gossip.rs`.
//!
//! Claims are part of serving unrepeatable requests and grow with their number,
//! so they are counted separately and are not part of the control budget.

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
    /// Adds the bytes since the last call to the metrics.
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

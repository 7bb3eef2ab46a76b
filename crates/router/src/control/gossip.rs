//! Exchanges the messages of `godwitpost_state::gossip` with peers.

mod pack;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::Connector;
use godwitpost_decide::limit;
use godwitpost_decide::load::Summary;
use godwitpost_decide::owner::Owner;
use godwitpost_decide::quarantine::Evidence;
use godwitpost_decide::view::Pool;
use godwitpost_state::gossip::{Demand, Load, Message, PeerUpdate};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{InstanceId, NO_MODEL};
use godwitpost_types::instance::Instance;
use http::{Method, StatusCode};

use super::{Control, Event};
use crate::body;
use crate::relay::peer;
use crate::shared::Shared;
use godwitpost_process::metrics::Traffic;

/// Path for gossip messages.
pub(crate) const PATH: &str = "/peer/v1/gossip";

/// Limit on the size of a received message; the pump sends about 1,000 bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 << 10;

/// Timeout of a response. Shorter than the pump's period, so that a silent peer
/// is suspected before its next turn.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// The result of one exchange.
enum Exchange {
    Answered(Message, usize),
    /// The peer is reachable, but its budget does not allow a response, or the
    /// response could not be decoded.
    Deferred,
    Unreachable,
}

impl Control {
    /// Sends the messages that are due.
    pub(super) fn send_gossip(&mut self, now: Moment) {
        for evidence in self.shared.owner.with(Owner::take_evidence) {
            self.pump.queue_evidence(pack::pack_evidence(&evidence));
        }
        let peers = self.pump.tick(now, &self.roster, &mut self.rng);
        for peer in peers {
            let known = self.roster.others().find(|(i, _)| i.id == peer);
            let Some(instance) = known.map(|(instance, _)| instance.clone()) else {
                continue;
            };
            let bytes = self.build_message(now, peer);
            let (shared, io) = (Arc::clone(&self.shared), self.io.clone());
            tokio::spawn(async move {
                let response = match exchange(&shared, &io.peers, &instance, bytes).await {
                    Exchange::Answered(message, bytes) => Some((message, bytes)),
                    Exchange::Deferred => return,
                    Exchange::Unreachable => None,
                };
                drop(io.events.send(Event::GossipResponse(peer, response)).await);
            });
        }
    }

    /// Applies a peer's message and returns the response, or `None` if the budget
    /// is exhausted.
    pub(super) fn handle_gossip_request(
        &mut self,
        now: Moment,
        message: &Message,
        bytes: usize,
    ) -> Option<Bytes> {
        let (roster, endpoints) = (&mut self.roster, &mut self.endpoints);
        let update = self
            .pump
            .apply_request(now, bytes, message, roster, endpoints)?;
        self.apply_peer_update(now, message.from.id, &update);
        let response = self.build_message(now, message.from.id);
        let cost = (bytes + response.len()) as u64 + 2 * super::GOSSIP_OVERHEAD_BYTES;
        self.shared.metrics.control(Traffic::Peers, cost);
        Some(response)
    }

    /// Applies a peer's response, or records that the peer is unreachable.
    pub(super) fn handle_gossip_response(
        &mut self,
        now: Moment,
        peer: InstanceId,
        response: Option<(Message, usize)>,
    ) {
        let Some((message, bytes)) = response else {
            self.roster.record_unreachable(now, peer);
            return;
        };
        let (roster, endpoints) = (&mut self.roster, &mut self.endpoints);
        let update = self
            .pump
            .apply_response(now, bytes, &message, roster, endpoints);
        self.apply_peer_update(now, peer, &update);
    }

    fn build_message(&mut self, now: Moment, to: InstanceId) -> Bytes {
        let summaries = self.shared.owner.with(|owner| owner.summaries(now));
        let loads: Vec<Load> = summaries.iter().map(to_load).collect();
        let demands = self.current_demands(now);
        self.pump.set_demands(demands);
        let bytes = self.pump.build_message(to, &self.roster, &loads).encode();
        self.pump.settle_sent(bytes.len());
        Bytes::from(bytes)
    }

    // Empty without a bundle, because no requests are admitted then.
    fn current_demands(&self, now: Moment) -> Vec<Demand> {
        let snapshot = self.shared.snapshot();
        let Some(bundle) = snapshot.bundle.as_ref() else {
            return Vec::new();
        };
        let instances = snapshot.view.instances().count();
        let workspaces = &bundle.policy.workspaces;
        let limits = &mut self.shared.entry_state().limits;
        let demands = limits.demands(now, workspaces, instances);
        demands.iter().map(pack::pack_demand).collect()
    }

    fn apply_peer_update(&mut self, now: Moment, peer: InstanceId, update: &PeerUpdate) {
        if let Some(demands) = &update.demands {
            let demands: Vec<limit::Demand> = demands.iter().map(pack::unpack_demand).collect();
            self.shared
                .entry_state()
                .limits
                .record_demands(now, peer, &demands);
        }
        if let Some(version) = update.version {
            self.fetch_newer_bundle(peer, version);
        }
        let loads = update.loads.iter();
        let summaries: Vec<Summary> = loads
            .filter_map(|load| self.to_summary(peer, load))
            .collect();
        let evidence: Vec<Evidence> = update.evidence.iter().map(pack::unpack_evidence).collect();
        self.shared.owner.with(|owner| {
            owner.record_summaries(&summaries);
            owner.record_evidence(&evidence);
        });
    }

    // Gossip identifies a pool by one number. The pool itself is found among those
    // of the known endpoints.
    fn to_summary(&self, source: InstanceId, load: &Load) -> Option<Summary> {
        let mut pools = self.endpoints.endpoints().flat_map(|endpoint| {
            let models = endpoint.models.iter().copied();
            let none = endpoint.models.is_empty().then_some(NO_MODEL);
            models.chain(none).map(|model| Pool {
                service: endpoint.service,
                model,
            })
        });
        let pool = pools.find(|pool| pool_number(*pool) == load.pool)?;
        Some(Summary {
            source,
            pool,
            endpoints: load.endpoints,
            work: load.work,
            waiting: load.waiting,
            taken: load.taken,
        })
    }
}

async fn exchange(
    shared: &Shared,
    connector: &Connector,
    instance: &Instance,
    bytes: Bytes,
) -> Exchange {
    let request = peer::sealed(shared, instance, Method::POST, PATH, &bytes);
    let sent = connector.send(instance.peer_address, request, RESPONSE_TIMEOUT);
    let response = match sent.await {
        Ok(response) => response,
        Err(error) => {
            log::debug!(instance:% = instance.name, error:% = error; "gossip exchange failed");
            return Exchange::Unreachable;
        }
    };
    if response.status() != StatusCode::OK {
        return Exchange::Deferred;
    }
    let read = body::collect(response.into_body(), MAX_MESSAGE_BYTES);
    let Ok(Ok(bytes)) = tokio::time::timeout(RESPONSE_TIMEOUT, read).await else {
        return Exchange::Unreachable;
    };
    match Message::decode(&bytes) {
        Ok(message) => Exchange::Answered(message, bytes.len()),
        Err(error) => {
            log::warn!(instance:% = instance.name, error:% = error; "can't decode gossip from a peer");
            Exchange::Deferred
        }
    }
}

const fn to_load(summary: &Summary) -> Load {
    Load {
        pool: pool_number(summary.pool),
        endpoints: summary.endpoints,
        work: summary.work,
        waiting: summary.waiting,
        taken: summary.taken,
    }
}

// Service and model ids are already hashes. The rotation gives a pool another
// number than the pool with the two ids swapped.
const fn pool_number(pool: Pool) -> u64 {
    pool.service ^ pool.model.rotate_left(1)
}

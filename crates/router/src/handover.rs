//! Sends other owners the locations of chats' cached contexts.
//!
//! The owners of chats change with the list of instances, and for all chats of
//! an instance when it leaves. If a chat was placed away from its home, the
//! owner of the home is informed too. Locations for a peer that can't be reached
//! are dropped: the chats that it owns start without their context there, which
//! costs a prefill but no response.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_decide::chats::Location;
use godwitpost_decide::owner::Owner;
use godwitpost_types::id::InstanceId;
use http::Method;

use crate::relay::peer;
use crate::shared::Shared;

/// Path for chat locations.
pub(crate) const PATH: &str = "/peer/v1/handover";

/// Timeout of one message of locations.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the next batch of chats that now belong to other owners; `None` if
/// none are left.
///
/// The owner bounds the batch, so that a change of the list does not cause a
/// burst of traffic at each instance.
pub(crate) fn next_batch(shared: &Shared) -> Option<Vec<(InstanceId, Location)>> {
    shared.owner.with(Owner::next_handover_batch)
}

/// Sends locations to the owners that they belong to.
pub(crate) async fn send_batch(shared: &Shared, due: Vec<(InstanceId, Location)>) {
    let mut moves: BTreeMap<InstanceId, Vec<Location>> = BTreeMap::new();
    for (instance, location) in due {
        moves.entry(instance).or_default().push(location);
    }
    for (instance, locations) in moves {
        send_locations(shared, instance, &locations).await;
    }
}

/// Sends all locations, as part of a graceful shutdown.
pub(crate) async fn send_all(shared: &Shared) {
    while let Some(due) = next_batch(shared) {
        send_batch(shared, due).await;
    }
}

/// Sends an owner the locations of chats.
pub(crate) async fn send_locations(shared: &Shared, owner: InstanceId, locations: &[Location]) {
    let snapshot = shared.snapshot();
    let instance = snapshot.view.instance(owner);
    let Some(instance) = instance.filter(|instance| instance.id != shared.local()) else {
        return;
    };
    let bytes = Bytes::from(rmp_serde::to_vec(locations).unwrap_or_default());
    let request = peer::sealed(shared, instance, Method::POST, PATH, &bytes);
    let sent = shared
        .control_connector
        .send(instance.peer_address, request, SEND_TIMEOUT);
    if let Err(error) = sent.await {
        log::warn!(instance:% = instance.name, error:% = error; "could not hand over chat locations");
    }
}

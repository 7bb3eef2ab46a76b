//! Tells other owners where chats have their context.
//!
//! Homes move when the list of instances changes, and all of an instance's
//! when it leaves; and a chat that was placed away from its home is told to
//! the home's owner. A peer that can't be reached goes without: the chats it
//! owns start cold there, which costs a prefill and no answer.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_decide::chats::Location;
use godwitpost_decide::owner::Owner;
use godwitpost_types::id::InstanceId;
use http::Method;

use crate::relay::peer;
use crate::shared::Shared;

/// The path that chat locations are taken on.
pub(crate) const PATH: &str = "/peer/v1/handover";

/// How long a peer may take to accept one message of locations.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns some of the chats that belong to other owners now; `None` if there
/// are none left.
///
/// The owner bounds how many, so that a change of the list costs each instance
/// a trickle and no burst.
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

/// Hands over all, as on a graceful stop.
pub(crate) async fn send_all(shared: &Shared) {
    while let Some(due) = next_batch(shared) {
        send_batch(shared, due).await;
    }
}

/// Tells an owner where chats have their context.
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
        log::warn!(instance:% = instance.name, error:% = error; "chats not handed over");
    }
}

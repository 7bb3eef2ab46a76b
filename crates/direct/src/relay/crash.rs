//! Whether an endpoint ended with a request.
//!
//! A connection that breaks says little: answers are lost, links are cut,
//! connections are reset. An endpoint that ended refuses the next connection,
//! while one that lives takes it and one whose machine is gone says nothing.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, EndpointId};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::control::peers::forward_evidence;
use crate::shared::Shared;
use crate::suspects::{Evidence, Observed};

/// How long the refusal of a connection may take; a machine that lives sends
/// it within a round trip.
const PATIENCE: Duration = Duration::from_millis(250);

/// A request that an endpoint had when its connection broke.
pub(super) struct Broken {
    pub(super) request: String,
    pub(super) digest: BodyDigest,
    pub(super) sent: Moment,
    pub(super) endpoint: EndpointId,
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// Looks whether the endpoint ended, and notes it if it did.
pub(super) async fn look(shared: Arc<Shared>, broken: Broken) {
    let at = boot_time();
    if !refuses(broken.address).await {
        return;
    }
    // What the next request would have found out.
    shared.mark_endpoint_down(broken.endpoint, broken.address);
    let mut suspects = shared.crash_tracker();
    suspects.record_local(Evidence {
        digest: broken.digest,
        observed: Observed::Crashed(broken.endpoint),
        sent_at: broken.sent,
        observed_at: at,
    });
    let chain = suspects.chain_length(&broken.digest);
    drop(suspects);
    log::warn!(
        request:% = broken.request, endpoint:% = broken.name, chain = chain;
        "endpoint ended with the request"
    );
    forward_evidence(&shared);
}

/// Notes that a request was answered, if that says anything of it.
pub(super) fn answered(shared: &Arc<Shared>, digest: BodyDigest, sent: Moment) {
    shared.crash_tracker().record_local(Evidence {
        digest,
        observed: Observed::Answered,
        sent_at: sent,
        observed_at: boot_time(),
    });
    forward_evidence(shared);
}

async fn refuses(address: SocketAddr) -> bool {
    let connection = timeout(PATIENCE, TcpStream::connect(address)).await;
    matches!(connection, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

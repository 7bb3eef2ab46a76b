//! Answering peers that ask what the log says.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_client::connect::Body;
use godwitpost_types::clock::{Moment, since};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::age::LONGEST_WAIT;
use super::passing::{EVIDENCE_PATH, HEARD_PATH, heard, learn, take};
use super::{MESSAGE_BYTES, PATH, status, whole};
use crate::board::{Update, UpdateRequest, Urgency};
use crate::shared::Shared;

/// How long news waits for more before it is told: a release or a scale-out
/// brings a change a few times a second, and each would be an answer to all.
const SETTLE: Duration = Duration::from_millis(100);

/// Answers a peer's question, at once if there is news.
pub(in crate::control) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Body> {
    let began = boot_time();
    let path = request.uri().path().to_owned();
    let Ok(body) = Limited::new(request.into_body(), MESSAGE_BYTES)
        .collect()
        .await
    else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    match path.as_str() {
        PATH => state(&shared, &body, began).await,
        EVIDENCE_PATH => learn(&shared, &body, began),
        HEARD_PATH => heard(&shared, &body, began),
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn state(shared: &Shared, body: &[u8], began: Moment) -> Response<Body> {
    let Ok(question) = rmp_serde::from_slice::<UpdateRequest>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let until = Instant::now() + question.wait.min(LONGEST_WAIT);
    shared.pollers().record_poll(question.peer_address, began);
    take(shared, &question.loads, began);
    for holding in &question.holders {
        shared.directory().apply_and_forward(holding, began);
    }
    let mut news = shared.replica_changes();
    loop {
        news.mark_unchanged();
        match shared.update_replica(false, |replica| replica.urgency(&question)) {
            Urgency::Full => break,
            Urgency::Incremental => {
                sleep_until(until.min(Instant::now() + SETTLE)).await;
                break;
            }
            // One that starts itself has nothing to tell yet. Hundreds that start with
            // it wait for it, rather than that each reads the log.
            Urgency::None | Urgency::NotReady => {}
        }
        if timeout_at(until, news.changed()).await.is_err() {
            break;
        }
    }
    // The ages are those of now, also if nothing came in the time allowed.
    let now = boot_time();
    let mut told = shared.update_replica(false, |replica| {
        replica.build_update(&question, since(now, began), now)
    });
    told.loads = shared
        .endpoint_stats()
        .recent_loads(now, rand::rng().random());
    name_instances(shared, &mut told, now);
    match rmp_serde::to_vec(&told) {
        Ok(bytes) => Response::new(whole(bytes)),
        Err(error) => {
            log::error!(error:% = error; "state can't be told to peers");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

// A standby's own askers are no better informed than it is, so only seeds name any.
fn name_instances(shared: &Shared, told: &mut Update, now: Moment) {
    if shared.settings.is_seed() {
        told.standbys = shared.pollers().standbys(told.incarnation, now);
    }
    told.instances = shared.instance_count(now);
}

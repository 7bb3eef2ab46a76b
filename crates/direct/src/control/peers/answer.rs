//! Answers the requests of other instances.

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

use super::evidence::{EVIDENCE_PATH, evidence_on_held, handle_evidence};
use super::overloads::{OVERLOADS_PATH, handle_overloads};
use super::passing::{EXCHANGE_PATH, handle_exchange, record_forwarders, record_loads};
use super::{MAX_MESSAGE_BYTES, STATE_PATH, full_body, status_response};
use crate::members;
use crate::metrics::LoadSource;
use crate::overloads;
use crate::polling::age::MAX_POLL_WAIT;
use crate::relay::{Handled, handle_message, sole_builds};
use crate::replica::{Allowance, Update, UpdateRequest, Urgency};
use crate::shared::Shared;
use crate::standby::Ability;

/// How long an update waits for further changes before it is sent. A release or
/// a scale-out brings a few changes a second, and each would otherwise cause an
/// answer to every polling instance.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Answers a request of another instance; a poll at once if there are changes.
pub(in crate::control) async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<Body> {
    let received_at = boot_time();
    let path = request.uri().path().to_owned();
    let Ok(body) = Limited::new(request.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await
    else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    match path.as_str() {
        STATE_PATH => handle_poll(&shared, &body, received_at).await,
        EVIDENCE_PATH => handle_evidence(&shared, &body, received_at),
        EXCHANGE_PATH => handle_exchange(&shared, &body, received_at),
        OVERLOADS_PATH => handle_overloads(&shared, &body, received_at),
        path => match handle_message(&shared, path, &body) {
            Handled::Answered(answer) => Response::new(full_body(answer)),
            Handled::Malformed => status_response(StatusCode::BAD_REQUEST),
            Handled::NotFound => status_response(StatusCode::NOT_FOUND),
        },
    }
}

async fn handle_poll(shared: &Shared, body: &[u8], received_at: Moment) -> Response<Body> {
    let Ok(update_request) = rmp_serde::from_slice::<UpdateRequest>(body) else {
        return status_response(StatusCode::BAD_REQUEST);
    };
    let deadline = Instant::now() + update_request.wait.min(MAX_POLL_WAIT);
    let ability = Ability {
        reads_log: update_request.reads_log,
        has_list: update_request.has_list(),
        link_rate: update_request.link_rate,
    };
    shared
        .pollers()
        .record_poll(update_request.peer_address, ability, received_at);
    record_loads(shared, &update_request.loads, received_at, LoadSource::Poll);
    record_forwarders(shared, update_request.forwards.as_slice(), received_at);
    if let Some(address) = update_request.peer_address {
        shared.members().record_poll(address, received_at);
    }
    for holder in &update_request.holders {
        shared.directory().apply_and_forward(holder, received_at);
    }
    let mut changes = shared.replica_changes();
    let mut only_overloads = false;
    loop {
        changes.mark_unchanged();
        match shared.update_replica(false, |replica| replica.urgency(&update_request)) {
            Urgency::Full => break,
            Urgency::Incremental => {
                sleep_until(deadline.min(Instant::now() + UPDATE_BATCH_DELAY)).await;
                break;
            }
            Urgency::Overload => {
                let delay = overloads::answer_delay(shared.pollers().own_count(received_at));
                sleep_until(deadline.min(Instant::now() + delay)).await;
                only_overloads = Instant::now() < deadline;
                break;
            }
            // A starting instance has nothing to send yet. Hundreds that start
            // at the same time wait for it, so that not each of them reads the
            // log.
            Urgency::None | Urgency::NotReady => {}
        }
        if timeout_at(deadline, changes.changed()).await.is_err() {
            break;
        }
    }
    let allowance = wait_for_list_turn(shared, &update_request, deadline).await;
    // Ages are those at the time of the answer, even if nothing changed during
    // the wait.
    let now = boot_time();
    let answer = shared.update_replica(false, |replica| {
        replica.build_answer(&update_request, allowance, since(now, received_at), now)
    });
    let encoded = answer.and_then(|mut answer| {
        if !only_overloads {
            add_loads(shared, &mut answer.update, now);
        }
        add_instances(shared, &mut answer.update, now);
        add_members(shared, &update_request, &mut answer.update, now);
        answer.encode()
    });
    match encoded {
        Ok(bytes) => Response::new(full_body(bytes)),
        Err(error) => {
            log::error!(error:% = error; "can't encode the update for peers");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

// Waits until the link bears one more part of the list of endpoints, if the request is for
// one. Without this, a thousand instances that start at once would all get their parts too
// late and ask again.
async fn wait_for_list_turn(
    shared: &Shared,
    request: &UpdateRequest,
    deadline: Instant,
) -> Allowance {
    let bytes = shared.update_replica(false, |replica| replica.list_part_bytes(request));
    // A policy that can't be encoded is reported when the answer is built.
    let Ok(Some(bytes)) = bytes else {
        return Allowance::Part;
    };
    if passes_list_on(shared, request) {
        shared.list_pace().reserve_first(bytes, boot_time());
        shared.metrics.start().count_part(true);
        return Allowance::Part;
    }
    let patience = deadline.saturating_duration_since(Instant::now());
    let turn = shared.list_pace().reserve(bytes, boot_time(), patience);
    shared.metrics.start().count_part(turn.is_some());
    match turn {
        Some(delay) => {
            tokio::time::sleep(delay).await;
            Allowance::Part
        }
        None if request.version == 0 => Allowance::NoPolicy,
        None => Allowance::Nothing,
    }
}

// Returns whether a request is of a seed, or of a standby that this seed named. They get the
// list before all others, and then send it to those that this instance is too busy for.
fn passes_list_on(shared: &Shared, request: &UpdateRequest) -> bool {
    let Some(address) = request.peer_address else {
        return false;
    };
    if shared.settings.seeds.contains(&address) {
        return true;
    }
    if !shared.settings.is_seed() {
        return false;
    }
    let incarnation = shared.update_replica(false, |replica| replica.incarnation());
    let mut pollers = shared.pollers();
    let standbys = pollers.standbys(incarnation, boot_time());
    standbys.contains(&address)
}

fn add_loads(shared: &Shared, update: &mut Update, now: Moment) {
    update.loads = shared.load_sample().draw(now, rand::rng().random(), || {
        shared.endpoint_stats().recent_loads(now)
    });
}

// Adds the builds of services that have had several, the instances that keep the origins of
// streams, if the peer knows others, and at its first poll which builds have served alone and what
// is held.
fn add_members(shared: &Shared, request: &UpdateRequest, update: &mut Update, now: Moment) {
    let mut members = shared.members();
    let list = members.list(now);
    if members::digest(list) != request.members {
        update.members = Some(list.to_vec());
    }
    drop(members);
    update.builds = shared.builds().mentions(now);
    if request.incarnation == 0 {
        update.sole_builds = sole_builds(shared);
        update.evidence.extend(evidence_on_held(shared, now));
    }
}

// Adds standbys, the number of instances and some that take requests of others to an update. Only seeds name
// standbys: the instances that poll a standby are no better informed than it
// is.
fn add_instances(shared: &Shared, update: &mut Update, now: Moment) {
    if shared.settings.is_seed() {
        update.standbys = shared.pollers().standbys(update.incarnation, now).to_vec();
    }
    update.forwarders = shared.forwarders().sample(rand::rng().random(), now);
    update.instances = shared.instance_count(now);
    update.reads_log = shared.reads_log();
    update.progress = shared.list_progress();
}

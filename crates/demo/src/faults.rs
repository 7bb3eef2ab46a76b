//! Faults that the demo switches on, and the sessions that provoke them.

use std::time::Duration;

use godwitpost_history::event::End;
use godwitpost_types::outcome::Outcome;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::sleep;

use crate::caller::{Ask, Seen};
use crate::cli::Fault;
use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::load::Load;

/// How long the log is down or slow. Longer than a claim waits for it, short
/// enough to be seen to end within the demo.
const OUTAGE: Duration = Duration::from_secs(3);

/// What a slow log adds to each call.
const SLOW: Duration = Duration::from_millis(500);

/// The part of appends whose answers are lost.
const LOST: f64 = 0.3;

/// The part of orders and lookups that run and whose answers are lost.
const LOST_BY_ENDPOINTS: f64 = 0.05;

/// What crashes an engine that reads it.
const MARKER: &str = "crampon-of-doom";

/// How long a crashed engine is down.
const DOWN: Duration = Duration::from_millis(500);

/// Sends of the poison request at most; its caller is stubborn.
const POISON_SENDS: u32 = 12;

/// Engines that one request may take down; the second convicts it.
pub const MOST_LOST: usize = 2;

/// Away and back of a flapping engine, and how often.
const FLAP: Duration = Duration::from_millis(300);
const FLAPS: u32 = 6;

/// Switches on what lasts for the whole run.
pub fn lasting(fleet: &Fleet, fault: Fault) {
    match fault {
        Fault::LostAnswers => {
            fleet.log.faults().change(|log| log.lose_answers = LOST);
            for endpoint in &fleet.plain {
                let faults = endpoint.running.faults();
                faults.change(|plain| plain.lose_answers = LOST_BY_ENDPOINTS);
            }
        }
        Fault::Poison => {
            for engine in &fleet.engines {
                engine.running.faults().change(|engine| {
                    engine.crash_marker = Some(MARKER.to_owned());
                    engine.down_for = DOWN;
                });
            }
        }
        Fault::LogDown | Fault::LogSlow | Fault::Flapping => {}
    }
}

/// Brings about what comes and goes; returns when it is over.
pub async fn passing(fleet: &Fleet, fault: Fault) {
    let log = fleet.log.faults();
    match fault {
        Fault::LogDown => {
            log.change(|log| log.down = true);
            sleep(OUTAGE).await;
            log.change(|log| log.down = false);
        }
        Fault::LogSlow => {
            log.change(|log| log.slow = SLOW);
            sleep(OUTAGE).await;
            log.change(|log| log.slow = Duration::ZERO);
        }
        Fault::Flapping => flap(fleet).await,
        Fault::LostAnswers | Fault::Poison => {}
    }
}

// The list loses an engine and finds it again, over and over, while the
// engine itself is well.
async fn flap(fleet: &Fleet) {
    let Some(engine) = fleet.engines.last() else {
        return;
    };
    let entries = fleet.list.entries();
    let Some(entry) = entries.into_iter().find(|one| one.name == engine.name) else {
        return;
    };
    for _ in 0..FLAPS {
        fleet.list.remove(&engine.name);
        sleep(FLAP).await;
        fleet.list.set(entry.clone());
        sleep(FLAP).await;
    }
}

/// Sends the request that crashes engines until a router refuses it for good.
pub async fn poison(load: &Load, deployment: &Deployment, rng: &mut ChaCha8Rng) {
    let body = json!({
        "model": deployment.model,
        "max_tokens": 16,
        "messages": [{ "role": "user", "content": MARKER }],
    });
    let ask = Ask {
        job: "poison".to_owned(),
        workspace: deployment.workspaces[0].to_owned(),
        chat: Some("poison".to_owned()),
        key: None,
        method: http::Method::POST,
        path: "/v1/chat/completions".to_owned(),
        body: body.to_string().into(),
    };
    for _ in 0..POISON_SENDS {
        let seen = load.send(deployment.classes[0], &ask, rng).await;
        if convicted(&seen) {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
}

fn convicted(seen: &Seen) -> bool {
    seen.end == End::Whole && seen.outcome == Some(Outcome::NotRun) && seen.status == Some(422)
}

//! Engines that break answers off or mix them up, before real routers.

use std::collections::BTreeSet;
use std::sync::Arc;

use godwitpost_client::clock::Clock;
use godwitpost_demo::deployment::KITAKAZE;
use godwitpost_demo::fleet::Fleet;
use godwitpost_demo::load::Load;
use godwitpost_demo::{judge, plan};
use godwitpost_history::event::{Event, What};
use godwitpost_history::recorder::Recorder;
use godwitpost_standin::engine;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 5;
const REQUESTS: u64 = 150;
const WIDTH: usize = 30;

/// Loads a fleet whose engines have these faults and returns its history with
/// the promises that it broke.
async fn run(fault: impl Fn(&mut engine::Faults)) -> (Vec<Event>, Vec<String>) {
    let clock = Clock::start();
    let recorder = Recorder::new(move || clock.now());
    let settings = engine::Settings::default();
    let fleet = Fleet::start(&KITAKAZE, recorder.clone(), &settings).await;
    let fleet = fleet.expect("a fleet comes up");
    for engine in &fleet.engines {
        engine.running.faults().change(&fault);
    }
    let balancer = Arc::clone(&fleet.balancer);
    let load = Arc::new(Load::new(&KITAKAZE, recorder.clone(), balancer, SEED));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let sessions = plan::draw(&KITAKAZE, REQUESTS, &mut rng);
    load.run(sessions, WIDTH).await;
    let events = recorder.events();
    let limit = judge::bound(fleet.load_bound(), &events);
    let violations = judge::violations(&events, limit, false);
    let violations = violations.expect("a well-formed history");
    (events, violations)
}

fn cuts(events: &[Event]) -> usize {
    let cut = |event: &&Event| matches!(event.what, What::AnswerCut { .. });
    events.iter().filter(cut).count()
}

/// Returns the runs beyond the first of a call: routers sent it again.
fn run_again(events: &[Event]) -> usize {
    let mut calls = BTreeSet::new();
    let runs = events.iter().filter_map(|event| match &event.what {
        What::RunStarted(run) => Some(run.call),
        _ => None,
    });
    runs.filter(|call| !calls.insert(*call)).count()
}

/// An editor's caption stops in the middle of a sentence and looks finished.
/// The engine broke its answer off but ended the message properly, and the
/// router ended its own as properly.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_broken_off_cleanly_never_looks_whole() {
    let (events, violations) = run(|engine| {
        engine.truncate = 0.2;
        engine.truncate_cleanly = true;
    })
    .await;
    assert!(cuts(&events) > 0, "no answer was broken off");
    assert_eq!(violations, Vec::<String>::new());
}

/// The same with a connection that breaks in the middle of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_broken_off_never_looks_whole() {
    let (events, violations) = run(|engine| engine.truncate = 0.2).await;
    assert!(cuts(&events) > 0, "no answer was broken off");
    assert_eq!(violations, Vec::<String>::new());
}

/// An editor gets the draft of somebody else's route: the engine answers with
/// the request before, and says so in the id it repeats.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_reaches_nobody() {
    let (events, violations) = run(|engine| engine.cross = 0.2).await;
    assert!(run_again(&events) > 0, "no answer was mixed up");
    assert_eq!(violations, Vec::<String>::new());
}

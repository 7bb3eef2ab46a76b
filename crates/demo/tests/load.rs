//! Callers whose load is held back at a part of it.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::Clock;
use godwitpost_demo::deployment::KITAKAZE;
use godwitpost_demo::fleet::Fleet;
use godwitpost_demo::load::Load;
use godwitpost_demo::plan;
use godwitpost_history::recorder::Recorder;
use godwitpost_standin::engine;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::timeout;

const SEED: u64 = 5;
const REQUESTS: u64 = 60;
const PERMITTED: u64 = 20;
/// Wide enough for all of them at once.
const WIDTH: usize = 60;
/// Longer than all requests take if they are permitted.
const LOADED: Duration = Duration::from_secs(2);

/// Guards against a run whose load is over before a slow step begins: its
/// faults then meet no requests.
#[tokio::test(flavor = "multi_thread")]
async fn no_session_starts_beyond_what_is_permitted() {
    let clock = Clock::start();
    let recorder = Recorder::new(move || clock.now());
    let settings = engine::Settings::default();
    let fleet = Fleet::start(&KITAKAZE, recorder.clone(), &settings).await;
    let fleet = fleet.expect("a fleet comes up");
    let balancer = Arc::clone(&fleet.balancer);
    let load = Arc::new(Load::new(&KITAKAZE, recorder, balancer, SEED));
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let sessions = plan::draw(&KITAKAZE, REQUESTS, &mut rng);
    let longest = sessions.iter().map(plan::Session::requests).max();
    let longest = longest.expect("some sessions are drawn");

    load.permit(PERMITTED);
    let running = Arc::clone(&load);
    let running = tokio::spawn(async move { running.run(sessions, WIDTH).await });
    let mut done = load.done();
    let reached = done.wait_for(|done| *done >= PERMITTED).await;
    drop(reached.expect("the load goes on"));
    let beyond = done.wait_for(|done| *done >= PERMITTED + longest);
    let beyond = timeout(LOADED, beyond).await;
    assert!(beyond.is_err(), "sessions start beyond what is permitted");

    load.permit(REQUESTS);
    running.await.expect("callers don't panic");
    assert_eq!(*load.done().borrow(), REQUESTS);
}

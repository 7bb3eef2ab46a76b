//! One run of one deployment: load, a roll, a stop, a kill, and the verdict.

use std::ffi::OsStr;
use std::fs::File;
use std::io::BufWriter;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use godwitpost_client::clock::Clock;
use godwitpost_history::event::Event;
use godwitpost_history::file;
use godwitpost_history::recorder::Recorder;
use godwitpost_standin::engine;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::cli::{Fault, Options};
use crate::deployment::Deployment;
use crate::error::Error;
use crate::fleet::Fleet;
use crate::load::Load;
use crate::report::Report;
use crate::{faults, figures, judge, plan};

/// Sessions held side by side: a few requests on each engine.
const WIDTH: usize = 40;

/// Tenths of the requests that may be started beyond those that the next step
/// waits for: they load that step, however long the ones before it take.
const TENTHS_AHEAD: u64 = 2;

/// The longest wait for a part of the load; it only ends a run that hangs.
const LONGEST: Duration = Duration::from_secs(30);

/// What a run ended with.
#[derive(Debug)]
pub struct Outcome {
    /// Its figures.
    pub report: Report,
    /// Its history.
    pub events: Vec<Event>,
    /// The promises it broke, as people read them.
    pub violations: Vec<String>,
}

/// Brings a deployment up, loads it, and judges what it did.
///
/// `say` is told of each step. The fleet is returned as it is then, for who
/// wants to hold it up.
///
/// # Errors
///
/// Returns [`Error`] if the fleet does not come up, a version does not come
/// into force, or an engine's leaving is not heard of.
///
/// # Panics
///
/// Panics if the history contradicts itself, which is a bug of the demo.
pub async fn run(
    deployment: &'static Deployment,
    options: &Options,
    say: impl Fn(String) + Clone + Send + 'static,
) -> Result<(Fleet, Outcome), Error> {
    let clock = Clock::start();
    let recorder = Recorder::new(move || clock.now());
    let mut fleet = Fleet::start(deployment, recorder.clone(), &engines()).await?;
    say("version 1 in force at all six routers".to_owned());
    for fault in &options.faults {
        faults::lasting(&fleet, *fault);
    }
    let load = Arc::new(Load::new(
        deployment,
        recorder.clone(),
        Arc::clone(&fleet.balancer),
        options.seed,
    ));
    load.permit(0);
    let callers = callers(&load, deployment, options);
    let progress = progress(load.done(), options.requests, say.clone());
    steps(&mut fleet, &load, options, &say).await?;
    callers.await.expect("callers don't panic");
    progress.abort();

    let report = report(&fleet, &load, &recorder).await;
    let events = recorder.events();
    let limit = judge::bound(fleet.load_bound(), &events);
    let poisoned = options.faults.contains(&Fault::Poison);
    let violations = judge::violations(&events, limit, poisoned)
        .expect("the demo records a well-formed history");
    let outcome = Outcome {
        report,
        events,
        violations,
    };
    Ok((fleet, outcome))
}

fn engines() -> engine::Settings {
    engine::Settings {
        // Twenty words a turn take 0.2 s, so streams are there to be cut.
        decode: 100.0,
        ..engine::Settings::default()
    }
}

fn callers(load: &Arc<Load>, deployment: &'static Deployment, options: &Options) -> JoinHandle<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let sessions = plan::draw(deployment, options.requests, &mut rng);
    let poisoned = options.faults.contains(&Fault::Poison);
    let load = Arc::clone(load);
    tokio::spawn(async move {
        let poison = async {
            if poisoned {
                faults::poison(&load, deployment, &mut rng).await;
            }
        };
        tokio::join!(load.run(sessions, WIDTH), poison);
    })
}

fn progress(
    done: watch::Receiver<u64>,
    requests: u64,
    say: impl Fn(String) + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            say(format!("{} of {requests} requests", *done.borrow()));
        }
    })
}

// Steps come at parts of the load, not at times, and the load waits for them,
// so a run in which a step is slow takes them under the same load.
async fn steps(
    fleet: &mut Fleet,
    load: &Load,
    options: &Options,
    say: &impl Fn(String),
) -> Result<(), Error> {
    let requests = options.requests;
    reach(load, requests, 1).await;
    let left = fleet.leave().await?;
    say(format!("{left} announced that it leaves; all routers know"));

    reach(load, requests, 3).await;
    let took = fleet.roll().await?.as_millis();
    say(format!("version 2 in force everywhere in {took} ms"));

    reach(load, requests, 4).await;
    let passing = options.faults.iter();
    join_all(passing.map(|fault| faults::passing(fleet, *fault))).await;

    reach(load, requests, 6).await;
    let names = fleet.instances();
    let stopped = fleet.stop(&names[0]).await?;
    say(format!("{} stopped gracefully: {stopped:?}", names[0]));

    reach(load, requests, 8).await;
    fleet.kill(&names[1])?;
    say(format!("{} killed", names[1]));
    Ok(())
}

async fn reach(load: &Load, requests: u64, tenths: u64) {
    load.permit(requests * (tenths + TENTHS_AHEAD) / 10);
    let mut done = load.done();
    let reached = done.wait_for(|done| *done >= requests * tenths / 10);
    drop(timeout(LONGEST, reached).await);
}

async fn report(fleet: &Fleet, load: &Load, recorder: &Recorder) -> Report {
    let mut report = load.report().clone();
    report.control = fleet.control().await;
    report.rolls = fleet.rolls().to_vec();
    report.cache = figures::cache(&fleet.engines);
    report.skew = figures::skew(&recorder.events(), "drafting");
    report
}

/// Writes a history beside others: `h.jsonl` becomes `h.kitakaze.jsonl`.
///
/// # Errors
///
/// Returns [`Error::History`] if the file can't be written.
pub fn keep(events: &[Event], path: &Path, fleet: &str) -> Result<(), Error> {
    let ending = path.extension().unwrap_or(OsStr::new("jsonl"));
    let path = path.with_extension(fleet).with_added_extension(ending);
    let write = || {
        let to = BufWriter::new(File::create(path)?);
        file::write(events, to)
    };
    write().map_err(Error::History)
}

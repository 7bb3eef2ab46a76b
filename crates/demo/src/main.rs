//! The demo's binary.

use std::process::ExitCode;

use godwitpost_client::clock::Clock;
use godwitpost_demo::cli::{self, EXIT_BROKEN, EXIT_KEPT, EXIT_START, Next, Options};
use godwitpost_demo::deployment::{Deployment, KITAKAZE, PORT_OF_SPAIN};
use godwitpost_demo::error::Error;
use godwitpost_demo::fleet::Fleet;
use godwitpost_demo::run::{self, Outcome};
use godwitpost_demo::{hold, key};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let code = match cli::parse(std::env::args_os()) {
        Next::Run(options) => demo(&options),
        Next::Say(text, EXIT_KEPT) => {
            print!("{text}");
            EXIT_KEPT
        }
        Next::Say(text, code) => {
            eprint!("{text}");
            code
        }
    };
    ExitCode::from(code)
}

fn demo(options: &Options) -> u8 {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::Threads);
    match runtime.and_then(|runtime| runtime.block_on(both(options))) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            EXIT_START
        }
    }
}

async fn both(options: &Options) -> Result<u8, Error> {
    let (one, other) = tokio::join!(one(&KITAKAZE, options), one(&PORT_OF_SPAIN, options));
    let runs = [one?, other?];
    let mut code = EXIT_KEPT;
    for (fleet, outcome) in &runs {
        if !show(fleet, outcome, options)? {
            code = EXIT_BROKEN;
        }
    }
    if options.hold {
        for (fleet, _) in &runs {
            println!("\n{}", hold::text(fleet, &key()));
        }
        println!("held until a signal, such as Ctrl-C");
        ended().await;
    }
    Ok(code)
}

async fn one(
    deployment: &'static Deployment,
    options: &Options,
) -> Result<(Fleet, Outcome), Error> {
    let say = move |text| println!("{}: {text}", deployment.fleet);
    run::run(deployment, options, say).await
}

// Returns whether every promise was kept.
fn show(fleet: &Fleet, outcome: &Outcome, options: &Options) -> Result<bool, Error> {
    println!("\n{}", outcome.report);
    if let Some(path) = &options.history {
        run::keep(&outcome.events, path, fleet.deployment.fleet)?;
    }
    let events = outcome.events.len();
    match outcome.violations.len() {
        0 => println!("  promises      all kept, judged over {events} events"),
        broken => println!("  promises      {broken} BROKEN, judged over {events} events"),
    }
    for violation in &outcome.violations {
        println!("{violation}");
    }
    Ok(outcome.violations.is_empty())
}

fn key() -> String {
    let now = Clock::start().now();
    let mut rng = ChaCha8Rng::seed_from_u64(now.as_secs());
    key::draw(now, &mut rng)
}

async fn ended() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

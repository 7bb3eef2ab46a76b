//! Runs one stand-in until SIGINT or SIGTERM.
//!
//! Exit codes: 0 after SIGINT or SIGTERM, 1 if it can't start, 2 for a wrong
//! command line.

mod cli;

use std::process::ExitCode;

use godwitpost_standin::{Error, engine, list, log, plain, weights};
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::{Command, Standin};

fn main() -> ExitCode {
    let command = cli::parse();
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    if SimpleLogger::init(LevelFilter::Info, config).is_err() {
        eprintln!("godwitpost-standin: logging is already set up; messages may be lost");
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("cannot start threads ({error}); raise the limits")),
    };
    match runtime.block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("godwitpost-standin: {message}");
    ExitCode::FAILURE
}

async fn run(command: Command) -> Result<(), Error> {
    let listen = command.listen;
    match command.standin {
        Standin::Log(faults) => {
            let running = log::start(listen, faults).await?;
            wait_for_signal(running.address()).await;
            running.stop().await;
        }
        Standin::List(faults) => {
            let running = list::start(listen, faults).await?;
            wait_for_signal(running.address()).await;
            running.stop().await;
        }
        Standin::Engine(settings, faults) => {
            let running = engine::start(listen, settings, faults).await?;
            wait_for_signal(running.address()).await;
            running.stop().await;
        }
        Standin::Service(faults) => {
            let running = plain::start(listen, faults).await?;
            wait_for_signal(running.address()).await;
            running.stop().await;
        }
        Standin::Weights(faults) => {
            let running = weights::start(listen, faults).await?;
            wait_for_signal(running.address()).await;
            running.stop().await;
        }
    }
    Ok(())
}

async fn wait_for_signal(address: std::net::SocketAddr) {
    println!("listening on {address}");
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM can be caught");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

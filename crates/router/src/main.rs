//! The router's binary: reads settings, runs, and ends on a signal.

use std::path::Path;
use std::process::ExitCode;

use godwitpost_process::logging;
use godwitpost_router::cli::{
    Action, EXIT_ABORTED, EXIT_DONE, EXIT_DRAIN_TIMEOUT, EXIT_START, EXIT_USAGE, parse,
};
use godwitpost_router::settings::Settings;
use godwitpost_router::{ShutdownResult, start};
use tokio::signal::unix::{Signal, SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let code = match parse(std::env::args_os()) {
        Action::Run(path) => with_settings(&path, run),
        Action::Check(path) => with_settings(&path, |_| EXIT_DONE),
        Action::PrintSettings(path) => with_settings(&path, |settings| {
            print!("{}", settings.print());
            EXIT_DONE
        }),
        Action::PrintText(text, EXIT_DONE) => {
            print!("{text}");
            EXIT_DONE
        }
        Action::PrintText(text, code) => {
            eprint!("{text}");
            code
        }
    };
    ExitCode::from(code)
}

fn with_settings(path: &Path, call: impl FnOnce(Settings) -> u8) -> u8 {
    match Settings::load(path) {
        Ok(settings) => call(settings),
        Err(error) => {
            eprintln!("{error}");
            EXIT_USAGE
        }
    }
}

fn run(settings: Settings) -> u8 {
    if let Err(error) = logging::start(settings.log_level) {
        eprintln!("can't start logging: {error}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| runtime.block_on(until_signal(settings)));
    result.unwrap_or_else(|error| {
        eprintln!("can't start: {error}");
        EXIT_START
    })
}

async fn until_signal(settings: Settings) -> std::io::Result<u8> {
    // Registered before anything listens, so that no signal is lost.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = start(settings).map_err(std::io::Error::other)?;
    log::info!(
        callers:% = running.callers_address(),
        peers:% = running.peers_address(),
        operators:% = running.operators_address();
        "listening"
    );
    next_signal(&mut terminate, &mut interrupt).await;
    let hurry = running.abort_handle();
    let stopping = running.stop_gracefully();
    tokio::pin!(stopping);
    let (stopped, hurried) = tokio::select! {
        stopped = &mut stopping => (stopped, false),
        () = next_signal(&mut terminate, &mut interrupt) => {
            hurry.abort();
            (stopping.await, true)
        }
    };
    Ok(match stopped {
        ShutdownResult::Whole => EXIT_DONE,
        ShutdownResult::Cut { requests } => {
            log::warn!(requests = requests; "shutdown aborted requests in flight");
            if hurried {
                EXIT_ABORTED
            } else {
                EXIT_DRAIN_TIMEOUT
            }
        }
    })
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

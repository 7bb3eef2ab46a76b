//! Plays one case of the review against real processes of the system.
//!
//! `review-2 CASE RECORD` exits with 1 if the rule of the case was broken, with 0 if it held
//! and with 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod done;
mod extra;
mod http;
mod instance;
mod leave;
mod poison;
mod record;
mod runner;
mod silence;
mod slow;
mod store;
mod sys;
mod world;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// What came of a case: whether its rule was broken.
pub type Verdict = Result<bool, String>;

type Case = fn(Record, bool) -> Verdict;

const COULD_NOT_RUN: u8 = 2;

fn find(name: &str) -> Option<Case> {
    Some(match name {
        "done" => done::run,
        "extra" => extra::run,
        "leave" => leave::run,
        "poison" => poison::run,
        "silence" => silence::run,
        "slow" => slow::run,
        _ => return None,
    })
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = &arguments[..] else {
        eprintln!("review-2 CASE RECORD");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let Some(case) = find(name) else {
        eprintln!("no case {name}");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = std::panic::catch_unwind(|| {
        let record = Record::create(Path::new(path)).map_err(|error| error.to_string())?;
        let verdict = case(record.clone(), has_trouble);
        match &verdict {
            Ok(true) => record.line("the rule was broken"),
            Ok(false) => record.line("the rule held"),
            Err(cause) => record.line(&format!("the case could not run: {cause}")),
        }
        verdict
    });
    match played {
        Ok(Ok(true)) => ExitCode::from(1),
        Ok(Ok(false)) => ExitCode::SUCCESS,
        Ok(Err(cause)) => {
            eprintln!("could not run: {cause}");
            ExitCode::from(COULD_NOT_RUN)
        }
        Err(_) => ExitCode::from(COULD_NOT_RUN),
    }
}

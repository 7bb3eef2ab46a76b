//! Prints what control costs one router in fleets of three sizes.

use std::process::ExitCode;

use godwitpost_bench::figure::Figure;
use godwitpost_capacity::live::control;

fn main() -> ExitCode {
    // The test command builds benches and runs them with this argument; wall
    // and processor time decide no verdict there.
    if std::env::args().any(|argument| argument == "--test") {
        return ExitCode::SUCCESS;
    }
    let mut holds = true;
    for (instances, endpoints) in control::SIZES {
        for figure in control::figures(instances, endpoints) {
            println!("{figure}");
            holds &= Figure::holds(&figure);
        }
    }
    if holds {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

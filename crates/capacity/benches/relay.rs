//! Prints what relaying costs; fails if the router falls behind its ratio.

use std::process::ExitCode;

use godwitpost_bench::figure::Figure;
use godwitpost_capacity::live::relay;

// The router's binary runs under this allocator, so its cost is measured under
// it; the bare relay of the ratio runs under the same one.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    // The test command builds benches and runs them with this argument; wall
    // and processor time decide no verdict there.
    if std::env::args().any(|argument| argument == "--test") {
        return ExitCode::SUCCESS;
    }
    let figures = relay::figures();
    for figure in &figures {
        println!("{figure}");
    }
    if figures.iter().all(Figure::holds) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

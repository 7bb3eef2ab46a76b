//! Prints the figures of direct sending, each with its bound.
//!
//! `cargo bench --bench direct`, with `-- 6`, `-- 81`, `-- 320`, `-- memory`, `-- loss`,
//! `-- storm` or `-- events`
//! for a part, and `seed=2` for other traffic. Exits with 1 if a bound is broken.

use std::process::ExitCode;

use godwitpost_bench::direct::{SIZES, cost, events, loss, memory, repeats, traffic};
use godwitpost_bench::figure::Figure;

/// The seed unless another is given.
const SEED: u64 = 1;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args()
        .skip(1)
        .filter(|word| !word.starts_with('-'))
        .collect();
    let given = words.iter().find_map(|word| word.strip_prefix("seed="));
    let seed = given.and_then(|seed| seed.parse().ok()).unwrap_or(SEED);
    let parts: Vec<&String> = words.iter().filter(|word| !word.contains('=')).collect();
    let wanted = |part: &str| parts.is_empty() || parts.iter().any(|name| *name == part);
    let mut figures: Vec<Figure> = Vec::new();
    for size in SIZES.iter().filter(|size| wanted(size.name)) {
        figures.extend(traffic(size, seed));
        figures.push(cost::placement(size));
    }
    if wanted("memory") {
        figures.extend(SIZES.iter().flat_map(|size| memory(size, seed)));
    }
    if wanted("loss") {
        figures.extend(loss(seed));
    }
    if wanted("storm") {
        for size in &SIZES {
            figures.extend(repeats(size.instances, seed));
        }
    }
    if wanted("events") {
        figures.extend(events::figures());
    }
    for figure in &figures {
        println!("{figure}");
    }
    if figures.iter().all(Figure::holds) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

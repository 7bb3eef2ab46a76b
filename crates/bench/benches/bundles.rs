//! Figures of bundles: 10,000 schedules of rolls, and costs by size.

use godwitpost_bench::{bundles, rolls};

/// The seed of the first schedule; the others follow it.
const SEED: u64 = 1;
const SCHEDULES: u32 = 10_000;

fn main() {
    println!("seed {SEED}, {SCHEDULES} schedules");
    for figure in rolls::figures(SEED, SCHEDULES) {
        println!("{figure}");
    }
    for figure in bundles::figures() {
        println!("{figure}");
    }
}

//! Figures.
fn main() {}

//! Prints the figures of the decisions on state.

fn main() {
    for figure in godwitpost_bench::claims::figures() {
        println!("{figure}");
    }
}

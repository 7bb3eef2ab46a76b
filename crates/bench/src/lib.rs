//! Benchmarks with regression bounds, and the capacity report.

//! Processor time of this process's threads, by name.

use std::fs;
use std::time::Duration;

/// Returns the time that threads whose name begins with `name` have run.
///
/// Read from the kernel's scheduler statistics; zero where it keeps none.
#[must_use]
pub fn of(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    tasks
        .flatten()
        .filter(|task| {
            let comm = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            comm.starts_with(name)
        })
        .map(|task| ran(&task.path().join("schedstat")))
        .sum()
}

fn ran(schedstat: &std::path::Path) -> Duration {
    let text = fs::read_to_string(schedstat).unwrap_or_default();
    let first = text.split_whitespace().next();
    Duration::from_nanos(first.and_then(|nanos| nanos.parse().ok()).unwrap_or(0))
}

//! Cache reuse and skew, worked out from what endpoints did.

use std::collections::BTreeMap;

use godwitpost_history::event::{Event, RunId, What};
use godwitpost_standin::engine;

use crate::fleet::Endpoint;
use crate::report::{Share, Skew};

#[cfg(test)]
mod tests;

/// Requests on an engine, on average, below which an instant is left out of
/// the skew: one request more on one of ten idle engines is ten times the
/// mean and drowns nothing.
const BUSY: f64 = 1.0;

/// Returns the prompt tokens that engines found in their caches, of all.
#[must_use]
pub fn cache(engines: &[Endpoint<engine::Running>]) -> Share {
    let mut share = Share::default();
    for run in engines.iter().flat_map(|engine| engine.running.runs()) {
        share.part += u64::from(run.cached_tokens);
        share.whole += u64::from(run.prompt_tokens);
    }
    share
}

/// Returns the skew of work over the endpoints of a service.
#[must_use]
pub fn skew(events: &[Event], service: &str) -> Skew {
    let mut view = View::default();
    for event in events {
        view.take(service, &event.what);
    }
    Skew {
        overall: over_mean(view.all.values().copied()),
        worst: view.worst,
    }
}

/// Returns the mean work of a run at the endpoints of a service.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "sums stay far below 2^53")]
pub fn mean_work(events: &[Event], service: &str) -> f64 {
    let mut view = View::default();
    let mut runs = 0_u32;
    for event in events {
        let before = view.running.len();
        view.take(service, &event.what);
        runs += u32::from(view.running.len() > before);
    }
    let work: u64 = view.all.values().sum();
    work as f64 / f64::from(runs.max(1))
}

#[derive(Default)]
struct View<'a> {
    /// Work at each endpoint over the whole run.
    all: BTreeMap<&'a str, u64>,
    /// Work at each endpoint now.
    now: BTreeMap<&'a str, u64>,
    running: BTreeMap<RunId, (&'a str, u64)>,
    worst: f64,
}

impl<'a> View<'a> {
    fn take(&mut self, service: &str, what: &'a What) {
        match what {
            What::EndpointJoined {
                endpoint,
                service: served,
                ..
            } if served == service => {
                self.all.entry(endpoint).or_default();
                self.now.entry(endpoint).or_default();
            }
            What::RunStarted(run) => {
                let Some(now) = self.now.get_mut(run.endpoint.as_str()) else {
                    return;
                };
                *now += run.work;
                *self.all.entry(&run.endpoint).or_default() += run.work;
                self.running.insert(run.run, (&run.endpoint, run.work));
                self.look();
            }
            What::RunEnded(end) => {
                let Some((endpoint, work)) = self.running.remove(&end.run) else {
                    return;
                };
                let now = self.now.entry(endpoint).or_default();
                *now -= work;
            }
            _ => {}
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "a few hundred requests")]
    fn look(&mut self) {
        let each = self.running.len() as f64 / self.now.len() as f64;
        if each >= BUSY {
            let skew = over_mean(self.now.values().copied());
            self.worst = self.worst.max(skew);
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "sums stay far below 2^53")]
fn over_mean(work: impl ExactSizeIterator<Item = u64> + Clone) -> f64 {
    let count = work.len() as f64;
    let sum: u64 = work.clone().sum();
    let most = work.max().unwrap_or(0);
    if sum == 0 {
        return 0.0;
    }
    most as f64 * count / sum as f64
}

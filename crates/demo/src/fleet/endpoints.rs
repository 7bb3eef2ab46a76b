//! Engines and back ends, with a tap that writes what they do into the
//! history and keeps their entries in the instance list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use godwitpost_client::list::{Entry, Role};
use godwitpost_history::event::{self, CallId, RunId, What};
use godwitpost_history::recorder::Recorder;
use godwitpost_standin::observe::{End, Event};
use godwitpost_standin::{engine, list, plain};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::Incarnation;

use super::ANY;
use crate::answer;
use crate::deployment::Deployment;
use crate::error::Error;

/// How long an order or lookup takes, so that a kill or a stop finds some in
/// flight.
const ORDER_TIME: Duration = Duration::from_millis(60);

/// An endpoint with its name.
#[derive(Debug)]
pub struct Endpoint<R> {
    /// Its name on the platform's list.
    pub name: String,
    /// The stand-in.
    pub running: R,
}

/// What the taps of one fleet share.
#[derive(Clone, Debug)]
pub(super) struct Tap {
    recorder: Recorder,
    list: Arc<list::Running>,
    region: &'static str,
}

/// The tap of one endpoint.
#[derive(Debug)]
struct Tapped {
    tap: Tap,
    entry: Entry,
    // Runs are numbered by endpoint; in the history they need one space.
    base: RunId,
    // The life that runs go to, and the right answer of each run.
    state: Mutex<(Incarnation, BTreeMap<RunId, String>)>,
}

pub(super) async fn engines(
    deployment: &Deployment,
    tap: &Tap,
    settings: &engine::Settings,
) -> Result<Vec<Endpoint<engine::Running>>, Error> {
    let model = format!("{}@{}", deployment.model, deployment.weights);
    let settings = engine::Settings {
        models: [model].into(),
        ..settings.clone()
    };
    let mut engines = Vec::new();
    for index in 0..deployment.engines {
        let (name, zone) = deployment.engine(index);
        let faults = engine::Faults::default();
        let running = engine::start(ANY, settings.clone(), faults).await;
        let running = running.map_err(Error::Standin)?;
        let mut entry = tap.entry(&name, zone, running.address());
        entry.service = Some("drafting".to_owned());
        entry.models = [deployment.model.to_owned()].into();
        let tapped = tap.tapped(entry, index as u64 + 1);
        running.observe(move |event| tapped.take(event, answer::of_text));
        engines.push(Endpoint { name, running });
    }
    Ok(engines)
}

pub(super) async fn plain(
    deployment: &Deployment,
    tap: &Tap,
) -> Result<Vec<Endpoint<plain::Running>>, Error> {
    let mut endpoints = Vec::new();
    for index in 0..deployment.plain_endpoints {
        let (name, zone) = deployment.plain_endpoint(index);
        let faults = plain::Faults {
            slow: ORDER_TIME,
            ..plain::Faults::default()
        };
        let running = plain::start(ANY, faults).await;
        let running = running.map_err(Error::Standin)?;
        let mut entry = tap.entry(&name, zone, running.address());
        entry.service = Some(deployment.plain.to_owned());
        let tapped = tap.tapped(entry, (deployment.engines + index) as u64 + 1);
        running.observe(move |event| tapped.take(event, |body| answer::of_body(body.as_bytes())));
        endpoints.push(Endpoint { name, running });
    }
    Ok(endpoints)
}

impl Tap {
    pub(super) const fn new(
        recorder: Recorder,
        list: Arc<list::Running>,
        region: &'static str,
    ) -> Self {
        Self {
            recorder,
            list,
            region,
        }
    }

    fn entry(&self, name: &str, zone: &str, address: SocketAddr) -> Entry {
        Entry {
            name: name.to_owned(),
            incarnation: 1,
            role: Role::Endpoint,
            standing: Standing::Live,
            zone: zone.to_owned(),
            region: self.region.to_owned(),
            address,
            operators_address: None,
            service: None,
            models: [].into(),
        }
    }

    fn tapped(&self, entry: Entry, number: u64) -> Tapped {
        let incarnation = entry.incarnation;
        let tapped = Tapped {
            tap: self.clone(),
            entry,
            base: number << 32,
            state: Mutex::new((incarnation, BTreeMap::new())),
        };
        tapped.joined(incarnation);
        tapped
    }
}

impl Tapped {
    fn take(&self, event: Event, digest: impl Fn(&str) -> String) {
        match event {
            Event::Started {
                run,
                trace,
                work,
                answer,
            } => {
                let run = self.run(run, trace.as_deref(), work);
                self.with(|(_, answers)| answers.insert(run.run, digest(&answer)));
                self.record(What::RunStarted(run));
            }
            Event::Ended { run, end } => self.ended(self.base + run, end),
            Event::Truncated { run } => self.record(What::AnswerCut {
                run: self.base + run,
            }),
            Event::Refused { trace } => {
                let refused = self.run(u64::from(u32::MAX), trace.as_deref(), 0);
                self.record(What::RunRefused(refused));
            }
            Event::Crashed { incarnation } => {
                self.record(What::EndpointLost {
                    endpoint: self.entry.name.clone(),
                    incarnation,
                });
                self.tap.list.remove(&self.entry.name);
            }
            Event::Restarted { incarnation } => self.joined(incarnation),
        }
    }

    fn joined(&self, incarnation: Incarnation) {
        self.with(|(life, _)| *life = incarnation);
        self.record(What::EndpointJoined {
            endpoint: self.entry.name.clone(),
            incarnation,
            service: self.entry.service.clone().unwrap_or_default(),
        });
        self.tap.list.set(Entry {
            incarnation,
            ..self.entry.clone()
        });
    }

    fn run(&self, run: u64, trace: Option<&str>, work: u64) -> event::Run {
        event::Run {
            run: self.base + run,
            call: call(trace),
            endpoint: self.entry.name.clone(),
            incarnation: self.with(|(life, _)| *life),
            work,
        }
    }

    fn ended(&self, run: RunId, end: End) {
        let answer = self.with(|(_, answers)| answers.remove(&run));
        let end = match end {
            End::Completed => event::End::Whole,
            End::Abandoned => event::End::Abandoned,
            End::Interrupted => event::End::Cut,
        };
        self.record(What::RunEnded(event::RunEnd { run, end, answer }));
    }

    fn record(&self, what: What) {
        self.tap.recorder.record(what);
    }

    fn with<T>(&self, call: impl FnOnce(&mut (Incarnation, BTreeMap<RunId, String>)) -> T) -> T {
        // Nothing that holds the lock panics half-way through a change.
        call(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

// The caller puts its call's number into the trace id. A request that comes
// without one is of call 0, which nobody sends, and so is found.
fn call(trace: Option<&str>) -> CallId {
    trace
        .and_then(|trace| trace.split('-').nth(1))
        .and_then(|id| u64::from_str_radix(id, 16).ok())
        .unwrap_or(0)
}

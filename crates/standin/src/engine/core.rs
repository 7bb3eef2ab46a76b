//! State shared by the calls to one engine, and their dispatch.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use godwitpost_client::clock::Clock;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::runtime::Handle;
use tokio::time::sleep;

use super::cache::Cache;
use super::job::Job;
use super::load::Report;
use super::orders::{self, Order};
use super::slots::Slots;
use super::{End, Faults, Run, Settings};
use crate::answer::{self, Answer};
use crate::faults::{self, lock};
use crate::observe::{self, Event, ObserverSlot};
use crate::serve::{Body, Switch};

/// One engine; clones share its state.
#[derive(Clone, Debug)]
pub(super) struct Core {
    pub(super) clock: Clock,
    pub(super) settings: Arc<Settings>,
    pub(super) faults: faults::Handle<Faults>,
    pub(super) state: Arc<Mutex<State>>,
    pub(super) observer: ObserverSlot,
    switch: Switch,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) incarnation: u64,
    pub(super) jobs: BTreeMap<String, Arc<Job>>,
    pub(super) runs: Vec<Run>,
    pub(super) cache: Cache,
    pub(super) slots: Slots,
    pub(super) orders: orders::State,
    // Recent reports, oldest first, to answer with a lag.
    pub(super) reports: VecDeque<Report>,
}

impl Core {
    pub(super) fn new(settings: Settings, faults: Faults) -> Self {
        let state = State {
            incarnation: settings.incarnation,
            jobs: BTreeMap::new(),
            runs: Vec::new(),
            cache: Cache::new(settings.cache_tokens),
            slots: Slots::new(settings.slots),
            orders: orders::State::new(settings.models.clone()),
            reports: VecDeque::new(),
        };
        Self {
            clock: Clock::start(),
            settings: Arc::new(settings),
            faults: faults::Handle::new(faults),
            state: Arc::new(Mutex::new(state)),
            observer: ObserverSlot::default(),
            switch: Switch::new(),
        }
    }

    pub(super) fn switch(&self) -> Switch {
        self.switch.clone()
    }

    pub(super) const fn faults(&self) -> &faults::Handle<Faults> {
        &self.faults
    }

    pub(super) fn incarnation(&self) -> u64 {
        lock(&self.state).incarnation
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        lock(&self.state).runs.clone()
    }

    pub(super) fn models(&self) -> BTreeSet<String> {
        lock(&self.state).orders.models.clone()
    }

    pub(super) fn orders(&self) -> Vec<Order> {
        lock(&self.state).orders.received.clone()
    }

    pub(super) async fn handle(self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (_, "/faults") => answer::faults(&self.faults, request).await,
            (&Method::POST, "/v1/chat/completions") => self.chat(request).await,
            (&Method::GET, "/v1/report") => Ok(self.report()),
            (&Method::GET, "/v1/cache-events") => Ok(self.cache_events(request.uri().query())),
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::POST, "/v1/kv/export") => self.export(request).await,
            (&Method::POST, "/v1/kv/import") => self.import(request).await,
            (&Method::GET, "/runs") => Ok(answer::json(StatusCode::OK, &self.runs())),
            (&Method::DELETE, path) => Ok(self.cancel(path)),
            _ => Ok(answer::not_found()),
        }
    }

    /// Ends a job and records its end in the run log.
    pub(super) fn end(&self, job: &Job, end: End) {
        let on_end = || {
            let run = job.number as u64;
            let end = match end {
                End::Finished => observe::End::Completed,
                End::Cancelled => observe::End::Abandoned,
                End::Crashed => observe::End::Interrupted,
            };
            self.observer.notify(Event::Ended { run, end });
        };
        if !job.end(end, on_end) {
            return;
        }
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let run = &mut state.runs[job.number];
        run.ended = Some(now);
        run.end = Some(end);
        drop(state);
        self.record_report();
    }

    /// Cancels a job without readers, unless the stream is resumed in time.
    pub(super) fn cancel_unless_resumed(&self, job: &Arc<Job>) {
        // While the runtime shuts down, readers are dropped outside of it, and
        // there is nothing left to cancel.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let core = self.clone();
        let job = Arc::clone(job);
        runtime.spawn(async move {
            sleep(core.settings.hold).await;
            if job.has_no_readers() {
                core.remove_job(&job);
                core.end(&job, End::Cancelled);
            }
        });
    }

    pub(super) fn crash(&self, down_for: Duration) {
        let (jobs, next) = {
            let mut state = lock(&self.state);
            let incarnation = state.incarnation;
            self.observer.notify(Event::Crashed { incarnation });
            state.incarnation += 1;
            state.cache = Cache::new(self.settings.cache_tokens);
            state.slots = Slots::new(self.settings.slots);
            state.reports.clear();
            (std::mem::take(&mut state.jobs), state.incarnation)
        };
        let observer = self.observer.clone();
        let restarted = Event::Restarted { incarnation: next };
        self.switch
            .down_for(down_for, move || observer.notify(restarted));
        // This may abort the task that is running this function, so nothing that
        // must be done may follow.
        for job in jobs.values() {
            self.end(job, End::Crashed);
        }
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let Some(id) = path.strip_prefix("/v1/requests/") else {
            return answer::not_found();
        };
        let job = lock(&self.state).jobs.remove(id);
        if let Some(job) = job {
            self.end(&job, End::Cancelled);
        }
        answer::empty(StatusCode::NO_CONTENT)
    }
}

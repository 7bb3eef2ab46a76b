//! What the calls to one plain service share.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use godwitpost_client::clock::Clock;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::sleep;

use super::{Execution, Faults};
use crate::answer::{self, Answer};
use crate::digest;
use crate::endpoint::{leaving, marked, trace};
use crate::faults::{Handle, lock};
use crate::observe::{End, Event, Place};
use crate::serve::{Body, Broken, Switch};

/// One plain service; its clones are the same service.
#[derive(Clone, Debug)]
pub(super) struct Core {
    clock: Clock,
    faults: Handle<Faults>,
    switch: Switch,
    state: Arc<Mutex<State>>,
    observer: Place,
}

#[derive(Debug)]
struct State {
    incarnation: u64,
    running: u32,
    executions: Vec<Execution>,
}

impl State {
    fn last_answer(&self) -> String {
        let Some(last) = self.executions.last() else {
            return String::new();
        };
        let Execution {
            call, key, digest, ..
        } = last;
        let times = self.runs(call, key.as_deref());
        json!({ "call": call, "key": key, "digest": digest, "executions": times }).to_string()
    }

    fn runs(&self, call: &str, key: Option<&str>) -> usize {
        self.executions
            .iter()
            .filter(|one| one.call == call && one.key.as_deref() == key)
            .count()
    }
}

impl Core {
    pub(super) fn new(faults: Faults) -> Self {
        Self {
            clock: Clock::start(),
            faults: Handle::new(faults),
            switch: Switch::new(),
            state: Arc::new(Mutex::new(State {
                incarnation: 1,
                running: 0,
                executions: Vec::new(),
            })),
            observer: Place::default(),
        }
    }

    pub(super) const fn faults(&self) -> &Handle<Faults> {
        &self.faults
    }

    pub(super) fn switch(&self) -> Switch {
        self.switch.clone()
    }

    pub(super) fn incarnation(&self) -> u64 {
        lock(&self.state).incarnation
    }

    pub(super) fn executions(&self) -> Vec<Execution> {
        lock(&self.state).executions.clone()
    }

    pub(super) fn runs(&self, call: &str, key: &str) -> usize {
        lock(&self.state).runs(call, Some(key))
    }

    pub(super) fn observe(&self, told: impl Fn(Event) + Send + Sync + 'static) {
        self.observer.set(told);
    }

    pub(super) async fn handle(self, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/faults" => answer::faults(&self.faults, request).await,
            "/v1/report" => Ok(self.report()),
            "/executions" => Ok(answer::json(StatusCode::OK, &self.executions())),
            _ => self.call(request).await,
        }
    }

    fn report(&self) -> Response<Body> {
        let state = lock(&self.state);
        let standing = if self.faults.get().leaving {
            "leaving"
        } else {
            "live"
        };
        answer::json(
            StatusCode::OK,
            &json!({
                "taken_ms": u64::try_from(self.clock.now().as_millis()).unwrap_or(u64::MAX),
                "incarnation": state.incarnation,
                "standing": standing,
                "requests": state.running,
                "work": state.running,
            }),
        )
    }

    async fn call(self, request: Request<Incoming>) -> Answer {
        let faults = self.faults.get();
        if faults.leaving {
            let trace = trace(request.headers());
            self.observer.tell(Event::Refused { trace });
            return Ok(leaving());
        }
        let (head, body) = request.into_parts();
        let body = answer::read(body).await?;
        if self.faults.hits(faults.refuse) {
            return Ok(answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused before execution; try again",
            ));
        }
        let call = format!("{} {}", head.method, head.uri.path());
        let header = |name| head.headers.get(name).and_then(|value| value.to_str().ok());
        let key = header("idempotency-key").map(str::to_owned);
        let request = header("x-request-id").map(str::to_owned);
        let execution = Execution {
            call,
            key,
            request,
            digest: digest::of(&body),
            started: self.clock.now(),
        };
        let (run, right) = self.begin(trace(&head.headers), execution);
        let mut running = Executing::new(&self, run);
        if marked(&body, faults.crash_marker.as_deref()) {
            running.end = End::Cut;
            self.crash(faults.down_for);
            return Err(Broken);
        }
        sleep(faults.slow).await;
        if self.faults.hits(faults.lose_answers) {
            running.end = End::Cut;
            return Err(Broken);
        }
        running.end = End::Whole;
        drop(running);
        Ok(answer::bytes(
            StatusCode::OK,
            "application/json",
            right.into(),
        ))
    }

    /// Notes an execution; returns its number and its right answer.
    fn begin(&self, trace: Option<String>, execution: Execution) -> (u64, String) {
        let mut state = lock(&self.state);
        state.executions.push(execution);
        let run = state.executions.len() as u64;
        let answer = state.last_answer();
        self.observer.tell(Event::Started {
            run,
            trace,
            work: 1,
            answer: answer.clone(),
        });
        (run, answer)
    }

    pub(super) fn crash(&self, down_for: Duration) {
        let incarnation = {
            let mut state = lock(&self.state);
            let incarnation = state.incarnation;
            self.observer.tell(Event::Lost { incarnation });
            state.incarnation += 1;
            state.incarnation
        };
        let observer = self.observer.clone();
        let joined = Event::Joined { incarnation };
        self.switch
            .down_for(down_for, move || observer.tell(joined));
    }
}

/// Counts an execution as running until it is dropped.
struct Executing {
    state: Arc<Mutex<State>>,
    observer: Place,
    run: u64,
    end: End,
}

impl Executing {
    fn new(core: &Core, run: u64) -> Self {
        let state = Arc::clone(&core.state);
        lock(&state).running += 1;
        Self {
            state,
            observer: core.observer.clone(),
            run,
            end: End::Abandoned,
        }
    }
}

impl Drop for Executing {
    fn drop(&mut self) {
        lock(&self.state).running -= 1;
        let (run, end) = (self.run, self.end);
        self.observer.tell(Event::Ended { run, end });
    }
}

//! State shared by the calls to one plain service, and their handling.

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
use crate::endpoint::{contains_marker, leaving_response, traceparent};
use crate::faults::{Handle, lock};
use crate::observe::{End, Event, ObserverSlot};
use crate::serve::{Body, ConnectionAborted, Switch};

/// One plain service; clones share its state.
#[derive(Clone, Debug)]
pub(super) struct Core {
    clock: Clock,
    faults: Handle<Faults>,
    switch: Switch,
    state: Arc<Mutex<State>>,
    observer: ObserverSlot,
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
            observer: ObserverSlot::default(),
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

    pub(super) fn observe(&self, callback: impl Fn(Event) + Send + Sync + 'static) {
        self.observer.set(callback);
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
            let trace = traceparent(request.headers());
            self.observer.notify(Event::Refused { trace });
            return Ok(leaving_response());
        }
        let (head, body) = request.into_parts();
        let body = answer::read(body).await?;
        if self.faults.occurs(faults.refuse) {
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
            digest: digest::body_digest(&body),
            started: self.clock.now(),
        };
        let (run, correct_answer) = self.record_start(traceparent(&head.headers), execution);
        let mut running = ExecutionGuard::new(&self, run);
        if contains_marker(&body, faults.crash_marker.as_deref()) {
            running.end = End::Interrupted;
            self.crash(faults.down_for);
            return Err(ConnectionAborted);
        }
        sleep(faults.slow).await;
        if self.faults.occurs(faults.lose_answers) {
            running.end = End::Interrupted;
            return Err(ConnectionAborted);
        }
        running.end = End::Completed;
        drop(running);
        let json = "application/json";
        let response = answer::bytes(StatusCode::OK, json, correct_answer.into());
        if self.faults.occurs(faults.close_delimited) {
            return Ok(answer::close_delimited(response));
        }
        Ok(response)
    }

    /// Records an execution; returns its number and its correct answer.
    fn record_start(&self, trace: Option<String>, execution: Execution) -> (u64, String) {
        let mut state = lock(&self.state);
        state.executions.push(execution);
        let run = state.executions.len() as u64;
        let answer = state.last_answer();
        self.observer.notify(Event::Started {
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
            self.observer.notify(Event::Crashed { incarnation });
            state.incarnation += 1;
            state.incarnation
        };
        let observer = self.observer.clone();
        let restarted = Event::Restarted { incarnation };
        self.switch
            .down_for(down_for, move || observer.notify(restarted));
    }
}

/// Counts an execution as running until dropped, then reports its end.
struct ExecutionGuard {
    state: Arc<Mutex<State>>,
    observer: ObserverSlot,
    run: u64,
    end: End,
}

impl ExecutionGuard {
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

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        lock(&self.state).running -= 1;
        let (run, end) = (self.run, self.end);
        self.observer.notify(Event::Ended { run, end });
    }
}

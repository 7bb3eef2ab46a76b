//! Chat completions: from the request to the generated events.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::{Instant, sleep, sleep_until};

use super::core::{Core, State};
use super::job::{Job, Reader};
use super::{End, Run, reply};
use crate::answer::{self, Answer};
use crate::digest;
use crate::endpoint::{contains_marker, leaving_response, model_not_loaded_response, traceparent};
use crate::faults::lock;
use crate::observe::Event;
use crate::serve::Body;

/// Bytes of a request's body per prompt token.
const BYTES_PER_TOKEN: usize = 4;
/// The priority of a request without `X-Priority`.
const DEFAULT_PRIORITY: u8 = 100;

#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
}

/// The work that a request requires.
struct Plan {
    prompt_tokens: u32,
    answer_tokens: u32,
    priority: u8,
    prefix: Option<String>,
    trace: Option<String>,
    crashes: bool,
}

impl Core {
    pub(super) async fn chat(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let id = self.request_id(&head.headers);
        if let Some(after) = number(&head.headers, "last-event-id") {
            return Ok(self.resume(&id, after));
        }
        let faults = self.faults.get();
        if faults.leaving {
            let trace = traceparent(&head.headers);
            self.observer.notify(Event::Refused { trace });
            return Ok(leaving_response());
        }
        let body = answer::read(body).await?;
        let chat: ChatRequest = match serde_json::from_slice(&body) {
            Ok(chat) => chat,
            Err(reason) => {
                return Ok(answer::error(StatusCode::BAD_REQUEST, &reason.to_string()));
            }
        };
        if !lock(&self.state).orders.serves(&chat.model) {
            return Ok(model_not_loaded_response());
        }
        if self.faults.occurs(faults.refuse) {
            return Ok(answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused before it ran; try again",
            ));
        }
        let plan = Plan {
            prompt_tokens: u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            answer_tokens: chat.max_tokens.unwrap_or(self.settings.answer_tokens),
            priority: number(&head.headers, "x-priority").unwrap_or(DEFAULT_PRIORITY),
            prefix: text(&head.headers, "x-prefix-key"),
            trace: traceparent(&head.headers),
            crashes: contains_marker(&body, faults.crash_marker.as_deref()),
        };
        let job = self.accept(id, &digest::body_digest(&body), &plan);
        let reader = Reader::new(self.clone(), Arc::clone(&job), 0);
        let task = tokio::spawn(self.clone().run(Arc::clone(&job), plan));
        job.set_task(task.abort_handle());
        let response = self.answer(reader, chat.stream).await?;
        Ok(self.with_drawn_framing(response))
    }

    fn request_id(&self, headers: &HeaderMap) -> String {
        text(headers, "x-request-id")
            .unwrap_or_else(|| format!("unnamed-{}", lock(&self.state).runs.len()))
    }

    fn resume(&self, id: &str, after: usize) -> Response<Body> {
        let job = lock(&self.state).jobs.get(id).cloned();
        match job {
            Some(job) => {
                let probability = if self.faults.get().truncate_once {
                    0.0
                } else {
                    self.faults.get().truncate
                };
                let response = self.stream(Reader::new(self.clone(), job, after), probability);
                self.with_drawn_framing(response)
            }
            None => answer::error(
                StatusCode::NOT_FOUND,
                "the stream is no longer held; send the request again",
            ),
        }
    }

    fn accept(&self, id: String, digest: &str, plan: &Plan) -> Arc<Job> {
        let crossed = self.faults.occurs(self.faults.get().cross);
        let mut state = lock(&self.state);
        let previous = state.runs.last().filter(|_| crossed);
        let (answer_id, answer_digest) = previous.map_or_else(
            || (id.clone(), digest.to_owned()),
            |run| (run.request.clone(), run.digest.clone()),
        );
        let work = u64::from(plan.prompt_tokens) + u64::from(plan.answer_tokens);
        let job = Arc::new(Job::new(state.runs.len(), answer_id, answer_digest, work));
        state.runs.push(Run {
            request: id.clone(),
            digest: digest.to_owned(),
            prompt_tokens: plan.prompt_tokens,
            cached_tokens: 0,
            started: None,
            ended: None,
            end: None,
        });
        state.jobs.insert(id, Arc::clone(&job));
        let cached = state.cached(plan);
        drop(state);
        self.observer.notify(Event::Started {
            run: job.number as u64,
            trace: plan.trace.clone(),
            work: work.saturating_sub(u64::from(cached)),
            answer: words(digest, 0, plan.answer_tokens),
        });
        self.record_report();
        job
    }

    async fn run(self, job: Arc<Job>, plan: Plan) {
        let slots = lock(&self.state).slots.clone();
        let slot = slots.acquire(plan.priority).await;
        let cached = self.record_start(&job, &plan);
        if plan.crashes {
            self.crash(self.faults.get().down_for);
            return;
        }
        let prefill = f64::from(plan.prompt_tokens - cached) / self.settings.prefill;
        sleep(self.faults.get().slow + Duration::from_secs_f64(prefill)).await;
        job.remaining_tokens
            .store(u64::from(plan.answer_tokens), Ordering::Relaxed);
        self.generate(&job, &plan).await;
        if let Some(prefix) = &plan.prefix {
            self.store(prefix, plan.prompt_tokens + plan.answer_tokens);
        }
        job.push(reply::last_event(
            &job,
            plan.prompt_tokens,
            plan.answer_tokens,
            cached,
        ));
        self.end(&job, End::Finished);
        drop(slot);
        // A caller that lost its connection just before the end may still resume.
        sleep(self.settings.hold).await;
        self.remove_job(&job);
    }

    fn record_start(&self, job: &Job, plan: &Plan) -> u32 {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let cached = state.cached(plan);
        let run = &mut state.runs[job.number];
        run.started = Some(now);
        run.cached_tokens = cached;
        cached
    }

    async fn generate(&self, job: &Job, plan: &Plan) {
        let step = self.settings.event_tokens.max(1);
        let mut due = Instant::now();
        let mut position = 0;
        while position < plan.answer_tokens {
            let until = plan.answer_tokens.min(position + step);
            let tokens = until - position;
            due += Duration::from_secs_f64(f64::from(tokens) / self.settings.decode);
            sleep_until(due).await;
            let words = words(&job.digest, position, until);
            job.push(reply::event(job, &words));
            job.remaining_tokens
                .fetch_sub(u64::from(tokens), Ordering::Relaxed);
            position = until;
        }
    }

    pub(super) fn remove_job(&self, job: &Arc<Job>) {
        let mut state = lock(&self.state);
        state.jobs.retain(|_, other| !Arc::ptr_eq(other, job));
    }
}

impl State {
    /// Returns how many prompt tokens are in the prefix cache.
    fn cached(&mut self, plan: &Plan) -> u32 {
        let prefix = plan.prefix.as_deref();
        let tokens = prefix.and_then(|prefix| self.cache.tokens(prefix));
        tokens.unwrap_or(0).min(plan.prompt_tokens)
    }
}

/// Returns the generated words from position `from` up to, not including, `until`.
fn words(digest: &str, from: u32, until: u32) -> String {
    (from..until)
        .map(|position| digest::word(digest, position))
        .collect()
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

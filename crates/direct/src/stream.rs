//! An answer that is passed on as it comes, and goes on elsewhere if it breaks.
//!
//! Events leave here whole: what came of an event when its endpoint crashed is
//! dropped, since the endpoint that goes on begins with the same event. Where
//! the route allows it, a stream that breaks or falls silent is asked for again
//! after its last whole event; the caller sees one answer with the first
//! endpoint's head. The broken connection is closed first, which stops the
//! first endpoint if it still runs. Whatever can't be mended is an error of
//! the body, upon which hyper aborts the caller's connection, so that nothing
//! cut ever looks whole.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{BoxError, Received};
use godwitpost_decide::resume::Progress;
use godwitpost_decide::resume::events::EventSplitter;
use http_body::{Body, Frame};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::attempt::{Failure, Next};
use crate::paths::StallDetector;
use crate::refusal::Reason;
use crate::relay::{BodyEnd, EndpointResponse, InFlightRequest, Job, dispatch};

/// How long a stream may be silent before it is asked for elsewhere. Engines
/// that are preempted or read a long prompt pause for some hundred
/// milliseconds; callers give up after two seconds at the earliest.
const SILENCE: Duration = Duration::from_millis(1_500);

/// What an endpoint did in the middle of a stream.
#[derive(Debug, displaydoc::Display)]
enum Cause {
    /// silent
    Silent,
    /// {0}
    Failed(BoxError),
}

/// Why a stream ended early.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum Broken {
    /// the time allowed was over in the middle of the answer
    Late,
    /// the endpoint broke off in the middle of the answer
    Cut,
    /// the endpoint that was to go on sent something else
    Astray,
}

impl std::error::Error for Broken {}

type Asking = Pin<Box<dyn Future<Output = (Box<Job>, Result<EndpointResponse, Reason>)> + Send>>;

enum State {
    Reading(Box<Reading>),
    Asking(Asking),
    Ended,
}

struct Reading {
    job: Box<Job>,
    body: Received,
    flight: InFlightRequest,
}

/// The body of such an answer.
pub(crate) struct Stream {
    state: State,
    // What was read before the head was passed on.
    first: Option<Bytes>,
    // Cuts and counts events where the stream may be resumed.
    events: Option<(EventSplitter, Progress)>,
    last: Instant,
    stall_detector: StallDetector,
    silence: Pin<Box<Sleep>>,
    deadline: Pin<Box<Sleep>>,
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream")
            .field("events", &self.events)
            .finish_non_exhaustive()
    }
}

type Step = Option<Result<Frame<Bytes>, BoxError>>;

impl Stream {
    pub(crate) fn new(
        job: Box<Job>,
        body: Received,
        flight: InFlightRequest,
        first: Bytes,
    ) -> Self {
        let resumable = job.kind().is_stream() && job.kind().idempotent();
        let now = Instant::now();
        Self {
            events: (resumable && first.is_empty()).then(Default::default),
            first: (!first.is_empty()).then_some(first),
            last: now,
            stall_detector: StallDetector::default(),
            silence: Box::pin(sleep_until(now + SILENCE)),
            deadline: Box::pin(sleep_until(job.until())),
            state: State::Reading(Box::new(Reading { job, body, flight })),
        }
    }

    // What is passed on of a frame; `None` if nothing is yet.
    fn take(&mut self, frame: Frame<Bytes>) -> Step {
        let now = Instant::now();
        if let State::Reading(reading) = &self.state {
            reading.flight.heard();
            if self.stall_detector.observe_event(now - self.last) {
                reading.flight.held_up();
            }
        }
        self.last = now;
        let Some((events, resume)) = &mut self.events else {
            return Some(Ok(frame));
        };
        let Ok(bytes) = frame.into_data() else {
            return None;
        };
        match events.push(bytes, resume) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => Some(Ok(Frame::data(bytes))),
            Err(astray) => Some(self.give_up(Broken::Astray, &astray.to_string())),
        }
    }

    fn give_up(&mut self, broken: Broken, cause: &str) -> Result<Frame<Bytes>, BoxError> {
        if let State::Reading(reading) = std::mem::replace(&mut self.state, State::Ended) {
            let Reading { job, flight, .. } = *reading;
            log::warn!(
                request:% = job.id(), endpoint:% = flight.name(), cause:% = cause;
                "stream broken off"
            );
            job.ended(BodyEnd::Broken);
        }
        Err(Box::new(broken))
    }

    // The end of the endpoint's answer.
    fn end(&mut self) -> Step {
        if let State::Reading(reading) = std::mem::replace(&mut self.state, State::Ended) {
            reading.job.ended(BodyEnd::Whole);
        }
        let rest = self
            .events
            .take()
            .map(|(mut events, _)| events.take_partial());
        rest.filter(|rest| !rest.is_empty())
            .map(|rest| Ok(Frame::data(rest)))
    }

    // The endpoint broke off or fell silent: ask another one, or give up.
    fn broken(&mut self, cause: &Cause) -> Option<BoxError> {
        let State::Reading(reading) = std::mem::replace(&mut self.state, State::Ended) else {
            return Some(Box::new(Broken::Cut));
        };
        let Reading {
            mut job,
            body,
            flight,
        } = *reading;
        // First of all: the endpoint stops when its connection closes.
        drop(body);
        flight.broke();
        if matches!(cause, Cause::Failed(_)) {
            flight.look(job.id(), job.digest());
        }
        let next = self.next(&mut job);
        log::warn!(
            request:% = job.id(), endpoint:% = flight.name(), cause:% = cause, after:? = next,
            left_ms:% = job.left().as_millis();
            "stream broke"
        );
        drop(flight);
        let Ok(after) = next else {
            job.ended(BodyEnd::Broken);
            return Some(Box::new(Broken::Cut));
        };
        job.shared().metrics.count_resumed_stream();
        self.state = State::Asking(Box::pin(async move {
            let sent = dispatch(&mut job, after).await;
            (job, sent)
        }));
        None
    }

    // The event after which the stream is to go on elsewhere.
    fn next(&mut self, job: &mut Job) -> Result<Option<u64>, Reason> {
        let (events, resume) = self.events.as_mut().ok_or(Reason::Broken)?;
        if resume.is_unnumbered() {
            return Err(Reason::Broken);
        }
        // The half of an event that came is dropped.
        drop(events.take_partial());
        if let Next::GiveUp(reason) = job.attempts_mut().record_failure(Failure::Lost) {
            return Err(reason);
        }
        let service = job.service();
        let now = godwitpost_client::clock::boot_time();
        let allowed = job.shared().budget().try_take(service, now);
        job.shared().metrics.count_repeat(allowed);
        if !allowed {
            return Err(Reason::Refused);
        }
        Ok(resume.begin_resume().or_else(|| job.after()))
    }

    fn answered(
        &mut self,
        job: Box<Job>,
        sent: Result<EndpointResponse, Reason>,
    ) -> Option<BoxError> {
        match sent {
            Ok(sent) if sent.head.status.is_success() => {
                log::info!(request:% = job.id(), endpoint:% = sent.flight.name(); "stream resumed");
                self.last = Instant::now();
                self.state = State::Reading(Box::new(Reading {
                    job,
                    body: sent.body,
                    flight: sent.flight,
                }));
                None
            }
            Ok(sent) => {
                log::warn!(
                    request:% = job.id(), endpoint:% = sent.flight.name(),
                    status = sent.head.status.as_u16();
                    "stream not resumed"
                );
                job.ended(BodyEnd::Broken);
                Some(Box::new(Broken::Cut))
            }
            Err(reason) => {
                log::warn!(request:% = job.id(), reason:% = reason.as_str(); "stream not resumed");
                job.ended(BodyEnd::Broken);
                Some(Box::new(Broken::Cut))
            }
        }
    }

    // Whether the stream has been silent for too long. The timer is set anew
    // only when it fires, not for each event.
    fn silent(&mut self, cx: &mut Context<'_>) -> bool {
        if self.events.is_none() {
            return false;
        }
        while self.silence.as_mut().poll(cx).is_ready() {
            let due = self.last + SILENCE;
            if due <= Instant::now() {
                return true;
            }
            self.silence.as_mut().reset(due);
        }
        false
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Step> {
        let this = &mut *self;
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if !matches!(this.state, State::Ended) && this.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(this.give_up(Broken::Late, "time over")));
        }
        loop {
            let error = match &mut this.state {
                State::Ended => return Poll::Ready(None),
                State::Asking(asking) => {
                    let (job, sent) = ready!(asking.as_mut().poll(cx));
                    let error = this.answered(job, sent);
                    this.silence.as_mut().reset(Instant::now() + SILENCE);
                    error
                }
                State::Reading(reading) => match Pin::new(&mut reading.body).poll_frame(cx) {
                    Poll::Pending if this.silent(cx) => this.broken(&Cause::Silent),
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(frame))) => match this.take(frame) {
                        None => None,
                        step => return Poll::Ready(step),
                    },
                    Poll::Ready(Some(Err(error))) => this.broken(&Cause::Failed(error.into())),
                    Poll::Ready(None) => return Poll::Ready(this.end()),
                },
            };
            if let Some(error) = error {
                this.state = State::Ended;
                return Poll::Ready(Some(Err(error)));
            }
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if let State::Reading(reading) = &self.state {
            reading.job.ended(BodyEnd::Left);
        }
    }
}

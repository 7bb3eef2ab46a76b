//! A streamed response that is relayed as it arrives and resumed elsewhere if it breaks.
//!
//! Only whole events are passed on: a partial event of a failed endpoint is dropped,
//! since the endpoint that takes over starts with the same event. Where the route allows
//! it, a stream that breaks or stalls is requested again after its last whole event. The
//! caller sees one response with the first endpoint's head. The broken connection is
//! closed first, which stops the first endpoint if it is still running. If a broken stream
//! can't be resumed, the body ends with an error, on which hyper aborts the caller's
//! connection, so a truncated response never looks complete. One that only stalls and can't
//! be resumed is read on.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::BoxError;
use godwitpost_decide::resume::events::EventSplitter;
use godwitpost_decide::resume::{Progress, ResumePoint};
use godwitpost_process::serve::Backlog;
use http_body::{Body, Frame};
use tokio::time::{Instant, Sleep, sleep_until};

use super::crash::record_answered_parts;
use super::payload::{Break, End, Part, Payload};
use super::timing::Timing;
use super::unread::{MIN_UNREAD, Pauses};
use super::{BodyEnd, EndpointResponse, InFlightRequest, Job, dispatch};
use crate::attempt::{Failure, Next};
use crate::paths::StallDetector;
use crate::refusal::Reason;
use crate::shared::Shared;
use crate::stats::Observation;

/// How long a stream may be silent before it is resumed elsewhere. Engines that are
/// preempted or read a long prompt pause for some hundred milliseconds; callers give up
/// after two seconds at the earliest.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

/// The interval at which a silent stream that may not be resumed asks again.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How an endpoint failed in the middle of a stream.
#[derive(Debug, displaydoc::Display)]
enum Interruption {
    /// silent
    Silent,
    /// {0}
    Failed(Break),
}

/// Why a stream ended early.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum StreamError {
    /// the deadline passed in the middle of the response
    DeadlineExceeded,
    /// the endpoint broke off in the middle of the response
    Truncated,
    /// the resumed stream did not continue after the last event
    UnexpectedEvent,
}

impl std::error::Error for StreamError {}

type Resumption =
    Pin<Box<dyn Future<Output = (Box<Job>, Result<EndpointResponse, Reason>)> + Send>>;

enum State {
    Reading(Box<Reading>),
    Resuming(Resumption),
    Ended,
}

struct Reading {
    job: Box<Job>,
    body: Payload,
    in_flight: InFlightRequest,
}

/// The body of a streamed response.
pub(crate) struct Stream {
    state: State,
    // Data that was buffered before the head was passed on.
    buffered: Option<Bytes>,
    // Whether the endpoint responded with a success.
    succeeded: bool,
    // Whether its answer was recorded as one that goes on for longer than a crash takes.
    outlasted_crash: bool,
    // Splits and counts events if the stream may be resumed.
    events: Option<(EventSplitter, Progress)>,
    last_event_at: Instant,
    backlog: Arc<Backlog>,
    // The pauses in reading the current endpoint's response, and those of endpoints before.
    pauses: Pauses,
    earlier_pauses: Duration,
    shared: Arc<Shared>,
    id: String,
    timing: Timing,
    stall_detector: StallDetector,
    // Events since the last stall or the start.
    unstalled_events: u32,
    silence_timer: Pin<Box<Sleep>>,
    // The last event before the silence that was logged.
    logged_silence: Option<Instant>,
    deadline_timer: Pin<Box<Sleep>>,
}

impl fmt::Debug for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Stream")
            .field("events", &self.events)
            .finish_non_exhaustive()
    }
}

type NextFrame = Option<Result<Frame<Bytes>, BoxError>>;

impl Stream {
    pub(crate) fn new(
        job: Box<Job>,
        body: Payload,
        in_flight: InFlightRequest,
        buffered: Bytes,
        succeeded: bool,
    ) -> Self {
        let resumable = job.kind().is_stream() && job.kind().idempotent();
        let now = Instant::now();
        Self {
            events: (resumable && buffered.is_empty()).then(Default::default),
            buffered: (!buffered.is_empty()).then_some(buffered),
            succeeded,
            outlasted_crash: false,
            last_event_at: now,
            backlog: Arc::clone(job.backlog()),
            pauses: Pauses::default(),
            earlier_pauses: Duration::ZERO,
            shared: Arc::clone(job.shared()),
            id: job.id().to_owned(),
            timing: Timing::default(),
            stall_detector: StallDetector::default(),
            unstalled_events: 0,
            silence_timer: Box::pin(sleep_until(now + MAX_SILENCE)),
            logged_silence: None,
            deadline_timer: Box::pin(sleep_until(job.timer_deadline())),
            state: State::Reading(Box::new(Reading {
                job,
                body,
                in_flight,
            })),
        }
    }

    // Returns what to pass on of a frame, or `None` if there is no whole event yet.
    fn accept_frame(&mut self, frame: Frame<Bytes>) -> NextFrame {
        let now = Instant::now();
        if let State::Reading(reading) = &self.state {
            reading.in_flight.record_data();
            if self.succeeded && !self.outlasted_crash && reading.in_flight.outlasted_crash() {
                self.outlasted_crash = true;
                record_answered_parts(&reading.in_flight, &reading.job);
            }
            let pause = now - self.last_event_at;
            self.timing.record_data(reading.job.age(), pause);
            self.unstalled_events = self.unstalled_events.saturating_add(1);
            if self.stall_detector.observe_event(pause) {
                reading
                    .in_flight
                    .record_events(std::mem::take(&mut self.unstalled_events));
                reading.in_flight.record_stall();
            }
        }
        self.last_event_at = now;
        let Some((events, progress)) = &mut self.events else {
            return Some(Ok(frame));
        };
        let Ok(bytes) = frame.into_data() else {
            return None;
        };
        match events.push(bytes, progress) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => {
                if let State::Reading(reading) = &mut self.state {
                    reading
                        .job
                        .record_first_event(reading.in_flight.registration());
                }
                Some(Ok(Frame::data(bytes)))
            }
            Err(error) => Some(self.abort(StreamError::UnexpectedEvent, &error.to_string())),
        }
    }

    fn abort(&mut self, reason: StreamError, cause: &str) -> Result<Frame<Bytes>, BoxError> {
        if let State::Reading(reading) = std::mem::replace(&mut self.state, State::Ended) {
            let Reading { job, in_flight, .. } = *reading;
            log::warn!(
                request:% = job.id(), endpoint:% = in_flight.name(), cause:% = cause;
                "stream aborted"
            );
            job.record_end(BodyEnd::Broken);
        }
        Err(Box::new(reason))
    }

    fn record_end(&self, end: &End) {
        if let State::Reading(reading) = &self.state {
            let endpoint = reading.in_flight.name();
            reading.job.record_payload_end(endpoint, &reading.body, end);
        }
    }

    // Handles the end of the endpoint's response.
    fn finish(&mut self) -> NextFrame {
        if let State::Reading(reading) = std::mem::replace(&mut self.state, State::Ended) {
            reading
                .in_flight
                .record_events(std::mem::take(&mut self.unstalled_events));
            reading.job.record_end(BodyEnd::Whole);
            if self.succeeded {
                if reading.job.kind().is_stream() {
                    self.timing.record_end(&reading.job, &reading.in_flight);
                }
                reading.in_flight.record_completed(&reading.job);
            }
        }
        let rest = self
            .events
            .take()
            .map(|(mut events, _)| events.take_partial());
        rest.filter(|rest| !rest.is_empty())
            .map(|rest| Ok(Frame::data(rest)))
    }

    // Resumes a silent stream elsewhere, if that is allowed. Otherwise its endpoint is read on: it
    // may only have paused.
    fn handle_silence(&mut self) -> Option<BoxError> {
        let State::Reading(reading) = &mut self.state else {
            return None;
        };
        let permit = permit_resumption(&mut self.events, &mut reading.job);
        if let Ok(point @ (ResumePoint::Start | ResumePoint::After(_))) = permit {
            return self.interrupt(&Interruption::Silent, Some(point));
        }
        if self.logged_silence != Some(self.last_event_at) {
            self.logged_silence = Some(self.last_event_at);
            log::info!(
                request:% = self.id, endpoint:% = reading.in_flight.name(), permit:? = permit;
                "stream is silent and can't be resumed; its endpoint is read on"
            );
        }
        let again_at = Instant::now() + PERMIT_RETRY_INTERVAL;
        self.silence_timer.as_mut().reset(again_at);
        None
    }

    // Handles a broken endpoint, or a silent one if the stream is permitted to go on elsewhere from
    // `permitted`: starts a resumption, or returns the error that ends the stream.
    fn interrupt(
        &mut self,
        cause: &Interruption,
        permitted: Option<ResumePoint>,
    ) -> Option<BoxError> {
        let State::Reading(reading) = std::mem::replace(&mut self.state, State::Ended) else {
            return Some(Box::new(StreamError::Truncated));
        };
        let Reading {
            mut job,
            body,
            in_flight,
        } = *reading;
        in_flight.record_events(std::mem::take(&mut self.unstalled_events));
        // Closes the connection first, which makes the endpoint stop.
        drop(body);
        let has_failed = matches!(cause, Interruption::Failed(_));
        // One that was seen to crash didn't only abort the response.
        let has_crashed = matches!(cause, Interruption::Failed(Break::Crashed));
        let has_left = matches!(cause, Interruption::Failed(Break::Left));
        if has_failed && !has_crashed && self.pauses.explain_abort(Instant::now()) {
            job.shared().metrics.streams().count_unread_abort();
        } else if !has_left {
            in_flight.record_failure(Observation::BrokenResponse);
            if has_failed {
                in_flight.check_for_crash(&job);
            }
        }
        let resume_point =
            permitted.map_or_else(|| permit_resumption(&mut self.events, &mut job), Ok);
        log::warn!(
            request:% = job.id(), endpoint:% = in_flight.name(), build:% = in_flight.build(),
            cause:% = cause, resume_point:? = resume_point,
            unread_ms:% = self.pauses.total(Instant::now()).as_millis(),
            left_ms:% = job.remaining().as_millis();
            "stream interrupted"
        );
        drop(in_flight);
        let last_event_id = match resume_point {
            Ok(ResumePoint::Start) => job.last_event_id(),
            Ok(ResumePoint::After(last)) => Some(last),
            Ok(ResumePoint::Unknown) | Err(_) => {
                job.record_end(BodyEnd::Broken);
                return Some(Box::new(StreamError::Truncated));
            }
        };
        job.shared().metrics.streams().count_resumed();
        self.state = State::Resuming(Box::pin(async move {
            let response = dispatch(&mut job, last_event_id).await;
            (job, response)
        }));
        None
    }

    fn handle_resumption(
        &mut self,
        job: Box<Job>,
        response: Result<EndpointResponse, Reason>,
    ) -> Option<BoxError> {
        match response {
            Ok(response) if response.head.status.is_success() => {
                log::info!(
                    request:% = job.id(), endpoint:% = response.in_flight.name(),
                    build:% = response.in_flight.build();
                    "stream resumed"
                );
                self.last_event_at = Instant::now();
                self.earlier_pauses += self.pauses.total(Instant::now());
                self.pauses = Pauses::default();
                self.state = State::Reading(Box::new(Reading {
                    job,
                    body: response.body,
                    in_flight: response.in_flight,
                }));
                None
            }
            Ok(response) => {
                log::warn!(
                    request:% = job.id(), endpoint:% = response.in_flight.name(),
                    status = response.head.status.as_u16();
                    "stream not resumed"
                );
                job.record_end(BodyEnd::Broken);
                Some(Box::new(StreamError::Truncated))
            }
            Err(reason) => {
                log::warn!(request:% = job.id(), reason:% = reason.as_str(); "stream not resumed");
                job.record_end(BodyEnd::Broken);
                Some(Box::new(StreamError::Truncated))
            }
        }
    }

    // Waits until the caller's connection has room for more. The time until then is no silence
    // of the endpoint.
    fn poll_room(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let now = Instant::now();
        if self.backlog.poll_room(cx).is_pending() {
            self.pauses.begin(now);
            self.set_held_back(true);
            return Poll::Pending;
        }
        if self.pauses.end(now) {
            self.last_event_at = now;
            self.set_held_back(false);
        }
        Poll::Ready(())
    }

    fn set_held_back(&mut self, is_held_back: bool) {
        if let State::Reading(reading) = &mut self.state {
            let job = &mut reading.job;
            job.admission(|admission| admission.set_held_back(is_held_back));
        }
    }

    // Returns whether the stream has been silent for too long. The timer is reset only
    // when it fires, not for each event.
    fn is_silent(&mut self, cx: &mut Context<'_>) -> bool {
        if self.events.is_none() {
            return false;
        }
        while self.silence_timer.as_mut().poll(cx).is_ready() {
            let due = self.last_event_at + MAX_SILENCE;
            if due <= Instant::now() {
                return true;
            }
            self.silence_timer.as_mut().reset(due);
        }
        false
    }
}

// Returns where to resume a stream at another endpoint, and counts it as sent again. Changes nothing
// if it can't go on.
fn permit_resumption(
    events: &mut Option<(EventSplitter, Progress)>,
    job: &mut Job,
) -> Result<ResumePoint, Reason> {
    let (events, progress) = events.as_mut().ok_or(Reason::Broken)?;
    let point = progress.resume_point();
    if point == ResumePoint::Unknown {
        return Ok(point);
    }
    let mut attempts = *job.attempts_mut();
    if let Next::GiveUp(reason) = attempts.record_failure(Failure::Lost) {
        return Err(reason);
    }
    let service = job.service();
    let now = godwitpost_client::clock::boot_time();
    let allowed = job.shared().budget().try_take(service, now);
    job.shared().metrics.count_repeat(allowed);
    if !allowed {
        return Err(Reason::Refused);
    }
    *job.attempts_mut() = attempts;
    drop(events.take_partial());
    progress.begin_resume(point);
    Ok(point)
}

impl Body for Stream {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<NextFrame> {
        let frame = ready!(self.poll_next(cx));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.backlog.record_given(bytes);
        }
        Poll::Ready(frame)
    }
}

impl Stream {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<NextFrame> {
        let this = self;
        if let Some(buffered) = this.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if !matches!(this.state, State::Ended) && this.deadline_timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(
                this.abort(StreamError::DeadlineExceeded, "deadline exceeded"),
            ));
        }
        if matches!(this.state, State::Reading(_)) {
            ready!(this.poll_room(cx));
        }
        loop {
            let error = match &mut this.state {
                State::Ended => return Poll::Ready(None),
                State::Resuming(resuming) => {
                    let (job, response) = ready!(resuming.as_mut().poll(cx));
                    let error = this.handle_resumption(job, response);
                    this.silence_timer
                        .as_mut()
                        .reset(Instant::now() + MAX_SILENCE);
                    error
                }
                State::Reading(reading) => match reading.body.poll_part(cx) {
                    Poll::Pending if this.is_silent(cx) => this.handle_silence(),
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Part::Frame(frame)) => match this.accept_frame(frame) {
                        None => None,
                        next_frame => return Poll::Ready(next_frame),
                    },
                    Poll::Ready(Part::End(end)) => {
                        this.record_end(&end);
                        match end {
                            End::Whole => return Poll::Ready(this.finish()),
                            End::Broken(cause) => {
                                this.interrupt(&Interruption::Failed(cause), None)
                            }
                        }
                    }
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
            reading.in_flight.record_events(self.unstalled_events);
            let is_unread = self.backlog.is_unread();
            let end = if is_unread {
                BodyEnd::Unread
            } else {
                BodyEnd::Left
            };
            reading.job.record_end(end);
        }
        let now = Instant::now();
        let unread = self.earlier_pauses + self.pauses.total(now);
        if unread >= MIN_UNREAD {
            self.shared.metrics.streams().count_slow_reader();
            log::info!(
                request:% = self.id, unread_ms:% = unread.as_millis();
                "response was held back since its caller read slowly"
            );
        }
    }
}

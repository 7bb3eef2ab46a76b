//! The body of an endpoint's response, and how it ended.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use godwitpost_client::connect::{Framing, ResponseBody};
use godwitpost_decide::resume::events::position::Position;
use http::HeaderMap;
use http::header::{CONTENT_TYPE, TRANSFER_ENCODING};
use http::response::Parts;
use http_body::{Body, Frame, SizeHint};

use super::crash::{is_live, judge_refusal};
use super::in_flight::InFlightRequest;
use super::witness::{Fate, LEAVING_SETTLING_TIME, SETTLING_TIME, Witness};
use crate::policy::Kind;
use crate::roster::Registration;
use crate::shared::Shared;

/// The media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// The next part of a body.
#[derive(Debug)]
pub(crate) enum Part {
    /// More of it.
    Frame(Frame<Bytes>),
    /// Its end.
    End(End),
}

/// How a body ended.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum End {
    /// whole
    Whole,
    /// {0}
    Broken(Break),
}

/// Why a body is not whole.
#[derive(Debug, displaydoc::Display)]
pub(crate) enum Break {
    /// {0}
    Connection(hyper::Error),
    /// the connection ended inside an event
    InsideEvent,
    /// the connection ended before the first event
    NoEvent,
    /// the connection ended before the request was written
    RequestUnread,
    /// the connection ended, and the endpoint crashed
    Crashed,
    /// the connection ended, and so did the endpoint, which was leaving
    Left,
}

impl std::error::Error for Break {}

/// A check of whether an endpoint accepts connections, and what it means if it doesn't.
type RefusalCheck = Pin<Box<dyn Future<Output = Refusal> + Send>>;

/// Whether an endpoint whose response has ended accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// It does, it can't be told, or only the path to it is cut.
    None,
    /// It doesn't, although it isn't leaving.
    Unexpected,
    /// It doesn't, and is leaving.
    Leaving,
}

/// The body of an endpoint's response.
pub(crate) struct Payload {
    body: ResponseBody,
    // Where an event stream ends; `None` for other bodies.
    position: Option<Position>,
    shared: Arc<Shared>,
    registration: Arc<Registration>,
    // For a body whose end only its connection marks.
    witness: Option<Witness>,
    fate: Option<Fate>,
    is_leaving: Option<bool>,
    refusal_check: Option<RefusalCheck>,
    refusal: Option<Refusal>,
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Payload")
            .field("body", &self.body)
            .field("position", &self.position)
            .finish_non_exhaustive()
    }
}

impl Payload {
    pub(super) fn new(
        body: ResponseBody,
        kind: Kind,
        head: &Parts,
        in_flight: &InFlightRequest,
    ) -> Self {
        let registration = Arc::clone(in_flight.registration());
        let has_visible_end = body.framing() == Framing::Delimited;
        Self {
            position: is_event_stream(kind, head).then(Position::default),
            body,
            shared: Arc::clone(in_flight.shared()),
            witness: (!has_visible_end).then(|| Witness::start(registration.endpoint.address)),
            fate: None,
            is_leaving: None,
            registration,
            refusal_check: None,
            refusal: None,
        }
    }

    pub(crate) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Part> {
        if self.refusal_check.is_none() {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    self.record_frame(&frame);
                    return Poll::Ready(Part::Frame(frame));
                }
                Some(Err(error)) => {
                    return Poll::Ready(Part::End(End::Broken(Break::Connection(error))));
                }
                None => {}
            }
        }
        self.poll_end(cx).map(Part::End)
    }

    /// Waits for the next part.
    pub(crate) async fn part(&mut self) -> Part {
        std::future::poll_fn(|cx| self.poll_part(cx)).await
    }

    pub(crate) const fn framing(&self) -> Framing {
        self.body.framing()
    }

    /// Returns whether the part that was read ends inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        let position = self.position.as_ref();
        position.is_some_and(|position| !position.is_between_events())
    }

    /// Returns the number of bytes that were read of an unfinished event.
    pub(crate) fn unfinished_bytes(&self) -> usize {
        self.position.as_ref().map_or(0, Position::unfinished_bytes)
    }

    pub(crate) fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    // Judges the end of a body that was read without an error.
    //
    // An endpoint that ends the connection without having read the request broke off. One that
    // answers early and is sound goes on reading.
    //
    // An event stream without a length, chunks or any event may come from an endpoint that
    // had nothing left to send or from one that crashed. It counts as broken: a stream that
    // is broken off can be resumed by its caller, one that looks whole is lost.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<End> {
        if self.framing() == Framing::Delimited {
            return Poll::Ready(End::Whole);
        }
        if self.body.ended_before_request() {
            return Poll::Ready(End::Broken(Break::RequestUnread));
        }
        match &self.position {
            Some(position) if !position.is_between_events() => {
                return Poll::Ready(End::Broken(Break::InsideEvent));
            }
            Some(position) if !position.has_event() => {
                return Poll::Ready(End::Broken(Break::NoEvent));
            }
            Some(_) | None => {}
        }
        let refusal = self.poll_refusal(cx);
        let is_leaving = self.is_leaving();
        let fate = ready!(self.poll_fate(is_leaving, cx));
        let refusal = ready!(refusal);
        Poll::Ready(match (fate, refusal) {
            (Fate::Ended, Refusal::None) if is_leaving => End::Broken(Break::Left),
            (_, Refusal::Unexpected) | (Fate::Ended, Refusal::None) => End::Broken(Break::Crashed),
            (Fate::Ended | Fate::Refuses | Fate::Unknown, Refusal::Leaving) => {
                End::Broken(Break::Left)
            }
            (Fate::Runs | Fate::Refuses | Fate::Unknown, Refusal::None)
            | (Fate::Runs, Refusal::Leaving) => End::Whole,
        })
    }

    // Returns whether the endpoint was leaving when the body ended.
    fn is_leaving(&mut self) -> bool {
        let (shared, registration) = (&self.shared, &self.registration);
        *self
            .is_leaving
            .get_or_insert_with(|| !is_live(shared, registration))
    }

    fn poll_fate(&mut self, is_leaving: bool, cx: &mut Context<'_>) -> Poll<Fate> {
        if let (None, Some(witness)) = (self.fate, &mut self.witness) {
            let settling_time = if is_leaving {
                LEAVING_SETTLING_TIME
            } else {
                SETTLING_TIME
            };
            self.fate = Some(ready!(witness.poll_fate(settling_time, cx)));
        }
        Poll::Ready(self.fate.unwrap_or(Fate::Unknown))
    }

    fn poll_refusal(&mut self, cx: &mut Context<'_>) -> Poll<Refusal> {
        if let Some(refusal) = self.refusal {
            return Poll::Ready(refusal);
        }
        let (shared, registration) = (&self.shared, &self.registration);
        let check = self.refusal_check.get_or_insert_with(|| {
            let (shared, registration) = (Arc::clone(shared), Arc::clone(registration));
            Box::pin(async move { judge_refusal(&shared, &registration).await })
        });
        let refusal = ready!(check.as_mut().poll(cx));
        self.refusal = Some(refusal);
        Poll::Ready(refusal)
    }

    fn record_frame(&mut self, frame: &Frame<Bytes>) {
        if let (Some(position), Some(bytes)) = (&mut self.position, frame.data_ref()) {
            position.advance(bytes);
        }
    }
}

// Some endpoints name no media type, so a success on the route of a stream counts as one
// unless it names another type.
fn is_event_stream(kind: Kind, head: &Parts) -> bool {
    let Some(value) = head.headers.get(CONTENT_TYPE) else {
        return kind.is_stream() && head.status.is_success();
    };
    let media_type = value.as_bytes().split(|byte| *byte == b';').next();
    media_type.is_some_and(|name| {
        name.trim_ascii()
            .eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
    })
}

/// Returns whether a body is in another transfer coding than `chunked`.
///
/// No request asks for one, and no reader of the body undoes it. A caller would get the
/// coded bytes, without the header that names the coding.
pub(super) fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let values = headers.get_all(TRANSFER_ENCODING).iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| !coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

#[cfg(test)]
mod tests;

//! An event stream that is resumed after its connection broke.
//!
//! A connection to an engine may break in the middle of a response while the
//! engine is healthy and still holds the stream. Without resuming, the caller's
//! connection would break too and a minute's work would be lost. Instead, the
//! rest is requested from the engine and appended after the last complete
//! event. [`Progress`] decides whether to reconnect and checks that the rest
//! continues the stream. If there is no rest, the caller gets the error.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use godwitpost_client::connect::{Body, BoxError};
use godwitpost_decide::resume::Progress;
use http_body::Frame;

use godwitpost_decide::resume::events::{EventSplitter, ends_with_end_marker};

/// An event stream that may be joined from several responses.
pub struct Splice<A, F> {
    state: State<F>,
    reconnect: A,
    events: EventSplitter,
    progress: Progress,
}

enum State<F> {
    Reading(Body),
    /// Waits for the rest, with the error for the caller if there is none.
    Reconnecting(Pin<Box<F>>, Option<BoxError>),
    Ended,
}

impl<A, F> Splice<A, F> {
    /// Starts with the body of a response. After a break, `reconnect` requests
    /// the rest, or returns `None` if the stream must not be resumed.
    pub fn new(body: Body, reconnect: A) -> Self {
        Self {
            state: State::Reading(body),
            reconnect,
            events: EventSplitter::default(),
            progress: Progress::default(),
        }
    }
}

type Step = Option<Result<Frame<Bytes>, BoxError>>;

impl<A, F> Splice<A, F>
where
    A: FnMut(&mut Progress) -> Option<F>,
{
    // Returns the part of a frame to forward now; `None` if there is none yet.
    fn process_frame(&mut self, frame: Frame<Bytes>) -> Step {
        let bytes = match frame.into_data() {
            Ok(bytes) => bytes,
            Err(trailers) => return Some(Ok(trailers)),
        };
        match self.events.push(bytes, &mut self.progress) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => Some(Ok(Frame::data(bytes))),
            Err(error) => {
                self.state = State::Ended;
                Some(Err(Box::new(error)))
            }
        }
    }

    fn finish_reconnect(&mut self, rest: Option<Body>, error: Option<BoxError>) -> Next {
        if let Some(body) = rest {
            self.state = State::Reading(body);
            return Next::Poll;
        }
        self.state = State::Ended;
        Next::Yield(error.map(Err))
    }

    // Handles the end of one response, with the error if it broke off.
    fn handle_end(&mut self, error: Option<BoxError>) -> Next {
        // The end marker may lack the empty line that ends an event.
        let rest = self.events.take_partial();
        if error.is_none() && ends_with_end_marker(&rest) {
            self.state = State::Ended;
            return Next::Yield(Some(Ok(Frame::data(rest))));
        }
        if let Some(pending) = (self.reconnect)(&mut self.progress) {
            self.state = State::Reconnecting(Box::pin(pending), error);
            return Next::Poll;
        }
        self.state = State::Ended;
        Next::Yield(error.map(Err))
    }
}

enum Next {
    Poll,
    Yield(Step),
}

impl<A, F> http_body::Body for Splice<A, F>
where
    A: FnMut(&mut Progress) -> Option<F> + Unpin,
    F: Future<Output = Option<Body>>,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Step> {
        let this = &mut *self;
        loop {
            let next = match &mut this.state {
                State::Ended => return Poll::Ready(None),
                State::Reconnecting(pending, error) => {
                    let rest = ready!(pending.as_mut().poll(cx));
                    let error = error.take();
                    this.finish_reconnect(rest, error)
                }
                State::Reading(body) => match ready!(Pin::new(body).poll_frame(cx)) {
                    Some(Ok(frame)) => match this.process_frame(frame) {
                        None => Next::Poll,
                        step => Next::Yield(step),
                    },
                    Some(Err(error)) => this.handle_end(Some(error)),
                    None if this.progress.is_done() => Next::Yield(None),
                    None => this.handle_end(None),
                },
            };
            if let Next::Yield(step) = next {
                return Poll::Ready(step);
            }
        }
    }
}

impl<A, F> fmt::Debug for Splice<A, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Splice")
            .field("events", &self.events)
            .field("resume", &self.progress)
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;

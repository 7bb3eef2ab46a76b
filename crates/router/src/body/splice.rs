//! An event stream that goes on after its connection broke.
//!
//! The failure: a connection to an engine breaks in the middle of a draft,
//! while the engine is well and still holds the stream. Without this the
//! caller's connection breaks too, and a minute's work is lost. Here the
//! engine is asked for the rest, which is joined on at the end of the last
//! whole event; [`Progress`] says whether, and checks the joint. If there is no
//! rest, the break is passed on as it came.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use godwitpost_client::connect::{Body, BoxError};
use godwitpost_decide::resume::Progress;
use http_body::Frame;

use godwitpost_decide::resume::events::{EventSplitter, ends_with_end_marker};

/// An event stream that may be joined from several answers.
pub struct Splice<A, F> {
    state: State<F>,
    again: A,
    events: EventSplitter,
    resume: Progress,
}

enum State<F> {
    Reading(Body),
    /// Waits for the rest; holds what to tell the caller if there is none.
    Asking(Pin<Box<F>>, Option<BoxError>),
    Ended,
}

impl<A, F> Splice<A, F> {
    /// Starts with an answer; `again` asks for the rest after a break, or
    /// says that nothing is to be asked.
    pub fn new(body: Body, again: A) -> Self {
        Self {
            state: State::Reading(body),
            again,
            events: EventSplitter::default(),
            resume: Progress::default(),
        }
    }
}

type Step = Option<Result<Frame<Bytes>, BoxError>>;

impl<A, F> Splice<A, F>
where
    A: FnMut(&mut Progress) -> Option<F>,
{
    // Returns what is passed on of a frame; `None` if nothing is yet.
    fn take(&mut self, frame: Frame<Bytes>) -> Step {
        let bytes = match frame.into_data() {
            Ok(bytes) => bytes,
            Err(trailers) => return Some(Ok(trailers)),
        };
        match self.events.push(bytes, &mut self.resume) {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => Some(Ok(Frame::data(bytes))),
            Err(astray) => {
                self.state = State::Ended;
                Some(Err(Box::new(astray)))
            }
        }
    }

    fn answered(&mut self, rest: Option<Body>, error: Option<BoxError>) -> Next {
        if let Some(body) = rest {
            self.state = State::Reading(body);
            return Next::Poll;
        }
        self.state = State::Ended;
        Next::Give(error.map(Err))
    }

    // The end or the break of one answer.
    fn over(&mut self, error: Option<BoxError>) -> Next {
        // The end mark may come without the empty line that ends an event.
        let rest = self.events.take_partial();
        if error.is_none() && ends_with_end_marker(&rest) {
            self.state = State::Ended;
            return Next::Give(Some(Ok(Frame::data(rest))));
        }
        if let Some(asking) = (self.again)(&mut self.resume) {
            self.state = State::Asking(Box::pin(asking), error);
            return Next::Poll;
        }
        self.state = State::Ended;
        Next::Give(error.map(Err))
    }
}

enum Next {
    Poll,
    Give(Step),
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
                State::Asking(asking, error) => {
                    let rest = ready!(asking.as_mut().poll(cx));
                    let error = error.take();
                    this.answered(rest, error)
                }
                State::Reading(body) => match ready!(Pin::new(body).poll_frame(cx)) {
                    Some(Ok(frame)) => match this.take(frame) {
                        None => Next::Poll,
                        step => Next::Give(step),
                    },
                    Some(Err(error)) => this.over(Some(error)),
                    None if this.resume.is_done() => Next::Give(None),
                    None => this.over(None),
                },
            };
            if let Next::Give(step) = next {
                return Poll::Ready(step);
            }
        }
    }
}

impl<A, F> fmt::Debug for Splice<A, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Splice")
            .field("events", &self.events)
            .field("resume", &self.resume)
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests;

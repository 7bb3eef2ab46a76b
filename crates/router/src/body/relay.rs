//! The guard of a relayed stream: it never looks whole when it isn't.
//!
//! The failure: an engine crashes in the middle of an answer. If the router
//! ended its own answer properly, the caller would take half a text for the
//! whole. So an error of the endpoint's body is passed on as an error, upon
//! which hyper aborts the caller's connection without the last chunk (or
//! resets the HTTP/2 stream). hyper itself notices a body shorter than its
//! `Content-Length` or without its last chunk; an event stream that ends
//! properly but without `data: [DONE]` is noticed here.
//!
//! How the stream ended is told exactly once, also when the body is dropped
//! half-way because the caller went away.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use godwitpost_client::connect::BoxError;
use http_body::{Frame, SizeHint};

/// How a relayed stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Whole.
    Complete,
    /// The endpoint broke off.
    Broken,
    /// The caller went away.
    Dropped,
}

/// What shows that a body is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDetection {
    /// Its length or last chunk.
    Framed,
    /// The end mark of an event stream.
    Marked,
    /// Nothing: it ends with its connection, whole or not.
    Unknown,
}

/// A relayed body that tells how it ended.
pub struct Relay<B, F: FnOnce(BodyEnd)> {
    body: B,
    events: Option<Tail>,
    ends: EndDetection,
    told: Option<F>,
}

/// A body that ended without a sign that it is whole.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("the endpoint's answer ended without its end mark, length or last chunk")]
pub struct Truncated;

impl std::error::Error for Truncated {}

impl<B, F: FnOnce(BodyEnd)> Relay<B, F> {
    /// Guards a body.
    pub fn new(body: B, ends: EndDetection, told: F) -> Self {
        Self {
            body,
            events: (ends == EndDetection::Marked).then(Tail::default),
            ends,
            told: Some(told),
        }
    }

    fn tell(&mut self, end: BodyEnd) {
        if let Some(told) = self.told.take() {
            told(end);
        }
    }

    fn end(&mut self) -> Option<Result<Frame<Bytes>, BoxError>> {
        let whole = match &self.events {
            Some(tail) => tail.done(),
            None => self.ends == EndDetection::Framed,
        };
        if !whole {
            self.tell(BodyEnd::Broken);
            return Some(Err(Box::new(Truncated)));
        }
        self.tell(BodyEnd::Complete);
        None
    }
}

impl<B, F> http_body::Body for Relay<B, F>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
    F: FnOnce(BodyEnd) + Unpin,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(this.end()),
            Poll::Ready(Some(Err(error))) => {
                this.tell(BodyEnd::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(tail), Some(bytes)) = (&mut this.events, frame.data_ref()) {
                    tail.push(bytes);
                }
                // A body with a length is never polled past its last byte, so
                // its end has to be told here.
                if this.ends == EndDetection::Framed && this.body.is_end_stream() {
                    this.tell(BodyEnd::Complete);
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ends == EndDetection::Framed && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B, F: FnOnce(BodyEnd)> fmt::Debug for Relay<B, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("ends", &self.ends)
            .finish_non_exhaustive()
    }
}

impl<B, F: FnOnce(BodyEnd)> Drop for Relay<B, F> {
    fn drop(&mut self) {
        self.tell(BodyEnd::Dropped);
    }
}

/// The end mark of an event stream, without white space.
const DONE: &[u8] = b"data:[DONE]";

/// The last bytes of an event stream, without white space.
///
/// White space differs between engines (`data: [DONE]\n\n`, `\r\n`), and the
/// mark may be split over frames.
#[derive(Debug, Default)]
struct Tail {
    last: Vec<u8>,
}

impl Tail {
    fn push(&mut self, bytes: &[u8]) {
        // Twice the mark leaves room for white space in between.
        const ENOUGH: usize = 4 * DONE.len();
        let start = bytes.len().saturating_sub(ENOUGH);
        let solid = bytes[start..].iter().filter(|b| !b.is_ascii_whitespace());
        self.last.extend(solid);
        let excess = self.last.len().saturating_sub(DONE.len());
        self.last.drain(..excess);
    }

    fn done(&self) -> bool {
        self.last == DONE
    }
}

#[cfg(test)]
mod tests;

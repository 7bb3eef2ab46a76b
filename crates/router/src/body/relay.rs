//! A relayed body that makes truncation visible to the caller.
//!
//! An engine may crash in the middle of a response. If the router ended its own
//! response properly, the caller would take a partial text for the complete
//! one. So an error of the endpoint's body is forwarded as an error, and hyper
//! aborts the caller's connection without the last chunk (or resets the HTTP/2
//! stream). hyper itself detects a body that is shorter than its
//! `Content-Length` or lacks its last chunk; an event stream that ends properly
//! but without `data: [DONE]` is detected here.
//!
//! The end of the stream is reported exactly once, also if the body is dropped
//! early because the caller disconnected.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use godwitpost_client::connect::BoxError;
use http_body::{Frame, SizeHint};

/// How a relayed body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body was relayed completely.
    Complete,
    /// The endpoint's response broke off.
    Broken,
    /// The caller disconnected.
    Dropped,
}

/// How the completeness of a body is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDetection {
    /// By its length or last chunk.
    Framed,
    /// By the end marker of an event stream.
    Marked,
    /// Not at all: the body ends when the connection closes, complete or not.
    Unknown,
}

/// A relayed body that reports how it ended.
pub struct Relay<B, F: FnOnce(BodyEnd)> {
    body: B,
    tail: Option<StreamTail>,
    end_detection: EndDetection,
    on_end: Option<F>,
}

/// The error of a body that ended before it was known to be complete.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("the endpoint's answer ended without its end mark, length or last chunk")]
pub struct Truncated;

impl std::error::Error for Truncated {}

impl<B, F: FnOnce(BodyEnd)> Relay<B, F> {
    /// Relays a body and calls `on_end` once when it ends or is dropped.
    pub fn new(body: B, end_detection: EndDetection, on_end: F) -> Self {
        Self {
            body,
            tail: (end_detection == EndDetection::Marked).then(StreamTail::default),
            end_detection,
            on_end: Some(on_end),
        }
    }

    fn report_end(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }

    fn finish(&mut self) -> Option<Result<Frame<Bytes>, BoxError>> {
        let is_complete = match &self.tail {
            Some(tail) => tail.ends_with_marker(),
            None => self.end_detection == EndDetection::Framed,
        };
        if !is_complete {
            self.report_end(BodyEnd::Broken);
            return Some(Err(Box::new(Truncated)));
        }
        self.report_end(BodyEnd::Complete);
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
            Poll::Ready(None) => Poll::Ready(this.finish()),
            Poll::Ready(Some(Err(error))) => {
                this.report_end(BodyEnd::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(tail), Some(bytes)) = (&mut this.tail, frame.data_ref()) {
                    tail.push(bytes);
                }
                // A body with a length is never polled past its last byte, so
                // its end has to be reported here.
                if this.end_detection == EndDetection::Framed && this.body.is_end_stream() {
                    this.report_end(BodyEnd::Complete);
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.end_detection == EndDetection::Framed && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B, F: FnOnce(BodyEnd)> fmt::Debug for Relay<B, F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay")
            .field("ends", &self.end_detection)
            .finish_non_exhaustive()
    }
}

impl<B, F: FnOnce(BodyEnd)> Drop for Relay<B, F> {
    fn drop(&mut self) {
        self.report_end(BodyEnd::Dropped);
    }
}

/// The end marker of an event stream, without white space.
const END_MARKER: &[u8] = b"data:[DONE]";

/// The last bytes of an event stream, without white space.
///
/// White space differs between engines (`data: [DONE]\n\n`, `\r\n`), and the
/// marker may be split across frames.
#[derive(Debug, Default)]
struct StreamTail {
    last: Vec<u8>,
}

impl StreamTail {
    fn push(&mut self, bytes: &[u8]) {
        // Four times the marker's length leaves room for white space in between.
        const MAX_SUFFIX_BYTES: usize = 4 * END_MARKER.len();
        let start = bytes.len().saturating_sub(MAX_SUFFIX_BYTES);
        let non_whitespace = bytes[start..].iter().filter(|b| !b.is_ascii_whitespace());
        self.last.extend(non_whitespace);
        let excess = self.last.len().saturating_sub(END_MARKER.len());
        self.last.drain(..excess);
    }

    fn ends_with_marker(&self) -> bool {
        self.last == END_MARKER
    }
}

#[cfg(test)]
mod tests;

//! A body whose first frame has already been read.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use godwitpost_client::connect::BoxError;
use http_body::Frame;

/// A frame and the rest of its body.
#[derive(Debug)]
pub struct Peeked<B> {
    first: Option<Frame<Bytes>>,
    rest: B,
}

impl<B> Peeked<B> {
    /// Returns a body that yields `first` before `rest`.
    pub const fn new(first: Frame<Bytes>, rest: B) -> Self {
        Self {
            first: Some(first),
            rest,
        }
    }
}

impl<B> http_body::Body for Peeked<B>
where
    B: http_body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => Pin::new(&mut self.rest).poll_frame(cx).map_err(Into::into),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }
}

//! Limits the time from the first byte of a request's head to its end.
//!
//! hyper limits the time from the end of one response to the end of the next head, so
//! it can't distinguish an idle connection from a slow head. A client that sends a
//! byte now and then could hold a connection and its buffers for as long as others
//! may be idle. Therefore this stream observes when bytes arrive: the first byte
//! outside a request starts a head, and the next request ends it.
//!
//! The stream also resets its connection where nothing else shows a client that a response
//! broke off.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::Version;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::unread::Writes;

/// Returns the time limit of a head; called for each head.
pub type HeadTimeout = Arc<dyn Fn() -> Duration + Send + Sync>;

/// The response to a head that took too long. Nothing else is being written, because
/// no request is open.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The requests of one connection.
#[derive(Debug, Default)]
pub(super) struct Requests {
    begun: AtomicU64,
    ended: AtomicU64,
    // Whether several may be open at once, as with HTTP/2. Received bytes then don't
    // show when a head starts.
    multiplexed: AtomicBool,
    // Whether the client speaks HTTP/1.0. It gets no chunks and takes an orderly close for
    // the end of a response.
    reads_to_close: AtomicBool,
    // Whether a response broke off.
    truncated: AtomicBool,
}

impl Requests {
    /// Records a request, which is open until the returned guard is dropped.
    pub(super) fn begin(self: &Arc<Self>, version: Version) -> OpenRequest {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.multiplexed
            .fetch_or(version == Version::HTTP_2, Ordering::Relaxed);
        self.reads_to_close
            .fetch_or(version == Version::HTTP_10, Ordering::Relaxed);
        OpenRequest(Arc::clone(self))
    }

    fn is_open(&self) -> bool {
        let ended = self.ended.load(Ordering::Relaxed);
        self.multiplexed.load(Ordering::Relaxed) || self.begun.load(Ordering::Relaxed) > ended
    }
}

/// An open request.
#[derive(Debug)]
pub(super) struct OpenRequest(Arc<Requests>);

impl OpenRequest {
    fn record_truncation(&self) {
        self.0.truncated.store(true, Ordering::Relaxed);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::Relaxed);
    }
}

/// A response body whose request is open until it is dropped.
pub(super) struct TrackedBody<B> {
    body: Pin<Box<B>>,
    open: OpenRequest,
}

impl<B> TrackedBody<B> {
    pub(super) fn new(body: B, open: OpenRequest) -> Self {
        Self {
            body: Box::pin(body),
            open,
        }
    }
}

impl<B: Body> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(self.body.as_mut().poll_frame(cx));
        if let Some(Err(_)) = &frame {
            self.open.record_truncation();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream that limits the time of request heads.
pub(super) struct HeadTimeoutStream {
    stream: TcpStream,
    requests: Arc<Requests>,
    head_timeout: Option<HeadTimeout>,
    // The number of requests at the start of the current head.
    head: Option<u64>,
    timer: Pin<Box<Sleep>>,
    writes: Writes,
    // Whether the connection is reset when it is dropped.
    resets: bool,
}

impl HeadTimeoutStream {
    pub(super) fn new(
        stream: TcpStream,
        requests: Arc<Requests>,
        head_timeout: Option<HeadTimeout>,
        writes: Writes,
    ) -> Self {
        Self {
            stream,
            requests,
            head_timeout,
            head: None,
            timer: Box::pin(sleep_until(Instant::now())),
            writes,
            resets: false,
        }
    }

    // Records that bytes arrived.
    fn record_bytes(&mut self) {
        let Some(head_timeout) = &self.head_timeout else {
            return;
        };
        if self.requests.is_open() {
            return;
        }
        let begun = self.requests.begun.load(Ordering::Relaxed);
        if self.head != Some(begun) {
            self.head = Some(begun);
            self.timer.as_mut().reset(Instant::now() + head_timeout());
        }
    }

    // Has the connection reset unless it is closed in order, also if the process is killed.
    // Called before a response is written.
    fn prepare_reset(&mut self) {
        if self.resets || !self.requests.reads_to_close.load(Ordering::Relaxed) {
            return;
        }
        self.resets = true;
        self.set_linger(Some(Duration::ZERO));
    }

    fn cancel_reset(&mut self) {
        if self.resets && !self.requests.truncated.load(Ordering::Relaxed) {
            self.resets = false;
            self.set_linger(None);
        }
    }

    // With a linger time of zero, closing the socket resets its connection.
    fn set_linger(&self, time: Option<Duration>) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(time) {
            log::warn!(error:% = error; "linger time not set; a client of HTTP/1.0 may take a truncated response for a whole one, or lose the end of a whole one");
        }
    }

    // Returns whether the current head has exceeded its time limit.
    fn head_timed_out(&mut self, cx: &mut Context<'_>) -> bool {
        let begun = self.requests.begun.load(Ordering::Relaxed);
        self.head == Some(begun)
            && !self.requests.is_open()
            && self.timer.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for HeadTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Pending if self.head_timed_out(cx) => {
                // Writes as much as fits; the connection ends either way.
                drop(self.stream.try_write(HEAD_TIMEOUT_RESPONSE));
                Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "head too slow")))
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(read) => {
                if buf.filled().len() > before {
                    self.record_bytes();
                }
                Poll::Ready(read)
            }
        }
    }
}

impl AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.prepare_reset();
        let this = &mut *self;
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.writes.record(written, &this.stream, cx)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.cancel_reset();
        if self.resets {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.prepare_reset();
        let this = &mut *self;
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.writes.record(written, &this.stream, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

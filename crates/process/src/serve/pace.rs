//! The time in which a request's head has to arrive once it has begun.
//!
//! hyper bounds the time from the end of one answer to the end of the next
//! head, and so takes a connection that rests for one whose head is slow. A
//! client that sends a byte now and then could hold a connection and its
//! buffers for as long as others may rest. So the connection itself looks at
//! when bytes come: the first one outside a request begins a head, and the
//! request that follows ends it.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// Returns the time in which a head has to arrive; asked anew for each.
pub type Within = Arc<dyn Fn() -> Duration + Send + Sync>;

/// What a client that was too slow is told. Nothing else is being written: no
/// request of its is open.
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The requests of one connection.
#[derive(Debug, Default)]
pub(super) struct Requests {
    begun: AtomicU64,
    ended: AtomicU64,
    // Whether several are open at once, as with HTTP/2: then bytes say nothing
    // of heads.
    mixed: AtomicBool,
}

impl Requests {
    /// Notes a request; it is open until what is returned is dropped.
    pub(super) fn begin(self: &Arc<Self>, mixed: bool) -> Open {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.mixed.fetch_or(mixed, Ordering::Relaxed);
        Open(Arc::clone(self))
    }

    fn is_open(&self) -> bool {
        let ended = self.ended.load(Ordering::Relaxed);
        self.mixed.load(Ordering::Relaxed) || self.begun.load(Ordering::Relaxed) > ended
    }
}

/// An open request.
#[derive(Debug)]
pub(super) struct Open(Arc<Requests>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::Relaxed);
    }
}

/// A body whose request is open until it ends.
pub(super) struct Answer<B> {
    body: Pin<Box<B>>,
    _open: Open,
}

impl<B> Answer<B> {
    pub(super) fn new(body: B, open: Open) -> Self {
        Self {
            body: Box::pin(body),
            _open: open,
        }
    }
}

impl<B: Body> Body for Answer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A connection whose heads have a limited time.
pub(super) struct Paced {
    stream: TcpStream,
    requests: Arc<Requests>,
    within: Option<Within>,
    // How many requests there had been when the head began that is on its way.
    head: Option<u64>,
    timer: Pin<Box<Sleep>>,
}

impl Paced {
    pub(super) fn new(stream: TcpStream, requests: Arc<Requests>, within: Option<Within>) -> Self {
        Self {
            stream,
            requests,
            within,
            head: None,
            timer: Box::pin(sleep_until(Instant::now())),
        }
    }

    // Notes bytes that came.
    fn came(&mut self) {
        let Some(within) = &self.within else { return };
        if self.requests.is_open() {
            return;
        }
        let begun = self.requests.begun.load(Ordering::Relaxed);
        if self.head != Some(begun) {
            self.head = Some(begun);
            self.timer.as_mut().reset(Instant::now() + within());
        }
    }

    // Whether a head is on its way for too long.
    fn late(&mut self, cx: &mut Context<'_>) -> bool {
        let begun = self.requests.begun.load(Ordering::Relaxed);
        self.head == Some(begun)
            && !self.requests.is_open()
            && self.timer.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for Paced {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Pending if self.late(cx) => {
                // As much of it as fits; the connection ends either way.
                drop(self.stream.try_write(TOO_SLOW));
                Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "head too slow")))
            }
            Poll::Pending => Poll::Pending,
            Poll::Ready(read) => {
                if buf.filled().len() > before {
                    self.came();
                }
                Poll::Ready(read)
            }
        }
    }
}

impl AsyncWrite for Paced {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

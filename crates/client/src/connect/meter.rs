//! Counts what connections cost on the wire.
//!
//! The control budget is in bytes with all headers, so it has to be counted
//! below HTTP, where the bytes pass, and not summed up from bodies.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// IPv4 and TCP headers with the time stamp option: 20, 20 and 12 bytes.
const PACKET: u64 = 52;

/// Headers of a read or write: its packet and the acknowledgement of it. A
/// large one takes several packets, at 4% of their bytes; what is counted here
/// is small.
const EXCHANGE: u64 = 2 * PACKET;

/// Opening and closing a connection: three packets and four.
const CONNECTION: u64 = 7 * PACKET;

/// The bytes of a connector's connections.
#[derive(Clone, Debug, Default)]
pub(super) struct Wire {
    bytes: Arc<AtomicU64>,
}

impl Wire {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(super) fn opened(&self) {
        self.bytes.fetch_add(CONNECTION, Ordering::Relaxed);
    }

    fn passed(&self, payload: usize) {
        if payload > 0 {
            let bytes = payload as u64 + EXCHANGE;
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

/// A TCP stream that counts what passes.
#[derive(Debug)]
pub(super) struct Metered {
    stream: TcpStream,
    wire: Wire,
}

impl Metered {
    pub(super) const fn new(stream: TcpStream, wire: Wire) -> Self {
        Self { stream, wire }
    }

    fn wrote(&self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.wire.passed(bytes);
        }
        written
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.wire.passed(buf.filled().len() - before);
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(written)
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
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

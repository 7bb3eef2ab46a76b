//! Counts the bytes that connections transfer.
//!
//! The budget for control traffic includes all headers, so bytes are counted
//! below HTTP, on the TCP stream, instead of summing up bodies.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::ack::AckTimeout;
use super::untaken::Untaken;
use super::unwritten::Unwritten;

/// Bytes of the IPv4 header (20), the TCP header (20) and the time stamp
/// option (12).
const PACKET_HEADER_BYTES: u64 = 52;

/// Header bytes of a read or write: one packet and its acknowledgement. A large
/// transfer takes several packets, whose headers add 4% to their bytes; the
/// transfers counted here are small.
const TRANSFER_OVERHEAD_BYTES: u64 = 2 * PACKET_HEADER_BYTES;

/// Header bytes of opening (three packets) and closing (four packets) a
/// connection.
const CONNECTION_OVERHEAD_BYTES: u64 = 7 * PACKET_HEADER_BYTES;

/// Counts the bytes that the connections of a connector transfer.
#[derive(Clone, Debug, Default)]
pub(super) struct TransferCounter {
    bytes: Arc<AtomicU64>,
}

impl TransferCounter {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    pub(super) fn record_open(&self) {
        self.bytes
            .fetch_add(CONNECTION_OVERHEAD_BYTES, Ordering::Relaxed);
    }

    fn record_transfer(&self, payload: usize) {
        if payload > 0 {
            let bytes = payload as u64 + TRANSFER_OVERHEAD_BYTES;
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }
}

/// A TCP stream that counts the bytes read and written.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    counter: TransferCounter,
    ack_timeout: Option<AckTimeout>,
    untaken: Untaken,
    unwritten: Unwritten,
}

impl MeteredStream {
    pub(super) fn new(
        stream: TcpStream,
        counter: TransferCounter,
        ack_timeout: Option<Duration>,
        untaken: Untaken,
        unwritten: Unwritten,
    ) -> Self {
        Self {
            stream,
            counter,
            ack_timeout: ack_timeout.map(AckTimeout::new),
            untaken,
            unwritten,
        }
    }

    fn record_write(
        &mut self,
        written: Poll<Result<usize>>,
        given: usize,
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize>> {
        self.unwritten.record(&written, given);
        if let Poll::Ready(Ok(bytes)) = written {
            self.counter.record_transfer(bytes);
            if let Some(ack_timeout) = &mut self.ack_timeout {
                ack_timeout.start(&self.stream, cx)?;
            }
        }
        written
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let this = &mut *self;
        if let Some(ack_timeout) = &mut this.ack_timeout {
            ack_timeout.poll_end(&this.stream, cx)?;
        }
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        self.counter.record_transfer(received);
        self.untaken.add(received)?;
        read
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written, buf.len(), cx)
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
        let given = bufs.iter().map(|buf| buf.len()).sum();
        self.record_write(written, given, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

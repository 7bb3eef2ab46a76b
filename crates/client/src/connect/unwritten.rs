//! Tells whether a request has bytes left that its connection did not take.
//!
//! A server may end its response before it has read the request. If the end of the connection
//! marks the end of the response, only the bytes that are left tell that the server did not stay
//! to read them.

use std::io::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Poll;

/// Whether the last write of a connection took less than it was given.
#[derive(Clone, Debug, Default)]
pub(super) struct Unwritten {
    is_left: Arc<AtomicBool>,
}

impl Unwritten {
    /// Records the result of writing this many bytes.
    pub(super) fn record(&self, written: &Poll<Result<usize>>, bytes: usize) {
        let is_left = !matches!(written, Poll::Ready(Ok(count)) if *count == bytes);
        self.is_left.store(is_left, Ordering::Relaxed);
    }

    /// Returns whether bytes are left.
    pub(super) fn is_left(&self) -> bool {
        self.is_left.load(Ordering::Relaxed)
    }
}

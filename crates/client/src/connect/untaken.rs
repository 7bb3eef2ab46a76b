//! Bounds what a connection receives while its reader gets nothing of it.
//!
//! A broken server may send bytes without end that are no response, or no end of one:
//! informational responses, digits of a chunk's size, headers. Each is valid so far and is
//! passed over, at the full speed of the link, for as long as the request may take.

use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The most bytes: a head and the body read ahead, both as large as a buffer, with as much
/// again to spare.
const MAX_UNTAKEN_BYTES: usize = 256 << 10;

/// The bytes received since the reader last got a head or a part of a body.
#[derive(Clone, Debug, Default)]
pub(super) struct Untaken {
    bytes: Arc<AtomicUsize>,
}

impl Untaken {
    /// Records that the reader got something, or that a request is sent.
    pub(super) fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Records received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if they are too many.
    pub(super) fn add(&self, bytes: usize) -> Result<(), Error> {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_UNTAKEN_BYTES {
            return Err(Error::new(
                ErrorKind::InvalidData,
                "more bytes than a response head may have; check what the server sends",
            ));
        }
        Ok(())
    }
}

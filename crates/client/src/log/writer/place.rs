//! Limits the records that a writer holds.

use super::{Error, Writer};

/// Reserves space for a record within the writer's limits until dropped.
pub(super) struct Reservation {
    writer: Writer,
    bytes: usize,
}

impl Reservation {
    pub(super) fn acquire(writer: &Writer, bytes: usize) -> Result<Self, Error> {
        let mut state = writer.lock();
        let settings = &writer.settings;
        if state.records >= settings.max_records || state.bytes + bytes > settings.max_bytes {
            return Err(Error::Full);
        }
        state.records += 1;
        state.bytes += bytes;
        Ok(Self {
            writer: writer.clone(),
            bytes,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.writer.lock();
        state.records -= 1;
        state.bytes -= self.bytes;
    }
}

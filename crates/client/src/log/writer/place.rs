//! The bounds on the records that a writer holds.

use super::{Error, Writer};

/// A record's place within the writer's bounds, free again when dropped.
pub(super) struct Place {
    writer: Writer,
    bytes: usize,
}

impl Place {
    pub(super) fn take(writer: &Writer, bytes: usize) -> Result<Self, Error> {
        let mut state = writer.lock();
        let settings = &writer.settings;
        if state.records >= settings.records || state.bytes + bytes > settings.bytes {
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

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.writer.lock();
        state.records -= 1;
        state.bytes -= self.bytes;
    }
}

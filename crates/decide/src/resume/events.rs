//! Splits frames into the complete events of a stream.
//!
//! A frame may end in the middle of an event. If the connection breaks there,
//! the first part must not reach the caller, because the resumed stream begins
//! with the same event. An unfinished event is therefore held back, up to a
//! limit. A stream is passed on unchanged from the point where it exceeds the
//! limit or ends its lines in a way that hides the end of an event.

pub mod position;

use super::{EventOrder, Progress};
use bytes::{Bytes, BytesMut};

/// Maximum size of an unfinished event that is held back, in bytes. This is
/// far above an event of one token, and 64 MiB for 1,024 streams that all
/// reach it.
const MAX_PARTIAL_EVENT: usize = 64 << 10;

/// A resumed stream does not continue where it broke off.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("the endpoint resumed its stream at another event than the next")]
pub struct OutOfSequence;

impl std::error::Error for OutOfSequence {}

/// Splits frames at the ends of events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Adds a frame and returns the bytes that may be passed on.
    ///
    /// # Errors
    ///
    /// Returns an error if a resumed stream does not continue where it broke
    /// off.
    pub fn push(&mut self, frame: Bytes, progress: &mut Progress) -> Result<Bytes, OutOfSequence> {
        let mut bytes = self.join(frame);
        if progress.is_unnumbered() {
            return Ok(bytes);
        }
        let complete = match scan(&bytes, progress) {
            Scan::Complete(complete) => complete,
            Scan::Unnumbered => return Ok(bytes),
            Scan::OutOfSequence => return Err(OutOfSequence),
        };
        let rest = bytes.split_off(complete);
        if rest.len() > MAX_PARTIAL_EVENT {
            return match progress.record_unbounded() {
                EventOrder::OutOfSequence => Err(OutOfSequence),
                EventOrder::Next | EventOrder::Unnumbered => {
                    self.partial.extend_from_slice(&bytes);
                    self.partial.extend_from_slice(&rest);
                    Ok(self.take_partial())
                }
            };
        }
        self.partial.extend_from_slice(&rest);
        Ok(bytes)
    }

    /// Takes the bytes of an unfinished event.
    #[must_use]
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn join(&mut self, frame: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return frame;
        }
        self.partial.extend_from_slice(&frame);
        self.take_partial()
    }
}

enum Scan {
    /// The events up to this offset are complete.
    Complete(usize),
    Unnumbered,
    OutOfSequence,
}

#[derive(Default)]
struct Event {
    number: Option<u64>,
    fields: bool,
    done: bool,
}

fn scan(bytes: &[u8], progress: &mut Progress) -> Scan {
    let mut complete = 0;
    let mut at = 0;
    let mut event = Event::default();
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        at += line.len();
        let Some(text) = line.strip_suffix(b"\n") else {
            break;
        };
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        // A lone carriage return may also end a line, but no known engine uses
        // it.
        if text.contains(&b'\r') {
            return scan_of(progress.record_unbounded());
        }
        if !text.is_empty() {
            event.add_line(text);
            continue;
        }
        match event.finish(progress) {
            EventOrder::Next => complete = at,
            order => return scan_of(order),
        }
        event = Event::default();
    }
    Scan::Complete(complete)
}

const fn scan_of(order: EventOrder) -> Scan {
    match order {
        EventOrder::OutOfSequence => Scan::OutOfSequence,
        EventOrder::Next | EventOrder::Unnumbered => Scan::Unnumbered,
    }
}

impl Event {
    fn add_line(&mut self, line: &[u8]) {
        let value = |name: &[u8]| line.strip_prefix(name).map(<[u8]>::trim_ascii);
        if let Some(id) = value(b"id:") {
            let text = str::from_utf8(id).ok();
            self.number = text.and_then(|text| text.parse().ok());
        }
        self.done |= is_end_marker(line);
        // A line that begins with a colon is a comment. It keeps the
        // connection alive and belongs to no event.
        self.fields |= !line.starts_with(b":");
    }

    fn finish(&self, progress: &mut Progress) -> EventOrder {
        if !self.fields {
            return EventOrder::Next;
        }
        if self.done && self.number.is_none() {
            progress.record_unnumbered_end();
            return EventOrder::Next;
        }
        let order = progress.record_event(self.number);
        if self.done {
            progress.record_end();
        }
        order
    }
}

fn is_end_marker(line: &[u8]) -> bool {
    let data = line.strip_prefix(b"data:");
    data.is_some_and(|data| data.trim_ascii() == b"[DONE]")
}

/// Returns whether the end marker is the last line of an unfinished event.
#[must_use]
pub fn ends_with_end_marker(bytes: &[u8]) -> bool {
    let lines = bytes.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines
        .rev()
        .find(|line| !line.is_empty())
        .is_some_and(is_end_marker)
}

#[cfg(test)]
mod tests;

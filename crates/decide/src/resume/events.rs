//! Whole events of a stream, cut out of frames.
//!
//! A frame may end in the middle of an event. If the connection breaks there,
//! the half that came must not reach the caller, since the resumed stream
//! begins with the same event. So an unfinished event is held back, up to a
//! limit; a stream that exceeds it, or that ends its lines in a way in which
//! the end of an event can't be seen, is passed on as it comes from then on.

use super::{EventOrder, Progress};
use bytes::{Bytes, BytesMut};

/// Bytes of an unfinished event that are held: far above an event of one
/// token, and 64 MiB for 1,024 streams that all exceed it.
const HELD: usize = 64 << 10;

/// A resumed stream that doesn't go on where it broke off.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("the endpoint resumed its stream at another event than the next")]
pub struct OutOfSequence;

impl std::error::Error for OutOfSequence {}

/// Cuts frames at the ends of events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
}

impl EventSplitter {
    /// Takes a frame in; returns what may be passed on.
    ///
    /// # Errors
    ///
    /// Returns an error if a resumed stream doesn't go on where it broke off.
    pub fn push(&mut self, frame: Bytes, resume: &mut Progress) -> Result<Bytes, OutOfSequence> {
        let mut bytes = self.join(frame);
        if resume.is_unnumbered() {
            return Ok(bytes);
        }
        let whole = match scan(&bytes, resume) {
            Scan::Whole(whole) => whole,
            Scan::Unnumbered => return Ok(bytes),
            Scan::Astray => return Err(OutOfSequence),
        };
        let rest = bytes.split_off(whole);
        if rest.len() > HELD {
            return match resume.record_unbounded() {
                EventOrder::OutOfSequence => Err(OutOfSequence),
                EventOrder::Next | EventOrder::Unnumbered => {
                    self.held.extend_from_slice(&bytes);
                    self.held.extend_from_slice(&rest);
                    Ok(self.take_partial())
                }
            };
        }
        self.held.extend_from_slice(&rest);
        Ok(bytes)
    }

    /// Takes out what is held of an unfinished event.
    #[must_use]
    pub fn take_partial(&mut self) -> Bytes {
        self.held.split().freeze()
    }

    fn join(&mut self, frame: Bytes) -> Bytes {
        if self.held.is_empty() {
            return frame;
        }
        self.held.extend_from_slice(&frame);
        self.take_partial()
    }
}

enum Scan {
    /// Up to here the events are whole.
    Whole(usize),
    Unnumbered,
    Astray,
}

#[derive(Default)]
struct Event {
    number: Option<u64>,
    fields: bool,
    done: bool,
}

fn scan(bytes: &[u8], resume: &mut Progress) -> Scan {
    let mut whole = 0;
    let mut at = 0;
    let mut event = Event::default();
    for line in bytes.split_inclusive(|byte| *byte == b'\n') {
        at += line.len();
        let Some(text) = line.strip_suffix(b"\n") else {
            break;
        };
        let text = text.strip_suffix(b"\r").unwrap_or(text);
        // A lone carriage return may end a line, too; no engine known does so.
        if text.contains(&b'\r') {
            return odd(resume.record_unbounded());
        }
        if !text.is_empty() {
            event.field(text);
            continue;
        }
        match event.end(resume) {
            EventOrder::Next => whole = at,
            seen => return odd(seen),
        }
        event = Event::default();
    }
    Scan::Whole(whole)
}

const fn odd(seen: EventOrder) -> Scan {
    match seen {
        EventOrder::OutOfSequence => Scan::Astray,
        EventOrder::Next | EventOrder::Unnumbered => Scan::Unnumbered,
    }
}

impl Event {
    fn field(&mut self, line: &[u8]) {
        let value = |name: &[u8]| line.strip_prefix(name).map(<[u8]>::trim_ascii);
        if let Some(id) = value(b"id:") {
            let text = str::from_utf8(id).ok();
            self.number = text.and_then(|text| text.parse().ok());
        }
        self.done |= is_mark(line);
        // A line that begins with a colon is a comment, which keeps a
        // connection alive and belongs to no event.
        self.fields |= !line.starts_with(b":");
    }

    fn end(&self, resume: &mut Progress) -> EventOrder {
        if !self.fields {
            return EventOrder::Next;
        }
        if self.done && self.number.is_none() {
            resume.record_end();
            return EventOrder::Next;
        }
        let seen = resume.record_event(self.number);
        if self.done {
            resume.record_end();
        }
        seen
    }
}

fn is_mark(line: &[u8]) -> bool {
    let data = line.strip_prefix(b"data:");
    data.is_some_and(|data| data.trim_ascii() == b"[DONE]")
}

/// Returns whether the end mark is the last line of an unfinished event.
#[must_use]
pub fn ends_with_end_marker(bytes: &[u8]) -> bool {
    let lines = bytes.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    lines
        .rev()
        .find(|line| !line.is_empty())
        .is_some_and(is_mark)
}

#[cfg(test)]
mod tests;

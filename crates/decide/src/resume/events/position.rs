//! Whether an event stream ends between two events or inside one.
//!
//! A stream that has neither a length nor chunks ends when its connection is closed. Its
//! end then says nothing about whether the endpoint had finished, but an unfinished event
//! shows that it had not.

/// The end of a line and a blank line, with which most frames end.
const BLANK_LINE: &[u8] = b"\n\n";
const BLANK_LINE_CRLF: &[u8] = b"\r\n\r\n";

/// The position of the last byte of an event stream relative to its events.
///
/// Lines may end in CR, LF or CRLF, as in the HTML standard, section 9.2.6.
#[derive(Clone, Debug, Default)]
pub struct Position {
    line: Line,
    // Whether a field was completed since the last event.
    in_event: bool,
    has_event: bool,
    line_end: LineEnd,
    unfinished_bytes: usize,
}

/// How the lines of a stream end.
#[derive(Clone, Copy, Debug, Default)]
struct LineEnd {
    // The last byte was a CR, which an LF may follow.
    after_cr: bool,
    uses_crlf: bool,
}

/// What the current line holds so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl Position {
    /// Moves the position behind the next bytes of the stream.
    pub fn advance(&mut self, bytes: &[u8]) {
        if self.has_event && (bytes.ends_with(BLANK_LINE) || bytes.ends_with(BLANK_LINE_CRLF)) {
            self.finish_event();
            self.line_end.after_cr = false;
            return;
        }
        for byte in bytes {
            self.advance_byte(*byte);
        }
    }

    /// Returns whether no event is unfinished.
    ///
    /// A comment belongs to no event, but its line must be complete.
    #[must_use]
    pub const fn is_between_events(&self) -> bool {
        // After a CR, a stream whose lines end in CRLF lacks a byte.
        let lacks_lf = self.line_end.after_cr && self.line_end.uses_crlf;
        !self.in_event && matches!(self.line, Line::Empty) && !lacks_lf
    }

    /// Returns whether there was a complete event.
    #[must_use]
    pub const fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns the number of bytes since the last blank line.
    #[must_use]
    pub const fn unfinished_bytes(&self) -> usize {
        self.unfinished_bytes
    }

    fn advance_byte(&mut self, byte: u8) {
        let ends_crlf = byte == b'\n' && std::mem::take(&mut self.line_end.after_cr);
        if ends_crlf {
            self.line_end.uses_crlf = true;
            self.unfinished_bytes += usize::from(self.unfinished_bytes > 0);
            return;
        }
        self.unfinished_bytes += 1;
        self.line_end.after_cr = byte == b'\r';
        match byte {
            b'\r' | b'\n' => self.finish_line(),
            b':' if self.line == Line::Empty => self.line = Line::Comment,
            _ if self.line == Line::Empty => self.line = Line::Field,
            _ => {}
        }
    }

    fn finish_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => self.finish_event(),
            Line::Comment => {}
            Line::Field => self.in_event = true,
        }
    }

    fn finish_event(&mut self) {
        self.line = Line::Empty;
        self.has_event |= self.in_event;
        self.in_event = false;
        self.unfinished_bytes = 0;
    }
}

#[cfg(test)]
mod tests;

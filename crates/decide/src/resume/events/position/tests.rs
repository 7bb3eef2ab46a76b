use proptest::prelude::*;

use super::Position;

fn position_after(text: &[u8]) -> Position {
    let mut position = Position::default();
    position.advance(text);
    position
}

#[test]
fn a_stream_ends_between_events_only_after_a_blank_line() {
    for (text, is_between, unfinished) in [
        ("", true, 0),
        ("id: 1\ndata: a\n\n", true, 0),
        ("id: 1\r\ndata: a\r\n\r\n", true, 0),
        ("id: 1\rdata: a\r\r", true, 0),
        ("data: a\n\n\n", true, 0),
        ("data: a\n\nid: 2", false, 5),
        ("data: a\n\nid: 2\n", false, 6),
        ("data: a\r\n\r\nid: 2\r", false, 6),
        ("data: a\r\n\r\nid: 2\r\n\r", false, 0),
        ("data: a\n\n: alive", false, 7),
        ("data: a\n\n: alive\n", true, 8),
        ("data: a\n\n: alive\r\n", true, 9),
        ("data: a\n\ndata: b\n: alive\n", false, 16),
        ("data: [DONE]\n", false, 13),
    ] {
        let position = position_after(text.as_bytes());
        assert_eq!(position.is_between_events(), is_between, "{text:?}");
        assert_eq!(position.unfinished_bytes(), unfinished, "{text:?}");
    }
}

#[test]
fn comments_and_blank_lines_are_no_events() {
    for (text, has_event) in [
        ("", false),
        (": alive\n\n", false),
        ("\n\n\n", false),
        ("data: a\n", false),
        ("data: a\n\n", true),
        (": alive\n\ndata: a\r\r", true),
        ("data: a\n\nid: 2", true),
    ] {
        let position = position_after(text.as_bytes());
        assert_eq!(position.has_event(), has_event, "{text:?}");
    }
}

// Returns a line of an event stream without its end.
fn line() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["", "", ": alive", "id: 1", "data: a", "data"])
}

proptest! {
    /// Guards against a state that depends on where frames end.
    #[test]
    fn frames_may_end_anywhere(
        lines in prop::collection::vec(line(), 0..12),
        line_end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        ends in prop::collection::vec(0_usize..80, 0..8),
        cut in 0_usize..80,
    ) {
        let text: String = lines.iter().flat_map(|line| [*line, line_end]).collect();
        let text = &text.as_bytes()[..cut.min(text.len())];
        let mut ends: Vec<usize> = ends.into_iter().map(|end| end.min(text.len())).collect();
        ends.push(text.len());
        ends.sort_unstable();
        let mut framed = Position::default();
        let mut from = 0;
        for end in ends {
            framed.advance(&text[from..end]);
            from = end;
        }
        let mut by_byte = Position::default();
        for byte in text {
            by_byte.advance(&[*byte]);
        }
        prop_assert_eq!(framed.is_between_events(), by_byte.is_between_events());
        prop_assert_eq!(framed.has_event(), by_byte.has_event());
        prop_assert_eq!(framed.unfinished_bytes(), by_byte.unfinished_bytes());
    }
}

/// A fleet follows tens of thousands of streams.
#[test]
fn a_position_takes_two_words() {
    assert_eq!(size_of::<Position>(), 16);
}

use super::StreamTail;

fn ends_with_marker(frames: &[&str]) -> bool {
    let mut tail = StreamTail::default();
    for frame in frames {
        tail.push(frame.as_bytes());
    }
    tail.ends_with_marker()
}

#[test]
fn end_marker_is_found_across_frames_and_line_ends() {
    assert!(ends_with_marker(&["data: {}\n\n", "data: [DONE]\n\n"]));
    assert!(ends_with_marker(&[
        "data: {}\n\nda",
        "ta: [DO",
        "NE]",
        "\r\n\r\n"
    ]));
    assert!(ends_with_marker(&["id: 7\ndata:[DONE]\n"]));
}

// An engine that crashes between two events may close its connection as if
// the stream were complete; the caller would take a partial text for the
// complete one.
#[test]
fn stream_without_its_end_marker_is_incomplete() {
    assert!(!ends_with_marker(&[]));
    assert!(!ends_with_marker(&["data: {\"text\":\"half\"}\n\n"]));
    assert!(!ends_with_marker(&["data: [DONE]\n\n", "data: more\n\n"]));
    assert!(!ends_with_marker(&["data: [DONE"]));
}

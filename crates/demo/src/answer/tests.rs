use super::{of_body, of_text, streamed};

const STREAM: &str = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"north \"}}]}\n\n\
    id: 2\ndata: {\"choices\":[{\"delta\":{\"content\":\"face\"}}]}\n\n\
    data: [DONE]\n\n";

#[test]
fn deltas_are_joined_and_the_rest_is_passed_over() {
    assert_eq!(streamed(STREAM), "north face");
    assert_eq!(streamed("data: {\"choices\":[{\"del"), "");
}

#[test]
fn streamed_or_whole_the_same_text_is_the_same_answer() {
    let whole = r#"{"choices":[{"message":{"content":"north face"}}]}"#;
    assert_eq!(of_body(STREAM.as_bytes()), of_text("north face"));
    assert_eq!(of_body(whole.as_bytes()), of_text("north face"));
}

/// A stream that lost its end, or a piece, must not pass for the whole.
#[test]
fn a_stream_without_its_end_is_another_answer() {
    let cut = STREAM.replace("data: [DONE]\n\n", "");
    assert_ne!(of_body(cut.as_bytes()), of_text("north face"));
    let short = STREAM.replace("face", "");
    assert_ne!(of_body(short.as_bytes()), of_text("north face"));
}

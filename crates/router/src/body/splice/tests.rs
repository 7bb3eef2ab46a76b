use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::connect::{Body, BoxError};
use godwitpost_decide::entry::Budgets;
use godwitpost_decide::resume::{Next, Progress};
use godwitpost_types::request::Request;
use http_body::Frame;
use http_body_util::{BodyExt as _, StreamBody};

use super::Splice;

type Rest = Option<Body>;

/// Returns a body of these frames; `None` is a broken connection.
fn body(frames: &[Option<&'static str>]) -> Body {
    let frames: Vec<Result<Frame<Bytes>, BoxError>> = frames
        .iter()
        .map(|frame| match frame {
            Some(text) => Ok(Frame::data(Bytes::from_static(text.as_bytes()))),
            None => Err("broken".into()),
        })
        .collect();
    StreamBody::new(futures_util::stream::iter(frames)).boxed_unsync()
}

fn request() -> Request {
    Request {
        id: 1,
        version: 1,
        workspace: 1,
        service: 1,
        model: 1,
        class: 1,
        chat: 1,
        prompt_tokens: 1,
        answer_tokens: 1,
        deadline: Duration::from_secs(10),
        key: None,
        digest: [0; 16],
    }
}

/// Joins responses. Returns the text that the caller gets, whether it breaks
/// off, and the ids of the events after which the rest was requested.
async fn join(mut answers: VecDeque<Rest>) -> (String, bool, Vec<u64>) {
    let first = answers.pop_front().flatten().unwrap();
    let mut resumed_after = Vec::new();
    let mut budgets = Budgets::default();
    let mut splice = Splice::new(first, |progress: &mut Progress| {
        let now = Duration::from_secs(1);
        let Next::Reconnect { after } = progress.record_break(now, &request(), &mut budgets) else {
            return None;
        };
        resumed_after.push(after);
        Some(std::future::ready(answers.pop_front().flatten()))
    });
    let mut text = String::new();
    let mut broken = false;
    while let Some(frame) = splice.frame().await {
        match frame {
            Ok(frame) => text += str::from_utf8(frame.data_ref().unwrap()).unwrap(),
            Err(_) => broken = true,
        }
    }
    drop(splice);
    (text, broken, resumed_after)
}

const COMPLETE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n";

// A connection breaks in the middle of the second event, or is closed there
// as if the stream were complete. The caller must get each event once.
#[tokio::test]
async fn partial_event_is_replaced_by_the_complete_one() {
    for end in [
        &[Some("id: 1\ndata: a\n\nid: 2\nda"), None][..],
        &[Some("id: 1\ndata: a\n\nid: 2\nda")],
    ] {
        let rest = body(&[Some("id: 2\ndata: b\n\nda"), Some("ta: [DONE]\n\n")]);
        let joined = join([Some(body(end)), Some(rest)].into()).await;
        assert_eq!(joined, (COMPLETE.to_owned(), false, vec![1]));
    }
}

// The connection breaks within the end marker. No event is missing, but the
// caller still needs the marker to see that the stream is complete.
#[tokio::test]
async fn lost_end_marker_is_requested() {
    let cut = body(&[Some("id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DO"), None]);
    let rest = body(&[Some("data: [DONE]\n\n")]);
    let joined = join([Some(cut), Some(rest)].into()).await;
    assert_eq!(joined, (COMPLETE.to_owned(), false, vec![2]));
}

// The engine no longer holds the stream, or starts it again from the beginning.
// A partial stream must not look complete, nor begin twice.
#[tokio::test]
async fn stream_breaks_off_if_it_cannot_be_resumed() {
    let restarted = body(&[Some(COMPLETE)]);
    for rest in [None, Some(restarted)] {
        let cut = body(&[Some("id: 1\ndata: a\n\nid"), None]);
        let joined = join([Some(cut), rest].into()).await;
        assert_eq!(joined, ("id: 1\ndata: a\n\n".to_owned(), true, vec![1]));
    }
}

// Engines send the end marker with or without empty lines after it; the rest of
// a complete stream is never requested.
#[tokio::test]
async fn complete_stream_is_relayed_unchanged() {
    for end in ["data: [DONE]\n\n", "data:[DONE]", "id: 2\ndata: [DONE]\r\n"] {
        let text: &'static str = format!("id: 1\ndata: a\n\n{end}").leak();
        let joined = join([Some(body(&[Some(text)]))].into()).await;
        assert_eq!(joined, (text.to_owned(), false, vec![]));
    }
}

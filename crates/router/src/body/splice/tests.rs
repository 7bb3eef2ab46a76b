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

/// A body of these frames; `None` breaks it off.
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

/// Joins answers; returns what the caller gets, whether it is broken off, and
/// the events that were named.
async fn join(mut answers: VecDeque<Rest>) -> (String, bool, Vec<u64>) {
    let first = answers.pop_front().flatten().unwrap();
    let mut asked = Vec::new();
    let mut budgets = Budgets::default();
    let mut splice = Splice::new(first, |resume: &mut Progress| {
        let now = Duration::from_secs(1);
        let Next::Reconnect { after } = resume.record_break(now, &request(), &mut budgets) else {
            return None;
        };
        asked.push(after);
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
    (text, broken, asked)
}

const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n";

// A connection breaks in the middle of the second event, or is closed there
// as if the stream were complete. The editor must get each event once.
#[tokio::test]
async fn a_half_event_is_replaced_by_the_whole_one() {
    for end in [
        &[Some("id: 1\ndata: a\n\nid: 2\nda"), None][..],
        &[Some("id: 1\ndata: a\n\nid: 2\nda")],
    ] {
        let rest = body(&[Some("id: 2\ndata: b\n\nda"), Some("ta: [DONE]\n\n")]);
        let joined = join([Some(body(end)), Some(rest)].into()).await;
        assert_eq!(joined, (WHOLE.to_owned(), false, vec![1]));
    }
}

// The last bytes that break off are those of the end mark; there is no event
// left, and the editor still has to see that the draft is whole.
#[tokio::test]
async fn a_lost_end_mark_is_asked_for() {
    let cut = body(&[Some("id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DO"), None]);
    let rest = body(&[Some("data: [DONE]\n\n")]);
    let joined = join([Some(cut), Some(rest)].into()).await;
    assert_eq!(joined, (WHOLE.to_owned(), false, vec![2]));
}

// An engine has forgotten the stream, or starts it anew. Half a draft must
// not look whole, nor begin twice.
#[tokio::test]
async fn a_stream_without_its_rest_breaks_off() {
    let anew = body(&[Some(WHOLE)]);
    for rest in [None, Some(anew)] {
        let cut = body(&[Some("id: 1\ndata: a\n\nid"), None]);
        let joined = join([Some(cut), rest].into()).await;
        assert_eq!(joined, ("id: 1\ndata: a\n\n".to_owned(), true, vec![1]));
    }
}

// Engines end the mark with or without empty lines; a stream that came whole
// is never asked for again.
#[tokio::test]
async fn a_whole_stream_passes_as_it_is() {
    for end in ["data: [DONE]\n\n", "data:[DONE]", "id: 2\ndata: [DONE]\r\n"] {
        let text: &'static str = format!("id: 1\ndata: a\n\n{end}").leak();
        let joined = join([Some(body(&[Some(text)]))].into()).await;
        assert_eq!(joined, (text.to_owned(), false, vec![]));
    }
}

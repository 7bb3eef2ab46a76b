//! Responses of the engine, complete or streamed, with their faults.

use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt as _, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};

use super::End;
use super::core::Core;
use super::job::{Job, Part, Reader};
use crate::answer::{self, Answer};
use crate::serve::{Body, ConnectionAborted};

impl Core {
    pub(super) async fn answer(&self, mut reader: Reader, streamed: bool) -> Answer {
        if streamed {
            return Ok(self.stream(reader, self.faults.get().truncate));
        }
        if reader.wait_for_end().await != End::Finished {
            return Err(ConnectionAborted);
        }
        let answer = complete_answer(&reader.job);
        if !self.faults.occurs(self.faults.get().truncate) {
            return Ok(with_answer_id(
                answer::json(StatusCode::OK, &answer),
                &reader,
            ));
        }
        reader.notify_truncated();
        let text = answer.to_string();
        let half = Bytes::from(text[..text.len() / 2].to_owned());
        let mut parts = vec![Ok(Frame::data(half))];
        if !self.faults.get().truncate_cleanly {
            parts.push(Err(ConnectionAborted));
        }
        let body = StreamBody::new(stream::iter(parts)).boxed_unsync();
        let mut response = Response::new(body);
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        Ok(with_answer_id(response, &reader))
    }

    pub(super) fn with_drawn_framing(&self, response: Response<Body>) -> Response<Body> {
        if self.faults.occurs(self.faults.get().close_delimited) {
            answer::close_delimited(response)
        } else {
            response
        }
    }

    /// Streams a response, truncated with probability `truncate`.
    pub(super) fn stream(&self, reader: Reader, truncate: f64) -> Response<Body> {
        let cut = if !self.faults.occurs(truncate) {
            Cut::Never
        } else if let Some(left) = self.faults.get().truncate_after {
            let cleanly = self.faults.get().truncate_cleanly;
            Cut::After { left, cleanly }
        } else if self.faults.get().truncate_within {
            Cut::Within
        } else if self.faults.get().truncate_cleanly {
            Cut::Cleanly
        } else {
            Cut::Abruptly
        };
        let id = reader.job.id.clone();
        let parts = stream::unfold(Some((reader, cut)), next_frame);
        let mut response = Response::new(StreamBody::new(parts).boxed_unsync());
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, events);
        with_id(response, &id)
    }
}

/// Where a stream is truncated: after its first part, within its second, or after a number
/// of bytes.
#[derive(Clone, Copy)]
enum Cut {
    Never,
    Cleanly,
    Abruptly,
    Within,
    Half,
    After { left: usize, cleanly: bool },
    Now,
}

type Frames = Option<(Reader, Cut)>;

async fn next_frame(state: Frames) -> Option<(Result<Frame<Bytes>, ConnectionAborted>, Frames)> {
    let (mut reader, cut) = state?;
    if matches!(cut, Cut::Now) {
        // Lets the server write out the frames so far.
        tokio::task::yield_now().await;
        return Some((Err(ConnectionAborted), None));
    }
    match reader.next_part().await {
        Part::Events(events) => {
            let is_later = matches!(cut, Cut::After { left, .. } if events.len() <= left);
            if !is_later && !matches!(cut, Cut::Never | Cut::Within) {
                reader.notify_truncated();
            }
            let half = events.slice(..events.len() / 2);
            let (events, next) = match cut {
                Cut::Never => (events, Some((reader, Cut::Never))),
                Cut::Cleanly => (events, None),
                Cut::Within => (events, Some((reader, Cut::Half))),
                Cut::Half => (half, Some((reader, Cut::Now))),
                Cut::After { left, cleanly } => {
                    let part = events.slice(..left.min(events.len()));
                    let next = if is_later {
                        let left = left - events.len();
                        Some((reader, Cut::After { left, cleanly }))
                    } else {
                        (!cleanly).then_some((reader, Cut::Now))
                    };
                    (part, next)
                }
                Cut::Abruptly | Cut::Now => (events, Some((reader, Cut::Now))),
            };
            Some((Ok(Frame::data(events)), next))
        }
        Part::End(End::Finished) => {
            let done = Bytes::from_static(b"data: [DONE]\n\n");
            Some((Ok(Frame::data(done)), None))
        }
        Part::End(End::Cancelled | End::Crashed) => Some((Err(ConnectionAborted), None)),
    }
}

pub(super) fn event(job: &Job, words: &str) -> String {
    json!({
        "id": job.id,
        "object": "chat.completion.chunk",
        "digest": job.digest,
        "choices": [{ "index": 0, "delta": { "content": words }, "finish_reason": null }],
    })
    .to_string()
}

pub(super) fn last_event(job: &Job, prompt: u32, answer: u32, cached: u32) -> String {
    json!({
        "id": job.id,
        "object": "chat.completion.chunk",
        "digest": job.digest,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": answer,
            "prompt_tokens_details": { "cached_tokens": cached },
        },
    })
    .to_string()
}

/// Returns the response to a request without `stream`.
fn complete_answer(job: &Job) -> Value {
    let events: Vec<Value> = job
        .events()
        .iter()
        .filter_map(|event| serde_json::from_str(event).ok())
        .collect();
    let content: String = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    json!({
        "id": job.id,
        "object": "chat.completion",
        "digest": job.digest,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": "stop",
        }],
        "usage": events.last().map(|event| &event["usage"]),
    })
}

fn with_answer_id(response: Response<Body>, reader: &Reader) -> Response<Body> {
    with_id(response, &reader.job.id)
}

fn with_id(mut response: Response<Body>, id: &str) -> Response<Body> {
    if let Ok(id) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

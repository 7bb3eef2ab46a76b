//! The engine's prefix cache over HTTP: events, export and import.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::core::Core;
use crate::answer::{self, Answer};
use crate::faults::lock;
use crate::serve::Body;

/// A chat's context, as exported and imported.
#[derive(Deserialize, Serialize)]
struct Context {
    prefix: String,
    #[serde(default)]
    tokens: u32,
}

impl Core {
    pub(super) fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let from = answer::number(query, "from").unwrap_or(0);
        let until = self.clock.now().saturating_sub(self.faults.get().event_lag);
        let (first, next, events) = lock(&self.state).cache.events(from, until);
        answer::json(
            StatusCode::OK,
            &json!({ "first": first, "next": next.max(first), "events": events }),
        )
    }

    pub(super) async fn export(&self, request: Request<Incoming>) -> Answer {
        let body = answer::read(request.into_body()).await?;
        let Ok(mut context) = serde_json::from_slice::<Context>(&body) else {
            return Ok(answer::error(StatusCode::BAD_REQUEST, "name a prefix"));
        };
        match lock(&self.state).cache.tokens(&context.prefix) {
            Some(tokens) => {
                context.tokens = tokens;
                let bytes = serde_json::to_vec(&context).expect("plain data");
                let content_type = "application/octet-stream";
                let bytes = Bytes::from(bytes);
                Ok(answer::bytes(StatusCode::OK, content_type, bytes))
            }
            None => Ok(answer::error(
                StatusCode::NOT_FOUND,
                "the context is gone; send the whole prompt",
            )),
        }
    }

    pub(super) async fn import(&self, request: Request<Incoming>) -> Answer {
        let body = answer::read(request.into_body()).await?;
        let Ok(context) = serde_json::from_slice::<Context>(&body) else {
            return Ok(answer::error(
                StatusCode::BAD_REQUEST,
                "send what an export gave",
            ));
        };
        self.store(&context.prefix, context.tokens);
        Ok(answer::empty(StatusCode::NO_CONTENT))
    }

    /// Puts a context into the prefix cache.
    pub(super) fn store(&self, prefix: &str, tokens: u32) {
        let gaps = self.faults.get().event_gaps;
        let now = self.clock.now();
        let published = || !self.faults.occurs(gaps);
        lock(&self.state)
            .cache
            .store(prefix, tokens, now, published);
    }
}

//! What an answer says, apart from how it was carried.
//!
//! A stream that was resumed is carried in other pieces than its engine first
//! meant to send, and ids differ between runs. So answers are compared by
//! what they say: an engine's text with its end mark, a plain service's body.

use godwitpost_types::id;
use serde_json::Value;

#[cfg(test)]
mod tests;

/// Ends a whole engine's text; a stream without its end mark lacks it.
const END: &str = "[DONE]";

/// Returns the digest of what the whole answer of an engine says.
#[must_use]
pub fn of_text(text: &str) -> String {
    digest(&format!("{text}{END}"))
}

/// Returns the digest of what an answer says, as far as it came.
#[must_use]
pub fn of_body(body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    if body.starts_with("id:") || body.starts_with("data:") {
        let ended = body.lines().any(|line| line == "data: [DONE]");
        return digest(&format!(
            "{}{}",
            streamed(&body),
            if ended { END } else { "" }
        ));
    }
    match completion(&body) {
        Some(text) => of_text(&text),
        None => digest(&body),
    }
}

/// Returns what the model said in a stream of events, as far as it came.
#[must_use]
pub fn streamed(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| {
            let delta = event.pointer("/choices/0/delta/content")?;
            delta.as_str().map(str::to_owned)
        })
        .collect()
}

fn completion(body: &str) -> Option<String> {
    let body: Value = serde_json::from_str(body).ok()?;
    let content = body.pointer("/choices/0/message/content")?;
    content.as_str().map(str::to_owned)
}

fn digest(text: &str) -> String {
    format!("{:016x}", id::from_name(text))
}

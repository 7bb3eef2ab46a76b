//! The text of a streamed chat completion.

use serde_json::Value;

#[cfg(test)]
mod tests;

/// Returns what the model said in a stream of events, as far as it came.
pub(super) fn text(body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    body.lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .filter_map(|event| serde_json::from_str::<Value>(event).ok())
        .filter_map(|event| {
            let delta = event.pointer("/choices/0/delta/content")?;
            delta.as_str().map(str::to_owned)
        })
        .collect()
}

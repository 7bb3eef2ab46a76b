//! Parses the `wait` preference of RFC 7240.

use std::time::Duration;

use godwitpost_wire::header;
use http::HeaderMap;

/// The error of an invalid deadline.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
#[displaydoc("the deadline in Prefer is no number of seconds above 0; send Prefer: wait=30")]
pub(super) struct Error;

impl std::error::Error for Error {}

/// Returns how long the caller says it waits.
///
/// Other preferences are ignored, as the RFC requires.
pub(super) fn wait(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    for value in headers.get_all(header::PREFER) {
        let text = value.to_str().map_err(|_not_ascii| Error)?;
        for preference in text.split([',', ';']) {
            let (name, value) = preference.split_once('=').unwrap_or((preference, ""));
            if name.trim().eq_ignore_ascii_case("wait") {
                return parse_seconds(value).map(Some);
            }
        }
    }
    Ok(None)
}

fn parse_seconds(text: &str) -> Result<Duration, Error> {
    let text = text.trim().trim_matches('"');
    let seconds: u32 = text.parse().map_err(|_not_a_number| Error)?;
    if seconds == 0 {
        return Err(Error);
    }
    Ok(Duration::from_secs(u64::from(seconds)))
}

#[cfg(test)]
mod tests;

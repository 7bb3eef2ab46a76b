use std::time::Duration;

use http::{HeaderMap, HeaderValue};

use super::{Error, wait};

fn read(value: &'static str) -> Result<Option<Duration>, Error> {
    let mut headers = HeaderMap::new();
    headers.insert("prefer", HeaderValue::from_static(value));
    wait(&headers)
}

#[test]
fn the_wait_preference_is_found_among_others() {
    let half_a_minute = Ok(Some(Duration::from_secs(30)));
    assert_eq!(read("wait=30"), half_a_minute);
    assert_eq!(read("respond-async, Wait = 30"), half_a_minute);
    assert_eq!(read("return=minimal"), Ok(None));
}

#[test]
fn invalid_wait_is_refused() {
    for value in [
        "wait",
        "wait=",
        "wait=0",
        "wait=-1",
        "wait=1.5",
        "wait=soon",
    ] {
        assert_eq!(read(value), Err(Error), "{value}");
    }
}

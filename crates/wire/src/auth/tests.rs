use std::time::Duration;

use http::{HeaderMap, HeaderValue};

use super::{Error, Key, Message, REPLAY_WINDOW};
use crate::header;

const NOW: Duration = Duration::from_millis(1_764_712_800_123);
const PLACE: (&str, &str, &str) = ("POST", "/peer/v1/dispatch", "otaru-2");

fn sealed(key: &Key) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let message = Message {
        method: PLACE.0,
        path: PLACE.1,
        sender: "otaru-1",
        receiver: PLACE.2,
        body: b"order",
    };
    key.seal(&message, NOW, &mut headers);
    headers
}

fn key() -> Key {
    Key::new([7; 32])
}

#[test]
fn a_sealed_message_names_its_sender() {
    let headers = sealed(&key());
    let sender = key().check(PLACE, b"order", NOW + REPLAY_WINDOW, &headers);
    assert_eq!(sender, Ok("otaru-1"));
}

#[test]
fn another_body_path_receiver_or_key_is_forged() {
    let headers = sealed(&key());
    let check = |place, body: &[u8], key: &Key| key.check(place, body, NOW, &headers).err();
    assert_eq!(check(PLACE, b"orders", &key()), Some(Error::Forged));
    let path = ("POST", "/peer/v1/claim", "otaru-2");
    assert_eq!(check(path, b"order", &key()), Some(Error::Forged));
    let receiver = ("POST", "/peer/v1/dispatch", "otaru-3");
    assert_eq!(check(receiver, b"order", &key()), Some(Error::Forged));
    assert_eq!(
        check(PLACE, b"order", &Key::new([8; 32])),
        Some(Error::Forged)
    );
}

#[test]
fn a_recorded_message_is_stale_after_the_window() {
    let headers = sealed(&key());
    let late = NOW + REPLAY_WINDOW + Duration::from_millis(1);
    assert_eq!(
        key().check(PLACE, b"order", late, &headers),
        Err(Error::Stale)
    );
}

#[test]
fn a_seal_of_another_sender_is_forged() {
    let mut headers = sealed(&key());
    headers.insert(header::SENDER, HeaderValue::from_static("kushiro-1"));
    assert_eq!(
        key().check(PLACE, b"order", NOW, &headers),
        Err(Error::Forged)
    );
    headers.remove(header::SEAL);
    assert_eq!(
        key().check(PLACE, b"order", NOW, &headers),
        Err(Error::Unsealed)
    );
}

#[test]
fn a_key_is_never_printed() {
    assert_eq!(format!("{:?}", key()), "Key(redacted)");
}

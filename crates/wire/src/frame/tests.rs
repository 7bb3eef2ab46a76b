use bytes::Bytes;
use proptest::prelude::*;

use super::{Error, Frame};

proptest! {
    #[test]
    fn frames_round_trip(head: (u64, String), body: Vec<u8>) {
        let frame = Frame { head, body: Bytes::from(body) };
        prop_assert_eq!(Frame::decode(&frame.encode()).unwrap(), frame);
    }

    // A peer may send anything at all; reading it must never panic.
    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let bytes = Bytes::from(bytes);
        if let Ok(frame) = Frame::<(u64, String)>::decode(&bytes) {
            prop_assert!(frame.body.len() < bytes.len());
        }
    }
}

#[test]
fn truncated_head_is_an_error() {
    let bytes = Frame {
        head: (1_u64, "otaru".to_owned()),
        body: Bytes::new(),
    }
    .encode();
    let cut = bytes.slice(..bytes.len() - 1);
    assert_eq!(Frame::<(u64, String)>::decode(&cut), Err(Error::Short));
}

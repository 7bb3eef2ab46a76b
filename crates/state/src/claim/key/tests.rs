//! Keys without a valid issue time are refused.

use super::*;

const UUID: &str = "019ae0f0-8c00-7abc-8def-0123456789ab";

#[test]
fn version_7_uuid_contains_its_time() {
    let key = Key::parse(1, UUID, None).expect("well formed");
    assert_eq!(key.issued, Duration::from_millis(0x019a_e0f0_8c00));
}

#[test]
fn other_keys_need_the_issue_time_header() {
    assert_eq!(Key::parse(1, "order-7", None), Err(Error::MissingIssueTime));
    let version_4 = UUID.replace("-7abc", "-4abc");
    assert_eq!(
        Key::parse(1, &version_4, None),
        Err(Error::MissingIssueTime)
    );
    let key = Key::parse(1, "order-7", Some("1764712800")).expect("dated");
    assert_eq!(key.issued.as_secs(), 1_764_712_800);
    for bad in ["", "-5", "1e9", "+1764712800", "9999999999999999999"] {
        assert_eq!(
            Key::parse(1, "order-7", Some(bad)),
            Err(Error::InvalidIssueTime)
        );
    }
}

#[test]
fn digest_depends_on_workspace_text_and_time() {
    let key = |workspace, text, time| {
        Key::parse(workspace, text, Some(time))
            .expect("dated")
            .digest
    };
    let digests = [
        key(1, "a", "1764712800"),
        key(2, "a", "1764712800"),
        key(1, "b", "1764712800"),
        key(1, "a", "1764712801"),
    ];
    for (i, one) in digests.iter().enumerate() {
        assert!(!digests[..i].contains(one));
    }
}

#[test]
fn invalid_keys_are_refused() {
    assert_eq!(Key::parse(1, "", None), Err(Error::Empty));
    assert_eq!(Key::parse(1, &"x".repeat(256), None), Err(Error::TooLong));
    let wide = "0\u{e9}9ae0f0-8c00-7abc-8def-0123456789a";
    assert_eq!(Key::parse(1, wide, None), Err(Error::MissingIssueTime));
}

#[test]
fn issue_time_is_checked_at_both_ends_of_the_window() {
    let key = Key::parse(1, "a", Some("1000")).expect("dated");
    let window = Duration::from_mins(15);
    let check = |now| key.check_issue_time(Duration::from_secs(now), window);
    assert_eq!(check(969), Err(Error::Future));
    assert_eq!(check(970), Ok(()));
    assert_eq!(check(1900), Ok(()));
    assert_eq!(check(1901), Err(Error::Expired));
}

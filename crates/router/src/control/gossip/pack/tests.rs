use std::time::Duration;

use godwitpost_decide::quarantine::{Evidence, Kind};

#[test]
fn packed_evidence_unpacks_to_the_same() {
    for kind in [Kind::Crashed, Kind::Clean, Kind::Survived] {
        let evidence = Evidence {
            digest: *b"0123456789abcdef",
            endpoint: 7,
            incarnation: u64::MAX,
            kind,
            at: Duration::from_millis(1_764_712_800_123),
        };
        assert_eq!(
            super::unpack_evidence(&super::pack_evidence(&evidence)),
            evidence
        );
    }
}

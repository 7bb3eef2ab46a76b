//! Evidence about requests that crash endpoints.

use std::time::Duration;

use godwitpost_decide::hop::Hop;
use godwitpost_decide::owner::{Next, Owner};
use godwitpost_decide::quarantine::{
    Evidence, Kind, Table, Verdict, digest, identity, identity_of,
};
use godwitpost_decide::refusal::Reason;
use godwitpost_types::id;
use proptest::prelude::*;

use crate::fleet;

const DIGEST: [u8; 16] = [7; 16];
const NOW: Duration = Duration::from_secs(1_000);

fn evidence(endpoint: u64, kind: Kind, secs: u64) -> Evidence {
    Evidence {
        digest: DIGEST,
        endpoint,
        incarnation: 1,
        kind,
        at: Duration::from_secs(secs),
    }
}

fn verdict(records: &[Evidence]) -> Verdict {
    let mut table = Table::default();
    for record in records {
        table.insert(*record);
    }
    table.verdict(&DIGEST, NOW)
}

/// Guards against two requests that share evidence, since their digest leaves out a part of what
/// they are, or runs two parts together.
#[test]
fn requests_that_differ_have_other_digests() {
    let content = digest("GET", "/stock/7", b"two");
    let request = identity(Some(1), "shop.example", &content);
    let others = [
        identity(Some(2), "shop.example", &content),
        identity(None, "shop.example", &content),
        identity(Some(1), "desk.example", &content),
        identity(Some(1), "shop.example", &digest("POST", "/stock/7", b"two")),
        identity(Some(1), "shop.example", &digest("GET", "/stock/7t", b"wo")),
        identity(
            Some(1),
            "shop.example",
            &digest("GET", "/stock/7", b"three"),
        ),
    ];
    assert_eq!(request, identity(Some(1), "shop.example", &content));
    for other in others {
        assert_ne!(request, other);
    }
    // Instances of a version that kept evidence by the content alone.
    assert_ne!(request, content);
    assert_ne!(identity(None, "", &content), content);
}

/// Guards against an order whose claim is in the log, made by an earlier version, and which is
/// refused as another body under the same key.
#[test]
fn digest_of_the_content_never_changes() {
    let expected = 0xf2e5_1a9a_2dd2_3728_e57c_a87e_34ef_dcdb_u128;
    assert_eq!(
        u128::from_be_bytes(digest("POST", "/order/1", b"two books")),
        expected
    );
}

/// Guards against a workspace's request that is refused since another one's same request crashes
/// engines.
#[test]
fn quarantine_of_one_workspace_spares_another() {
    let view = fleet::view(0, 1, 4);
    let mut owner = Owner::new(view, fleet::policy());
    let crashing = fleet::request(1);
    let mut sound = fleet::request(1);
    sound.workspace = id::from_name("sounkyo");
    for endpoint in [1, 2] {
        owner.record_evidence(&[Evidence {
            digest: identity_of(&crashing),
            ..evidence(endpoint, Kind::Crashed, 900)
        }]);
    }
    let mut offer = |request| owner.offer(Duration::from_secs(950), request, &Hop::first(0, 1));
    let refused = offer(&crashing);
    assert!(
        matches!(&refused, Next::Refuse(refusal) if refusal.reason == Reason::Quarantined),
        "{refused:?}"
    );
    let placed = offer(&sound);
    assert!(matches!(placed, Next::Dispatch(_)), "{placed:?}");
}

// A partition cuts off an engine for seconds. Every request in flight on it
// breaks, is retried on the next engine, breaks there too, and is quarantined
// although nothing crashed. Both engines later report that they stayed alive.
#[test]
fn broken_connections_to_live_engines_do_not_quarantine() {
    let broken = [
        evidence(1, Kind::Crashed, 10),
        evidence(2, Kind::Crashed, 11),
    ];
    assert_eq!(verdict(&broken), Verdict::Quarantined);
    let mut table = Table::default();
    for record in broken {
        table.insert(record);
    }
    for endpoint in [1, 2] {
        assert_eq!(
            table
                .retract_crashes(endpoint, 1, Duration::from_secs(20))
                .len(),
            1
        );
    }
    assert_eq!(table.verdict(&DIGEST, NOW), Verdict::Clear);
}

// A harmless request is in flight on each of two engines that another request
// crashes, hours apart. It completed normally in between.
#[test]
fn clean_run_clears_earlier_crash() {
    let records = [
        evidence(1, Kind::Crashed, 10),
        evidence(3, Kind::Clean, 20),
        evidence(2, Kind::Crashed, 30),
    ];
    assert_eq!(verdict(&records), Verdict::Suspect);
}

proptest! {
    // Two routers receive the same evidence in a different order and with
    // duplicates. Different verdicts would let one router run a request that
    // the other has quarantined.
    #[test]
    fn verdict_does_not_depend_on_record_order(
        records in prop::collection::vec((1_u64..4, 0_u8..3, 0_u64..100), 1..12)
            .prop_map(|rows| {
                let kinds = [Kind::Crashed, Kind::Clean, Kind::Survived];
                rows.into_iter()
                    .map(|(endpoint, kind, secs)| evidence(endpoint, kinds[usize::from(kind)], secs))
                    .collect::<Vec<_>>()
            }),
        turn in 0_usize..12,
    ) {
        let mut other = records.clone();
        other.reverse();
        let turn = turn % other.len();
        other.rotate_left(turn);
        other.extend(records.first().copied());
        prop_assert_eq!(verdict(&records), verdict(&other));
    }
}

//! Evidence about requests that crash endpoints.

use std::time::Duration;

use godwitpost_decide::quarantine::{Evidence, Identity, Kind, Table, Verdict, digest};
use proptest::prelude::*;

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
    let request = Identity {
        workspace: Some(1),
        host: "shop.example",
        method: "GET",
        path: "/stock/7",
        body: b"two",
    };
    let others = [
        Identity {
            workspace: Some(2),
            ..request
        },
        Identity {
            workspace: None,
            ..request
        },
        Identity {
            host: "desk.example",
            ..request
        },
        Identity {
            method: "POST",
            ..request
        },
        Identity {
            path: "/stock/7t",
            body: b"wo",
            ..request
        },
        Identity {
            body: b"three",
            ..request
        },
    ];
    assert_eq!(digest(&request), digest(&request.clone()));
    for other in others {
        assert_ne!(digest(&request), digest(&other), "{other:?}");
    }
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

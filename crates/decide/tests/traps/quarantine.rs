//! Evidence on requests that crash endpoints.

use std::time::Duration;

use godwitpost_decide::quarantine::{Evidence, Kind, Table, Verdict};
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

// A partition cuts an engine off for seconds. Every draft in flight on it
// breaks, is sent again to the next engine, breaks there as well, and is
// convicted though nothing ever crashed. Both engines report later that they
// lived on.
#[test]
fn broken_connections_to_living_engines_convict_nobody() {
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

// A stock check is in flight on each engine that a poison draft crashes, weeks
// apart in luck and hours apart in time. It ran well in between.
#[test]
fn clean_run_clears_an_innocent() {
    let records = [
        evidence(1, Kind::Crashed, 10),
        evidence(3, Kind::Clean, 20),
        evidence(2, Kind::Crashed, 30),
    ];
    assert_eq!(verdict(&records), Verdict::Suspect);
}

proptest! {
    // Two routers hear the same evidence in another order and twice over, and
    // one lets a request run that the other holds to be convicted.
    #[test]
    fn verdict_knows_no_order(
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

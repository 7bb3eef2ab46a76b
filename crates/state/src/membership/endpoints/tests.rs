//! A leaving notice is final for its incarnation, whatever its source.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;

use super::*;

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(1000 + seconds)
}

fn endpoint(incarnation: Incarnation, standing: Standing) -> Endpoint {
    Endpoint {
        id: 7,
        name: "runner-7".to_owned(),
        incarnation,
        service: 1,
        models: BTreeSet::new(),
        zone: 1,
        region: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        standing,
    }
}

const fn report(incarnation: Incarnation, standing: Standing) -> Report {
    Report {
        taken: at(0),
        incarnation,
        standing,
        requests: 0,
        work: 0,
    }
}

fn standing(endpoints: &Endpoints) -> Option<Standing> {
    endpoints.get(7).map(|endpoint| endpoint.standing)
}

fn live() -> Endpoints {
    let mut endpoints = Endpoints::new();
    endpoints.apply_list(at(0), &[endpoint(1, Standing::Live)]);
    endpoints
}

/// Guards against new requests to an endpoint that is shutting down: it reports
/// that it is leaving, but the list still shows it as live.
#[test]
fn an_endpoint_that_reports_leaving_is_leaving_though_it_is_listed_live() {
    let mut endpoints = live();
    endpoints.apply_report(at(1), 7, &report(1, Standing::Leaving));
    endpoints.apply_list(at(2), &[endpoint(1, Standing::Live)]);
    assert_eq!(standing(&endpoints), Some(Standing::Leaving));
    let notice = LeavingNotice {
        id: 7,
        incarnation: 1,
    };
    assert_eq!(
        endpoints.tick(at(2)),
        [Change::Joined(7), Change::Left(notice)]
    );
}

/// The reverse case: the list shows the endpoint as leaving, but its outdated
/// report says live.
#[test]
fn an_endpoint_listed_as_leaving_is_leaving_though_it_reports_live() {
    let mut endpoints = live();
    endpoints.apply_list(at(1), &[endpoint(1, Standing::Leaving)]);
    endpoints.apply_report(at(2), 7, &report(1, Standing::Live));
    assert_eq!(standing(&endpoints), Some(Standing::Leaving));
}

/// Guards against new requests to a leaving endpoint in its first incarnation,
/// which the platform numbers zero: its notice looked like one that was known
/// already.
#[test]
fn the_first_incarnation_may_be_zero() {
    let mut endpoints = Endpoints::new();
    endpoints.apply_list(at(0), &[endpoint(0, Standing::Live)]);
    endpoints.apply_report(at(1), 7, &report(0, Standing::Leaving));
    assert_eq!(standing(&endpoints), Some(Standing::Leaving));
    let notice = LeavingNotice {
        id: 7,
        incarnation: 0,
    };
    assert_eq!(
        endpoints.tick(at(1)),
        [Change::Joined(7), Change::Left(notice)]
    );
}

/// Guards against a restarted endpoint that gets no work because its previous
/// incarnation was leaving.
#[test]
fn a_new_incarnation_at_the_same_address_is_live() {
    let mut endpoints = live();
    endpoints.apply_notice(LeavingNotice {
        id: 7,
        incarnation: 1,
    });
    endpoints.apply_report(at(1), 7, &report(2, Standing::Live));
    assert_eq!(standing(&endpoints), Some(Standing::Live));
    endpoints.apply_list(at(2), &[endpoint(1, Standing::Leaving)]);
    assert_eq!(standing(&endpoints), Some(Standing::Live), "the list lags");
}

/// Guards against a leaving endpoint that is treated as new: it drops off the
/// list and appears again in a stale list.
#[test]
fn a_leaving_notice_outlives_the_listing() {
    let mut endpoints = live();
    endpoints.apply_notice(LeavingNotice {
        id: 7,
        incarnation: 1,
    });
    let mut other = endpoint(1, Standing::Live);
    other.id = 8;
    endpoints.apply_list(at(1), &[other]);
    endpoints.tick(at(1) + MAX_UNLISTED);
    assert_eq!(standing(&endpoints), None);
    endpoints.apply_list(at(30), &[endpoint(1, Standing::Live)]);
    assert_eq!(standing(&endpoints), Some(Standing::Leaving));
}

/// Guards against a service that stops because the list is empty, or omits an
/// endpoint that still reports.
#[test]
fn an_endpoint_that_reports_is_retained() {
    let mut endpoints = live();
    endpoints.apply_list(at(1), &[]);
    let mut other = endpoint(1, Standing::Live);
    other.id = 8;
    endpoints.apply_list(at(2), &[other]);
    endpoints.apply_report(at(11), 7, &report(1, Standing::Live));
    endpoints.tick(at(13));
    assert_eq!(standing(&endpoints), Some(Standing::Live));
    endpoints.tick(at(21));
    assert_eq!(standing(&endpoints), None);
}

proptest! {
    #[test]
    fn leaving_is_final_whatever_the_order_of_notices(
        notices in prop::collection::vec((0..3_u8, 1..4_u64, any::<bool>()), 1..40),
    ) {
        let mut endpoints = live();
        let mut left = 0;
        let mut newest = 1;
        for (kind, incarnation, leaving) in notices {
            let standing_shown = if leaving { Standing::Leaving } else { Standing::Live };
            match kind {
                0 => endpoints.apply_list(at(0), &[endpoint(incarnation, standing_shown)]),
                1 => endpoints.apply_report(at(0), 7, &report(incarnation, standing_shown)),
                _ => endpoints.apply_notice(LeavingNotice { id: 7, incarnation }),
            }
            let old = kind < 2 && incarnation < newest;
            if kind < 2 {
                newest = newest.max(incarnation);
            }
            if (leaving || kind == 2) && !old {
                left = left.max(incarnation);
            }
            let wanted = if left >= newest { Standing::Leaving } else { Standing::Live };
            prop_assert_eq!(standing(&endpoints), Some(wanted));
        }
    }
}

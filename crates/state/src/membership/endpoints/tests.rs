//! Leaving signs hold for their incarnation, wherever they come from.

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

/// New drafts go to a runner that is shutting down: it says that it leaves,
/// the list still says live.
#[test]
fn an_endpoint_that_says_leaving_leaves_though_it_is_listed_live() {
    let mut endpoints = live();
    endpoints.apply_report(at(1), 7, &report(1, Standing::Leaving));
    endpoints.apply_list(at(2), &[endpoint(1, Standing::Live)]);
    assert_eq!(standing(&endpoints), Some(Standing::Leaving));
    let sign = LeavingNotice {
        id: 7,
        incarnation: 1,
    };
    assert_eq!(
        endpoints.tick(at(2)),
        [Change::Joined(7), Change::Left(sign)]
    );
}

/// The reverse: the list says leaving, and the runner's lagging report was
/// taken before it knew.
#[test]
fn an_endpoint_listed_as_leaving_leaves_though_it_reports_live() {
    let mut endpoints = live();
    endpoints.apply_list(at(1), &[endpoint(1, Standing::Leaving)]);
    endpoints.apply_report(at(2), 7, &report(1, Standing::Live));
    assert_eq!(standing(&endpoints), Some(Standing::Leaving));
}

/// New drafts go to a leaving runner in its first life, which the platform
/// numbers zero: its sign looked like one that was known already.
#[test]
fn the_first_incarnation_may_be_zero() {
    let mut endpoints = Endpoints::new();
    endpoints.apply_list(at(0), &[endpoint(0, Standing::Live)]);
    endpoints.apply_report(at(1), 7, &report(0, Standing::Leaving));
    assert_eq!(standing(&endpoints), Some(Standing::Leaving));
    let sign = LeavingNotice {
        id: 7,
        incarnation: 0,
    };
    assert_eq!(
        endpoints.tick(at(1)),
        [Change::Joined(7), Change::Left(sign)]
    );
}

/// A restarted runner gets no work, since its former life was leaving.
#[test]
fn a_new_incarnation_on_the_same_address_is_someone_else() {
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

/// A leaving runner that drops off the list and comes back on a stale answer
/// is taken for a new one.
#[test]
fn a_sign_outlives_the_list() {
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

/// A service stops because the list answers with nothing, or leaves out a
/// runner that still reports.
#[test]
fn an_endpoint_that_reports_is_kept() {
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
    fn leaving_is_sticky_whatever_comes(
        signs in prop::collection::vec((0..3_u8, 1..4_u64, any::<bool>()), 1..40),
    ) {
        let mut endpoints = live();
        let mut left = 0;
        let mut newest = 1;
        for (kind, incarnation, leaving) in signs {
            let said = if leaving { Standing::Leaving } else { Standing::Live };
            match kind {
                0 => endpoints.apply_list(at(0), &[endpoint(incarnation, said)]),
                1 => endpoints.apply_report(at(0), 7, &report(incarnation, said)),
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

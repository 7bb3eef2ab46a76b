//! The limits of a workspace across several instances.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_decide::limit::Limits;
use godwitpost_types::id;
use godwitpost_types::policy::Workspace;

use crate::fleet;

const INSTANCES: usize = 6;

fn workspace(rate: f64, concurrency: u32) -> Workspace {
    Workspace {
        rate,
        concurrency,
        ..fleet::policy().workspaces[&id::from_name("otaru")].clone()
    }
}

// Returns the number of requests admitted in each of `secs` seconds. `shares`
// is the number of requests per second that arrive at each instance. Demand is
// exchanged once a second.
fn admitted(workspace: &Workspace, shares: [u32; INSTANCES], secs: u64) -> Vec<u64> {
    let mut limits = vec![Limits::default(); INSTANCES];
    let mut seconds = Vec::new();
    for sec in 0..secs {
        let mut count = 0;
        for (limit, share) in limits.iter_mut().zip(shares) {
            for request in 0..share {
                let now = Duration::from_secs(100 + sec)
                    + Duration::from_secs(1).mul_f64(f64::from(request) / f64::from(share));
                if limit.admit(now, 1, workspace, INSTANCES).is_ok() {
                    count += 1;
                    limit.release(1);
                }
            }
        }
        exchange_demands(&mut limits, workspace, Duration::from_secs(101 + sec));
        seconds.push(count);
    }
    seconds
}

fn exchange_demands(limits: &mut [Limits], workspace: &Workspace, now: Duration) {
    let workspaces = BTreeMap::from([(1, workspace.clone())]);
    for from in 0..INSTANCES {
        let demands = limits[from].demands(now, &workspaces, INSTANCES);
        for to in (0..INSTANCES).filter(|to| *to != from) {
            limits[to].record_demands(now, from as u64, &demands);
        }
    }
}

// A workspace with a limit of 50 requests per second gets 300 if each of six
// routers grants it the whole limit. It gets 8 if all its callers use one
// connection to one router, which allows only a sixth.
#[test]
fn limit_holds_over_the_fleet_however_callers_spread() {
    for shares in [[100, 0, 0, 0, 0, 0], [50, 30, 20, 0, 0, 0], [20; 6]] {
        let admitted = admitted(&workspace(50.0, 40), shares, 20);
        let late: u64 = admitted[10..].iter().sum();
        assert!((400..=560).contains(&late), "{shares:?}: {admitted:?}");
    }
}

//! Routes and workspaces whose requests stay in some regions.

use std::collections::BTreeSet;
use std::sync::Arc;

use godwitpost_direct::policy::Content;
use godwitpost_types::id;

use crate::endpoint::{Endpoint, says};
use crate::fleet::{Fleet, content, until};

// Version 2, with these homes of the stock route and of the workspace.
fn at_home(route: &[&str], workspace: &[&str]) -> Content {
    let regions = |names: &[&str]| names.iter().map(|name| id::of(name)).collect();
    let mut content = content(2);
    content.routes[0].homes = regions(route);
    let homes: BTreeSet<_> = regions(workspace);
    for held in content.keys.iter_mut().flat_map(|keys| keys.values_mut()) {
        Arc::make_mut(held).homes.clone_from(&homes);
    }
    content
}

// An instance with an endpoint in each of two regions; the nearer is not in honshu.
async fn two_regions() -> (Fleet, Endpoint, Endpoint) {
    let near = Endpoint::start(says("near")).await;
    let far = Endpoint::start(says("far")).await;
    let fleet = Fleet::start(&[near.address]).await;
    fleet.join_in("sendai", "e1", far.address);
    (fleet, near, far)
}

/// Guards against a request that leaves the regions of its route for a lighter or
/// nearer endpoint.
#[tokio::test]
async fn a_request_goes_to_its_homes_alone() {
    let (fleet, near, far) = two_regions().await;
    fleet.roll(at_home(&["honshu"], &[]));
    until(async || fleet.call("GET", "/stock/1", "").await.contains("far")).await;
    let before = near.seen().len();
    for _ in 0..10 {
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.contains("far"), "{whole}");
    }
    assert_eq!(near.seen().len(), before);
    // Other routes go where they like.
    let before = far.seen().len();
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.contains("near"), "{whole}");
    assert_eq!(far.seen().len(), before);
}

/// Guards against a workspace's request that goes where its route may and it may
/// not, and against a wait for what can't come.
#[tokio::test]
async fn with_no_common_home_a_request_is_refused() {
    let (fleet, near, far) = two_regions().await;
    fleet.roll(at_home(&["honshu"], &["hokkaido"]));
    until(async || {
        let whole = fleet.call("GET", "/stock/1", "").await;
        whole.contains("no-home")
    })
    .await;
    let before = (near.seen().len(), far.seen().len());
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    assert!(whole.contains("retry-after: "), "{whole}");
    assert_eq!((near.seen().len(), far.seen().len()), before);
}

/// Guards against requests that go to an endpoint whose region nobody knows.
#[tokio::test]
async fn an_endpoint_in_an_unknown_zone_is_nobodys_home() {
    let far = Endpoint::start(says("far")).await;
    let fleet = Fleet::start_cold();
    fleet.join_in("nowhere", "e1", far.address);
    fleet.roll(at_home(&["honshu"], &[]));
    fleet.ready().await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.contains("no-home"), "{whole}");
    let whole = fleet.call("POST", "/order/1", "").await;
    assert!(whole.contains("far"), "{whole}");
}

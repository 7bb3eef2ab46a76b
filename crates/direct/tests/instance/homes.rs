//! Routes and workspaces that are restricted to home regions.

use std::collections::BTreeSet;
use std::sync::Arc;

use godwitpost_direct::policy::Content;
use godwitpost_types::id;

use crate::endpoint::{Endpoint, ok_with_body};
use crate::fleet::{TestInstance, content, wait_until};

// Returns version 2, with these home regions of the stock route and of the workspace.
fn content_with_homes(route: &[&str], workspace: &[&str]) -> Content {
    let regions = |names: &[&str]| names.iter().map(|name| id::from_name(name)).collect();
    let mut content = content(2);
    content.routes[0].homes = regions(route);
    let homes: BTreeSet<_> = regions(workspace);
    for workspace_of_key in content.keys.iter_mut().flat_map(|keys| keys.values_mut()) {
        Arc::make_mut(workspace_of_key).homes.clone_from(&homes);
    }
    content
}

// Starts an instance with an endpoint in each of two regions; the nearer one is not in
// honshu.
async fn two_regions() -> (TestInstance, Endpoint, Endpoint) {
    let near = Endpoint::start(ok_with_body("near")).await;
    let far = Endpoint::start(ok_with_body("far")).await;
    let instance = TestInstance::start(&[near.address]).await;
    instance.register_in_zone("sendai", "e1", far.address);
    (instance, near, far)
}

/// Guards against a request that leaves the home regions of its route for a less loaded or
/// nearer endpoint.
#[tokio::test]
async fn request_stays_in_its_home_regions() {
    let (instance, near, far) = two_regions().await;
    instance.publish(content_with_homes(&["honshu"], &[]));
    wait_until(async || instance.call("GET", "/stock/1", "").await.contains("far")).await;
    let before = near.received().len();
    for _ in 0..10 {
        let response = instance.call("GET", "/stock/1", "").await;
        assert!(response.contains("far"), "{response}");
    }
    assert_eq!(near.received().len(), before);
    // Other routes are not restricted.
    let before = far.received().len();
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.contains("near"), "{response}");
    assert_eq!(far.received().len(), before);
}

/// Guards against a request that its route allows in a region but its workspace does not,
/// and against waiting for an endpoint that cannot become available.
#[tokio::test]
async fn request_without_a_common_home_is_refused() {
    let (instance, near, far) = two_regions().await;
    instance.publish(content_with_homes(&["honshu"], &["hokkaido"]));
    wait_until(async || {
        let response = instance.call("GET", "/stock/1", "").await;
        response.contains("no-home")
    })
    .await;
    let before = (near.received().len(), far.received().len());
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert_eq!((near.received().len(), far.received().len()), before);
}

/// Guards against restricted requests to an endpoint of unknown region.
#[tokio::test]
async fn endpoint_in_an_unknown_zone_is_in_no_home() {
    let far = Endpoint::start(ok_with_body("far")).await;
    let instance = TestInstance::start_with_empty_log();
    instance.register_in_zone("nowhere", "e1", far.address);
    instance.publish(content_with_homes(&["honshu"], &[]));
    instance.wait_until_ready().await;
    let response = instance.call("GET", "/stock/1", "").await;
    assert!(response.contains("no-home"), "{response}");
    let response = instance.call("POST", "/order/1", "").await;
    assert!(response.contains("far"), "{response}");
}

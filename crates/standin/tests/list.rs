//! The list's stand-in and the platform's client of it.

use std::time::Duration;

use godwitpost_client::connect::{Connector, Settings};
use godwitpost_client::list::{Client, Listing, Watch};
use godwitpost_standin::list::{self, Entry, Faults, Role};
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id;

const TIMEOUT: Duration = Duration::from_secs(20);

fn endpoint(name: &str) -> Entry {
    Entry {
        name: name.to_owned(),
        incarnation: 1,
        role: Role::Endpoint,
        standing: Standing::Live,
        zone: "otaru".to_owned(),
        region: "hokkaido".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        operators_address: None,
        service: Some("drafting".to_owned()),
        models: ["route-writer".to_owned()].into(),
    }
}

async fn fetch(running: &list::Running) -> Listing {
    let connector = Connector::new(Settings::default());
    let client = Client::new(connector, running.address(), TIMEOUT);
    client.fetch().await.expect("a list")
}

async fn start() -> list::Running {
    start_at("127.0.0.1:0").await
}

async fn start_at(address: &str) -> list::Running {
    let address = address.parse().expect("an address");
    list::start(address, Faults::default())
        .await
        .expect("a free port")
}

#[tokio::test]
async fn entries_come_through_as_endpoints() {
    let running = start().await;
    running.set(endpoint("runner-1"));
    running.set(endpoint("runner-2"));
    running.mark_leaving("runner-2");
    running.remove("runner-1");
    let listing = fetch(&running).await;
    assert_eq!(listing.endpoints.len(), 1);
    assert_eq!(listing.endpoints[0].standing, Standing::Leaving);
    assert!(
        listing.endpoints[0]
            .models
            .contains(&id::from_name("route-writer"))
    );
}

// An entry from a newer platform lacks a field. It must not make the whole list
// unreadable, which would remove all endpoints.
#[tokio::test]
async fn unreadable_entry_does_not_hide_others() {
    let running = start().await;
    running.set(endpoint("runner-1"));
    running.set(Entry {
        service: None,
        ..endpoint("runner-2")
    });
    let listing = fetch(&running).await;
    assert_eq!(listing.endpoints.len(), 1);
    assert_eq!(
        listing.refused,
        ["runner-2: an endpoint without service; add it to the entry"]
    );
}

#[tokio::test]
async fn lagging_list_shows_earlier_entries() {
    let running = start().await;
    running.set(endpoint("runner-1"));
    assert_eq!(fetch(&running).await.endpoints.len(), 1);
    running
        .faults()
        .change(|faults| faults.lag = Duration::from_hours(1));
    running.remove("runner-1");
    assert_eq!(fetch(&running).await.endpoints.len(), 1);
    running
        .faults()
        .change(|faults| faults.lag = Duration::ZERO);
    assert_eq!(fetch(&running).await.endpoints.len(), 0);
}

fn watch(running: &list::Running) -> Watch {
    let connector = Connector::new(Settings::default());
    Watch::new(Client::new(connector, running.address(), TIMEOUT))
}

fn names(listing: &Listing) -> Vec<&str> {
    let endpoints = listing.endpoints.iter();
    endpoints.map(|endpoint| endpoint.name.as_str()).collect()
}

#[tokio::test]
async fn watch_reports_added_changed_and_removed_entries() {
    let running = start().await;
    running.set(endpoint("runner-1"));
    running.set(endpoint("runner-2"));
    let mut watch = watch(&running);
    let listing = watch.next(TIMEOUT).await.expect("the complete list");
    assert_eq!(names(&listing), ["runner-1", "runner-2"]);

    running.remove("runner-1");
    running.mark_leaving("runner-2");
    running.set(endpoint("runner-3"));
    let listing = watch.next(TIMEOUT).await.expect("what changed");
    assert_eq!(names(&listing), ["runner-2", "runner-3"]);
    assert_eq!(listing.endpoints[0].standing, Standing::Leaving);
}

// The list restarts without its state. A router that kept its old revision would
// retain removed endpoints indefinitely.
#[tokio::test]
async fn watch_restarts_after_a_list_restart() {
    // No other process listens on this address and could take the port meanwhile.
    let first = start_at("127.0.0.2:0").await;
    first.set(endpoint("runner-1"));
    let mut follower = watch(&first);
    follower.next(TIMEOUT).await.expect("the complete list");
    let address = first.address();
    first.stop().await;

    let second = list::start(address, Faults::default()).await;
    let second = second.expect("the port is free again");
    second.set(endpoint("runner-9"));
    let listing = after_a_restart(&mut follower).await;
    assert_eq!(names(&listing), ["runner-9"]);
}

/// Guards against a restarted list that mistakes a revision of an earlier incarnation for
/// its own.
#[tokio::test]
async fn restart_soon_after_many_changes_hides_no_removal() {
    // More changes than elapsed milliseconds, so that revisions derived from a clock would
    // overlap between the incarnations.
    const CHANGES: usize = 2_000;
    let first = start_at("127.0.0.3:0").await;
    (0..CHANGES).for_each(|_| first.set(endpoint("runner-1")));
    let mut follower = watch(&first);
    follower.next(TIMEOUT).await.expect("the complete list");
    let address = first.address();
    first.stop().await;

    let second = list::start(address, Faults::default()).await;
    let second = second.expect("the port is free again");
    (0..2 * CHANGES).for_each(|_| second.set(endpoint("runner-9")));
    let listing = after_a_restart(&mut follower).await;
    assert_eq!(names(&listing), ["runner-9"]);
}

// The first call may fail on the connection from before the restart.
async fn after_a_restart(follower: &mut Watch) -> Listing {
    match follower.next(TIMEOUT).await {
        Ok(listing) => listing,
        Err(_broken) => follower.next(TIMEOUT).await.expect("a new connection"),
    }
}

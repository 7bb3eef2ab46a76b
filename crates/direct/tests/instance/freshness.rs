//! The configuration and the endpoints as they change, and the log as it goes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitpost_direct::source::Value;

use crate::endpoint::{Endpoint, says};
use crate::fleet::{Fleet, content, exchange, request, until};

#[tokio::test]
async fn a_key_that_is_taken_away_stops_working() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let mut without = content(2);
    without.keys = Some(BTreeMap::new());
    fleet.roll(without);
    until(async || {
        let whole = fleet.call("GET", "/stock/1", "").await;
        whole.starts_with("HTTP/1.1 401")
    })
    .await;
}

/// The log turns this instance away, and meanwhile a key may be revoked. Its
/// requests are refused before the bound, as not run; what needs no key is
/// served on.
#[tokio::test]
async fn keys_are_not_acted_on_when_the_log_stays_away() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet.operator.set_down(true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    assert!(
        whole.contains("unconfirmed") && whole.contains("retry-after"),
        "{whole}"
    );
    assert!(!fleet.is_ready().await);
    let whole = fleet.call("GET", "/open/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    // A route that may be there by now is not denied.
    let whole = fleet.call("GET", "/nowhere/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 503"), "{whole}");
    fleet.operator.set_down(false);
    fleet.ready().await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
}

#[tokio::test]
async fn an_older_version_never_replaces_a_newer_one() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let mut newer = content(9);
    newer.routes.retain(|route| route.prefix != "/open/");
    fleet.roll(newer);
    until(async || {
        fleet
            .call("GET", "/open/1", "")
            .await
            .starts_with("HTTP/1.1 404")
    })
    .await;
    fleet.roll(content(8));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let whole = fleet.call("GET", "/open/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 404"), "{whole}");
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_more() {
    let first = Endpoint::start(says("ok")).await;
    let second = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    fleet.leave("e0", first.address);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = first.seen().len();
    for _ in 0..6 {
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    }
    assert_eq!(first.seen().len(), before);
}

/// Somebody writes nonsense to the list of endpoints. The others must go on.
#[tokio::test]
async fn an_entry_that_cannot_be_read_harms_no_other() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet
        .endpoints
        .append("e7", Value::Unreadable("no address".to_owned()));
    fleet
        .operator
        .append("config", Value::Unreadable("no routes".to_owned()));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let whole = fleet.call("GET", "/stock/1", "").await;
    assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
}

/// The log was away for longer than entries live. On its return all are
/// removed and set again a moment later; meanwhile callers are served.
#[tokio::test]
async fn entries_that_lapsed_are_used_until_they_are_back() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    fleet.endpoints.set_down(true);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.endpoints.append("e0", Value::Removed);
    fleet.endpoints.set_down(false);
    for _ in 0..8 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let whole = fleet.call("GET", "/stock/1", "").await;
        assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
    }
    // It never comes back: it is gone.
    until(async || {
        fleet
            .call("GET", "/stock/1", "")
            .await
            .contains("no-endpoint")
    })
    .await;
}

/// A look-up's first endpoint says nothing, and before it is tried elsewhere
/// its key is taken away. Sent under the configuration that it arrived under,
/// it would run after the key had stopped working.
#[tokio::test]
async fn a_further_attempt_goes_by_what_is_in_force_then() {
    let silent = |_, _: &_| vec![crate::endpoint::Step::Wait(10_000)];
    let first = Endpoint::start(silent).await;
    let second = Endpoint::start(silent).await;
    let fleet = Fleet::start(&[first.address, second.address]).await;
    let seen = || first.seen().len() + second.seen().len();
    let call = fleet.call("GET", "/stock/1", "");
    let revoke = async {
        until(async || seen() == 1).await;
        let mut without = content(2);
        without.keys = Some(BTreeMap::new());
        fleet.roll(without);
    };
    let (whole, ()) = tokio::join!(call, revoke);
    // It may have run at the first one, so no word of it not having run.
    assert!(whole.starts_with("HTTP/1.1 502"), "{whole}");
    assert_eq!(seen(), 1);
}

/// A franchise loses its key, and a second later another one does. The lease
/// counts from the last confirmation, whichever version that was of: neither
/// key may live on for the other's change.
#[tokio::test]
async fn two_keys_that_are_taken_away_a_second_apart_both_stop() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let keys = |names: &[&str]| {
        let workspace = content(1).keys.and_then(|mut keys| keys.remove("k1"));
        let workspace = workspace.expect("a workspace");
        let key = |name: &&str| ((*name).to_owned(), Arc::clone(&workspace));
        Some(names.iter().map(key).collect::<BTreeMap<_, _>>())
    };
    let roll = |version, names: &[&str]| {
        let mut content = content(version);
        content.keys = keys(names);
        fleet.roll(content);
    };
    let status = async |key: &str| {
        let text = request("GET", "/stock/1", "", "").replace("k1", key);
        let whole = exchange(fleet.running.callers_address(), &text).await;
        whole.get(9..12).unwrap_or_default().to_owned()
    };
    roll(2, &["k1", "k2", "k3"]);
    until(async || status("k3").await == "200").await;
    roll(3, &["k2", "k3"]);
    tokio::time::sleep(Duration::from_secs(1)).await;
    roll(4, &["k3"]);
    assert_eq!(status("k1").await, "401");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(status("k1").await, "401");
    assert_eq!(status("k2").await, "401");
    assert_eq!(status("k3").await, "200");
}

/// Fifty versions come within a second, each with a route more. Callers are
/// served all the while, and the last version is in force a moment later.
#[tokio::test]
async fn versions_in_quick_succession_end_with_the_last() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start(&[endpoint.address]).await;
    let mut grown = content(1);
    for version in 2..52 {
        let mut route = grown.routes[0].clone();
        route.prefix = format!("/more/{version}/");
        grown.routes.push(route);
        grown.version = version;
        fleet.roll(grown.clone());
        if version % 5 == 0 {
            let whole = fleet.call("GET", "/stock/1", "").await;
            assert!(whole.starts_with("HTTP/1.1 200"), "{whole}");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    until(async || {
        let whole = fleet.call("GET", "/more/51/1", "").await;
        whole.starts_with("HTTP/1.1 200")
    })
    .await;
}

/// All instances lost power, and everybody comes back at once to some that have
/// listened for a moment. Refused there, callers used up their only repeat at the
/// next one that had just started.
#[tokio::test]
async fn at_a_start_callers_wait_until_the_instance_is_informed() {
    let endpoint = Endpoint::start(says("ok")).await;
    let fleet = Fleet::start_cold();
    let early = async {
        let start = Instant::now();
        (fleet.call("GET", "/stock/1", "").await, start.elapsed())
    };
    let informed = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.join("e0", endpoint.address);
        fleet.roll(content(1));
    };
    let ((answer, took), ()) = tokio::join!(early, informed);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(took < Duration::from_millis(700), "{took:?}");
}

/// The log is away while an instance starts. Nothing is served by waiting for it:
/// callers are refused by half of their time, and at once when the start is over.
#[tokio::test]
async fn with_the_log_away_at_a_start_nobody_waits_for_long() {
    let fleet = Fleet::start_cold();
    let start = Instant::now();
    let answer = fleet.call("GET", "/stock/1", "").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    assert!(start.elapsed() < Duration::from_millis(900));
    tokio::time::sleep(Duration::from_millis(1_300).saturating_sub(start.elapsed())).await;
    let later = Instant::now();
    let answer = fleet.call("GET", "/stock/1", "").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(later.elapsed() < Duration::from_millis(100));
}

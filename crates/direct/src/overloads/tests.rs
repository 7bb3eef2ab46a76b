use std::time::Duration;

use super::{Overloads, answer_delay, is_news};

const LIMIT: f64 = 20.0;

#[test]
fn a_load_near_the_bound_is_news_once() {
    assert!(is_news(16, LIMIT, Some(9.0)));
    assert!(!is_news(15, LIMIT, Some(9.0)));
    assert!(!is_news(22, LIMIT, Some(15.5)));
}

/// Guards against an endpoint that was silent and gets requests again by an old load.
#[test]
fn the_first_load_after_a_silence_is_news() {
    assert!(is_news(10, LIMIT, None));
}

#[test]
fn the_newest_load_of_an_endpoint_is_sent() {
    let mut overloads = Overloads::default();
    overloads.add(7, Some(18), Duration::from_secs(1));
    overloads.add(7, Some(21), Duration::from_secs(2));
    let loads = overloads.take_unsent(Duration::from_secs(3));
    assert_eq!(loads.len(), 1);
    assert_eq!(
        (loads[0].requests, loads[0].age),
        (Some(21), Duration::from_secs(1))
    );
    assert_eq!(overloads.take_unsent(Duration::from_secs(4)), []);
}

/// Guards against a seed that answers hundreds of instances for each of many overloads.
#[test]
fn news_wait_for_more_where_many_poll() {
    assert_eq!(answer_delay(2), Duration::from_millis(50));
    assert_eq!(answer_delay(30), Duration::from_millis(150));
    assert_eq!(answer_delay(500), Duration::from_millis(200));
}

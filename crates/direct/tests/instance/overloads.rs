//! Endpoints near the load bound, of which instances tell each other at once.

use std::cmp::Reverse;

use godwitpost_types::{hash, id};

use crate::endpoint::{Endpoint, ReceivedRequest, Step, response_to};
use crate::fleet::{TestInstance, exchange, wait_until};
use crate::metrics::METRICS_REQUEST;
use crate::peers::wait_until_log_unread;

// Holds far more requests than the other endpoints.
fn full(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    vec![response_to(received, "200 OK", "x-load: 8,12,8\r\n", "ok")]
}

fn idle(_: usize, received: &ReceivedRequest) -> Vec<Step> {
    vec![response_to(received, "200 OK", "x-load: 1,0,8\r\n", "ok")]
}

/// Returns the parts whose home is the first of three endpoints.
pub(crate) fn parts_of_first_endpoint() -> impl Iterator<Item = u64> {
    let score = |part: u64, n: usize| hash::score(part, id::from_name(&format!("e{n}")));
    let home = move |part| (0..3).min_by_key(|n| Reverse(score(part, *n)));
    (1..10_000).filter(move |part| home(*part) == Some(0))
}

fn part_of_first_endpoint() -> u64 {
    parts_of_first_endpoint().next().expect("a part")
}

async fn send_prompt(instance: &TestInstance, part: u64) {
    let header = format!("x-prompt: 5000,{part},5001\r\n");
    let response = instance.call("POST", "/draft/1", &header).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

async fn has_learned_overload(instance: &TestInstance) -> bool {
    let text = exchange(instance.running.metrics_address(), METRICS_REQUEST).await;
    text.contains("godwitpost_overloads_learned_total")
}

/// Guards against a prompt in demand that all instances go on to send to its home until the
/// next exchange of loads.
#[tokio::test]
async fn an_endpoint_that_one_instance_finds_full_is_avoided_by_others_at_once() {
    for finder in [0, 1] {
        let endpoints = [
            Endpoint::start(full).await,
            Endpoint::start(idle).await,
            Endpoint::start(idle).await,
        ];
        let addresses: Vec<_> = endpoints.iter().map(|one| one.address).collect();
        let instances = TestInstance::start_seed_and_poller(&addresses).await;
        wait_until_log_unread(&instances[1]).await;
        let part = part_of_first_endpoint();
        send_prompt(&instances[finder], part).await;
        assert_eq!(endpoints[0].received().len(), 1);
        let other = &instances[1 - finder];
        wait_until(async || has_learned_overload(other).await).await;
        send_prompt(other, part).await;
        let at_home = endpoints[0].received().len();
        assert_eq!(at_home, 1, "found by instance {finder}");
    }
}

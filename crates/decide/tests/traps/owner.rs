//! The owner's queue, and its guarantee that a cancelled request never runs.

use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::{Hop, MAX_FORWARDS};
use godwitpost_decide::owner::{Grant, Next, Owner};
use godwitpost_decide::view::View;
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::request::Request;

use crate::fleet;

const NOW: Moment = Duration::from_secs(100);

fn lone_owner(runners: usize) -> Owner {
    Owner::new(fleet::view(0, 1, runners), fleet::policy())
}

fn offer(owner: &mut Owner, request: &Request) -> Next {
    let (endpoint, _) = fleet::home(&fleet::view(0, 1, 1), request);
    owner.offer(NOW, request, &Hop::first(0, endpoint))
}

fn grant(next: &Next) -> Grant {
    match next {
        Next::Dispatch(grant) => *grant,
        other => panic!("not dispatched: {other:?}"),
    }
}

// A request waits in a queue when the entry instance gives up and tells the
// caller "not run". If a slot then came free and the queue still dispatched
// the request, the caller's resend would run it twice.
#[test]
fn cancelled_request_is_never_dispatched() {
    let mut owner = lone_owner(1);
    let first: Vec<_> = (0..4)
        .map(|chat| grant(&offer(&mut owner, &fleet::request(chat))))
        .collect();
    let Next::Wait { ticket, .. } = offer(&mut owner, &fleet::request(9)) else {
        panic!("a fifth request on four slots must wait");
    };
    assert!(owner.cancel(ticket));
    for grant in first {
        assert_eq!(owner.finish(NOW, grant.attempt, Ending::Done), []);
    }
    assert!(!owner.cancel(ticket));
}

// The reverse order: the slot comes free first. "Not run" must then not be
// reported, as the request is on its way to the endpoint.
#[test]
fn dispatched_request_is_not_cancelled() {
    let mut owner = lone_owner(1);
    let first = grant(&offer(&mut owner, &fleet::request(0)));
    for chat in 1..4 {
        grant(&offer(&mut owner, &fleet::request(chat)));
    }
    let Next::Wait { ticket, .. } = offer(&mut owner, &fleet::request(9)) else {
        panic!("a fifth request on four slots must wait");
    };
    let wakes = owner.finish(NOW, first.attempt, Ending::Done);
    assert_eq!(wakes.len(), 1);
    assert_eq!(wakes[0].ticket, ticket);
    assert!(matches!(wakes[0].next, Next::Dispatch(_)));
    assert!(!owner.cancel(ticket));
}

// A router is stopped while its endpoint is full. Another router with an
// outdated list still takes it for the owner of the least loaded endpoint and
// sends it a request with no forwards left. If the request waited there, no
// finishing request would ever wake it, since nothing is owned there any more.
// It would not start for 20 seconds although engines are idle.
#[test]
fn request_at_instance_without_endpoints_is_rerouted() {
    let mut owner = lone_owner(1);
    for chat in 0..4 {
        grant(&offer(&mut owner, &fleet::request(chat)));
    }
    let mut leaving = fleet::instance(0);
    leaving.standing = Standing::Leaving;
    let instances = [leaving, fleet::instance(1)];
    let view = View::new(fleet::instance(0).id, instances, [fleet::runner(0)]);
    let request = fleet::request(9);
    let (endpoint, successor) = fleet::home(&view, &request);
    owner.apply_view(NOW, view.into(), fleet::policy());
    let mut hop = Hop::first(0, endpoint);
    hop.count = MAX_FORWARDS + 1;
    let next = owner.offer(NOW, &request, &hop);
    let Next::Forward { instance, .. } = &next else {
        panic!("not rerouted: {next:?}");
    };
    assert_eq!(*instance, successor);
}

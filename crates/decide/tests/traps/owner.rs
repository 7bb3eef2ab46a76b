//! The owner's queue and its promise that a cancelled request never runs.

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

// A caller is told "not run", sends its order again, and gets two. Its first
// request waited in a queue; the caller's instance gave up on it and said "not
// run", then a slot came free and the queue dispatched it all the same.
#[test]
fn cancelled_request_is_never_dispatched() {
    let mut owner = lone_owner(1);
    let first: Vec<_> = (0..4)
        .map(|chat| grant(&offer(&mut owner, &fleet::request(chat))))
        .collect();
    let Next::Wait { ticket, .. } = offer(&mut owner, &fleet::request(9)) else {
        panic!("a fifth request on four slots waits");
    };
    assert!(owner.cancel(ticket));
    for grant in first {
        assert_eq!(owner.finish(NOW, grant.attempt, Ending::Done), []);
    }
    assert!(!owner.cancel(ticket));
}

// The other order: the slot came free first. Then the word "not run" must not
// be said, as the request is on its way to the endpoint.
#[test]
fn dispatched_request_is_not_cancelled() {
    let mut owner = lone_owner(1);
    let first = grant(&offer(&mut owner, &fleet::request(0)));
    for chat in 1..4 {
        grant(&offer(&mut owner, &fleet::request(chat)));
    }
    let Next::Wait { ticket, .. } = offer(&mut owner, &fleet::request(9)) else {
        panic!("a fifth request on four slots waits");
    };
    let wakes = owner.finish(NOW, first.attempt, Ending::Done);
    assert_eq!(wakes.len(), 1);
    assert_eq!(wakes[0].ticket, ticket);
    assert!(matches!(wakes[0].next, Next::Dispatch(_)));
    assert!(!owner.cancel(ticket));
}

// A caption brief is not begun for twenty seconds though engines idle. A
// router is stopped while its endpoint is full; another whose list lags still
// takes it for the owner of the least loaded endpoint and sends it a request
// with its forwards used up. Were the request to wait there, no end of another
// would ever wake it, since nothing there is owned any more: it moves on.
#[test]
fn request_to_who_owns_nothing_moves_on() {
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
        panic!("not moved on: {next:?}");
    };
    assert_eq!(*instance, successor);
}

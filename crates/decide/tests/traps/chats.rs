//! Chat locations through spills, restarts, late events and stops.

use std::time::Duration;

use godwitpost_decide::chats::{Event, Kind, Location};
use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::owner::{Grant, Next, Owner};
use godwitpost_decide::view::{Pool, View};
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::request::Request;

use crate::fleet;

const fn at(secs: u64) -> Moment {
    Duration::from_secs(100 + secs)
}

fn turn(owner: &mut Owner, secs: u64, request: &Request) -> Grant {
    let (home, _) = fleet::home(&fleet::view(0, 1, 3), request);
    let next = owner.offer(at(secs), request, &Hop::first(0, home));
    let Next::Dispatch(grant) = next else {
        panic!("an idle engine takes it: {next:?}");
    };
    owner.finish(at(secs), grant.attempt, Ending::Done);
    grant
}

fn owner() -> Owner {
    Owner::new(fleet::view(0, 1, 3), fleet::policy())
}

// An editor comes back from lunch to an engine that was restarted meanwhile.
// The router takes the context for warm, counts the turn as small, and puts
// far more on the engine than it can bear.
#[test]
fn restarted_endpoint_is_cold() {
    let mut owner = owner();
    let request = fleet::request(1);
    let first = turn(&mut owner, 0, &request);
    assert_eq!(turn(&mut owner, 1, &request).cached, request.prompt_tokens);
    let runners = (0..3).map(|index| {
        let mut runner = fleet::runner(index);
        runner.incarnation += u64::from(runner.id == first.endpoint);
        runner
    });
    let view = View::new(fleet::instance(0).id, [fleet::instance(0)], runners);
    owner.apply_view(at(2), view.into(), fleet::policy());
    assert_eq!(turn(&mut owner, 3, &request).cached, 0);
}

// A cache event arrives late: the engine evicted the chat, then the chat came
// back and was cached again. Taken at its word it would be called cold.
#[test]
fn late_eviction_does_not_undo_a_later_turn() {
    let mut owner = owner();
    let request = fleet::request(1);
    let grant = turn(&mut owner, 10, &request);
    owner.apply_cache_event(grant.endpoint, &evicted(&request, 5));
    assert_eq!(turn(&mut owner, 11, &request).cached, request.prompt_tokens);
    owner.apply_cache_event(grant.endpoint, &evicted(&request, 12));
    assert_eq!(turn(&mut owner, 13, &request).cached, 0);
}

fn evicted(request: &Request, secs: u64) -> Event {
    Event {
        chat: request.chat,
        pool: Pool::for_request(request),
        kind: Kind::Evicted,
        tokens: 0,
        incarnation: 1,
        at: at(secs),
    }
}

// Events are lost in a gap. The engine evicts in the order of use, so the
// evictions that did arrive tell of the older ones that did not.
#[test]
fn eviction_lost_in_a_gap_shows_in_later_ones() {
    let mut owner = Owner::new(fleet::view(0, 1, 1), fleet::policy());
    for chat in 0..12 {
        turn(&mut owner, chat, &fleet::request(chat));
    }
    let engine = fleet::runner(0).id;
    for chat in 2..10 {
        owner.apply_cache_event(engine, &evicted(&fleet::request(chat), 50));
    }
    assert_eq!(turn(&mut owner, 60, &fleet::request(1)).cached, 0);
    assert_eq!(turn(&mut owner, 60, &fleet::request(11)).cached, 800);
}

// A router is stopped for an upgrade, and every editor whose chat it knew to
// be warm away from home waits for a whole prefill.
#[test]
fn graceful_stop_hands_locations_to_the_new_owners() {
    let local = fleet::instance(0).id;
    let mut owner = Owner::new(fleet::view(0, 1, 3), fleet::policy());
    let request = fleet::request(1);
    let grant = turn(&mut owner, 0, &request);
    let mut leaving = fleet::instance(0);
    leaving.standing = Standing::Leaving;
    let instances = [leaving, fleet::instance(1)];
    let view = View::new(local, instances, (0..3).map(fleet::runner));
    owner.apply_view(at(1), view.into(), fleet::policy());
    let moved: Vec<(u64, Location)> = owner.next_handover_batch().expect("some to look at");
    assert_eq!(owner.next_handover_batch(), None);
    let places: Vec<_> = moved
        .iter()
        .map(|(to, l)| (*to, l.chat, l.endpoint))
        .collect();
    assert_eq!(
        places,
        [(fleet::instance(1).id, request.chat, grant.endpoint)]
    );
}

//! Chat locations across spills, restarts, late events and stops.

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

fn run_turn(owner: &mut Owner, secs: u64, request: &Request) -> Grant {
    let (home, _) = fleet::home(&fleet::view(0, 1, 3), request);
    let next = owner.offer(at(secs), request, &Hop::first(0, home));
    let Next::Dispatch(grant) = next else {
        panic!("an idle engine did not accept it: {next:?}");
    };
    owner.finish(at(secs), grant.attempt, Ending::Done);
    grant
}

fn owner() -> Owner {
    Owner::new(fleet::view(0, 1, 3), fleet::policy())
}

// An engine restarts and loses its cache. A router that still counts the
// chat's context as cached underestimates the next turn and puts far more work
// on the engine than it can handle.
#[test]
fn restarted_endpoint_is_cold() {
    let mut owner = owner();
    let request = fleet::request(1);
    let first = run_turn(&mut owner, 0, &request);
    assert_eq!(
        run_turn(&mut owner, 1, &request).cached,
        request.prompt_tokens
    );
    let runners = (0..3).map(|index| {
        let mut runner = fleet::runner(index);
        runner.incarnation += u64::from(runner.id == first.endpoint);
        runner
    });
    let view = View::new(fleet::instance(0).id, [fleet::instance(0)], runners);
    owner.apply_view(at(2), view.into(), fleet::policy());
    assert_eq!(run_turn(&mut owner, 3, &request).cached, 0);
}

// A cache event arrives late: the engine evicted the chat, then ran and cached
// it again. Applying the event as it stands would mark the chat as not cached.
#[test]
fn late_eviction_does_not_undo_a_later_turn() {
    let mut owner = owner();
    let request = fleet::request(1);
    let grant = run_turn(&mut owner, 10, &request);
    owner.apply_cache_event(grant.endpoint, &evicted(&request, 5));
    assert_eq!(
        run_turn(&mut owner, 11, &request).cached,
        request.prompt_tokens
    );
    owner.apply_cache_event(grant.endpoint, &evicted(&request, 12));
    assert_eq!(run_turn(&mut owner, 13, &request).cached, 0);
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

// Some cache events are lost. Engines evict the least recently used chats
// first, so the evictions that arrived imply the earlier ones.
#[test]
fn lost_eviction_is_inferred_from_later_ones() {
    let mut owner = Owner::new(fleet::view(0, 1, 1), fleet::policy());
    for chat in 0..12 {
        run_turn(&mut owner, chat, &fleet::request(chat));
    }
    let engine = fleet::runner(0).id;
    for chat in 2..10 {
        owner.apply_cache_event(engine, &evicted(&fleet::request(chat), 50));
    }
    assert_eq!(run_turn(&mut owner, 60, &fleet::request(1)).cached, 0);
    assert_eq!(run_turn(&mut owner, 60, &fleet::request(11)).cached, 800);
}

// A router is stopped for an upgrade. Unless it hands over the locations of
// chats that are cached away from their home endpoint, each of them needs a
// full prefill.
#[test]
fn graceful_stop_hands_locations_to_the_new_owners() {
    let local = fleet::instance(0).id;
    let mut owner = Owner::new(fleet::view(0, 1, 3), fleet::policy());
    let request = fleet::request(1);
    let grant = run_turn(&mut owner, 0, &request);
    let mut leaving = fleet::instance(0);
    leaving.standing = Standing::Leaving;
    let instances = [leaving, fleet::instance(1)];
    let view = View::new(local, instances, (0..3).map(fleet::runner));
    owner.apply_view(at(1), view.into(), fleet::policy());
    let moved: Vec<(u64, Location)> = owner.next_handover_batch().expect("a batch of locations");
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

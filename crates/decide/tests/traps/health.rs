//! Endpoints that flap, leave and come back.

use std::time::Duration;

use godwitpost_decide::health::{Access, Event, Machine};
use godwitpost_types::endpoint::Standing;

const fn at(secs: u64) -> Duration {
    Duration::from_secs(1_000 + secs)
}

fn closed(machine: &mut Machine, secs: u64) {
    machine.handle(Event::Failure(at(secs)));
    machine.handle(Event::Failure(at(secs)));
}

// Drafts fail every other second for minutes. An engine flaps: it answers for
// a second, then refuses connections. Each good answer put it back in, each
// failure threw its chats to other engines, and so to and fro.
#[test]
fn flapping_endpoint_stays_out_longer_each_time() {
    let mut machine = Machine::new(1);
    let mut out = Vec::new();
    let mut now = 0;
    for _ in 0..4 {
        closed(&mut machine, now);
        let from = now;
        while machine.access() == Access::None {
            now += 1;
            machine.handle(Event::Tick(at(now)));
        }
        out.push(now - from);
    }
    assert_eq!(out, [1, 2, 4, 8]);
}

// One answer after a failure is no sign of health: the next callers would all
// be sent to an engine that is still half down.
#[test]
fn endpoint_on_trial_opens_after_several_good_answers() {
    let mut machine = Machine::new(1);
    closed(&mut machine, 0);
    machine.handle(Event::Tick(at(1)));
    machine.handle(Event::Success(at(1)));
    assert_eq!(machine.access(), Access::Trial);
    machine.handle(Event::Success(at(1)));
    machine.handle(Event::Success(at(1)));
    assert_eq!(machine.access(), Access::Full);
}

// A request is cut by an engine that had said it would go. The engine's own
// report said leaving; then the platform's lagging list said live once more,
// and it was sent new work until it went.
#[test]
fn leaving_is_sticky_and_another_life_is_someone_else() {
    let mut machine = Machine::new(1);
    machine.update_standing(1, Standing::Leaving);
    assert!(!machine.update_standing(1, Standing::Live));
    machine.handle(Event::Success(at(0)));
    assert_eq!(machine.access(), Access::None);

    assert!(machine.update_standing(2, Standing::Live));
    assert_eq!(machine.access(), Access::Full);
    // A late word on the life before is no word on this one.
    assert!(!machine.update_standing(1, Standing::Leaving));
    assert_eq!(machine.access(), Access::Full);
}

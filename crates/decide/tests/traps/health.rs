//! Endpoints that flap, leave and return.

use std::time::Duration;

use godwitpost_decide::health::{Access, Event, Machine};
use godwitpost_types::endpoint::Standing;

const fn at(secs: u64) -> Duration {
    Duration::from_secs(1_000 + secs)
}

fn close(machine: &mut Machine, secs: u64) {
    machine.handle(Event::Failure(at(secs)));
    machine.handle(Event::Failure(at(secs)));
}

// An engine flaps for minutes: it answers for a second, then refuses
// connections. If each success reopened it, every other second's requests
// would fail and its chats would move back and forth between engines.
#[test]
fn flapping_endpoint_stays_out_longer_each_time() {
    let mut machine = Machine::new(1);
    let mut out = Vec::new();
    let mut now = 0;
    for _ in 0..4 {
        close(&mut machine, now);
        let from = now;
        while machine.access() == Access::None {
            now += 1;
            machine.handle(Event::Tick(at(now)));
        }
        out.push(now - from);
    }
    assert_eq!(out, [1, 2, 4, 8]);
}

// One success after a failure does not prove recovery. Opening the endpoint
// would send all following requests to an engine that is still partly down.
#[test]
fn endpoint_on_trial_opens_after_several_good_answers() {
    let mut machine = Machine::new(1);
    close(&mut machine, 0);
    machine.handle(Event::Tick(at(1)));
    machine.handle(Event::Success(at(1)));
    assert_eq!(machine.access(), Access::Trial);
    machine.handle(Event::Success(at(1)));
    machine.handle(Event::Success(at(1)));
    assert_eq!(machine.access(), Access::Full);
}

// An engine's own report says that it is leaving; then the platform's delayed
// list says that it is live. If the list won, the engine would get new work
// until it stops and cuts those requests off.
#[test]
fn leaving_is_final_until_a_new_incarnation() {
    let mut machine = Machine::new(1);
    machine.update_standing(1, Standing::Leaving);
    assert!(!machine.update_standing(1, Standing::Live));
    machine.handle(Event::Success(at(0)));
    assert_eq!(machine.access(), Access::None);

    assert!(machine.update_standing(2, Standing::Live));
    assert_eq!(machine.access(), Access::Full);
    // Outdated information about the previous incarnation does not affect this
    // one.
    assert!(!machine.update_standing(1, Standing::Leaving));
    assert_eq!(machine.access(), Access::Full);
}

//! Views change by incarnation and sequence number, and home endpoints move only
//! after a state has lasted.

use std::net::SocketAddr;

use proptest::prelude::*;

use super::super::{PROBATION_PERIOD, SUSPICION_TIMEOUT};
use super::*;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(1_000_000 + millis)
}

fn instance(id: InstanceId, incarnation: Incarnation, standing: Standing) -> Instance {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Instance {
        id,
        name: format!("router-{id}"),
        incarnation,
        zone: id % 2,
        region: 0,
        peer_address: address,
        operators_address: address,
        standing,
    }
}

fn live(id: InstanceId) -> Instance {
    instance(id, 1, Standing::Live)
}

/// A roster of instance 1 that knows 2 and 3 as live.
fn three() -> Roster {
    let mut roster = Roster::new(live(1));
    roster.apply_list(at(0), &[live(1), live(2), live(3)]);
    roster
}

fn homes(roster: &Roster) -> Vec<InstanceId> {
    let mut ids: Vec<InstanceId> = roster.instances().map(|instance| instance.id).collect();
    ids.sort_unstable();
    ids
}

const fn heartbeat(id: InstanceId, incarnation: Incarnation, sequence: u64) -> Heartbeat {
    Heartbeat {
        id,
        incarnation,
        sequence,
        standing: Standing::Live,
    }
}

/// Guards against chats that lose their warm context without need: one path
/// between two instances breaks, and the suspected instance's home endpoints
/// move at once.
#[test]
fn a_suspected_instance_keeps_its_homes_and_can_refute() {
    let mut roster = three();
    roster.record_unreachable(at(1000), 2);
    assert_eq!(roster.state(2), Some(State::Suspect));
    assert_eq!(homes(&roster), [1, 2, 3]);
    roster.apply_heartbeat(at(2000), &heartbeat(2, 1, 0));
    assert_eq!(
        roster.state(2),
        Some(State::Suspect),
        "an old sequence number refutes nothing"
    );
    roster.apply_heartbeat(at(3000), &heartbeat(2, 1, 1));
    assert_eq!(roster.state(2), Some(State::Live));
}

/// Guards against requests to a dead instance for as long as the list lags.
#[test]
fn a_suspected_instance_that_is_silent_is_gone_though_it_is_listed() {
    let mut roster = three();
    roster.record_unreachable(at(0), 2);
    let end = at(0) + SUSPICION_TIMEOUT;
    roster.tick(end.saturating_sub(Duration::from_millis(1)));
    assert_eq!(homes(&roster), [1, 2, 3]);
    roster.tick(end);
    assert_eq!(homes(&roster), [1, 3]);
    roster.apply_list(end, &[live(1), live(2), live(3)]);
    assert_eq!(homes(&roster), [1, 3]);
}

/// Guards against home endpoints that move back and forth with a flapping
/// instance: it must stay reachable for a while before it gets them back.
#[test]
fn a_returning_instance_gets_homes_after_its_probation() {
    let mut roster = three();
    roster.record_unreachable(at(0), 2);
    roster.tick(at(0) + SUSPICION_TIMEOUT);
    let back = at(20_000);
    roster.apply_heartbeat(back, &heartbeat(2, 1, 1));
    assert_eq!(roster.state(2), Some(State::Returning));
    roster.record_unreachable(at(21_000), 2);
    assert_eq!(roster.state(2), Some(State::Gone));
    let again = at(22_000);
    roster.apply_heartbeat(again, &heartbeat(2, 1, 2));
    roster.tick(again + PROBATION_PERIOD);
    assert_eq!(homes(&roster), [1, 2, 3]);
}

/// Guards against a leaving instance that gets home endpoints again: the list
/// still shows it as live, and so does a peer that has not learned of the
/// change.
#[test]
fn leaving_is_final_until_the_next_incarnation() {
    let mut roster = three();
    let mut leaving = heartbeat(2, 1, 0);
    leaving.standing = Standing::Leaving;
    roster.apply_heartbeat(at(0), &leaving);
    roster.apply_list(at(1), &[live(1), live(2), live(3)]);
    roster.apply_update(
        at(2),
        &MemberUpdate {
            id: 2,
            incarnation: 1,
            sequence: 5,
            state: State::Live,
        },
    );
    assert_eq!(homes(&roster), [1, 3]);
    roster.apply_list(at(3), &[live(1), instance(2, 2, Standing::Live), live(3)]);
    assert_eq!(roster.state(2), Some(State::Returning));
    roster.tick(at(3) + PROBATION_PERIOD);
    assert_eq!(homes(&roster), [1, 2, 3]);
    roster.apply_heartbeat(at(9000), &leaving);
    assert_eq!(
        homes(&roster),
        [1, 2, 3],
        "a late heartbeat of an earlier incarnation"
    );
}

/// Guards against a leaving instance that gets home endpoints again: silent
/// while its last stream ran, it was considered gone, and its next heartbeat
/// looked like a return.
#[test]
fn leaving_persists_after_the_instance_was_considered_gone() {
    let mut roster = three();
    let mut leaving = heartbeat(2, 1, 0);
    leaving.standing = Standing::Leaving;
    roster.apply_heartbeat(at(0), &leaving);
    roster.tick(at(60_000));
    assert_eq!(roster.state(2), Some(State::Gone));
    roster.apply_heartbeat(at(60_000), &heartbeat(2, 1, 1));
    assert_eq!(roster.state(2), Some(State::Leaving));
}

/// Guards against a fleet that removes its own instances because the list is
/// empty for a moment or omits an instance by mistake.
#[test]
fn a_live_instance_missing_from_the_list_is_not_removed() {
    let mut roster = three();
    roster.apply_list(at(0), &[]);
    assert_eq!(homes(&roster), [1, 2, 3]);
    roster.apply_list(at(0), &[live(1), live(3)]);
    roster.tick(at(0) + MAX_UNLISTED);
    assert_eq!(roster.state(2), Some(State::Suspect));
    roster.apply_heartbeat(at(0) + MAX_UNLISTED, &heartbeat(2, 1, 1));
    assert_eq!(homes(&roster), [1, 2, 3]);
}

/// A healthy instance that is suspected must learn of it and refute the
/// suspicion.
#[test]
fn a_suspicion_about_the_own_instance_is_refuted() {
    let mut roster = three();
    let mut suspected = MemberUpdate {
        id: 1,
        incarnation: 1,
        sequence: 4,
        state: State::Suspect,
    };
    roster.apply_update(at(0), &suspected);
    assert_eq!(roster.heartbeat().sequence, 5);
    let changes = roster.tick(at(0));
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].sequence, changes[0].state), (5, State::Live));
    suspected.incarnation = 0;
    roster.apply_update(at(0), &suspected);
    assert_eq!(
        roster.heartbeat().sequence,
        5,
        "an earlier incarnation was suspected"
    );
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Heartbeat(InstanceId, Incarnation, u64, bool),
    Update(InstanceId, Incarnation, u64, u8),
    Unreachable(InstanceId),
    Tick(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    let id = 2..4_u64;
    prop_oneof![
        (id.clone(), 1..4_u64, 0..4_u64, any::<bool>()).prop_map(
            |(id, incarnation, sequence, leaving)| Step::Heartbeat(
                id,
                incarnation,
                sequence,
                leaving
            )
        ),
        (1..4_u64, 1..4_u64, 0..4_u64, 0..5_u8).prop_map(|(id, incarnation, sequence, state)| {
            Step::Update(id, incarnation, sequence, state)
        }),
        id.prop_map(Step::Unreachable),
        (0..9000_u64).prop_map(Step::Tick),
    ]
}

proptest! {
    #[test]
    fn leaving_never_ends_within_an_incarnation(
        steps in prop::collection::vec(any_step(), 1..60),
    ) {
        let states = [State::Live, State::Suspect, State::Leaving, State::Returning, State::Gone];
        let mut roster = three();
        let mut now = at(0);
        let mut left: BTreeMap<InstanceId, Incarnation> = BTreeMap::new();
        let mut last_incarnations: BTreeMap<InstanceId, Incarnation> = [(2, 1), (3, 1)].into();
        for step in steps {
            match step {
                Step::Heartbeat(id, incarnation, sequence, leaving) => {
                    let standing = if leaving { Standing::Leaving } else { Standing::Live };
                    roster.apply_heartbeat(now, &Heartbeat { id, incarnation, sequence, standing });
                }
                Step::Update(id, incarnation, sequence, state) => {
                    let state = states[usize::from(state)];
                    roster.apply_update(now, &MemberUpdate { id, incarnation, sequence, state });
                }
                Step::Unreachable(id) => roster.record_unreachable(now, id),
                Step::Tick(millis) => {
                    now += Duration::from_millis(millis);
                    roster.tick(now);
                }
            }
            for (instance, state) in roster.others() {
                let last_incarnation = last_incarnations.entry(instance.id).or_default();
                prop_assert!(instance.incarnation >= *last_incarnation, "an incarnation went back");
                *last_incarnation = instance.incarnation;
                if state == State::Leaving {
                    left.insert(instance.id, instance.incarnation);
                }
                let is_leaving = left.get(&instance.id) == Some(&instance.incarnation);
                let has_homes = matches!(state, State::Live | State::Suspect);
                prop_assert!(!(is_leaving && has_homes), "{} serves again", instance.id);
            }
        }
    }
}

/// Guards against a retried key that gets the answer *already ran* instead of a
/// replay. A router has just started, and the list shows earlier incarnations of
/// all its peers. It treats their first heartbeats as restarts, puts every peer
/// on probation and for eight seconds considers itself the owner of all
/// endpoints.
#[test]
fn a_list_with_earlier_incarnations_puts_no_peer_on_probation() {
    let mut roster = three();
    roster.apply_heartbeat(at(100), &heartbeat(2, 7, 0));
    let update = MemberUpdate {
        id: 3,
        incarnation: 9,
        sequence: 0,
        state: State::Live,
    };
    roster.apply_update(at(100), &update);
    assert_eq!(homes(&roster), [1, 2, 3]);

    // A restart after a confirmed incarnation still starts a probation period.
    roster.apply_heartbeat(at(200), &heartbeat(2, 8, 0));
    assert_eq!(homes(&roster), [1, 3]);
}

/// Guards against a restarted instance that never gets home endpoints again: the
/// list still shows its earlier incarnation as leaving, and that was applied to
/// the new incarnation.
#[test]
fn leaving_of_an_earlier_incarnation_does_not_apply_to_the_next() {
    let mut roster = Roster::new(live(1));
    let listed = [live(1), instance(2, 1, Standing::Leaving)];
    roster.apply_list(at(0), &listed);
    roster.apply_heartbeat(at(100), &heartbeat(2, 7, 0));
    assert_eq!(roster.state(2), Some(State::Returning));
}

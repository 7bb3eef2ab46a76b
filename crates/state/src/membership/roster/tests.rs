//! Views change by incarnation and sequence, and homes only after a while.

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

const fn beat(id: InstanceId, incarnation: Incarnation, sequence: u64) -> Heartbeat {
    Heartbeat {
        id,
        incarnation,
        sequence,
        standing: Standing::Live,
    }
}

/// Chats lose their warm context for nothing. One path between two instances
/// breaks, and the accused instance's homes move at once.
#[test]
fn an_accused_instance_keeps_its_homes_and_may_answer() {
    let mut roster = three();
    roster.record_unreachable(at(1000), 2);
    assert_eq!(roster.state(2), Some(State::Suspect));
    assert_eq!(homes(&roster), [1, 2, 3]);
    roster.apply_heartbeat(at(2000), &beat(2, 1, 0));
    assert_eq!(
        roster.state(2),
        Some(State::Suspect),
        "an old beat is no answer"
    );
    roster.apply_heartbeat(at(3000), &beat(2, 1, 1));
    assert_eq!(roster.state(2), Some(State::Live));
}

/// Requests go to a dead instance for as long as the list lags.
#[test]
fn an_accused_instance_that_is_silent_is_gone_though_it_is_listed() {
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

/// Homes move to and fro with an instance that flaps: it must stay for a while
/// before it gets them back.
#[test]
fn an_instance_that_comes_back_waits_out_its_probation() {
    let mut roster = three();
    roster.record_unreachable(at(0), 2);
    roster.tick(at(0) + SUSPICION_TIMEOUT);
    let back = at(20_000);
    roster.apply_heartbeat(back, &beat(2, 1, 1));
    assert_eq!(roster.state(2), Some(State::Returning));
    roster.record_unreachable(at(21_000), 2);
    assert_eq!(roster.state(2), Some(State::Gone));
    let again = at(22_000);
    roster.apply_heartbeat(again, &beat(2, 1, 2));
    roster.tick(again + PROBATION_PERIOD);
    assert_eq!(homes(&roster), [1, 2, 3]);
}

/// A leaving instance gets homes again. The list still says live, and a peer
/// that has not heard says so as well.
#[test]
fn leaving_is_sticky_until_the_next_incarnation() {
    let mut roster = three();
    let mut leaving = beat(2, 1, 0);
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
    assert_eq!(homes(&roster), [1, 2, 3], "a former life's word came late");
}

/// A leaving instance gets homes again: silent while its last stream ran, it
/// was taken for gone, and its next sign of life looked like a return.
#[test]
fn leaving_outlives_being_taken_for_gone() {
    let mut roster = three();
    let mut leaving = beat(2, 1, 0);
    leaving.standing = Standing::Leaving;
    roster.apply_heartbeat(at(0), &leaving);
    roster.tick(at(60_000));
    assert_eq!(roster.state(2), Some(State::Gone));
    roster.apply_heartbeat(at(60_000), &beat(2, 1, 1));
    assert_eq!(roster.state(2), Some(State::Leaving));
}

/// The fleet empties itself because the list answers with nothing for a
/// moment, or leaves an instance out by mistake.
#[test]
fn a_list_that_leaves_out_the_living_is_not_enough() {
    let mut roster = three();
    roster.apply_list(at(0), &[]);
    assert_eq!(homes(&roster), [1, 2, 3]);
    roster.apply_list(at(0), &[live(1), live(3)]);
    roster.tick(at(0) + MAX_UNLISTED);
    assert_eq!(roster.state(2), Some(State::Suspect));
    roster.apply_heartbeat(at(0) + MAX_UNLISTED, &beat(2, 1, 1));
    assert_eq!(homes(&roster), [1, 2, 3]);
}

/// An instance is accused while it is fine: it must hear of it and answer.
#[test]
fn an_accusation_against_oneself_is_answered() {
    let mut roster = three();
    let mut accused = MemberUpdate {
        id: 1,
        incarnation: 1,
        sequence: 4,
        state: State::Suspect,
    };
    roster.apply_update(at(0), &accused);
    assert_eq!(roster.heartbeat().sequence, 5);
    let answer = roster.tick(at(0));
    assert_eq!(answer.len(), 1);
    assert_eq!((answer[0].sequence, answer[0].state), (5, State::Live));
    accused.incarnation = 0;
    roster.apply_update(at(0), &accused);
    assert_eq!(roster.heartbeat().sequence, 5, "a former life was accused");
}

#[derive(Clone, Copy, Debug)]
enum Sign {
    Heard(InstanceId, Incarnation, u64, bool),
    MemberUpdate(InstanceId, Incarnation, u64, u8),
    Unreachable(InstanceId),
    Tick(u64),
}

fn any_sign() -> impl Strategy<Value = Sign> {
    let id = 2..4_u64;
    prop_oneof![
        (id.clone(), 1..4_u64, 0..4_u64, any::<bool>())
            .prop_map(|(id, life, sequence, leaving)| Sign::Heard(id, life, sequence, leaving)),
        (1..4_u64, 1..4_u64, 0..4_u64, 0..5_u8)
            .prop_map(|(id, life, sequence, state)| Sign::MemberUpdate(id, life, sequence, state)),
        id.prop_map(Sign::Unreachable),
        (0..9000_u64).prop_map(Sign::Tick),
    ]
}

proptest! {
    #[test]
    fn leaving_never_ends_within_an_incarnation(
        signs in prop::collection::vec(any_sign(), 1..60),
    ) {
        let states = [State::Live, State::Suspect, State::Leaving, State::Returning, State::Gone];
        let mut roster = three();
        let mut now = at(0);
        let mut left: BTreeMap<InstanceId, Incarnation> = BTreeMap::new();
        let mut lives: BTreeMap<InstanceId, Incarnation> = [(2, 1), (3, 1)].into();
        for sign in signs {
            match sign {
                Sign::Heard(id, incarnation, sequence, leaving) => {
                    let standing = if leaving { Standing::Leaving } else { Standing::Live };
                    roster.apply_heartbeat(now, &Heartbeat { id, incarnation, sequence, standing });
                }
                Sign::MemberUpdate(id, incarnation, sequence, state) => {
                    let state = states[usize::from(state)];
                    roster.apply_update(now, &MemberUpdate { id, incarnation, sequence, state });
                }
                Sign::Unreachable(id) => roster.record_unreachable(now, id),
                Sign::Tick(millis) => {
                    now += Duration::from_millis(millis);
                    roster.tick(now);
                }
            }
            for (instance, state) in roster.others() {
                let life = lives.entry(instance.id).or_default();
                prop_assert!(instance.incarnation >= *life, "an incarnation went back");
                *life = instance.incarnation;
                if state == State::Leaving {
                    left.insert(instance.id, instance.incarnation);
                }
                let sticky = left.get(&instance.id) == Some(&instance.incarnation);
                let homed = matches!(state, State::Live | State::Suspect);
                prop_assert!(!(sticky && homed), "{} serves again", instance.id);
            }
        }
    }
}

/// A key that was sent again is told *already ran* and gets no replay. Its
/// router has just started; the list shows earlier lives of all its peers.
/// It takes their first heartbeats for restarts, puts every peer on probation
/// and for eight seconds takes itself for the owner of all endpoints.
#[test]
fn a_list_that_shows_earlier_lives_leaves_no_newcomer_alone() {
    let mut roster = three();
    roster.apply_heartbeat(at(100), &beat(2, 7, 0));
    let update = MemberUpdate {
        id: 3,
        incarnation: 9,
        sequence: 0,
        state: State::Live,
    };
    roster.apply_update(at(100), &update);
    assert_eq!(homes(&roster), [1, 2, 3]);

    // A restart of a life that was seen still goes through its probation.
    roster.apply_heartbeat(at(200), &beat(2, 8, 0));
    assert_eq!(homes(&roster), [1, 3]);
}

/// A restarted instance never gets homes again: the list still shows its
/// earlier life, which was leaving, and that sign is taken for the new life.
#[test]
fn an_earlier_life_that_was_leaving_does_not_bind_the_next() {
    let mut roster = Roster::new(live(1));
    let listed = [live(1), instance(2, 1, Standing::Leaving)];
    roster.apply_list(at(0), &listed);
    roster.apply_heartbeat(at(100), &beat(2, 7, 0));
    assert_eq!(roster.state(2), Some(State::Returning));
}

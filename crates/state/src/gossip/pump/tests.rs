//! An empty bucket defers updates and never drops them, and messages fit their
//! size limit.

use std::net::SocketAddr;

use godwitpost_types::endpoint::Standing;
use godwitpost_types::instance::Instance;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::super::EVIDENCE_BYTES;
use super::*;

const fn at(millis: u64) -> Moment {
    Duration::from_millis(1_000_000 + millis)
}

fn instance(id: InstanceId) -> Instance {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Instance {
        id,
        name: format!("router-{id}"),
        incarnation: u64::MAX,
        zone: 0,
        region: 0,
        peer_address: address,
        operators_address: address,
        standing: Standing::Live,
    }
}

fn roster(size: u64) -> Roster {
    let mut roster = Roster::new(instance(1));
    let listed: Vec<Instance> = (1..=size).map(instance).collect();
    roster.apply_list(at(0), &listed);
    roster
}

fn pump(rate: u64) -> Pump {
    Pump::new(Budget::new(at(0), rate, 330))
}

/// Guards against a bundle version that takes minutes to reach a router: the
/// bucket was empty when the version arrived, and the push was dropped instead
/// of deferred.
#[test]
fn a_version_is_deferred_until_the_bucket_refills() {
    let roster = roster(20);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pump = pump(2000);
    while !pump.tick(at(0), &roster, &mut rng).is_empty() {
        pump.queue_evidence([0; EVIDENCE_BYTES]);
        pump.set_version(pump.version + 1);
    }
    pump.set_version(99);
    assert_eq!(pump.tick(at(1), &roster, &mut rng), []);
    let mut contacted = Vec::new();
    for second in 1..9 {
        contacted.extend(pump.tick(at(second * 1000), &roster, &mut rng));
    }
    assert!(contacted.len() >= URGENT_FANOUT, "contacted {contacted:?}");
    let message = pump.build_message(contacted[0], &roster, &[]);
    assert_eq!(message.version, 99);
}

/// The amount that the budget reserves in advance must cover the largest
/// message.
#[test]
fn the_largest_message_fits() {
    let roster = roster(2);
    let mut pump = pump(6000);
    pump.set_version(u64::MAX);
    for n in 0..64_u8 {
        let id = u64::MAX - u64::from(n);
        pump.queue_member_updates(&[MemberUpdate {
            id,
            incarnation: u64::MAX,
            sequence: u64::MAX,
            state: State::Gone,
        }]);
        pump.queue_leaving(LeavingNotice {
            id,
            incarnation: u64::MAX,
        });
        pump.queue_evidence([n; EVIDENCE_BYTES]);
    }
    let load = Load {
        pool: u64::MAX,
        endpoints: u32::MAX,
        work: u64::MAX,
        waiting: u32::MAX,
        taken: Duration::from_millis(u64::MAX),
    };
    let demand = Demand {
        workspace: u64::MAX,
        rate: u32::MAX,
        running: u32::MAX,
    };
    pump.set_demands(vec![demand; 20]);
    let message = pump.build_message(2, &roster, &[load; 20]);
    assert_eq!(message.member_updates.len(), MAX_MEMBER_UPDATES);
    assert_eq!(message.demands, None);
    assert!(
        message.encode().len() <= MAX_BODY_BYTES,
        "{}",
        message.encode().len()
    );
}

/// Guards against a message with demands that exceeds the amount reserved for
/// it in advance.
#[test]
fn the_largest_message_with_demands_fits() {
    let roster = roster(2);
    let mut pump = pump(6000);
    pump.set_version(u64::MAX);
    for n in 0..64_u8 {
        let id = u64::MAX - u64::from(n);
        let incarnation = u64::MAX;
        if usize::from(n) < MAX_UPDATES_WITH_DEMANDS {
            pump.queue_member_updates(&[MemberUpdate {
                id,
                incarnation,
                sequence: u64::MAX,
                state: State::Gone,
            }]);
        }
        pump.queue_leaving(LeavingNotice { id, incarnation });
        pump.queue_evidence([n; EVIDENCE_BYTES]);
    }
    let load = Load {
        pool: u64::MAX,
        endpoints: u32::MAX,
        work: u64::MAX,
        waiting: u32::MAX,
        taken: Duration::from_millis(u64::MAX),
    };
    let demand = Demand {
        workspace: u64::MAX,
        rate: u32::MAX,
        running: u32::MAX,
    };
    pump.set_demands(vec![demand; 20]);
    let message = pump.build_message(2, &roster, &[load; 20]);
    assert_eq!(message.demands.as_ref().map(Vec::len), Some(MAX_DEMANDS));
    let bytes = message.encode().len();
    assert!(bytes <= MAX_BODY_BYTES, "{bytes}");
}

/// Guards against late or missed detection of a dead instance: with independent
/// random choices a peer may not be contacted for a long time.
#[test]
fn each_peer_is_contacted_once_a_round() {
    let roster = roster(20);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pump = pump(6000);
    let mut contacted = Vec::new();
    for second in 0..19 {
        contacted.extend(pump.tick(at(second * 1000), &roster, &mut rng));
    }
    contacted.sort_unstable();
    let all: Vec<InstanceId> = (2..=20).collect();
    assert_eq!(contacted, all);
}

/// A suspected instance must learn of the suspicion to refute it.
#[test]
fn a_suspected_instance_is_informed() {
    let mut roster = roster(3);
    roster.record_unreachable(at(0), 2);
    let mut pump = pump(6000);
    let message = pump.build_message(2, &roster, &[]);
    assert_eq!(message.member_updates.len(), 1);
    assert_eq!(message.member_updates[0].state, State::Suspect);
}

#[test]
fn an_item_is_sent_a_limited_number_of_times() {
    let roster = roster(20);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut pump = pump(6000);
    pump.tick(at(0), &roster, &mut rng);
    pump.queue_leaving(LeavingNotice {
        id: 7,
        incarnation: 1,
    });
    let sent = (0..100).filter(|_| !pump.build_message(2, &roster, &[]).leaving.is_empty());
    assert_eq!(sent.count(), send_limit(19) as usize);
}

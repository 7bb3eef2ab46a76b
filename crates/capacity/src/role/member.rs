//! The member: knows the other instances and exchanges news with them.

use std::time::Duration;

use godwitpost_state::gossip::{Budget, EXCHANGE_INTERVAL, Load, Message, Pump};
use godwitpost_state::membership::Roster;
use godwitpost_state::membership::endpoints::Endpoints;
use godwitpost_types::instance::Instance;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::{Cost, Measure};
use crate::fleet;
use crate::letter;
use crate::meter::{self, Allocated};

const ROLE: &str = "member";
const SIZES: [u32; 3] = [6, 50, 320];
const CALLS: u32 = 200;

/// Headers of an exchange; the budget only needs a number here.
const HEADERS: u64 = 400;

/// Bytes of an answer as the budget counts them.
const LARGEST: usize = 1_000;

/// Measures the role.
#[must_use]
pub fn measure(allocated: Allocated) -> Vec<Measure> {
    vec![memory(allocated), tick(), message()]
}

fn memory(allocated: Allocated) -> Measure {
    let point = |instances: u32| {
        let (_roster, bytes) = meter::memory(allocated, || roster(instances));
        (f64::from(instances), bytes)
    };
    Measure {
        role: ROLE,
        what: "roster of the instances",
        against: "instances",
        points: SIZES.map(point).into(),
        size: letter::INSTANCES,
        cost: Cost::Memory,
        control: true,
    }
}

fn tick() -> Measure {
    let point = |instances: u32| {
        let mut roster = roster(instances);
        let budget = Budget::new(Duration::ZERO, u64::MAX / 8, HEADERS);
        let mut pump = Pump::new(budget);
        let mut endpoints = Endpoints::new();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let took = meter::nanoseconds(CALLS, |call| {
            let now = EXCHANGE_INTERVAL * call;
            drop(roster.tick(now));
            for peer in pump.tick(now, &roster, &mut rng) {
                let message = pump.build_message(peer, &roster, &loads()).encode();
                let message = Message::decode(&message).expect("it was just encoded");
                pump.apply_response(now, LARGEST, &message, &mut roster, &mut endpoints);
            }
        });
        (f64::from(instances), took)
    };
    Measure {
        role: ROLE,
        what: "a period of gossip",
        against: "instances",
        points: SIZES.map(point).into(),
        size: letter::INSTANCES,
        cost: Cost::Time {
            rate: 2.0 / EXCHANGE_INTERVAL.as_secs_f64(),
        },
        control: true,
    }
}

fn message() -> Measure {
    let point = |instances: u32| {
        let roster = roster(instances);
        let mut pump = Pump::new(Budget::new(Duration::ZERO, 6_144, HEADERS));
        let peer = fleet::instance(1).id;
        #[expect(clippy::cast_precision_loss, reason = "about a kilobyte")]
        let bytes = pump.build_message(peer, &roster, &loads()).encode().len() as f64;
        (f64::from(instances), bytes)
    };
    Measure {
        role: ROLE,
        what: "a routine gossip message, without headers",
        against: "instances",
        points: SIZES.map(point).into(),
        size: letter::INSTANCES,
        // One exchange begun and one answered, two messages each.
        cost: Cost::Traffic {
            rate: 4.0 / EXCHANGE_INTERVAL.as_secs_f64(),
        },
        control: true,
    }
}

fn roster(instances: u32) -> Roster {
    let all: Vec<Instance> = (0..instances as usize).map(fleet::instance).collect();
    let mut roster = Roster::new(all[0].clone());
    roster.apply_list(Duration::ZERO, &all);
    roster
}

// Sums of the pools that ten owned endpoints are in.
fn loads() -> Vec<Load> {
    let load = |index: usize| Load {
        pool: fleet::model(index),
        endpoints: 1,
        work: 12_000,
        waiting: 2,
        taken: Duration::from_millis(1_764_712_800_123),
    };
    (0..10).map(load).collect()
}

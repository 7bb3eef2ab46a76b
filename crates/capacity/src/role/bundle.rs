//! The follower of bundles: folds signed changes into the version in force.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::Duration;

use godwitpost_bundle::fold::{Fold, Next};
use godwitpost_bundle::key::PrivateKey;
use godwitpost_bundle::record::{Change, Record};
use godwitpost_bundle::schema::{Bundle, Class, Fleet, Kind, Operator, Service, Workspace};

use super::{Cost, Measure};
use crate::letter;
use crate::meter::{self, Allocated};

const ROLE: &str = "follower of bundles";
const FLEET: &str = "letter";
const OPERATOR: &str = "operator";
const SIZES: [u32; 3] = [100, 1_000, 8_900];

/// Versions folded for one timing.
const CALLS: u32 = 40;

/// Measures the role.
#[must_use]
pub fn measure(allocated: Allocated) -> Vec<Measure> {
    vec![memory(allocated), step(), publish(), bytes()]
}

fn memory(allocated: Allocated) -> Measure {
    let point = |workspaces: u32| {
        let (_fold, bytes) = meter::memory(allocated, || folded(workspaces));
        (f64::from(workspaces), bytes)
    };
    Measure {
        role: ROLE,
        what: "entries, policy and digest tree in force",
        against: "workspaces",
        points: SIZES.map(point).into(),
        size: letter::WORKSPACES,
        cost: Cost::Memory,
        control: true,
    }
}

fn step() -> Measure {
    let point = |workspaces: u32| {
        // One round more than is timed, and each version folds once.
        let records = records(workspaces, 7 * CALLS);
        let mut fold = folded(workspaces);
        let mut offset = fold.next_offset();
        let took = meter::nanoseconds(CALLS, |_call| {
            let index = usize::try_from(offset - 1).expect("some hundred");
            let next = fold.apply(offset, Duration::from_secs(offset), &records[index]);
            assert!(matches!(next, Next::InForce(_)), "{next:?}");
            offset += 1;
        });
        (f64::from(workspaces), took)
    };
    Measure {
        role: ROLE,
        what: "folding a change of one workspace",
        against: "workspaces",
        points: SIZES.map(point).into(),
        size: letter::WORKSPACES,
        cost: Cost::Time {
            rate: letter::CHANGES / letter::DAY,
        },
        control: true,
    }
}

// The policy is copied for the traffic threads when a version comes in force.
fn publish() -> Measure {
    let point = |workspaces: u32| {
        let fold = folded(workspaces);
        let took = meter::nanoseconds(CALLS, |_call| {
            black_box(fold.policy().cloned());
        });
        (f64::from(workspaces), took)
    };
    Measure {
        role: ROLE,
        what: "copying the policy for the traffic threads",
        against: "workspaces",
        points: SIZES.map(point).into(),
        size: letter::WORKSPACES,
        cost: Cost::Time {
            rate: letter::CHANGES / letter::DAY,
        },
        control: true,
    }
}

fn bytes() -> Measure {
    let point = |workspaces: u32| {
        let records = records(workspaces, 1);
        #[expect(clippy::cast_precision_loss, reason = "some hundred bytes")]
        let bytes = records[0].len() as f64;
        (f64::from(workspaces), bytes)
    };
    Measure {
        role: ROLE,
        what: "a change of one workspace in the log",
        against: "workspaces",
        points: SIZES.map(point).into(),
        size: letter::WORKSPACES,
        // Read once from the log, in base64 (4/3).
        cost: Cost::Traffic {
            rate: letter::CHANGES / letter::DAY * 4.0 / 3.0,
        },
        control: true,
    }
}

fn key() -> PrivateKey {
    PrivateKey::from_seed(&[7; 32])
}

fn folded(workspaces: u32) -> Fold {
    let mut fold = Fold::new(FLEET, [key().public()]);
    let mut first = bundle(0, 1);
    let mut offset = 0;
    // The largest that a record holds is above 1,000 workspaces.
    let mut made = 0;
    while made < workspaces {
        let parent = fold.tree().cloned();
        made = (made + 1_000).min(workspaces);
        first = bundle(made, offset + 1);
        let change = Change::sign(parent.as_ref(), &first, OPERATOR, &key());
        let bytes = Record::Change(change).encode().expect("it fits");
        let next = fold.apply(offset, Duration::from_secs(offset), &bytes);
        assert!(matches!(next, Next::InForce(_)), "{next:?}");
        offset += 1;
    }
    drop(first);
    fold
}

/// Returns records that each change one workspace, at index `offset - 1`.
fn records(workspaces: u32, count: u32) -> Vec<Vec<u8>> {
    let fold = folded(workspaces);
    let mut tree = fold.tree().expect("a version is in force").clone();
    let start = fold.next_offset();
    let mut records = vec![Vec::new(); usize::try_from(start - 1).expect("a few")];
    for index in 0..u64::from(count) {
        let mut next = bundle(workspaces, start + index + 1);
        let changed = next.workspaces.values_mut().next().expect("there are some");
        changed.rate = 1.0 + f64::from(u32::try_from(index).expect("some hundred"));
        let change = Change::sign(Some(&tree), &next, OPERATOR, &key());
        tree.apply(change.delta.clone());
        records.push(Record::Change(change).encode().expect("it is small"));
    }
    if count == 1 {
        records.drain(..records.len() - 1);
    }
    records
}

fn bundle(workspaces: u32, version: u64) -> Bundle {
    let service = Service {
        kind: Kind::Engine,
        load_bound: 1.5,
        reuse: 0.8,
        slots: 16,
        checks_fencing: true,
    };
    let class = Class {
        priority: 1,
        weight: 1.0,
        deadline: Duration::from_mins(1),
        queue: true,
    };
    let workspace = |index| {
        let workspace = Workspace {
            weight: 1.0,
            rate: 50.0,
            concurrency: 40,
            services: BTreeSet::from(["drafting".to_owned()]),
        };
        (format!("workspace-{index:05}"), workspace)
    };
    Bundle {
        version,
        fleet: Fleet {
            name: FLEET.to_owned(),
            claim_window: letter::CLAIM_WINDOW,
        },
        operators: BTreeMap::from([(
            OPERATOR.to_owned(),
            Operator {
                key: key().public(),
            },
        )]),
        classes: BTreeMap::from([("draft".to_owned(), class)]),
        services: BTreeMap::from([("drafting".to_owned(), service)]),
        models: BTreeMap::new(),
        workspaces: (0..workspaces).map(workspace).collect(),
        routes: Vec::new(),
    }
}

//! The batcher: the claims of one partition of idempotency keys.

use std::time::Duration;

use godwitpost_state::claim::{BATCH_PERIOD, Id, Item, Record, Table, batch};
use godwitpost_types::outcome::Outcome;

use super::{Cost, Measure};
use crate::letter;
use crate::meter::{self, Allocated};

const ROLE: &str = "batcher of one partition";
const CALLS: u32 = 2_000;

/// Measures the role.
#[must_use]
pub fn measure(allocated: Allocated) -> Vec<Measure> {
    vec![memory(allocated), apply(), bytes()]
}

fn memory(allocated: Allocated) -> Measure {
    let point = |keys: u32| {
        let (_table, bytes) = meter::memory(allocated, || table(keys));
        (f64::from(keys), bytes)
    };
    Measure {
        role: ROLE,
        what: "fold of the claim window",
        against: "keys",
        points: [10_000, 40_000, 96_000].map(point).into(),
        size: letter::keys(),
        cost: Cost::Memory,
        control: true,
    }
}

// Each key costs a claim and a fate.
fn apply() -> Measure {
    let point = |keys: u32| {
        let mut table = table(keys);
        let time = Duration::from_hours(1);
        let took = meter::nanoseconds(CALLS, |call| {
            let sequence = u64::from(call) + 1_000_000_000;
            let body = batch::encode(&items(sequence));
            let items = batch::decode(&body).expect("it was just encoded");
            table.apply(table.next_offset(), time, &items);
        });
        (f64::from(keys), took)
    };
    Measure {
        role: ROLE,
        what: "encoding, decoding and folding a claim with its fate",
        against: "keys",
        points: [10_000, 40_000, 96_000].map(point).into(),
        size: letter::keys(),
        cost: Cost::Time {
            rate: letter::REQUESTS * letter::UNREPEATABLE / partitions(),
        },
        control: true,
    }
}

fn bytes() -> Measure {
    let point = |claims: u32| {
        let items: Vec<Item> = (0..u64::from(claims)).flat_map(items).collect();
        #[expect(clippy::cast_precision_loss, reason = "some kilobytes")]
        let bytes = batch::encode(&items).len() as f64;
        (f64::from(claims), bytes)
    };
    let appends = 1.0 / BATCH_PERIOD.as_secs_f64();
    Measure {
        role: ROLE,
        what: "a batch in the log",
        against: "claims",
        points: [1, 5, 20, 80].map(point).into(),
        size: letter::REQUESTS * letter::UNREPEATABLE / partitions() / appends,
        cost: Cost::Traffic { rate: appends },
        // Written for requests, in proportion to them.
        control: false,
    }
}

fn partitions() -> f64 {
    f64::from(godwitpost_state::claim::PARTITIONS)
}

fn table(keys: u32) -> Table {
    let mut table = Table::new(letter::CLAIM_WINDOW);
    let time = Duration::from_hours(1);
    for sequence in 0..u64::from(keys) {
        table.apply(table.next_offset(), time, &items(sequence));
    }
    table
}

fn items(sequence: u64) -> [Item; 2] {
    let id = Id {
        holder: sequence % 320,
        incarnation: 1_764_712_800_000,
        sequence,
    };
    let key = (u128::from(sequence).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835))
        .to_le_bytes();
    let record = Record {
        id,
        key,
        body: key,
        issued: Duration::from_hours(1),
    };
    let fate = Item::Outcome {
        key,
        id,
        outcome: Outcome::Ran,
    };
    [Item::Claim(record), fate]
}

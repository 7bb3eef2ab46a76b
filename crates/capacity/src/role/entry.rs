//! The entry: places a request, and holds the view it places by.

use std::hint::black_box;

use godwitpost_decide::entry;

use super::{Cost, Measure};
use crate::fleet;
use crate::letter;
use crate::meter::{self, Allocated};

const ROLE: &str = "entry";
const MODELS: usize = 35;
const INSTANCES: usize = 320;
const ENDPOINTS: [u32; 4] = [100, 400, 1_000, 3_300];

/// Placements timed at each size.
const CALLS: u32 = 2_000;

/// Changes of the view a second: 465 instances or endpoints that fail or are
/// replaced each day, seen as leaving, gone and back; a burst of a lost zone
/// is one rebuild, since the control thread publishes at most once a tick.
const REBUILDS: f64 = 465.0 * 3.0 / letter::DAY;

/// Measures the role.
#[must_use]
pub fn measure(allocated: Allocated) -> Vec<Measure> {
    vec![
        placement(1, "placement, all endpoints in one pool"),
        placement(MODELS, "placement, endpoints over 35 models"),
        view_memory(allocated),
        view_build(),
    ]
}

fn placement(models: usize, what: &'static str) -> Measure {
    let policy = fleet::policy();
    let point = |endpoints: u32| {
        let view = fleet::view(6, endpoints as usize, models);
        let requests: Vec<_> = (0..64).map(|c| fleet::request(c, models)).collect();
        let took = meter::nanoseconds(CALLS, |call| {
            let request = &requests[call as usize % requests.len()];
            black_box(entry::route(&view, &policy, request, 0));
        });
        (f64::from(endpoints), took)
    };
    Measure {
        role: ROLE,
        what,
        against: "endpoints",
        points: ENDPOINTS.map(point).into(),
        size: letter::RUNNERS,
        cost: Cost::Time {
            rate: letter::entered(),
        },
        control: false,
    }
}

fn view_memory(allocated: Allocated) -> Measure {
    let point = |endpoints: u32| {
        let build = || fleet::view(INSTANCES, endpoints as usize, MODELS);
        let (_view, bytes) = meter::memory(allocated, build);
        (f64::from(endpoints), bytes)
    };
    Measure {
        role: ROLE,
        what: "view of 320 instances and the endpoints",
        against: "endpoints",
        points: ENDPOINTS.map(point).into(),
        size: letter::RUNNERS,
        cost: Cost::Memory,
        control: true,
    }
}

fn view_build() -> Measure {
    let point = |endpoints: u32| {
        let took = meter::nanoseconds(1, |_call| {
            black_box(fleet::view(INSTANCES, endpoints as usize, MODELS));
        });
        (f64::from(endpoints), took)
    };
    Measure {
        role: ROLE,
        what: "building the view",
        against: "endpoints",
        points: ENDPOINTS.map(point).into(),
        size: letter::RUNNERS,
        cost: Cost::Time { rate: REBUILDS },
        control: true,
    }
}

//! The instance that sends to endpoints directly: places a request by what it
//! knows of all of them.

use godwitpost_bench::direct::{SIZES, Size, cost};

use super::{Cost, Measure};
use crate::letter;
use crate::meter::Allocated;

const ENDPOINTS: [u32; 4] = [100, 400, 1_000, 3_300];

/// Endpoints of one service where there are 35 of them.
const OF_ONE: f64 = letter::RUNNERS / 35.0;

/// Measures the role.
#[must_use]
pub fn measure(_allocated: Allocated) -> Vec<Measure> {
    vec![
        placement("placement, all endpoints in one service", letter::RUNNERS),
        placement("placement, endpoints over 35 services", OF_ONE),
    ]
}

fn placement(what: &'static str, size: f64) -> Measure {
    let point = |endpoints: u32| {
        let fleet = Size {
            endpoints: endpoints as usize,
            ..SIZES[2]
        };
        (f64::from(endpoints), cost::nanoseconds(&fleet))
    };
    Measure {
        role: "direct instance",
        what,
        against: "endpoints",
        points: ENDPOINTS.map(point).into(),
        size,
        cost: Cost::Time {
            rate: letter::entered(),
        },
        control: false,
    }
}

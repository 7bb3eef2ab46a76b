use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_types::endpoint::{Endpoint, Standing};

use super::View;
use super::view::Services;
use crate::roster::Registration;

const SERVICE: u64 = 1;
const NOW: Duration = Duration::from_secs(9);

fn endpoints(ids: std::ops::Range<u64>) -> Services {
    let registration = |id: u64| Registration {
        endpoint: Endpoint {
            id,
            name: format!("e{id}"),
            incarnation: 1,
            service: SERVICE,
            models: BTreeSet::new(),
            zone: 1,
            region: 0,
            address: "10.0.0.1:80".parse().expect("an address"),
            standing: Standing::Live,
        },
        slots: 8,
        warming: Duration::ZERO,
        build: "v1".to_owned(),
        started_at: None,
    };
    let all = ids.map(|id| Arc::new(registration(id))).collect();
    BTreeMap::from([(SERVICE, all)])
}

fn view(usable: u64, evacuated: u64, warming: u64) -> View {
    View {
        endpoints: Some(endpoints(0..usable)),
        evacuated: endpoints(usable..usable + evacuated),
        warm_at: (0..warming).map(|id| (id, NOW * 2)).collect(),
        ..View::default()
    }
}

#[test]
fn a_service_is_reduced_while_a_tenth_is_evacuated_or_warming() {
    assert!(!view(20, 0, 0).has_reduced_service(NOW));
    assert!(view(15, 5, 0).has_reduced_service(NOW));
    assert!(view(0, 4, 0).has_reduced_service(NOW));
    assert!(!View::default().has_reduced_service(NOW));
}

#[test]
fn one_starting_endpoint_does_not_reduce_a_service() {
    assert!(!view(20, 0, 1).has_reduced_service(NOW));
    assert!(view(20, 0, 5).has_reduced_service(NOW));
    assert!(!view(20, 0, 5).has_reduced_service(NOW * 3));
}

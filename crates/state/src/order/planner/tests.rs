//! Orders bring endpoints to the desired state and leave no model unserved.

use proptest::prelude::*;

use super::*;

const SERVICE: ServiceId = 1;
const MODEL: ModelId = 10;
const HELD_SINCE: Moment = Duration::from_secs(1000);

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(1000 + seconds)
}

const LIMITS: Limits = Limits {
    max_concurrent_loads: 2,
    min_load_interval: Duration::from_secs(5),
};

fn policy(weights: &str, replicas: u32) -> Policy {
    let model = Model {
        name: "route-writer".to_owned(),
        service: SERVICE,
        weights: weights.to_owned(),
        replicas,
        answer_tokens: 256,
    };
    Policy {
        models: [(MODEL, model)].into(),
        ..Policy::default()
    }
}

fn views(weights: &[&str]) -> Vec<View> {
    let numbered = (1..).zip(weights);
    numbered
        .map(|(id, weights)| View {
            id,
            incarnation: 1,
            standing: Standing::Live,
            reported_at: HELD_SINCE,
            loaded: (!weights.is_empty())
                .then(|| (MODEL, (*weights).to_owned()))
                .into_iter()
                .collect(),
        })
        .collect()
}

fn planner() -> Planner {
    Planner::new(SERVICE, LIMITS)
}

/// An endpoint that ignores fencing numbers must not receive the former holder's
/// last order after the new holder's first one.
#[test]
fn new_holder_waits_before_its_first_order() {
    let mut planner = planner();
    let policy = policy("7", 1);
    let views = views(&[""]);
    let plan = planner.plan(at(9), 3, HELD_SINCE, &policy, &views);
    assert_eq!(plan.orders, []);
    let plan = planner.plan(at(10), 3, HELD_SINCE, &policy, &views);
    assert_eq!(plan.orders.len(), 1);
    assert_eq!(plan.orders[0].fence, 3);
}

/// The weight store refuses requests if all endpoints are ordered to load a new
/// version at once.
#[test]
fn loads_respect_the_interval_and_the_maximum() {
    let mut planner = planner();
    let policy = policy("8", 8);
    let views = views(&["7"; 8]);
    let mut orders = Vec::new();
    for second in 10..40 {
        let plan = planner.plan(at(second), 3, HELD_SINCE, &policy, &views);
        orders.extend(plan.orders.into_iter().map(|_| second));
    }
    assert_eq!(orders, [10, 15]);
}

/// A model must not become unserved because the last endpoint that has it loads
/// new weights.
#[test]
fn model_with_one_endpoint_is_reported_as_blocked() {
    let mut planner = planner();
    let plan = planner.plan(at(10), 3, HELD_SINCE, &policy("8", 1), &views(&["7"]));
    assert_eq!(plan.orders, []);
    assert_eq!(plan.blocked, [Blocked::SoleEndpoint(MODEL)]);
}

/// An endpoint that ignores fencing numbers returns to old weights on a stale
/// order. Its report shows that and leads to a new order.
#[test]
fn report_of_the_wrong_state_leads_to_a_new_order() {
    let mut planner = planner();
    let policy = policy("8", 2);
    let plan = planner.plan(at(10), 3, HELD_SINCE, &policy, &views(&["8", "8"]));
    assert_eq!(plan.orders, []);
    let plan = planner.plan(at(20), 3, HELD_SINCE, &policy, &views(&["8", "7"]));
    let endpoints: Vec<EndpointId> = plan.orders.iter().map(|o| o.endpoint).collect();
    assert_eq!(endpoints, [2]);
}

/// A restarted endpoint must get its order again, as the former incarnation's
/// order was lost.
#[test]
fn restart_drops_the_order_in_flight() {
    let mut planner = planner();
    let policy = policy("8", 1);
    let mut views = views(&[""]);
    planner.plan(at(10), 3, HELD_SINCE, &policy, &views);
    assert_eq!(
        planner.plan(at(20), 3, HELD_SINCE, &policy, &views).orders,
        []
    );
    views[0].incarnation = 2;
    assert_eq!(
        planner
            .plan(at(30), 3, HELD_SINCE, &policy, &views)
            .orders
            .len(),
        1
    );
}

/// An endpoint that does not serve a model while it loads it.
#[derive(Clone, Debug)]
struct Engine {
    loading: Option<(u64, String)>,
}

proptest! {
    // Each case simulates 25 minutes in steps of one second.
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn rollout_reaches_the_desired_state_and_never_leaves_the_model_unserved(
        engines in 2..8_usize,
        replicas in 1..8_u32,
        load_seconds in 1..60_u64,
        report_lag in 0..5_u64,
    ) {
        let replicas = replicas.min(u32::try_from(engines).expect("small"));
        let loaded: Vec<&str> = (0..engines)
            .map(|n| if n < replicas as usize { "7" } else { "" })
            .collect();
        let mut views = views(&loaded);
        let mut reports = views.clone();
        let mut fleet = vec![Engine { loading: None }; engines];
        let mut planner = planner();
        let policy = policy("8", replicas);
        for second in 10..1500 {
            for (engine, view) in fleet.iter_mut().zip(&mut views) {
                if let Some((done, weights)) = engine.loading.clone()
                    && done <= second
                {
                    view.loaded.insert(MODEL, weights);
                    engine.loading = None;
                }
            }
            if second % (report_lag + 1) == 0 {
                reports.clone_from(&views);
            }
            let plan = planner.plan(at(second), 3, HELD_SINCE, &policy, &reports);
            for order in plan.orders {
                let index = usize::try_from(order.endpoint - 1).expect("small");
                match order.action {
                    Action::Load { weights, .. } => {
                        views[index].loaded.remove(&MODEL);
                        fleet[index].loading = Some((second + load_seconds, weights));
                    }
                    Action::Unload { .. } => {
                        views[index].loaded.remove(&MODEL);
                    }
                }
            }
            let loading = fleet.iter().filter(|engine| engine.loading.is_some());
            prop_assert!(loading.count() <= LIMITS.max_concurrent_loads);
            let serving = views.iter().filter(|view| view.loaded.contains_key(&MODEL));
            prop_assert!(serving.count() >= 1, "nobody serves at {}", second);
        }
        let done = views.iter().filter(|view| view.loaded.get(&MODEL).is_some_and(|w| w == "8"));
        prop_assert!(done.count() >= replicas as usize);
    }
}

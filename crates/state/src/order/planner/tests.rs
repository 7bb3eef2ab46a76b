//! Orders bring endpoints to the wanted state and leave no model unserved.

use proptest::prelude::*;

use super::*;

const SERVICE: ServiceId = 1;
const MODEL: ModelId = 10;
const HELD: Moment = Duration::from_secs(1000);

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
            reported_at: HELD,
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

/// A runner obeys the predecessor's last order after the successor's first
/// one: it ignores fencing numbers and takes whoever speaks last.
#[test]
fn a_new_holder_waits_before_it_speaks() {
    let mut planner = planner();
    let policy = policy("7", 1);
    let views = views(&[""]);
    let plan = planner.plan(at(9), 3, HELD, &policy, &views);
    assert_eq!(plan.orders, []);
    let plan = planner.plan(at(10), 3, HELD, &policy, &views);
    assert_eq!(plan.orders.len(), 1);
    assert_eq!(plan.orders[0].fence, 3);
}

/// The weight store refuses the whole fleet: a new version was ordered on
/// every runner at once.
#[test]
fn loads_keep_their_rate_and_their_number() {
    let mut planner = planner();
    let policy = policy("8", 8);
    let views = views(&["7"; 8]);
    let mut orders = Vec::new();
    for second in 10..40 {
        let plan = planner.plan(at(second), 3, HELD, &policy, &views);
        orders.extend(plan.orders.into_iter().map(|_| second));
    }
    assert_eq!(orders, [10, 15]);
}

/// Drafts stop while the last runner with a model loads its new weights.
#[test]
fn a_model_with_one_endpoint_is_blocked_and_said_so() {
    let mut planner = planner();
    let plan = planner.plan(at(10), 3, HELD, &policy("8", 1), &views(&["7"]));
    assert_eq!(plan.orders, []);
    assert_eq!(plan.blocked, [Blocked::SoleEndpoint(MODEL)]);
}

/// A runner that ignores fencing numbers went back to old weights on a stale
/// order. Its report shows it, and it is told again.
#[test]
fn a_report_of_the_wrong_state_brings_a_new_order() {
    let mut planner = planner();
    let policy = policy("8", 2);
    let plan = planner.plan(at(10), 3, HELD, &policy, &views(&["8", "8"]));
    assert_eq!(plan.orders, []);
    let plan = planner.plan(at(20), 3, HELD, &policy, &views(&["8", "7"]));
    let endpoints: Vec<EndpointId> = plan.orders.iter().map(|o| o.endpoint).collect();
    assert_eq!(endpoints, [2]);
}

/// A restarted runner stays empty: its order was lost with its former life.
#[test]
fn a_restart_ends_what_was_under_way() {
    let mut planner = planner();
    let policy = policy("8", 1);
    let mut views = views(&[""]);
    planner.plan(at(10), 3, HELD, &policy, &views);
    assert_eq!(planner.plan(at(20), 3, HELD, &policy, &views).orders, []);
    views[0].incarnation = 2;
    assert_eq!(
        planner.plan(at(30), 3, HELD, &policy, &views).orders.len(),
        1
    );
}

/// An endpoint as it obeys: it serves nothing of a model while it loads.
#[derive(Clone, Debug)]
struct Engine {
    loading: Option<(u64, String)>,
}

proptest! {
    // Each case plays 25 minutes second by second.
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn a_roll_ends_as_wanted_and_never_leaves_the_model_unserved(
        engines in 2..8_usize,
        replicas in 1..8_u32,
        load_seconds in 1..60_u64,
        report_lag in 0..5_u64,
    ) {
        let replicas = replicas.min(u32::try_from(engines).expect("small"));
        let have: Vec<&str> = (0..engines)
            .map(|n| if n < replicas as usize { "7" } else { "" })
            .collect();
        let mut views = views(&have);
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
            let plan = planner.plan(at(second), 3, HELD, &policy, &reports);
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

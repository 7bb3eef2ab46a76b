//! Figures of rolling new weights over a pool.

use std::time::Duration;

use godwitpost_state::order::{Action, Limits, Planner, View};
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::policy::{Model, Policy};

use crate::figure::{Bound, Figure};

const SERVICE: u64 = 1;
const MODEL: u64 = 10;
const START: Moment = Duration::from_secs(10_000);

// A runner pulls and loads its weights for a minute.
const LOAD: Duration = Duration::from_mins(1);

// Reports are three seconds behind.
const LAG: u64 = 3;

/// What one roll came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Roll {
    /// The fewest endpoints that served the model at any time.
    pub least_serving: usize,
    /// The most that loaded at once.
    pub most_loading: usize,
    /// How long it took.
    pub took: Duration,
}

/// Rolls new weights over a pool of which `replicas` serve a model.
///
/// # Panics
///
/// Panics if the planner gives an order to an endpoint that it was not shown.
#[must_use]
pub fn roll(engines: u32, replicas: u32, limits: Limits) -> Roll {
    let engines = engines as usize;
    let mut views: Vec<View> = (0..engines).map(|n| view(n, replicas)).collect();
    let mut reports = views.clone();
    let mut loading: Vec<Option<(Moment, String)>> = vec![None; engines];
    let mut planner = Planner::new(SERVICE, limits);
    let policy = policy(replicas);
    let mut roll = Roll {
        least_serving: engines,
        most_loading: 0,
        took: Duration::ZERO,
    };
    for second in 0..86_400 {
        let now = START + Duration::from_secs(second);
        finish(now, &mut views, &mut loading);
        if second % LAG == 0 {
            reports.clone_from(&views);
        }
        for order in planner
            .plan(now, 1, Duration::ZERO, &policy, &reports)
            .orders
        {
            let index = usize::try_from(order.endpoint).expect("a known endpoint");
            views[index].loaded.remove(&MODEL);
            if let Action::Load { weights, .. } = order.action {
                loading[index] = Some((now + LOAD, weights));
            }
        }
        roll.least_serving = roll.least_serving.min(serving(&views));
        roll.most_loading = roll.most_loading.max(loading.iter().flatten().count());
        roll.took = now.saturating_sub(START);
        if done(&views) >= replicas as usize {
            break;
        }
    }
    roll
}

/// Returns the figures at the size of today and at that of one of 35 models
/// over 3,300 runners.
#[must_use]
pub fn figures() -> Vec<Figure> {
    let today = Limits {
        max_concurrent_loads: 2,
        min_load_interval: Duration::from_secs(5),
    };
    let letter = Limits {
        max_concurrent_loads: 12,
        min_load_interval: Duration::from_secs(1),
    };
    let unlimited = Limits {
        max_concurrent_loads: usize::MAX,
        min_load_interval: Duration::ZERO,
    };
    let mut figures = Vec::new();
    for (name, size, limits) in [
        ("today", 10, today),
        ("letter", 94, letter),
        ("today_unlimited", 10, unlimited),
    ] {
        let roll = roll(size, size, limits);
        let share = float(roll.least_serving) / f64::from(size);
        figures.push(Figure::new(
            format!("orders.least_serving.{name}"),
            share,
            "ratio",
            Bound::AtLeast(0.7),
        ));
        figures.push(Figure::new(
            format!("orders.most_loading.{name}"),
            float(roll.most_loading),
            "loads",
            Bound::Free,
        ));
        figures.push(Figure::new(
            format!("orders.roll_time.{name}"),
            roll.took.as_secs_f64(),
            "s",
            Bound::Free,
        ));
    }
    figures
}

fn finish(now: Moment, views: &mut [View], loading: &mut [Option<(Moment, String)>]) {
    for (view, loading) in views.iter_mut().zip(loading) {
        if let Some((_, weights)) = loading.take_if(|(done, _)| *done <= now) {
            view.loaded.insert(MODEL, weights);
        }
    }
}

fn serving(views: &[View]) -> usize {
    let serving = views.iter().filter(|view| view.loaded.contains_key(&MODEL));
    serving.count()
}

fn done(views: &[View]) -> usize {
    let loaded = views.iter().filter_map(|view| view.loaded.get(&MODEL));
    loaded.filter(|weights| *weights == "8").count()
}

fn view(n: usize, replicas: u32) -> View {
    let old = (n < replicas as usize).then(|| (MODEL, "7".to_owned()));
    View {
        id: n as u64,
        incarnation: 1,
        standing: Standing::Live,
        reported_at: START,
        loaded: old.into_iter().collect(),
    }
}

fn policy(replicas: u32) -> Policy {
    let model = Model {
        name: "route-writer".to_owned(),
        service: SERVICE,
        weights: "8".to_owned(),
        replicas,
        answer_tokens: 256,
    };
    Policy {
        models: [(MODEL, model)].into(),
        ..Policy::default()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a bench stay far below 2^53"
)]
const fn float(value: usize) -> f64 {
    value as f64
}

#[cfg(test)]
mod tests;

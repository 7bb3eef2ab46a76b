//! Measures the decisions of instances that send to endpoints directly.
//!
//! Each instance has a book and a budget of its own and hears of the others'
//! requests only by what endpoints say in their answers. Callers, answers and
//! ends are driven in time, so figures depend on the seed alone; processor
//! time, which [`cost`] measures, never decides a test.

pub mod cost;
pub mod events;
mod instance;
mod loss;
mod memory;
mod storm;
mod traffic;

use std::time::Duration;

use crate::figure::{Bound, Figure};

pub use self::loss::{Lateness, lossy};
pub use self::memory::{Knowledge, Recalled, recall};
pub use self::storm::{RATIO, Repeats, storm};
pub use self::traffic::{Day, Evacuation, Placed, drive, drive_day};

/// A fleet and its traffic.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Its name in figures.
    pub name: &'static str,
    /// Instances.
    pub instances: usize,
    /// Endpoints of the one service.
    pub endpoints: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Requests a second of the whole fleet.
    pub rate: f64,
    /// Parts that prompts share; the n-th is asked for 1/n as often.
    pub parts: usize,
    /// Time driven, of which the first third is not measured.
    pub time: Duration,
}

/// The sizes that are driven: two deployments of the users, small and grown,
/// and the size that the letter asks for.
pub const SIZES: [Size; 3] = [
    Size {
        name: "6",
        instances: 6,
        endpoints: 10,
        slots: 24,
        rate: 80.0,
        parts: 300,
        time: Duration::from_secs(90),
    },
    Size {
        name: "81",
        instances: 81,
        endpoints: 90,
        slots: 24,
        rate: 800.0,
        parts: 1_900,
        time: Duration::from_secs(45),
    },
    Size {
        name: "320",
        instances: 320,
        endpoints: 3_300,
        slots: 24,
        rate: 17_000.0,
        parts: 60_000,
        time: Duration::from_secs(2),
    },
];

/// The greatest load as a multiple of the mean, as in the settings.
pub const ALLOWED: f64 = 2.0;

/// Requests above the bound that nobody minds.
const FEW: f64 = 3.0;

/// The share of one kind of prompt that is about one thing on the worst days.
pub const HOT: f64 = 0.28;

/// The form of the decisions: as they are, or weaker, to be compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// As they are.
    Whole,
    /// Long prompts spill as soon as short ones.
    OneLength,
    /// Prompts in demand spill as late as others.
    NoDemand,
    /// What is not known of an endpoint is taken for nothing.
    Idle,
    /// The mean is that of the endpoints that requests may go to.
    Usable,
    /// Endpoints that are given back are taken to be as busy as others.
    Busy,
}

/// Returns the figures of a size's traffic.
#[must_use]
pub fn traffic(size: &Size, seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (day, hot) in [("usual", 0.0), ("hot", HOT)] {
        for form in [Form::Whole, Form::OneLength, Form::NoDemand, Form::Idle] {
            let placed = drive(size, form, hot, seed);
            let name = |figure: &str| {
                let form = format!("{form:?}").to_lowercase();
                format!("direct.{}.{day}.{form}.{figure}", size.name)
            };
            // Three placements in a hundred may pass the bound: loads are
            // known late. Nothing is promised for a part in sudden demand.
            let judged = form == Form::Whole && hot == 0.0;
            let above = if judged {
                Bound::AtMost(0.03)
            } else {
                Bound::Free
            };
            figures.extend([
                Figure::new(name("above_bound"), placed.above, "ratio", above),
                Figure::new(name("peak"), placed.peak, "of mean", Bound::Free),
                Figure::new(name("away"), placed.away, "ratio", Bound::Free),
                Figure::new(name("again"), placed.again, "tokens", Bound::Free),
            ]);
        }
    }
    figures
}

/// Returns the figures of prompts' memory at a size.
#[must_use]
pub fn memory(size: &Size, seed: u64) -> Vec<Figure> {
    let all = [
        Knowledge::None,
        Knowledge::Ranking,
        Knowledge::Told,
        Knowledge::Oracle,
    ];
    let figures = |knowledge: Knowledge| {
        let recalled = recall(size, knowledge, seed);
        let name = |figure: &str| {
            let knowledge = format!("{knowledge:?}").to_lowercase();
            format!("direct.{}.memory.{knowledge}.{figure}", size.name)
        };
        let [median, late] = recalled.first;
        [
            Figure::new(name("again"), recalled.again, "tokens", Bound::Free),
            Figure::new(name("fetched"), recalled.fetched, "tokens", Bound::Free),
            Figure::new(name("first.p50"), median, "ms", Bound::Free),
            Figure::new(name("first.p99"), late, "ms", Bound::Free),
        ]
    };
    all.into_iter().flat_map(figures).collect()
}

/// Returns the figures of streams over ways that lose packets.
#[must_use]
pub fn loss(seed: u64) -> Vec<Figure> {
    let figures = |(name, heeded): (&str, bool)| {
        let lateness = lossy(heeded, seed);
        let named = |figure: &str| format!("direct.loss.{name}.{figure}");
        [
            Figure::new(named("late"), lateness.late, "of streams", Bound::Free),
            Figure::new(
                named("above_bound"),
                lateness.above,
                "ratio",
                Bound::AtMost(0.03),
            ),
        ]
    };
    let forms = [("ignored", false), ("heeded", true)];
    forms.into_iter().flat_map(figures).collect()
}

/// Returns the figures of a storm of repeats.
#[must_use]
pub fn repeats(instances: usize, seed: u64) -> Vec<Figure> {
    let name = |form: &str| format!("direct.storm.{instances}.{form}");
    let kept = storm(instances, true, seed);
    let free = storm(instances, false, seed);
    // The part of requests that the settings allow.
    let most = Bound::AtMost(RATIO);
    vec![
        Figure::new(name("repeats"), kept.ratio, "of requests", most),
        Figure::new(name("served"), kept.served, "ratio", Bound::Free),
        Figure::new(
            name("unbounded.repeats"),
            free.ratio,
            "of requests",
            Bound::Free,
        ),
        Figure::new(name("unbounded.served"), free.served, "ratio", Bound::Free),
    ]
}

//! Measures what a fleet admits of one workspace, in parts of its limit.
//!
//! Instances with real limits meet as the gossip pump has them meet: each
//! begins a contact a second, in shuffled rounds, and words go both ways.
//! Time is driven and callers come evenly spaced, so figures depend on the
//! seed alone.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_decide::limit::Limits;
use godwitpost_types::policy::Workspace;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use crate::figure::{Bound, Figure};

/// The sizes that are measured.
pub const SIZES: [usize; 3] = [6, 50, 320];

/// What the fleet may admit of the limit over five seconds in which a surge is
/// not yet heard of: twice by the even shares' slack, and a second's worth that
/// the token buckets hold.
pub const SURGE: f64 = 2.5;

/// What the fleet may admit of the limit at a steady demand with all words
/// heard: the limit and a quarter of it that is not told.
pub const STEADY: f64 = 1.25;

// The limit's even part: well above one request a second, the least share.
const EACH: f64 = 10.0;

const WORKSPACE: u64 = 1;
const TICKS: u32 = 10;
const SECONDS: u64 = 60;

// From here on demand is counted as steady, or surges.
const SETTLED: u64 = 30;

// Seconds that a peak is averaged over; a token bucket holds a second's worth.
const WINDOW: usize = 5;

/// How the callers spread over the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    /// All at one instance, asking for one and a half times the limit.
    One,
    /// Each instance gets half of what the one before it gets, or a tenth of
    /// its even part if that is more; twice the limit and a little.
    Uneven,
    /// Three tenths of the limit, evenly, and then five times the limit.
    Surge,
    /// All at one instance as in `One`, and then also a surge at the others.
    Joined,
}

/// What was admitted, in parts of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admitted {
    /// The mean of the last 15 seconds.
    pub steady: f64,
    /// The highest mean of five seconds.
    pub peak: f64,
}

/// Drives a fleet; `told` says whether instances tell each other of demand.
#[must_use]
pub fn drive(size: usize, callers: Callers, told: bool, seed: u64) -> Admitted {
    let mut fleet = Fleet::new(size, seed);
    let seconds: Vec<f64> = (1..=SECONDS)
        .map(|second| {
            let admitted = fleet.second(second, callers);
            if told {
                fleet.meet(second);
            }
            admitted / fleet.workspace().rate
        })
        .collect();
    let mean = |part: &[f64]| part.iter().sum::<f64>() / to_f64(part.len());
    Admitted {
        steady: mean(&seconds[seconds.len() - 3 * WINDOW..]),
        peak: seconds.windows(WINDOW).map(mean).fold(0.0, f64::max),
    }
}

/// Returns the figures at all sizes, before and after.
#[must_use]
pub fn figures() -> Vec<Figure> {
    let mut figures = Vec::new();
    for size in SIZES {
        for (name, callers) in [
            ("one", Callers::One),
            ("uneven", Callers::Uneven),
            ("surge", Callers::Surge),
            ("joined", Callers::Joined),
        ] {
            for (told, when) in [(false, "untold"), (true, "told")] {
                let Admitted { steady, peak } = drive(size, callers, told, 1);
                let name = format!("limits.{size}.{name}.{when}");
                let bound = Bound::AtMost(SURGE);
                figures.push(Figure::new(format!("{name}.peak"), peak, "limits", bound));
                let bound = if told && size == SIZES[0] {
                    Bound::AtMost(STEADY)
                } else {
                    bound
                };
                figures.push(Figure::new(
                    format!("{name}.steady"),
                    steady,
                    "limits",
                    bound,
                ));
            }
        }
    }
    figures
}

struct Fleet {
    limits: Vec<Limits>,
    rounds: Vec<Vec<usize>>,
    due: Vec<f64>,
    workspaces: BTreeMap<u64, Workspace>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let workspace = Workspace {
            name: "fair".into(),
            weight: 1.0,
            rate: EACH * to_f64(size),
            concurrency: u32::MAX,
            services: std::collections::BTreeSet::new(),
        };
        Self {
            limits: vec![Limits::default(); size],
            rounds: vec![Vec::new(); size],
            due: vec![0.0; size],
            workspaces: BTreeMap::from([(WORKSPACE, workspace)]),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn workspace(&self) -> &Workspace {
        &self.workspaces[&WORKSPACE]
    }

    fn second(&mut self, second: u64, callers: Callers) -> f64 {
        let size = self.limits.len();
        let workspace = self.workspaces[&WORKSPACE].clone();
        let mut admitted = 0;
        for tick in 0..TICKS {
            let now = Duration::from_millis(second * 1000 + u64::from(tick * 1000 / TICKS));
            for (index, limits) in self.limits.iter_mut().enumerate() {
                let due = &mut self.due[index];
                *due += asked(callers, index, size, second) / f64::from(TICKS);
                while *due >= 1.0 {
                    *due -= 1.0;
                    if limits.admit(now, WORKSPACE, &workspace, size).is_ok() {
                        limits.release(WORKSPACE);
                        admitted += 1;
                    }
                }
            }
        }
        f64::from(admitted)
    }

    fn meet(&mut self, second: u64) {
        let now = Duration::from_secs(second + 1);
        for index in 0..self.limits.len() {
            let peer = self.peer(index);
            self.tell(now, index, peer);
            self.tell(now, peer, index);
        }
    }

    fn tell(&mut self, now: Duration, from: usize, to: usize) {
        let size = self.limits.len();
        let demands = self.limits[from].demands(now, &self.workspaces, size);
        self.limits[to].record_demands(now, from as u64, &demands);
    }

    fn peer(&mut self, index: usize) -> usize {
        if self.rounds[index].is_empty() {
            let others = (0..self.limits.len()).filter(|other| *other != index);
            self.rounds[index] = others.collect();
            self.rounds[index].shuffle(&mut self.rng);
        }
        self.rounds[index].pop().expect("a fleet has two or more")
    }
}

// Requests a second at one instance.
fn asked(callers: Callers, index: usize, size: usize, second: u64) -> f64 {
    let limit = EACH * to_f64(size);
    match callers {
        Callers::One | Callers::Joined if index == 0 => limit * 1.5,
        Callers::One => 0.0,
        Callers::Joined if second < SETTLED => 0.0,
        Callers::Uneven => (limit * 0.5_f64.powf(to_f64(index))).max(EACH * 0.1),
        Callers::Surge if second < SETTLED => EACH * 0.3,
        Callers::Surge | Callers::Joined => EACH * 5.0,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of instances")]
const fn to_f64(count: usize) -> f64 {
    count as f64
}

#[cfg(test)]
mod tests;

//! Seeded schedules of rolls, and what they do to the bundle in force.
//!
//! A schedule drives the real folds of a few instances and two operators
//! against an in-memory log that truncates, goes down, takes appends late or
//! twice, while instances pause, restart, talk to each other and are all
//! replaced at once. After every step the versions in force are held against
//! a reader that saw every record.

mod instance;
mod judge;
mod operators;
mod stream;
#[cfg(test)]
mod tests;

use std::time::Duration;

use godwitpost_types::clock::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::figure::{Bound, Figure};
use instance::{Handed, Instance};
use judge::Judge;
pub use judge::Tally;
use operators::Operators;
use stream::Stream;

/// Instances in a schedule: enough for two to disagree in front of others.
const INSTANCES: usize = 4;

/// Steps of a schedule. Most faults need three or four events in a row; the
/// weakened folds are caught within this many.
const STEPS: u32 = 80;

/// The most time that passes in a step.
const STEP: Duration = Duration::from_mins(10);

/// How long the log keeps records: a schedule spans about one retention.
const RETENTION: Duration = Duration::from_hours(6);

/// Steps that an instance is paused or the log is down at most: an hour, a
/// sixth of the retention.
const OUTAGE: u32 = 6;

/// How far the rules of the fold are broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    /// They are kept.
    None,
    /// Any peer's snapshot is adopted, however old.
    AdoptsAny,
    /// Records after a gap are folded as if nothing were missing.
    IgnoresGaps,
    /// A checkpoint claims to cover all up to its own offset.
    ClaimsAll,
    /// An instance serves what it has before it reached the log's end.
    ServesEarly,
    /// The end of a stream without a bundle makes an instance ready.
    ReadyOnEmpty,
}

/// Returns the figures of this many schedules.
#[must_use]
pub fn figures(seed: u64, schedules: u32) -> Vec<Figure> {
    let mut tally = Tally::default();
    for index in 0..u64::from(schedules) {
        tally.add(&run(seed + index, Weakness::None));
    }
    let none = Bound::AtMost(0.0);
    let count = |name: &str, value: u32, bound| Figure::new(name, f64::from(value), "count", bound);
    vec![
        count("rolls.reversions", tally.reversions, none),
        count("rolls.disagreements", tally.disagreements, none),
        count("rolls.stranded", tally.stranded, none),
        count("rolls.in_force", tally.in_force, Bound::Free),
        count("rolls.races_lost", tally.races_lost, Bound::Free),
        count("rolls.gaps", tally.gaps, Bound::Free),
        count("rolls.checkpoints", tally.checkpoints, Bound::Free),
    ]
}

/// Runs the schedule of one seed.
#[must_use]
pub fn run(seed: u64, weakness: Weakness) -> Tally {
    let mut world = World::new(seed, weakness);
    for _ in 0..STEPS {
        world.step();
    }
    world.judge.into_tally()
}

struct World {
    rng: ChaCha8Rng,
    weakness: Weakness,
    now: Moment,
    stream: Stream,
    // Half of the schedules truncate more than the log's contract allows. A
    // bundle may be lost for good there, but must still never go back.
    harsh: bool,
    operators: Operators,
    instances: Vec<Instance>,
    judge: Judge,
}

impl World {
    fn new(seed: u64, weakness: Weakness) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let harsh = rng.random_bool(0.5);
        Self {
            weakness,
            now: Duration::from_hours(1),
            stream: Stream::new(RETENTION),
            harsh,
            operators: Operators::new(),
            instances: (0..INSTANCES).map(|_| Instance::new()).collect(),
            judge: Judge::new(harsh),
            rng,
        }
    }

    fn step(&mut self) {
        self.now += STEP.mul_f64(self.rng.random());
        self.stream.pass(self.now);
        self.event();
        self.look();
        for index in 0..INSTANCES {
            self.tick(index);
        }
        self.look();
    }

    fn look(&mut self) {
        self.judge.stream(&self.stream);
        for (index, instance) in self.instances.iter().enumerate() {
            self.judge.instance(index, instance);
        }
    }

    fn event(&mut self) {
        let index = self.rng.random_range(0..INSTANCES);
        match self.rng.random_range(0..100) {
            0..25 => self.roll(),
            25..50 => self.read(index),
            50..65 => self.talk(index),
            65..72 => self.restart(index),
            72..75 => (0..INSTANCES).for_each(|index| self.restart(index)),
            75..82 => self.instances[index].pause(self.rng.random_range(1..=OUTAGE)),
            82..87 => self.stream.fail(self.rng.random_range(1..=OUTAGE)),
            87..92 => self.stream.land(&mut self.rng),
            92..97 => self.stream.repeat(&mut self.rng),
            _ if self.harsh => self.stream.truncate(&mut self.rng),
            _ => {}
        }
    }

    fn roll(&mut self) {
        let change = self.operators.roll(self.judge.history(), &mut self.rng);
        self.stream.append_somehow(change, &mut self.rng);
    }

    fn read(&mut self, index: usize) {
        let most = self.rng.random_range(1..=6);
        self.instances[index].read(&self.stream, most, self.weakness);
    }

    // An instance hears from a peer that serves, as it does on every message
    // between them.
    fn talk(&mut self, index: usize) {
        let peer = self.rng.random_range(0..INSTANCES);
        if peer == index || !self.instances[index].awake() || !self.instances[peer].serves() {
            return;
        }
        let other = self.instances[peer].clone();
        let handed = match self.rng.random_range(0..10) {
            0..5 => Handed::Snapshot,
            5..9 => Handed::Update,
            _ => Handed::BrokenUpdate,
        };
        self.instances[index].hear(&other, handed, self.weakness);
    }

    fn restart(&mut self, index: usize) {
        self.instances[index] = Instance::new();
        self.judge.restarted(index);
    }

    fn tick(&mut self, index: usize) {
        let rank = u32::try_from(index).unwrap_or(u32::MAX);
        let instance = &mut self.instances[index];
        if !instance.wake() || !self.stream.up() {
            return;
        }
        if instance.renew(self.now, RETENTION, rank) && self.rng.random_bool(0.3) {
            // It stalls with the checkpoint in hand and appends it later.
            instance.pause(self.rng.random_range(1..=OUTAGE));
            return;
        }
        instance.append_in_hand(&mut self.stream, self.weakness);
        instance.read(&self.stream, 1, self.weakness);
    }
}

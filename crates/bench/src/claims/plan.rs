//! What a seed makes of a schedule: who fails when, and how the log behaves.

use std::time::Duration;

use godwitpost_types::clock::Moment;
use rand::{Rng, RngExt};

use crate::state::log::Weather;

/// When schedules begin; far from zero, so that clocks may lie behind it.
pub const START: Moment = Duration::from_secs(10_000);

/// How long new requests come.
pub const BUSY: Duration = Duration::from_secs(30);

/// When a schedule ends, with all that was under way long over.
pub const END: Moment = Duration::from_secs(10_240);

/// The claim window of all schedules.
pub const WINDOW: Duration = Duration::from_mins(1);

/// The constants of one schedule.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Instances.
    pub instances: usize,
    /// How far each instance's clock is ahead of the slowest one.
    pub clocks: Vec<Duration>,
    /// How far the log's clock is ahead.
    pub log_ahead: Duration,
    /// The log's behaviour.
    pub weather: Weather,
    /// How long the log keeps records, looked at every ten seconds.
    pub kept: Duration,
    /// The share of messages between instances that are lost.
    pub lost: f64,
    /// The longest delay of a message.
    pub delay: Duration,
    /// Pauses: who, when, how long.
    pub pauses: Vec<(usize, Moment, Duration)>,
    /// Crashes: who, when.
    pub crashes: Vec<(usize, Moment)>,
    /// Changes of whom an instance takes for the batcher.
    pub views: Vec<(usize, Moment, usize)>,
    /// Keys, each asked for by one caller.
    pub keys: usize,
}

impl Plan {
    /// Draws a schedule's plan.
    pub fn draw<R: Rng>(rng: &mut R) -> Self {
        let instances = rng.random_range(2..=4);
        Self {
            instances,
            clocks: (0..instances).map(|_| up_to(4.0, rng)).collect(),
            log_ahead: up_to(4.0, rng),
            weather: weather(rng),
            kept: kept(rng),
            lost: rng.random_range(0.0..0.3),
            delay: up_to(0.4, rng),
            pauses: (0..rng.random_range(0..5))
                .map(|_| (rng.random_range(0..instances), moment(rng), up_to(9.0, rng)))
                .collect(),
            crashes: (0..rng.random_range(0..3))
                .map(|_| (rng.random_range(0..instances), moment(rng)))
                .collect(),
            views: (0..rng.random_range(0..8))
                .map(|_| {
                    let view = rng.random_range(0..instances);
                    (rng.random_range(0..instances), moment(rng), view)
                })
                .collect(),
            keys: rng.random_range(2..=4),
        }
    }
}

/// Returns a random duration of up to `seconds`.
pub fn up_to<R: Rng>(seconds: f64, rng: &mut R) -> Duration {
    Duration::from_secs_f64(rng.random_range(0.0..seconds))
}

fn moment<R: Rng>(rng: &mut R) -> Moment {
    START + BUSY.mul_f64(rng.random_range(0.0..1.5))
}

fn weather<R: Rng>(rng: &mut R) -> Weather {
    Weather {
        lost: rng.random_range(0.0..0.4),
        unread: rng.random_range(0.0..0.2),
        outages: (0..rng.random_range(0..3))
            .map(|_| {
                let from = moment(rng);
                (from, from + up_to(12.0, rng))
            })
            .collect(),
        delay: up_to(0.3, rng),
    }
}

// Half of the logs keep records for as long as the window asks for, the others
// lose them far too early.
fn kept<R: Rng>(rng: &mut R) -> Duration {
    if rng.random_bool(0.5) {
        WINDOW * 2
    } else {
        up_to(60.0, rng)
    }
}

//! Draws what a service is asked for and what befalls it.

use std::ops::Range;
use std::time::Duration;

use godwitpost_types::id::PartId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::Size;

/// Within this time after a change all instances know of it.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// When requests with the crashing part begin to come.
pub(crate) const START: Duration = Duration::from_secs(8);

/// How long a schedule lasts.
pub(crate) const END: Duration = Duration::from_secs(70);

/// What crashes endpoints beside the usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    None,
    OnePart,
    TwoParts,
    /// One part, which requests have had before without harm.
    FormerlySound,
    /// One part that always comes with another one, which some sound requests have.
    WithCompanion,
}

pub(crate) const CRASHING: PartId = 9_001;
pub(crate) const CRASHING_TOO: PartId = 9_002;
pub(crate) const COMPANION: PartId = 9_003;

/// What befalls one instance.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) instance: usize,
    pub(crate) when: Range<Duration>,
    pub(crate) kind: FaultKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// It is killed, and starts again.
    Killed,
    /// It neither sends nor gets evidence.
    CutOff,
    /// It notices everything late.
    Slow,
}

/// What a service is asked for and what befalls it.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) size: Size,
    pub(crate) trouble: Trouble,
    /// Sound requests in a second.
    pub(crate) rate: f64,
    /// Requests with a crashing part in a second.
    pub(crate) crashing_rate: f64,
    pub(crate) crashing: Range<Duration>,
    /// The number of first parts, the first ones the most popular.
    pub(crate) workspaces: u64,
    /// The number of second parts of each.
    pub(crate) documents: u64,
    /// The place of the crashing part among the parts.
    pub(crate) place: usize,
    /// How long an endpoint takes until it begins to answer, for each request there.
    pub(crate) read_time: Duration,
    /// The mean time that an answer takes after it began.
    pub(crate) write_time: Duration,
    /// How long after it began to answer an endpoint crashes.
    pub(crate) crash_time: Range<Duration>,
    /// After how long a crashed endpoint is back.
    pub(crate) restart_time: Range<Duration>,
    /// When endpoints end for other reasons, and how many at once.
    pub(crate) ends: Vec<(Duration, usize)>,
    pub(crate) faults: Vec<Fault>,
    /// When messages are lost, and which part of them.
    pub(crate) losses: (Range<Duration>, f64),
}

impl Schedule {
    pub(crate) fn draw(size: Size, trouble: Trouble, rng: &mut ChaCha8Rng) -> Self {
        let crashing_end = END.min(START + seconds(rng, 20.0..60.0));
        let crash_start = rng.random_range(0.005..0.1);
        Self {
            size,
            trouble,
            rate: size.max_rate * rng.random_range(0.3..1.0),
            crashing_rate: rng.random_range(1.0..8.0),
            crashing: START..crashing_end,
            workspaces: rng.random_range(1..6),
            documents: rng.random_range(2..40),
            place: rng.random_range(0..3),
            read_time: seconds(rng, 0.005..0.04),
            write_time: seconds(rng, 0.05..4.0),
            crash_time: Duration::from_secs_f64(crash_start)
                ..Duration::from_secs_f64(crash_start + 0.1),
            restart_time: Duration::from_millis(1_500)..Duration::from_secs(4),
            ends: draw_ends(size, rng),
            faults: draw_faults(size, rng),
            losses: {
                let start = seconds(rng, 0.0..40.0);
                (
                    start..start + seconds(rng, 0.0..10.0),
                    rng.random_range(0.0..0.2),
                )
            },
        }
    }
}

fn seconds(rng: &mut ChaCha8Rng, range: Range<f64>) -> Duration {
    Duration::from_secs_f64(rng.random_range(range))
}

// Endpoints end one after the other or several at once, or both.
fn draw_ends(size: Size, rng: &mut ChaCha8Rng) -> Vec<(Duration, usize)> {
    let mut ends = Vec::new();
    if rng.random_bool(0.5) {
        let mut at = seconds(rng, 4.0..30.0);
        let pause = seconds(rng, 0.05..1.5);
        for _ in 0..rng.random_range(3..12) {
            ends.push((at, 1));
            at += pause;
        }
    }
    if rng.random_bool(0.5) {
        for _ in 0..rng.random_range(1..4) {
            ends.push((
                seconds(rng, 4.0..60.0),
                rng.random_range(2..=size.endpoints / 3),
            ));
        }
    }
    ends
}

fn draw_faults(size: Size, rng: &mut ChaCha8Rng) -> Vec<Fault> {
    let count = rng.random_range(0..=2 + size.instances / 20);
    let kinds = [FaultKind::Killed, FaultKind::CutOff, FaultKind::Slow];
    (0..count)
        .map(|_| {
            let start = seconds(rng, 0.0..60.0);
            Fault {
                instance: rng.random_range(0..size.instances),
                when: start..start + seconds(rng, 0.5..5.0),
                kind: kinds[rng.random_range(0..kinds.len())],
            }
        })
        .collect()
}

//! What claims cost in time and appends when nothing fails.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_state::claim::{Batcher, Id, Item, Next, PARTITIONS, Page, Record};
use godwitpost_types::clock::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::figure::{Bound, Figure};

/// What one partition did under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Appends over the run.
    pub appends: u64,
    /// Claims answered.
    pub answered: u64,
    /// The median time from claim to verdict.
    pub median: Duration,
    /// The time that 99 in 100 keep.
    pub p99: Duration,
}

const START: Moment = Duration::from_secs(10_000);
const LONG: Duration = Duration::from_mins(1);
const WINDOW: Duration = Duration::from_mins(15);
const SEED: u64 = 1;

// Appends a second that the log takes, by the brief: several hundred.
const LOG_RATE: f64 = 400.0;

/// Drives one partition's batcher with `rate` claims a second, each with its
/// fate a little later, and a log that is `way` away.
#[must_use]
pub fn run(rate: f64, way: Duration) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut batcher = Batcher::new(WINDOW);
    let mut arrivals = arrivals(rate, &mut rng);
    let mut answers: BTreeMap<(Moment, u64), u64> = BTreeMap::new();
    let mut asked: BTreeMap<Id, Moment> = BTreeMap::new();
    let mut took: Vec<Duration> = Vec::new();
    let mut appends = 0;
    let mut now = START;
    while now < START + LONG {
        loop {
            match batcher.next(now) {
                Next::Append { ticket, .. } => {
                    answers.insert((now + way * 2, ticket), appends);
                    appends += 1;
                }
                Next::Read { .. } => batcher.apply_page(now, &Page::default()),
                Next::Reply { id, .. } => {
                    let since = asked.remove(&id).unwrap_or(now);
                    took.push(now.saturating_sub(since));
                }
                Next::Wait(_) => break,
            }
        }
        now += Duration::from_millis(1);
        while let Some(entry) = arrivals.first_entry()
            && entry.key().0 <= now
        {
            let item = entry.remove();
            if let Item::Claim(record) = item {
                asked.insert(record.id, now);
            }
            batcher.submit(now, item);
        }
        while let Some(entry) = answers.first_entry()
            && entry.key().0 <= now
        {
            let ((_, ticket), offset) = entry.remove_entry();
            batcher.appended(now, ticket, offset, now);
        }
    }
    took.sort_unstable();
    let at = |part: usize| took.get(took.len() * part / 100).copied();
    Outcome {
        appends,
        answered: took.len() as u64,
        median: at(50).unwrap_or_default(),
        p99: at(99).unwrap_or_default(),
    }
}

/// Returns the figures at the rates of today and of the letter.
#[must_use]
pub fn figures() -> Vec<Figure> {
    let parts = f64::from(PARTITIONS);
    let mut figures = Vec::new();
    for (name, rate, way) in [
        ("today", 10.0, 2),
        ("letter", 1700.0, 2),
        ("letter_slow_log", 1700.0, 100),
    ] {
        let way = Duration::from_millis(way);
        let outcome = run(rate / parts, way);
        let appends = float(outcome.appends) / LONG.as_secs_f64() * parts;
        let millis = |time: Duration| time.as_secs_f64() * 1000.0;
        let limit = millis(way * 4) + 60.0;
        figures.push(Figure::new(
            format!("claims.appends.{name}"),
            appends,
            "1/s",
            Bound::AtMost(LOG_RATE),
        ));
        figures.push(Figure::new(
            format!("claims.verdict_median.{name}"),
            millis(outcome.median),
            "ms",
            Bound::AtMost(limit),
        ));
        figures.push(Figure::new(
            format!("claims.verdict_p99.{name}"),
            millis(outcome.p99),
            "ms",
            Bound::AtMost(limit),
        ));
    }
    figures
}

// Claims at random times, each followed by its fate.
fn arrivals(rate: f64, rng: &mut ChaCha8Rng) -> BTreeMap<(Moment, u64), Item> {
    let mut arrivals = BTreeMap::new();
    let mut at = START;
    for sequence in 0.. {
        let gap = -rng.random_range(f64::MIN_POSITIVE..1.0_f64).ln() / rate;
        at += Duration::from_secs_f64(gap);
        if at > START + LONG {
            break;
        }
        let record = record(sequence, at);
        let fate = Item::Outcome {
            key: record.key,
            id: record.id,
            outcome: godwitpost_types::outcome::Outcome::Ran,
        };
        let ended = at + Duration::from_secs_f64(rng.random_range(0.05..0.5));
        arrivals.insert((at, sequence), Item::Claim(record));
        arrivals.insert((ended, sequence), fate);
    }
    arrivals
}

fn record(sequence: u64, at: Moment) -> Record {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&sequence.to_le_bytes());
    Record {
        id: Id {
            holder: 1,
            incarnation: 1,
            sequence,
        },
        key,
        body: key,
        issued: at,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a bench stay far below 2^53"
)]
const fn float(value: u64) -> f64 {
    value as f64
}

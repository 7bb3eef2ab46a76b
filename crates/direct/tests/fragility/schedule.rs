//! Draws what happens to a service while its endpoints are fragile.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::Size;

/// When endpoints begin to state that they are fragile.
pub(crate) const START: Duration = Duration::from_secs(2);

/// How long after that they may hold fewer waiting requests.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(2);

/// How long a schedule lasts.
pub(crate) const END: Duration = Duration::from_secs(10);

/// What a service is asked for and what befalls it.
#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub(crate) size: Size,
    /// Requests that an endpoint runs at once.
    pub(crate) slots: u32,
    /// Requests that wait at an endpoint at most, before and after it is fragile.
    pub(crate) waiting: [u32; 2],
    /// Refusals in a second that an endpoint withstands.
    pub(crate) max_refusals: u32,
    /// The mean time that a request runs.
    pub(crate) run_time: Duration,
    /// The part of it after which the head of a response is sent.
    pub(crate) head_part: f64,
    /// Whether endpoints state their loads.
    pub(crate) reports_load: bool,
    /// Requests in a second, usually.
    pub(crate) rate: f64,
    /// A time with more requests, and how many times as many.
    pub(crate) burst: (Range<Duration>, f64),
    /// When half of the endpoints are gone.
    pub(crate) loss: Option<Range<Duration>>,
    /// When an instance starts anew.
    pub(crate) restart: Option<Duration>,
    /// The part of refused callers that repeat at once.
    pub(crate) impatient: f64,
    /// The part of requests that ask for the same prompt.
    pub(crate) hot: f64,
    /// How unevenly callers are spread over instances: the weights of the n-th is
    /// `1 / n^skew`.
    pub(crate) skew: f64,
}

impl Schedule {
    pub(crate) fn draw(size: Size, rng: &mut ChaCha8Rng) -> Self {
        let streams = rng.random_bool(0.5);
        let (slots, run_time, head_part) = if streams {
            (rng.random_range(16..=128), 1.5, 0.2)
        } else {
            (rng.random_range(1..=12), rng.random_range(0.02..0.2), 1.0)
        };
        let waiting = slots * rng.random_range(1..=3);
        let run_time: f64 = run_time;
        let capacity = f64::from(size.endpoints * slots) / run_time;
        let usual = rng.random_range(0.2..0.95);
        let burst = if rng.random_bool(0.5) {
            1.6
        } else {
            rng.random_range(1.0..4.0)
        };
        Self {
            size,
            slots,
            waiting: [waiting, rng.random_range(0..=waiting)],
            max_refusals: rng.random_range(1..=40),
            run_time: Duration::from_secs_f64(run_time),
            head_part,
            reports_load: rng.random_bool(0.8),
            rate: (capacity * usual).min(size.max_rate),
            burst: (draw_time(rng, 1.0..3.0), burst),
            loss: rng.random_bool(0.3).then(|| draw_time(rng, 1.0..4.0)),
            restart: rng
                .random_bool(0.3)
                .then(|| Duration::from_secs_f64(rng.random_range(4.0..9.0))),
            impatient: if rng.random_bool(0.3) {
                rng.random_range(0.0..1.0)
            } else {
                0.0
            },
            hot: if rng.random_bool(0.3) {
                rng.random_range(0.0..0.5)
            } else {
                0.0
            },
            skew: if rng.random_bool(0.3) {
                rng.random_range(0.0..1.0)
            } else {
                0.0
            },
        }
    }

    /// Returns the requests in a second at a time.
    pub(crate) fn rate_at(&self, now: Duration) -> f64 {
        let (time, factor) = &self.burst;
        let factor = if time.contains(&now) { *factor } else { 1.0 };
        self.rate * factor
    }
}

fn draw_time(rng: &mut ChaCha8Rng, seconds: Range<f64>) -> Range<Duration> {
    let start = Duration::from_secs_f64(rng.random_range(2.5..8.0));
    start..start + Duration::from_secs_f64(rng.random_range(seconds))
}

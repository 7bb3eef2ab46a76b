//! What a request may expect at an endpoint.

use std::time::Duration;

use super::{
    Demand, Load, MAX_REQUESTS, MAX_TOKENS, SLOW_FACTOR, Speed, bounded, duration, millis,
};

/// The most prompt tokens that an engine prefills in one step together with
/// the decode steps of its running streams.
///
/// Engines don't state theirs; the usual setting is at most this.
const CHUNK_TOKENS: f64 = 2_048.0;

/// What an endpoint can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The number of tokens that its memory holds.
    pub memory_tokens: u64,
}

/// What is known of an endpoint when a request may be sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Situation {
    /// The load of this instance's own requests.
    pub load: Load,
    /// The number of requests of other instances, running or queued, if it
    /// was reported.
    pub others: Option<f64>,
    /// The mean load of this instance's requests to the service, if it has
    /// had any.
    pub mean: Option<Load>,
    /// The endpoint's capacity, if it is configured.
    pub capacity: Option<Capacity>,
    /// The factor by which work takes longer than usual there: a draw of its
    /// pace if endpoints are compared, otherwise the expected pace.
    pub pace: f64,
    /// The number of tokens in an event of a stream.
    pub event_tokens: u32,
}

/// What a request may expect at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// The time to its first event.
    pub first_event: Duration,
    /// The longest pause of the streams that run there, once the request is
    /// among them.
    pub pause: Duration,
    /// Whether memory suffices until all requests are at their end.
    pub fits: bool,
}

/// Returns what a request with an expected output of `output` tokens may
/// expect, or `None` if too little is known.
///
/// Without a report, without an own request to the service while others have
/// some, without a configured capacity or with too few observations, nothing
/// is expected. Callers compare counts of requests then.
#[must_use]
pub fn expect(
    situation: &Situation,
    speed: &Speed,
    demand: &Demand,
    output: f64,
) -> Option<Expectation> {
    let capacity = situation.capacity.filter(|capacity| capacity.slots > 0)?;
    let total = total_load(situation)?;
    let slots = f64::from(capacity.slots);
    let running = (total.requests + 1.0).min(slots);
    let own = bounded(demand.read, MAX_TOKENS);
    let to_read = total.read_tokens + own;
    let read = speed.read_time(to_read)?;
    let wait = slot_wait(&total, slots, speed)?;
    let pause = longest_pause(situation, to_read, running, speed)?;
    let pace = pace(situation.pace);
    let at_end = bounded(demand.prompt, MAX_TOKENS) + bounded(output, MAX_TOKENS);
    Some(Expectation {
        first_event: duration((millis(read) + millis(wait)) * pace),
        pause: duration(millis(pause) * pace),
        fits: total.memory_at_end + at_end <= memory(capacity),
    })
}

// Returns the load of all instances' requests.
fn total_load(situation: &Situation) -> Option<Load> {
    let others = situation.others.filter(|others| others.is_finite())?;
    let others = bounded(others, MAX_REQUESTS);
    if others == 0.0 {
        return Some(situation.load.sanitized());
    }
    let mean = situation.mean?.sanitized();
    let others_load = Load {
        requests: 1.0,
        ..mean
    } * others;
    Some(situation.load.sanitized() + others_load)
}

// Returns the time until a slot is free. Each slot is given back after the
// mean of what is still to be written.
fn slot_wait(total: &Load, slots: f64, speed: &Speed) -> Option<Duration> {
    let ahead = (total.requests + 1.0 - slots).max(0.0);
    let remaining = total.write_tokens / total.requests.max(1.0);
    let hold = speed.write_time(remaining, slots)?;
    Some(duration(millis(hold) * ahead / slots))
}

// Returns the time of an event's decode steps and of the chunks that are
// prefilled with them.
fn longest_pause(
    situation: &Situation,
    to_read: f64,
    running: f64,
    speed: &Speed,
) -> Option<Duration> {
    let steps = f64::from(situation.event_tokens.max(1));
    let chunks = to_read.min(steps * CHUNK_TOKENS);
    let decode = speed.write_time(steps, running)?;
    Some(decode + speed.prefill_time(chunks)?)
}

fn pace(factor: f64) -> f64 {
    if factor.is_finite() {
        factor.clamp(1.0, SLOW_FACTOR)
    } else {
        1.0
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens are far under 2^52")]
fn memory(capacity: Capacity) -> f64 {
    capacity.memory_tokens as f64
}

#[cfg(test)]
mod tests;

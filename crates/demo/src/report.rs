//! What a run measured, and the table that it ends with.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use godwitpost_types::outcome::Outcome;

#[cfg(test)]
mod tests;

/// The longest latency that a histogram tells apart; callers of the demo give
/// up before.
const MOST_MICROS: u64 = 60_000_000;

/// Significant digits of a latency: a tenth of a percent.
const DIGITS: u8 = 3;

/// The figures of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The deployment's fleet.
    pub fleet: String,
    /// Calls of each class by how they ended.
    pub calls: BTreeMap<String, Counts>,
    /// Requests that were refused or lost, by the routers' reason.
    pub reasons: BTreeMap<String, u64>,
    /// Time to the first byte and to the last, by class.
    pub latency: BTreeMap<String, Latency>,
    /// Prompt tokens that engines found in their caches, and all they got.
    pub cache: Share,
    /// The greatest work an engine carried over the mean, at its worst instant
    /// and on average over the run.
    pub skew: Skew,
    /// Control bytes a second of each instance, by where they go.
    pub control: BTreeMap<String, BTreeMap<String, f64>>,
    /// How long each roll took to be in force everywhere.
    pub rolls: Vec<Duration>,
}

/// How the calls of one class ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Told that it ran.
    pub ran: u64,
    /// Told that it did not run.
    pub not_run: u64,
    /// Told that its fate is unknown.
    pub unknown: u64,
    /// Told nothing, or cut before the end.
    pub broken: u64,
}

/// The latency of one class.
#[derive(Clone, Debug)]
pub struct Latency {
    /// To the first byte of the answer.
    pub first: Histogram<u64>,
    /// To its last byte.
    pub last: Histogram<u64>,
}

/// A part of a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The part.
    pub part: u64,
    /// The whole.
    pub whole: u64,
}

/// How unevenly work lay on the engines; 1 is even.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Skew {
    /// Over the whole run: the busiest engine's work over the mean.
    pub overall: f64,
    /// At the worst sampled instant.
    pub worst: f64,
}

impl Latency {
    fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, MOST_MICROS, DIGITS)
            .expect("the bounds are constants that the library takes");
        Self {
            first: empty.clone(),
            last: empty,
        }
    }
}

impl Share {
    /// Returns the share in percent, zero of nothing.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    pub fn percent(self) -> f64 {
        if self.whole == 0 {
            return 0.0;
        }
        100.0 * self.part as f64 / self.whole as f64
    }
}

impl Report {
    /// Counts a call.
    ///
    /// A call whose answer broke counts as broken, whatever its head said.
    pub fn count(&mut self, class: &str, outcome: Option<Outcome>, whole: bool) {
        let counts = self.calls.entry(class.to_owned()).or_default();
        match (whole, outcome) {
            (false, _) | (true, None) => counts.broken += 1,
            (true, Some(Outcome::Ran)) => counts.ran += 1,
            (true, Some(Outcome::NotRun)) => counts.not_run += 1,
            (true, Some(Outcome::Unknown)) => counts.unknown += 1,
        }
    }

    /// Counts a request that routers answered with a reason of their own.
    pub fn refused(&mut self, reason: Option<String>) {
        if let Some(reason) = reason {
            *self.reasons.entry(reason).or_default() += 1;
        }
    }

    /// Takes down how long a call that ran took.
    pub fn time(&mut self, class: &str, first: Duration, last: Duration) {
        let latency = self
            .latency
            .entry(class.to_owned())
            .or_insert_with(Latency::new);
        latency.first.saturating_record(micros(first));
        latency.last.saturating_record(micros(last));
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MOST_MICROS)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.fleet)?;
        writeln!(f, "  requests        ran  not run  unknown   broken")?;
        for (class, counts) in &self.calls {
            writeln!(
                f,
                "    {class:<9}{:>8} {:>8} {:>8} {:>8}",
                counts.ran, counts.not_run, counts.unknown, counts.broken
            )?;
        }
        reasons(f, &self.reasons)?;
        writeln!(f, "  latency, ms      p50      p95      p99      max")?;
        for (class, latency) in &self.latency {
            row(f, class, "first byte", &latency.first)?;
            row(f, class, "last byte", &latency.last)?;
        }
        writeln!(
            f,
            "  cache reuse   {:.1} % of {} prompt tokens",
            self.cache.percent(),
            self.cache.whole
        )?;
        writeln!(
            f,
            "  skew          {:.2} x mean over the run, {:.2} at the worst instant",
            self.skew.overall, self.skew.worst
        )?;
        control(f, &self.control)?;
        for (index, roll) in self.rolls.iter().enumerate() {
            let version = index + 1;
            let millis = roll.as_millis();
            writeln!(
                f,
                "  roll          version {version} in force everywhere in {millis} ms"
            )?;
        }
        Ok(())
    }
}

fn reasons(f: &mut fmt::Formatter<'_>, reasons: &BTreeMap<String, u64>) -> fmt::Result {
    if reasons.is_empty() {
        return Ok(());
    }
    write!(f, "  reasons      ")?;
    for (reason, count) in reasons {
        write!(f, " {reason} {count}")?;
    }
    writeln!(f)
}

fn row(f: &mut fmt::Formatter<'_>, class: &str, part: &str, times: &Histogram<u64>) -> fmt::Result {
    write!(f, "    {:<21}", format!("{class}, {part}"))?;
    let values = [0.5, 0.95, 0.99].map(|quantile| times.value_at_quantile(quantile));
    for value in values.into_iter().chain([times.max()]) {
        write!(f, " {}", millis(value))?;
    }
    writeln!(f)
}

#[expect(clippy::cast_precision_loss, reason = "at most a minute")]
fn millis(micros: u64) -> String {
    format!("{:>8.1}", micros as f64 / 1000.0)
}

fn control(
    f: &mut fmt::Formatter<'_>,
    control: &BTreeMap<String, BTreeMap<String, f64>>,
) -> fmt::Result {
    writeln!(f, "  control, bytes a second")?;
    for (instance, rates) in control {
        let all: f64 = rates.values().sum();
        write!(f, "    {instance:<22}{all:>8.0} =")?;
        for (to, rate) in rates {
            write!(f, " {to} {rate:.0}")?;
        }
        writeln!(f)?;
    }
    Ok(())
}

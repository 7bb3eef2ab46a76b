//! Estimates the output length of a request from those of earlier requests of
//! its class.
//!
//! The lengths of each class are counted in buckets of logarithmic width, and
//! the counts decay over time. A class with few samples falls back towards
//! the lengths of all classes, and these towards a fixed default. A hint
//! counts as far as the hints of its class were of use before. Estimates are
//! made by each instance from its own responses only.
//! `docs/design/request-cost.md` compares the alternatives.

mod bucket;
mod hint;
mod history;
mod tail;
#[cfg(test)]
mod tests;

use std::num::NonZeroUsize;
use std::time::Duration;

use godwitpost_types::clock::Moment;
use lru::LruCache;

use self::bucket::{EDGES, Weights};
use self::hint::{LEVELS, RATIOS};
use self::history::History;

/// The age at which a sample counts half.
///
/// After three half-lives, seven eighths of the weight is newer than a shift.
pub const HALF_LIFE: Duration = Duration::from_mins(2);

/// Maximum number of classes that one instance keeps counts of.
///
/// Even if each of seven requests a second is of another class, one that is
/// evicted has lost a third of its weight by then. With its index, a class
/// takes about 470 bytes, so a full table takes about 240 kB.
pub const MAX_CLASSES: NonZeroUsize = NonZeroUsize::new(512).unwrap();

/// How many samples of a class weigh as much as the lengths of all classes.
///
/// This is the quotient of the variances within a class and between classes.
/// In logarithms, the first is up to 2.5 and the second, between checks of 27
/// tokens and reviews of 378, about 1.4.
const CLASS_PRIOR: f64 = 2.0;

/// The number of samples at which the distribution that is fallen back to
/// counts half as many samples as it does without any.
///
/// The mean of four logarithms has a standard error of 0.8 on the widest
/// routes, less than the deviation between classes of 1.2. At a fixed
/// strength, the tail of the lengths of all classes raises the mean of short
/// classes by more than a bucket.
const PRIOR_HALF_COUNT: f64 = 4.0;

/// How many hints of a class weigh as much as the hints of all classes.
///
/// It is greater than `CLASS_PRIOR` because the errors of hints depend more
/// on how callers guess than on the route.
const HINT_PRIOR: f64 = 8.0;

/// How many samples of any class weigh as much as the default.
const DEFAULT_PRIOR: f64 = 4.0;

/// The median of the default distribution in tokens, the geometric mean of
/// the shortest and the longest answers that deployments are known to have
/// (27 and 378).
const DEFAULT_MEDIAN: f64 = 101.0;

/// The standard deviation of the logarithm in the default distribution, near
/// the greatest that is known of a route (1.6).
const DEFAULT_DEVIATION: f64 = 1.5;

/// A number of tokens.
pub type Tokens = u32;

/// The hash of a request's route and workspace.
pub type Class = u64;

/// What a caller states about the length of its request's output.
///
/// Both values may be far off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stated {
    /// The greatest length.
    pub max_output: Option<Tokens>,
    /// A guess of the length.
    pub hint: Option<Tokens>,
}

/// An estimated number of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// The 90th percentile.
    pub high: f64,
}

/// Learns the lengths of outputs and estimates what remains of one.
#[derive(Clone, Debug)]
pub struct Estimator {
    classes: LruCache<Class, History>,
    all: History,
    default: Weights,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            classes: LruCache::new(MAX_CLASSES),
            all: History::default(),
            default: default_lengths(),
        }
    }
}

impl Estimator {
    /// Records that a complete output was `written` tokens long.
    ///
    /// At [`MAX_CLASSES`], a new class replaces the one that was recorded the
    /// longest ago.
    pub fn record(&mut self, class: Class, stated: Stated, written: Tokens, now: Moment) {
        let hint = usable(stated.hint);
        let gains = hint.map_or([0.0; LEVELS], |hint| {
            self.view(class, now).gains(hint, written)
        });
        let own = self.classes.get_or_insert_mut(class, History::default);
        for history in [own, &mut self.all] {
            history.decay(now);
            history.add_length(written);
            if let Some(hint) = hint {
                history.add_hint(hint, written, &gains);
            }
        }
    }

    /// Returns the estimate of what remains to be written when `written`
    /// tokens were.
    ///
    /// Stated values of zero are ignored, and so is a greatest length that
    /// was exceeded already.
    #[must_use]
    pub fn remaining(
        &self,
        class: Class,
        stated: Stated,
        written: Tokens,
        now: Moment,
    ) -> Estimate {
        let view = self.view(class, now);
        let lengths = view.lengths();
        let lengths = usable(stated.hint)
            .and_then(|hint| view.hinted(&lengths, hint))
            .unwrap_or(lengths);
        tail::remaining(&lengths, written, limit(stated.max_output, written))
    }

    /// Returns the number of classes with counts of their own.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Returns whether no class has counts of its own.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    fn view(&self, class: Class, now: Moment) -> View<'_> {
        let own = self.classes.peek(&class);
        View {
            own: own.map(|history| (history, history.share(now))),
            all: (&self.all, self.all.share(now)),
            default: &self.default,
        }
    }
}

/// The counts that matter for a class, each with the share that is left of
/// it.
struct View<'a> {
    own: Option<(&'a History, f64)>,
    all: (&'a History, f64),
    default: &'a Weights,
}

impl View<'_> {
    fn lengths(&self) -> Weights {
        let (all, share) = self.all;
        let pooled = all.lengths(share, self.default, DEFAULT_PRIOR);
        self.own.map_or(pooled, |(own, share)| {
            own.lengths(share, &pooled, CLASS_PRIOR)
        })
    }

    fn ratios(&self) -> [f64; RATIOS] {
        let (all, share) = self.all;
        let pooled = all.ratios(share, &hint::unknown_ratios(), DEFAULT_PRIOR);
        self.own.map_or(pooled, |(own, share)| {
            own.ratios(share, &pooled, HINT_PRIOR)
        })
    }

    fn level(&self) -> Option<usize> {
        let (all, share) = self.all;
        let pooled = all.gains(share, &[0.0; LEVELS], DEFAULT_PRIOR);
        let gains = self
            .own
            .map_or(pooled, |(own, share)| own.gains(share, &pooled, HINT_PRIOR));
        hint::best_level(&gains)
    }

    fn gains(&self, hint: Tokens, written: Tokens) -> [f64; LEVELS] {
        let lengths = self.lengths();
        let likelihood = hint::likelihood(&lengths, &self.ratios(), hint);
        hint::gains(&lengths, &likelihood, written)
    }

    /// Returns the distribution given a hint, or `None` where hints told too
    /// little before.
    fn hinted(&self, lengths: &Weights, hint: Tokens) -> Option<Weights> {
        let level = self.level()?;
        let likelihood = hint::likelihood(lengths, &self.ratios(), hint);
        Some(hint::apply(lengths, &likelihood, level))
    }
}

fn usable(stated: Option<Tokens>) -> Option<Tokens> {
    stated.filter(|tokens| *tokens > 0)
}

// Returns how many tokens may follow those that were written. A greatest
// length that was exceeded is not enforced and says nothing.
fn limit(max_output: Option<Tokens>, written: Tokens) -> f64 {
    usable(max_output)
        .and_then(|max| max.checked_sub(written))
        .map_or(f64::INFINITY, f64::from)
}

fn default_lengths() -> Weights {
    let density = |index: usize| {
        let center = (EDGES[index] * EDGES[index + 1]).sqrt();
        let distance = (center / DEFAULT_MEDIAN).ln() / DEFAULT_DEVIATION;
        (-distance * distance / 2.0).exp()
    };
    let densities: Weights = std::array::from_fn(density);
    let total: f64 = densities.iter().sum();
    densities.map(|density| density / total)
}

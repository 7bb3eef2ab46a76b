//! Finds the endpoint with the least load, for a request that may run at any of them.

use godwitpost_types::hash;

use super::Candidate;

/// The penalty for another availability zone, as a fraction of an endpoint's slots. The
/// round trip takes about 2 ms of a 15 ms request.
const OTHER_ZONE_PENALTY: f64 = 0.1;

/// The penalty for a path that stalls responses, as a fraction of an endpoint's slots. A
/// resend takes 200 ms, and one in thirty packets needs one, which costs as much as
/// waiting for a round of 15 ms requests.
const STALLED_PATH_PENALTY: f64 = 1.0;

/// The number of values of a 32-bit half of a draw.
const HALF_DRAW_VALUES: f64 = 4_294_967_296.0;

/// The requests of other instances at the candidates for a request.
#[derive(Clone, Copy, Debug)]
struct Others {
    /// Their mean number at a candidate.
    mean: f64,
    /// The standard deviation of the estimates, over all candidates.
    std_dev: f64,
}

impl Others {
    fn new(candidates: &[&Candidate]) -> Self {
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let count = f64::from(count.max(1));
        let sum: f64 = candidates.iter().map(|one| one.others()).sum();
        let variances = candidates
            .iter()
            .map(|one| one.load_stddev * one.load_stddev);
        Self {
            mean: sum / count,
            std_dev: (variances.sum::<f64>() / count).sqrt(),
        }
    }

    // Returns how far a candidate counts as above or below the mean.
    //
    // Hundreds of instances get the same load reports, up to a second old. If each made up for
    // what the reports show, an endpoint that was less loaded then than others would get several
    // times its share until the next ones, and hold several times the mean. So a difference
    // that chance explains counts only by the part of it that falls to one of the requests which
    // arrive until then. What is beyond, as of an endpoint that is slow, counts in full.
    fn difference(&self, one: &Candidate) -> f64 {
        let difference = one.others() + one.filling - self.mean;
        let by_chance = difference.clamp(-self.std_dev, self.std_dev);
        let part = if one.arrivals <= self.std_dev {
            1.0
        } else {
            self.std_dev / one.arrivals
        };
        by_chance * part + (difference - by_chance)
    }
}

impl Candidate {
    fn others(&self) -> f64 {
        self.load - f64::from(self.own_requests)
    }

    // Returns the load by which endpoints are compared, for a request with this draw.
    //
    // Drawing each load sends requests to an endpoint as often as it may be the least loaded.
    // All are drawn with the same deviation: with a greater one of its own, an endpoint with a
    // greater load would be drawn as the least loaded more often. The instance's own requests
    // count in full, as the others don't know of them.
    fn relative_load(&self, others: &Others, draw: u64) -> f64 {
        let zone_penalty = if self.same_zone {
            0.0
        } else {
            OTHER_ZONE_PENALTY
        };
        let path_penalty = if self.path_clear {
            0.0
        } else {
            STALLED_PATH_PENALTY
        };
        let deviation = standard_deviate(hash::score(draw, self.endpoint));
        let load =
            f64::from(self.own_requests) + others.difference(self) + others.std_dev * deviation;
        load / f64::from(self.slots.max(1)) + zone_penalty + path_penalty
    }
}

/// Returns the candidate with the least load; `draw` decides as far as loads are uncertain, and
/// between equal ones.
pub(super) fn least_loaded<'a>(candidates: &[&'a Candidate], draw: u64) -> Option<&'a Candidate> {
    let others = Others::new(candidates);
    let lighter = |a: &&&Candidate, b: &&&Candidate| {
        let key = |one: &Candidate| hash::score(draw, one.endpoint);
        a.relative_load(&others, draw)
            .total_cmp(&b.relative_load(&others, draw))
            .then_with(|| key(a).cmp(&key(b)))
    };
    candidates.iter().min_by(lighter).copied()
}

/// Returns a random number of mean 0 and standard deviation 1: the sum of two uniform
/// ones, as an approximation of a normal distribution.
pub(super) fn standard_deviate(bits: u64) -> f64 {
    const HALF: u64 = 0xffff_ffff;
    let uniform = |bits: u64| f64::from(u32::try_from(bits & HALF).unwrap_or(0)) / HALF_DRAW_VALUES;
    (uniform(bits) + uniform(bits >> 32) - 1.0) * 6.0_f64.sqrt()
}

//! Limits of a workspace over the whole fleet, kept without coordination.
//!
//! Each instance enforces a local share. Shares start at an even part of the
//! limit, times a slack for unevenly spread callers, and follow the demand
//! that instances tell each other. `docs/design/queues.md` says what else was
//! weighed.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{InstanceId, WorkspaceId};
use godwitpost_types::policy::Workspace;
use serde::{Deserialize, Serialize};

use crate::refusal::{Reason, Refusal};

/// How long a word on demand counts.
const FRESH: Duration = Duration::from_secs(15);

/// A local share before any demand was heard, in even parts of the limit.
///
/// Balancers spread connections, not requests: with six instances, a busy
/// connection easily brings one instance twice its part.
const SLACK: f64 = 2.0;

/// The least rate share, in requests a second; a share of nothing would
/// never be used and so never be seen to be needed.
const LEAST: f64 = 1.0;

/// What one instance saw a workspace ask for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The instance.
    pub source: InstanceId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests a second, smoothed over some seconds, refused ones included.
    pub rate: f32,
    /// Requests at once, refused ones included.
    pub running: u32,
    /// When the source took the figures.
    pub taken: Moment,
}

#[derive(Clone, Debug, Default)]
struct Meter {
    tokens: f64,
    filled: Moment,
    running: u32,
    rate: f64,
    counted: u32,
    others: BTreeMap<InstanceId, Demand>,
}

/// The limits that one entry instance enforces.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    meters: BTreeMap<WorkspaceId, Meter>,
    heard: BTreeMap<InstanceId, Moment>,
    rated: Moment,
}

impl Limits {
    /// Admits a request of a workspace or refuses it; `instances` are live.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the local share of the rate or of the requests
    /// at once is used up.
    pub fn admit(
        &mut self,
        now: Moment,
        id: WorkspaceId,
        workspace: &Workspace,
        instances: usize,
    ) -> Result<(), Refusal> {
        let heard = self.heard.values();
        let heard = heard.filter(|at| since(now, **at) < FRESH).count();
        let fleet = Fleet { instances, heard };
        let meter = self.meters.entry(id).or_default();
        meter.counted += 1;
        let rate = meter.rate_share(now, workspace.rate, &fleet);
        meter.fill(now, rate);
        if meter.tokens < 1.0 {
            let wait = Duration::from_secs_f64(((1.0 - meter.tokens) / rate).clamp(0.001, 60.0));
            return Err(Refusal {
                reason: Reason::Rate,
                retry_after: wait,
            });
        }
        if f64::from(meter.running) >= meter.room(now, workspace.concurrency, &fleet) {
            return Err(Refusal::new(Reason::Concurrency));
        }
        meter.tokens -= 1.0;
        meter.running += 1;
        Ok(())
    }

    /// Notes that an admitted request ended, however it did.
    pub fn done(&mut self, id: WorkspaceId) {
        if let Some(meter) = self.meters.get_mut(&id) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Returns the demand to tell the others, about once a second.
    pub fn demands(&mut self, now: Moment, source: InstanceId) -> Vec<Demand> {
        let span = since(now, self.rated).as_secs_f64().max(0.001);
        self.rated = now;
        let idle = |meter: &Meter| meter.running == 0 && meter.rate < 0.01;
        self.meters
            .values_mut()
            .for_each(|meter| meter.measure(span));
        self.meters.retain(|_, meter| !idle(meter));
        self.meters
            .iter()
            .map(|(&workspace, meter)| meter.demand(now, source, workspace))
            .collect()
    }

    /// Takes in all that another instance told in one message, which may be
    /// nothing: a workspace that it does not name asks nothing of it.
    pub fn learn(&mut self, now: Moment, source: InstanceId, demands: &[Demand]) {
        self.heard.insert(source, now);
        self.heard.retain(|_, at| since(now, *at) < FRESH);
        for demand in demands {
            let meter = self.meters.entry(demand.workspace).or_default();
            let known = meter.others.entry(source).or_insert(*demand);
            if known.taken < demand.taken {
                *known = *demand;
            }
        }
    }
}

// The live instances, and how many others told of their demand lately.
struct Fleet {
    instances: usize,
    heard: usize,
}

impl Meter {
    fn fill(&mut self, now: Moment, rate: f64) {
        let first = self.filled == Moment::ZERO;
        let span = if first {
            1.0
        } else {
            since(now, self.filled).as_secs_f64()
        };
        self.filled = now;
        // A second's worth may come at once.
        self.tokens = (self.tokens + span * rate).min(rate.max(1.0));
    }

    fn measure(&mut self, span: f64) {
        let rate = f64::from(self.counted) / span;
        self.counted = 0;
        // Half of the newest second: smooth enough to share by, and a surge
        // shows within two seconds.
        self.rate += (rate - self.rate) * 0.5;
    }

    fn rate_share(&self, now: Moment, limit: f64, fleet: &Fleet) -> f64 {
        let others = self.heard(now, |demand| f64::from(demand.rate));
        share(limit, self.rate, others, fleet).max(LEAST.min(limit))
    }

    fn room(&self, now: Moment, limit: u32, fleet: &Fleet) -> f64 {
        let others = self.heard(now, |demand| f64::from(demand.running));
        share(f64::from(limit), f64::from(self.running), others, fleet).max(1.0)
    }

    fn heard(&self, now: Moment, figure: impl Fn(&Demand) -> f64) -> f64 {
        let fresh = self.others.values().filter(|d| since(now, d.taken) < FRESH);
        fresh.map(figure).sum()
    }

    #[expect(
        clippy::cast_possible_truncation,
        reason = "a rate needs no more than 24 bits"
    )]
    fn demand(&self, taken: Moment, source: InstanceId, workspace: WorkspaceId) -> Demand {
        Demand {
            source,
            workspace,
            rate: self.rate as f32,
            running: self.running,
            taken,
        }
    }
}

// What the others leave of the limit, or this instance's part of it by
// demand if together they ask for more. Who was not heard of is taken to ask
// for an even part; with nobody heard, the share is an even part with slack.
#[expect(clippy::cast_precision_loss, reason = "few instances")]
fn share(limit: f64, own: f64, told: f64, fleet: &Fleet) -> f64 {
    let even = limit / fleet.instances.max(1) as f64;
    if fleet.heard == 0 {
        return (even * SLACK).min(limit);
    }
    let silent = fleet.instances.saturating_sub(fleet.heard + 1);
    let others = told + even * silent as f64;
    if own + others <= limit {
        return limit - others;
    }
    limit * own.max(even) / (own.max(even) + others)
}

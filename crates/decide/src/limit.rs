//! Workspace limits over the whole fleet, enforced without coordination.
//!
//! Each instance enforces a local share of the limit. A share starts as an
//! even part of the limit times a factor for unevenly spread callers. While a
//! recent report of every other instance is known, shares follow the reported
//! demand instead. `docs/design/limits.md` compares the alternatives.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{InstanceId, WorkspaceId};
use godwitpost_types::policy::Workspace;
use serde::{Deserialize, Serialize};

use crate::refusal::{Reason, Refusal};

/// How long a demand report is used after it was received.
///
/// Each round of gossip contacts all peers once, in a new random order. With
/// one contact per second, eight instances meet within 13 seconds at worst.
const DEMAND_MAX_AGE: Duration = Duration::from_secs(15);

/// Factor on the even part of the limit that gives the local share while
/// demand is unknown.
///
/// Load balancers spread connections, not requests. With six instances, a busy
/// connection easily brings one instance twice its even part.
const DEFAULT_SHARE_FACTOR: f64 = 2.0;

/// Minimum local share of the rate, in requests per second. A share of zero
/// would never be used, so the need for it would never show.
const MIN_RATE_SHARE: f64 = 1.0;

/// Maximum number of demands in one report. At 20 bytes each, they fit beside
/// the rest of a gossip message.
pub const MAX_DEMANDS: usize = 8;

/// Fraction of an even share below which demand is not reported.
///
/// Demand that is not reported counts as none, so the fleet may admit this
/// fraction of the limit beyond it.
pub const MIN_REPORTED_PRESSURE: f64 = 0.25;

/// Minimum interval over which demand is measured, just under a gossip period.
const MIN_MEASURE_INTERVAL: Duration = Duration::from_millis(900);

/// Number of samples, a second apart, over which demand must last to count as
/// sustained.
///
/// By then most of six instances have been told of it, at two gossip contacts
/// per second.
const SUSTAINED_SAMPLES: usize = 5;

/// Maximum local share as a multiple of the sustained demand.
///
/// Without this limit, a surge that reaches all instances at once would find
/// each share still at the whole limit until the instances hear of it.
const MAX_SUSTAINED_FACTOR: f64 = 2.0;

/// The demand of one workspace as seen by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace concerned.
    pub workspace: WorkspaceId,
    /// Requests per second, smoothed over some seconds, including refused
    /// ones.
    pub rate: f32,
    /// Number of admitted requests that are running.
    pub running: u32,
}

// The latest report of one instance. A workspace that is missing from it has
// little demand there, unless the report was full and had no room for it.
#[derive(Clone, Debug)]
struct DemandReport {
    received: Moment,
    full: bool,
    demands: BTreeMap<WorkspaceId, Demand>,
}

#[derive(Clone, Debug, Default)]
struct Meter {
    tokens: f64,
    last_fill: Moment,
    running: u32,
    rate: f64,
    requests: u32,
    samples: VecDeque<(f64, u32)>,
}

// The sum of what all other instances reported for one workspace.
#[derive(Clone, Copy, Debug, Default)]
struct PeerDemand {
    rate: f64,
    running: f64,
}

/// The limits that one entry instance enforces.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    meters: BTreeMap<WorkspaceId, Meter>,
    reports: BTreeMap<InstanceId, DemandReport>,
    measured_at: Moment,
}

impl Limits {
    /// Admits or refuses a request of a workspace; `instances` is the number
    /// of live instances.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the local share of the rate or of the concurrent
    /// requests is used up.
    pub fn admit(
        &mut self,
        now: Moment,
        id: WorkspaceId,
        workspace: &Workspace,
        instances: usize,
    ) -> Result<(), Refusal> {
        let peers = self.peer_demand(now, id, instances);
        let meter = self.meters.entry(id).or_default();
        meter.requests += 1;
        let rate = meter.rate_share(workspace.rate, peers, instances);
        meter.fill(now, rate);
        if meter.tokens < 1.0 {
            let wait = Duration::from_secs_f64(((1.0 - meter.tokens) / rate).clamp(0.001, 60.0));
            return Err(Refusal {
                reason: Reason::Rate,
                retry_after: wait,
            });
        }
        if f64::from(meter.running)
            >= meter.concurrency_share(workspace.concurrency, peers, instances)
        {
            return Err(Refusal::new(Reason::Concurrency));
        }
        meter.tokens -= 1.0;
        meter.running += 1;
        Ok(())
    }

    /// Records that an admitted request ended, whatever its result.
    pub fn release(&mut self, id: WorkspaceId) {
        if let Some(meter) = self.meters.get_mut(&id) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Returns the demand to report to the other instances: the
    /// [`MAX_DEMANDS`] workspaces with the highest demand relative to their
    /// even share, and none under [`MIN_REPORTED_PRESSURE`] of it.
    pub fn demands(
        &mut self,
        now: Moment,
        workspaces: &BTreeMap<WorkspaceId, Workspace>,
        instances: usize,
    ) -> Vec<Demand> {
        self.measure(now);
        let mut by_pressure: Vec<(f64, Demand)> = Vec::new();
        for (id, meter) in &self.meters {
            let Some(workspace) = workspaces.get(id) else {
                continue;
            };
            let pressure = meter.pressure(workspace, instances);
            if pressure >= MIN_REPORTED_PRESSURE {
                by_pressure.push((pressure, meter.demand(*id)));
            }
        }
        by_pressure.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        by_pressure.truncate(MAX_DEMANDS);
        by_pressure.into_iter().map(|(_, demand)| demand).collect()
    }

    /// Replaces what another instance reported before with its new report.
    pub fn record_demands(&mut self, now: Moment, source: InstanceId, demands: &[Demand]) {
        let report = DemandReport {
            received: now,
            full: demands.len() >= MAX_DEMANDS,
            demands: demands.iter().map(|d| (d.workspace, *d)).collect(),
        };
        self.reports.insert(source, report);
    }

    fn measure(&mut self, now: Moment) {
        let elapsed = since(now, self.measured_at);
        if elapsed < MIN_MEASURE_INTERVAL {
            return;
        }
        self.measured_at = now;
        let idle = |meter: &Meter| meter.running == 0 && meter.rate < 0.01;
        for meter in self.meters.values_mut() {
            meter.measure(elapsed.as_secs_f64());
        }
        self.meters.retain(|_, meter| !idle(meter));
        self.reports
            .retain(|_, report| since(now, report.received) < DEMAND_MAX_AGE);
    }

    // Returns `None` unless a report of every other instance is known. A
    // partial sum would leave each instance more of the limit than there is.
    fn peer_demand(&self, now: Moment, id: WorkspaceId, instances: usize) -> Option<PeerDemand> {
        let mut sum = PeerDemand::default();
        let mut known = 1;
        for report in self.reports.values() {
            if since(now, report.received) >= DEMAND_MAX_AGE {
                continue;
            }
            match report.demands.get(&id) {
                Some(demand) => {
                    sum.rate += f64::from(demand.rate);
                    sum.running += f64::from(demand.running);
                }
                None if report.full => continue,
                None => {}
            }
            known += 1;
        }
        (instances > 1 && known >= instances).then_some(sum)
    }
}

impl Meter {
    fn fill(&mut self, now: Moment, rate: f64) {
        let first = self.last_fill == Moment::ZERO;
        let elapsed = if first {
            1.0
        } else {
            since(now, self.last_fill).as_secs_f64()
        };
        self.last_fill = now;
        // Allows a burst of one second's worth of requests.
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(1.0));
    }

    fn measure(&mut self, elapsed: f64) {
        let rate = f64::from(self.requests) / elapsed;
        self.requests = 0;
        // The newest second has a weight of one half. That is smooth enough to
        // compute shares from, and a surge still shows within two seconds.
        self.rate += (rate - self.rate) * 0.5;
        self.samples.push_back((self.rate, self.running));
        if self.samples.len() > SUSTAINED_SAMPLES {
            self.samples.pop_front();
        }
    }

    fn rate_share(&self, limit: f64, peers: Option<PeerDemand>, instances: usize) -> f64 {
        let peers = peers.map(|peers| peers.rate);
        let sustained = self.sustained(|sample| sample.0);
        share(limit, self.rate, peers, sustained, instances).max(MIN_RATE_SHARE.min(limit))
    }

    fn concurrency_share(&self, limit: u32, peers: Option<PeerDemand>, instances: usize) -> f64 {
        let peers = peers.map(|peers| peers.running);
        let sustained = self.sustained(|sample| f64::from(sample.1));
        let (limit, running) = (f64::from(limit), f64::from(self.running));
        share(limit, running, peers, sustained, instances).max(1.0)
    }

    // Returns the demand that lasted through all recent samples, or 0 while
    // there are too few of them.
    fn sustained(&self, figure: impl Fn(&(f64, u32)) -> f64) -> f64 {
        if self.samples.len() < SUSTAINED_SAMPLES {
            return 0.0;
        }
        self.samples
            .iter()
            .map(figure)
            .fold(f64::INFINITY, f64::min)
    }

    // Returns the larger of the two demands, in units of the even share.
    #[expect(clippy::cast_precision_loss, reason = "few instances")]
    fn pressure(&self, workspace: &Workspace, instances: usize) -> f64 {
        let rate = self.rate / workspace.rate;
        let running = f64::from(self.running) / f64::from(workspace.concurrency);
        rate.max(running) * instances as f64
    }

    #[expect(
        clippy::cast_possible_truncation,
        reason = "a rate needs no more than 24 bits"
    )]
    fn demand(&self, workspace: WorkspaceId) -> Demand {
        Demand {
            workspace,
            rate: self.rate as f32,
            running: self.running,
        }
    }
}

// Returns what the peers leave of the limit or, if total demand exceeds it, a
// part in proportion to this instance's demand. Without reports of all peers
// it is an even part times the default factor.
#[expect(clippy::cast_precision_loss, reason = "few instances")]
fn share(limit: f64, own: f64, peers: Option<f64>, sustained: f64, instances: usize) -> f64 {
    let even = limit / instances.max(1) as f64;
    let Some(peers) = peers else {
        return (even * DEFAULT_SHARE_FACTOR).min(limit);
    };
    let cap = (even * DEFAULT_SHARE_FACTOR).max(sustained * MAX_SUSTAINED_FACTOR);
    if own + peers <= limit {
        return (limit - peers).min(cap);
    }
    let part = limit * own.max(even) / (own.max(even) + peers);
    part.min(cap)
}

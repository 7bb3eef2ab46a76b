//! Limits of a workspace over the whole fleet, kept without coordination.
//!
//! Each instance enforces a local share. Shares start at an even part of the
//! limit, times a slack for unevenly spread callers. While a word of every
//! other instance is fresh, they follow the demand told instead.
//! `docs/design/limits.md` says what else was weighed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{InstanceId, WorkspaceId};
use godwitpost_types::policy::Workspace;
use serde::{Deserialize, Serialize};

use crate::refusal::{Reason, Refusal};

/// How long a word on demand counts, from when it came.
///
/// Peers are met once a round, in a new order each round: with a contact a
/// second, eight instances meet within 13 seconds at worst.
const DEMAND_MAX_AGE: Duration = Duration::from_secs(15);

/// A local share before any demand was heard, in even parts of the limit.
///
/// Balancers spread connections, not requests: with six instances, a busy
/// connection easily brings one instance twice its part.
const DEFAULT_SHARE_FACTOR: f64 = 2.0;

/// The least rate share, in requests a second; a share of nothing would
/// never be used and so never be seen to be needed.
const MIN_RATE_SHARE: f64 = 1.0;

/// Demands in one word at most; with 20 bytes each they fit beside the rest
/// of a gossip message.
pub const MAX_DEMANDS: usize = 8;

/// The part of an even share under which demand is not told.
///
/// What is not told is taken for none, so the fleet may admit this part of
/// the limit beyond it.
pub const MIN_REPORTED_PRESSURE: f64 = 0.25;

/// The least time that demand is measured over, just under a gossip period.
const MIN_MEASURE_INTERVAL: Duration = Duration::from_millis(900);

/// Measures, a second apart, that a demand has to last to be proven.
///
/// By then most of six instances were told of it, at two meetings a second.
const SUSTAINED_SAMPLES: usize = 5;

/// A share at most, in proven demand.
///
/// Without it a surge that reaches all instances at once would meet shares
/// that each still hold the whole limit, until the instances hear of it.
const MAX_SUSTAINED_FACTOR: f64 = 2.0;

/// What one instance saw a workspace ask for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Requests a second, smoothed over some seconds, refused ones included.
    pub rate: f32,
    /// Admitted requests at once.
    pub running: u32,
}

// All that one source told last; a workspace that is missing from it is quiet
// there, unless the word was full and may have had no room for it.
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

// What all others told of one workspace, summed.
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

    /// Notes that an admitted request ended, however it did.
    pub fn release(&mut self, id: WorkspaceId) {
        if let Some(meter) = self.meters.get_mut(&id) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Returns the demand to tell the others: the [`MAX_DEMANDS`] workspaces that
    /// press most on their even share, and none under [`MIN_REPORTED_PRESSURE`] of it.
    pub fn demands(
        &mut self,
        now: Moment,
        workspaces: &BTreeMap<WorkspaceId, Workspace>,
        instances: usize,
    ) -> Vec<Demand> {
        self.measure(now);
        let mut pressed: Vec<(f64, Demand)> = Vec::new();
        for (id, meter) in &self.meters {
            let Some(workspace) = workspaces.get(id) else {
                continue;
            };
            let pressure = meter.pressure(workspace, instances);
            if pressure >= MIN_REPORTED_PRESSURE {
                pressed.push((pressure, meter.demand(*id)));
            }
        }
        pressed.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        pressed.truncate(MAX_DEMANDS);
        pressed.into_iter().map(|(_, demand)| demand).collect()
    }

    /// Takes in all that another instance told at once, in place of what it
    /// told before.
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

    // Nothing unless every other instance's word is known: a sum over some of
    // them would leave each instance more of the limit than there is.
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
        // A second's worth may come at once.
        self.tokens = (self.tokens + elapsed * rate).min(rate.max(1.0));
    }

    fn measure(&mut self, elapsed: f64) {
        let rate = f64::from(self.requests) / elapsed;
        self.requests = 0;
        // Half of the newest second: smooth enough to share by, and a surge
        // shows within two seconds.
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

    // The demand that lasted through all of the last measures.
    fn sustained(&self, figure: impl Fn(&(f64, u32)) -> f64) -> f64 {
        if self.samples.len() < SUSTAINED_SAMPLES {
            return 0.0;
        }
        self.samples
            .iter()
            .map(figure)
            .fold(f64::INFINITY, f64::min)
    }

    // The larger of the two demands in even shares.
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

// What the others leave of the limit, or this instance's part of it by
// demand if together they ask for more. Unless all are heard: an even part.
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

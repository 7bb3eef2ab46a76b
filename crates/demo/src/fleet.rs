//! A whole fleet in this process: platform, endpoints and routers.
//!
//! Everything listens on a free port of the loopback address. The platform's
//! part is played here as well: whoever starts, leaves or crashes is written
//! into the instance list, which shows it late.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_history::event::What;
use godwitpost_history::recorder::Recorder;
use godwitpost_router::{Running, ShutdownResult};
use godwitpost_standin::{engine, list, log, plain};
use tokio::time::{Instant, sleep};

use crate::balancer::Balancer;
use crate::caller::Target;
use crate::deployment::Deployment;
use crate::error::Error;

mod endpoints;
mod operator;
mod routers;
mod watch;

pub use endpoints::Endpoint;
use endpoints::Tap;
use operator::Operator;
use watch::Watch;

/// A free port of the loopback address.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How late the list shows a change. The platform's lags by seconds; the demo
/// has thirty in all.
const LIST_LAG: Duration = Duration::from_millis(200);

/// How late the balancer learns that an instance has left.
const BALANCER_LAG: Duration = Duration::from_millis(300);

/// The longest wait for a version or the endpoints: far above the six seconds
/// that a roll may take, since it only ends a run that would hang.
const LONGEST: Duration = Duration::from_secs(20);

/// A fleet that runs.
#[derive(Debug)]
pub struct Fleet {
    /// What it was brought up from.
    pub deployment: &'static Deployment,
    /// The log service.
    pub log: log::Running,
    /// The instance list.
    pub list: Arc<list::Running>,
    /// The model engines.
    pub engines: Vec<Endpoint<engine::Running>>,
    /// The plain service's back ends.
    pub plain: Vec<Endpoint<plain::Running>>,
    /// What callers reach the fleet through.
    pub balancer: Arc<Balancer>,
    routers: BTreeMap<String, Router>,
    recorder: Recorder,
    operator: Operator,
    rolls: Vec<Duration>,
    started: Instant,
}

#[derive(Debug)]
struct Router {
    running: Running,
    watch: Watch,
}

impl Fleet {
    /// Brings everything up and waits until the first bundle is in force.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if something can't start or the bundle does not come
    /// into force.
    pub async fn start(
        deployment: &'static Deployment,
        recorder: Recorder,
        settings: &engine::Settings,
    ) -> Result<Self, Error> {
        let log = log::start(ANY, log::Faults::default()).await;
        let log = log.map_err(Error::Standin)?;
        let faults = list::Faults {
            lag: LIST_LAG,
            ..list::Faults::default()
        };
        let list = list::start(ANY, faults).await.map_err(Error::Standin)?;
        let list = Arc::new(list);
        let tap = Tap::new(recorder.clone(), Arc::clone(&list), deployment.region);
        let engines = endpoints::engines(deployment, &tap, settings).await?;
        let plain = endpoints::plain(deployment, &tap).await?;
        let operator = Operator::new(deployment, log.address());
        let mut fleet = Self {
            deployment,
            log,
            list,
            engines,
            plain,
            balancer: Arc::new(Balancer::new(Vec::new())),
            routers: BTreeMap::new(),
            recorder,
            operator,
            rolls: Vec::new(),
            started: Instant::now(),
        };
        for index in 0..deployment.instances {
            fleet.start_router(index)?;
        }
        fleet.roll().await?;
        fleet.wait_for_endpoints().await?;
        for (name, router) in &fleet.routers {
            fleet.balancer.learn(Target {
                name: name.clone(),
                address: router.running.callers_address(),
            });
        }
        Ok(fleet)
    }

    /// Signs and rolls the next version; returns how long it took from the
    /// log's word to be in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the log does not take it or an instance does not
    /// hold it in time.
    pub async fn roll(&mut self) -> Result<Duration, Error> {
        let accepted = self.operator.roll(self.deployment).await?;
        let version = accepted.version;
        let since = Instant::now();
        self.recorder.record(What::BundleAccepted(accepted));
        let held = self.wait_for(version).await;
        self.recorder.record(What::RollSettled { version });
        if !held {
            return Err(Error::NotInForce(version));
        }
        self.rolls.push(since.elapsed());
        Ok(since.elapsed())
    }

    // The list shows endpoints a little after they joined.
    async fn wait_for_endpoints(&self) -> Result<(), Error> {
        let all = self.engines.len() + self.plain.len();
        let until = Instant::now() + LONGEST;
        for (name, router) in &self.routers {
            let address = router.running.operators_address();
            while watch::endpoints(address).await.len() < all {
                if Instant::now() > until {
                    return Err(Error::NoEndpoints(name.clone()));
                }
                sleep(watch::PAUSE).await;
            }
        }
        Ok(())
    }

    /// Has the first engine announce that it leaves, and returns when every
    /// router knows; from there the history wants nothing new at it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotLeft`] if a router does not learn of it in time.
    pub async fn leave(&self) -> Result<String, Error> {
        let Some(engine) = self.engines.first() else {
            return Err(Error::NotLeft(String::new()));
        };
        let endpoint = engine.name.clone();
        let incarnation = engine.running.incarnation();
        self.recorder.record(What::EndpointLeaving {
            endpoint: endpoint.clone(),
            incarnation,
        });
        engine
            .running
            .faults()
            .change(|faults| faults.leaving = true);
        self.list.mark_leaving(&endpoint);
        let until = Instant::now() + LONGEST;
        for router in self.routers.values() {
            let address = router.running.operators_address();
            while watch::live(&watch::endpoints(address).await, &endpoint) {
                if Instant::now() > until {
                    return Err(Error::NotLeft(endpoint));
                }
                sleep(watch::PAUSE).await;
            }
        }
        self.recorder.record(What::LeavingSettled {
            endpoint: endpoint.clone(),
            incarnation,
        });
        Ok(endpoint)
    }

    async fn wait_for(&self, version: u64) -> bool {
        let until = Instant::now() + LONGEST;
        while Instant::now() < until {
            if self.routers.values().all(|r| r.watch.version() >= version) {
                return true;
            }
            sleep(watch::PAUSE).await;
        }
        false
    }

    /// Returns the multiple of the mean load that the bundle sets for drafts.
    #[must_use]
    pub const fn load_bound(&self) -> f64 {
        self.operator.load_bound()
    }

    /// Returns how long each version took to be in force everywhere.
    #[must_use]
    pub fn rolls(&self) -> &[Duration] {
        &self.rolls
    }

    /// Returns the names of the instances that run.
    #[must_use]
    pub fn instances(&self) -> Vec<String> {
        self.routers.keys().cloned().collect()
    }

    /// Returns where an instance answers operators.
    #[must_use]
    pub fn operators_address(&self, name: &str) -> Option<SocketAddr> {
        let router = self.routers.get(name)?;
        Some(router.running.operators_address())
    }

    /// Stops an instance gracefully, as the platform does: the list and the
    /// balancer learn of it a little later.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] for an instance that doesn't run.
    pub async fn stop(&mut self, name: &str) -> Result<ShutdownResult, Error> {
        let instance = name.to_owned();
        let router = self.take(name)?;
        self.recorder.record(What::StopBegun {
            instance: instance.clone(),
        });
        self.list.mark_leaving(name);
        self.forget_later(name);
        let stopped = router.running.stop_gracefully().await;
        self.recorder.record(What::StopEnded { instance });
        self.list.remove(name);
        Ok(stopped)
    }

    /// Kills an instance: all its connections break at once.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] for an instance that doesn't run.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        let router = self.take(name)?;
        self.recorder.record(What::InstanceKilled {
            instance: name.to_owned(),
        });
        router.running.kill();
        self.list.remove(name);
        self.forget_later(name);
        Ok(())
    }

    fn take(&mut self, name: &str) -> Result<Router, Error> {
        let taken = self.routers.remove(name);
        taken.ok_or_else(|| Error::Unknown(name.to_owned()))
    }

    fn forget_later(&self, name: &str) {
        let balancer = Arc::clone(&self.balancer);
        let name = name.to_owned();
        tokio::spawn(async move {
            sleep(BALANCER_LAG).await;
            balancer.forget(&name);
        });
    }

    /// Returns the control bytes of each instance a second since the start, by
    /// where they go.
    pub async fn control(&self) -> BTreeMap<String, BTreeMap<String, f64>> {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut control = BTreeMap::new();
        for (name, router) in &self.routers {
            let address = router.running.operators_address();
            let mut bytes = watch::control_bytes(address).await;
            for rate in bytes.values_mut() {
                *rate /= seconds;
            }
            control.insert(name.clone(), bytes);
        }
        control
    }
}

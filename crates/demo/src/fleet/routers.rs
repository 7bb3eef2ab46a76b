//! Routers of a fleet: their settings, their start and their entries in the
//! instance list.

use std::time::Duration;

use godwitpost_client::list::{Entry, Role};
use godwitpost_history::event::What;
use godwitpost_router::settings::Settings;
use godwitpost_types::endpoint::Standing;

use super::watch::Watch;
use super::{ANY, Fleet, Router};
use crate::deployment::Deployment;
use crate::error::Error;

/// How long a leaving instance still takes new callers, at least the
/// balancer's lag with room for a slow machine.
const STILL_TAKEN: Duration = Duration::from_secs(1);

/// How long a graceful stop may take; streams of the demo last a second.
const DRAIN: Duration = Duration::from_secs(20);

impl Fleet {
    /// Returns the settings of an instance of this fleet, as YAML.
    #[must_use]
    pub fn settings(&self, name: &str, zone: &str) -> String {
        let Deployment { fleet, region, .. } = self.deployment;
        let (log, list) = (self.log.address(), self.list.address());
        let (lag, drain) = (STILL_TAKEN.as_millis(), DRAIN.as_millis());
        let root = self.operator.public();
        let key = self.operator.fleet_key();
        format!(
            "name: {name}\nzone: {zone}\nregion: {region}\nfleet: {fleet}\n\
             listen: {{ callers: {ANY}, peers: {ANY}, operators: {ANY} }}\n\
             platform: {{ log: {log}, list: {list} }}\n\
             root_keys: [{root}]\nfleet_key: {key}\n\
             balancer_lag: {lag}ms\ndrain: {drain}ms\nthreads: 1\n"
        )
    }

    pub(super) fn start_router(&mut self, index: usize) -> Result<(), Error> {
        let (name, zone) = self.deployment.instance(index);
        let text = self.settings(&name, zone);
        let settings = Settings::parse(&text).map_err(Error::Settings)?;
        let incarnation = settings.incarnation;
        let running = godwitpost_router::start(settings).map_err(Error::Router)?;
        self.recorder.record(What::InstanceStarted {
            instance: name.clone(),
        });
        self.list.set(Entry {
            name: name.clone(),
            incarnation,
            role: Role::Router,
            standing: Standing::Live,
            zone: zone.to_owned(),
            region: self.deployment.region.to_owned(),
            address: running.peers_address(),
            operators_address: Some(running.operators_address()),
            service: None,
            models: [].into(),
        });
        let address = running.operators_address();
        let watch = Watch::start(self.recorder.clone(), name.clone(), address);
        self.routers.insert(name, Router { running, watch });
        Ok(())
    }
}

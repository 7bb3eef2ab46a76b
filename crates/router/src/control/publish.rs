//! Publishes a new snapshot whenever something in it has changed.

use std::sync::Arc;

use godwitpost_decide::view::View;
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::Version;
use godwitpost_types::instance::Instance;
use godwitpost_types::policy::Kind;

use super::Control;
use crate::shared::{Bundle, Snapshot};

/// The last published state.
pub(super) struct Published {
    own: Instance,
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    version: Version,
    bundle: Option<Bundle>,
}

impl Published {
    pub(super) const fn new(own: Instance) -> Self {
        Self {
            own,
            instances: Vec::new(),
            endpoints: Vec::new(),
            version: 0,
            bundle: None,
        }
    }
}

impl Control {
    pub(super) fn publish(&mut self) {
        let instances = self.instances();
        let now = self.shared.now();
        let endpoints = self.endpoints.endpoints().cloned();
        let endpoints: Vec<Endpoint> = endpoints
            .map(|e| {
                self.models
                    .apply_reported_models(now, self.service_kind(&e), e)
            })
            .collect();
        let version = self.serving_version();
        let last = &self.published;
        if last.version == version && last.instances == instances && last.endpoints == endpoints {
            return;
        }
        if self.published.version != version {
            self.published.bundle = self.current_bundle();
            self.batchers.set_window(self.fold.policy());
            self.pump.set_version(version);
            log::info!(version = version; "bundle in force");
        }
        let view = View::new(
            self.shared.local(),
            instances.iter().cloned(),
            endpoints.iter().cloned(),
        );
        self.shared.publish(Snapshot {
            view: Arc::new(view),
            bundle: self.published.bundle.clone(),
        });
        self.published.instances = instances;
        self.published.endpoints = endpoints;
        self.published.version = version;
    }

    // The version to serve under; 0 while the stream is still being read.
    fn serving_version(&self) -> Version {
        if self.ready.get() {
            self.fold.version()
        } else {
            0
        }
    }

    // The local instance stays in its own view while it leaves, so that the view
    // knows its region. A leaving instance owns no endpoints.
    fn instances(&self) -> Vec<Instance> {
        let mut instances: Vec<Instance> = self.roster.instances().cloned().collect();
        if !instances.iter().any(|i| i.id == self.published.own.id) {
            instances.push(Instance {
                standing: Standing::Leaving,
                ..self.published.own.clone()
            });
        }
        instances
    }

    fn service_kind(&self, endpoint: &Endpoint) -> Option<Kind> {
        let policy = self.fold.policy()?;
        Some(policy.services.get(&endpoint.service)?.kind)
    }

    fn current_bundle(&self) -> Option<Bundle> {
        let policy = self.fold.policy()?.clone();
        Some(Bundle {
            policy: Arc::new(policy),
            root: self.fold.tree()?.root(),
        })
    }
}

//! What the control thread publishes for the threads that serve traffic.

use std::collections::BTreeMap;
use std::sync::Arc;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{EndpointId, ServiceId};

use crate::policy::{Policy, Ramp};
use crate::revoked::RevokedKeys;
use crate::roster::Registration;

/// A service counts as reduced if at least one in this many of its endpoints is out of
/// use.
const REDUCED_SERVICE_DIVISOR: usize = 10;

pub(crate) type Services = BTreeMap<ServiceId, Vec<Arc<Registration>>>;

/// The policy in force and the endpoints that requests can go to.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// The policy, once there is one.
    pub(crate) policy: Option<Arc<Policy>>,
    /// Endpoints that may get new work, by service; `None` until they were listed.
    pub(crate) endpoints: Option<Services>,
    /// Leaving endpoints, by service. They get no new work, but the prompts that they
    /// hold can still be fetched.
    pub(crate) leaving: Services,
    /// Endpoints in evacuated zones, by service. They get no requests, and those they
    /// have end there.
    pub(crate) evacuated: Services,
    /// The times at which endpoints that are warming up have warmed up.
    pub(crate) warm_at: BTreeMap<EndpointId, Moment>,
    /// Keys that are known to be revoked.
    pub(crate) revoked: Arc<RevokedKeys>,
}

impl View {
    /// Returns the endpoints of a service that may get new work.
    pub(crate) fn usable(&self, service: ServiceId) -> &[Arc<Registration>] {
        self.endpoints
            .as_ref()
            .and_then(|endpoints| endpoints.get(&service))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the name of a service, or an empty one if the policy doesn't have it.
    pub(crate) fn service_name(&self, id: ServiceId) -> &str {
        let service = self.policy.as_ref().and_then(|policy| policy.service(id));
        service.map_or("", |service| &service.name)
    }

    /// Returns the ramp of the load that an endpoint can take now, if it is warming up.
    pub(crate) fn ramp(&self, service: ServiceId, id: EndpointId, now: Moment) -> Option<Ramp> {
        self.warm_at.get(&id).filter(|warm_at| now < **warm_at)?;
        self.policy.as_ref()?.service(service)?.ramp
    }

    /// Returns the endpoints of a service that are in evacuated zones.
    pub(crate) fn evacuated(&self, service: ServiceId) -> &[Arc<Registration>] {
        self.evacuated.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a tenth or more of any service's endpoints take no requests or
    /// few, being in evacuated zones or warming up.
    pub(crate) fn has_reduced_service(&self, now: Moment) -> bool {
        let is_warming = |one: &&Arc<Registration>| {
            let warm_at = self.warm_at.get(&one.endpoint.id);
            warm_at.is_some_and(|warm_at| now < *warm_at)
        };
        let is_reduced = |service: &ServiceId| {
            let usable = self.usable(*service);
            let evacuated = self.evacuated(*service).len();
            let reduced = evacuated + usable.iter().filter(is_warming).count();
            reduced > 0 && reduced * REDUCED_SERVICE_DIVISOR >= evacuated + usable.len()
        };
        self.endpoints
            .iter()
            .flatten()
            .any(|(service, _)| is_reduced(service))
            || self.evacuated.keys().any(is_reduced)
    }

    /// Returns the endpoints of a service that are leaving.
    pub(crate) fn leaving(&self, service: ServiceId) -> &[Arc<Registration>] {
        self.leaving.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a service that may still hold the prompts they were sent.
    pub(crate) fn holders(&self, service: ServiceId) -> impl Iterator<Item = &Arc<Registration>> {
        self.usable(service).iter().chain(self.leaving(service))
    }

    /// Returns the endpoint with this id among the holders of a service.
    pub(crate) fn holder(&self, service: ServiceId, id: EndpointId) -> Option<&Arc<Registration>> {
        self.holders(service).find(|one| one.endpoint.id == id)
    }
}

pub(crate) fn by_service<'a>(
    registrations: impl Iterator<Item = &'a Arc<Registration>>,
) -> Services {
    let mut services = Services::new();
    for registration in registrations {
        services
            .entry(registration.endpoint.service)
            .or_default()
            .push(Arc::clone(registration));
    }
    services
}

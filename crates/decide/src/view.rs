//! The snapshot of instances and endpoints that decisions are based on.
//!
//! The control thread builds and publishes a [`View`] whenever its knowledge
//! of the fleet changes; traffic threads only read it. The views of two
//! instances may differ for seconds, and nothing here relies on their being
//! equal: a request that reaches the wrong owner is still served.

use std::collections::BTreeMap;
use std::sync::Arc;

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::{
    ChatId, EndpointId, InstanceId, ModelId, NO_MODEL, RegionId, ServiceId, ZoneId,
};
use godwitpost_types::instance::Instance;
use godwitpost_types::request::Request;
use serde::{Deserialize, Serialize};

use crate::place::{Group, Ranked, Weights};

/// Weight of the entry instance's zone for plain services; other zones have
/// weight 1.
///
/// A plain call keeps no context, so a short path is worth taking. With four
/// zones, a weight of 4 keeps about 57% of the calls in their zone and still
/// uses the others. Engines get 1: a home endpoint that depended on the entry
/// zone would lose the chat's context at each change of zone, to save a
/// millisecond.
pub const PLAIN_ZONE_WEIGHT: f64 = 4.0;

/// Weight of an endpoint's own zone when its owner is chosen.
///
/// An owner in the same zone saves a zone crossing on each request. Greater
/// weights let one instance own most of a zone when the other instances there
/// are gone.
pub const OWNER_ZONE_WEIGHT: f64 = 4.0;

/// Endpoints that can replace each other: those with one model of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// The service.
    pub service: ServiceId,
    /// The model, or [`NO_MODEL`] for plain services.
    pub model: ModelId,
}

impl Pool {
    /// Returns the pool that a request asks for.
    #[must_use]
    pub const fn for_request(request: &Request) -> Self {
        Self {
            service: request.service,
            model: request.model,
        }
    }
}

/// The instances and endpoints of one snapshot of the fleet.
///
/// All instances with the same lists have the same `Fleet`, so tests and
/// benchmarks that run many instances in one process share it.
#[derive(Clone, Debug)]
pub struct Fleet {
    instances: BTreeMap<InstanceId, Instance>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    owners: BTreeMap<EndpointId, InstanceId>,
    owned: BTreeMap<InstanceId, BTreeMap<Pool, Vec<EndpointId>>>,
    pools: BTreeMap<Pool, Vec<Group>>,
}

impl Fleet {
    /// Computes the owners and pools of a snapshot.
    #[must_use]
    pub fn new(
        instances: impl IntoIterator<Item = Instance>,
        endpoints: impl IntoIterator<Item = Endpoint>,
    ) -> Self {
        let instances: BTreeMap<_, _> = instances.into_iter().map(|i| (i.id, i)).collect();
        let endpoints: BTreeMap<_, _> = endpoints.into_iter().map(|e| (e.id, e)).collect();
        let owners = assign_owners(&instances, &endpoints);
        let pools = build_pools(endpoints.values());
        let mut fleet = Self {
            instances,
            endpoints,
            owners,
            owned: BTreeMap::new(),
            pools,
        };
        fleet.owned = fleet.group_by_owner();
        fleet
    }

    fn group_by_owner(&self) -> BTreeMap<InstanceId, BTreeMap<Pool, Vec<EndpointId>>> {
        let mut owned: BTreeMap<_, BTreeMap<Pool, Vec<EndpointId>>> = BTreeMap::new();
        for (pool, groups) in &self.pools {
            for endpoint in groups.iter().flat_map(|group| &group.members) {
                if let Some(owner) = self.owners.get(endpoint) {
                    let pools = owned.entry(*owner).or_default();
                    pools.entry(*pool).or_default().push(*endpoint);
                }
            }
        }
        owned
    }
}

/// An immutable snapshot of the fleet as one instance sees it.
#[derive(Clone, Debug)]
pub struct View {
    local: InstanceId,
    region: RegionId,
    fleet: Arc<Fleet>,
    owned: BTreeMap<Pool, Vec<EndpointId>>,
}

impl View {
    /// Builds the view of instance `local`, whose region is known only if it
    /// is among `instances`.
    #[must_use]
    pub fn new(
        local: InstanceId,
        instances: impl IntoIterator<Item = Instance>,
        endpoints: impl IntoIterator<Item = Endpoint>,
    ) -> Self {
        Self::from_fleet(local, Arc::new(Fleet::new(instances, endpoints)))
    }

    /// Builds instance `local`'s view of a fleet.
    #[must_use]
    pub fn from_fleet(local: InstanceId, fleet: Arc<Fleet>) -> Self {
        let region = fleet.instances.get(&local).map_or(0, |i| i.region);
        let owned = fleet.owned.get(&local).cloned().unwrap_or_default();
        Self {
            local,
            region,
            fleet,
            owned,
        }
    }

    /// Returns the instance whose view this is.
    #[must_use]
    pub const fn local(&self) -> InstanceId {
        self.local
    }

    /// Returns an instance by its id.
    #[must_use]
    pub fn instance(&self, id: InstanceId) -> Option<&Instance> {
        self.fleet.instances.get(&id)
    }

    /// Returns all instances in the order of their ids.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.fleet.instances.values()
    }

    /// Returns an endpoint by its id.
    #[must_use]
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.fleet.endpoints.get(&id)
    }

    /// Returns all endpoints in the order of their ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.fleet.endpoints.values()
    }

    /// Returns the endpoints that the local instance owns, including leaving
    /// ones.
    pub fn owned(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints()
            .filter(|endpoint| self.owner(endpoint.id) == self.local)
    }

    /// Returns the live endpoints that the local instance owns, by pool.
    #[must_use]
    pub const fn owned_pools(&self) -> &BTreeMap<Pool, Vec<EndpointId>> {
        &self.owned
    }

    /// Returns the live endpoints of one pool that the local instance owns.
    #[must_use]
    pub fn owned_in_pool(&self, pool: Pool) -> &[EndpointId] {
        self.owned.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Returns whether another view has the same endpoints with the same
    /// owners.
    #[must_use]
    pub fn same_ownership(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.fleet, &other.fleet)
            || (self.fleet.owners == other.fleet.owners && self.fleet.pools == other.fleet.pools)
    }

    /// Returns the instance that dispatches to an endpoint.
    ///
    /// An endpoint that is missing from the view counts as owned by the local
    /// instance.
    #[must_use]
    pub fn owner(&self, endpoint: EndpointId) -> InstanceId {
        self.fleet
            .owners
            .get(&endpoint)
            .copied()
            .unwrap_or(self.local)
    }

    /// Returns the number of live endpoints of a pool.
    #[must_use]
    pub fn pool_size(&self, pool: Pool) -> usize {
        self.fleet
            .pools
            .get(&pool)
            .map_or(0, |groups| groups.iter().map(|g| g.members.len()).sum())
    }

    /// Returns the live endpoints of a pool in a chat's order, computed
    /// lazily.
    ///
    /// `zone` is where the request entered the fleet. The local region comes
    /// first.
    #[must_use]
    pub fn ranked(&self, pool: Pool, chat: ChatId, zone: ZoneId) -> Ranked<'_> {
        let groups = self.fleet.pools.get(&pool).map_or(&[][..], Vec::as_slice);
        let is_plain = pool.model == NO_MODEL;
        let weights = Weights {
            preferred_zone: is_plain.then_some(zone),
            preferred_weight: if is_plain { PLAIN_ZONE_WEIGHT } else { 1.0 },
        };
        Ranked::new(groups, chat, self.region, weights)
    }

    /// Returns whether an endpoint is known, live and in `pool`.
    #[must_use]
    pub fn serves(&self, endpoint: EndpointId, pool: Pool) -> bool {
        self.fleet.endpoints.get(&endpoint).is_some_and(|endpoint| {
            endpoint.standing == Standing::Live
                && endpoint.service == pool.service
                && (pool.model == NO_MODEL || endpoint.models.contains(&pool.model))
        })
    }
}

fn assign_owners(
    instances: &BTreeMap<InstanceId, Instance>,
    endpoints: &BTreeMap<EndpointId, Endpoint>,
) -> BTreeMap<EndpointId, InstanceId> {
    let mut groups: BTreeMap<(RegionId, ZoneId), Vec<u64>> = BTreeMap::new();
    for instance in instances.values() {
        if instance.standing == Standing::Live {
            let group = groups.entry((instance.region, instance.zone)).or_default();
            group.push(instance.id);
        }
    }
    let groups: Vec<Group> = groups
        .into_iter()
        .map(|((region, zone), members)| Group {
            zone,
            region,
            members,
        })
        .collect();
    endpoints
        .values()
        .filter_map(|endpoint| {
            let weights = Weights {
                preferred_zone: Some(endpoint.zone),
                preferred_weight: OWNER_ZONE_WEIGHT,
            };
            let mut ranked = Ranked::new(&groups, endpoint.id, endpoint.region, weights);
            Some((endpoint.id, ranked.next()?))
        })
        .collect()
}

fn build_pools<'a>(endpoints: impl Iterator<Item = &'a Endpoint>) -> BTreeMap<Pool, Vec<Group>> {
    let mut pools: BTreeMap<Pool, BTreeMap<(RegionId, ZoneId), Vec<u64>>> = BTreeMap::new();
    for endpoint in endpoints.filter(|e| e.standing == Standing::Live) {
        let models = endpoint.models.iter().copied();
        let none = endpoint.models.is_empty().then_some(NO_MODEL);
        for model in models.chain(none) {
            let pool = Pool {
                service: endpoint.service,
                model,
            };
            let zones = pools.entry(pool).or_default();
            let group = zones.entry((endpoint.region, endpoint.zone)).or_default();
            group.push(endpoint.id);
        }
    }
    pools
        .into_iter()
        .map(|(pool, zones)| {
            let groups = zones.into_iter().map(|((region, zone), members)| Group {
                zone,
                region,
                members,
            });
            (pool, groups.collect())
        })
        .collect()
}

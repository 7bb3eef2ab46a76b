//! Endpoints with most of their fields in common, encoded once for all of them.
//!
//! Thousands of endpoints share a service, models, a zone and a build. Without these, an
//! entry takes a quarter of the bytes, and so does the list that every starting instance
//! has to receive.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::{self, EndpointId, Incarnation, ModelId, RegionId, ServiceId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::roster::Registration;

/// What the endpoints of a group have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Common {
    service: ServiceId,
    models: BTreeSet<ModelId>,
    zone: ZoneId,
    region: RegionId,
    standing: Standing,
    slots: u32,
    build: String,
}

/// The rest of an endpoint's entry.
#[derive(Debug, Serialize, Deserialize)]
struct Member {
    name: String,
    incarnation: Incarnation,
    address: SocketAddr,
    // `None` for an endpoint that is warm.
    warming: Option<Duration>,
    // `None` for the id of the name.
    id: Option<EndpointId>,
    // Whether the incarnation is the Unix millisecond of the start.
    starts_incarnation: bool,
    // `None` if that is so, or if the entry doesn't tell.
    started_at: Option<SystemTime>,
}

/// Endpoints with fields in common.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Group {
    common: Common,
    members: Vec<Member>,
}

/// Returns the groups of some endpoints.
pub(super) fn group(endpoints: impl IntoIterator<Item = Registration>) -> Vec<Group> {
    let mut groups = BTreeMap::<Common, Vec<Member>>::new();
    for registration in endpoints {
        let (common, member) = split(registration);
        groups.entry(common).or_default().push(member);
    }
    let groups = groups.into_iter();
    groups
        .map(|(common, members)| Group { common, members })
        .collect()
}

/// Returns the endpoints of some groups.
pub(super) fn ungroup(groups: Vec<Group>) -> Vec<Registration> {
    let mut endpoints = Vec::with_capacity(groups.iter().map(|group| group.members.len()).sum());
    for Group { common, members } in groups {
        let members = members.into_iter();
        endpoints.extend(members.map(|member| join(&common, member)));
    }
    endpoints
}

fn split(registration: Registration) -> (Common, Member) {
    let Registration {
        endpoint,
        slots,
        warming,
        build,
        started_at,
    } = registration;
    let starts_incarnation = started_at == start_of(endpoint.incarnation);
    let member = Member {
        id: Some(endpoint.id).filter(|given| *given != id::from_name(&endpoint.name)),
        name: endpoint.name,
        incarnation: endpoint.incarnation,
        address: endpoint.address,
        warming: Some(warming).filter(|time| !time.is_zero()),
        starts_incarnation,
        started_at: started_at.filter(|_| !starts_incarnation),
    };
    let common = Common {
        service: endpoint.service,
        models: endpoint.models,
        zone: endpoint.zone,
        region: endpoint.region,
        standing: endpoint.standing,
        slots,
        build,
    };
    (common, member)
}

fn join(common: &Common, member: Member) -> Registration {
    Registration {
        endpoint: Endpoint {
            id: member.id.unwrap_or_else(|| id::from_name(&member.name)),
            name: member.name,
            incarnation: member.incarnation,
            service: common.service,
            models: common.models.clone(),
            zone: common.zone,
            region: common.region,
            address: member.address,
            standing: common.standing,
        },
        slots: common.slots,
        warming: member.warming.unwrap_or_default(),
        build: common.build.clone(),
        started_at: if member.starts_incarnation {
            start_of(member.incarnation)
        } else {
            member.started_at
        },
    }
}

// Returns the time of which an incarnation is the Unix millisecond.
fn start_of(incarnation: Incarnation) -> Option<SystemTime> {
    UNIX_EPOCH.checked_add(Duration::from_millis(incarnation))
}

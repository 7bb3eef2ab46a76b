//! One instance: what it believes of endpoints, and where it sends.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_decide::health::Access;
use godwitpost_direct::notices::{Notice, Notices};
use godwitpost_direct::place::{Candidate, Pick, Unavailable, pick};
use godwitpost_direct::roster::{Registration, Roster};
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{self, EndpointId};

use crate::endpoint::{Endpoint, Reply};
use crate::world::Guard;

pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The load that no endpoint may pass, in means.
const BOUND: f64 = 2.0;

#[derive(Debug)]
pub(crate) struct Instance {
    without: Option<Guard>,
    notices: Notices,
    roster: Roster,
    own: BTreeMap<EndpointId, u32>,
    pub(crate) reads: Moment,
}

impl Instance {
    pub(crate) fn new(without: Option<Guard>) -> Self {
        Self {
            without,
            notices: Notices::default(),
            roster: Roster::new(HEARTBEAT),
            own: BTreeMap::new(),
            reads: Duration::ZERO,
        }
    }

    fn lacks(&self, guard: Guard) -> bool {
        self.without == Some(guard)
    }

    /// Reads what the log holds.
    pub(crate) fn read(&mut self, endpoints: &[Endpoint], now: Moment) {
        self.roster.record_read(now);
        for endpoint in endpoints {
            match endpoint.entry {
                Some((life, standing)) => {
                    let registration = endpoint.registration(life, standing);
                    self.roster.apply(registration, now);
                }
                None => {
                    self.roster.remove(&endpoint.name, now);
                }
            }
        }
        self.roster.remove_expired(now);
    }

    pub(crate) fn tick(&mut self, now: Moment) {
        for life in self.notices.take_leaving(now) {
            self.roster.mark_leaving(&life, now);
        }
    }

    // The id by which the endpoint's word is noted.
    fn noted(&self, registration: &Registration) -> EndpointId {
        if self.lacks(Guard::Lives) {
            return id::of(&registration.endpoint.name);
        }
        registration.endpoint.id
    }

    /// Picks the endpoint of a request and counts it there.
    pub(crate) fn place(&mut self, draw: u64, now: Moment) -> Option<Registration> {
        let live = self
            .roster
            .registrations()
            .filter(|one| one.endpoint.standing == Standing::Live);
        let mut candidates = Vec::new();
        for one in live {
            let access = match self.notices.get(self.noted(one), now) {
                Some(Notice::Leaving | Notice::Paused { .. }) => continue,
                Some(Notice::Resuming) if !self.lacks(Guard::Trials) => Access::Trial,
                _ => Access::Full,
            };
            let own = self.own.get(&one.endpoint.id).copied().unwrap_or(0);
            candidates.push(candidate(one, own, access));
        }
        let Pick::Send { endpoint, .. } =
            pick(&candidates, Unavailable::default(), None, BOUND, draw)
        else {
            return None;
        };
        *self.own.entry(endpoint).or_default() += 1;
        let all = self.roster.registrations();
        all.into_iter()
            .find(|one| one.endpoint.id == endpoint)
            .cloned()
    }

    /// Returns whether it tries the endpoint by one request at a time.
    pub(crate) fn tries(&self, endpoint: EndpointId, now: Moment) -> bool {
        self.notices.get(endpoint, now) == Some(Notice::Resuming)
    }

    pub(crate) fn under_way(&self, endpoint: EndpointId) -> u32 {
        self.own.get(&endpoint).copied().unwrap_or(0)
    }

    /// Takes in an endpoint's answer, and its word on its leaving.
    pub(crate) fn answered(&mut self, to: &Registration, reply: Reply, leaving: bool, now: Moment) {
        let id = to.endpoint.id;
        if let Some(own) = self.own.get_mut(&id) {
            *own -= 1;
        }
        if reply == Reply::Misdirected {
            return;
        }
        let noted = self.noted(to);
        if leaving && !self.lacks(Guard::Leaving) {
            let life = to.endpoint_incarnation();
            self.notices.record_leaving(noted, &life, now);
        }
        match reply {
            Reply::Refused(_) if self.lacks(Guard::Pauses) => {}
            Reply::Refused(Some(pause)) => self.notices.record_pause(noted, pause, now),
            Reply::Refused(None) => drop(self.notices.record_refusal(noted, now)),
            Reply::Served | Reply::Misdirected => drop(self.notices.record_response(noted, now)),
        }
    }
}

fn candidate(one: &Registration, own: u32, access: Access) -> Candidate {
    Candidate {
        endpoint: one.endpoint.id,
        load: f64::from(own),
        load_stddev: 1.0,
        own_requests: own,
        observed_load: f64::from(own),
        known_fraction: 1.0,
        slots: one.slots,
        same_zone: true,
        path_clear: true,
        access,
        exclusion: None,
    }
}

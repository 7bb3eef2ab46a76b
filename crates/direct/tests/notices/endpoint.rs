//! A simulated endpoint and its entry in the log.

use std::collections::BTreeSet;
use std::time::Duration;

use godwitpost_direct::roster::Registration;
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Endpoint as ListedEndpoint, Standing};
use godwitpost_types::id::{self, EndpointId, Incarnation};

/// Number of requests that it runs at once.
const SLOTS: u32 = 64;

/// The endpoint's reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Served,
    /// Refused, with the pause that it asks for, if any.
    Refused(Option<Duration>),
    /// Addressed to another incarnation of the endpoint.
    Misdirected,
}

/// One of a service's endpoints.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) incarnation: Incarnation,
    /// When it begins to announce its leaving.
    pub(crate) leaves_at: Option<Moment>,
    /// When its next incarnation starts.
    pub(crate) ends_at: Option<Moment>,
    /// Until when it refuses all requests, and the pause that it asks for meanwhile.
    pub(crate) refuses_until: Option<(Moment, Option<Duration>)>,
    /// Its entry in the log, if any.
    pub(crate) entry: Option<(Incarnation, Standing)>,
    /// Since when nothing prevents its use.
    pub(crate) usable_since: Moment,
}

impl Endpoint {
    pub(crate) fn new(number: u16) -> Self {
        Self {
            name: format!("e{number}"),
            incarnation: 1,
            leaves_at: None,
            ends_at: None,
            refuses_until: None,
            entry: Some((1, Standing::Live)),
            usable_since: Duration::ZERO,
        }
    }

    pub(crate) fn id_of(&self, incarnation: Incarnation) -> EndpointId {
        id::incarnation_id(incarnation, &self.name)
    }

    pub(crate) fn registration(
        &self,
        incarnation: Incarnation,
        standing: Standing,
    ) -> Registration {
        Registration {
            endpoint: ListedEndpoint {
                id: self.id_of(incarnation),
                name: self.name.clone(),
                incarnation,
                service: 1,
                models: BTreeSet::new(),
                zone: 1,
                region: 0,
                address: "10.0.0.1:80".parse().expect("an address"),
                standing,
            },
            slots: SLOTS,
            warming: Duration::ZERO,
            build: "v1".to_owned(),
            started_at: None,
        }
    }

    pub(crate) fn reply(&self, to: EndpointId, now: Moment) -> Reply {
        if to != self.id_of(self.incarnation) {
            return Reply::Misdirected;
        }
        match self.refuses_until {
            Some((until, pause)) if now < until => Reply::Refused(pause),
            _ => Reply::Served,
        }
    }

    pub(crate) fn is_leaving(&self, now: Moment) -> bool {
        self.leaves_at.is_some_and(|at| at <= now)
    }

    /// Ends this incarnation and starts the next.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.incarnation += 1;
        self.leaves_at = None;
        self.ends_at = None;
        self.refuses_until = None;
        self.usable_since = now;
    }
}

//! An endpoint: what it says, and what the log says of it.

use std::collections::BTreeSet;
use std::time::Duration;

use godwitpost_direct::roster::Registration;
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Endpoint as Listed, Standing};
use godwitpost_types::id::{self, EndpointId, Incarnation};

/// Requests that it runs at once.
const SLOTS: u32 = 64;

/// What it does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    Served,
    /// Turned away, with the time for which it wants no more if it names one.
    Refused(Option<Duration>),
    /// Meant for another life of it.
    Misdirected,
}

/// One of a service's endpoints.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) life: Incarnation,
    /// From when on it says that it leaves.
    pub(crate) leaves: Option<Moment>,
    /// When its next life begins.
    pub(crate) ends: Option<Moment>,
    /// Until when it turns all away, and for how long it wants none then.
    pub(crate) refuses: Option<(Moment, Option<Duration>)>,
    /// What the log holds of it, if anything.
    pub(crate) entry: Option<(Incarnation, Standing)>,
    /// Since when nothing keeps it from being used.
    pub(crate) sound: Moment,
}

impl Endpoint {
    pub(crate) fn new(number: u16) -> Self {
        Self {
            name: format!("e{number}"),
            life: 1,
            leaves: None,
            ends: None,
            refuses: None,
            entry: Some((1, Standing::Live)),
            sound: Duration::ZERO,
        }
    }

    pub(crate) fn id_of(&self, life: Incarnation) -> EndpointId {
        id::life(life, &self.name)
    }

    pub(crate) fn registration(&self, life: Incarnation, standing: Standing) -> Registration {
        Registration {
            endpoint: Listed {
                id: self.id_of(life),
                name: self.name.clone(),
                incarnation: life,
                service: 1,
                models: BTreeSet::new(),
                zone: 1,
                region: 0,
                address: "10.0.0.1:80".parse().expect("an address"),
                standing,
            },
            slots: SLOTS,
            warming: Duration::ZERO,
        }
    }

    pub(crate) fn reply(&self, to: EndpointId, now: Moment) -> Reply {
        if to != self.id_of(self.life) {
            return Reply::Misdirected;
        }
        match self.refuses {
            Some((until, pause)) if now < until => Reply::Refused(pause),
            _ => Reply::Served,
        }
    }

    pub(crate) fn is_leaving(&self, now: Moment) -> bool {
        self.leaves.is_some_and(|at| at <= now)
    }

    /// Ends this life, and begins the next.
    pub(crate) fn next_life(&mut self, now: Moment) {
        self.life += 1;
        self.leaves = None;
        self.ends = None;
        self.refuses = None;
        self.sound = now;
    }
}

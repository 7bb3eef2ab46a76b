//! An instance's beliefs, by the production code, and what it has told.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use godwitpost_direct::crashes::{CrashTracker, Evidence, ForwardedEvidence, Ruling};
use godwitpost_direct::members;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::hash;
use godwitpost_types::id::{PartId, ServiceId};

use crate::Form;
use crate::schedule::CONTACT_TIME;

pub(crate) const SERVICE: ServiceId = 1;

/// One life of an instance.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    pub(crate) up: bool,
    pub(crate) cut_off: bool,
    pub(crate) slow: bool,
    /// When something befell it last.
    pub(crate) harmed_at: Option<Moment>,
    pub(crate) tracker: CrashTracker,
    /// How much of what its seed has published it knows.
    pub(crate) known: usize,
}

/// What an instance does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// It is sent to any endpoint.
    Send,
    /// It is sent to the endpoint that this key draws.
    SendApart(u64),
    Refuse,
}

impl Instance {
    pub(crate) fn new(number: usize) -> Self {
        let number = u32::try_from(number).expect("few instances");
        Self {
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(0x0a00_0000 + number)), 7_000),
            up: true,
            cut_off: false,
            slow: false,
            harmed_at: None,
            tracker: CrashTracker::default(),
            known: 0,
        }
    }

    /// Returns whether it has been without harm for long enough to know what others do.
    pub(crate) fn is_in_touch(&self, now: Moment) -> bool {
        let calm = |harmed_at| since(now, harmed_at) >= CONTACT_TIME;
        self.up && !self.cut_off && !self.slow && self.harmed_at.is_none_or(calm)
    }

    pub(crate) fn decide(
        &mut self,
        parts: &[PartId],
        is_repeat: bool,
        members: &[SocketAddr],
        form: Form,
        now: Moment,
    ) -> Decision {
        if self.tracker.is_empty() || form == Form::NoParts {
            return Decision::Send;
        }
        let suspect = self.tracker.suspect_part(SERVICE, parts);
        let apart = suspect.map_or(Decision::Send, Decision::SendApart);
        match self.tracker.rule(SERVICE, parts, now) {
            Ruling::Free if is_repeat && suspect.is_some() => Decision::Refuse,
            Ruling::Free => apart,
            Ruling::Held { .. } => Decision::Refuse,
            Ruling::Trial { part, period, .. } => {
                let draw = hash::score(part.1, period);
                let is_chosen = form == Form::TrialsEverywhere
                    || members::chosen(members, draw) == Some(self.address);
                if !is_repeat && is_chosen && self.tracker.begin_trial(part, now) {
                    apart
                } else {
                    Decision::Refuse
                }
            }
        }
    }

    /// Returns whether a request that waits at an endpoint is withdrawn.
    pub(crate) fn withdraws(&self, parts: &[PartId], form: Form, now: Moment) -> bool {
        let ruling = self.tracker.rule(SERVICE, parts, now);
        form != Form::NoParts && matches!(ruling, Ruling::Held { .. })
    }

    pub(crate) fn record(&mut self, evidence: &Evidence) -> bool {
        self.tracker.record(evidence)
    }
}

/// Returns evidence as it arrives `transit` after it was sent.
pub(crate) fn transfer(evidence: &Evidence, sent_at: Moment, received_at: Moment) -> Evidence {
    ForwardedEvidence::from_evidence(evidence, sent_at).to_evidence(received_at)
}

//! What the log, peers and endpoints themselves say of endpoints, taken in.

use std::collections::BTreeSet;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};

use super::Control;
use super::follow::Heard;
use super::peers::News;
use crate::feed::Change;
use crate::roster::{Origin, Registration, RemoveResult, Roster, SetResult};

impl Control {
    pub(super) fn endpoints(&mut self, heard: Heard<Registration>) {
        let now = boot_time();
        self.era(heard.era, None);
        self.roster.set_origin(Origin::Log(heard.mode.epoch));
        self.roster.record_read(now);
        let first = heard.whole && !self.listed;
        let mut changed = first;
        for change in heard.changes {
            changed |= self.endpoint(change, heard.listed, now);
        }
        self.listed |= heard.whole;
        if changed {
            self.publish();
        }
        if heard.whole {
            self.shared
                .update_replica(first, |replica| replica.confirm_endpoints(heard.asked));
        }
    }

    fn endpoint(&mut self, change: Change<Registration>, listed: bool, now: Moment) -> bool {
        match change {
            Change::Set(_, registration) if listed => {
                self.take(registration, now, Roster::apply_listed)
            }
            Change::Set(_, registration) => self.take(registration, now, Roster::apply),
            Change::Removed(name) => match self.roster.remove(&name, now) {
                RemoveResult::Removed => {
                    log::info!(endpoint:% = name; "endpoint gone");
                    self.shared
                        .update_replica(true, |replica| replica.remove_endpoint(&name));
                    true
                }
                RemoveResult::Retained => {
                    log::info!(endpoint:% = name; "entry lapsed with the log away; endpoint kept");
                    self.shared
                        .update_replica(true, |replica| replica.mark_expired(&name));
                    false
                }
                RemoveResult::Unknown => false,
            },
            Change::Unreadable(name, cause) => {
                log::warn!(entry:% = name, cause:% = cause; "entry names no endpoint");
                false
            }
        }
    }

    // Takes in an entry that was told at `then`, by what the roster does with such.
    pub(super) fn take(
        &mut self,
        registration: Registration,
        then: Moment,
        set: fn(&mut Roster, Registration, Moment) -> SetResult,
    ) -> bool {
        let endpoint = registration.endpoint.clone();
        let told = registration.clone();
        let setting = set(&mut self.roster, registration, then);
        match setting {
            SetResult::Unchanged => return false,
            SetResult::Older | SetResult::Doubted => {
                log::info!(
                    endpoint:% = endpoint.name, incarnation = endpoint.incarnation,
                    standing:? = endpoint.standing, setting:? = setting;
                    "entry not taken"
                );
                return false;
            }
            SetResult::Renewed | SetResult::WarmingAgain | SetResult::Changed => {}
        }
        if setting == SetResult::Renewed {
            self.tell(told);
            log::info!(endpoint:% = endpoint.name; "lapsed entry is back");
            return false;
        }
        self.changed(told, "entry");
        true
    }

    // Tells peers what an endpoint's entry says now.
    fn tell(&self, registration: Registration) -> Moment {
        let warm_at = self.roster.warm_at(&registration.endpoint.name);
        self.shared
            .update_replica(true, |replica| replica.set_endpoint(registration, warm_at));
        warm_at
    }

    // Tells peers and logs that an endpoint says something new of itself.
    fn changed(&self, registration: Registration, told_by: &str) {
        let endpoint = registration.endpoint.clone();
        let warm_at = self.tell(registration);
        log::info!(
            endpoint:% = endpoint.name, incarnation = endpoint.incarnation,
            address:% = endpoint.address, standing:? = endpoint.standing,
            warming_ms = since(warm_at, boot_time()).as_millis(), told_by:% = told_by;
            "endpoint changed"
        );
    }

    // Takes in which endpoints said in answers that they are leaving; returns whether
    // that changed anything.
    pub(super) fn notices(&mut self, now: Moment) -> bool {
        let (leaving, paused) = {
            let mut notices = self.shared.notices();
            (notices.take_leaving(now), notices.paused_count(now))
        };
        self.shared.metrics.record_paused_endpoints(paused);
        let mut changed = false;
        for life in leaving {
            if let Some(registration) = self.roster.mark_leaving(&life, now) {
                self.changed(registration, "endpoint");
                changed = true;
            }
        }
        changed
    }

    // The endpoints that are gone: those named, or all that a whole list
    // doesn't name. Those that lapsed at the peer are neither: known ones stay,
    // and unknown ones, which may have been seen leaving here, stay out.
    pub(super) fn gone(&self, news: &News) -> Vec<String> {
        if !news.whole {
            return news.gone.clone();
        }
        let set = news.set.iter().map(|one| one.endpoint.name.as_str());
        let lapsed = news.lapsed.iter().map(String::as_str);
        let told: BTreeSet<&str> = set.chain(lapsed).collect();
        self.roster
            .registrations()
            .map(|one| one.endpoint.name.clone())
            .filter(|name| !told.contains(name.as_str()))
            .collect()
    }

    pub(super) fn dismiss(&mut self, name: &str) -> bool {
        let known = self.roster.remove_confirmed(name, boot_time());
        if known {
            log::info!(endpoint:% = name; "endpoint gone");
            self.shared
                .update_replica(true, |replica| replica.remove_endpoint(name));
        }
        known
    }
}

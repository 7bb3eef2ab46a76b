//! Applies what the log, peers and endpoints themselves report about endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::{Moment, since};

use super::Control;
use super::follow::TopicUpdate;
use super::peers::PeerUpdate;
use crate::builds::Continuity;
use crate::feed::Change;
use crate::replica::bucket_of;
use crate::roster::{Origin, Registration, RemoveResult, Roster, SetResult};

/// How many endpoints that changed together get a line each. The list of thousands that a
/// starting instance receives would displace all other lines.
const MAX_SINGLE_LINES: usize = 64;

/// A change of an endpoint's entry that is yet to be logged.
#[derive(Debug)]
pub(super) struct EntryChange {
    entry: Arc<Registration>,
    warm_at: Moment,
    told_by: &'static str,
}

impl EntryChange {
    fn log(&self) {
        let endpoint = &self.entry.endpoint;
        log::info!(
            endpoint:% = endpoint.name, incarnation = endpoint.incarnation,
            build:% = self.entry.build, address:% = endpoint.address, standing:? = endpoint.standing,
            warming_ms = since(self.warm_at, boot_time()).as_millis(), told_by:% = self.told_by;
            "endpoint changed"
        );
    }
}

impl Control {
    pub(super) fn apply_endpoints_update(&mut self, update: TopicUpdate<Registration>) {
        let now = boot_time();
        self.record_era(update.era, None);
        self.roster.set_origin(Origin::Log(update.mode.epoch));
        self.roster.record_renewal(now, now);
        let first = update.complete && !self.endpoints_listed;
        let mut changed = first;
        self.record_listed_builds(&update.changes, now);
        if update.from_list {
            self.continuity = Continuity::List;
        }
        for change in update.changes {
            changed |= self.apply_change(change, update.from_list, now);
        }
        self.endpoints_listed |= update.complete;
        if let Some(end) = update.position {
            self.past_reading.record_end(end);
        }
        if changed {
            self.publish_view();
        }
        if update.complete {
            self.roster.record_complete_read(update.sent_at);
            let continuity = std::mem::replace(&mut self.continuity, Continuity::Changes);
            self.shared
                .builds()
                .record_confirmation(update.sent_at, continuity);
            self.shared
                .update_replica(first, |replica| replica.confirm_endpoints(update.sent_at));
        }
        self.read_past_if_needed();
        self.log_changes();
        self.check_readiness();
    }

    // Records the builds that changes name, as a later one of the same changes may remove them.
    fn record_listed_builds(&self, changes: &[Change<Registration>], now: Moment) {
        let mut builds = self.shared.builds();
        for change in changes {
            if let Change::Set(_, one) = change {
                builds.record_listed(one.endpoint.service, one.build_id(), now);
            }
        }
    }

    // Logs the endpoints that changed, one by one unless they are many.
    pub(super) fn log_changes(&mut self) {
        let changes = std::mem::take(&mut self.unlogged);
        if changes.len() > MAX_SINGLE_LINES {
            let mut builds = BTreeMap::<&str, usize>::new();
            for change in &changes {
                *builds.entry(&change.entry.build).or_default() += 1;
            }
            log::info!(endpoints = changes.len(), builds:? = builds; "endpoints changed");
            return;
        }
        for change in &changes {
            change.log();
        }
    }

    fn apply_change(&mut self, change: Change<Registration>, from_list: bool, now: Moment) -> bool {
        match change {
            Change::Set(_, registration) if from_list => {
                self.apply_entry(registration, now, Roster::apply_listed)
            }
            Change::Set(_, registration) => self.apply_entry(registration, now, Roster::apply),
            Change::Removed(name) => {
                let result = self.roster.remove(&name, now);
                self.report_removal(&name, result)
            }
            Change::Unreadable(name, cause) => {
                log::warn!(entry:% = name, cause:% = cause; "entry does not describe an endpoint");
                false
            }
        }
    }

    // Passes a removal on to peers and logs it. Returns whether the view changed.
    fn report_removal(&self, name: &str, result: RemoveResult) -> bool {
        match result {
            RemoveResult::Removed => {
                log::info!(endpoint:% = name; "endpoint gone");
                self.shared
                    .update_replica(true, |replica| replica.remove_endpoint(name));
                true
            }
            RemoveResult::Retained => {
                log::info!(endpoint:% = name; "entry expired during a log outage; endpoint retained");
                self.shared
                    .update_replica(true, |replica| replica.mark_expired(name));
                false
            }
            RemoveResult::Unknown => false,
        }
    }

    // Applies the word of a peer that it retains an expired entry. Returns whether the view
    // changed.
    pub(super) fn apply_expired(&mut self, name: &str, now: Moment) -> bool {
        let result = self.roster.expire(name, now);
        self.report_removal(name, result)
    }

    // Applies an entry learned at `learned_at` by way of `apply`. Returns
    // whether the view changed.
    pub(super) fn apply_entry(
        &mut self,
        registration: Registration,
        learned_at: Moment,
        apply: fn(&mut Roster, Registration, Moment) -> SetResult,
    ) -> bool {
        let name = registration.endpoint.name.clone();
        let incarnation = registration.endpoint.incarnation;
        let standing = registration.endpoint.standing;
        let result = apply(&mut self.roster, registration, learned_at);
        match result {
            SetResult::Unchanged => return false,
            SetResult::Older | SetResult::Doubted => {
                log::info!(
                    endpoint:% = name, incarnation = incarnation,
                    standing:? = standing, setting:? = result;
                    "entry rejected"
                );
                return false;
            }
            SetResult::Renewed | SetResult::WarmingAgain | SetResult::Changed => {}
        }
        let Some(entry) = self.roster.get(&name).cloned() else {
            return false;
        };
        if result == SetResult::Renewed {
            self.publish_entry(entry);
            log::info!(endpoint:% = name; "expired entry returned");
            return false;
        }
        self.report_change(&entry, "entry");
        true
    }

    // Sends an endpoint's entry to peers. Returns when the endpoint will be
    // warm.
    fn publish_entry(&self, registration: Arc<Registration>) -> Moment {
        let warm_at = self.roster.warm_at(&registration.endpoint.name);
        self.shared
            .update_replica(true, |replica| replica.set_endpoint(registration, warm_at));
        warm_at
    }

    // Sends a changed endpoint to peers, and notes it for the log.
    fn report_change(&mut self, registration: &Arc<Registration>, told_by: &'static str) {
        let warm_at = self.publish_entry(Arc::clone(registration));
        self.unlogged.push(EntryChange {
            entry: Arc::clone(registration),
            warm_at,
            told_by,
        });
    }

    // Applies the notices of leaving that endpoints put in their responses.
    // Returns whether any endpoint changed.
    pub(super) fn apply_notices(&mut self, now: Moment) -> bool {
        let (leaving, paused) = {
            let mut notices = self.shared.notices();
            (notices.take_leaving(now), notices.paused_count(now))
        };
        self.shared.metrics.record_paused_endpoints(paused);
        let mut changed = false;
        for incarnation in leaving {
            if let Some(registration) = self.roster.mark_leaving(&incarnation, now) {
                self.report_change(&registration, "endpoint");
                changed = true;
            }
        }
        changed
    }

    // Returns the endpoints that an update removes: those it names as removed
    // or, if it contains the full list or whole buckets, all of these that it
    // doesn't mention. Entries that expired at the peer are neither removed nor
    // added: known endpoints stay, and unknown ones, which may have been seen
    // leaving here, stay out.
    pub(super) fn removed_endpoints(&self, update: &PeerUpdate) -> Vec<String> {
        if !update.full && update.buckets.is_empty() {
            return update.removed.clone();
        }
        let listed = |name: &str| update.full || update.buckets.contains(&bucket_of(name));
        let set = update.set.iter().map(|one| one.endpoint.name.as_str());
        let expired = update.expired.iter().map(String::as_str);
        let named: BTreeSet<&str> = set.chain(expired).collect();
        self.roster
            .registrations()
            .map(|one| one.endpoint.name.clone())
            .filter(|name| !named.contains(name.as_str()) && listed(name))
            .collect()
    }

    pub(super) fn remove_endpoint(&mut self, name: &str) -> bool {
        let known = self.roster.remove_confirmed(name, boot_time());
        if known {
            log::info!(endpoint:% = name; "endpoint gone");
            self.shared
                .update_replica(true, |replica| replica.remove_endpoint(name));
        }
        known
    }
}

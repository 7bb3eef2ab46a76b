//! Whether a request is held, or placed apart, since it may crash endpoints.

use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::hash;

use super::Job;
use crate::crashes::{PartKey, Ruling};
use crate::refusal::Reason;

/// The number of endpoints that crashed in a row while running a request from which on it
/// is placed apart from others. After a single crash the request is most likely innocent,
/// and reading its prompt again elsewhere would be wasted.
const MIN_CRASHES_TO_ISOLATE: u32 = 2;

/// Turns a part's id into the affinity key of the requests that are placed apart for it.
const ISOLATED: u64 = 0x6973_6f6c;

impl Job {
    /// Returns how much longer the request is quarantined because endpoints crashed each
    /// time they ran it.
    pub(in crate::relay) fn quarantine_remaining(&self) -> Option<Duration> {
        let crash_tracker = self.shared.crash_tracker();
        if crash_tracker.is_empty() {
            return None;
        }
        crash_tracker.remaining_hold(&self.digest(), boot_time())
    }

    /// Returns whether a part of its prompt is held, as it crashes endpoints.
    pub(in crate::relay) fn has_held_part(&self) -> bool {
        let crash_tracker = self.shared.crash_tracker();
        if crash_tracker.is_empty() {
            return false;
        }
        let parts = self.fields.parts_shared_with_others();
        let ruling = crash_tracker.rule(self.service, &parts, boot_time());
        matches!(ruling, Ruling::Held { .. })
    }

    /// Checks whether the parts of its prompt allow that it is sent now.
    ///
    /// # Errors
    ///
    /// Returns the reason why they don't.
    pub(in crate::relay) fn check_parts(&mut self) -> Result<(), Reason> {
        let crash_tracker = self.shared.crash_tracker();
        if crash_tracker.is_empty() {
            return Ok(());
        }
        let parts = self.fields.parts_shared_with_others();
        let ruling = crash_tracker.rule(self.service, &parts, boot_time());
        let suspect = crash_tracker.suspect_part(self.service, &parts);
        drop(crash_tracker);
        match ruling {
            Ruling::Free if self.attempts.may_have_run() && suspect.is_some() => {
                log::info!(
                    request:% = self.id, part:? = suspect;
                    "request not repeated: a part of its prompt is suspected of crashing endpoints"
                );
                Err(Reason::Broken)
            }
            Ruling::Free => Ok(()),
            Ruling::Held { part, left } => Err(self.hold(part, left)),
            Ruling::Trial { part, period, left } => {
                if self.begin_trial(part, period) {
                    Ok(())
                } else {
                    Err(self.hold(part, left))
                }
            }
        }
    }

    // Returns whether the request may be sent to try a held part again.
    fn begin_trial(&mut self, part: PartKey, period: u64) -> bool {
        if self.is_trial {
            return !self.attempts.may_have_run();
        }
        let now = boot_time();
        let draw = hash::score(part.1, period);
        let is_chosen = self.shared.members().is_chosen(draw, now);
        self.is_trial = is_chosen && self.shared.crash_tracker().begin_trial(part, now);
        if self.is_trial {
            self.shared.metrics.crashes().count_trial();
            log::info!(
                request:% = self.id, part = part.1, period = period;
                "request sent to try a held part of prompts again"
            );
        }
        self.is_trial
    }

    fn hold(&self, (_, part): PartKey, left: Duration) -> Reason {
        self.shared
            .metrics
            .crashes()
            .count_refusal(&self.route.name);
        log::info!(
            request:% = self.id, part = part, left_ms:% = left.as_millis();
            "request held: a part of its prompt crashes endpoints"
        );
        Reason::Held { left }
    }

    /// Returns the affinity key of a request that may crash endpoints. It differs from
    /// the key of its prompt, so that requests that share the prompt are not placed on
    /// the same endpoint.
    pub(in crate::relay) fn isolated_affinity_key(&self) -> Option<u64> {
        let crash_tracker = self.shared.crash_tracker();
        if crash_tracker.is_empty() {
            return None;
        }
        let parts = self.fields.parts_shared_with_others();
        if let Some(part) = crash_tracker.suspect_part(self.service, &parts) {
            return Some(hash::score(part, ISOLATED));
        }
        if crash_tracker.chain_length(&self.digest()) < MIN_CRASHES_TO_ISOLATE {
            return None;
        }
        let first_half = self.digest().first_chunk().copied();
        first_half.map(u64::from_le_bytes)
    }
}

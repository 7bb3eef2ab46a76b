//! Finds the parts of prompts under which endpoints crash.
//!
//! One part may crash each endpoint that begins to answer a request that has it, whatever
//! else the request holds. Such requests come at any instance, and no two are alike. A
//! crash breaks all requests at its endpoint, so every part that was there is under
//! suspicion; the one that crashes endpoints is there each time, and no answer to a
//! request with it is ever complete.
//!
//! What keeps sound parts from being held:
//!
//! - An answer that began after a crash clears its parts, at whichever instance it is
//!   observed.
//! - A part that was answered before takes a longer chain.
//! - Only requests are held that have all parts which were there at each of the crashes
//!   and have not been answered. One that has some of them goes through, and its end
//!   tells them apart.
//! - A crash that a part under stronger suspicion explains doesn't count against others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{EndpointId, PartId, ServiceId};

use super::answers::{Answer, Answers};
use super::evidence::{Evidence, NO_DIGEST, Observed};
use super::history::{Chain, History, Suspicion};

/// A part of prompts at one service, as engines of another one may bear it.
pub type PartKey = (ServiceId, PartId);

/// How long histories are kept: longer than the longest hold time.
const RETENTION: Duration = Duration::from_hours(2);

/// How often outdated histories are looked for.
const CLEANUP_INTERVAL: Duration = Duration::from_mins(1);

/// How many parts have a history, at about 500 bytes each.
const MAX_PARTS: usize = 4_096;

/// How many histories are left when there are too many. Those of held and suspect parts
/// are the last to go.
const PARTS_AFTER_EVICTION: usize = 3_072;

/// How many parts of one request are considered.
const MAX_PARTS_PER_REQUEST: usize = 16;

/// After a hold time, each of these periods has one instance that may let a request
/// through. Mostly all know what came of it within one.
const TRIAL_PERIOD: Duration = Duration::from_secs(4);

/// The least time between two trials of one instance.
const TRIAL_SPACING: Duration = Duration::from_secs(10);

/// A change of what a part is suspected of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The part.
    pub part: PartKey,
    /// What it is suspected of now.
    pub suspicion: Suspicion,
    /// The number of endpoints that crashed one after the other.
    pub links: u32,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// It may be sent.
    Free,
    /// It has a part that crashes endpoints.
    Held {
        /// The part.
        part: PartKey,
        /// How long it is held yet.
        left: Duration,
    },
    /// The hold time of the part is over. One instance may send one such request in this
    /// period.
    Trial {
        /// The part.
        part: PartKey,
        /// The number of the period.
        period: u64,
        /// How long the period lasts yet.
        left: Duration,
    },
}

/// Tracks which parts crash endpoints.
#[derive(Debug, Default)]
pub(super) struct Parts {
    histories: BTreeMap<PartKey, History>,
    held: BTreeSet<PartKey>,
    answers: Answers,
    // Parts whose answers others may not know of.
    untold: BTreeSet<PartKey>,
    changes: Vec<Change>,
    cleaned_up_at: Moment,
}

impl Parts {
    pub(super) fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Records evidence of this or another instance; returns whether it is new.
    pub(super) fn record(&mut self, evidence: &Evidence) -> bool {
        let keys = considered(&evidence.parts).iter();
        let keys: Vec<_> = keys.map(|part| (evidence.service, *part)).collect();
        let before: Vec<_> = keys.iter().map(|key| self.suspicion(*key)).collect();
        let mut is_new = false;
        for key in &keys {
            is_new |= match evidence.observed {
                Observed::Crashed(endpoint) => self.record_crash(*key, endpoint, evidence),
                Observed::Answered => false,
                Observed::PartsAnswered => self.record_answer(*key, answer_of(evidence)),
            };
        }
        // Parts of the same request are compared as they are after it.
        for (key, before) in keys.into_iter().zip(before) {
            self.note_change(key, before);
        }
        if is_new {
            self.forget(evidence.observed_at);
        }
        is_new
    }

    /// Returns the endpoints that ended by a moment under requests with any of the parts.
    pub(super) fn ended_by(&self, moment: Moment) -> impl Iterator<Item = EndpointId> {
        let histories = self.histories.values();
        histories.flat_map(move |history| history.ended_by(moment))
    }

    /// Takes back that an endpoint ended, if it still ran later.
    pub(super) fn withdraw(&mut self, endpoint: EndpointId, running_at: Moment) {
        let mut withdrawn = Vec::new();
        for (key, history) in &mut self.histories {
            let before = history.chain().suspicion;
            if history.withdraw(endpoint, running_at) {
                withdrawn.push((*key, before));
            }
        }
        for (key, before) in withdrawn {
            self.note_change(key, before);
        }
    }

    fn record_crash(&mut self, key: PartKey, endpoint: EndpointId, evidence: &Evidence) -> bool {
        let times = (evidence.sent_at, evidence.observed_at);
        let companions = considered(&evidence.parts).iter().copied();
        let companions = companions.filter(|part| *part != key.1);
        let history = self.histories.entry(key).or_default();
        let is_new = history.record_crash(endpoint, times, companions);
        if is_new {
            self.note_answer_to_tell(key);
        }
        is_new
    }

    fn record_answer(&mut self, key: PartKey, answer: Answer) -> bool {
        self.histories.entry(key).or_default().record_answer(answer)
    }

    fn suspicion(&self, key: PartKey) -> Suspicion {
        let history = self.histories.get(&key);
        history.map_or(Suspicion::None, |one| one.chain().suspicion)
    }

    /// Records an answer that was observed here.
    pub(super) fn record_own_answer(&mut self, service: ServiceId, parts: &[PartId], at: Answer) {
        for part in considered(parts) {
            let key = (service, *part);
            self.answers.record(key, at);
            self.note_answer_to_tell(key);
        }
    }

    // Others are told of an answer only if it changes what they know of a part that was at
    // a crash, so that those of sound parts aren't told again and again.
    fn note_answer_to_tell(&mut self, key: PartKey) {
        if self.news(key).is_some() {
            self.untold.insert(key);
        }
    }

    fn news(&self, key: PartKey) -> Option<Answer> {
        let history = self.histories.get(&key)?;
        let has_crashed = history.chain().links > 0;
        let answer = self.answers.get(key).filter(|_| has_crashed)?;
        history.is_news(answer).then_some(answer)
    }

    pub(super) fn has_untold(&self) -> bool {
        !self.untold.is_empty()
    }

    /// Returns the answers that others have to be told of, as far as nobody else has told
    /// them meanwhile, and records them.
    pub(super) fn take_untold(&mut self) -> Vec<Evidence> {
        let mut told: BTreeMap<(ServiceId, Moment, Moment), Vec<PartId>> = BTreeMap::new();
        for key in std::mem::take(&mut self.untold) {
            if let Some(answer) = self.news(key) {
                let before = self.suspicion(key);
                self.record_answer(key, answer);
                self.note_change(key, before);
                let at = (key.0, answer.began_at, answer.seen_at);
                told.entry(at).or_default().push(key.1);
            }
        }
        told.into_iter()
            .map(|((service, sent_at, observed_at), parts)| Evidence {
                service,
                digest: NO_DIGEST,
                parts,
                observed: Observed::PartsAnswered,
                sent_at,
                observed_at,
            })
            .collect()
    }

    /// Returns what may be done with a request that has these parts.
    pub(super) fn rule(&self, service: ServiceId, parts: &[PartId], now: Moment) -> Ruling {
        let held = self.incriminated(service, parts, Suspicion::Held);
        let Some((part, held_until)) = held.max_by_key(|(_, held_until)| *held_until) else {
            return Ruling::Free;
        };
        let left = held_until.saturating_sub(now);
        if !left.is_zero() {
            return Ruling::Held { part, left };
        }
        let over = since(now, held_until);
        let period = over.as_millis() / TRIAL_PERIOD.as_millis();
        let period = u64::try_from(period).unwrap_or(u64::MAX);
        let passed = TRIAL_PERIOD * u32::try_from(period).unwrap_or(u32::MAX);
        Ruling::Trial {
            part,
            period,
            left: TRIAL_PERIOD.saturating_sub(over.saturating_sub(passed)),
        }
    }

    /// Returns the part for which a request should not be sent again, nor beside others.
    pub(super) fn suspect(&self, service: ServiceId, parts: &[PartId]) -> Option<PartId> {
        let mut suspects = self.incriminated(service, parts, Suspicion::Suspect);
        suspects.next().map(|((_, part), _)| part)
    }

    /// Returns whether this instance may let a request with the part through now, which it
    /// may once in a while.
    pub(super) fn begin_trial(&mut self, part: PartKey, now: Moment) -> bool {
        let Some(history) = self.histories.get_mut(&part) else {
            return true;
        };
        let is_due = history
            .tried_at
            .is_none_or(|tried_at| since(now, tried_at) >= TRIAL_SPACING);
        if is_due {
            history.tried_at = Some(now);
        }
        is_due
    }

    /// Returns the crashes for which parts are held.
    pub(super) fn evidence_on_held(&self) -> impl Iterator<Item = Evidence> {
        let held = self.held.iter();
        let held = held.filter_map(|key| Some((*key, self.histories.get(key)?)));
        held.flat_map(|((service, part), history)| {
            history.crashes().map(move |(endpoint, crash)| Evidence {
                service,
                digest: NO_DIGEST,
                parts: crash.parts_with(part),
                observed: Observed::Crashed(endpoint),
                sent_at: crash.sent_at,
                observed_at: crash.observed_at,
            })
        })
    }

    /// Returns the numbers of suspect and of held parts.
    pub(super) fn counts(&self) -> (usize, usize) {
        let histories = self.histories.values();
        let suspects = histories.filter(|one| one.chain().suspicion == Suspicion::Suspect);
        (suspects.count(), self.held.len())
    }

    /// Takes the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    // Returns the parts of a request that incriminate it, and until when they are held. A
    // part that was held before another one came to explain its crashes may be as guilty, so
    // it is tried before it is free.
    fn incriminated<'a>(
        &'a self,
        service: ServiceId,
        parts: &'a [PartId],
        at_least: Suspicion,
    ) -> impl Iterator<Item = (PartKey, Moment)> {
        let keys = considered(parts).iter().map(move |part| (service, *part));
        keys.filter_map(move |key| {
            let history = self.histories.get(&key)?;
            let chain = history.chain();
            if chain.suspicion < at_least || !self.has_common_parts(service, parts, chain) {
                return None;
            }
            match (self.is_explained(key, history), history.is_convicted) {
                (false, _) => Some((key, chain.held_until)),
                (true, true) => Some((key, chain.last_at)),
                (true, false) => None,
            }
        })
    }

    // Returns whether a request has all parts that may be the cause of a chain of crashes.
    fn has_common_parts(&self, service: ServiceId, parts: &[PartId], chain: &Chain) -> bool {
        let is_cleared = |part: PartId| {
            let history = self.histories.get(&(service, part));
            history.is_none_or(|one| one.chain().links == 0 || one.was_answered())
        };
        let mut common = chain.common.iter();
        common.all(|part| parts.contains(part) || is_cleared(*part))
    }

    // Returns whether parts under stronger suspicion were at so many of the crashes that the
    // others would not do for holding this part.
    fn is_explained(&self, key: PartKey, history: &History) -> bool {
        let chain = history.chain();
        let stronger = self.held.iter().filter_map(|other| {
            let other_history = self.histories.get(other)?;
            let is_stronger =
                other.0 == key.0 && *other != key && other_history.strength() > history.strength();
            is_stronger.then_some(&other_history.chain().endpoints)
        });
        let stronger: Vec<_> = stronger.collect();
        let is_unexplained =
            |endpoint: &&EndpointId| !stronger.iter().any(|one| one.contains(*endpoint));
        let unexplained = chain.endpoints.iter().filter(is_unexplained).count();
        let unexplained = u32::try_from(unexplained).unwrap_or(u32::MAX);
        !stronger.is_empty() && unexplained < history.hold_chain_length()
    }

    fn note_change(&mut self, part: PartKey, before: Suspicion) {
        let Some(history) = self.histories.get(&part) else {
            return;
        };
        let is_held = history.chain().suspicion == Suspicion::Held;
        let is_convicted = is_held && (history.is_convicted || !self.is_explained(part, history));
        let Some(history) = self.histories.get_mut(&part) else {
            return;
        };
        history.is_convicted = is_convicted;
        let chain = history.chain();
        if chain.suspicion == Suspicion::Held {
            self.held.insert(part);
        } else {
            self.held.remove(&part);
        }
        if chain.suspicion != before {
            self.changes.push(Change {
                part,
                suspicion: chain.suspicion,
                links: chain.links,
            });
        }
    }

    fn forget(&mut self, now: Moment) {
        if self.histories.len() > MAX_PARTS {
            let mut by_weight: Vec<_> = self
                .histories
                .iter()
                .map(|(key, one)| {
                    (
                        (one.chain().suspicion, one.chain().links > 1),
                        one.latest,
                        *key,
                    )
                })
                .collect();
            by_weight.sort_unstable();
            let excess = by_weight.len().saturating_sub(PARTS_AFTER_EVICTION);
            for (_, _, key) in by_weight.into_iter().take(excess) {
                self.remove(key);
            }
        }
        if since(now, self.cleaned_up_at) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned_up_at = now;
        let is_old = |one: &History| since(now, one.latest) >= RETENTION;
        let old = self.histories.iter().filter(|(_, one)| is_old(one));
        let old: Vec<_> = old.map(|(key, _)| *key).collect();
        for key in old {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: PartKey) {
        self.histories.remove(&key);
        self.held.remove(&key);
    }
}

fn considered(parts: &[PartId]) -> &[PartId] {
    parts.get(..MAX_PARTS_PER_REQUEST).unwrap_or(parts)
}

fn answer_of(evidence: &Evidence) -> Answer {
    Answer {
        began_at: evidence.sent_at,
        seen_at: evidence.observed_at,
    }
}

#[cfg(test)]
mod tests;

//! How evidence gets from one instance to the others.

use std::time::Duration;

use godwitpost_direct::crashes::Evidence;
use godwitpost_types::clock::Moment;
use rand::RngExt;

use super::{Event, SEEDS, World};
use crate::Form;
use crate::instance::{Instance, transfer};

/// How long evidence waits for more before it is sent.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// For each instance of the fleet, the time over which they spread what they tell of answers.
const TELLING_SPREAD: Duration = Duration::from_millis(1);

/// When and how often evidence is sent again to a seed that didn't take it.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_TRIES: u32 = 10;

/// How long an answer of a seed is on its way.
const POLL_TRANSIT: Duration = Duration::from_millis(2);

/// How much evidence a seed keeps for instances that ask later.
pub(super) const KEPT_EVIDENCE: usize = 1_000;

/// Evidence that an instance sends to a seed.
#[derive(Clone, Debug)]
pub(super) struct Message {
    instance: usize,
    seed: usize,
    evidence: Vec<Evidence>,
    tries: u32,
}

impl World {
    pub(super) fn begin_sending(&mut self, instance: usize) {
        let one = &mut self.instances[instance];
        if one.tracker.begin_forwarding() {
            self.after(BATCH_DELAY, Event::SendEvidence(instance));
        }
    }

    pub(super) fn begin_telling(&mut self, instance: usize) {
        let one = &mut self.instances[instance];
        if one.tracker.begin_telling() {
            let count = u32::try_from(self.instances.len()).expect("few instances");
            let spread = (TELLING_SPREAD * count).as_secs_f64();
            let delay = BATCH_DELAY + self.draw(0.0, spread);
            self.after(delay, Event::TellAnswers(instance));
        }
    }

    pub(super) fn send_evidence(&mut self, instance: usize) {
        let evidence = self.instances[instance].tracker.take_unforwarded();
        if self.form != Form::NothingShared {
            self.send_to_seeds(instance, &evidence);
        }
    }

    pub(super) fn tell_answers(&mut self, instance: usize) {
        let answers = self.instances[instance].tracker.take_untold_answers();
        if !matches!(self.form, Form::NothingShared | Form::NoAnswersShared) {
            self.send_to_seeds(instance, &answers);
        }
    }

    pub(super) fn send_to_seeds(&mut self, instance: usize, evidence: &[Evidence]) {
        if evidence.is_empty() {
            return;
        }
        for seed in 0..SEEDS {
            if seed == instance {
                self.publish(seed, evidence.to_vec());
            } else {
                let message = Message {
                    instance,
                    seed,
                    evidence: evidence.to_vec(),
                    tries: 1,
                };
                self.send_message(message);
            }
        }
    }

    // Sends evidence to a seed, and again if the seed doesn't take it.
    pub(super) fn send_message(&mut self, mut message: Message) {
        if !self.instances[message.instance].up {
            return;
        }
        self.outcome.messages += 1;
        let taken = |one: &Instance| one.up && !one.cut_off;
        let lost = !taken(&self.instances[message.instance])
            || !taken(&self.instances[message.seed])
            || self.is_lost();
        if !lost {
            let delay = self.draw(0.001, 0.02);
            let evidence = Box::new((message.evidence, self.now));
            self.after(delay, Event::Receive(message.seed, evidence));
        } else if message.tries < MAX_TRIES {
            message.tries += 1;
            self.after(RETRY_PAUSE, Event::Resend(Box::new(message)));
        }
    }

    pub(super) fn is_lost(&mut self) -> bool {
        let (when, fraction) = self.schedule.losses.clone();
        when.contains(&self.now) && self.rng.random_bool(fraction)
    }

    pub(super) fn receive(&mut self, seed: usize, evidence: &[Evidence], sent_at: Moment) {
        if !self.instances[seed].up || self.instances[seed].cut_off {
            return;
        }
        let evidence = evidence.iter().map(|one| transfer(one, sent_at, self.now));
        let evidence: Vec<_> = evidence.collect();
        let fresh = evidence
            .into_iter()
            .filter(|one| self.instances[seed].record(one))
            .collect();
        self.publish(seed, fresh);
        self.begin_telling(seed);
    }

    pub(super) fn publish(&mut self, seed: usize, evidence: Vec<Evidence>) {
        if evidence.is_empty() {
            return;
        }
        self.published[seed].extend(evidence);
        for instance in SEEDS..self.instances.len() {
            if instance % SEEDS == seed {
                let delay = self.draw(0.002, 0.2);
                self.after(delay, Event::Poll(instance));
            }
        }
    }

    pub(super) fn poll(&mut self, instance: usize) {
        let seed = instance % SEEDS;
        let one = &self.instances[instance];
        if !one.up || one.cut_off || !self.instances[seed].up || self.instances[seed].cut_off {
            return;
        }
        let published = &self.published[seed];
        let oldest = published.len().saturating_sub(KEPT_EVIDENCE);
        let from = one.known.max(oldest);
        if from >= published.len() {
            return;
        }
        let now = self.now;
        let fresh: Vec<_> = published[from..]
            .iter()
            .map(|one| transfer(one, now, now + POLL_TRANSIT))
            .collect();
        self.outcome.messages += 1;
        let one = &mut self.instances[instance];
        one.known = published.len();
        for evidence in &fresh {
            one.record(evidence);
        }
        self.begin_telling(instance);
    }
}

//! The dispatcher of an attempt: claims, starts, gives up, tells.

use std::time::Duration;

use godwitpost_state::claim::key::Key;
use godwitpost_state::claim::{AbandonResult, Id, Item, Lookup, Refusal, Scope, Step, Verdict};
use godwitpost_types::id::BodyDigest;
use godwitpost_types::outcome::Outcome;
use rand::RngExt;

use super::{Event, Local, Node, World};
use crate::claims::history::Attempt;
use crate::claims::plan::{WINDOW, up_to};
use crate::claims::weak::Weakness;

impl World {
    pub(super) fn ask(&mut self, node: Node, attempt: Attempt) {
        let now = self.clock(node);
        let request = self.callers.request(attempt);
        let mut key = request.key;
        let body = request.body;
        let patience = request.patience;
        if self.weakness == Weakness::Undated {
            key.issued = Duration::from_secs(now.as_secs());
        }
        if self.replay(node, attempt, &key, body) {
            return;
        }
        if key.check_issue_time(now, WINDOW).is_err() {
            self.tell(attempt, Outcome::NotRun, Scope::Attempt);
            return;
        }
        let record = self.instances[node].holder.open(&key, body, now + patience);
        let item = Item::Claim(record);
        self.instances[node]
            .asked
            .insert(attempt, (record.id, item));
        self.local(patience, node, Local::Deadline(attempt));
        self.ask_again(node, attempt);
    }

    fn replay(&mut self, node: Node, attempt: Attempt, key: &Key, body: BodyDigest) -> bool {
        let now = self.clock(node);
        let found = self.instances[node].answers.get(now, &key.digest, &body);
        if found != Lookup::Hit(&()) {
            return false;
        }
        self.tell(attempt, Outcome::Ran, Scope::Key);
        true
    }

    // Sends the claim to whom the instance takes for the batcher, and again
    // while no verdict comes.
    pub(super) fn ask_again(&mut self, node: Node, attempt: Attempt) {
        let Some(&(_, item)) = self.instances[node].asked.get(&attempt) else {
            return;
        };
        let view = self.instances[node].view;
        self.send(view, Local::Submit(item));
        self.local(Duration::from_millis(400), node, Local::Ask2(attempt));
    }

    pub(super) fn give_up(&mut self, node: Node, attempt: Attempt) {
        let Some(&(id, _)) = self.instances[node].asked.get(&attempt) else {
            return;
        };
        match self.instances[node].holder.abandon(id) {
            AbandonResult::NotRun(fate) => {
                self.forget(node, attempt);
                self.fate(node, Some(fate));
                self.tell(attempt, Outcome::NotRun, Scope::Attempt);
            }
            AbandonResult::TooLate => self.tell(attempt, Outcome::Unknown, Scope::Attempt),
        }
    }

    fn forget(&mut self, node: Node, attempt: Attempt) {
        if self.weakness != Weakness::StartsAfterGivingUp {
            self.instances[node].asked.remove(&attempt);
        }
    }

    fn fate(&mut self, node: Node, fate: Option<Item>) {
        if let Some(item) = fate {
            let view = self.instances[node].view;
            self.send(view, Local::Submit(item));
        }
    }

    pub(super) fn verdict(&mut self, node: Node, id: Id, verdict: Verdict) {
        let now = self.clock(node);
        let instance = &mut self.instances[node];
        let asked = instance.asked.iter().find(|(_, (asked, _))| *asked == id);
        let attempt = asked.map(|(attempt, _)| *attempt);
        let step = instance.holder.apply_verdict(now, id, verdict);
        let given_up = !matches!(step, Step::Claimed | Step::Ignore);
        if self.weakness == Weakness::StartsAfterGivingUp
            && verdict == Verdict::Claimed
            && given_up
            && let Some(attempt) = attempt
        {
            self.local(Duration::ZERO, node, Local::FirstByte(attempt));
            return;
        }
        match (step, attempt) {
            (Step::Claimed, Some(attempt)) => {
                let queued = up_to(2.0, &mut self.rng);
                self.local(queued, node, Local::Start(attempt));
            }
            (Step::Refuse { refusal, report }, Some(attempt)) => {
                self.forget(node, attempt);
                self.fate(node, report);
                self.refuse(attempt, refusal);
            }
            (Step::Report(fate), _) => self.fate(node, Some(fate)),
            _ => {}
        }
    }

    fn refuse(&mut self, attempt: Attempt, refusal: Refusal) {
        self.tell(attempt, refusal.outcome(), refusal.scope());
    }

    pub(super) fn start(&mut self, node: Node, attempt: Attempt) {
        let now = self.clock(node);
        let Some(&(id, _)) = self.instances[node].asked.get(&attempt) else {
            return;
        };
        if self.instances[node].holder.try_start(now, id) {
            let pause = up_to(0.02, &mut self.rng);
            self.local(pause, node, Local::FirstByte(attempt));
        }
    }

    pub(super) fn first_byte(&mut self, node: Node, attempt: Attempt) {
        let way = up_to(0.5, &mut self.rng);
        self.after(way, Event::Run(attempt));
        let long = way + up_to(3.0, &mut self.rng);
        // The connection breaks now and then: no answer, fate unknown.
        if self.rng.random_bool(0.8) {
            self.local(long, node, Local::Ended(attempt));
        }
    }

    pub(super) fn ended(&mut self, node: Node, attempt: Attempt) {
        let now = self.clock(node);
        let Some((id, Item::Claim(record))) = self.instances[node].asked.remove(&attempt) else {
            return;
        };
        let fate = self.instances[node].holder.finish(id, Outcome::Ran);
        self.fate(node, fate);
        let instance = &mut self.instances[node];
        instance.answers.insert(now, record.key, record.body, (), 1);
        self.tell(attempt, Outcome::Ran, Scope::Key);
    }
}

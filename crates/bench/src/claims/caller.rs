//! Callers that send their request again, elsewhere, when they hear nothing
//! that satisfies them.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_state::claim::Id;
use godwitpost_state::claim::key::Key;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, KeyDigest};
use godwitpost_types::outcome::Outcome;
use rand::{Rng, RngExt};

use super::history::Attempt;
use super::plan::{BUSY, START, up_to};

/// What a caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It sends an attempt.
    Send(Attempt),
    /// It waits no longer for an attempt's answer.
    TimedOut(Attempt),
}

/// One attempt's request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The key.
    pub key: Key,
    /// The body.
    pub body: BodyDigest,
    /// The instance it goes to.
    pub node: usize,
    /// How long the caller waits.
    pub patience: Duration,
    tries: u8,
    answered: bool,
}

/// All callers of a schedule.
#[derive(Debug)]
pub struct Callers {
    keys: usize,
    instances: usize,
    requests: Vec<Request>,
    claims: BTreeMap<Id, KeyDigest>,
}

// Attempts of one key at most.
const TRIES: u8 = 5;

impl Callers {
    /// Returns callers without requests.
    #[must_use]
    pub const fn new(keys: usize, instances: usize) -> Self {
        Self {
            keys,
            instances,
            requests: Vec::new(),
            claims: BTreeMap::new(),
        }
    }

    /// Returns the first attempts, some of them doubled by impatience.
    pub fn begin<R: Rng>(&mut self, rng: &mut R) -> Vec<(Moment, Next)> {
        let mut sends = Vec::new();
        for number in 0..self.keys {
            let at = START + BUSY.mul_f64(rng.random_range(0.0..1.0));
            let key = key(number, at, rng);
            sends.push((at, self.attempt(key, 1, rng)));
            if rng.random_bool(0.3) {
                let at = at + up_to(2.0, rng);
                sends.push((at, self.attempt(key, TRIES, rng)));
            }
        }
        sends
    }

    /// Returns the next attempt, if the caller makes one after this outcome
    /// (`None` for no answer in time).
    pub fn again<R: Rng>(
        &mut self,
        now: Moment,
        attempt: Attempt,
        outcome: Option<Outcome>,
        rng: &mut R,
    ) -> Option<(Moment, Next)> {
        let request = &mut self.requests[attempt];
        let settled = request.answered || outcome == Some(Outcome::Ran);
        request.answered = true;
        let Request { key, tries, .. } = *request;
        // Some send again though they were told that it ran.
        if (settled && !rng.random_bool(0.1)) || tries >= TRIES || rng.random_bool(0.2) {
            return None;
        }
        // Most send again soon, some after the window.
        let wait = if rng.random_bool(0.2) { 100.0 } else { 4.0 };
        let at = now + up_to(wait, rng);
        Some((at, self.attempt(key, tries + 1, rng)))
    }

    /// Returns an attempt's request.
    ///
    /// # Panics
    ///
    /// Panics if there was no such attempt.
    #[must_use]
    pub fn request(&self, attempt: Attempt) -> Request {
        self.requests[attempt]
    }

    /// Remembers which key a claim is for.
    pub fn note(&mut self, id: Id, key: KeyDigest) {
        self.claims.insert(id, key);
    }

    /// Returns the key of a claim that reached a batcher's append.
    #[must_use]
    pub fn key_of(&self, id: Id) -> Option<KeyDigest> {
        self.claims.get(&id).copied()
    }

    fn attempt<R: Rng>(&mut self, key: Key, tries: u8, rng: &mut R) -> Next {
        let other_body = rng.random_bool(0.05);
        self.requests.push(Request {
            key,
            body: [u8::from(other_body); 16],
            node: rng.random_range(0..self.instances),
            patience: Duration::from_secs(2) + up_to(6.0, rng),
            tries,
            answered: false,
        });
        Next::Send(self.requests.len() - 1)
    }
}

// Callers' clocks are mostly right, at times far ahead or behind.
fn key<R: Rng>(number: usize, at: Moment, rng: &mut R) -> Key {
    let off = if rng.random_bool(0.2) { 50.0 } else { 2.0 };
    let issued = if rng.random_bool(0.5) {
        at + up_to(off, rng)
    } else {
        at.saturating_sub(up_to(off, rng))
    };
    let seconds = issued.as_secs().to_string();
    Key::parse(1, &format!("order-{number}"), Some(&seconds)).expect("the key is well formed")
}

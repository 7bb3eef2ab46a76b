//! Chats that return after pauses, and workspaces that surge.

use std::time::Duration;

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id;
use godwitpost_types::request::Request;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::size::{SURGING, Size, WORKSPACES, model};

/// The longest context before a chat ends and another takes its place.
const LONGEST: u32 = 6_000;

/// The most work that one request can bring, in tokens.
///
/// Skew is taken against a mean of at least this much, as the load bound is:
/// one such request on an idle engine is no skew to speak of.
pub const LARGEST: u32 = LONGEST + 500 + 340;

/// One chat between its turns.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Its number, new for each chat that takes the place of an ended one.
    pub number: u64,
    /// The index of its workspace.
    pub workspace: usize,
    /// The index of its model.
    pub model: usize,
    /// Tokens of its context after the last turn.
    pub context: u32,
    /// Whether it is there for the surge alone.
    pub guest: bool,
    /// Whether a turn of it was answered, so that its context may be cached.
    pub answered: bool,
}

/// Draws chats, turns and pauses.
#[derive(Debug)]
pub struct Traffic {
    /// Every chat.
    pub chats: Vec<Chat>,
    rng: ChaCha8Rng,
    next: u64,
}

impl Traffic {
    /// Returns the traffic of a size.
    #[must_use]
    pub fn new(size: &Size, rng: ChaCha8Rng) -> Self {
        let mut traffic = Self {
            chats: Vec::new(),
            rng,
            next: 1,
        };
        for _ in 0..size.chats {
            let chat = traffic.chat(size, None);
            traffic.chats.push(chat);
        }
        traffic
    }

    /// Adds the chats of a surge: nine more for each of the three
    /// workspaces' own.
    pub fn surge(&mut self, size: &Size) -> std::ops::Range<usize> {
        let from = self.chats.len();
        for index in 0..size.chats * SURGING * 9 / WORKSPACES {
            let chat = self.chat(size, Some(index % SURGING));
            self.chats.push(chat);
        }
        from..self.chats.len()
    }

    fn chat(&mut self, size: &Size, surging: Option<usize>) -> Chat {
        self.next += 1;
        Chat {
            number: self.next,
            workspace: surging.unwrap_or_else(|| self.rng.random_range(0..WORKSPACES)),
            model: self.rng.random_range(0..size.driven),
            context: self.rng.random_range(0..LONGEST / 2),
            guest: surging.is_some(),
            answered: false,
        }
    }

    /// Returns the next turn of a chat.
    pub fn turn(&mut self, now: Moment, index: usize, size: &Size) -> Request {
        if self.chats[index].context > LONGEST {
            let surging = self.chats[index].guest;
            let workspace = self.chats[index].workspace;
            self.chats[index] = self.chat(size, surging.then_some(workspace));
        }
        let fresh = self.rng.random_range(50..500);
        let answer = self.rng.random_range(60..340);
        let chat = &mut self.chats[index];
        let prompt = chat.context + fresh;
        let workspace = id::from_name(&format!("workspace-{}", chat.workspace));
        Request {
            id: u128::from(chat.number) << 64 | u128::from(prompt),
            version: 1,
            workspace,
            service: id::from_name("drafting"),
            model: model(chat.model),
            class: id::from_name("draft"),
            chat: id::scoped(workspace, &chat.number.to_string()),
            prompt_tokens: prompt,
            answer_tokens: answer,
            deadline: now + Duration::from_mins(1),
            key: None,
            digest: (u128::from(chat.number) << 64 | u128::from(prompt)).to_le_bytes(),
        }
    }

    /// Returns a pause before a chat's next turn.
    pub fn pause(&mut self, size: &Size) -> Duration {
        let (one_in, from, to) = size.long;
        if self.rng.random_range(0..one_in) == 0 {
            return from + since(to, from).mul_f64(self.rng.random());
        }
        let uniform: f64 = self.rng.random();
        size.pause.mul_f64(-(1.0 - uniform).ln())
    }

    /// Returns a moment in a span, for first turns.
    pub fn first(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random())
    }
}

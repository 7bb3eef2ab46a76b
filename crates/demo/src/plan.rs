//! What the callers of a run will ask, drawn from its seed.
//!
//! A run is a list of sessions that callers hold side by side: chats that
//! come back turn by turn with all that was said before, orders that must not
//! run twice, and lookups. One seed gives one list, whatever the machine does.

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

use crate::deployment::Deployment;

#[cfg(test)]
mod tests;

/// Of a hundred requests, those that are turns of chats; editors draft more
/// than they order.
const CHAT_PERCENT: u64 = 60;
/// Of a hundred requests, those that are orders. The rest are lookups.
const ORDER_PERCENT: u64 = 20;
/// Turns of a chat: most come back a few times.
const TURNS: std::ops::RangeInclusive<u64> = 2..=6;
/// Words a person writes in one turn.
const WORDS: std::ops::RangeInclusive<usize> = 12..=60;
/// Tokens that a turn asks for at most.
const ANSWER_TOKENS: std::ops::RangeInclusive<u32> = 12..=32;

/// What one caller does from beginning to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Session {
    /// A chat that comes back for each turn.
    Chat(Chat),
    /// An order that must not run twice.
    Order(Order),
    /// A lookup.
    Lookup(Lookup),
}

/// A chat with what its person will write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chat {
    /// The workspace.
    pub workspace: String,
    /// The chat's id.
    pub id: String,
    /// The turns.
    pub turns: Vec<Turn>,
}

/// One turn of a chat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// What the person writes.
    pub text: String,
    /// Tokens of answer asked for at most.
    pub tokens: u32,
}

/// An order that must not run twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The workspace.
    pub workspace: String,
    /// Its idempotency key.
    pub key: String,
    /// How many are ordered.
    pub copies: u32,
}

/// A lookup of stock or roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The workspace.
    pub workspace: String,
    /// What is looked up.
    pub item: u32,
}

impl Session {
    /// Returns the requests it makes if none is resent.
    #[must_use]
    pub fn requests(&self) -> u64 {
        match self {
            Self::Chat(chat) => chat.turns.len() as u64,
            Self::Order(_) | Self::Lookup(_) => 1,
        }
    }
}

/// Draws sessions of about `requests` requests.
pub fn draw(deployment: &Deployment, requests: u64, rng: &mut impl Rng) -> Vec<Session> {
    let mut sessions = Vec::new();
    let mut left = requests;
    while left > 0 {
        let session = session(deployment, sessions.len(), left, rng);
        left -= session.requests().min(left);
        sessions.push(session);
    }
    sessions
}

fn session(deployment: &Deployment, number: usize, left: u64, rng: &mut impl Rng) -> Session {
    let workspace = workspace(deployment, rng);
    // A chat makes several requests, so fewer than that share of sessions
    // are chats.
    let turns = rng.random_range(TURNS).min(left);
    let kind = rng.random_range(0..100);
    let mean_turns = u64::midpoint(*TURNS.start(), *TURNS.end());
    let chats = 100 * CHAT_PERCENT / (CHAT_PERCENT + (100 - CHAT_PERCENT) * mean_turns);
    let orders = (100 - chats) * ORDER_PERCENT / (100 - CHAT_PERCENT);
    if kind < chats {
        Session::Chat(Chat {
            workspace,
            id: format!("chat-{number}"),
            turns: (0..turns).map(|_| turn(rng)).collect(),
        })
    } else if kind < chats + orders {
        Session::Order(Order {
            workspace,
            key: format!("order-{number}"),
            copies: rng.random_range(1..=40),
        })
    } else {
        Session::Lookup(Lookup {
            workspace,
            item: rng.random_range(1..=500),
        })
    }
}

// The first workspaces of a deployment are its large ones.
fn workspace(deployment: &Deployment, rng: &mut impl Rng) -> String {
    let large = &deployment.workspaces[..3];
    let from = if rng.random_bool(0.6) {
        large
    } else {
        &deployment.workspaces[..]
    };
    let name = from.choose(rng).copied().unwrap_or(large[0]);
    name.to_owned()
}

fn turn(rng: &mut impl Rng) -> Turn {
    const VOCABULARY: [&str; 16] = [
        "ridge", "gully", "ice", "belay", "grade", "topo", "pitch", "caption", "artist", "table",
        "bride", "camp", "steelpan", "river", "north", "face",
    ];
    let words = rng.random_range(WORDS);
    let text: Vec<&str> = (0..words)
        .filter_map(|_| VOCABULARY.choose(rng).copied())
        .collect();
    Turn {
        text: text.join(" "),
        tokens: rng.random_range(ANSWER_TOKENS),
    }
}

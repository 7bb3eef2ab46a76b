//! Decides which peer an instance polls next, and when it reads the log itself.
//!
//! A starting instance polls the seeds before it reads the log: hundreds that read it at
//! once would each take seconds. Later, when the followed peer fails, the next one is
//! polled for as long as the state known here isn't too old.

pub mod age;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use self::age::{ANSWER_TIMEOUT, MAX_POLL_WAIT, remaining_time};
use crate::standby::Peers;

/// How long a starting instance polls peers before it reads the log. This leaves time for
/// a peer that is gone, and for one that is starting as well and answers once it has read
/// the log.
const STARTUP_POLL_TIME: Duration = Duration::from_millis(600);

/// The pause before a starting instance polls again when no peer is listening yet, or when
/// a peer is busy.
pub const STARTUP_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long after its start an instance waits for a peer that is reading the log for the
/// first time. The instance itself would take as long for it, and if all of a large fleet
/// read the log at once, each would take longer.
const MAX_PEER_READ_TIME: Duration = Duration::from_secs(4);

/// How long a peer may take to send its list of endpoints to an instance that has none. A
/// seed sends ten thousand endpoints to a third of a thousand instances in about half of
/// this, over a link of 1,000 Mbit/s.
pub const MAX_LIST_TIME: Duration = Duration::from_secs(8);

/// What an instance knows when it decides.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge {
    /// The time since the start of its process.
    pub uptime: Duration,
    /// Whether it reads the log itself.
    pub reads_log: bool,
    /// The age of the less recently confirmed of the two topics, once both were.
    pub age: Option<Duration>,
    /// How old its state may get.
    pub max_update_delay: Duration,
}

impl Knowledge {
    /// Returns whether any state of the log is known.
    #[must_use]
    pub const fn has_state(&self) -> bool {
        self.reads_log || self.age.is_some()
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Polls this peer. The first answer may take as long as is left.
    Poll(SocketAddr, Duration),
    /// Pauses, since no peer was listening yet.
    Pause(Duration),
    /// Reads the log. The time left is too short for another peer.
    ReadLog,
}

/// Why a peer is no longer polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It is reading the log for the first time.
    NotReady,
    /// Any other cause.
    Other,
}

/// The peers still to poll in one round.
#[derive(Debug)]
pub struct Round {
    peers: Peers,
    left: VecDeque<SocketAddr>,
    // Until when, since the start of this process, a peer that is reading the log for the
    // first time is waited for.
    peer_read_deadline: Duration,
}

impl Round {
    /// Returns a round of none of `peers`.
    #[must_use]
    pub const fn new(peers: Peers) -> Self {
        Self {
            peers,
            left: VecDeque::new(),
            peer_read_deadline: STARTUP_POLL_TIME,
        }
    }

    /// Begins a round of all peers. `draw` is a random number.
    pub fn begin(&mut self, draw: u64) {
        self.left = self.peers.next_round(draw).into();
    }

    /// Returns what to do next. `draw` is a random number.
    pub fn next(&mut self, knowledge: &Knowledge, draw: u64) -> Next {
        let time_left = self.time_left(knowledge);
        if self.left.is_empty() && !knowledge.has_state() && time_left >= ANSWER_TIMEOUT {
            // Peers that start at the same time may not be listening yet.
            self.begin(draw);
            return Next::Pause(STARTUP_RETRY_PAUSE);
        }
        match self.left.pop_front() {
            Some(address) if time_left >= ANSWER_TIMEOUT => Next::Poll(address, time_left),
            _ => Next::ReadLog,
        }
    }

    /// Records that a peer is no longer polled, `followed` after the poll that was allowed
    /// `time_left`. `draw` is a random number.
    pub fn record_failure(
        &mut self,
        address: SocketAddr,
        failure: Failure,
        followed: Duration,
        time_left: Duration,
        knowledge: &Knowledge,
        draw: u64,
    ) {
        if failure == Failure::NotReady && self.waits_for_peer(knowledge.uptime) {
            self.left.push_front(address);
        }
        // A peer that was followed for a while is polled again only after all others.
        if followed > time_left {
            self.begin(draw);
            self.left.retain(|other| *other != address);
        }
    }

    /// Records the standbys that a peer names.
    pub fn set_standbys(&mut self, peer: SocketAddr, standbys: Vec<SocketAddr>) {
        self.peers.set_standbys(peer, standbys);
    }

    // Extends the time for polling peers if one is reading the log for the first time.
    // Returns whether to poll that one again before any other: if each starting instance
    // turned to the next, all would end up at the seed that has read the log first.
    fn waits_for_peer(&mut self, uptime: Duration) -> bool {
        self.peer_read_deadline = (uptime + STARTUP_POLL_TIME).min(MAX_PEER_READ_TIME);
        uptime < MAX_PEER_READ_TIME / 2
    }

    // Returns how long polling may take before the log has to be read.
    fn time_left(&self, knowledge: &Knowledge) -> Duration {
        if knowledge.reads_log {
            return MAX_POLL_WAIT;
        }
        match knowledge.age {
            Some(age) => remaining_time(knowledge.max_update_delay, age),
            None => self.peer_read_deadline.saturating_sub(knowledge.uptime),
        }
    }
}

/// Returns how long the first poll of a peer may wait, out of the time left for it.
#[must_use]
pub const fn first_wait(knowledge: &Knowledge, time_left: Duration) -> Duration {
    if knowledge.has_state() {
        Duration::ZERO
    } else {
        time_left.saturating_sub(ANSWER_TIMEOUT)
    }
}

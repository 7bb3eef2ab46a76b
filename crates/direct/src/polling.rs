//! Decides which peer an instance polls next, and when it reads the log itself.
//!
//! A starting instance polls the seeds before it reads the log: hundreds that read it at
//! once would each take seconds. Later, when the followed peer fails, the next one is
//! polled for as long as the state known here isn't too old.

pub mod age;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use self::age::{ANSWER_TIMEOUT, MAX_POLL_WAIT, max_age, poll_wait, remaining_time};
use crate::standby::Peers;

/// How long a starting instance polls peers before it reads the log. This leaves time for
/// a peer that is gone, and for one that is starting as well and answers once it has read
/// the log. Each peer is allowed this much once.
const STARTUP_POLL_TIME: Duration = Duration::from_millis(600);

/// How long after the start of an instance its peers may start as well and not be listening
/// yet. One that refuses a connection until then is polled again after the others.
const MAX_START_SPREAD: Duration = Duration::from_secs(1);

/// The pause before a starting instance polls again when no peer is listening yet, or when
/// a peer is busy.
pub const STARTUP_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a peer without a list may make no progress with it. This leaves time for a
/// call to the log whose answer is lost, a pause, and another call.
const MAX_STANDSTILL: Duration = Duration::from_secs(2);

/// How long a peer may take to send its list of endpoints to an instance that has none. A
/// seed sends ten thousand endpoints to a third of a thousand instances in about half of
/// this, over a link of 1,000 Mbit/s.
pub const MAX_LIST_TIME: Duration = Duration::from_secs(8);

/// After how many polls of busy peers all others are polled again: one of those may have
/// received the list meanwhile.
const BUSY_POLLS_PER_ROUND: u32 = 8;

/// The pause before another round of peers while standbys may be reading the log.
const STANDBY_PAUSE: Duration = Duration::from_millis(100);

/// The time that an instance that relies on peers leaves itself for reading the log.
const MIN_READ_TIME: Duration = Duration::from_secs(1);

/// The longest wait for news of an instance that others poll.
const MAX_WAIT_SERVING_PEERS: Duration = Duration::from_millis(500);

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
    /// Pauses, since no peer was listening yet or the last one was busy.
    Pause(Duration),
    /// Reads the log. The time left is too short for another peer.
    ReadLog,
}

/// Why a peer is no longer polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It has no list yet. It has received this many answers with a part of one, from the
    /// log or from a peer of its own.
    NotReady(u64),
    /// Its link is busy with the lists of others.
    Busy,
    /// It doesn't read the log itself, and its state is of no use for long.
    Secondhand,
    /// Any other cause.
    Other,
}

/// The peers still to poll in one round.
#[derive(Debug)]
pub struct Round {
    peers: Peers,
    left: VecDeque<SocketAddr>,
    // All peers of this round.
    added: BTreeSet<SocketAddr>,
    // Until when, since the start of this process, peers are polled before the log is read.
    deadline: Duration,
    // The peers that were polled since the start, or since a peer was lost that had answered.
    tried: BTreeSet<SocketAddr>,
    // Whether to pause before the next peer.
    pauses: bool,
    // How many times a busy peer was polled since the start.
    busy_polls: u32,
    // Whether the followed peer has answered.
    answered: bool,
    // How far peers without a list were when they answered last.
    progress: BTreeMap<SocketAddr, u64>,
}

impl Round {
    /// Returns a round of none of `peers`.
    #[must_use]
    pub const fn new(peers: Peers) -> Self {
        Self {
            peers,
            left: VecDeque::new(),
            added: BTreeSet::new(),
            deadline: STARTUP_POLL_TIME,
            tried: BTreeSet::new(),
            pauses: false,
            busy_polls: 0,
            answered: false,
            progress: BTreeMap::new(),
        }
    }

    /// Begins a round of all peers. `draw` is a random number.
    pub fn begin(&mut self, draw: u64) {
        self.left = self.peers.next_round(draw).into();
        self.added = self.left.iter().copied().collect();
    }

    /// Returns what to do next. `draw` is a random number.
    pub fn next(&mut self, knowledge: &Knowledge, draw: u64) -> Next {
        if std::mem::take(&mut self.pauses) {
            return Next::Pause(STARTUP_RETRY_PAUSE);
        }
        let time_left = self.time_left(knowledge);
        if self.left.is_empty()
            && !knowledge.has_state()
            && (time_left >= ANSWER_TIMEOUT || !self.added.is_subset(&self.tried))
        {
            // Peers that start at the same time may not be listening yet.
            self.begin(draw);
            return Next::Pause(STARTUP_RETRY_PAUSE);
        }
        if self.left.is_empty() && self.waits_for_standbys(knowledge, time_left) {
            self.begin(draw);
            return Next::Pause(STANDBY_PAUSE);
        }
        self.answered = false;
        if time_left < ANSWER_TIMEOUT && !knowledge.has_state() {
            // Each peer gets its turn, also if those before it took all the time.
            self.left.retain(|address| !self.tried.contains(address));
        }
        let Some(address) = self.left.pop_front() else {
            return Next::ReadLog;
        };
        let is_first = self.tried.insert(address);
        let time_left = if is_first && !knowledge.has_state() {
            time_left.max(STARTUP_POLL_TIME)
        } else {
            time_left
        };
        if time_left < ANSWER_TIMEOUT {
            return Next::ReadLog;
        }
        Next::Poll(address, time_left)
    }

    /// Records that the polled peer has sent a part of its state.
    pub const fn record_answer(&mut self) {
        self.answered = true;
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
        match failure {
            // If each starting instance turned to the next, all would end up at the peer that
            // has its list first.
            Failure::NotReady(progress)
                if self.has_progressed(address, progress, knowledge.uptime) =>
            {
                self.deadline = knowledge.uptime + MAX_STANDSTILL;
                self.left.push_front(address);
            }
            // Seeds and standbys are sent the list before all others.
            Failure::Busy => {
                self.deadline = knowledge.uptime + MAX_STANDSTILL;
                self.add_standbys(draw);
                self.left.push_back(address);
                self.pauses = true;
                self.busy_polls += 1;
                if self.busy_polls.is_multiple_of(BUSY_POLLS_PER_ROUND) {
                    self.begin(draw);
                }
            }
            Failure::Secondhand => self.add_standbys(draw),
            Failure::NotReady(_) | Failure::Other if !knowledge.has_state() => {
                self.add_standbys(draw);
            }
            Failure::NotReady(_) | Failure::Other => {}
        }
        let is_refused =
            failure == Failure::Other && !self.answered && followed < ANSWER_TIMEOUT / 2;
        if is_refused && knowledge.uptime < MAX_START_SPREAD {
            self.tried.remove(&address);
        }
        // A peer that was followed for a while is polled again only after all others.
        if followed > time_left || (self.answered && !knowledge.has_state()) {
            self.begin(draw);
            self.left.retain(|other| *other != address);
            self.tried.clear();
        }
    }

    // Adds the standbys that were named since the round began. Seeds that can't read the log
    // name some of the instances that start with this one, which read it instead.
    fn add_standbys(&mut self, draw: u64) {
        for standby in self.peers.standbys(draw) {
            if self.added.insert(standby) {
                self.left.push_back(standby);
            }
        }
    }

    /// Records the standbys that a peer names.
    pub fn set_standbys(&mut self, peer: SocketAddr, standbys: Vec<SocketAddr>) {
        self.peers.set_standbys(peer, standbys);
    }

    /// Records the standbys that this instance itself names.
    pub fn set_own_standbys(&mut self, standbys: Vec<SocketAddr>) {
        self.peers.set_own_standbys(standbys);
    }

    // Returns whether standbys may still be reading the log, and there is time to read it here
    // if they don't. If all instances read it whenever the seeds can't, none would in time.
    fn waits_for_standbys(&self, knowledge: &Knowledge, time_left: Duration) -> bool {
        let relies_on_peers = !knowledge.reads_log && knowledge.age.is_some();
        relies_on_peers && self.peers.has_standbys() && time_left >= MIN_READ_TIME
    }

    // Records how far a peer is that has no list yet. Returns whether it has progressed. One
    // that has only just started gets the time to.
    fn has_progressed(&mut self, address: SocketAddr, progress: u64, uptime: Duration) -> bool {
        let before = self.progress.insert(address, progress);
        if before.is_none() {
            self.deadline = self.deadline.max(uptime + STARTUP_POLL_TIME);
        }
        progress > before.unwrap_or(0)
    }

    // Returns how long polling may take before the log has to be read.
    fn time_left(&self, knowledge: &Knowledge) -> Duration {
        if knowledge.reads_log {
            return MAX_POLL_WAIT;
        }
        match knowledge.age {
            Some(age) => remaining_time(knowledge.max_update_delay, age),
            None => self.deadline.saturating_sub(knowledge.uptime),
        }
    }
}

/// Returns whether to leave a peer that doesn't read the log itself, whose state has this
/// age and has to be acted on within `bound`: it may be too old with the next answer. A seed
/// leaves it in any case: two that lost the log for a moment would follow each other.
#[must_use]
pub fn is_secondhand(age: Duration, bound: Duration, is_seed: bool) -> bool {
    is_seed || age > max_age(bound).saturating_sub(poll_wait(bound))
}

/// Returns how long a poll for news waits at most. What an instance tells those that poll it
/// gets older by as much.
#[must_use]
pub const fn max_wait(serves_peers: bool) -> Duration {
    if serves_peers {
        MAX_WAIT_SERVING_PEERS
    } else {
        MAX_POLL_WAIT
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

#[cfg(test)]
mod tests;

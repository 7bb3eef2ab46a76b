//! One instance: what it knows, whom it polls, and what it reads.

use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_direct::pace::Pace;
use godwitpost_direct::polling::{Knowledge, Round};
use godwitpost_direct::standby::{Peers, Pollers};
use godwitpost_types::clock::{Moment, since};

use crate::faults::Trouble;

/// How old the state of an instance may get.
pub(crate) const MAX_UPDATE_DELAY: Duration = Duration::from_secs(5);

/// A topic of the log, at an instance that may read it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Topic {
    /// Pages read since the list began; one more once it was read to its end.
    pub(crate) calls_done: usize,
    /// Calls that failed in a row.
    pub(crate) failures: u32,
    /// When the call was sent that last confirmed it.
    pub(crate) confirmed_at: Option<Moment>,
}

/// The two topics of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TopicName {
    Operator,
    Endpoints,
}

/// A peer that is polled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Following {
    pub(crate) peer: usize,
    pub(crate) since: Moment,
    pub(crate) time_left: Duration,
    /// Parts of the list received from it.
    pub(crate) parts: usize,
    /// Whether any answer arrived.
    pub(crate) answered: bool,
}

/// A poll that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Poll {
    pub(crate) from: usize,
    pub(crate) number: u64,
    pub(crate) to: usize,
    pub(crate) sent_at: Moment,
    pub(crate) wait: Duration,
    /// Parts that the asking instance has; `None` if it has the list.
    pub(crate) parts: Option<usize>,
}

/// An instance.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each tells something else of the instance"
)]
pub(crate) struct Instance {
    pub(crate) address: SocketAddr,
    pub(crate) is_seed: bool,
    pub(crate) link_rate: u64,
    /// When it can be reached by no other.
    pub(crate) cut: Trouble,
    /// When the log turns it away.
    pub(crate) turned_away: Trouble,
    /// Whether the process runs, and which one it is.
    pub(crate) is_alive: bool,
    pub(crate) incarnation: u64,
    pub(crate) started_at: Moment,
    pub(crate) sends_until: Moment,
    pub(crate) receives_until: Moment,
    pub(crate) reads_log: bool,
    /// Counts changes of `reads_log`.
    pub(crate) epoch: u64,
    pub(crate) log_unavailable: bool,
    pub(crate) topics: [Topic; 2],
    pub(crate) has_list: bool,
    /// Answers with a part of a list, received so far.
    pub(crate) list_progress: u64,
    /// How far the furthest peer without a list was that it has heard of.
    pub(crate) peer_progress: u64,
    pub(crate) round: Round,
    pub(crate) is_polling: bool,
    pub(crate) following: Option<Following>,
    /// The number of the last poll.
    pub(crate) poll: u64,
    pub(crate) pollers: Pollers,
    pub(crate) pace: Pace,
    pub(crate) waiting: Vec<Poll>,
    pub(crate) ready_at: Option<Moment>,
    pub(crate) progress_at: Moment,
}

impl Instance {
    pub(crate) fn new(address: SocketAddr, seeds: &[SocketAddr], link_rate: u64) -> Self {
        Self {
            address,
            is_seed: seeds.contains(&address),
            link_rate,
            cut: Trouble::NEVER,
            turned_away: Trouble::NEVER,
            is_alive: false,
            incarnation: 0,
            started_at: Moment::ZERO,
            sends_until: Moment::ZERO,
            receives_until: Moment::ZERO,
            reads_log: false,
            epoch: 0,
            log_unavailable: false,
            topics: [Topic::default(); 2],
            has_list: false,
            list_progress: 0,
            peer_progress: 0,
            round: Round::new(Peers::new(Vec::new(), None, 0)),
            is_polling: false,
            following: None,
            poll: 0,
            pollers: Pollers::new(seeds.to_vec()),
            pace: Pace::new(link_rate),
            waiting: Vec::new(),
            ready_at: None,
            progress_at: Moment::ZERO,
        }
    }

    /// Starts a process that knows nothing.
    pub(crate) fn start(&mut self, seeds: &[SocketAddr], first: usize, now: Moment) {
        let mut others = seeds.to_vec();
        others.retain(|seed| *seed != self.address);
        let poll = self.poll;
        *self = Self {
            cut: self.cut,
            turned_away: self.turned_away,
            is_alive: true,
            incarnation: self.incarnation + 1,
            started_at: now,
            reads_log: self.is_seed,
            round: Round::new(Peers::new(others, Some(self.address), first)),
            poll: poll + 1,
            progress_at: now,
            ..Self::new(self.address, seeds, self.link_rate)
        };
    }

    pub(crate) const fn topic(&mut self, name: TopicName) -> &mut Topic {
        match name {
            TopicName::Operator => &mut self.topics[0],
            TopicName::Endpoints => &mut self.topics[1],
        }
    }

    /// Returns when the less recently confirmed topic was confirmed.
    pub(crate) fn confirmed_at(&self) -> Option<Moment> {
        let [operator, endpoints] = &self.topics;
        operator.confirmed_at.min(endpoints.confirmed_at)
    }

    /// Returns whether it has something to tell others.
    pub(crate) fn has_state(&self) -> bool {
        self.has_list && self.confirmed_at().is_some()
    }

    /// Returns whether it serves callers.
    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        let is_recent = |at| since(now, at) < MAX_UPDATE_DELAY;
        self.is_alive && self.has_list && self.topics[0].confirmed_at.is_some_and(is_recent)
    }

    pub(crate) fn knowledge(&self, now: Moment) -> Knowledge {
        Knowledge {
            uptime: since(now, self.started_at),
            reads_log: self.reads_log,
            age: self.confirmed_at().map(|at| since(now, at)),
            max_update_delay: MAX_UPDATE_DELAY,
        }
    }
}

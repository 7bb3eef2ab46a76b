//! The design with one guard taken out.

use std::collections::{BTreeMap, VecDeque};

use godwitpost_state::claim::batch;
use godwitpost_state::claim::{AppendFailure, Batcher, Id, Item, Next, Page, Record, Verdict};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{KeyDigest, Offset};

/// Which guard is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weakness {
    /// None: the design as it is.
    None,
    /// A batcher trusts its memory of what it read at its start and appended
    /// since, where an append whose answer was lost counts as failed.
    OwnMemory,
    /// A batcher takes an append whose answer was lost for done, and its claims
    /// for the first of their keys.
    LostMeansDone,
    /// A new batcher answers without reading its partition first.
    NoReadBack,
    /// A holder starts a request that it gave up before.
    StartsAfterGivingUp,
    /// A restarted holder counts its claims in the same incarnation again.
    SameIncarnation,
    /// A reader takes records that the log has dropped for empty ones.
    TruncationUnseen,
    /// A key's time of issue is taken to be when it arrives.
    Undated,
}

impl Weakness {
    /// Returns every weakness, without [`Weakness::None`].
    pub fn all() -> impl Iterator<Item = Self> {
        [
            Self::OwnMemory,
            Self::LostMeansDone,
            Self::NoReadBack,
            Self::StartsAfterGivingUp,
            Self::SameIncarnation,
            Self::TruncationUnseen,
            Self::Undated,
        ]
        .into_iter()
    }

    /// Returns its name in figures.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::OwnMemory => "own_memory",
            Self::LostMeansDone => "lost_means_done",
            Self::NoReadBack => "no_read_back",
            Self::StartsAfterGivingUp => "starts_after_giving_up",
            Self::SameIncarnation => "same_incarnation",
            Self::TruncationUnseen => "truncation_unseen",
            Self::Undated => "undated",
        }
    }
}

/// The batcher of one instance: as designed, or a naive one.
#[derive(Debug)]
pub enum Seat {
    /// As designed.
    Real(Box<Batcher>),
    /// Without one guard.
    Naive(Naive),
}

/// A batcher that trusts its own memory of winners.
#[derive(Debug)]
pub struct Naive {
    winners: BTreeMap<KeyDigest, Id>,
    queue: VecDeque<Record>,
    flight: Option<(u64, Record)>,
    answers: VecDeque<(Id, Verdict)>,
    next: Offset,
    reading: bool,
    behind: bool,
    tickets: u64,
}

impl Seat {
    /// Returns a new batcher under a weakness.
    #[must_use]
    pub fn new(weakness: Weakness, window: std::time::Duration) -> Self {
        match weakness {
            Weakness::OwnMemory | Weakness::NoReadBack => Self::Naive(Naive::new(weakness)),
            _ => Self::Real(Box::new(Batcher::new(window))),
        }
    }

    /// Takes an item.
    pub fn submit(&mut self, now: Moment, item: Item) {
        match (self, item) {
            (Self::Real(batcher), item) => batcher.submit(now, item),
            (Self::Naive(naive), Item::Claim(record)) => naive.submit(record),
            (Self::Naive(_), Item::Outcome { .. }) => {}
        }
    }

    /// Returns what to do next.
    pub fn next(&mut self, now: Moment) -> Next {
        match self {
            Self::Real(batcher) => batcher.next(now),
            Self::Naive(naive) => naive.next(),
        }
    }

    /// Takes an append's answer.
    pub fn appended(&mut self, now: Moment, ticket: u64, offset: Offset, time: Moment) {
        match self {
            Self::Real(batcher) => batcher.appended(now, ticket, offset, time),
            Self::Naive(naive) => naive.landed(ticket, true),
        }
    }

    /// Takes an append's failure.
    pub fn append_failed(&mut self, now: Moment, ticket: u64, failure: AppendFailure) {
        match self {
            Self::Real(batcher) => batcher.append_failed(now, ticket, failure),
            Self::Naive(naive) => naive.landed(ticket, false),
        }
    }

    /// Takes a page.
    pub fn page(&mut self, now: Moment, page: &Page) {
        match self {
            Self::Real(batcher) => batcher.apply_page(now, page),
            Self::Naive(naive) => naive.page(page),
        }
    }

    /// Takes a read's failure.
    pub fn read_failed(&mut self, now: Moment) {
        match self {
            Self::Real(batcher) => batcher.read_failed(now),
            Self::Naive(naive) => naive.reading = false,
        }
    }
}

impl Naive {
    fn new(weakness: Weakness) -> Self {
        Self {
            winners: BTreeMap::new(),
            queue: VecDeque::new(),
            flight: None,
            answers: VecDeque::new(),
            next: 0,
            reading: false,
            behind: weakness != Weakness::NoReadBack,
            tickets: 0,
        }
    }

    fn submit(&mut self, record: Record) {
        match self.winners.get(&record.key) {
            Some(winner) => self.answer(&record, *winner),
            None => self.queue.push_back(record),
        }
    }

    fn next(&mut self) -> Next {
        if let Some((id, verdict)) = self.answers.pop_front() {
            return Next::Reply { id, verdict };
        }
        if self.reading {
            return Next::Wait(None);
        }
        if self.behind {
            self.reading = true;
            return Next::Read {
                from: self.next,
                limit: 1000,
            };
        }
        if self.flight.is_none()
            && let Some(record) = self.queue.pop_front()
        {
            self.tickets += 1;
            self.flight = Some((self.tickets, record));
            return Next::Append {
                ticket: self.tickets,
                body: batch::encode(&[Item::Claim(record)]),
            };
        }
        Next::Wait(None)
    }

    fn landed(&mut self, ticket: u64, done: bool) {
        let Some((_, record)) = self.flight.take_if(|(flight, _)| *flight == ticket) else {
            return;
        };
        if done {
            let winner = *self.winners.entry(record.key).or_insert(record.id);
            self.answer(&record, winner);
        } else {
            self.answers.push_back((record.id, Verdict::Unavailable));
        }
    }

    fn page(&mut self, page: &Page) {
        self.reading = false;
        for stored in &page.records {
            for item in batch::decode(&stored.body).unwrap_or_default() {
                if let Item::Claim(record) = item {
                    self.winners.entry(record.key).or_insert(record.id);
                }
            }
            self.next = stored.offset + 1;
        }
        self.next = self.next.max(page.first);
        self.behind = self.next < page.next;
    }

    fn answer(&mut self, record: &Record, winner: Id) {
        let verdict = if winner == record.id {
            Verdict::Claimed
        } else {
            Verdict::Taken {
                by: winner,
                outcome: None,
            }
        };
        self.answers.push_back((record.id, verdict));
    }
}

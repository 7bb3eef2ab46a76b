//! Appends claims to one partition's stream and answers from its fold.
//!
//! A claim is answered when its record is met in the fold, and in no other
//! way. That one rule settles every doubt:
//!
//! - An append whose answer is lost is read back. If the records are met, they
//!   are answered; if not, the same records are appended again. Should the
//!   first append take effect late, the fold meets one id twice and the second
//!   time changes nothing.
//! - A new batcher meets its own records only after all earlier ones, so it
//!   has read the partition before it answers.
//! - Two batchers of one partition read each other's records.
//!
//! When the log does not answer, claims are answered [`Verdict::Unavailable`]
//! at once. Their records may still enter the log; that spends their keys and
//! starts nothing, since only a holder that was told *claimed* starts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use super::seek::Seek;
use super::{BATCH_PERIOD, Id, Item, MAX_CLOCK_SKEW, Record, Table, Verdict, batch};
use crate::log::{AppendFailure, Page};

/// Items of one append at most; at 80 bytes each that is 20 KB a record.
pub const MAX_BATCH_ITEMS: usize = 256;

/// Records asked for in one read.
pub const READ_PAGE_RECORDS: u32 = 1000;

/// How long a claim waits for its verdict before it is unavailable.
///
/// Half of the shortest deadline in use (2 s for stock checks), so that the
/// caller still hears *not run* in time.
pub const VERDICT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a log that failed twice is taken for down.
pub const LOG_DOWN_PERIOD: Duration = Duration::from_millis(500);

// Appends tried for a claim: a second one covers a dropped connection and a
// single refusal over the log's rate.
const ATTEMPTS: u8 = 2;

// Items waiting at most; far above a second of one partition's claims.
const LONGEST_QUEUE: usize = 4096;

/// What the batcher wants done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Append a record to the partition's stream; answer with
    /// [`Batcher::appended`] or [`Batcher::append_failed`].
    Append {
        /// Names the append in its answer.
        ticket: u64,
        /// The record's bytes.
        body: Vec<u8>,
    },
    /// Read the stream, without waiting for new records and up to exactly
    /// `limit` of them; answer with [`Batcher::apply_page`] or [`Batcher::read_failed`].
    Read {
        /// The first offset wanted.
        from: Offset,
        /// Records wanted at most.
        limit: u32,
    },
    /// Tell a dispatcher the verdict on its claim.
    Reply {
        /// The claim.
        id: Id,
        /// The verdict.
        verdict: Verdict,
    },
    /// Nothing until this moment or the next event; `None` for no moment.
    Wait(Option<Moment>),
}

/// The batcher of one partition.
#[derive(Debug)]
pub struct Batcher {
    table: Table,
    seek: Option<Seek>,
    asked: BTreeMap<Id, Asked>,
    order: VecDeque<(Moment, Id)>,
    queue: VecDeque<Item>,
    flight: Option<Flight>,
    doubtful: Vec<Record>,
    answers: VecDeque<(Id, Verdict)>,
    started: bool,
    reading: bool,
    behind: bool,
    tickets: u64,
    append_at: Moment,
    read_at: Moment,
    down_until: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    record: Record,
    attempts: u8,
}

#[derive(Clone, Debug)]
struct Flight {
    ticket: u64,
    items: Vec<Item>,
}

impl Batcher {
    /// Returns a batcher that first reads the partition's last `window`.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            table: Table::new(window),
            seek: None,
            asked: BTreeMap::new(),
            order: VecDeque::new(),
            queue: VecDeque::new(),
            flight: None,
            doubtful: Vec::new(),
            answers: VecDeque::new(),
            started: false,
            reading: false,
            behind: true,
            tickets: 0,
            append_at: Moment::ZERO,
            read_at: Moment::ZERO,
            down_until: Moment::ZERO,
        }
    }

    /// Returns the fold so far.
    #[must_use]
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Sets the claim window of the bundle in force.
    pub fn set_window(&mut self, window: Duration) {
        self.table.set_window(window);
    }

    /// Takes an item that a dispatcher sent. A claim sent again while it waits
    /// is answered once.
    pub fn submit(&mut self, now: Moment, item: Item) {
        match item {
            Item::Claim(record) => self.submit_claim(now, record),
            Item::Outcome { id, .. } => self.submit_fate(id, item),
        }
    }

    /// Returns what to do next; call it until it returns [`Next::Wait`].
    pub fn next(&mut self, now: Moment) -> Next {
        self.lose_patience(now);
        if let Some((id, verdict)) = self.answers.pop_front() {
            return Next::Reply { id, verdict };
        }
        if self.behind && !self.reading && now >= self.read_at {
            self.reading = true;
            return self.read(now);
        }
        if now >= self.append_at
            && let Some(flight) = self.board(now)
        {
            let next = Next::Append {
                ticket: flight.ticket,
                body: batch::encode(&flight.items),
            };
            self.flight = Some(flight);
            return next;
        }
        Next::Wait(self.wake())
    }

    /// Takes the log's answer to an append.
    pub fn appended(&mut self, now: Moment, ticket: u64, offset: Offset, time: Moment) {
        let Some(flight) = self.flight.take_if(|flight| flight.ticket == ticket) else {
            return;
        };
        self.down_until = Moment::ZERO;
        if offset == self.table.next_offset() {
            self.apply(offset, time, &flight.items);
        } else {
            // Another batcher wrote in between: its records come first.
            self.behind = true;
            self.read_at = now;
        }
    }

    /// Takes the failure of an append.
    pub fn append_failed(&mut self, now: Moment, ticket: u64, failure: AppendFailure) {
        let Some(flight) = self.flight.take_if(|flight| flight.ticket == ticket) else {
            return;
        };
        let claims = flight.items.iter().filter_map(|item| match item {
            Item::Claim(record) => Some(*record),
            Item::Outcome { .. } => None,
        });
        match failure {
            AppendFailure::NotApplied => {
                for record in claims {
                    self.try_again(now, record);
                }
            }
            AppendFailure::Unknown => {
                self.doubtful.extend(claims);
                self.behind = true;
                self.read_at = now;
            }
        }
    }

    /// Takes the log's answer to a read.
    pub fn apply_page(&mut self, now: Moment, page: &Page) {
        self.reading = false;
        if !self.found(page) {
            return;
        }
        self.table.skip_to(page.first);
        for stored in &page.records {
            // A record that is no batch claims nothing.
            let items = batch::decode(&stored.body).unwrap_or_default();
            // Offsets have no gaps; a log that leaves some out is taken for
            // one that has dropped them.
            self.table.skip_to(stored.offset);
            self.apply(stored.offset, stored.time, &items);
        }
        self.behind = self.table.next_offset() < page.next;
        if !self.behind {
            self.settle(now);
        }
    }

    /// Takes the failure of a read.
    pub fn read_failed(&mut self, now: Moment) {
        self.reading = false;
        self.read_at = now + BATCH_PERIOD;
        let doubtful = std::mem::take(&mut self.doubtful);
        for record in doubtful {
            self.give_up(now, record.id);
        }
    }

    fn read(&mut self, now: Moment) -> Next {
        if !self.started {
            // The log's clock may be behind by as much as keys may be ahead.
            let wanted = now.saturating_sub(self.table.window() + MAX_CLOCK_SKEW * 2);
            let seek = self.seek.get_or_insert_with(|| Seek::new(wanted));
            return Next::Read {
                from: seek.probe(),
                limit: 1,
            };
        }
        Next::Read {
            from: self.table.next_offset(),
            limit: READ_PAGE_RECORDS,
        }
    }

    // Returns whether the page is to be folded, and not a probe for the place
    // where the window begins.
    fn found(&mut self, page: &Page) -> bool {
        let Some(mut seek) = self.seek.take() else {
            return true;
        };
        let Some(start) = seek.apply_probe(page) else {
            self.seek = Some(seek);
            return false;
        };
        self.started = true;
        self.table.skip_to(start);
        page.records.first().is_none_or(|r| r.offset <= start)
    }

    fn submit_fate(&mut self, id: Id, item: Item) {
        // Its holder has given the claim up: nobody waits for the verdict, and
        // a claim that is not in the log yet need not get there.
        self.asked.remove(&id);
        if self.queue.len() < LONGEST_QUEUE {
            self.queue.push_back(item);
        }
    }

    fn submit_claim(&mut self, now: Moment, record: Record) {
        if self.asked.contains_key(&record.id) {
            return;
        }
        if let Some(verdict) = self.table.verdict(&record) {
            self.answers.push_back((record.id, verdict));
            return;
        }
        if now < self.down_until || self.queue.len() >= LONGEST_QUEUE {
            self.answers.push_back((record.id, Verdict::Unavailable));
            return;
        }
        let asked = Asked {
            record,
            attempts: 0,
        };
        self.asked.insert(record.id, asked);
        self.order.push_back((now, record.id));
        self.queue.push_back(Item::Claim(record));
    }

    // Takes the next append's items from the queue.
    fn board(&mut self, now: Moment) -> Option<Flight> {
        if self.flight.is_some() {
            return None;
        }
        let mut items = Vec::new();
        while items.len() < MAX_BATCH_ITEMS
            && let Some(item) = self.queue.pop_front()
        {
            if self.wanted(&item) {
                items.push(item);
            }
        }
        if items.is_empty() {
            return None;
        }
        self.append_at = now + BATCH_PERIOD;
        self.tickets += 1;
        Some(Flight {
            ticket: self.tickets,
            items,
        })
    }

    // Counts the attempt; a claim that was answered meanwhile is left out.
    fn wanted(&mut self, item: &Item) -> bool {
        let Item::Claim(record) = item else {
            return true;
        };
        let Some(asked) = self.asked.get_mut(&record.id) else {
            return false;
        };
        asked.attempts += 1;
        true
    }

    fn apply(&mut self, offset: Offset, time: Moment, items: &[Item]) {
        if offset < self.table.next_offset() {
            return;
        }
        self.table.apply(offset, time, items);
        for item in items {
            if let Item::Claim(record) = item {
                self.met(record);
            }
        }
    }

    // Answers a claim whose record the fold has just met.
    fn met(&mut self, record: &Record) {
        let Some(asked) = self.asked.remove(&record.id) else {
            return;
        };
        // A record that is applied, not expired and left its key free was
        // ahead of the log's clock.
        let verdict = self.table.verdict(&asked.record).unwrap_or(Verdict::Early);
        self.answers.push_back((record.id, verdict));
    }

    // At the stream's end: doubtful records that were not met are not there.
    fn settle(&mut self, now: Moment) {
        let doubtful = std::mem::take(&mut self.doubtful);
        for record in doubtful {
            self.try_again(now, record);
        }
    }

    fn try_again(&mut self, now: Moment, record: Record) {
        match self.asked.get(&record.id) {
            Some(asked) if asked.attempts < ATTEMPTS => self.queue.push_back(Item::Claim(record)),
            Some(_) => self.give_up(now, record.id),
            None => {}
        }
    }

    fn give_up(&mut self, now: Moment, id: Id) {
        if self.asked.remove(&id).is_some() {
            self.answers.push_back((id, Verdict::Unavailable));
            self.down_until = now + LOG_DOWN_PERIOD;
        }
    }

    fn lose_patience(&mut self, now: Moment) {
        while let Some(&(since, id)) = self.order.front() {
            let answered = !self.asked.contains_key(&id);
            if !answered && now < since + VERDICT_TIMEOUT {
                break;
            }
            self.order.pop_front();
            if !answered {
                self.give_up(now, id);
            }
        }
    }

    fn wake(&self) -> Option<Moment> {
        let patience = self
            .order
            .front()
            .map(|(since, _)| *since + VERDICT_TIMEOUT);
        let append = (self.flight.is_none() && !self.queue.is_empty()).then_some(self.append_at);
        let read = (self.behind && !self.reading).then_some(self.read_at);
        [patience, append, read].into_iter().flatten().min()
    }
}

#[cfg(test)]
mod tests;

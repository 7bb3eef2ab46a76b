//! Appends claims to one partition's stream and returns verdicts on them.
//!
//! A claim gets a verdict from the log only when its record is applied to the
//! table, in stream order. This rule covers the following cases:
//!
//! - When the response to an append is lost, the stream is read back. Claims
//!   whose records are found get their verdicts; the other records are appended
//!   again. If the first append takes effect late, the table sees the same ID
//!   twice and ignores the second record.
//! - A new batcher applies its own records after all earlier ones, so it has
//!   read the partition before it returns a verdict.
//! - Two batchers of one partition read each other's records.
//!
//! While the log does not respond, claims get [`Verdict::Unavailable`] at once.
//! Their records may still enter the log. The keys then cannot be used again,
//! but no request starts, because a holder starts a request only after
//! [`Verdict::Claimed`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use super::seek::Search;
use super::{BATCH_PERIOD, Id, Item, MAX_CLOCK_SKEW, Record, Table, Verdict, batch};
use crate::log::{AppendFailure, Page};

/// The maximum number of items per append; at 80 bytes each a record has 20 KB.
pub const MAX_BATCH_ITEMS: usize = 256;

/// The maximum number of records requested per read.
pub const READ_PAGE_RECORDS: u32 = 1000;

/// How long a claim waits for its verdict before it gets
/// [`Verdict::Unavailable`].
///
/// Half of the shortest deadline in use (2 s for stock checks), so that the
/// caller still receives *not run* in time.
pub const VERDICT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the log is considered down after a claim failed, for example by two
/// failed appends. New claims get [`Verdict::Unavailable`] during this time.
pub const LOG_DOWN_PERIOD: Duration = Duration::from_millis(500);

// The second attempt covers a dropped connection or a single refusal by the
// log's rate limit.
const MAX_APPEND_ATTEMPTS: u8 = 2;

// Far more than one partition's claims of a second.
const MAX_QUEUED_ITEMS: usize = 4096;

/// The batcher's next step, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Append a record to the partition's stream; report the result with
    /// [`Batcher::appended`] or [`Batcher::append_failed`].
    Append {
        /// Identifies the append when its result is reported.
        ticket: u64,
        /// The encoded record.
        body: Vec<u8>,
    },
    /// Read the stream without waiting for new records, and not more than
    /// `limit` of them; report the result with [`Batcher::apply_page`] or
    /// [`Batcher::read_failed`].
    Read {
        /// The offset to read from.
        from: Offset,
        /// The maximum number of records.
        limit: u32,
    },
    /// Send a dispatcher the verdict on its claim.
    Reply {
        /// The claim.
        id: Id,
        /// The verdict.
        verdict: Verdict,
    },
    /// Do nothing until this time or the next event; `None` waits for an event.
    Wait(Option<Moment>),
}

/// The batcher of one partition.
#[derive(Debug)]
pub struct Batcher {
    table: Table,
    search: Option<Search>,
    pending: BTreeMap<Id, PendingClaim>,
    submitted: VecDeque<(Moment, Id)>,
    queue: VecDeque<Item>,
    in_flight: Option<InFlightAppend>,
    unconfirmed: Vec<Record>,
    verdicts: VecDeque<(Id, Verdict)>,
    window_found: bool,
    read_in_flight: bool,
    behind: bool,
    last_ticket: u64,
    next_append_at: Moment,
    next_read_at: Moment,
    log_down_until: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingClaim {
    record: Record,
    attempts: u8,
}

#[derive(Clone, Debug)]
struct InFlightAppend {
    ticket: u64,
    items: Vec<Item>,
}

impl Batcher {
    /// Returns a batcher that starts by reading the partition's last `window`.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            table: Table::new(window),
            search: None,
            pending: BTreeMap::new(),
            submitted: VecDeque::new(),
            queue: VecDeque::new(),
            in_flight: None,
            unconfirmed: Vec::new(),
            verdicts: VecDeque::new(),
            window_found: false,
            read_in_flight: false,
            behind: true,
            last_ticket: 0,
            next_append_at: Moment::ZERO,
            next_read_at: Moment::ZERO,
            log_down_until: Moment::ZERO,
        }
    }

    /// Returns the table folded from the records applied so far.
    #[must_use]
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Sets the claim window of the active bundle.
    pub fn set_window(&mut self, window: Duration) {
        self.table.set_window(window);
    }

    /// Accepts an item from a dispatcher. A claim that is resent while it is
    /// pending gets one verdict.
    pub fn submit(&mut self, now: Moment, item: Item) {
        match item {
            Item::Claim(record) => self.submit_claim(now, record),
            Item::Outcome { id, .. } => self.submit_outcome(id, item),
        }
    }

    /// Returns what to do next; call it until it returns [`Next::Wait`].
    pub fn next(&mut self, now: Moment) -> Next {
        self.expire_pending(now);
        if let Some((id, verdict)) = self.verdicts.pop_front() {
            return Next::Reply { id, verdict };
        }
        if self.behind && !self.read_in_flight && now >= self.next_read_at {
            self.read_in_flight = true;
            return self.next_read(now);
        }
        if now >= self.next_append_at
            && let Some(append) = self.take_batch(now)
        {
            let next = Next::Append {
                ticket: append.ticket,
                body: batch::encode(&append.items),
            };
            self.in_flight = Some(append);
            return next;
        }
        Next::Wait(self.next_wake())
    }

    /// Handles a successful append.
    pub fn appended(&mut self, now: Moment, ticket: u64, offset: Offset, time: Moment) {
        let Some(append) = self.in_flight.take_if(|append| append.ticket == ticket) else {
            return;
        };
        self.log_down_until = Moment::ZERO;
        if offset == self.table.next_offset() {
            self.apply(offset, time, &append.items);
        } else {
            // Another batcher appended in between; its records are read first.
            self.behind = true;
            self.next_read_at = now;
        }
    }

    /// Handles a failed append.
    pub fn append_failed(&mut self, now: Moment, ticket: u64, failure: AppendFailure) {
        let Some(append) = self.in_flight.take_if(|append| append.ticket == ticket) else {
            return;
        };
        let claims = append.items.iter().filter_map(|item| match item {
            Item::Claim(record) => Some(*record),
            Item::Outcome { .. } => None,
        });
        match failure {
            AppendFailure::NotApplied => {
                for record in claims {
                    self.retry_or_fail(now, record);
                }
            }
            AppendFailure::Unknown => {
                self.unconfirmed.extend(claims);
                self.behind = true;
                self.next_read_at = now;
            }
        }
    }

    /// Handles the result of a read.
    pub fn apply_page(&mut self, now: Moment, page: &Page) {
        self.read_in_flight = false;
        if !self.advance_search(page) {
            return;
        }
        self.table.skip_to(page.first);
        for stored in &page.records {
            // A record that is not a batch contains no claims.
            let items = batch::decode(&stored.body).unwrap_or_default();
            // Offsets have no gaps. Missing ones are treated as records that the
            // log has deleted.
            self.table.skip_to(stored.offset);
            self.apply(stored.offset, stored.time, &items);
        }
        self.behind = self.table.next_offset() < page.next;
        if !self.behind {
            self.retry_unconfirmed(now);
        }
    }

    /// Handles a failed read.
    pub fn read_failed(&mut self, now: Moment) {
        self.read_in_flight = false;
        self.next_read_at = now + BATCH_PERIOD;
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        for record in unconfirmed {
            self.fail_claim(now, record.id);
        }
    }

    fn next_read(&mut self, now: Moment) -> Next {
        if !self.window_found {
            // Twice the skew: keys may be ahead of the log's clock, and the log's
            // clock may be behind by as much.
            let window_start = now.saturating_sub(self.table.window() + MAX_CLOCK_SKEW * 2);
            let search = self.search.get_or_insert_with(|| Search::new(window_start));
            return Next::Read {
                from: search.probe_offset(),
                limit: 1,
            };
        }
        Next::Read {
            from: self.table.next_offset(),
            limit: READ_PAGE_RECORDS,
        }
    }

    // Returns whether the page's records are to be applied. Returns false for a
    // probe of the search for the start of the window.
    fn advance_search(&mut self, page: &Page) -> bool {
        let Some(mut search) = self.search.take() else {
            return true;
        };
        let Some(start) = search.apply_probe(page) else {
            self.search = Some(search);
            return false;
        };
        self.window_found = true;
        self.table.skip_to(start);
        page.records.first().is_none_or(|r| r.offset <= start)
    }

    fn submit_outcome(&mut self, id: Id, item: Item) {
        // The claim has ended, so no holder waits for its verdict, and a claim
        // that is not in the log yet does not need to be appended.
        self.pending.remove(&id);
        if self.queue.len() < MAX_QUEUED_ITEMS {
            self.queue.push_back(item);
        }
    }

    fn submit_claim(&mut self, now: Moment, record: Record) {
        if self.pending.contains_key(&record.id) {
            return;
        }
        if let Some(verdict) = self.table.verdict(&record) {
            self.verdicts.push_back((record.id, verdict));
            return;
        }
        if now < self.log_down_until || self.queue.len() >= MAX_QUEUED_ITEMS {
            self.verdicts.push_back((record.id, Verdict::Unavailable));
            return;
        }
        let claim = PendingClaim {
            record,
            attempts: 0,
        };
        self.pending.insert(record.id, claim);
        self.submitted.push_back((now, record.id));
        self.queue.push_back(Item::Claim(record));
    }

    // Removes the items of the next append from the queue.
    fn take_batch(&mut self, now: Moment) -> Option<InFlightAppend> {
        if self.in_flight.is_some() {
            return None;
        }
        let mut items = Vec::new();
        while items.len() < MAX_BATCH_ITEMS
            && let Some(item) = self.queue.pop_front()
        {
            if self.begin_attempt(&item) {
                items.push(item);
            }
        }
        if items.is_empty() {
            return None;
        }
        self.next_append_at = now + BATCH_PERIOD;
        self.last_ticket += 1;
        Some(InFlightAppend {
            ticket: self.last_ticket,
            items,
        })
    }

    // Counts an append attempt for the item's claim. Returns false for a claim
    // that is no longer pending.
    fn begin_attempt(&mut self, item: &Item) -> bool {
        let Item::Claim(record) = item else {
            return true;
        };
        let Some(claim) = self.pending.get_mut(&record.id) else {
            return false;
        };
        claim.attempts += 1;
        true
    }

    fn apply(&mut self, offset: Offset, time: Moment, items: &[Item]) {
        if offset < self.table.next_offset() {
            return;
        }
        self.table.apply(offset, time, items);
        for item in items {
            if let Item::Claim(record) = item {
                self.resolve(record);
            }
        }
    }

    // Queues the verdict on a pending claim whose record was just applied.
    fn resolve(&mut self, record: &Record) {
        let Some(claim) = self.pending.remove(&record.id) else {
            return;
        };
        // A record that was applied, is not expired and did not take its key is
        // too far ahead of the log's clock.
        let verdict = self.table.verdict(&claim.record).unwrap_or(Verdict::Early);
        self.verdicts.push_back((record.id, verdict));
    }

    // Called at the end of the stream, where unconfirmed records that have not
    // been applied are known to be absent.
    fn retry_unconfirmed(&mut self, now: Moment) {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        for record in unconfirmed {
            self.retry_or_fail(now, record);
        }
    }

    fn retry_or_fail(&mut self, now: Moment, record: Record) {
        match self.pending.get(&record.id) {
            Some(claim) if claim.attempts < MAX_APPEND_ATTEMPTS => {
                self.queue.push_back(Item::Claim(record));
            }
            Some(_) => self.fail_claim(now, record.id),
            None => {}
        }
    }

    fn fail_claim(&mut self, now: Moment, id: Id) {
        if self.pending.remove(&id).is_some() {
            self.verdicts.push_back((id, Verdict::Unavailable));
            self.log_down_until = now + LOG_DOWN_PERIOD;
        }
    }

    fn expire_pending(&mut self, now: Moment) {
        while let Some(&(since, id)) = self.submitted.front() {
            let resolved = !self.pending.contains_key(&id);
            if !resolved && now < since + VERDICT_TIMEOUT {
                break;
            }
            self.submitted.pop_front();
            if !resolved {
                self.fail_claim(now, id);
            }
        }
    }

    fn next_wake(&self) -> Option<Moment> {
        let timeout = self
            .submitted
            .front()
            .map(|(since, _)| *since + VERDICT_TIMEOUT);
        let append =
            (self.in_flight.is_none() && !self.queue.is_empty()).then_some(self.next_append_at);
        let read = (self.behind && !self.read_in_flight).then_some(self.next_read_at);
        [timeout, append, read].into_iter().flatten().min()
    }
}

#[cfg(test)]
mod tests;

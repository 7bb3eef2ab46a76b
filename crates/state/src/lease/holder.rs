//! Takes and keeps the lease of one pool for one instance.
//!
//! Every instance may run one for each pool; only the *candidate*, the pool's
//! rendezvous winner in its own view, asks for the lease. Two candidates
//! during a disagreement both ask, and the fold says who holds it.
//!
//! A holder may be paused at any point without knowing. So
//! [`Holder::may_order`] compares its own clock with the lease's end on that
//! same clock, right before each order. The end is counted from before the
//! append was sent: the log's record is later, so the log's end is later too.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{Incarnation, InstanceId, Offset};

use super::{EXPIRY_MARGIN, LEASE_DURATION, Operation, Pool, RENEW_INTERVAL, Record, Table};
use crate::log::{AppendFailure, Page};

/// What the holder wants done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Append to [`super::STREAM_NAME`]; answer with [`Holder::appended`] or
    /// [`Holder::append_failed`].
    Append {
        /// Names the append in its answer.
        ticket: u64,
        /// The record's bytes.
        body: Vec<u8>,
    },
    /// Read the stream without waiting; answer with [`Holder::apply_page`] or
    /// [`Holder::read_failed`].
    Read {
        /// The first offset wanted.
        from: Offset,
        /// Records wanted at most.
        limit: u32,
    },
    /// Nothing until this moment or the next event; `None` for no moment.
    Wait(Option<Moment>),
}

// Time between two tries after a failure or a lost race.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(1);

// Records asked for in one read.
const READ_PAGE_RECORDS: u32 = 1000;

/// One instance's side of one pool's lease.
#[derive(Debug)]
pub struct Holder {
    pool: Pool,
    own: InstanceId,
    incarnation: Incarnation,
    table: Table,
    candidate: bool,
    flight: Option<Flight>,
    // When the appends were sent whose records may yet be met, in order.
    sent: Vec<Flight>,
    tickets: u64,
    reading: bool,
    read_at: Moment,
    append_at: Moment,
    // Since when no sign of another's lease has come.
    quiet_since: Moment,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    ticket: u64,
    at: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    fence: Offset,
    since: Moment,
    until: Moment,
}

impl Holder {
    /// Returns a holder that is no candidate yet.
    #[must_use]
    pub fn new(pool: Pool, own: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            pool,
            own,
            incarnation,
            table: Table::new(),
            candidate: false,
            flight: None,
            sent: Vec::new(),
            tickets: 0,
            reading: false,
            read_at: Moment::ZERO,
            append_at: Moment::ZERO,
            quiet_since: Moment::ZERO,
            held: None,
        }
    }

    /// Sets whether this instance should hold the lease; one that should not
    /// any more releases it.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
        if !candidate {
            self.append_at = Moment::ZERO;
        }
    }

    /// Returns the fencing number if an order may go out at `now`.
    ///
    /// To be asked right before each order.
    #[must_use]
    pub fn may_order(&self, now: Moment) -> Option<Offset> {
        self.held
            .filter(|held| self.candidate && now + EXPIRY_MARGIN < held.until)
            .map(|held| held.fence)
    }

    /// Returns since when the lease is held, if it is.
    #[must_use]
    pub fn held_since(&self) -> Option<Moment> {
        self.held.map(|held| held.since)
    }

    /// Returns what to do next; call it until it returns [`Next::Wait`].
    pub fn next(&mut self, now: Moment) -> Next {
        if self.held.is_some_and(|held| held.until <= now) {
            self.held = None;
        }
        if self.busy() {
            return Next::Wait(None);
        }
        if !self.candidate && self.held.is_none() {
            return Next::Wait(None);
        }
        if now >= self.read_at {
            self.reading = true;
            return Next::Read {
                from: self.table.next_offset(),
                limit: READ_PAGE_RECORDS,
            };
        }
        if now >= self.append_at
            && let Some(operation) = self.next_operation(now)
        {
            return self.append(now, operation);
        }
        Next::Wait(Some(self.read_at.min(self.next_operation_at())))
    }

    /// Takes the log's answer to an append: the record is there to be read.
    pub fn appended(&mut self, now: Moment, ticket: u64) {
        self.land(now, ticket);
    }

    /// Takes the failure of an append.
    ///
    /// One of unknown fate is looked for by reading, like any other.
    pub fn append_failed(&mut self, now: Moment, ticket: u64, failure: AppendFailure) {
        self.land(now, ticket);
        if failure == AppendFailure::NotApplied {
            self.sent.retain(|sent| sent.ticket != ticket);
        }
    }

    /// Takes the log's answer to a read.
    pub fn apply_page(&mut self, now: Moment, page: &Page) {
        self.reading = false;
        self.table.skip_to(page.first);
        let before = self.table.busy_until(self.pool);
        for stored in &page.records {
            let record = Record::decode(&stored.body);
            // Offsets have no gaps; a log that leaves some out is taken for
            // one that has dropped them.
            self.table.skip_to(stored.offset);
            self.table
                .apply(stored.offset, stored.time, record.as_ref());
            if let Some(record) = record {
                self.met(now, stored.offset, &record);
            }
        }
        if self.table.busy_until(self.pool) != before {
            self.quiet_since = now;
        }
        let behind = self.table.next_offset() < page.next;
        self.read_at = if behind { now } else { now + RENEW_INTERVAL };
    }

    /// Takes the failure of a read.
    pub fn read_failed(&mut self, now: Moment) {
        self.reading = false;
        self.read_at = now + RETRY_DELAY;
    }

    const fn busy(&self) -> bool {
        self.reading || self.flight.is_some()
    }

    // When there will be something to ask for, if nothing else happens.
    fn next_operation_at(&self) -> Moment {
        let wanted = match self.held {
            Some(_) if !self.candidate => Moment::ZERO,
            Some(held) => held.until.saturating_sub(LEASE_DURATION) + RENEW_INTERVAL,
            None => self.free_at(),
        };
        wanted.max(self.append_at)
    }

    // When the lease that another holds, or may hold, has ended at the latest:
    // its record is older than the moment it was first read at. Asking earlier
    // would keep unsure readers unsure for ever, this one among them.
    fn free_at(&self) -> Moment {
        if self.table.busy_until(self.pool) > self.table.log_time() {
            self.quiet_since + LEASE_DURATION
        } else {
            Moment::ZERO
        }
    }

    // What to ask for, if anything, after the stream has been read to its end.
    fn next_operation(&self, now: Moment) -> Option<Operation> {
        if now < self.next_operation_at() {
            return None;
        }
        match self.held {
            Some(held) if !self.candidate => Some(Operation::Release(held.fence)),
            Some(held) => Some(Operation::Renew(held.fence)),
            None => self.candidate.then_some(Operation::Acquire),
        }
    }

    fn append(&mut self, now: Moment, operation: Operation) -> Next {
        self.tickets += 1;
        let flight = Flight {
            ticket: self.tickets,
            at: now,
        };
        self.flight = Some(flight);
        // Older ones would give a lease that has ended already.
        self.sent.retain(|sent| now < sent.at + LEASE_DURATION);
        self.sent.push(flight);
        if let Operation::Release(_) = operation {
            // From here on the log may let a successor in.
            self.held = None;
        }
        let record = Record {
            pool: self.pool,
            holder: self.own,
            incarnation: self.incarnation,
            ticket: flight.ticket,
            operation,
        };
        Next::Append {
            ticket: flight.ticket,
            body: record.encode(),
        }
    }

    fn land(&mut self, now: Moment, ticket: u64) {
        if self
            .flight
            .take_if(|flight| flight.ticket == ticket)
            .is_some()
        {
            self.read_at = now;
            // One that should not hold the lease any more releases it once and
            // asks for nothing else. A pause would outlast the stop of an
            // instance whose renewal was just under way, and the successor
            // would wait out the whole term.
            if self.candidate {
                self.append_at = now + RETRY_DELAY;
            }
        }
    }

    // Meets a record of the own pool in the fold.
    fn met(&mut self, now: Moment, offset: Offset, record: &Record) {
        let own = record.holder == self.own && record.incarnation == self.incarnation;
        if !own || record.pool != self.pool {
            return;
        }
        let Some(index) = self
            .sent
            .iter()
            .position(|sent| sent.ticket == record.ticket)
        else {
            return;
        };
        let sent = self.sent.remove(index);
        let Some(current) = self.table.current(self.pool) else {
            return;
        };
        let until = sent.at + LEASE_DURATION;
        match record.operation {
            Operation::Acquire if current.fence == offset => {
                self.held = Some(Held {
                    fence: offset,
                    since: now,
                    until,
                });
            }
            Operation::Renew(fence) if current.fence == fence => {
                if let Some(held) = self.held.as_mut().filter(|held| held.fence == fence) {
                    held.until = held.until.max(until);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;

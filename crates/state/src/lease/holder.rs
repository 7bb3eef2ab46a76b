//! Acquires and renews the lease of one pool for one instance.
//!
//! Every instance may run one holder per pool. Only the *candidate*, which is the
//! instance that its own view shows as the pool's rendezvous winner, requests the
//! lease. If the views differ, several candidates request it and the table
//! determines which one holds it.
//!
//! A process may be paused at any point without noticing. Therefore
//! [`Holder::may_order`] is called right before each order and compares the
//! instance's clock with the lease's expiry on the same clock. The expiry is
//! counted from before the append was sent. The log's record has a later time,
//! so the lease expires later in the log.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{Incarnation, InstanceId, Offset};

use super::{EXPIRY_MARGIN, LEASE_DURATION, Operation, Pool, RENEW_INTERVAL, Record, Table};
use crate::log::{AppendFailure, Page};

/// The holder's next step, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Append to [`super::STREAM_NAME`]; report the result with
    /// [`Holder::appended`] or [`Holder::append_failed`].
    Append {
        /// Identifies the append when its result is reported.
        ticket: u64,
        /// The encoded record.
        body: Vec<u8>,
    },
    /// Read the stream without waiting for new records; report the result with
    /// [`Holder::apply_page`] or [`Holder::read_failed`].
    Read {
        /// The offset to read from.
        from: Offset,
        /// The maximum number of records.
        limit: u32,
    },
    /// Do nothing until this time or the next event; `None` waits for an event.
    Wait(Option<Moment>),
}

// The delay after a failed call or after losing the lease to another candidate.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(1);

// The maximum number of records requested per read.
const READ_PAGE_RECORDS: u32 = 1000;

/// One instance's side of one pool's lease.
#[derive(Debug)]
pub struct Holder {
    pool: Pool,
    instance: InstanceId,
    incarnation: Incarnation,
    table: Table,
    candidate: bool,
    in_flight: Option<SentAppend>,
    // Appends whose records may still be read from the stream, oldest first.
    pending_appends: Vec<SentAppend>,
    last_ticket: u64,
    read_in_flight: bool,
    next_read_at: Moment,
    next_append_at: Moment,
    // When the pool's lease in the table last changed.
    lease_changed_at: Moment,
    lease: Option<HeldLease>,
}

#[derive(Clone, Copy, Debug)]
struct SentAppend {
    ticket: u64,
    sent_at: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HeldLease {
    fence: Offset,
    acquired_at: Moment,
    expires_at: Moment,
}

impl Holder {
    /// Returns a holder that is not yet a candidate.
    #[must_use]
    pub fn new(pool: Pool, instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            pool,
            instance,
            incarnation,
            table: Table::new(),
            candidate: false,
            in_flight: None,
            pending_appends: Vec::new(),
            last_ticket: 0,
            read_in_flight: false,
            next_read_at: Moment::ZERO,
            next_append_at: Moment::ZERO,
            lease_changed_at: Moment::ZERO,
            lease: None,
        }
    }

    /// Sets whether this instance should hold the lease. If it should not, the
    /// holder releases a lease that it has.
    pub fn set_candidate(&mut self, candidate: bool) {
        self.candidate = candidate;
        if !candidate {
            self.next_append_at = Moment::ZERO;
        }
    }

    /// Returns the fencing number if an order may be sent at `now`.
    ///
    /// Must be called right before each order.
    #[must_use]
    pub fn may_order(&self, now: Moment) -> Option<Offset> {
        self.lease
            .filter(|lease| self.candidate && now + EXPIRY_MARGIN < lease.expires_at)
            .map(|lease| lease.fence)
    }

    /// Returns when the current lease was acquired, if one is held.
    #[must_use]
    pub fn held_since(&self) -> Option<Moment> {
        self.lease.map(|lease| lease.acquired_at)
    }

    /// Returns what to do next; call it until it returns [`Next::Wait`].
    pub fn next(&mut self, now: Moment) -> Next {
        if self.lease.is_some_and(|lease| lease.expires_at <= now) {
            self.lease = None;
        }
        if self.has_call_in_flight() {
            return Next::Wait(None);
        }
        if !self.candidate && self.lease.is_none() {
            return Next::Wait(None);
        }
        if now >= self.next_read_at {
            self.read_in_flight = true;
            return Next::Read {
                from: self.table.next_offset(),
                limit: READ_PAGE_RECORDS,
            };
        }
        if now >= self.next_append_at
            && let Some(operation) = self.next_operation(now)
        {
            return self.append(now, operation);
        }
        Next::Wait(Some(self.next_read_at.min(self.next_operation_at())))
    }

    /// Handles a successful append; the record can now be read.
    pub fn appended(&mut self, now: Moment, ticket: u64) {
        self.finish_append(now, ticket);
    }

    /// Handles a failed append.
    ///
    /// If it is unknown whether the append took effect, reading the stream shows
    /// it, as for a successful append.
    pub fn append_failed(&mut self, now: Moment, ticket: u64, failure: AppendFailure) {
        self.finish_append(now, ticket);
        if failure == AppendFailure::NotApplied {
            self.pending_appends.retain(|sent| sent.ticket != ticket);
        }
    }

    /// Handles the result of a read.
    pub fn apply_page(&mut self, now: Moment, page: &Page) {
        self.read_in_flight = false;
        self.table.skip_to(page.first);
        let before = self.table.busy_until(self.pool);
        for stored in &page.records {
            let record = Record::decode(&stored.body);
            // Offsets have no gaps. Missing ones are treated as records that the
            // log has deleted.
            self.table.skip_to(stored.offset);
            self.table
                .apply(stored.offset, stored.time, record.as_ref());
            if let Some(record) = record {
                self.apply_own_record(now, stored.offset, &record);
            }
        }
        if self.table.busy_until(self.pool) != before {
            self.lease_changed_at = now;
        }
        let behind = self.table.next_offset() < page.next;
        self.next_read_at = if behind { now } else { now + RENEW_INTERVAL };
    }

    /// Handles a failed read.
    pub fn read_failed(&mut self, now: Moment) {
        self.read_in_flight = false;
        self.next_read_at = now + RETRY_DELAY;
    }

    const fn has_call_in_flight(&self) -> bool {
        self.read_in_flight || self.in_flight.is_some()
    }

    // Returns when the next operation is due if no other event occurs.
    fn next_operation_at(&self) -> Moment {
        let due = match self.lease {
            Some(_) if !self.candidate => Moment::ZERO,
            Some(lease) => lease.expires_at.saturating_sub(LEASE_DURATION) + RENEW_INTERVAL,
            None => self.available_at(),
        };
        due.max(self.next_append_at)
    }

    // Returns by when a lease that another instance holds, or may hold, has
    // expired. Its record is older than the time when it was first read here. A
    // request sent earlier would extend the uncertainty of readers that cannot
    // tell whether a lease is valid, this one included, without end.
    fn available_at(&self) -> Moment {
        if self.table.busy_until(self.pool) > self.table.log_time() {
            self.lease_changed_at + LEASE_DURATION
        } else {
            Moment::ZERO
        }
    }

    // Returns the operation to request now, if any, once the stream has been
    // read to its end.
    fn next_operation(&self, now: Moment) -> Option<Operation> {
        if now < self.next_operation_at() {
            return None;
        }
        match self.lease {
            Some(lease) if !self.candidate => Some(Operation::Release(lease.fence)),
            Some(lease) => Some(Operation::Renew(lease.fence)),
            None => self.candidate.then_some(Operation::Acquire),
        }
    }

    fn append(&mut self, now: Moment, operation: Operation) -> Next {
        self.last_ticket += 1;
        let append = SentAppend {
            ticket: self.last_ticket,
            sent_at: now,
        };
        self.in_flight = Some(append);
        // Records of older appends could only grant a lease that has expired.
        self.pending_appends
            .retain(|sent| now < sent.sent_at + LEASE_DURATION);
        self.pending_appends.push(append);
        if let Operation::Release(_) = operation {
            // From now on the log may grant the lease to a successor.
            self.lease = None;
        }
        let record = Record {
            pool: self.pool,
            holder: self.instance,
            incarnation: self.incarnation,
            ticket: append.ticket,
            operation,
        };
        Next::Append {
            ticket: append.ticket,
            body: record.encode(),
        }
    }

    fn finish_append(&mut self, now: Moment, ticket: u64) {
        if self
            .in_flight
            .take_if(|append| append.ticket == ticket)
            .is_some()
        {
            self.next_read_at = now;
            // There is no delay for a holder that is no longer a candidate. It
            // requests nothing but one release. An instance that stops while a
            // renewal is in flight could exit within the delay, and its
            // successor would have to wait for the whole lease to expire.
            if self.candidate {
                self.next_append_at = now + RETRY_DELAY;
            }
        }
    }

    // Handles a record that was just applied to the table, if it belongs to this
    // holder.
    fn apply_own_record(&mut self, now: Moment, offset: Offset, record: &Record) {
        let own = record.holder == self.instance && record.incarnation == self.incarnation;
        if !own || record.pool != self.pool {
            return;
        }
        let Some(index) = self
            .pending_appends
            .iter()
            .position(|sent| sent.ticket == record.ticket)
        else {
            return;
        };
        let sent = self.pending_appends.remove(index);
        let Some(current) = self.table.current(self.pool) else {
            return;
        };
        let expires_at = sent.sent_at + LEASE_DURATION;
        match record.operation {
            Operation::Acquire if current.fence == offset => {
                self.lease = Some(HeldLease {
                    fence: offset,
                    acquired_at: now,
                    expires_at,
                });
            }
            Operation::Renew(fence) if current.fence == fence => {
                if let Some(lease) = self.lease.as_mut().filter(|lease| lease.fence == fence) {
                    lease.expires_at = lease.expires_at.max(expires_at);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;

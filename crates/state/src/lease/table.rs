//! The fold of the lease stream.
//!
//! A reader of a truncated stream can't know what ran before. It is *unsure*
//! of a pool for a term after the first record it has, and each ask that it
//! meets meanwhile, which may have been granted, makes it unsure for another
//! term. So whatever an all-knowing reader takes for running, an unsure one
//! takes for possibly running, and a lease that both take for free is free.

use std::collections::BTreeMap;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{Incarnation, InstanceId, Offset};

use super::{LEASE_DURATION, Operation, Pool, Record};

/// The running leases, as the log has them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    next: Offset,
    time: Moment,
    gap: bool,
    // Until when an unseen lease may run, for pools not named in `unsure`.
    blind_until: Moment,
    unsure: BTreeMap<Pool, Moment>,
    current: BTreeMap<Pool, Lease>,
}

/// A lease that runs, or ran last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Who holds it.
    pub holder: InstanceId,
    /// The holder's life.
    pub incarnation: Incarnation,
    /// Its fencing number: the offset of the record that took it.
    pub fence: Offset,
    /// When it ends on the log's clock.
    pub expires_at: Moment,
}

impl Table {
    /// Returns an empty table before the stream's offset 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record to apply.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Returns the log's time of the last record applied.
    #[must_use]
    pub const fn log_time(&self) -> Moment {
        self.time
    }

    /// Returns the lease of a pool that runs or ran last.
    #[must_use]
    pub fn current(&self, pool: Pool) -> Option<&Lease> {
        self.current.get(&pool)
    }

    /// Returns until when, on the log's clock, a lease of the pool runs or may
    /// run unseen.
    #[must_use]
    pub fn busy_until(&self, pool: Pool) -> Moment {
        match self.current.get(&pool) {
            Some(current) => current.expires_at,
            None => self.unsure_until(pool),
        }
    }

    /// Goes on at `offset` because the records before it are gone.
    pub fn skip_to(&mut self, offset: Offset) {
        if offset > self.next {
            self.next = offset;
            self.gap = true;
        }
    }

    /// Applies the record at `offset`; offsets already applied are ignored,
    /// and `None` stands for bytes that are no record.
    ///
    /// # Panics
    ///
    /// Panics if an offset is left out without [`Table::skip_to`].
    pub fn apply(&mut self, offset: Offset, time: Moment, record: Option<&Record>) {
        if offset < self.next {
            return;
        }
        assert_eq!(offset, self.next, "a lease record was left out of the fold");
        self.next = offset.saturating_add(1);
        self.time = self.time.max(time);
        if self.gap {
            self.lose_sight();
        }
        if let Some(record) = record {
            self.apply_record(offset, record);
        }
    }

    fn apply_record(&mut self, offset: Offset, record: &Record) {
        match record.operation {
            Operation::Acquire => self.take(offset, record),
            Operation::Renew(fence) => self.renew(fence, record),
            Operation::Release(fence) => self.release(fence, record),
        }
    }

    // After a gap: what was known may have ended and been taken by others.
    fn lose_sight(&mut self) {
        self.gap = false;
        self.blind_until = self.time + LEASE_DURATION;
        for (pool, current) in std::mem::take(&mut self.current) {
            let until = current.expires_at.max(self.blind_until);
            self.unsure.insert(pool, until);
        }
    }

    fn take(&mut self, offset: Offset, record: &Record) {
        if self.is_unsure(record.pool) {
            self.unsure.insert(record.pool, self.time + LEASE_DURATION);
            return;
        }
        if self.runs(record.pool) {
            return;
        }
        let current = Lease {
            holder: record.holder,
            incarnation: record.incarnation,
            fence: offset,
            expires_at: self.time + LEASE_DURATION,
        };
        self.unsure.remove(&record.pool);
        self.current.insert(record.pool, current);
    }

    fn renew(&mut self, fence: Offset, record: &Record) {
        if self.is_unsure(record.pool) {
            self.unsure.insert(record.pool, self.time + LEASE_DURATION);
            return;
        }
        let expires_at = self.time + LEASE_DURATION;
        if let Some(current) = self.named(fence, record) {
            current.expires_at = expires_at;
        }
    }

    fn release(&mut self, fence: Offset, record: &Record) {
        let time = self.time;
        if let Some(current) = self.named(fence, record) {
            current.expires_at = time;
        }
    }

    // The running lease that the record names.
    fn named(&mut self, fence: Offset, record: &Record) -> Option<&mut Lease> {
        let time = self.time;
        self.current.get_mut(&record.pool).filter(|current| {
            current.fence == fence
                && current.holder == record.holder
                && current.incarnation == record.incarnation
                && time < current.expires_at
        })
    }

    fn runs(&self, pool: Pool) -> bool {
        let current = self.current.get(&pool);
        current.is_some_and(|current| self.time < current.expires_at)
    }

    fn is_unsure(&self, pool: Pool) -> bool {
        if self.current.contains_key(&pool) {
            return false;
        }
        self.time < self.unsure_until(pool)
    }

    fn unsure_until(&self, pool: Pool) -> Moment {
        let until = self.unsure.get(&pool).copied();
        until.unwrap_or(self.blind_until)
    }
}

#[cfg(test)]
mod tests;

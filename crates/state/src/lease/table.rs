//! The leases of all pools, folded from the lease stream.
//!
//! A reader of a truncated stream cannot know which leases were granted before
//! its first record. It is *uncertain* about each pool for one
//! [`LEASE_DURATION`] after that record. Each acquisition or renewal that it
//! reads meanwhile may have been granted, and keeps it uncertain for another
//! [`LEASE_DURATION`]. A lease that is valid for a reader of the whole stream is
//! therefore possibly valid for an uncertain one, and a pool that an uncertain
//! reader considers free is free.

use std::collections::BTreeMap;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{Incarnation, InstanceId, Offset};

use super::{LEASE_DURATION, Operation, Pool, Record};

/// The latest lease of each pool, by the records applied so far.
#[derive(Clone, Debug, Default)]
pub struct Table {
    next_offset: Offset,
    log_time: Moment,
    after_gap: bool,
    // Until when an unknown lease may be valid, for pools without an entry in
    // `uncertain`.
    unlisted_uncertain_until: Moment,
    uncertain: BTreeMap<Pool, Moment>,
    current: BTreeMap<Pool, Lease>,
}

/// The current lease of a pool, or its last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The instance that holds the lease.
    pub holder: InstanceId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// The fencing number: the offset of the record that acquired the lease.
    pub fence: Offset,
    /// When the lease expires, by the log's clock.
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
        self.next_offset
    }

    /// Returns the log time of the last record applied.
    #[must_use]
    pub const fn log_time(&self) -> Moment {
        self.log_time
    }

    /// Returns the current lease of a pool, or its last one.
    #[must_use]
    pub fn current(&self, pool: Pool) -> Option<&Lease> {
        self.current.get(&pool)
    }

    /// Returns until when, by the log's clock, a lease of the pool is valid or an
    /// unknown one may be.
    #[must_use]
    pub fn busy_until(&self, pool: Pool) -> Moment {
        match self.current.get(&pool) {
            Some(current) => current.expires_at,
            None => self.uncertain_until(pool),
        }
    }

    /// Continues at `offset` because the records before it cannot be read.
    pub fn skip_to(&mut self, offset: Offset) {
        if offset > self.next_offset {
            self.next_offset = offset;
            self.after_gap = true;
        }
    }

    /// Applies the record at `offset`. Ignores offsets that are already applied.
    /// `None` stands for bytes that are not a lease record.
    ///
    /// # Panics
    ///
    /// Panics if an offset is skipped without [`Table::skip_to`].
    pub fn apply(&mut self, offset: Offset, time: Moment, record: Option<&Record>) {
        if offset < self.next_offset {
            return;
        }
        assert_eq!(
            offset, self.next_offset,
            "a lease record was skipped without skip_to"
        );
        self.next_offset = offset.saturating_add(1);
        self.log_time = self.log_time.max(time);
        if self.after_gap {
            self.mark_uncertain();
        }
        if let Some(record) = record {
            self.apply_record(offset, record);
        }
    }

    fn apply_record(&mut self, offset: Offset, record: &Record) {
        match record.operation {
            Operation::Acquire => self.apply_acquire(offset, record),
            Operation::Renew(fence) => self.apply_renew(fence, record),
            Operation::Release(fence) => self.apply_release(fence, record),
        }
    }

    // Called after a gap, in which known leases may have ended and other
    // instances may have acquired new ones.
    fn mark_uncertain(&mut self) {
        self.after_gap = false;
        self.unlisted_uncertain_until = self.log_time + LEASE_DURATION;
        for (pool, current) in std::mem::take(&mut self.current) {
            let until = current.expires_at.max(self.unlisted_uncertain_until);
            self.uncertain.insert(pool, until);
        }
    }

    fn apply_acquire(&mut self, offset: Offset, record: &Record) {
        if self.is_uncertain(record.pool) {
            self.uncertain
                .insert(record.pool, self.log_time + LEASE_DURATION);
            return;
        }
        if self.has_valid_lease(record.pool) {
            return;
        }
        let current = Lease {
            holder: record.holder,
            incarnation: record.incarnation,
            fence: offset,
            expires_at: self.log_time + LEASE_DURATION,
        };
        self.uncertain.remove(&record.pool);
        self.current.insert(record.pool, current);
    }

    fn apply_renew(&mut self, fence: Offset, record: &Record) {
        if self.is_uncertain(record.pool) {
            self.uncertain
                .insert(record.pool, self.log_time + LEASE_DURATION);
            return;
        }
        let expires_at = self.log_time + LEASE_DURATION;
        if let Some(current) = self.valid_lease_mut(fence, record) {
            current.expires_at = expires_at;
        }
    }

    fn apply_release(&mut self, fence: Offset, record: &Record) {
        let time = self.log_time;
        if let Some(current) = self.valid_lease_mut(fence, record) {
            current.expires_at = time;
        }
    }

    // Returns the valid lease that the record refers to.
    fn valid_lease_mut(&mut self, fence: Offset, record: &Record) -> Option<&mut Lease> {
        let time = self.log_time;
        self.current.get_mut(&record.pool).filter(|current| {
            current.fence == fence
                && current.holder == record.holder
                && current.incarnation == record.incarnation
                && time < current.expires_at
        })
    }

    fn has_valid_lease(&self, pool: Pool) -> bool {
        let current = self.current.get(&pool);
        current.is_some_and(|current| self.log_time < current.expires_at)
    }

    fn is_uncertain(&self, pool: Pool) -> bool {
        if self.current.contains_key(&pool) {
            return false;
        }
        self.log_time < self.uncertain_until(pool)
    }

    fn uncertain_until(&self, pool: Pool) -> Moment {
        let until = self.uncertain.get(&pool).copied();
        until.unwrap_or(self.unlisted_uncertain_until)
    }
}

#[cfg(test)]
mod tests;

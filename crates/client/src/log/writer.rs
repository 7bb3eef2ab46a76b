//! Retries appends through rejections, outages and lost responses.
//!
//! Each record must contain a unique id, so that records with equal bytes are
//! the same record. After a lost response, the writer reads the stream back and
//! compares bytes to find out whether the append took effect. A record that is
//! not found is appended again. If the first append takes effect late after all,
//! every reader treats the second record as a duplicate.
//!
//! While the log fails, only one record at a time is retried.
//!
//! Memory is bounded: accepted records are never dropped, and a record that
//! would exceed the bound is rejected at once as not appended. The newest record
//! is rejected because its caller has waited least and can still react.

mod attempt;
mod error;
mod place;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::sync::Notify;

use self::attempt::{Attempt, SearchResult, Step};
pub use self::error::Error;
use self::place::Reservation;
use super::backoff::Backoff;
use super::budget::Budget;
use super::gate::{Admission, Gate};
use super::{Appended, Client, read};
use crate::timer::Timer;

/// Maximum number of records per read when reading back.
const READ_BACK_PAGE_RECORDS: usize = 1000;

/// Limits of a [`Writer`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Appends per second. The instances of the fleet share several hundred.
    pub rate: f64,
    /// Appends that may be made at once after an idle period.
    pub burst: u32,
    /// Maximum number of records that wait or are being appended.
    pub max_records: usize,
    /// Maximum size of these records together.
    pub max_bytes: usize,
    /// The shortest pause between attempts.
    pub min_pause: Duration,
    /// The longest pause between attempts.
    pub max_pause: Duration,
    /// The seed of the pauses; each instance has its own.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // Six instances together stay below a hundred of the several
            // hundred appends per second that the log accepts.
            rate: 15.0,
            burst: 15,
            max_records: 1024,
            max_bytes: 16 * 1024 * 1024,
            min_pause: Duration::from_millis(50),
            max_pause: Duration::from_secs(5),
            seed: 0,
        }
    }
}

/// Appends to the log within a budget. Clones share the budget.
#[derive(Clone, Debug)]
pub struct Writer {
    client: Client,
    timer: Timer,
    settings: Arc<Settings>,
    state: Arc<Mutex<State>>,
    // Wakes the appends held back by the gate once the log works again.
    gate_opened: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    gate: Gate,
    random: StdRng,
    records: usize,
    bytes: usize,
    // By stream, an offset below which no record of a later append can be found.
    read_up_to: BTreeMap<String, Offset>,
}

impl Writer {
    /// Creates a writer.
    ///
    /// # Panics
    ///
    /// Panics if the settings' rate or burst isn't above zero.
    #[must_use]
    pub fn new(client: Client, timer: Timer, settings: Settings) -> Self {
        let state = State {
            budget: Budget::new(settings.rate, settings.burst),
            gate: Gate::new(Backoff::new(settings.min_pause, settings.max_pause)),
            random: StdRng::seed_from_u64(settings.seed),
            records: 0,
            bytes: 0,
            read_up_to: BTreeMap::new(),
        };
        Self {
            client,
            timer,
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
            gate_opened: Arc::default(),
        }
    }

    /// Appends a record that contains a unique id.
    ///
    /// Retries until `deadline`; a call in progress then may take a little
    /// longer. The returned offset is that of a record with these bytes. After a
    /// lost response it need not be the first of them.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the append failed. Only with [`Error::Unknown`] may the
    /// record be in the log.
    pub async fn append(
        &self,
        stream: &str,
        body: Bytes,
        deadline: Moment,
    ) -> Result<Appended, Error> {
        let _reservation = Reservation::acquire(self, body.len())?;
        let from = self.lock().read_up_to.get(stream).copied().unwrap_or(0);
        let pauses = Backoff::new(self.settings.min_pause, self.settings.max_pause);
        let mut attempt = Attempt::new(deadline, pauses);
        let mut next = Step::Append(self.timer.now());
        loop {
            next = match next {
                Step::Append(at) => {
                    self.timer.sleep_until(at).await;
                    self.try_append(stream, &body, &mut attempt).await
                }
                Step::ReadBack => self.try_read_back(stream, &body, from, &mut attempt).await,
                Step::Done(appended) => return Ok(appended),
                Step::Failed(error) => return Err(error),
            };
        }
    }

    /// Records that a stream has been read up to `next`, so that reading back
    /// after a lost response need not start at the beginning of the stream.
    pub fn record_read_up_to(&self, stream: &str, next: Offset) {
        let mut state = self.lock();
        let offset = state.read_up_to.entry(stream.to_owned()).or_default();
        *offset = next.max(*offset);
    }

    async fn try_append(&self, stream: &str, body: &Bytes, attempt: &mut Attempt) -> Step {
        if !self.wait_for_slot(attempt.deadline()).await {
            return attempt.give_up_waiting();
        }
        match self.client.append(stream, body.clone()).await {
            Ok(appended) => {
                self.record_success();
                self.record_read_up_to(stream, appended.offset + 1);
                Step::Done(appended)
            }
            Err(error) => {
                if !error.is_permanent() {
                    self.record_failure();
                }
                attempt.record_failure(self.timer.now(), error)
            }
        }
    }

    async fn try_read_back(
        &self,
        stream: &str,
        body: &Bytes,
        from: Offset,
        attempt: &mut Attempt,
    ) -> Step {
        if !self.wait_for_gate(attempt.deadline()).await {
            return attempt.give_up_waiting();
        }
        let found = self.find_record(stream, body, from).await;
        match &found {
            Ok(_) => self.record_success(),
            Err(error) => {
                ::log::debug!(error:% = error; "reading back failed");
                self.record_failure();
            }
        }
        let now = self.timer.now();
        attempt.record_read_back(now, found.ok(), &mut self.lock().random)
    }

    /// Waits for a slot in the budget while the gate is open. Returns false if none
    /// is due by the deadline.
    async fn wait_for_slot(&self, deadline: Moment) -> bool {
        loop {
            if !self.wait_for_gate(deadline).await {
                return false;
            }
            let now = self.timer.now();
            let Some(slot) = self.lock().budget.reserve(now, deadline) else {
                return false;
            };
            if slot <= now {
                return true;
            }
            // The log may fail before the slot is due. The slot is then lost,
            // which does not matter during an outage.
            self.timer.sleep_until(slot).await;
            if self.lock().gate.is_open() {
                return true;
            }
        }
    }

    /// Waits until the gate permits a call. Returns false if that would be after
    /// the deadline.
    async fn wait_for_gate(&self, deadline: Moment) -> bool {
        loop {
            // Created before checking the gate, so that no opening is missed.
            let gate_opened = self.gate_opened.notified();
            let now = self.timer.now();
            let admission = {
                let state = &mut *self.lock();
                state.gate.try_pass(now, &mut state.random)
            };
            match admission {
                Admission::Allowed => return true,
                Admission::RetryAt(at) if at > deadline => return false,
                Admission::RetryAt(at) => {
                    tokio::select! {
                        () = self.timer.sleep_until(at) => {}
                        () = gate_opened => {}
                    }
                }
            }
        }
    }

    fn record_success(&self) {
        if self.lock().gate.record_success() {
            self.gate_opened.notify_waiters();
        }
    }

    fn record_failure(&self) {
        let now = self.timer.now();
        let state = &mut *self.lock();
        state.gate.record_failure(now, &mut state.random);
    }

    /// Searches for a record with these bytes from an offset to the end of the
    /// stream.
    async fn find_record(
        &self,
        stream: &str,
        body: &Bytes,
        from: Offset,
    ) -> Result<SearchResult, read::Error> {
        let mut next = from;
        loop {
            let page = self
                .client
                .read(stream, next, READ_BACK_PAGE_RECORDS, Duration::ZERO)
                .await?;
            if let Some(record) = page.records.iter().find(|record| record.body == *body) {
                return Ok(SearchResult::Found(Appended {
                    offset: record.offset,
                    time: record.time,
                }));
            }
            if page.records.is_empty() {
                return Ok(SearchResult::Missing);
            }
            next = page.next;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No code can panic in the middle of an update while holding the lock.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

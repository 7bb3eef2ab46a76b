//! Runs the batchers of `godwitpost_state::claim` against the log.
//!
//! Instances may disagree on which instances are live, so any instance may be
//! asked to batch any partition. A partition without claims is dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::log::{Appended, Client, append, read};
use godwitpost_state::claim::{
    self, AppendFailure, Batcher, Id, Item, Next, StoredRecord, Verdict,
};
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::policy::Policy;
use tokio::sync::oneshot;

use super::{Control, Event};

/// How long a partition without claims is retained.
const MAX_IDLE: Duration = Duration::from_mins(10);

/// Claim window until a bundle is known; no claims arrive before that.
const DEFAULT_CLAIM_WINDOW: Duration = Duration::from_mins(15);

/// The batchers of this instance.
#[derive(Debug, Default)]
pub(super) struct Batchers {
    partitions: BTreeMap<u16, PartitionBatcher>,
    window: Option<Duration>,
}

#[derive(Debug)]
struct PartitionBatcher {
    batcher: Batcher,
    waiters: BTreeMap<Id, Vec<oneshot::Sender<Verdict>>>,
    last_use: Moment,
}

/// The log's response to a batcher's call.
#[derive(Debug)]
pub(crate) struct CallResult {
    partition: u16,
    call: Call,
}

#[derive(Debug)]
enum Call {
    Appended(u64, Result<Appended, append::Error>),
    Read(u32, Result<godwitpost_client::log::Page, read::Error>),
}

impl Batchers {
    pub(super) fn set_window(&mut self, policy: Option<&Policy>) {
        self.window = policy.map(|policy| policy.claim_window);
        for part in self.partitions.values_mut() {
            part.batcher
                .set_window(self.window.unwrap_or(DEFAULT_CLAIM_WINDOW));
        }
    }

    fn partition_entry(&mut self, partition: u16, now: Moment) -> &mut PartitionBatcher {
        let window = self.window.unwrap_or(DEFAULT_CLAIM_WINDOW);
        let part = self
            .partitions
            .entry(partition)
            .or_insert_with(|| PartitionBatcher {
                batcher: Batcher::new(window),
                waiters: BTreeMap::new(),
                last_use: now,
            });
        part.last_use = now;
        part
    }
}

impl Control {
    pub(super) fn submit_claim(
        &mut self,
        now: Moment,
        item: Item,
        reply: oneshot::Sender<Verdict>,
    ) {
        let partition = claim::partition(item.key());
        let part = self.batchers.partition_entry(partition, now);
        if let Item::Claim(record) = &item {
            part.waiters.entry(record.id).or_default().push(reply);
        }
        part.batcher.submit(now, item);
        self.pump_batcher(now, partition);
    }

    pub(super) fn apply_batcher_call(&mut self, now: Moment, result: CallResult) {
        let part = self.batchers.partition_entry(result.partition, now);
        match result.call {
            Call::Appended(ticket, Ok(at)) => {
                part.batcher.appended(now, ticket, at.offset, at.time);
            }
            Call::Appended(ticket, Err(error)) => {
                log::debug!(error:% = error; "could not append claims to the log");
                let failure = if error.may_have_taken_effect() {
                    AppendFailure::Unknown
                } else {
                    AppendFailure::NotApplied
                };
                part.batcher.append_failed(now, ticket, failure);
            }
            Call::Read(limit, Ok(page)) => part.batcher.apply_page(now, &page_of(page, limit)),
            Call::Read(_, Err(error)) => {
                log::debug!(error:% = error; "could not read claims from the log");
                part.batcher.read_failed(now);
            }
        }
        self.pump_batcher(now, result.partition);
    }

    pub(super) fn pump_batchers(&mut self, now: Moment) {
        let idle = |part: &PartitionBatcher| {
            since(now, part.last_use) > MAX_IDLE && part.waiters.is_empty()
        };
        self.batchers.partitions.retain(|_, part| !idle(part));
        let partitions: Vec<u16> = self.batchers.partitions.keys().copied().collect();
        for partition in partitions {
            self.pump_batcher(now, partition);
        }
    }

    fn pump_batcher(&mut self, now: Moment, partition: u16) {
        let Some(part) = self.batchers.partitions.get_mut(&partition) else {
            return;
        };
        loop {
            match part.batcher.next(now) {
                Next::Append { ticket, body } => {
                    let (log, events) = (self.io.claim_log.clone(), self.io.events.clone());
                    tokio::spawn(async move {
                        let call = append(&log, partition, ticket, body).await;
                        let result = CallResult { partition, call };
                        drop(events.send(Event::BatcherCall(result)).await);
                    });
                }
                Next::Read { from, limit } => {
                    let (log, events) = (self.io.claim_log.clone(), self.io.events.clone());
                    tokio::spawn(async move {
                        let call = read(&log, partition, from, limit).await;
                        let result = CallResult { partition, call };
                        drop(events.send(Event::BatcherCall(result)).await);
                    });
                }
                Next::Reply { id, verdict } => {
                    for reply in part.waiters.remove(&id).unwrap_or_default() {
                        super::send_reply(reply, verdict);
                    }
                }
                // The control thread's tick has the same period as the
                // batches, so no timer is needed.
                Next::Wait(_) => return,
            }
        }
    }
}

async fn append(log: &Client, partition: u16, ticket: u64, body: Vec<u8>) -> Call {
    let stream = claim::stream_name(partition);
    Call::Appended(ticket, log.append(&stream, Bytes::from(body)).await)
}

async fn read(log: &Client, partition: u16, from: u64, limit: u32) -> Call {
    let stream = claim::stream_name(partition);
    let page = log
        .read(&stream, from, limit as usize, Duration::ZERO)
        .await;
    Call::Read(limit, page)
}

// The client's `next` is the offset to continue from; the batcher's is the end
// of the stream. They are equal unless the page is full and more may follow.
pub(super) fn page_of(page: godwitpost_client::log::Page, limit: u32) -> claim::Page {
    let full = page.records.len() >= limit as usize;
    let records = page.records.into_iter().map(|record| StoredRecord {
        offset: record.offset,
        time: record.time,
        body: record.body.to_vec(),
    });
    claim::Page {
        first: page.first,
        next: page.next + u64::from(full),
        records: records.collect(),
    }
}

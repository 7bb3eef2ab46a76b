//! Writes to the log where streams began, and reads it after a start.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use godwitpost_client::clock::boot_time;
use godwitpost_types::clock::since;

use crate::kept::{Next, Reading, WRITE_INTERVAL, encode, streams_of};
use crate::relay::pass_on;
use crate::shared::Shared;
use crate::source::{OwnTopic, ReadError};

/// How long the first streams after a while wait for others. When a second build appears, all
/// instances tell of theirs.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// The pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// How often reading is tried. Streams may be taken up for a few seconds more only.
const MAX_ATTEMPTS: u32 = 5;

/// Writes the streams that this instance is told to keep. Never returns.
pub(super) async fn write(topic: Arc<OwnTopic>, shared: Arc<Shared>) {
    loop {
        shared.unwritten_added().notified().await;
        tokio::time::sleep(GATHER_TIME).await;
        while !shared.unwritten().is_empty() {
            let pause = if write_batch(&topic, &shared).await {
                WRITE_INTERVAL
            } else {
                RETRY_PAUSE
            };
            tokio::time::sleep(pause).await;
        }
    }
}

// Returns whether the log took the batch.
async fn write_batch(topic: &OwnTopic, shared: &Arc<Shared>) -> bool {
    let batch = shared.unwritten().batch(boot_time());
    let bytes = match encode(&batch, SystemTime::now()) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "where streams began can't be encoded");
            shared.unwritten().record_written(&batch);
            return true;
        }
    };
    let written = (topic.append)(bytes).await;
    let streams = shared.metrics.streams();
    streams.count_written(batch.len(), written.is_ok());
    let Err(error) = &written else {
        shared.unwritten().record_written(&batch);
        return true;
    };
    log::warn!(streams = batch.len(), cause:% = error; "where streams began can't be written to the log");
    let (passed_on, dropped) = {
        let mut unwritten = shared.unwritten();
        (unwritten.take_to_pass_on(boot_time()), unwritten.dropped())
    };
    streams.record_unwritten_dropped(dropped);
    pass_on(shared, passed_on).await;
    false
}

/// Reads where streams began before this instance did.
pub(super) async fn read(topic: Arc<OwnTopic>, shared: Arc<Shared>) {
    for _ in 0..MAX_ATTEMPTS {
        match read_once(&topic, &shared).await {
            Ok(()) => return,
            Err(error) => log::warn!(cause:% = error; "where streams began can't be read"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn read_once(topic: &OwnTopic, shared: &Shared) -> Result<(), ReadError> {
    let started_at = boot_time();
    let retention = shared.builds().retention();
    let mut reading = Reading::new(shared.settings.seeds.len(), retention);
    let mut from = reading.start();
    let (mut count, mut undecoded_count) = (0, 0);
    loop {
        let tail = (topic.read)(from, Duration::ZERO).await?.body;
        let (streams, undecoded) = streams_of(&tail, SystemTime::now());
        count += streams.len();
        undecoded_count += undecoded;
        let now = boot_time();
        {
            let mut origins = shared.origins();
            for record in &streams {
                origins.record_told(record, now);
            }
        }
        match reading.handle(&tail) {
            Next::Read(offset) => from = offset,
            Next::Done => break,
            Next::GiveUp => return Err(ReadError::Garbled("no end of the topic".to_owned())),
        }
    }
    shared.metrics.streams().count_kept_read(count);
    log::info!(
        streams = count, undecoded = undecoded_count, calls = reading.reads(),
        took_ms = since(boot_time(), started_at).as_millis();
        "where streams began read from the log"
    );
    Ok(())
}

//! Has streams that begin here kept in the log: a seed, drawn by the stream, writes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use godwitpost_client::clock::boot_time;
use tokio::task::JoinSet;

use super::origin::send;
use crate::kept::KeepRequest;
use crate::members::drawn;
use crate::origins::Record;
use crate::shared::Shared;

/// The path of a [`KeepRequest`] to a seed.
pub(super) const KEEP_PATH: &str = "/peer/v1/kept-origins";

/// How many seeds are asked to keep a stream, one after the other, until one does.
const MAX_SEEDS_ASKED: usize = 2;

/// Has a seed write each of these streams.
pub(super) async fn keep(shared: Arc<Shared>, records: Vec<Record>) {
    let mut left = records;
    for turn in 0..MAX_SEEDS_ASKED {
        let mut by_seed: BTreeMap<SocketAddr, Vec<Record>> = BTreeMap::new();
        let (mut own, mut unasked) = (Vec::new(), Vec::new());
        for record in left.drain(..) {
            match keeper(&shared, &record, turn) {
                Keeper::This => own.push(record),
                Keeper::Other(seed) => by_seed.entry(seed).or_default().push(record),
                Keeper::None => unasked.push(record),
            }
        }
        keep_here(&shared, &told(own));
        let mut askings = JoinSet::new();
        for (seed, records) in by_seed {
            askings.spawn(ask_to_keep(Arc::clone(&shared), seed, told(records)));
        }
        let refused = askings.join_all().await.into_iter().flatten();
        left.extend(refused.flat_map(|request| request.streams));
        left.extend(unasked);
        if left.is_empty() {
            return;
        }
    }
    log::info!(streams = left.len(); "no seed could be asked to keep where streams began");
    let mut origins = shared.origins();
    for record in &left {
        origins.put_back_unkept(record.stream);
    }
}

/// Asks the other seeds to write streams that this one could not.
pub(crate) async fn pass_on(shared: &Arc<Shared>, records: Vec<Record>) {
    if records.is_empty() {
        return;
    }
    let request = KeepRequest {
        streams: records,
        is_passed_on: true,
    };
    let mut askings = JoinSet::new();
    for seed in shared.settings.other_seeds() {
        askings.spawn(ask_to_keep(Arc::clone(shared), seed, request.clone()));
    }
    askings.join_all().await;
}

const fn told(streams: Vec<Record>) -> KeepRequest {
    KeepRequest {
        streams,
        is_passed_on: false,
    }
}

enum Keeper {
    This,
    Other(SocketAddr),
    None,
}

// Returns the seed that is asked first, second and so on. An instance without seeds keeps its
// streams itself.
fn keeper(shared: &Shared, record: &Record, turn: usize) -> Keeper {
    let seeds = &shared.settings.seeds;
    if seeds.is_empty() {
        return Keeper::This;
    }
    match drawn(seeds.clone(), record.stream).get(turn) {
        Some(seed) if Some(*seed) == shared.settings.listen.peers => Keeper::This,
        Some(seed) => Keeper::Other(*seed),
        None => Keeper::None,
    }
}

/// Adds streams to those that this instance writes.
pub(super) fn keep_here(shared: &Shared, request: &KeepRequest) {
    if !request.streams.is_empty() {
        shared.unwritten().add(request, boot_time());
        shared.unwritten_added().notify_one();
    }
}

// Returns the request if the seed does not take it.
async fn ask_to_keep(
    shared: Arc<Shared>,
    seed: SocketAddr,
    request: KeepRequest,
) -> Option<KeepRequest> {
    let Err(error) = send(&shared, seed, KEEP_PATH, &request).await else {
        return None;
    };
    log::info!(
        seed:% = seed, streams = request.streams.len(), error:% = error;
        "seed could not be asked to keep where streams began"
    );
    Some(request)
}

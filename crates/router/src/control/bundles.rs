//! Follows the bundle stream, and fetches bundles from peers.

use std::sync::Arc;

use bytes::Bytes;
use godwitpost_bundle::fold::Next;
use godwitpost_bundle::record::STREAM;
use godwitpost_bundle::snapshot::{Snapshot, Update};
use godwitpost_client::connect::Connector;
use godwitpost_client::log::Record;
use godwitpost_client::log::follower::{self, Follower};
use godwitpost_types::id::{InstanceId, Version};
use godwitpost_types::instance::Instance;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use super::{Control, Event, Io, PLATFORM_CALL_TIMEOUT};
use crate::body;
use crate::relay::peer;
use crate::shared::Shared;

/// Path for fetching bundles from peers; `?since=` is the version held.
pub(crate) const PATH: &str = "/peer/v1/bundle";

/// Limit on the size of a bundle from a peer. 8,900 workspaces of 100 bytes
/// each are under a megabyte.
const MAX_BUNDLE_BYTES: usize = 64 << 20;

/// Records requested per read; a response with fewer is the end of the stream.
const PAGE_RECORDS: usize = 1000;

/// A bundle as sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
enum PeerBundle {
    /// The latest changes, for a peer that is a few versions behind.
    Update(Update),
    /// The complete bundle.
    Snapshot(Box<Snapshot>),
}

/// Follows the bundle stream until the control thread ends.
///
/// The long poll returns a new bundle within a round trip of its append. While
/// the log is down, bundles are fetched from peers.
pub(super) async fn follow(io: Io) {
    let settings = follower::Settings {
        limit: PAGE_RECORDS,
        seed: io.shared.local(),
        ..follower::Settings::default()
    };
    let mut follower = Follower::new(io.log.clone(), io.timer.clone(), settings, STREAM, 0);
    loop {
        let records = match follower.next().await {
            follower::Event::Records(records) => records,
            follower::Event::Idle => Vec::new(),
            // The fold detects a gap by the offset of the next record.
            follower::Event::Gap { .. } => continue,
            follower::Event::ReadFailed(error) => {
                log::debug!(error:% = error; "could not read the bundle stream");
                continue;
            }
        };
        if io.events.send(Event::BundleRecords(records)).await.is_err() {
            return;
        }
    }
}

impl Control {
    pub(super) fn apply_bundle_records(&mut self, records: &[Record]) {
        for record in records {
            let next = self.fold.apply(record.offset, record.time, &record.body);
            Self::log_fold_result(&next);
        }
        self.ready
            .record_read(&self.fold, records.len() < PAGE_RECORDS);
        self.publish();
    }

    /// Fetches the bundle from an instance if it holds a newer version.
    pub(super) fn fetch_newer_bundle(&mut self, instance: InstanceId, version: Version) {
        if self.fetching_bundle || version <= self.fold.version() {
            return;
        }
        let Some(instance) = self.shared.snapshot().view.instance(instance).cloned() else {
            return;
        };
        self.fetching_bundle = true;
        let (shared, io) = (Arc::clone(&self.shared), self.io.clone());
        let version = self.fold.version();
        tokio::spawn(async move {
            let bytes = fetch(&shared, &io.peers, &instance, version).await;
            drop(io.events.send(Event::BundleFetched(bytes)).await);
        });
    }

    pub(super) fn apply_fetched_bundle(&mut self, bytes: Option<Bytes>) {
        self.fetching_bundle = false;
        let Some(bytes) = bytes else { return };
        let next = match rmp_serde::from_slice(&bytes) {
            Ok(PeerBundle::Update(update)) => self.fold.apply_update(&update),
            Ok(PeerBundle::Snapshot(snapshot)) => self.fold.apply_snapshot(*snapshot),
            Err(error) => {
                log::warn!(error:% = error; "can't decode a bundle from a peer");
                return;
            }
        };
        match next {
            Ok(next) => {
                Self::log_fold_result(&next);
                self.ready.record_peer(&self.fold);
            }
            Err(refusal) => Self::log_fold_result(&Next::Refused(refusal)),
        }
        self.publish();
    }

    /// Returns the bundle, or its changes, for a peer that holds `version`.
    ///
    /// Returns `None` while this instance is still reading the stream, because
    /// it knows only old versions until then.
    pub(super) fn bundle_for_peer(&self, version: Version) -> Option<Bytes> {
        if !self.ready.get() {
            return None;
        }
        let update = self.fold.update(version).filter(|_| version > 0);
        let bundle = match update {
            Some(update) => PeerBundle::Update(update),
            None => PeerBundle::Snapshot(Box::new(self.fold.snapshot()?)),
        };
        rmp_serde::to_vec(&bundle).ok().map(Bytes::from)
    }

    fn log_fold_result(next: &Next) {
        match next {
            Next::InForce(version) => log::info!(version = version; "bundle version applied"),
            Next::Refused(refusal) => log::warn!(reason:% = refusal; "bundle refused"),
            Next::Waiting => log::warn!("bundle records missing from the log; waiting for peers"),
            Next::Ignored => {}
        }
    }
}

async fn fetch(
    shared: &Shared,
    connector: &Connector,
    instance: &Instance,
    version: Version,
) -> Option<Bytes> {
    let path = format!("{PATH}?since={version}");
    let request = peer::sealed(shared, instance, Method::GET, &path, &Bytes::new());
    let sent = connector.send(instance.peer_address, request, PLATFORM_CALL_TIMEOUT);
    let response = sent.await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let read = body::collect(response.into_body(), MAX_BUNDLE_BYTES);
    let bytes = tokio::time::timeout(PLATFORM_CALL_TIMEOUT, read)
        .await
        .ok()?
        .ok()?;
    Some(bytes)
}

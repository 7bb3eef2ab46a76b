//! Appends the current bundle again before the log drops its records.

use std::sync::Arc;

use bytes::Bytes;
use godwitpost_bundle::record::{self, STREAM};
use godwitpost_bundle::renew::{self, Next, View};
use godwitpost_types::clock::Moment;

use super::{Control, Event};

impl Control {
    /// Appends a checkpoint if one is due and it is this instance's turn.
    pub(super) fn renew_bundle(&mut self, now: Moment) {
        if self.renewal_running || renew::decide(&self.renewal_view(now)) != Next::Append {
            return;
        }
        let Some(snapshot) = self.fold.snapshot() else {
            return;
        };
        self.renewal_running = true;
        self.last_renewal = Some(now);
        let io = self.io.clone();
        let records = record::checkpoint(&snapshot);
        log::info!(version = snapshot.version(), records = records.len(); "renewing the bundle");
        tokio::spawn(async move {
            for record in records {
                let Ok(bytes) = record.encode() else { break };
                // If a record may be missing, the checkpoint is incomplete. It
                // is tried again unless a complete one appears.
                if let Err(error) = io.log.append(STREAM, Bytes::from(bytes)).await {
                    log::warn!(error:% = error; "could not append a bundle checkpoint");
                    break;
                }
            }
            drop(io.events.send(Event::RenewalEnded).await);
        });
    }

    fn renewal_view(&self, now: Moment) -> View {
        let snapshot = Arc::clone(&self.shared.snapshot().view);
        let own = self.shared.local();
        let before = snapshot.instances().take_while(|i| i.id != own).count();
        View {
            now,
            retention: self.shared.settings.platform.retention,
            anchor: self.fold.anchor().filter(|_| self.ready.get()),
            next: self.fold.next_offset(),
            tried: self.last_renewal,
            rank: u32::try_from(before).unwrap_or(u32::MAX),
        }
    }
}

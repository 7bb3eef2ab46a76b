//! One instance: its fold, its pauses, and the checkpoint in its hand.

use std::time::Duration;

use godwitpost_bundle::fold::Fold;
use godwitpost_bundle::ready::Ready;
use godwitpost_bundle::record;
use godwitpost_bundle::renew::{self, Next, View};
use godwitpost_bundle::snapshot::Snapshot;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Version;

use super::Weakness;
use super::operators::new_fold;
use super::stream::Stream;

/// What a peer hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Handed {
    Snapshot,
    Update,
    /// An update whose last change is damaged on the way.
    BrokenUpdate,
}

#[derive(Clone, Debug)]
pub(super) struct Instance {
    pub fold: Fold,
    ready: Ready,
    // It counts as ready although the rules say no.
    careless: bool,
    paused: u32,
    tried: Option<Moment>,
    in_hand: Option<Snapshot>,
    // Records that a fold which ignores gaps has skipped.
    skipped: u64,
}

impl Instance {
    pub fn new() -> Self {
        Self {
            fold: new_fold(),
            ready: Ready::default(),
            careless: false,
            paused: 0,
            tried: None,
            in_hand: None,
            skipped: 0,
        }
    }

    pub fn pause(&mut self, steps: u32) {
        self.paused = self.paused.max(steps);
    }

    pub const fn awake(&self) -> bool {
        self.paused == 0
    }

    /// Lets a pause come nearer to its end; returns whether it is over.
    pub const fn wake(&mut self) -> bool {
        self.paused = self.paused.saturating_sub(1);
        self.awake()
    }

    /// Returns whether it handles requests.
    pub fn serves(&self) -> bool {
        self.fold.version() > 0 && (self.ready.get() || self.careless)
    }

    pub fn version(&self) -> Option<Version> {
        self.serves().then(|| self.fold.version())
    }

    /// Returns whether its place on the stream can be held against a reader
    /// of every record.
    pub const fn placed(&self) -> bool {
        !self.fold.has_gap() && self.skipped == 0
    }

    pub fn read(&mut self, stream: &Stream, most: usize, weakness: Weakness) {
        if !self.awake() || !stream.up() {
            return;
        }
        let wanted = self.fold.next_offset() + self.skipped;
        for (offset, time, bytes) in stream.read(wanted, most) {
            if weakness == Weakness::IgnoresGaps && self.fold.version() > 0 {
                self.skipped = self.skipped.max(offset - self.fold.next_offset());
            }
            self.fold.apply(offset - self.skipped, time, bytes);
        }
        let end = self.fold.next_offset() + self.skipped >= stream.next();
        self.ready.record_read(&self.fold, end);
        self.careless |= match weakness {
            Weakness::ServesEarly => true,
            Weakness::ReadyOnEmpty => end && !self.fold.has_gap(),
            _ => false,
        };
    }

    pub fn hear(&mut self, peer: &Self, handed: Handed, weakness: Weakness) {
        let snapshot = peer.fold.snapshot();
        if weakness == Weakness::AdoptsAny && snapshot.is_some() {
            self.fold = new_fold();
        }
        let update = peer.fold.update(self.fold.version());
        let taken = match (update, snapshot) {
            (Some(update), _) if handed == Handed::Update => self.fold.apply_update(&update),
            (Some(mut update), _) if handed == Handed::BrokenUpdate => {
                if let Some(last) = update.changes.last_mut() {
                    last.0.truncate(100);
                }
                self.fold.apply_update(&update)
            }
            (_, Some(snapshot)) => self.fold.apply_snapshot(snapshot),
            (_, None) => return,
        };
        if taken.is_ok() {
            self.ready.record_peer(&self.fold);
        }
    }

    /// Composes a checkpoint if one is due; returns whether it did.
    pub fn renew(&mut self, now: Moment, retention: Duration, rank: u32) -> bool {
        let view = View {
            now,
            retention,
            anchor: self.fold.anchor().filter(|_| self.ready.get()),
            next: self.fold.next_offset(),
            tried: self.tried,
            rank,
        };
        let due = renew::decide(&view) == Next::Append;
        if due {
            self.tried = Some(now);
            self.in_hand = self.fold.snapshot();
        }
        due
    }

    pub fn append_in_hand(&mut self, stream: &mut Stream, weakness: Weakness) {
        let Some(mut snapshot) = self.in_hand.take() else {
            return;
        };
        if weakness == Weakness::ClaimsAll {
            snapshot.next = stream.next();
        }
        for part in record::checkpoint(&snapshot) {
            if let Ok(bytes) = part.encode() {
                stream.append(bytes);
            }
        }
    }
}

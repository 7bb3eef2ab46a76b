//! The `bundles` stream of a fleet, folded as routers fold it.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_bundle::blob::Digest;
use godwitpost_bundle::entry;
use godwitpost_bundle::fold::{Fold, Next};
use godwitpost_bundle::record::STREAM;
use godwitpost_bundle::schema::Bundle;
use godwitpost_client::log::{Client, append, read};
use godwitpost_types::id::{Offset, Version};

use crate::error::Error;

/// Records asked for at once: at most 64 MB, were all of the largest size.
const PAGE: usize = 256;

/// Which fleet, and whose first signature to trust.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// The public keys that the routers' settings name.
    pub roots: Vec<Digest>,
    /// How long a roll may take until its fate is called unknown.
    pub patience: Duration,
}

/// The stream and the fold of what was read of it.
#[derive(Debug)]
pub struct Fleet {
    log: Client,
    fold: Fold,
    end: Offset,
    patience: Duration,
}

/// What came of one record.
#[derive(Clone, Debug)]
pub struct Read {
    /// Its bytes.
    pub body: Bytes,
    /// What the fold said.
    pub next: Next,
}

impl Fleet {
    /// Returns a fleet of which nothing was read yet.
    #[must_use]
    pub fn new(log: Client, settings: Settings) -> Self {
        Self {
            log,
            fold: Fold::new(settings.fleet, settings.roots),
            end: 0,
            patience: settings.patience,
        }
    }

    /// Returns the fold of what was read so far.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns how long a roll may take until its fate is called unknown.
    #[must_use]
    pub const fn patience(&self) -> Duration {
        self.patience
    }

    /// Reads what is new on the stream and hands each record to `see`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read.
    pub async fn read(&mut self, mut see: impl FnMut(&Fold, &Read)) -> Result<(), read::Error> {
        loop {
            let wanted = self.fold.next_offset();
            let page = self.log.read(STREAM, wanted, PAGE, Duration::ZERO).await?;
            self.end = self.end.max(page.next);
            if page.records.is_empty() {
                return Ok(());
            }
            for record in page.records {
                let next = self.fold.apply(record.offset, record.time, &record.body);
                let body = record.body;
                see(&self.fold, &Read { body, next });
            }
        }
    }

    /// Reads the stream to its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`] if the log can't be read, and [`Error::Gap`]
    /// if it no longer says what is in force.
    pub async fn catch_up(&mut self) -> Result<(), Error> {
        self.read(|_, _| ()).await.map_err(Error::Read)?;
        if self.lost() {
            return Err(Error::Gap);
        }
        Ok(())
    }

    /// Returns whether records that lead to what is in force were dropped,
    /// even if no record follows them yet.
    #[must_use]
    pub fn lost(&self) -> bool {
        self.fold.has_gap() || self.fold.next_offset() < self.end
    }

    /// Returns the end of the stream as last read.
    #[must_use]
    pub const fn end(&self) -> Offset {
        self.end
    }

    /// Appends a record's bytes.
    ///
    /// # Errors
    ///
    /// Returns what is known of its effect.
    pub async fn append(&self, bytes: &[u8]) -> Result<(), append::Error> {
        let bytes = Bytes::copy_from_slice(bytes);
        self.log.append(STREAM, bytes).await.map(|_| ())
    }

    /// Returns the bundle in force.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Empty`] if there is none.
    pub fn bundle(&self) -> Result<Bundle, Error> {
        bundle_of(&self.fold)
    }

    /// Reads the stream to its end, and returns the bundle that was in force
    /// as `version`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Forgotten`] if the log no longer tells.
    pub async fn bundle_at(&mut self, version: Version) -> Result<Bundle, Error> {
        let mut found = (self.fold.version() == version).then(|| self.fold.clone());
        let see = |fold: &Fold, _: &Read| {
            if fold.version() == version {
                found = Some(fold.clone());
            }
        };
        self.read(see).await.map_err(Error::Read)?;
        bundle_of(&found.ok_or(Error::Forgotten(version))?)
    }
}

fn bundle_of(fold: &Fold) -> Result<Bundle, Error> {
    let tree = fold.tree().ok_or(Error::Empty)?;
    entry::join(fold.version(), tree.entries()).map_err(Error::Entry)
}

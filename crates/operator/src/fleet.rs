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

/// A page is at most 64 MB, if all records have the maximum size.
const PAGE_RECORDS: usize = 256;

/// The fleet and the keys that are trusted to sign its first version.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name.
    pub fleet: String,
    /// The root public keys, as in the routers' settings.
    pub roots: Vec<Digest>,
    /// How long a roll may take before its outcome is reported as unknown.
    pub roll_timeout: Duration,
}

/// The stream and the fold of the records read so far.
#[derive(Debug)]
pub struct Fleet {
    log: Client,
    fold: Fold,
    end: Offset,
    roll_timeout: Duration,
}

/// A record and the result of folding it.
#[derive(Clone, Debug)]
pub struct Read {
    /// Its bytes.
    pub body: Bytes,
    /// The result of the fold.
    pub next: Next,
}

impl Fleet {
    /// Returns a fleet whose stream has not been read yet.
    #[must_use]
    pub fn new(log: Client, settings: Settings) -> Self {
        Self {
            log,
            fold: Fold::new(settings.fleet, settings.roots),
            end: 0,
            roll_timeout: settings.roll_timeout,
        }
    }

    /// Returns the fold of the records read so far.
    #[must_use]
    pub const fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns how long a roll may take before its outcome is reported as
    /// unknown.
    #[must_use]
    pub const fn roll_timeout(&self) -> Duration {
        self.roll_timeout
    }

    /// Reads new records of the stream and calls `on_record` for each.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read.
    pub async fn read(
        &mut self,
        mut on_record: impl FnMut(&Fold, &Read),
    ) -> Result<(), read::Error> {
        loop {
            let from = self.fold.next_offset();
            let page = self
                .log
                .read(STREAM, from, PAGE_RECORDS, Duration::ZERO)
                .await?;
            self.end = self.end.max(page.next);
            if page.records.is_empty() {
                return Ok(());
            }
            for record in page.records {
                let next = self.fold.apply(record.offset, record.time, &record.body);
                let body = record.body;
                on_record(&self.fold, &Read { body, next });
            }
        }
    }

    /// Reads the stream to its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`] if the log can't be read, and [`Error::Gap`]
    /// if it no longer has the records that lead to the bundle in force.
    pub async fn catch_up(&mut self) -> Result<(), Error> {
        self.read(|_, _| ()).await.map_err(Error::Read)?;
        if self.has_lost_records() {
            return Err(Error::Gap);
        }
        Ok(())
    }

    /// Returns whether the log dropped records that lead to the bundle in
    /// force, even if no record follows them yet.
    #[must_use]
    pub fn has_lost_records(&self) -> bool {
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
    /// Returns an error that says whether the append may have taken effect.
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
    /// Returns [`Error::VersionNotOnLog`] if the log no longer has it.
    pub async fn bundle_at(&mut self, version: Version) -> Result<Bundle, Error> {
        let mut found = (self.fold.version() == version).then(|| self.fold.clone());
        let on_record = |fold: &Fold, _: &Read| {
            if fold.version() == version {
                found = Some(fold.clone());
            }
        };
        self.read(on_record).await.map_err(Error::Read)?;
        bundle_of(&found.ok_or(Error::VersionNotOnLog(version))?)
    }
}

fn bundle_of(fold: &Fold) -> Result<Bundle, Error> {
    let tree = fold.tree().ok_or(Error::Empty)?;
    entry::join(fold.version(), tree.entries()).map_err(Error::Entry)
}

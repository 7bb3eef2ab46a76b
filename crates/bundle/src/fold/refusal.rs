//! Why a record, snapshot or update is rejected.

use displaydoc::Display;
use godwitpost_types::id::Version;

use crate::mistake::Mistakes;
use crate::record;
use crate::{entry, snapshot};

/// Why a record, snapshot or update is rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// {0}
    Record(record::Error),
    /// {0}
    Entry(entry::Error),
    /// {0}
    Snapshot(snapshot::Error),
    /// it is for the fleet {found}, not {wanted}; name this fleet in the bundle
    Fleet {
        /// The fleet that this fold is for.
        wanted: String,
        /// The fleet that the statement names.
        found: String,
    },
    /// version {version} by {winner} came first; take the bundle in force, make your change in it and roll it as the next version
    Lost {
        /// The version that both records have.
        version: Version,
        /// The operator who signed the accepted record.
        winner: String,
    },
    /// version {found} is older than {current}, which is in force; roll the old content as version {current} + 1
    Old {
        /// The version in force.
        current: Version,
        /// The version of the record.
        found: Version,
    },
    /// version {found} does not follow {current}; roll the versions in their order
    Ahead {
        /// The version in force; 0 for none.
        current: Version,
        /// The version of the record.
        found: Version,
    },
    /// its parent is not the bundle in force; take the bundle in force, make your change in it and roll again
    Parent,
    /// it is not signed by an operator of the bundle in force ({0} is named); sign with a key that it names
    Signature(String),
    /// its root or operators digest does not match its entries; sign it again
    Root,
    /// the bundle has mistakes:
    /// {0}
    Content(Mistakes),
    /// it covers records after its own place on the log; restart the instance that wrote it
    Future,
    /// it contradicts what is in force here; compare the two instances' GET /bundle and restart the wrong one
    Contradiction,
}

impl std::error::Error for Refusal {}

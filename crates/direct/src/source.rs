//! The interface to the log that holds the configuration, the list of endpoints
//! and what instances keep there.
//!
//! The first two are topics that keep the newest record of each key. Such a topic
//! can be listed, in pages ordered by key, or read from an offset. The
//! functions that implement the interface decode the values of records. A value
//! that can't be decoded is a [`Value::Unreadable`], never an error of the
//! call.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use godwitpost_types::id::{Era, Offset};
use serde::{Deserialize, Serialize};

use crate::policy::Policy;

/// Why a call to the log failed.
#[derive(Debug, displaydoc::Display)]
pub enum ReadError {
    /// the log can't be reached ({0}); check that it is up and the address right
    Unreachable(String),
    /// no answer in time; check the log's load
    Timeout,
    /// the log refused with status {0}; it may be overloaded or down
    Refused(u16),
    /// the log's answer is malformed ({0}); check the log's version
    Garbled(String),
    /// the answer is of an earlier era of the log; check that only one log is at its address
    Outdated,
}

impl std::error::Error for ReadError {}

/// The value that a record gives its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value<T> {
    /// A new value.
    Set(T),
    /// The key is removed.
    Removed,
    /// A value that can't be decoded, and why.
    Unreadable(String),
}

/// A position in a topic. One of a later era comes after all those of earlier
/// eras, whatever their offsets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The era of the log.
    pub era: Era,
    /// The offset within it.
    pub offset: Offset,
}

impl Position {
    /// The position at which every topic starts.
    pub const START: Self = Self { era: 0, offset: 0 };
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<T> {
    /// The key.
    pub key: String,
    /// The record's offset in the topic.
    pub offset: Offset,
    /// The value of the key.
    pub value: Value<T>,
}

/// The content of an operator's record.
#[derive(Clone, Debug)]
pub enum Directive {
    /// The configuration.
    Policy(Policy),
    /// The name of an availability zone that is to be kept empty for as long as
    /// the record exists.
    Evacuate(String),
}

/// A page of the newest record of each key, ordered by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// The records that concern this crate.
    pub records: Vec<Record<T>>,
    /// The key after which the next page begins; `None` on the last page.
    /// Records left out of `records` count here too.
    pub next: Option<String>,
    /// The end of the topic when the page was built.
    pub end: Offset,
}

/// The records that follow an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail<T> {
    /// Records up to the offset `next`. There are no more if `next` equals
    /// `end`.
    Records {
        /// The records, oldest first.
        records: Vec<Record<T>>,
        /// The offset to read from next.
        next: Offset,
        /// The end of the topic.
        end: Offset,
    },
    /// The records at the offset have been deleted.
    Expired {
        /// The offset of the first record that is left, if the log names it.
        first: Option<Offset>,
    },
}

/// An answer with the era of the log that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<A> {
    /// The era; `None` if the log names none.
    pub era: Option<Era>,
    /// The requested content.
    pub body: A,
}

/// A pending call to the log.
pub type Call<A> = Pin<Box<dyn Future<Output = Result<Reply<A>, ReadError>> + Send>>;

/// Lists the keys after the given one.
pub type ListFn<T> = Box<dyn Fn(Option<String>) -> Call<Page<T>> + Send + Sync>;

/// Reads from an offset. The call returns when there is a record, or after the
/// given wait, and must return on its own soon after that.
pub type ReadFn<T> = Box<dyn Fn(Offset, Duration) -> Call<Tail<T>> + Send + Sync>;

/// The functions that read one topic.
pub struct Source<T> {
    /// Lists the topic.
    pub list: ListFn<T>,
    /// Reads the records that follow an offset.
    pub read: ReadFn<T>,
}

/// Appends a record to a topic. It may have been appended also if the call fails.
pub type AppendFn = Box<dyn Fn(Vec<u8>) -> Call<()> + Send + Sync>;

/// The functions of a topic that instances write themselves. Its records have no keys. The log
/// deletes old ones.
pub struct OwnTopic {
    /// Appends a record.
    pub append: AppendFn,
    /// Reads the records that follow an offset. A topic without records can be read.
    pub read: ReadFn<Vec<u8>>,
}

impl fmt::Debug for OwnTopic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OwnTopic").finish_non_exhaustive()
    }
}

impl<T> fmt::Debug for Source<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

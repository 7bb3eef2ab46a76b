//! Where the configuration and the list of endpoints come from.
//!
//! Both are topics of a log that keeps the newest record of each key. A topic
//! can be listed, key by key and in pages, or read on from an offset. What is
//! said of a record's value is decided by who fills in the functions; a value
//! that can't be read is a [`Value::Unreadable`], never an error of the call.

use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use godwitpost_types::id::{Era, Offset};
use serde::{Deserialize, Serialize};

use crate::policy::Policy;

/// Why a call has no answer.
#[derive(Debug, displaydoc::Display)]
pub enum ReadError {
    /// the log can't be reached ({0}); check that it is up and the address right
    Unreachable(String),
    /// no answer in time; check the log's load
    Timeout,
    /// the log refused with status {0}; it may be overloaded or down
    Refused(u16),
    /// the answer makes no sense ({0}); check the log's version
    Garbled(String),
    /// the answer is of an earlier era of the log; check that one log alone is at its address
    Outdated,
}

impl std::error::Error for ReadError {}

/// What a record says of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value<T> {
    /// This.
    Set(T),
    /// The key is gone.
    Removed,
    /// Something that can't be read, and why.
    Unreadable(String),
}

/// A place in a topic. One of a later era comes after all of the earlier ones, whatever
/// its offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The offset within it.
    pub offset: Offset,
}

impl Position {
    /// Where every topic begins.
    pub const START: Self = Self { era: 0, offset: 0 };
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<T> {
    /// Its key.
    pub key: String,
    /// Its place in the topic.
    pub offset: Offset,
    /// What it says.
    pub value: Value<T>,
}

/// What the operator says in one record.
#[derive(Clone, Debug)]
pub enum Directive {
    /// This is the configuration.
    Policy(Policy),
    /// The availability zone of this name is to be kept empty for as long as the
    /// record is there.
    Evacuate(String),
}

/// A page of the newest record of each key, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page<T> {
    /// The records.
    pub records: Vec<Record<T>>,
    /// The key after which the next page begins; `None` if this is the last.
    /// Records that say nothing to us are left out above and still count here.
    pub next: Option<String>,
    /// The topic's end when the page was made.
    pub end: Offset,
}

/// What follows an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tail<T> {
    /// These records, up to `next`; nothing more is there if `next` is `end`.
    Records {
        /// The records, oldest first.
        records: Vec<Record<T>>,
        /// Where to read on.
        next: Offset,
        /// The topic's end.
        end: Offset,
    },
    /// The records there have been deleted.
    Expired,
}

/// An answer, and the era of the log that gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<A> {
    /// The era; `None` if the log names none.
    pub era: Option<Era>,
    /// What was asked for.
    pub body: A,
}

/// An answer to come.
pub type Call<A> = Pin<Box<dyn Future<Output = Result<Reply<A>, ReadError>> + Send>>;

/// Lists the keys after the given one.
pub type ListFn<T> = Box<dyn Fn(Option<String>) -> Call<Page<T>> + Send + Sync>;

/// Reads on from an offset. It answers when there is a record, or after the
/// given wait; the call must end by itself soon after that.
pub type ReadFn<T> = Box<dyn Fn(Offset, Duration) -> Call<Tail<T>> + Send + Sync>;

/// One topic.
pub struct Source<T> {
    /// Lists it.
    pub list: ListFn<T>,
    /// Reads on in it.
    pub read: ReadFn<T>,
}

impl<T> fmt::Debug for Source<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

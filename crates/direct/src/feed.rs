//! Follows one topic of the log: what to ask next, and what an answer changes.
//!
//! A topic is listed first and then read on from the end that the *first* page
//! named, since pages are no snapshot: what changed while they were read comes
//! again as records. If the records to read on from have been deleted, the
//! topic is listed anew, and a key that is missing from the whole list is
//! gone: the record that removed it may be among the deleted ones.
//!
//! A record never undoes a newer one of the same key, whatever order pages and
//! records come in.
//!
//! Offsets say which record is the newer one within an era of the log alone. A log
//! that comes back from a copy gives them out again, so in another era the topic is
//! listed anew, and no offset of an earlier one is compared with what it says. What
//! the copy holds may be older than what was known: that has to be told by what
//! records say, not by where they are.

use std::collections::BTreeMap;

use godwitpost_types::id::{Era, Offset};

use crate::source::{Page, Record, Reply, Tail, Value};

/// What to ask the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// List the keys after the given one.
    List(Option<String>),
    /// Read on from an offset.
    Read(Offset),
}

/// What an answer changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<T> {
    /// A key has a new value.
    Set(String, T),
    /// A key is gone, or its value can't be used.
    Removed(String),
    /// A key's value can't be read, and why; [`Change::Removed`] follows.
    Unreadable(String, String),
}

/// How far one topic has been followed.
#[derive(Debug)]
pub struct Feed {
    // The offset of the record that each key's value came from; `None` for a
    // key that somebody else told of, or that was read in an earlier era.
    known: BTreeMap<String, Option<Offset>>,
    state: State,
    // 0 until an answer names one: a log that names none has not come back yet.
    era: Era,
    // The offset up to which the topic was read.
    reached: Offset,
    // Records that were not taken since somebody asked.
    ignored: u64,
}

#[derive(Debug)]
enum State {
    Listing {
        after: Option<String>,
        // The end that the first page named.
        end: Option<Offset>,
        seen: BTreeMap<String, Offset>,
    },
    Reading {
        from: Offset,
    },
}

impl Default for Feed {
    fn default() -> Self {
        Self::with_known_keys([])
    }
}

impl State {
    const fn listing() -> Self {
        Self::Listing {
            after: None,
            end: None,
            seen: BTreeMap::new(),
        }
    }
}

impl Feed {
    /// Returns a feed of a topic of which these keys are known from elsewhere.
    /// Those that the list doesn't hold any more are said to be removed.
    #[must_use]
    pub fn with_known_keys(keys: impl IntoIterator<Item = String>) -> Self {
        Self {
            known: keys.into_iter().map(|key| (key, None)).collect(),
            state: State::listing(),
            era: 0,
            reached: 0,
            ignored: 0,
        }
    }

    /// Returns what to ask.
    #[must_use]
    pub fn next_query(&self) -> Query {
        match &self.state {
            State::Listing { after, .. } => Query::List(after.clone()),
            State::Reading { from } => Query::Read(*from),
        }
    }

    /// Returns whether the topic has been listed whole.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        matches!(self.state, State::Reading { .. })
    }

    /// Returns the offset up to which all records are taken in; `None` while the
    /// topic is listed.
    #[must_use]
    pub const fn position(&self) -> Option<Offset> {
        match self.state {
            State::Reading { from } => Some(from),
            State::Listing { .. } => None,
        }
    }

    /// Returns the era of the log, as last named; 0 if it never was.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.era
    }

    /// Returns the offset up to which the topic was read in this era, if it was.
    #[must_use]
    pub const fn read_offset(&self) -> Offset {
        self.reached
    }

    /// Returns whether an answer comes from an earlier era than one that was taken in.
    #[must_use]
    pub fn is_outdated(&self, era: Option<Era>) -> bool {
        era.is_some_and(|era| era < self.era)
    }

    /// Returns how many records were not taken, as older than what is known of their
    /// key, since this was last asked.
    pub const fn take_ignored_count(&mut self) -> u64 {
        std::mem::replace(&mut self.ignored, 0)
    }

    /// Takes in a page. One that was not asked for is ignored, and so is one of an
    /// earlier era or, in a later one, any but the first.
    pub fn apply_page<T>(&mut self, reply: Reply<Page<T>>) -> Vec<Change<T>> {
        let began = matches!(self.state, State::Listing { after: Some(_), .. });
        if self.is_outdated(reply.era) || (self.enter(reply.era) && began) {
            return Vec::new();
        }
        let page = reply.body;
        if !began && page.end < self.reached {
            self.begin_anew();
        }
        let State::Listing { after, end, seen } = &mut self.state else {
            return Vec::new();
        };
        let first = *end.get_or_insert(page.end);
        seen.extend(
            page.records
                .iter()
                .map(|record| (record.key.clone(), record.offset)),
        );
        let whole = page.next.is_none();
        *after = page.next;
        let mut changes = self.fold(page.records);
        if whole {
            changes.extend(self.missing(first));
            self.reached = first;
            self.state = State::Reading { from: first };
        }
        changes
    }

    /// Takes in what followed an offset. An answer of another era says nothing: what
    /// was asked for had its place in this one.
    pub fn apply_tail<T>(&mut self, reply: Reply<Tail<T>>) -> Vec<Change<T>> {
        if self.is_outdated(reply.era) || self.enter(reply.era) {
            return Vec::new();
        }
        let State::Reading { from } = &mut self.state else {
            return Vec::new();
        };
        match reply.body {
            Tail::Expired => {
                self.state = State::listing();
                Vec::new()
            }
            // Also a log that names no era shows so that it lost what was read.
            Tail::Records { end, .. } if end < *from => {
                self.begin_anew();
                Vec::new()
            }
            Tail::Records { records, next, .. } => {
                *from = next.max(*from);
                self.reached = *from;
                self.fold(records)
            }
        }
    }

    // Takes in the era of an answer; returns whether it is a later one, in which the
    // topic has to be listed anew.
    fn enter(&mut self, era: Option<Era>) -> bool {
        let Some(era) = era.filter(|era| *era > self.era) else {
            return false;
        };
        self.era = era;
        self.begin_anew();
        true
    }

    // Begins with a list, against which no offset known so far counts.
    fn begin_anew(&mut self) {
        self.known.values_mut().for_each(|offset| *offset = None);
        self.reached = 0;
        self.state = State::listing();
    }

    // Keys that the whole list didn't hold. One whose record is newer than the
    // list's beginning was set while the list was read.
    fn missing<T>(&mut self, first: Offset) -> Vec<Change<T>> {
        let State::Listing { seen, .. } = &self.state else {
            return Vec::new();
        };
        let gone: Vec<String> = self
            .known
            .iter()
            .filter(|(key, offset)| !seen.contains_key(*key) && **offset < Some(first))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &gone {
            self.known.remove(key);
        }
        gone.into_iter().map(Change::Removed).collect()
    }

    fn fold<T>(&mut self, records: Vec<Record<T>>) -> Vec<Change<T>> {
        let mut changes = Vec::new();
        for record in records {
            let older = self
                .known
                .get(&record.key)
                .is_some_and(|known| *known >= Some(record.offset));
            if older {
                self.ignored += 1;
                continue;
            }
            match record.value {
                Value::Set(value) => {
                    self.known.insert(record.key.clone(), Some(record.offset));
                    changes.push(Change::Set(record.key, value));
                }
                Value::Removed => {
                    self.known.remove(&record.key);
                    changes.push(Change::Removed(record.key));
                }
                Value::Unreadable(cause) => {
                    self.known.insert(record.key.clone(), Some(record.offset));
                    changes.push(Change::Unreadable(record.key.clone(), cause));
                    changes.push(Change::Removed(record.key));
                }
            }
        }
        changes
    }
}

#[cfg(test)]
mod tests;

//! Follows one topic of the log: determines the next call and applies its
//! answer.
//!
//! A topic is listed first and then read from the end offset named by the
//! *first* page. Pages are not a snapshot, so changes made while they were read
//! arrive again as records. If the records to read have been deleted, the topic
//! is listed again, and a key that is missing from the complete list counts as
//! removed: the record that removed it may be among the deleted ones.
//!
//! A record never overrides a newer one of the same key, in whatever order
//! pages and records arrive.
//!
//! Offsets order records only within one era of the log. A log restored from a
//! copy assigns the same offsets again, so the topic is listed again in a later
//! era, without comparing any offset of an earlier one. The copy may hold older
//! state than was known before. That has to be detected from the content of the
//! records, not from their offsets.

use std::collections::BTreeMap;

use godwitpost_types::id::{Era, Offset};

use crate::source::{Page, Record, Reply, Tail, Value};

/// The next call to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// Lists the keys after the given one.
    List(Option<String>),
    /// Reads from an offset.
    Read(Offset),
}

/// A change caused by an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<T> {
    /// The key has a new value.
    Set(String, T),
    /// The key was removed, or its value can't be used.
    Removed(String),
    /// The key's value can't be read, for the given reason; [`Change::Removed`]
    /// follows.
    Unreadable(String, String),
}

/// The state of following one topic.
#[derive(Debug)]
pub struct Feed {
    // The offset of the record that each key's value came from; `None` for a
    // key learned from elsewhere or read in an earlier era.
    known_offsets: BTreeMap<String, Option<Offset>>,
    state: State,
    // 0 until an answer names an era. A log that names none has never been
    // restored.
    era: Era,
    // The offset up to which the topic was read in this era.
    read_offset: Offset,
    // The records ignored since `take_ignored_count` was last called.
    ignored_count: u64,
}

#[derive(Debug)]
enum State {
    Listing {
        after: Option<String>,
        // The end offset that the first page named.
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
    /// Returns a feed of a topic in which `keys` are already known from
    /// elsewhere. Those that the list doesn't contain are reported as removed.
    #[must_use]
    pub fn with_known_keys(keys: impl IntoIterator<Item = String>) -> Self {
        Self {
            known_offsets: keys.into_iter().map(|key| (key, None)).collect(),
            state: State::listing(),
            era: 0,
            read_offset: 0,
            ignored_count: 0,
        }
    }

    /// Returns the next call to make.
    #[must_use]
    pub fn next_query(&self) -> Query {
        match &self.state {
            State::Listing { after, .. } => Query::List(after.clone()),
            State::Reading { from } => Query::Read(*from),
        }
    }

    /// Returns whether the topic has been listed completely.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        matches!(self.state, State::Reading { .. })
    }

    /// Returns the offset up to which all records were applied, or `None` while
    /// the topic is being listed.
    #[must_use]
    pub const fn position(&self) -> Option<Offset> {
        match self.state {
            State::Reading { from } => Some(from),
            State::Listing { .. } => None,
        }
    }

    /// Returns the last era that the log named, or 0 if it named none.
    #[must_use]
    pub const fn era(&self) -> Era {
        self.era
    }

    /// Returns the offset up to which the topic was read in this era, or 0.
    #[must_use]
    pub const fn read_offset(&self) -> Offset {
        self.read_offset
    }

    /// Returns whether an answer comes from an earlier era than one that was
    /// applied.
    #[must_use]
    pub fn is_outdated(&self, era: Option<Era>) -> bool {
        era.is_some_and(|era| era < self.era)
    }

    /// Returns how many records were ignored, as older than the known state of
    /// their key, since the last call.
    pub const fn take_ignored_count(&mut self) -> u64 {
        std::mem::replace(&mut self.ignored_count, 0)
    }

    /// Applies a page of the list. An unexpected page is ignored, and so is a
    /// page of an earlier era or, in a later era, any page but the first.
    pub fn apply_page<T>(&mut self, reply: Reply<Page<T>>) -> Vec<Change<T>> {
        let continues = matches!(self.state, State::Listing { after: Some(_), .. });
        if self.is_outdated(reply.era) || (self.enter_era(reply.era) && continues) {
            return Vec::new();
        }
        let page = reply.body;
        if !continues && page.end < self.read_offset {
            self.restart_listing();
        }
        let State::Listing { after, end, seen } = &mut self.state else {
            return Vec::new();
        };
        let list_start = *end.get_or_insert(page.end);
        seen.extend(
            page.records
                .iter()
                .map(|record| (record.key.clone(), record.offset)),
        );
        let complete = page.next.is_none();
        *after = page.next;
        let mut changes = self.apply_records(page.records);
        if complete {
            changes.extend(self.remove_missing(list_start));
            self.read_offset = list_start;
            self.state = State::Reading { from: list_start };
        }
        changes
    }

    /// Applies the records that follow an offset. An answer of another era is
    /// not applied, because the requested offset belongs to this era.
    pub fn apply_tail<T>(&mut self, reply: Reply<Tail<T>>) -> Vec<Change<T>> {
        if self.is_outdated(reply.era) || self.enter_era(reply.era) {
            return Vec::new();
        }
        let State::Reading { from } = &mut self.state else {
            return Vec::new();
        };
        match reply.body {
            Tail::Expired { .. } => {
                self.state = State::listing();
                Vec::new()
            }
            // A log that names no era reveals in this way that it lost records.
            Tail::Records { end, .. } if end < *from => {
                self.restart_listing();
                Vec::new()
            }
            Tail::Records { records, next, .. } => {
                *from = next.max(*from);
                self.read_offset = *from;
                self.apply_records(records)
            }
        }
    }

    // Records the era of an answer. Returns whether it is a later one, in which
    // the topic has to be listed again.
    fn enter_era(&mut self, era: Option<Era>) -> bool {
        let Some(era) = era.filter(|era| *era > self.era) else {
            return false;
        };
        self.era = era;
        self.restart_listing();
        true
    }

    // Starts listing again and invalidates all known offsets.
    fn restart_listing(&mut self) {
        self.known_offsets
            .values_mut()
            .for_each(|offset| *offset = None);
        self.read_offset = 0;
        self.state = State::listing();
    }

    // Removes the keys that the complete list didn't contain. A key whose
    // record is newer than the start of the list was set while the list was
    // read.
    fn remove_missing<T>(&mut self, list_start: Offset) -> Vec<Change<T>> {
        let State::Listing { seen, .. } = &self.state else {
            return Vec::new();
        };
        let removed: Vec<String> = self
            .known_offsets
            .iter()
            .filter(|(key, offset)| !seen.contains_key(*key) && **offset < Some(list_start))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &removed {
            self.known_offsets.remove(key);
        }
        removed.into_iter().map(Change::Removed).collect()
    }

    fn apply_records<T>(&mut self, records: Vec<Record<T>>) -> Vec<Change<T>> {
        let mut changes = Vec::new();
        for record in records {
            let is_older = self
                .known_offsets
                .get(&record.key)
                .is_some_and(|offset| *offset >= Some(record.offset));
            if is_older {
                self.ignored_count += 1;
                continue;
            }
            match record.value {
                Value::Set(value) => {
                    self.known_offsets
                        .insert(record.key.clone(), Some(record.offset));
                    changes.push(Change::Set(record.key, value));
                }
                Value::Removed => {
                    self.known_offsets.remove(&record.key);
                    changes.push(Change::Removed(record.key));
                }
                Value::Unreadable(cause) => {
                    self.known_offsets
                        .insert(record.key.clone(), Some(record.offset));
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

//! What logs and metrics tell of the answers that a follower gets.

use godwitpost_types::id::{Era, Offset};

use super::Log;
use crate::feed::Feed;
use crate::source::{Page, Tail};

/// Notes an answer of this era, before its feed takes it in.
pub(super) fn era(log: &Log, feed: &Feed, era: Option<Era>) {
    let before = feed.era();
    if let Some(era) = era.filter(|era| *era > before) {
        let topic = log.topic.as_str();
        log::info!(topic:% = topic, era = era, before = before; "the log is in a later era; the topic is listed anew");
    }
}

/// Notes a page; the last one ends a list.
pub(super) fn page<T>(log: &Log, page: &Page<T>) {
    if page.next.is_none() {
        let topic = log.topic.as_str();
        log::info!(topic:% = topic, end = page.end; "topic listed");
    }
}

/// Notes what followed an offset, if nothing can.
pub(super) fn tail<T>(log: &Log, from: Offset, tail: &Tail<T>) {
    let topic = log.topic.as_str();
    match tail {
        Tail::Expired => {
            log.shared.metrics.count_log_listing(topic);
            log::warn!(topic:% = topic, from = from; "records to read on from aren't there; the topic is listed anew");
        }
        Tail::Records { end, .. } if *end < from => {
            log::warn!(topic:% = topic, from = from, end = end; "the topic ends before what was read of it");
        }
        Tail::Records { .. } => {}
    }
}

/// Notes how many records of an answer were not taken.
pub(super) fn ignored(log: &Log, count: u64) {
    if count > 0 {
        let topic = log.topic.as_str();
        log.shared.metrics.count_ignored_records(topic, count);
        log::info!(topic:% = topic, count = count; "records older than what is known were not taken");
    }
}

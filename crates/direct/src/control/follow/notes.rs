//! Logs and counts the answers that a follower gets from the log.

use godwitpost_types::id::{Era, Offset};

use super::Follower;
use crate::feed::Feed;
use crate::source::{Page, Tail};

/// Logs a new era, before the feed applies the answer.
pub(super) fn log_new_era(follower: &Follower, feed: &Feed, era: Option<Era>) {
    let before = feed.era();
    if let Some(era) = era.filter(|era| *era > before) {
        let topic = follower.topic.as_str();
        log::info!(topic:% = topic, era = era, before = before; "the log is in a later era; listing the topic again");
    }
}

/// Logs the last page of a list.
pub(super) fn log_page<T>(follower: &Follower, page: &Page<T>) {
    if page.next.is_none() {
        let topic = follower.topic.as_str();
        log::info!(topic:% = topic, end = page.end; "topic listed");
    }
}

/// Logs an answer after which the topic has to be listed again.
pub(super) fn log_tail<T>(follower: &Follower, from: Offset, tail: &Tail<T>) {
    let topic = follower.topic.as_str();
    match tail {
        Tail::Expired { .. } => {
            follower.shared.metrics.count_log_listing(topic);
            log::warn!(topic:% = topic, from = from; "the next records have been deleted from the log; listing the topic again");
        }
        Tail::Records { end, .. } if *end < from => {
            log::warn!(topic:% = topic, from = from, end = end; "the topic ends before the offset read so far; listing it again");
        }
        Tail::Records { .. } => {}
    }
}

/// Logs and counts the records of an answer that were ignored.
pub(super) fn log_ignored(follower: &Follower, count: u64) {
    if count > 0 {
        let topic = follower.topic.as_str();
        follower.shared.metrics.count_ignored_records(topic, count);
        log::info!(topic:% = topic, count = count; "ignored records older than the known state");
    }
}

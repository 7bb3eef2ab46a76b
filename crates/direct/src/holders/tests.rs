use std::time::Duration;

use proptest::prelude::*;

use super::{
    Directory, MAX_HOLDERS_PER_MESSAGE, MAX_HOLDERS_PER_PREFIX, MAX_PREFIXES, MAX_UNSENT,
    PrefixHolder,
};
use crate::dialect::Prefix;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn prefix(id: u64) -> Prefix {
    Prefix { id, tokens: 100 }
}

fn source(directory: &Directory, id: u64, now: Duration) -> Option<u64> {
    let source = directory.source(&[prefix(id)], |_| true, 1, now);
    source.map(|source| source.endpoint)
}

#[test]
fn holders_are_sent_to_other_instances() {
    let (mut one, mut other) = (Directory::default(), Directory::default());
    one.record_read(7, &[prefix(1)], at(1_000));
    let sent = one.take_unsent(at(1_200));
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].age, at(200));
    assert!(other.apply_remote(&sent[0], at(50_000)));
    assert_eq!(source(&other, 1, at(50_100)), Some(7));
    assert!(one.take_unsent(at(1_300)).is_empty());
}

/// Guards against unbounded memory and messages for a prompt in demand that hundreds of
/// endpoints read. A few of them suffice as sources.
#[test]
fn few_holders_of_a_prefix_are_retained_and_sent() {
    let mut directory = Directory::default();
    for endpoint in 0..500 {
        directory.record_read(endpoint, &[prefix(1)], at(endpoint));
    }
    assert_eq!(directory.take_unsent(at(600)).len(), MAX_HOLDERS_PER_PREFIX);
    // The retained holders are no longer used, and a new one replaces one of them.
    directory.record_read(900, &[prefix(1)], at(40_000));
    assert_eq!(directory.take_unsent(at(40_000)).len(), 1);
    assert_eq!(source(&directory, 1, at(70_000)), Some(900));
}

/// Guards against expired holders at other instances. A holder in constant use is sent
/// again from time to time, since receivers drop it otherwise.
#[test]
fn holder_in_use_is_sent_again() {
    let mut directory = Directory::default();
    let mut sent = 0;
    for second in 0..60 {
        directory.record_read(7, &[prefix(1)], at(second * 1_000));
        sent += directory.take_unsent(at(second * 1_000)).len();
    }
    assert_eq!(sent, 3);
}

#[test]
fn forwarded_holder_is_sent_once() {
    let holder = PrefixHolder {
        prefix: 1,
        endpoint: 7,
        age: at(0),
    };
    let mut directory = Directory::default();
    directory.apply_and_forward(&holder, at(100));
    directory.apply_and_forward(&holder, at(200));
    assert_eq!(directory.take_unsent(at(300)).len(), 1);
}

/// Guards against unbounded state: an instance of the largest fleet gets tens of
/// thousands of prompts, most of them once. Recently used ones are retained.
#[test]
fn state_and_messages_are_bounded() {
    let mut directory = Directory::default();
    let count = 3 * MAX_PREFIXES as u64;
    for id in 0..count {
        directory.record_read(id % 3_300, &[prefix(id)], at(id));
    }
    assert!(directory.len() <= MAX_PREFIXES);
    assert_eq!(
        source(&directory, count - 1, at(count)),
        Some((count - 1) % 3_300)
    );
    let mut sent = 0;
    loop {
        let message = directory.take_unsent(at(count));
        assert!(message.len() <= MAX_HOLDERS_PER_MESSAGE);
        sent += message.len();
        if message.is_empty() {
            break;
        }
    }
    assert!(
        (MAX_UNSENT - MAX_HOLDERS_PER_MESSAGE..=MAX_UNSENT).contains(&sent),
        "{sent}"
    );
}

proptest! {
    // Checks for any order of reads and received holders that a source is usable and was
    // seen to use the prefix recently.
    #[test]
    fn source_recently_used_the_prefix(
        reads in prop::collection::vec((0_u64..6, 0_u64..5, 0_u64..90_000, any::<bool>()), 0..60),
        unusable in 0_u64..6,
        draw in any::<u64>(),
    ) {
        let mut directory = Directory::default();
        let mut times = reads.clone();
        times.sort_by_key(|(_, _, time, _)| *time);
        for (endpoint, id, time, sent) in &times {
            if *sent {
                let holder = PrefixHolder { prefix: *id, endpoint: *endpoint, age: at(0) };
                directory.apply_remote(&holder, at(*time));
            } else {
                directory.record_read(*endpoint, &[prefix(*id)], at(*time));
            }
        }
        let now = at(90_000);
        for id in 0..5 {
            let found = directory.source(&[prefix(id)], |one| one != unusable, draw, now);
            if let Some(found) = found {
                prop_assert_ne!(found.endpoint, unusable);
                let seen = times.iter().any(|(endpoint, read, time, _)| {
                    *endpoint == found.endpoint && *read == id && *time > 30_000
                });
                prop_assert!(seen);
            }
        }
    }
}

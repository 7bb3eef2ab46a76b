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

const fn span(id: u64) -> Prefix {
    Prefix { id, tokens: 100 }
}

fn source(directory: &Directory, id: u64, now: Duration) -> Option<u64> {
    let source = directory.source(&[span(id)], |_| true, 1, now);
    source.map(|source| source.endpoint)
}

#[test]
fn what_one_instance_reads_the_other_knows() {
    let (mut one, mut other) = (Directory::default(), Directory::default());
    one.record_read(7, &[span(1)], at(1_000));
    let told = one.take_unsent(at(1_200));
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].age, at(200));
    assert!(other.apply_remote(&told[0], at(50_000)));
    assert_eq!(source(&other, 1, at(50_100)), Some(7));
    assert!(one.take_unsent(at(1_300)).is_empty());
}

/// A prompt in demand is read at hundreds of endpoints. A few of them do as
/// sources, and only those take memory and bytes.
#[test]
fn of_many_holders_a_few_are_kept_and_told() {
    let mut directory = Directory::default();
    for endpoint in 0..500 {
        directory.record_read(endpoint, &[span(1)], at(endpoint));
    }
    assert_eq!(directory.take_unsent(at(600)).len(), MAX_HOLDERS_PER_PREFIX);
    // The kept ones fall out of use, and another one takes the place of one.
    directory.record_read(900, &[span(1)], at(40_000));
    assert_eq!(directory.take_unsent(at(40_000)).len(), 1);
    assert_eq!(source(&directory, 1, at(70_000)), Some(900));
}

/// A holder is used all the time and told once a while, since who was told long
/// ago takes it to have dropped what it held.
#[test]
fn a_holder_in_use_is_told_again_after_a_while() {
    let mut directory = Directory::default();
    let mut told = 0;
    for second in 0..60 {
        directory.record_read(7, &[span(1)], at(second * 1_000));
        told += directory.take_unsent(at(second * 1_000)).len();
    }
    assert_eq!(told, 3);
}

#[test]
fn what_is_told_on_is_told_once() {
    let holding = PrefixHolder {
        span: 1,
        endpoint: 7,
        age: at(0),
    };
    let mut directory = Directory::default();
    directory.apply_and_forward(&holding, at(100));
    directory.apply_and_forward(&holding, at(200));
    assert_eq!(directory.take_unsent(at(300)).len(), 1);
}

/// An instance of the largest fleet sees tens of thousands of prompts, most of
/// them once. Those asked for lately stay.
#[test]
fn memory_and_messages_are_bounded() {
    let mut directory = Directory::default();
    let count = 3 * MAX_PREFIXES as u64;
    for id in 0..count {
        directory.record_read(id % 3_300, &[span(id)], at(id));
    }
    assert!(directory.len() <= MAX_PREFIXES);
    assert_eq!(
        source(&directory, count - 1, at(count)),
        Some((count - 1) % 3_300)
    );
    let mut told = 0;
    loop {
        let message = directory.take_unsent(at(count));
        assert!(message.len() <= MAX_HOLDERS_PER_MESSAGE);
        told += message.len();
        if message.is_empty() {
            break;
        }
    }
    assert!(
        (MAX_UNSENT - MAX_HOLDERS_PER_MESSAGE..=MAX_UNSENT).contains(&told),
        "{told}"
    );
}

proptest! {
    // Whatever was read and told in whatever order: a source is one that may be
    // asked, was seen to use the beginning, and not too long ago.
    #[test]
    fn a_source_was_seen_with_the_beginning(
        reads in prop::collection::vec((0_u64..6, 0_u64..5, 0_u64..90_000, any::<bool>()), 0..60),
        unusable in 0_u64..6,
        draw in any::<u64>(),
    ) {
        let mut directory = Directory::default();
        let mut times = reads.clone();
        times.sort_by_key(|(_, _, time, _)| *time);
        for (endpoint, id, time, told) in &times {
            if *told {
                let holding = PrefixHolder { span: *id, endpoint: *endpoint, age: at(0) };
                directory.apply_remote(&holding, at(*time));
            } else {
                directory.record_read(*endpoint, &[span(*id)], at(*time));
            }
        }
        let now = at(90_000);
        for id in 0..5 {
            let found = directory.source(&[span(id)], |one| one != unusable, draw, now);
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

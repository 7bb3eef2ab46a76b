use std::time::Duration;

use godwitpost_types::clock::Moment;

use super::{MAX_STREAMS, Origin, Origins, Record};

const V1: Origin = Origin {
    service: 7,
    build: 1,
};
const V2: Origin = Origin {
    service: 7,
    build: 2,
};
const OTHER_SERVICE: Origin = Origin {
    service: 8,
    build: 1,
};

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

/// Guards against a stream that changes its build: what is told later is older or wrong.
#[test]
fn first_origin_of_a_stream_stays() {
    let mut origins = Origins::default();
    origins.record_own(3, V1, at(10));
    origins.record_own(3, V2, at(20));
    let told = Record {
        stream: 3,
        origin: V2,
        age: at(5),
    };
    origins.record_told(&told, at(30));
    assert_eq!(origins.get(3), Some((V1, at(10))));
    assert_eq!((origins.get(4), origins.len()), (None, 1));
}

#[test]
fn others_are_told_once_of_what_they_need() {
    let mut origins = Origins::default();
    origins.record_own(1, V1, at(0));
    origins.record_own(2, OTHER_SERVICE, at(0));
    assert!(origins.begin_telling());
    assert!(!origins.begin_telling());
    let records = origins.take_untold(|service| service == 7, at(40));
    let record = Record {
        stream: 1,
        origin: V1,
        age: at(40),
    };
    assert_eq!(records, [record]);
    assert!(
        origins
            .take_untold(|service| service == 7, at(50))
            .is_empty()
    );
    origins.put_back(1);
    origins.put_back(9);
    assert_eq!(origins.take_untold(|_| true, at(50)).len(), 2);
    assert!(!origins.begin_telling());
    assert!(!origins.is_empty());
}

/// Guards against passing on for ever what others have told.
#[test]
fn streams_of_others_are_not_told_on() {
    let mut origins = Origins::default();
    let told = Record {
        stream: 5,
        origin: V2,
        age: at(100),
    };
    origins.record_told(&told, at(1_000));
    assert_eq!(origins.get(5), Some((V2, at(900))));
    assert!(!origins.begin_telling());
}

#[test]
fn streams_are_forgotten_when_they_can_no_longer_be_taken_up() {
    let mut origins = Origins::default();
    origins.record_own(1, V1, at(0));
    origins.record_own(2, V1, at(500));
    origins.forget_old(at(1_000), at(1_000));
    assert_eq!(origins.len(), 2);
    origins.forget_old(at(1_000), at(1_001));
    assert_eq!((origins.get(1), origins.len()), (None, 1));
    assert_eq!(origins.take_untold(|_| true, at(1_001)).len(), 1);
}

/// Guards against memory that grows with the streams, and counts what it costs.
#[test]
fn oldest_streams_go_first_when_there_are_too_many() {
    let mut origins = Origins::default();
    for stream in 0..=MAX_STREAMS as u64 {
        origins.record_own(stream, V1, at(stream));
    }
    assert_eq!((origins.len(), origins.dropped()), (MAX_STREAMS, 1));
    assert!(origins.get(0).is_none() && origins.get(1).is_some());
}

/// Guards against writing all streams again and again where nobody can be told of them.
#[test]
fn stream_is_kept_once_though_nobody_could_be_told() {
    let mut origins = Origins::default();
    origins.record_own(3, V1, at(10));
    assert_eq!(origins.take_unkept(|_| false, at(20)), []);
    for _ in 0..2 {
        assert_eq!(origins.take_untold(|_| true, at(20)).len(), 1);
        origins.put_back(3);
    }
    assert_eq!(origins.take_unkept(|_| true, at(20)).len(), 1);
    assert_eq!(origins.take_unkept(|_| true, at(30)), []);
    origins.put_back_unkept(3);
    assert_eq!(origins.take_unkept(|_| true, at(30)).len(), 1);
    origins.record_own(4, V1, at(30));
    origins.forget_old(at(5), at(60));
    assert_eq!(origins.take_unkept(|_| true, at(60)), []);
}

//! Cached responses stay within the limits and match their body.

use super::*;

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

#[test]
fn response_is_replayed_for_its_own_body_until_it_expires() {
    let mut cache = ResponseCache::new(100, at(10));
    cache.insert(at(0), [1; 16], [2; 16], "printed", 7);
    assert_eq!(
        cache.get(at(9), &[1; 16], &[2; 16]),
        Lookup::Hit(&"printed")
    );
    assert_eq!(cache.get(at(9), &[1; 16], &[3; 16]), Lookup::OtherBody);
    assert_eq!(cache.get(at(10), &[1; 16], &[2; 16]), Lookup::Miss);
    assert_eq!(cache.bytes(), 0);
}

#[test]
fn oldest_responses_are_evicted_first() {
    let mut cache = ResponseCache::new(100, at(10));
    for key in 0..5 {
        cache.insert(at(0), [key; 16], [0; 16], key, 40);
    }
    assert_eq!(cache.bytes(), 80);
    assert_eq!(cache.get(at(0), &[2; 16], &[0; 16]), Lookup::Miss);
    assert_eq!(cache.get(at(0), &[3; 16], &[0; 16]), Lookup::Hit(&3));
    cache.insert(at(0), [9; 16], [0; 16], 9, 101);
    assert_eq!(cache.get(at(0), &[9; 16], &[0; 16]), Lookup::Miss);
}

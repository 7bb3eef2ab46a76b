//! Held answers stay within their bounds and with their body.

use super::*;

const fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

#[test]
fn an_answer_is_replayed_to_its_own_body_until_it_ages() {
    let mut answers = ResponseCache::new(100, at(10));
    answers.insert(at(0), [1; 16], [2; 16], "printed", 7);
    assert_eq!(
        answers.get(at(9), &[1; 16], &[2; 16]),
        Lookup::Hit(&"printed")
    );
    assert_eq!(answers.get(at(9), &[1; 16], &[3; 16]), Lookup::OtherBody);
    assert_eq!(answers.get(at(10), &[1; 16], &[2; 16]), Lookup::Miss);
    assert_eq!(answers.bytes(), 0);
}

#[test]
fn the_oldest_make_room() {
    let mut answers = ResponseCache::new(100, at(10));
    for key in 0..5 {
        answers.insert(at(0), [key; 16], [0; 16], key, 40);
    }
    assert_eq!(answers.bytes(), 80);
    assert_eq!(answers.get(at(0), &[2; 16], &[0; 16]), Lookup::Miss);
    assert_eq!(answers.get(at(0), &[3; 16], &[0; 16]), Lookup::Hit(&3));
    answers.insert(at(0), [9; 16], [0; 16], 9, 101);
    assert_eq!(answers.get(at(0), &[9; 16], &[0; 16]), Lookup::Miss);
}

//! Tests of the engine that processes batches.

use super::*;

const ENGINE_SPEED: Speed = Speed {
    step: Duration::from_millis(4),
    step_per_request: Duration::from_millis(1),
    chunk: 1_000.0,
    read_rate: 100_000.0,
    pairs: Duration::from_millis(10),
    slots: 2,
};

fn work(kept: f64, read: f64, write: u32) -> Work {
    Work { kept, read, write }
}

#[test]
fn step_writes_a_token_of_each_running_request() {
    let mut engine = Engine::new(ENGINE_SPEED);
    engine.push('a', work(0.0, 0.0, 3));
    let first = engine.step().expect("a step");
    assert_eq!((first.begun, first.ended), (vec!['a'], vec![]));
    let second = engine.step().expect("a step");
    assert_eq!(second.time, Duration::from_millis(5));
    assert_eq!(second.ended, vec![]);
    assert_eq!(engine.step().expect("a step").ended, vec!['a']);
    assert_eq!(engine.step(), None);
}

#[test]
fn long_prompt_takes_several_long_steps() {
    let mut engine = Engine::new(ENGINE_SPEED);
    engine.push('a', work(0.0, 0.0, 10));
    engine.step();
    engine.push('b', work(0.0, 2_000.0, 2));
    let first = engine.step().expect("a step");
    // 5 ms, 10 ms for a thousand tokens, and 5 ms for half a million pairs.
    assert_eq!(first.time, Duration::from_millis(20));
    assert_eq!(first.begun, vec![]);
    let second = engine.step().expect("a step");
    assert_eq!(second.time, Duration::from_millis(30));
    assert_eq!(second.begun, vec!['b']);
}

#[test]
fn prompt_waits_for_a_slot() {
    let mut engine = Engine::new(ENGINE_SPEED);
    for id in ['a', 'b', 'c'] {
        engine.push(id, work(0.0, 0.0, 2));
    }
    assert_eq!(engine.step().expect("a step").begun, vec!['a', 'b']);
    assert_eq!(engine.count(), 3);
    assert_eq!(engine.step().expect("a step").begun, vec!['c']);
}

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::Recorder;
use crate::event::What;
use crate::script::sent;

/// When eight threads record concurrently, every event has a number, each
/// thread's events stay in order, and time never goes backwards.
#[test]
fn threads_share_one_order() {
    const THREADS: u64 = 8;
    const CALLS: u64 = 200;
    let ticks = Arc::new(AtomicU64::new(0));
    let recorder =
        Recorder::new(move || Duration::from_micros(ticks.fetch_add(1, Ordering::Relaxed)));
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let recorder = recorder.clone();
            scope.spawn(move || {
                for call in 0..CALLS {
                    recorder.record(sent(thread * CALLS + call, "draft", "a", false));
                }
            });
        }
    });
    let events = recorder.events();
    assert_eq!(events.len() as u64, THREADS * CALLS);
    for (place, event) in (0..).zip(&events) {
        assert_eq!(
            (event.order, event.at),
            (place, Duration::from_micros(place))
        );
    }
    for thread in 0..THREADS {
        let own = thread * CALLS..(thread + 1) * CALLS;
        let calls: Vec<u64> = events
            .iter()
            .filter_map(|event| call(&event.what))
            .filter(|call| own.contains(call))
            .collect();
        assert_eq!(calls, own.collect::<Vec<_>>());
    }
}

fn call(what: &What) -> Option<u64> {
    match what {
        What::CallerSent(sent) => Some(sent.call),
        _ => None,
    }
}

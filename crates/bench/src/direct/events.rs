//! Processor time of one event of a relayed stream.
//!
//! A stream that may be resumed is cut into whole events, and of each stream the position
//! relative to its events is followed.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use godwitpost_decide::resume::Progress;
use godwitpost_decide::resume::events::EventSplitter;
use godwitpost_decide::resume::events::position::Position;

use crate::figure::{Bound, Figure};

/// Events that are timed.
const TIMED_EVENTS: u32 = 200_000;

/// The text of one event: five tokens.
const EVENT_TEXT: &str = "the north wall takes the sun";

/// Returns the figures of events that each come in a frame of their own, and of events that
/// are split between two.
#[must_use]
pub fn figures() -> Vec<Figure> {
    let whole: Vec<Bytes> = (1..=TIMED_EVENTS).map(|id| event(id).into()).collect();
    let split: Vec<Bytes> = (1..=TIMED_EVENTS)
        .flat_map(|id| {
            let text = Bytes::from(event(id));
            let half = text.len() / 2;
            [text.slice(..half), text.slice(half..)]
        })
        .collect();
    [("whole", whole), ("split", split)]
        .into_iter()
        .flat_map(|(name, frames)| {
            let cut = nanoseconds(|| cut(&frames));
            let follow = nanoseconds(|| follow(&frames));
            [
                Figure::new(format!("direct.events.{name}.cut"), cut, "ns", Bound::Free),
                Figure::new(
                    format!("direct.events.{name}.follow"),
                    follow,
                    "ns",
                    Bound::Free,
                ),
            ]
        })
        .collect()
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: {{\"text\":\"{EVENT_TEXT}\"}}\n\n")
}

// Returns the mean time of an event.
fn nanoseconds(run: impl Fn()) -> f64 {
    let start = Instant::now();
    run();
    start.elapsed().as_secs_f64() * 1e9 / f64::from(TIMED_EVENTS)
}

fn cut(frames: &[Bytes]) {
    let (mut events, mut progress) = (EventSplitter::default(), Progress::default());
    for frame in frames {
        let passed = events.push(frame.clone(), &mut progress);
        black_box(passed.is_ok());
    }
}

fn follow(frames: &[Bytes]) {
    let mut position = Position::default();
    for frame in frames {
        position.advance(black_box(frame));
    }
    black_box(position.is_between_events());
}

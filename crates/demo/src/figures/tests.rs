use std::time::Duration;

use godwitpost_history::event::{End, Event, Run, RunEnd, What};

use super::skew;

fn events(whats: Vec<What>) -> Vec<Event> {
    let event = |(order, what)| Event {
        order,
        at: Duration::ZERO,
        what,
    };
    (0..).zip(whats).map(event).collect()
}

fn join(endpoint: &str) -> What {
    What::EndpointJoined {
        endpoint: endpoint.into(),
        incarnation: 1,
        service: "drafting".into(),
    }
}

fn start(run: u64, endpoint: &str, work: u64) -> What {
    What::RunStarted(Run {
        run,
        call: run,
        endpoint: endpoint.into(),
        incarnation: 1,
        work,
    })
}

fn end(run: u64) -> What {
    What::RunEnded(RunEnd {
        run,
        end: End::Whole,
        answer: None,
    })
}

#[test]
fn skew_is_the_busiest_over_the_mean() {
    let whats = vec![
        join("a"),
        join("b"),
        start(1, "a", 90),
        start(2, "b", 40),
        start(3, "b", 10),
        start(4, "a", 10),
        end(1),
        end(2),
        start(5, "b", 50),
    ];
    let skew = skew(&events(whats), "drafting");
    assert!((skew.overall - 1.0).abs() < 1e-9, "{skew:?}");
    // Alone, the first request is twice the mean; it is not looked at.
    assert!((skew.worst - 60.0 / 35.0).abs() < 1e-9, "{skew:?}");
}

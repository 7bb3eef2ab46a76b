//! The owner: admits, bounds and queues the work of its endpoints, and
//! remembers where chats are warm.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_decide::chats::{Location, Table};
use godwitpost_decide::ending::Ending;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::owner::{Next, Owner};
use godwitpost_decide::view::{Pool, View};
use godwitpost_types::request::Request;

use super::{Cost, Measure};
use crate::fleet;
use crate::letter;
use crate::meter::{self, Allocated};

const ROLE: &str = "owner";
const CALLS: u32 = 2_000;

/// Ticks a second of the control thread.
const TICKS: f64 = 10.0;

/// Measures the role.
#[must_use]
pub fn measure(allocated: Allocated) -> Vec<Measure> {
    vec![
        chats(allocated),
        running(allocated),
        offer(),
        tick(),
        summaries(),
    ]
}

fn chats(allocated: Allocated) -> Measure {
    let point = |chats: u32| {
        let (_table, bytes) = meter::memory(allocated, || {
            let mut table = Table::default();
            for chat in 0..u64::from(chats) {
                table.insert(location(chat));
            }
            table
        });
        (f64::from(chats), bytes)
    };
    Measure {
        role: ROLE,
        what: "chat locations",
        against: "chats",
        points: [1_000, 4_000, 17_200, 34_000].map(point).into(),
        size: letter::CHATS / letter::INSTANCES,
        cost: Cost::Memory,
        control: true,
    }
}

fn location(chat: u64) -> Location {
    let request = fleet::request(chat, 1);
    Location {
        chat: request.chat,
        pool: Pool::for_request(&request),
        endpoint: 1,
        incarnation: 1,
        tokens: 800,
        seen: Duration::from_secs(chat),
    }
}

// An owner of about ten endpoints with some requests in flight.
fn running(allocated: Allocated) -> Measure {
    let point = |requests: u32| {
        let view = fleet::view(320, 3_300, 1);
        let mut owner = Owner::new(Arc::clone(&view), fleet::policy());
        let all: Vec<Request> = (0..u64::from(requests))
            .map(|c| fleet::request(c, 1))
            .collect();
        let ((), bytes) = meter::memory(allocated, || {
            for request in &all {
                owner.offer(Duration::from_secs(1), request, &hop(&view, request));
            }
        });
        (f64::from(requests), bytes)
    };
    Measure {
        role: ROLE,
        what: "requests in flight, with their chats",
        against: "requests",
        points: [500, 1_000, 2_000, 4_000].map(point).into(),
        size: letter::entered() * letter::IN_FLIGHT,
        cost: Cost::Memory,
        control: true,
    }
}

fn offer() -> Measure {
    let point = |endpoints: u32| {
        let view = fleet::view(1, endpoints as usize, 1);
        let mut owner = Owner::new(Arc::clone(&view), fleet::policy());
        let requests: Vec<Request> = (0..256).map(|c| fleet::request(c, 1)).collect();
        let took = meter::nanoseconds(CALLS, |call| {
            let request = &requests[call as usize % requests.len()];
            let now = Duration::from_millis(u64::from(call));
            if let Next::Dispatch(grant) = owner.offer(now, request, &hop(&view, request)) {
                owner.finish(now, grant.attempt, Ending::Done);
            }
        });
        (f64::from(endpoints), took)
    };
    Measure {
        role: ROLE,
        what: "admitting and finishing a request",
        against: "owned endpoints",
        points: [5, 10, 20, 40].map(point).into(),
        size: letter::owned(),
        cost: Cost::Time {
            rate: letter::entered(),
        },
        control: false,
    }
}

fn tick() -> Measure {
    let point = |endpoints: u32| {
        let view = fleet::view(1, endpoints as usize, 1);
        let mut owner = Owner::new(view, fleet::policy());
        let took = meter::nanoseconds(CALLS, |call| {
            owner.tick(Duration::from_millis(u64::from(call)));
        });
        (f64::from(endpoints), took)
    };
    Measure {
        role: ROLE,
        what: "a tick: deadlines and health",
        against: "owned endpoints",
        points: [5, 10, 20, 40].map(point).into(),
        size: letter::owned(),
        cost: Cost::Time { rate: TICKS },
        control: true,
    }
}

fn summaries() -> Measure {
    let point = |endpoints: u32| {
        let view = fleet::view(320, endpoints as usize, 35);
        let owner = Owner::new(view, fleet::policy());
        let took = meter::nanoseconds(CALLS / 10, |call| {
            std::hint::black_box(owner.summaries(Duration::from_millis(u64::from(call))));
        });
        (f64::from(endpoints), took)
    };
    Measure {
        role: ROLE,
        what: "load summaries of the owned endpoints",
        against: "endpoints of the fleet",
        points: [330, 1_000, 3_300].map(point).into(),
        size: letter::RUNNERS,
        // One for each answer to another instance and each gossip contact.
        cost: Cost::Time {
            rate: letter::entered() + 2.0,
        },
        control: false,
    }
}

fn hop(view: &View, request: &Request) -> Hop {
    let home = view
        .ranked(Pool::for_request(request), request.chat, 0)
        .next();
    Hop::first(0, home.expect("the pool has endpoints"))
}

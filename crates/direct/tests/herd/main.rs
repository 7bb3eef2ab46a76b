//! Plain requests of many instances that all know the same old loads.
//!
//! Time is driven and seeded, endpoints are queues in memory; the decisions are those
//! that run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use godwitpost_decide::health::Access;
use godwitpost_direct::book::{EndpointStats, Report};
use godwitpost_direct::place::{Candidate, Pick, Unavailable, pick};
use godwitpost_types::clock::since;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 6;

/// Mean work of a request, in seconds.
const WORK: f64 = 0.06;

/// The mean load of an endpoint without any waiting.
const MEAN: f64 = 2.7;

/// How often each instance hears what the others heard, in seconds.
const TOLD: f64 = 1.4;

const TIME: f64 = 24.0;

#[derive(Clone, Copy, Debug)]
struct Size {
    instances: usize,
    endpoints: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    End {
        instance: usize,
        endpoint: u64,
        sent: Duration,
    },
    Told {
        instance: usize,
    },
}

/// What callers met.
#[derive(Debug)]
struct Met {
    /// The part that met an endpoint above twice the mean, and three.
    above: f64,
    /// The part that had to wait for a slot.
    waited: f64,
}

struct World {
    size: Size,
    rng: ChaCha8Rng,
    books: Vec<EndpointStats>,
    hub: EndpointStats,
    // Requests that each endpoint runs or holds, and when its slots are free.
    loads: Vec<u32>,
    free: Vec<Vec<Duration>>,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    pushed: u64,
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs)
}

impl World {
    fn new(size: Size, seed: u64) -> Self {
        let endpoints = usize::try_from(size.endpoints).unwrap_or(0);
        let mut world = Self {
            size,
            rng: ChaCha8Rng::seed_from_u64(seed),
            books: (0..size.instances)
                .map(|_| EndpointStats::default())
                .collect(),
            hub: EndpointStats::default(),
            loads: vec![0; endpoints],
            free: vec![vec![Duration::ZERO; SLOTS as usize]; endpoints],
            queue: BinaryHeap::new(),
            pushed: 0,
        };
        for instance in 0..size.instances {
            let at = secs(world.rng.random_range(0.0..TOLD));
            world.push(at, Event::Told { instance });
        }
        world.push(Duration::ZERO, Event::Arrival);
        world
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.pushed += 1;
        self.queue.push(Reverse((at, self.pushed, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        secs(-mean * uniform.ln())
    }

    fn endpoints(&self) -> f64 {
        f64::from(u32::try_from(self.loads.len()).unwrap_or(u32::MAX))
    }

    fn index(endpoint: u64) -> usize {
        usize::try_from(endpoint - 1).unwrap_or(0)
    }

    fn candidates(&self, instance: usize, now: Duration) -> Vec<Candidate> {
        let ids: Vec<u64> = (1..=self.size.endpoints).collect();
        let looks = self.books[instance].estimate(&ids, now);
        let zone = |endpoint: u64| endpoint % 6;
        let own = zone(instance as u64);
        ids.iter()
            .zip(looks)
            .map(|(id, look)| Candidate {
                endpoint: *id,
                load: look.load,
                load_stddev: look.std_dev,
                own_requests: look.own_requests,
                observed_load: look.observed_load,
                known_fraction: look.known,
                slots: SLOTS,
                same_zone: zone(*id) == own,
                path_clear: true,
                access: Access::Full,
                exclusion: None,
            })
            .collect()
    }

    // Returns the load that a request met, and whether it waited.
    fn arrival(&mut self, now: Duration) -> (u32, bool) {
        let rate = MEAN / WORK * self.endpoints();
        let next = now + self.exponential(1.0 / rate);
        self.push(next, Event::Arrival);
        let instance = self.rng.random_range(0..self.size.instances);
        let candidates = self.candidates(instance, now);
        let draw = self.rng.random();
        let Pick::Send { endpoint, .. } =
            pick(&candidates, Unavailable::default(), None, 2.0, draw)
        else {
            panic!("no room at any endpoint");
        };
        self.books[instance].start_request(endpoint);
        let work = self.exponential(WORK);
        let index = Self::index(endpoint);
        let met = self.loads[index];
        self.loads[index] += 1;
        let slot = self.free[index].iter_mut().min().expect("a slot");
        let waited = *slot > now;
        *slot = now.max(*slot) + work;
        let end = *slot;
        self.push(
            end,
            Event::End {
                instance,
                endpoint,
                sent: now,
            },
        );
        (met, waited)
    }

    fn end(&mut self, instance: usize, endpoint: u64, sent: Duration, now: Duration) {
        let load = &mut self.loads[Self::index(endpoint)];
        let report = Report {
            running: (*load).min(SLOTS),
            waiting: load.saturating_sub(SLOTS),
            slots: SLOTS,
        };
        *load -= 1;
        let book = &mut self.books[instance];
        book.record_report(endpoint, report, now);
        book.end_request(endpoint, since(now, sent));
    }

    // An instance tells what it heard to the one that is asked, and is told.
    fn told(&mut self, instance: usize, now: Duration) {
        let book = &mut self.books[instance];
        for load in book.take_new_loads(now) {
            self.hub
                .record_peer_load(load.endpoint, load.requests, since(now, load.age));
        }
        for load in self.hub.recent_loads(now, instance as u64) {
            book.record_peer_load(load.endpoint, load.requests, since(now, load.age));
        }
        self.push(now + secs(TOLD), Event::Told { instance });
    }
}

fn drive(size: Size, seed: u64) -> Met {
    let mut world = World::new(size, seed);
    let (mut all, mut above, mut waited) = (0_u32, 0_u32, 0_u32);
    while let Some(Reverse((now, _, event))) = world.queue.pop() {
        if now > secs(TIME) {
            break;
        }
        match event {
            Event::Arrival => {
                let sum: u32 = world.loads.iter().sum();
                let mean = f64::from(sum) / world.endpoints();
                let (met, had_to) = world.arrival(now);
                if now > secs(TIME / 3.0) {
                    all += 1;
                    above += u32::from(f64::from(met) > 2.0 * mean + 3.0);
                    waited += u32::from(had_to);
                }
            }
            Event::End {
                instance,
                endpoint,
                sent,
            } => world.end(instance, endpoint, sent, now),
            Event::Told { instance } => world.told(instance, now),
        }
    }
    Met {
        above: f64::from(above) / f64::from(all),
        waited: f64::from(waited) / f64::from(all),
    }
}

/// Shop staff wait at the counter for a stock check that takes 60 ms. Three hundred
/// instances are told the same loads, a second old, and all send to the endpoint that
/// was the least loaded then, until the next one looks so: one holds 47 requests where
/// the mean is 11, and the others idle.
#[test]
fn instances_that_know_the_same_do_not_all_choose_the_same() {
    let size = Size {
        instances: 295,
        endpoints: 12,
    };
    let met = [0, 1, 2].map(|seed| drive(size, seed));
    for met in &met {
        assert!(met.above < 0.03, "{met:?}");
    }
    // With each request at an endpoint drawn evenly 6.5% wait, by Erlang's formula.
    let waited: f64 = met.iter().map(|met| met.waited).sum();
    assert!(waited / 3.0 < 0.08, "{met:?}");
}

/// Among a few instances each knows a good part of the load itself.
#[test]
fn a_few_instances_spread_their_requests_as_well() {
    let size = Size {
        instances: 6,
        endpoints: 12,
    };
    for seed in 0..3 {
        let met = drive(size, seed);
        assert!(met.above < 0.03, "{met:?}");
        assert!(met.waited < 0.06, "{met:?}");
    }
}

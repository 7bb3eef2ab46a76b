//! Requests that share one part of their prompts, under which each endpoint crashes.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::endpoint::{
    Ending, Endpoint, ReceivedRequest, Step, close_delimited_head, events, last_chunk, stream_head,
};
use crate::fleet::{TestInstance, free_addresses, read_rest};

/// The part that all requests share.
const COMMON_PART: u64 = 7;

const CRASHING_PART: u64 = 909;

const INSTANCES: usize = 3;

const ENDPOINTS: usize = 14;

/// How long after its crash an endpoint is back, under a new id.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

const SOUND_INTERVAL: Duration = Duration::from_millis(25);

const CRASHING_INTERVAL: Duration = Duration::from_millis(200);

/// How long only sound requests come.
const CALM: Duration = Duration::from_secs(2);

/// How long requests with the crashing part come.
const TROUBLE: Duration = Duration::from_secs(11);

/// Within this time after a change all instances know of it.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// So many endpoints end before the bounds apply.
const FREE_CRASHES: usize = 5;

/// So many requests with the part may reach endpoints later.
const MAX_LATER: usize = 3;

/// Where the crashing part stands among the parts of a request.
#[derive(Clone, Copy, Debug)]
enum Place {
    First,
    Second,
    /// After another part, which sound requests have as well.
    Third,
}

/// How far an endpoint gets with the response that it crashes at.
#[derive(Clone, Copy, Debug)]
enum Written {
    Nothing,
    /// The head and an event.
    Event,
    /// The head and an event of a response that ends with its connection, which is closed
    /// in order.
    EventWithoutFraming,
}

/// When endpoints crashed and got requests with the crashing part.
#[derive(Debug, Default)]
struct Log {
    crashed: Vec<Instant>,
    reached: Vec<Instant>,
}

/// The fewest requests by which a period is judged.
const MIN_JUDGED: u32 = 20;

/// What a sound request came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served,
    Held,
    Failed,
}

fn has_crashing_part(received: &ReceivedRequest) -> bool {
    let parts = received.header("x-prompt").unwrap_or_default();
    let crashing = CRASHING_PART.to_string();
    parts.split(',').any(|part| part == crashing)
}

fn respond(received: &ReceivedRequest, written: Written, log: &Mutex<Log>) -> Vec<Step> {
    if !has_crashing_part(received) {
        let mut steps = vec![stream_head(received, "s1"), Step::Wait(20)];
        steps.extend(events(1, 3));
        steps.push(last_chunk());
        return steps;
    }
    let now = Instant::now();
    log.lock().expect("log lock").reached.push(now);
    let begun = match written {
        Written::Nothing => vec![Step::Wait(40)],
        Written::Event => vec![Step::Wait(20), stream_head(received, "s1")],
        Written::EventWithoutFraming => {
            vec![Step::Wait(20), close_delimited_head(received, "")]
        }
    };
    let ending = match written {
        Written::EventWithoutFraming => Ending::InOrder,
        Written::Nothing | Written::Event => Ending::Reset,
    };
    let mut steps = begun;
    if !matches!(written, Written::Nothing) {
        steps.extend(events(1, 1));
        steps.push(Step::Wait(20));
    }
    steps.push(Step::Crash(ending));
    steps
}

// An endpoint of the fleet, under a new id after each crash, for as long as the test runs.
async fn run_endpoint(
    instances: Arc<Vec<TestInstance>>,
    number: usize,
    first: Endpoint,
    written: Written,
    log: Arc<Mutex<Log>>,
) {
    let mut endpoint = first;
    for life in 0.. {
        while !endpoint.has_crashed() {
            sleep(Duration::from_millis(2)).await;
        }
        log.lock().expect("log lock").crashed.push(Instant::now());
        sleep(RESTART_TIME).await;
        endpoint = start_endpoint(written, &log).await;
        for instance in instances.iter() {
            instance.unregister(&name(number, life));
            instance.register(&name(number, life + 1), endpoint.address);
        }
    }
}

fn name(number: usize, life: usize) -> String {
    if life == 0 {
        format!("e{number}")
    } else {
        format!("e{number}-{life}")
    }
}

async fn start_endpoint(written: Written, log: &Arc<Mutex<Log>>) -> Endpoint {
    let log = Arc::clone(log);
    Endpoint::start(move |_, received: &ReceivedRequest| respond(received, written, &log)).await
}

fn prompt(place: Place, number: u64, random: &mut StdRng) -> String {
    let own = 1_000_000 + number;
    let other = random.random_range(100..106_u64);
    match place {
        Place::First => format!("{CRASHING_PART},{COMMON_PART},{own}"),
        Place::Second => format!("{COMMON_PART},{CRASHING_PART},{own}"),
        Place::Third => format!("{COMMON_PART},{other},{CRASHING_PART},{own}"),
    }
}

async fn send(instances: &[TestInstance], chosen: usize, number: u64, prompt: &str) -> Outcome {
    let body = format!("request {number}");
    let text = format!(
        "POST /draft/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt: a{number}\r\nx-key: k1\r\n\
         x-patience: 1500\r\nconnection: close\r\nx-prompt: {prompt}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = instances[chosen].open(&text).await;
    let response = read_rest(&mut stream).await;
    if response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n") {
        Outcome::Served
    } else if response.contains("\"held\"") {
        Outcome::Held
    } else {
        Outcome::Failed
    }
}

async fn start_instances(addresses: &[std::net::SocketAddr]) -> Vec<TestInstance> {
    let own: [_; INSTANCES] = free_addresses();
    let seeds = [own[0]];
    let instances: Vec<_> = own
        .iter()
        .map(|own| TestInstance::start_with_seeds(&seeds, *own, addresses))
        .collect();
    for instance in &instances {
        instance.wait_until_ready().await;
    }
    instances
}

struct Fleet {
    instances: Arc<Vec<TestInstance>>,
    log: Arc<Mutex<Log>>,
    // Endpoints that return after their crashes.
    endpoints: JoinSet<()>,
}

impl Fleet {
    async fn start(written: Written) -> Self {
        let log = Arc::<Mutex<Log>>::default();
        let mut started = Vec::new();
        for _ in 0..ENDPOINTS {
            started.push(start_endpoint(written, &log).await);
        }
        let addresses: Vec<_> = started.iter().map(|one| one.address).collect();
        let instances = Arc::new(start_instances(&addresses).await);
        let mut endpoints = JoinSet::new();
        for (number, endpoint) in started.into_iter().enumerate() {
            let (instances, log) = (Arc::clone(&instances), Arc::clone(&log));
            endpoints.spawn(run_endpoint(instances, number, endpoint, written, log));
        }
        Self {
            instances,
            log,
            endpoints,
        }
    }

    // Sends sound requests and, after a while, requests with the crashing part. Returns the
    // outcomes of the sound ones and when they were sent.
    async fn run(&self, place: Place) -> Vec<(Instant, Outcome)> {
        let mut random = StdRng::seed_from_u64(1);
        let begin = Instant::now();
        let trouble = begin + CALM;
        let end = trouble + TROUBLE;
        let (mut next_sound, mut next_crashing) = (begin, trouble);
        let mut sound = JoinSet::new();
        let mut crashing = JoinSet::new();
        for number in 0.. {
            let at = next_sound.min(next_crashing);
            if at >= end {
                break;
            }
            sleep_until(at).await;
            let instances = Arc::clone(&self.instances);
            let chosen = random.random_range(0..INSTANCES);
            if next_crashing <= next_sound {
                let prompt = prompt(place, number, &mut random);
                crashing.spawn(async move { send(&instances, chosen, number, &prompt).await });
                next_crashing += CRASHING_INTERVAL;
            } else {
                let other = random.random_range(100..106_u64);
                let prompt = format!("{COMMON_PART},{other},{}", 1_000_000 + number);
                sound.spawn(async move { (at, send(&instances, chosen, number, &prompt).await) });
                next_sound += SOUND_INTERVAL;
            }
        }
        crashing.join_all().await;
        sound.join_all().await
    }
}

// Returns the fraction of the sound requests sent in a period that were served, or `None` if
// too few were sent.
fn served_fraction(outcomes: &[(Instant, Outcome)], from: Instant, to: Instant) -> Option<f64> {
    let sent = outcomes.iter().filter(|(at, _)| *at >= from && *at < to);
    let sent: Vec<_> = sent.collect();
    let served = sent.iter().filter(|(_, one)| *one == Outcome::Served);
    let served = u32::try_from(served.count()).expect("few requests");
    let sent = u32::try_from(sent.len()).expect("few requests");
    (sent >= MIN_JUDGED).then(|| f64::from(served) / f64::from(sent))
}

// Plays the day and checks the users' bounds on it.
async fn play(place: Place, written: Written) {
    let mut fleet = Fleet::start(written).await;
    let outcomes = fleet.run(place).await;
    fleet.endpoints.abort_all();
    let log = fleet.log.lock().expect("log lock");
    let fifth = *log
        .crashed
        .get(FREE_CRASHES - 1)
        .unwrap_or_else(|| log.crashed.last().expect("endpoints crashed"));
    let begin = outcomes.iter().map(|(at, _)| *at).min().expect("requests");
    let end = begin + CALM + TROUBLE;
    let later = log.reached.iter().filter(|at| **at > fifth + CONTACT_TIME);
    let later = later.count();
    let before = served_fraction(&outcomes, begin, begin + CALM);
    // Earlier than the users' bound, which counts from the fifth crash.
    let first = *log.crashed.first().expect("endpoints crashed");
    let after = served_fraction(&outcomes, first + 2 * CONTACT_TIME, end);
    let held = outcomes.iter().filter(|(_, one)| *one == Outcome::Held);
    let held = held.count();
    let told = format!(
        "{place:?}, {written:?}: {} ended, {} reached, {later} later, sound served {before:.3?} \
         and {after:.3?}, {held} held",
        log.crashed.len(),
        log.reached.len(),
    );
    println!("{told}");
    assert!(later <= MAX_LATER, "{told}");
    let before = before.expect("requests before the trouble");
    let after = after.expect("requests during the trouble");
    assert!(after >= before / 2.0, "{told}");
    assert_eq!(held, 0, "{told}");
}

/// Guards against endpoints that crash one after the other under requests that share one
/// part of their prompts and nothing else.
#[tokio::test]
async fn requests_that_share_a_crashing_part_are_held() {
    play(Place::Third, Written::Event).await;
}

/// Guards against the same where the part that crashes comes first and nothing is written.
#[tokio::test]
async fn requests_that_share_a_crashing_first_part_are_held() {
    play(Place::First, Written::Nothing).await;
}

/// Guards against the same where a crash looks like the end of a complete response.
#[tokio::test]
async fn requests_that_share_a_part_and_end_in_order_are_held() {
    play(Place::Second, Written::EventWithoutFraming).await;
}

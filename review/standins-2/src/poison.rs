//! A request crashes each runner that runs it, and comes again.

use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Answer, Pace, Request, connect, exchange};
use crate::http::{Head, respond};
use crate::record::Record;
use crate::runner::Runner;
use crate::world::{KEY, Service, World, route};

const POISON: &str = "/cufi504/poison/2f";
const SOUND: &str = "/cufi504/fi50/2f";

/// How long after it has begun to run the request a runner crashes, and how long until it is
/// back.
const CRASH_AFTER: Duration = Duration::from_millis(10);
const BACK_AFTER: Duration = Duration::from_secs(3);

const WORK: Duration = Duration::from_millis(10);

/// The pause between the sound requests that each instance gets.
const SOUND_PAUSE: Duration = Duration::from_millis(250);

/// How often the request comes again, and for how long.
const AGAIN: Duration = Duration::from_secs(4);
const TIME: Duration = Duration::from_secs(100);

/// How many times a client sends a request again that has failed.
const RETRIES: usize = 1;

/// The bounds of the rule.
const CONTACT_MS: u128 = 3_000;
const CRASHES: usize = 3;
const MOST_RETRIES: usize = 3;

const PACE: Pace = Pace {
    bytes: 4_096,
    pause: Duration::ZERO,
    gap: Duration::from_millis(600),
    deadline: Duration::from_millis(600),
};

static CRASHES_RUNNERS: AtomicBool = AtomicBool::new(false);

fn serve(runner: &Runner, head: &Head, _: &[u8], stream: &mut TcpStream) -> std::io::Result<bool> {
    if head.target() == POISON && CRASHES_RUNNERS.load(Ordering::SeqCst) {
        thread::sleep(CRASH_AFTER);
        runner.crash(BACK_AFTER);
        return Ok(false);
    }
    thread::sleep(WORK);
    let id = head.get("godwitpost-attempt-id").unwrap_or_default();
    let body = format!("done {id}");
    respond(stream, "200 OK", &runner.headers(head), body.as_bytes())?;
    Ok(true)
}

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    CRASHES_RUNNERS.store(has_trouble, Ordering::SeqCst);
    let services = [Service {
        name: "wuno96b",
        runners: 4,
        slots: 6,
        handler: serve,
    }];
    let routes = route("/cufi504/", "safe", "wuno96b", 600, 100, 2, false);
    let world = World::start(record.clone(), 3, &services, &routes)?;
    thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = world.instances.iter().map(|one| one.callers).collect();
    let until = Instant::now() + TIME;
    let lost = Mutex::new(0);
    thread::scope(|scope| {
        for (number, address) in callers.iter().enumerate() {
            let (lost, record) = (&lost, record.clone());
            scope.spawn(move || {
                for sent in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("5{number:03}{sent:06}");
                    let answer = send(*address, SOUND, &id);
                    record.line(&format!("sound request {id}: {}", describe(&answer)));
                    *lost.lock().expect("the count") += usize::from(answer.status != 200);
                    thread::sleep(SOUND_PAUSE);
                }
            });
        }
        for round in 0.. {
            if Instant::now() >= until {
                break;
            }
            for retry in 0..=RETRIES {
                // A retry reaches another machine.
                let at = (round + retry) % callers.len();
                let id = format!("b4d{round:04}{retry}");
                record.line(&format!(
                    "client sends {id} to {}",
                    world.instances[at].name
                ));
                let answer = send(callers[at], POISON, &id);
                record.line(&format!("client got for {id}: {}", describe(&answer)));
                // Refused with a time to come back that is longer than it waits for.
                if answer.status == 200 || answer.status == 503 {
                    break;
                }
            }
            thread::sleep(AGAIN);
        }
    });
    let runs = world.runs.lock().expect("the runs").clone();
    let poisoned: Vec<u128> = runs
        .iter()
        .filter(|one| one.target == POISON)
        .map(|one| one.at_ms)
        .collect();
    let third = poisoned.get(CRASHES - 1).copied();
    let later = third.map_or(0, |third| {
        let is_later = |at: &&u128| **at > third + CONTACT_MS;
        poisoned.iter().filter(is_later).count()
    });
    record.line(&format!(
        "the request reached runners {} times, {later} of them later than {CONTACT_MS} ms after \
         it had crashed the third; {MOST_RETRIES} may; {} sound requests were not served",
        poisoned.len(),
        lost.lock().expect("the count")
    ));
    if has_trouble && third.is_none() {
        return Err("the request crashed fewer than three runners".to_owned());
    }
    Ok(has_trouble && later > MOST_RETRIES)
}

fn send(callers: std::net::SocketAddrV4, target: &str, id: &str) -> Answer {
    let headers = format!("Api-Key: {KEY}\r\n");
    let request = Request {
        method: "GET",
        target,
        id,
        headers: &headers,
        body: b"",
    };
    match connect(callers) {
        Ok(mut stream) => exchange(&mut stream, &request, PACE),
        Err(error) => Answer::none(&error.to_string()),
    }
}

fn describe(answer: &Answer) -> String {
    let wait = answer
        .retry_after
        .map_or_else(String::new, |wait| format!(", Retry-After {wait}"));
    format!("{}{wait} ({})", answer.status, answer.end)
}

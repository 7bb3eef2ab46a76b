//! Some runners break a stream off after its last event, before its last chunk.

use std::io::Write;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Answer, Pace, Request, connect, exchange};
use crate::http::Head;
use crate::record::Record;
use crate::runner::Runner;
use crate::world::{KEY, Service, World, route};

/// Events of a stream, and the pause between two of them. The last one says so in its data, as
/// engines do.
const EVENTS: u64 = 20;
const EVENT_PAUSE: Duration = Duration::from_millis(5);
const LAST_DATA: &str = "[DONE]";

/// Of the runners, half break off one in this many of their answers.
const FAULTY_ONE_IN: usize = 2;
const BROKEN_ONE_IN: usize = 34;

const CLIENTS: usize = 2;
const TIME: Duration = Duration::from_secs(16);
const PAUSE: Duration = Duration::from_millis(20);

const PACE: Pace = Pace {
    bytes: 4_096,
    pause: Duration::ZERO,
    gap: Duration::from_millis(3_200),
    deadline: Duration::from_millis(15_000),
};

static BREAKS: AtomicBool = AtomicBool::new(false);
static BROKEN: AtomicUsize = AtomicUsize::new(0);

fn stream(runner: &Runner, head: &Head, _: &[u8], stream: &mut TcpStream) -> std::io::Result<bool> {
    let id = head.get("godwitpost-attempt-id").unwrap_or_default();
    let after = head.get("last-event-id");
    runner.record().line(&format!(
        "{id} begins after event {} at runner {}",
        after.unwrap_or("(none)"),
        runner.id()
    ));
    let first: u64 = after.and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
    let headers = runner.headers(head);
    let start = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(start.as_bytes())?;
    for number in first..=EVENTS {
        thread::sleep(EVENT_PAUSE);
        let data = if number == EVENTS {
            LAST_DATA.to_owned()
        } else {
            format!("token {number}")
        };
        let event = format!("id: {number}\ndata: {data}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes())?;
    }
    let is_faulty = runner.number() % FAULTY_ONE_IN == 0 && BREAKS.load(Ordering::SeqCst);
    if is_faulty && runner.count() % BROKEN_ONE_IN == BROKEN_ONE_IN - 1 {
        runner
            .record()
            .line(&format!("runner breaks {id} off after its last event"));
        BROKEN.fetch_add(1, Ordering::SeqCst);
        return Ok(false);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    BREAKS.store(has_trouble, Ordering::SeqCst);
    let services = [Service {
        name: "huvo11a",
        runners: 9,
        slots: 128,
        handler: stream,
    }];
    let routes = route("/lohu930/", "stream", "huvo11a", 15_000, 800, 2, true);
    let world = World::start(record.clone(), 3, &services, &routes)?;
    thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + TIME;
    let tallies: Vec<(usize, usize)> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS * world.instances.len())
            .map(|number| {
                let target = &world.instances[number % world.instances.len()];
                let record = record.clone();
                scope.spawn(move || send_all(&record, number, target.callers, until))
            })
            .collect();
        clients
            .into_iter()
            .filter_map(|one| one.join().ok())
            .collect()
    });
    let sent: usize = tallies.iter().map(|one| one.0).sum();
    let out_of_order: usize = tallies.iter().map(|one| one.1).sum();
    record.line(&format!(
        "{sent} streams, of which runners broke off {} after the last event; {out_of_order} \
         clients got an event twice or one that did not follow",
        BROKEN.load(Ordering::SeqCst)
    ));
    if sent < 100 {
        return Err("too few streams".to_owned());
    }
    Ok(out_of_order > 0)
}

// Returns how many streams were read, and in how many an event was missing or came twice.
fn send_all(
    record: &Record,
    client: usize,
    callers: SocketAddrV4,
    until: Instant,
) -> (usize, usize) {
    let headers =
        format!("Api-Key: {KEY}\r\nGodwitpost-Model: m\r\nGodwitpost-Token-Counts: 1460,100\r\n");
    let (mut sent, mut out_of_order) = (0, 0);
    while Instant::now() < until {
        let id = format!("d{client:02}{sent:06}");
        let request = Request {
            method: "POST",
            target: "/lohu930/2f",
            id: &id,
            headers: &headers,
            body: b"{}",
        };
        let Ok(mut stream) = connect(callers) else {
            record.line(&format!("no connection for {id}"));
            thread::sleep(PAUSE);
            continue;
        };
        record.line(&format!("client sends {id}"));
        let answer = exchange(&mut stream, &request, PACE);
        sent += 1;
        let ids = event_ids(&answer);
        let is_in_order =
            ids.iter().copied().eq(1..=ids.len() as u64) && ids.len() as u64 <= EVENTS;
        if !is_in_order {
            out_of_order += 1;
        }
        if is_in_order {
            record.line(&format!(
                "client got of {id}: status {}, whole: {}, {} events",
                answer.status,
                answer.is_whole,
                ids.len()
            ));
        } else {
            record.line(&format!(
                "client got of {id}: status {}, whole: {}, events out of order: {ids:?}",
                answer.status, answer.is_whole
            ));
        }
        thread::sleep(PAUSE);
    }
    (sent, out_of_order)
}

fn event_ids(answer: &Answer) -> Vec<u64> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.filter_map(|id| id.parse().ok()).collect()
}

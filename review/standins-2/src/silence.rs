//! A runner that preempts its streams is silent for a while, at an instance that got SIGTERM.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Pace, Request, connect, exchange};
use crate::http::Head;
use crate::record::Record;
use crate::runner::Runner;
use crate::world::{KEY, Service, World, route};

/// Events of a stream, and the pause between two of them.
const EVENTS: usize = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// The event after which a stream is preempted, and how long it is silent. Clients bear gaps of
/// 3.2 s: four times the objective, or eight times the pause that is on time.
const PREEMPTED_AFTER: usize = 10;
const SILENCE: Duration = Duration::from_millis(2_500);
const CLIENT_GAP: Duration = Duration::from_millis(3_200);

const CLIENTS: usize = 12;

/// How many streams each runner keeps; it preempts the newer ones.
const KEPT: usize = 2;

const TERMINATE_AFTER: Duration = Duration::from_millis(300);

const PACE: Pace = Pace {
    bytes: 4_096,
    pause: Duration::ZERO,
    gap: CLIENT_GAP,
    deadline: Duration::from_millis(15_000),
};

/// Whether streams are preempted.
static PREEMPTS: AtomicBool = AtomicBool::new(false);

fn stream(runner: &Runner, head: &Head, _: &[u8], stream: &mut TcpStream) -> std::io::Result<bool> {
    let headers = runner.headers(head);
    let id = head
        .get("godwitpost-attempt-id")
        .unwrap_or_default()
        .to_owned();
    let after = head.get("last-event-id").and_then(|id| id.parse().ok());
    let first: usize = after.unwrap_or(0) + 1;
    // A stream that goes on elsewhere found room there and isn't preempted again.
    let is_preempted = runner.count() >= KEPT && first == 1 && PREEMPTS.load(Ordering::SeqCst);
    let start = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(start.as_bytes())?;
    let mut write_all = || {
        for number in first..=EVENTS {
            let event = format!("id: {number}\ndata: token {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
            thread::sleep(EVENT_PAUSE);
            if number == PREEMPTED_AFTER && is_preempted {
                runner.record().line(&format!("runner preempts {id}"));
                thread::sleep(SILENCE);
                runner.record().line(&format!("runner goes on with {id}"));
            }
        }
        stream.write_all(b"0\r\n\r\n")
    };
    let written = write_all();
    let how = if written.is_ok() {
        "wrote all of"
    } else {
        "lost the connection of"
    };
    runner.record().line(&format!("runner {how} {id}"));
    written.map(|()| true)
}

pub fn run(record: Record, has_trouble: bool) -> Verdict {
    PREEMPTS.store(has_trouble, Ordering::SeqCst);
    let services = [Service {
        name: "huvo11a",
        runners: 9,
        slots: 128,
        handler: stream,
    }];
    let routes = route("/lohu930/", "stream", "huvo11a", 15_000, 800, 2, true);
    let world = World::start(record.clone(), 3, &services, &routes)?;
    thread::sleep(Duration::from_secs(4));
    let target = &world.instances[0];
    let answers: Vec<_> = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let record = record.clone();
                scope.spawn(move || {
                    let id = format!("9c41{number:04}");
                    let mut stream = connect(target.callers).map_err(|error| error.to_string())?;
                    record.line(&format!("client sends {id} to {}", target.name));
                    let headers = format!(
                        "Api-Key: {KEY}\r\nGodwitpost-Model: m\r\nGodwitpost-Token-Counts: 1460,150\r\n"
                    );
                    let request = Request {
                        method: "POST",
                        target: "/lohu930/2f",
                        id: &id,
                        headers: &headers,
                        body: b"{}",
                    };
                    let answer = exchange(&mut stream, &request, PACE);
                    record.line(&format!(
                        "client got of {id}: status {}, {} bytes, whole: {}, end: {}",
                        answer.status,
                        answer.body.len(),
                        answer.is_whole,
                        answer.end
                    ));
                    Ok::<_, String>(answer)
                })
            })
            .collect();
        thread::sleep(TERMINATE_AFTER);
        record.line(&format!("SIGTERM to {}", target.name));
        target.terminate();
        clients
            .into_iter()
            .map(|client| {
                client
                    .join()
                    .unwrap_or_else(|_| Err("a client ended".to_owned()))
            })
            .collect()
    });
    let mut cut = 0;
    for answer in answers {
        let answer = answer?;
        if answer.end == "gap or deadline" || answer.end == "deadline" {
            return Err("a client gave up by itself".to_owned());
        }
        cut += usize::from(!answer.is_whole);
    }
    record.line(&format!("{cut} of {CLIENTS} streams were cut"));
    Ok(cut > 0)
}

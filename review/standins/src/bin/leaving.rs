//! A runner leaves: it has said so, serves for `DrainMs` and a little longer, and exits in the
//! middle of streams that end with their connection. With a second argument, `crash`, it says
//! nothing and crashes, with more streams.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_standins::fleet::{Fleet, configuration, end_with_parent, request};
use review_standins::http;
use review_standins::record::{Record, has_trouble};
use review_standins::store::Store;

const RUNNERS: usize = 4;

/// Streams to a fleet of which a runner leaves, and of which one crashes: sixty of it, where
/// the site's runners have 128 slots.
const STREAMS: u32 = 16;
const STREAMS_AT_CRASH: u32 = 240;

/// The time within which all streams are sent.
const SENDING: Duration = Duration::from_millis(480);

/// The events of each stream, and the time between two.
const EVENTS: u64 = 160;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// How long after the notice the runner exits: `DrainMs`, which is 2,000, and a little longer.
const DRAIN: Duration = Duration::from_millis(2_200);

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The name of the runner that leaves.
const LEAVING: &str = "runner0";

fn main() -> ExitCode {
    if std::env::args().nth(1).as_deref() == Some("runner") {
        return run_runner();
    }
    let record = Record::create();
    let store = Store::start();
    store.append("keyed.op", "config", configuration().as_bytes());
    let mut runners: Vec<(Child, SocketAddr)> = Vec::new();
    for index in 0..RUNNERS {
        match start_runner(&format!("runner{index}")) {
            Some(runner) => runners.push(runner),
            None => return ExitCode::from(2),
        }
    }
    let states: Arc<Mutex<Vec<&str>>> = Arc::new(Mutex::new(vec!["ready"; RUNNERS]));
    let addresses: Vec<SocketAddr> = runners.iter().map(|(_, address)| *address).collect();
    beat(&store, &addresses, &states);
    let Some(mut fleet) = Fleet::start(&store, 2) else {
        record.line("the instances did not get ready");
        return ExitCode::from(2);
    };
    thread::sleep(Duration::from_secs(4));
    let crashes = std::env::args().nth(2).as_deref() == Some("crash");
    let streams = if crashes { STREAMS_AT_CRASH } else { STREAMS };
    let clients: Vec<_> = (0..streams)
        .map(|index| {
            let front = fleet.addresses[index as usize % fleet.addresses.len()].front;
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(SENDING * index / streams);
                follow(front, &format!("c{index:07x}"), &record)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    if has_trouble() {
        // With NOTICE=removed its entry is removed instead, with NOTICE=none nothing is said.
        let usual = if crashes { "none" } else { "draining" };
        let notice = std::env::var("NOTICE").unwrap_or_else(|_| usual.to_owned());
        match notice.as_str() {
            "draining" => {
                states.lock().expect("the states")[0] = "draining";
                store.append(
                    "keyed.servers",
                    LEAVING,
                    &entry(0, addresses[0], "draining"),
                );
                record.line("runner0 says that it leaves; the store has accepted it");
            }
            "removed" => {
                states.lock().expect("the states")[0] = "";
                store.append("keyed.servers", LEAVING, b"");
                record.line("the entry of runner0 is removed");
            }
            _ => {}
        }
        thread::sleep(DRAIN);
        states.lock().expect("the states")[0] = "";
        drop(runners[0].0.kill());
        drop(runners[0].0.wait());
        record.line("the process of runner0 ends");
        // The entry of one that has said nothing is removed after three heartbeats of silence.
        if notice != "none" {
            store.append("keyed.servers", LEAVING, b"");
        }
    }
    let mut broken = 0;
    for client in clients {
        let Some(got) = client.join().expect("a client") else {
            record.line("a client got no answer");
            continue;
        };
        let is_whole = got.events == (1..=EVENTS).collect::<Vec<_>>();
        let last = got.events.last().copied().unwrap_or(0);
        record.line(&format!(
            "client: {} of {}: status {}, {} events, the last {last} of {EVENTS}; framed as complete: {}",
            got.id, got.stamp, got.status, got.events.len(), got.is_complete
        ));
        if got.status == 200 && got.is_complete && !is_whole {
            record.line(&format!(
                "BROKEN: {} ends as complete before its last piece",
                got.id
            ));
            broken += 1;
        }
    }
    for (runner, _) in &mut runners {
        drop(runner.kill());
        drop(runner.wait());
    }
    if !fleet.all_run() {
        record.line("an instance ended");
        return ExitCode::from(2);
    }
    record.line(&format!(
        "{broken} of {streams} streams end as complete before their last piece"
    ));
    ExitCode::from(u8::from(broken > 0))
}

/// What a client got of its stream.
struct Got {
    id: String,
    status: u16,
    stamp: String,
    events: Vec<u64>,
    is_complete: bool,
}

fn follow(front: SocketAddr, id: &str, record: &Record) -> Option<Got> {
    let more = "Godwitpost-Model: m\r\n";
    let text =
        String::from_utf8(request("POST", "/draft/1", id, "key-a", "a chapter", more)).ok()?;
    let text = text.replace("Deadline-Ms: 600", "Deadline-Ms: 15000");
    let mut stream = TcpStream::connect(front).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    record.line(&format!("client: sent {id}"));
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    let is_complete = loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break answer.ends_with(b"\r\n0\r\n\r\n"),
            Ok(bytes) => answer.extend_from_slice(&buffer[..bytes]),
        }
        if answer.ends_with(b"\r\n0\r\n\r\n") {
            break true;
        }
    };
    let text = String::from_utf8_lossy(&answer);
    let stamp = text
        .lines()
        .find_map(|line| line.strip_prefix("godwitpost-server-stamp: "));
    Some(Got {
        id: id.to_owned(),
        status: text.split(' ').nth(1)?.parse().ok()?,
        stamp: stamp.unwrap_or("(none)").to_owned(),
        events: text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect(),
        is_complete,
    })
}

fn entry(seq: u64, address: SocketAddr, state: &str) -> Vec<u8> {
    let born = SystemTime::UNIX_EPOCH + Duration::from_secs(1_764_000_000);
    let born = born
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis());
    format!(
        "{{\"Service\":\"franchise-desk\",\"Address\":\"{address}\",\"Zone\":\"sapporo\",\"Version\":\"v1\",\
         \"Slots\":128,\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":{seq},\"born\":{born}}}"
    )
    .into_bytes()
}

// Writes the entries of the runners as they would themselves.
fn beat(store: &Store, addresses: &[SocketAddr], states: &Arc<Mutex<Vec<&'static str>>>) {
    let (store, addresses, states) = (store.clone(), addresses.to_vec(), Arc::clone(states));
    thread::spawn(move || {
        for seq in 1.. {
            for (index, address) in addresses.iter().enumerate() {
                let state = states.lock().expect("the states")[index];
                if !state.is_empty() {
                    store.append(
                        "keyed.servers",
                        &format!("runner{index}"),
                        &entry(seq, *address, state),
                    );
                }
            }
            thread::sleep(HEARTBEAT);
        }
    });
}

// Starts a runner as a process of its own.
fn start_runner(name: &str) -> Option<(Child, SocketAddr)> {
    let mut command = Command::new(std::env::current_exe().ok()?);
    command
        .args(["runner", name])
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    // SAFETY: see `end_with_parent`.
    unsafe { command.pre_exec(end_with_parent) };
    let mut child = command.spawn().ok()?;
    let mut text = String::new();
    let mut output = child.stdout.take()?;
    let mut byte = [0];
    while output.read_exact(&mut byte).is_ok() && byte[0] != b'\n' {
        text.push(char::from(byte[0]));
    }
    Some((child, text.parse().ok()?))
}

fn run_runner() -> ExitCode {
    let name = std::env::args().nth(2).unwrap_or_default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    println!("{}", listener.local_addr().expect("an address"));
    for stream in listener.incoming().flatten() {
        let name = name.clone();
        thread::spawn(move || converse(&name, stream));
    }
    ExitCode::from(0)
}

fn converse(name: &str, stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let request = http::read(&mut reader)?;
    let id = request.header("godwitpost-attempt-id")?.to_owned();
    let echo = format!("Godwitpost-Attempt-Id: {id}\r\n");
    if request
        .header("godwitpost-expect-instance")
        .is_some_and(|expected| expected != name)
    {
        return writer
            .write_all(&http::response("421 Misdirected Request", &echo, b""))
            .ok();
    }
    let after = request
        .header("last-event-id")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    // Neither a length nor chunks: the answer ends with its connection.
    let head = format!(
        "HTTP/1.1 200 OK\r\n{echo}Godwitpost-Server-Stamp: {name}.{id}\r\nContent-Type: text/event-stream\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).ok()?;
    let mut next = Instant::now();
    for number in after + 1..=EVENTS {
        writer
            .write_all(format!("id: {number}\ndata: t{number}\n\n").as_bytes())
            .ok()?;
        next += EVENT_INTERVAL;
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    Some(())
}

//! Clients fall silent in the middle of a request's head.

use std::io::Write;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use review_standins::client::{Client, status};
use review_standins::fleet::{Fleet, configuration, is_ready, request};
use review_standins::record::{Record, has_trouble};
use review_standins::runner::{self, Behavior, Context};
use review_standins::store::Store;

/// `ContactMs`, in seconds.
const CONTACT_S: f64 = 3.0;

/// Clients that fall silent, three in ten of all, and those that go on, as many as the site has.
const SILENT: usize = 24;
const SOUND: usize = 56;

/// How long the sound clients go on.
const WATCHED: Duration = Duration::from_secs(20);

fn main() -> ExitCode {
    let record = Record::create();
    let store = Store::start();
    store.append("keyed.op", "config", configuration().as_bytes());
    let context = Context {
        store: store.clone(),
        ledger: Arc::default(),
        record: record.clone(),
        decide: Arc::new(|_| Behavior::Sound),
        service: "franchise-desk",
        slots: 6,
    };
    for index in 0..4 {
        runner::start(&context, &format!("desk{index}"));
    }
    let Some(mut fleet) = Fleet::start(&store, 2) else {
        record.line("the instances did not get ready");
        return ExitCode::from(2);
    };
    thread::sleep(Duration::from_secs(4));
    let address = fleet.addresses[0];
    let ended = Arc::new(AtomicBool::new(false));
    // When requests on new connections were answered, and when the instance said it is ready.
    let answered: Arc<Mutex<Vec<f64>>> = Arc::new(Mutex::new(vec![record.now()]));
    let sound: Vec<_> = (0..SOUND)
        .map(|index| {
            let (record, ended, answered) =
                (record.clone(), Arc::clone(&ended), Arc::clone(&answered));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(20) * index as u32);
                for number in 0.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{index:02x}{number:06x}");
                    let mut client = Client::new(address.front, Duration::from_millis(600));
                    let answer = client.send(&request("GET", "/stock/7", &id, "key-a", "", ""));
                    record.line(&format!(
                        "client: {id} on a new connection: {}",
                        status(&answer)
                    ));
                    if answer.is_some() {
                        answered.lock().expect("the times").push(record.now());
                    }
                    thread::sleep(Duration::from_millis(800));
                }
            })
        })
        .collect();
    let watched = {
        let (record, ended) = (record.clone(), Arc::clone(&ended));
        thread::spawn(move || {
            let mut is_always_ready = true;
            while !ended.load(Ordering::Relaxed) {
                is_always_ready &= is_ready(&address);
                thread::sleep(Duration::from_millis(500));
            }
            record.line(&format!(
                "the instance said that it is ready at each check: {is_always_ready}"
            ));
            is_always_ready
        })
    };
    thread::sleep(Duration::from_secs(3));
    // Half of a request's head, and then nothing. The connections stay open.
    let mut silent = Vec::new();
    for number in 0..SILENT {
        let text = request(
            "GET",
            "/stock/7",
            &format!("f{number:07x}"),
            "key-a",
            "",
            "",
        );
        let mut stream = TcpStream::connect(address.front).expect("a connection");
        let sent = if has_trouble() {
            text.len() / 2
        } else {
            text.len()
        };
        stream.write_all(&text[..sent]).expect("an open connection");
        record.line(&format!(
            "client f{number:07x} sent {sent} of {} bytes and falls silent",
            text.len()
        ));
        silent.push(stream);
    }
    thread::sleep(WATCHED);
    ended.store(true, Ordering::Relaxed);
    for one in sound {
        drop(one.join());
    }
    let was_ready = watched.join().expect("the check");
    if !fleet.all_run() || !was_ready {
        record.line("an instance ended or was not ready");
        return ExitCode::from(2);
    }
    let answered = answered.lock().expect("the times");
    let pause = answered
        .windows(2)
        .map(|two| two[1] - two[0])
        .fold(0.0, f64::max);
    record.line(&format!(
        "longest time without an answer on a new connection, while {SOUND} clients tried: {pause:.2} s; \
         ContactMs is {CONTACT_S} s"
    ));
    ExitCode::from(u8::from(pause > CONTACT_S))
}

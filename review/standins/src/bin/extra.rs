//! A runner sends additional bytes after a complete answer, late, in the form of an answer.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins::client::{Client, status};
use review_standins::fleet::{Fleet, configuration, request};
use review_standins::http::Message;
use review_standins::record::{Record, has_trouble};
use review_standins::runner::{self, Behavior, Context};
use review_standins::store::Store;

/// Requests per second: those of the site for this service.
const PER_SECOND: f64 = 28.0;

/// How long each disruption lasts, the pause after it, and how many there are.
const GARBLE: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(2);
const GARBLES: usize = 13;

/// One in so many answers of the runners that spoil any is spoiled.
const SPOILED_ONE_IN: u64 = 34;

const CLIENTS: usize = 12;

fn main() -> ExitCode {
    let record = Record::create();
    let store = Store::start();
    store.append("keyed.op", "config", configuration().as_bytes());
    let garbles = Arc::new(AtomicBool::new(false));
    let answers = AtomicU64::new(0);
    let decide = {
        let garbles = Arc::clone(&garbles);
        move |_: &Message| {
            let count = answers.fetch_add(1, Ordering::Relaxed);
            let spoiled = garbles.load(Ordering::Relaxed) && count.is_multiple_of(SPOILED_ONE_IN);
            if spoiled {
                Behavior::Extra
            } else {
                Behavior::Sound
            }
        }
    };
    let context = Context {
        store: store.clone(),
        ledger: Arc::default(),
        record: record.clone(),
        decide: Arc::new(decide),
        service: "franchise-desk",
        slots: 6,
    };
    // Half of the runners spoil answers.
    let sound = Context {
        decide: Arc::new(|_| Behavior::Sound),
        ..context.clone()
    };
    for index in 0..4 {
        let context = if index < 2 { &context } else { &sound };
        runner::start(context, &format!("desk{index}"));
    }
    let Some(mut fleet) = Fleet::start(&store, 2) else {
        record.line("the instances did not get ready");
        return ExitCode::from(2);
    };
    thread::sleep(Duration::from_secs(4));
    let answered: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let front = fleet.addresses[index % fleet.addresses.len()].front;
            let (record, answered, ended) =
                (record.clone(), Arc::clone(&answered), Arc::clone(&ended));
            thread::spawn(move || {
                let mut client = Client::new(front, Duration::from_millis(600));
                let interval = Duration::from_secs_f64(CLIENTS as f64 / PER_SECOND);
                let mut next = Instant::now() + interval * index as u32 / CLIENTS as u32;
                for number in 0.. {
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                    next += interval;
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{index:02x}{number:06x}");
                    let answer =
                        client.send(&request("POST", "/order/1", &id, "key-a", "two books", ""));
                    record.line(&format!("client: order {id}: {}", status(&answer)));
                    if let Some(answer) = answer {
                        answered
                            .lock()
                            .expect("the answers")
                            .insert(id, answer.status());
                    }
                }
            })
        })
        .collect();
    for _ in 0..GARBLES {
        garbles.store(has_trouble(), Ordering::Relaxed);
        thread::sleep(GARBLE);
        garbles.store(false, Ordering::Relaxed);
        thread::sleep(CALM);
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        drop(client.join());
    }
    thread::sleep(Duration::from_secs(1));
    if !fleet.all_run() {
        record.line("an instance ended");
        return ExitCode::from(2);
    }
    let answered = answered.lock().expect("the answers");
    let ledger = context.ledger.lock().expect("the ledger");
    let mut broken = 0;
    for (id, status) in answered.iter() {
        let runs = ledger.iter().filter(|run| run.request == *id).count();
        let promises = matches!(status, 408 | 421 | 429 | 503);
        if runs > 1 || (promises && runs > 0) {
            record.line(&format!(
                "BROKEN: order {id} was answered {status} and ran {runs} times"
            ));
            broken += 1;
        }
    }
    record.line(&format!("{broken} of {} orders", answered.len()));
    ExitCode::from(u8::from(broken > 0))
}

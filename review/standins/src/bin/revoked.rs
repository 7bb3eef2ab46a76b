//! A version of the configuration takes a key away and writes a number another way.

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::client::{Client, status};
use review_standins::fleet::{Fleet, configuration, is_ready, request, version};
use review_standins::record::{Record, has_trouble};
use review_standins::runner::{self, Behavior, Context};
use review_standins::store::Store;

/// `RevokeMs`, and some more.
const REVOKED: Duration = Duration::from_millis(6_000);

/// Requests with the key that was taken away, at each instance.
const REQUESTS: usize = 20;

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
    let Some(mut fleet) = Fleet::start(&store, 3) else {
        record.line("the instances did not get ready");
        return ExitCode::from(2);
    };
    thread::sleep(Duration::from_secs(4));
    let mut clients: Vec<Client> = fleet
        .addresses
        .iter()
        .map(|one| Client::new(one.front, Duration::from_millis(600)))
        .collect();
    let mut served = 0;
    for (index, client) in clients.iter_mut().enumerate() {
        let id = format!("0{index:07x}");
        let answer = client.send(&request("GET", "/stock/7", &id, "key-a", "", ""));
        record.line(&format!("before: {id} with key-a: {}", status(&answer)));
        served += usize::from(answer.is_some_and(|answer| answer.status() == 200));
    }
    if served < clients.len() {
        record.line("not all instances served the key before it was taken away");
        return ExitCode::from(2);
    }
    let number = if has_trouble() { "3000.0" } else { "3000" };
    store.append("keyed.op", "config", version(9, "key-b", number).as_bytes());
    record.line(&format!(
        "version 9 acknowledged: key-a is taken away, key-b added; HeaderTimeoutMs is written {number}"
    ));
    thread::sleep(REVOKED);
    for number in 0..REQUESTS {
        for (index, client) in clients.iter_mut().enumerate() {
            for (name, key) in [("a", "key-a"), ("b", "key-b")] {
                let id = format!("{name}{index}{number:06x}");
                let answer = client.send(&request("GET", "/stock/7", &id, key, "", ""));
                record.line(&format!("after: {id} with {key}: {}", status(&answer)));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let ready = fleet.addresses.iter().filter(|one| is_ready(one)).count();
    record.line(&format!(
        "{ready} of {} instances say that they are ready",
        clients.len()
    ));
    if !fleet.all_run() {
        record.line("an instance ended");
        return ExitCode::from(2);
    }
    let ledger = context.ledger.lock().expect("the ledger");
    let late = ledger
        .iter()
        .filter(|run| run.request.starts_with('a'))
        .count();
    let sent = REQUESTS * clients.len();
    record.line(&format!(
        "{late} of {sent} requests sent later than RevokeMs after the acknowledgement ran with the key"
    ));
    ExitCode::from(u8::from(late > 0))
}

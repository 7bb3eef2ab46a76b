//! Requests with many short headers, within `MaxHeaderBytes`.

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::client::{Client, status};
use review_standins::fleet::{Fleet, configuration, request};
use review_standins::record::{Record, has_trouble};
use review_standins::runner::{self, Behavior, Context};
use review_standins::store::Store;

const REQUESTS: usize = 200;

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
    // One short header each for a trace, a page, an experiment and the like.
    let count = if has_trouble() { 110 } else { 60 };
    let more: String = (0..count)
        .map(|one| format!("X-Field-{one}: {one}\r\n"))
        .collect();
    let mut denied = 0;
    for number in 0..REQUESTS {
        let address = fleet.addresses[number % fleet.addresses.len()].front;
        let mut client = Client::new(address, Duration::from_millis(600));
        let id = format!("{number:08x}");
        let text = request("GET", "/stock/7", &id, "key-a", "", &more);
        let answer = client.send(&text);
        let text_bytes = text.len();
        record.line(&format!(
            "{id}: {count} more headers, {text_bytes} bytes: {}",
            status(&answer)
        ));
        let is_denied = answer.is_some_and(|answer| {
            let own = answer.header("godwitpost-server-stamp").is_none();
            own && (300..500).contains(&answer.status())
                && ![408, 421, 429].contains(&answer.status())
        });
        denied += usize::from(is_denied);
        thread::sleep(Duration::from_millis(20));
    }
    if !fleet.all_run() {
        record.line("an instance ended");
        return ExitCode::from(2);
    }
    let most = 5 + REQUESTS / 500;
    record.line(&format!(
        "{denied} of {REQUESTS} proper requests denied; {most} may be"
    ));
    ExitCode::from(u8::from(denied > most))
}

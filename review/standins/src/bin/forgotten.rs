//! A request crashes the runners that run it, and all instances are killed at once.

use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins::client::{Client, status};
use review_standins::fleet::{Fleet, configuration, request};
use review_standins::http::Message;
use review_standins::record::{Record, has_trouble};
use review_standins::runner::{self, Behavior, Context, Run};
use review_standins::store::Store;

/// `ContactMs`, in seconds.
const CONTACT_S: f64 = 3.0;

/// How long a runner that crashed is down.
const DOWN: Duration = Duration::from_secs(3);

/// The pause between the returns of the request that crashes runners.
const PAUSE: Duration = Duration::from_secs(6);

const RETURNS: usize = 12;

/// After so many returns all instances are killed.
const RETURNS_BEFORE_KILL: usize = 4;

/// More retries than this are not allowed after the third crash and `ContactMs`.
const MAX_RETRIES: usize = 3;

fn main() -> ExitCode {
    let record = Record::create();
    let store = Store::start();
    store.append("keyed.op", "config", configuration().as_bytes());
    let decide = |_: &Message| Behavior::Crash(DOWN);
    let context = Context {
        store: store.clone(),
        ledger: Arc::default(),
        record: record.clone(),
        decide: Arc::new(decide),
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
    let fronts: Vec<_> = fleet.addresses.iter().map(|one| one.front).collect();
    for number in 0..RETURNS {
        if number == RETURNS_BEFORE_KILL && has_trouble() {
            fleet.kill_all();
            fleet.start_all();
            record.line("all instances killed at once, and started again");
            if !fleet.wait_until_ready(Duration::from_secs(15)) {
                record.line("the instances did not get ready again");
                return ExitCode::from(2);
            }
            record.line("all instances ready again");
            thread::sleep(PAUSE);
        }
        let mut client = Client::new(fronts[number % fronts.len()], Duration::from_millis(600));
        let id = format!("a{number:07x}");
        let answer = client.send(&request("GET", "/stock/7", &id, "key-a", "", ""));
        record.line(&format!("asahikawa {id}: {}", status(&answer)));
        thread::sleep(PAUSE);
    }
    if !fleet.all_run() {
        record.line("an instance ended");
        return ExitCode::from(2);
    }
    let ledger = context.ledger.lock().expect("the ledger");
    let bad: Vec<&Run> = ledger
        .iter()
        .filter(|run| run.tenant == "asahikawa")
        .collect();
    let Some(third) = bad.get(2).map(|run| run.at) else {
        record.line("the request crashed fewer than three runners");
        return ExitCode::from(0);
    };
    let later = bad.iter().filter(|run| run.at > third + CONTACT_S).count();
    record.line(&format!(
        "{} runners crashed; {later} of them got the request later than ContactMs after the third \
         crash, {MAX_RETRIES} may",
        bad.len()
    ));
    ExitCode::from(u8::from(later > MAX_RETRIES))
}

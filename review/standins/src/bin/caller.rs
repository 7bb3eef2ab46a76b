//! One caller's request crashes the runners that run it; another caller's request for the
//! same path does not.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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

const RETURNS: usize = 10;

/// More retries than this are not allowed after the third crash and `ContactMs`.
const MAX_RETRIES: usize = 3;

fn main() -> ExitCode {
    let record = Record::create();
    let store = Store::start();
    store.append("keyed.op", "config", configuration().as_bytes());
    let crashes = has_trouble();
    let decide = move |request: &Message| {
        let is_bad = request.header("godwitpost-tenant") == Some("asahikawa");
        if is_bad && crashes {
            Behavior::Crash(DOWN)
        } else {
            Behavior::Sound
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
    for index in 0..4 {
        runner::start(&context, &format!("desk{index}"));
    }
    let Some(mut fleet) = Fleet::start(&store, 3) else {
        record.line("the instances did not get ready");
        return ExitCode::from(2);
    };
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = fleet.addresses.iter().map(|one| one.front).collect();
    // With OTHER=0 the other caller sends nothing: the request is then held back.
    let sends_others = std::env::var("OTHER").as_deref() != Ok("0");
    let ended = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = fronts
        .iter()
        .enumerate()
        .filter(|_| sends_others)
        .map(|(index, front)| {
            let (front, record, ended) = (*front, record.clone(), Arc::clone(&ended));
            thread::spawn(move || {
                let mut client = Client::new(front, Duration::from_millis(600));
                for number in 0.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("b{index}{number:06x}");
                    let answer = client.send(&request("GET", "/stock/7", &id, "key-o", "", ""));
                    record.line(&format!("otaru {id}: {}", status(&answer)));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    for number in 0..RETURNS {
        let mut client = Client::new(fronts[number % fronts.len()], Duration::from_millis(600));
        let id = format!("a{number:07x}");
        let answer = client.send(&request("GET", "/stock/7", &id, "key-a", "", ""));
        record.line(&format!("asahikawa {id}: {}", status(&answer)));
        thread::sleep(PAUSE);
    }
    ended.store(true, Ordering::Relaxed);
    for other in others {
        drop(other.join());
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
    if !crashes {
        record.line(&format!(
            "{} runs of the request, which crash nothing",
            bad.len()
        ));
        return ExitCode::from(0);
    }
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

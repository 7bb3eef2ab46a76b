//! The platform's log writer and follower under the log's faults.

use std::time::Duration;

use bytes::Bytes;
use godwitpost_client::clock::Clock;
use godwitpost_client::connect::{Connector, Settings as Pool};
use godwitpost_client::log::Client;
use godwitpost_client::log::follower::{self, Event, Follower};
use godwitpost_client::log::writer::{Error, Settings, Writer};
use godwitpost_client::timer::Timer;
use godwitpost_standin::log::{self, Faults, Running};

const MS: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_secs(20);
const CLAIM: Bytes = Bytes::from_static(b"claim 17 of order k1");

struct Fixture {
    log: Running,
    client: Client,
    timer: Timer,
}

impl Fixture {
    async fn start(faults: Faults) -> Self {
        let address = "127.0.0.1:0".parse().expect("an address");
        let log = log::start(address, faults).await.expect("a free port");
        let connector = Connector::new(Pool::default());
        let client = Client::new(connector, log.address(), TIMEOUT);
        let clock = Clock::start();
        let timer = Timer::new(clock.now());
        tokio::spawn(timer.clone().drive(clock));
        Self { log, client, timer }
    }

    fn writer(&self, records: usize) -> Writer {
        let settings = Settings {
            rate: 1000.0,
            burst: 100,
            max_records: records,
            min_pause: 5 * MS,
            max_pause: 20 * MS,
            ..Settings::default()
        };
        Writer::new(self.client.clone(), self.timer.clone(), settings)
    }

    fn follower(&self) -> Follower {
        let settings = follower::Settings {
            wait: Duration::ZERO,
            ..follower::Settings::default()
        };
        let (client, timer) = (self.client.clone(), self.timer.clone());
        Follower::new(client, timer, settings, "claims", 0)
    }
}

// The log appends a claim but the response is lost. The writer must neither
// report a failure, because the claim exists, nor append a second record.
#[tokio::test]
async fn lost_response_is_resolved_by_reading_back() {
    let fixture = Fixture::start(Faults {
        lose_answers: 1.0,
        ..Faults::default()
    })
    .await;
    fixture.log.append("claims", Bytes::from_static(b"another"));
    let deadline = fixture.timer.now() + TIMEOUT;
    let appended = fixture.writer(10).append("claims", CLAIM, deadline).await;
    assert_eq!(appended.expect("a settled append").offset, 1);
    assert_eq!(fixture.log.records("claims").len(), 2);
}

// The connection breaks and the append takes effect only after the writer has
// read back without finding it and retried. All its records must be equal, so
// that readers can deduplicate them.
#[tokio::test]
async fn a_late_effect_leaves_only_equal_records() {
    let fixture = Fixture::start(Faults {
        late_effects: 1.0,
        late_by: 40 * MS,
        ..Faults::default()
    })
    .await;
    let deadline = fixture.timer.now() + TIMEOUT;
    let appended = fixture.writer(10).append("claims", CLAIM, deadline).await;
    appended.expect("a settled append");
    let records = fixture.log.records("claims");
    assert!(!records.is_empty());
    assert!(records.iter().all(|record| record.body == CLAIM));
}

// Reads lag, so reading back does not show an append that took effect. The
// writer must report an unknown outcome, not "not appended".
#[tokio::test]
async fn stale_read_leaves_a_lost_response_unknown() {
    let fixture = Fixture::start(Faults {
        lose_answers: 1.0,
        stale_reads: Duration::from_hours(1),
        ..Faults::default()
    })
    .await;
    let deadline = fixture.timer.now() + 50 * MS;
    let result = fixture.writer(10).append("claims", CLAIM, deadline).await;
    assert!(result.expect_err("no answer").may_have_taken_effect());
    assert!(!fixture.log.records("claims").is_empty());
}

// The log crashes during an append and restarts without it. The broken
// connection leaves the outcome open; only reading the stream after the restart
// shows that the record has to be appended again.
#[tokio::test]
async fn append_interrupted_by_a_crash_is_resolved_after_restart() {
    let fixture = Fixture::start(Faults {
        slow: TIMEOUT,
        ..Faults::default()
    })
    .await;
    let writer = fixture.writer(10);
    let deadline = fixture.timer.now() + TIMEOUT;
    let waiting = tokio::spawn(async move { writer.append("claims", CLAIM, deadline).await });
    // Long enough for the append to have reached the slow log.
    tokio::time::sleep(50 * MS).await;
    fixture.log.faults().set(Faults::default());
    fixture.log.crash(50 * MS);
    let appended = waiting.await.expect("no panic").expect("an append");
    assert_eq!(appended.offset, 0);
    assert_eq!(fixture.log.records("claims").len(), 1);
}

#[tokio::test]
async fn append_survives_an_outage_within_its_deadline() {
    let fixture = Fixture::start(Faults {
        down: true,
        ..Faults::default()
    })
    .await;
    let writer = fixture.writer(10);
    let soon = fixture.timer.now() + 30 * MS;
    let given_up = writer.append("claims", CLAIM, soon).await;
    assert!(matches!(given_up, Err(Error::NotAppended(_))));
    let later = fixture.timer.now() + TIMEOUT;
    let waiting = tokio::spawn(async move { writer.append("claims", CLAIM, later).await });
    tokio::time::sleep(30 * MS).await;
    fixture.log.faults().change(|faults| faults.down = false);
    let appended = waiting.await.expect("no panic").expect("an append");
    assert_eq!(appended.offset, 0);
    assert_eq!(fixture.log.records("claims").len(), 1);
}

// The log is down for minutes while claims arrive. Without a bound they would
// accumulate until the router runs out of memory.
#[tokio::test]
async fn full_writer_rejects_new_records_at_once() {
    let fixture = Fixture::start(Faults {
        down: true,
        ..Faults::default()
    })
    .await;
    let writer = fixture.writer(1);
    let first = writer.clone();
    let deadline = fixture.timer.now() + TIMEOUT;
    let waiting = tokio::spawn(async move { first.append("claims", CLAIM, deadline).await });
    tokio::task::yield_now().await;
    let second = writer.append("claims", CLAIM, deadline).await;
    assert!(matches!(second, Err(Error::Full)));
    fixture.log.faults().change(|faults| faults.down = false);
    waiting.await.expect("no panic").expect("an append");
    let third = writer.append("claims", CLAIM, deadline).await;
    third.expect("room again");
}

// An instance was paused for longer than the log retains records. The follower
// must report the gap; otherwise the instance would treat a stream whose winning
// claim has expired as complete.
#[tokio::test]
async fn follower_reports_expired_records_before_the_rest() {
    let fixture = Fixture::start(Faults::default()).await;
    for _ in 0..5 {
        fixture.log.append("claims", CLAIM);
    }
    fixture.log.truncate("claims", 3);
    let mut follower = fixture.follower();
    let gap = follower.next().await;
    assert!(matches!(gap, Event::Gap { asked: 0, first: 3 }));
    assert_eq!(follower.position(), 3);
    let Event::Records(records) = follower.next().await else {
        panic!("records must follow the gap");
    };
    let offsets: Vec<_> = records.iter().map(|record| record.offset).collect();
    assert_eq!(offsets, [3, 4]);
    assert!(matches!(follower.next().await, Event::Idle));
}

#[tokio::test]
async fn follower_resumes_where_it_was_after_an_outage() {
    let fixture = Fixture::start(Faults::default()).await;
    let mut follower = fixture.follower();
    fixture.log.append("claims", CLAIM);
    assert!(matches!(follower.next().await, Event::Records(_)));
    fixture.log.faults().change(|faults| faults.down = true);
    assert!(matches!(follower.next().await, Event::ReadFailed(_)));
    fixture.log.append("claims", CLAIM);
    fixture.log.faults().change(|faults| faults.down = false);
    let Event::Records(records) = follower.next().await else {
        panic!("the record of the outage must come");
    };
    assert_eq!(records[0].offset, 1);
}

// All faults at once: lost responses, late effects, appends over the rate. Each
// record reported as appended must exist, and each reported as not appended must
// not, even after the late effects.
#[tokio::test]
async fn writer_results_are_correct_under_all_faults() {
    const RECORDS: usize = 300;
    let fixture = Fixture::start(Faults {
        lose_answers: 0.2,
        late_effects: 0.1,
        late_by: 30 * MS,
        rate: 100.0,
        ..Faults::default()
    })
    .await;
    let writer = fixture.writer(RECORDS);
    let deadline = fixture.timer.now() + 300 * MS;
    let mut appends = Vec::new();
    for number in 0..RECORDS {
        let writer = writer.clone();
        appends.push(tokio::spawn(async move {
            let body = Bytes::from(format!("record {number}"));
            let verdict = writer.append("claims", body.clone(), deadline).await;
            (body, verdict)
        }));
    }
    let mut verdicts = Vec::new();
    for append in appends {
        verdicts.push(append.await.expect("no panic"));
    }
    tokio::time::sleep(2 * 30 * MS).await;
    let records = fixture.log.records("claims");
    let mut refused = 0;
    for (body, verdict) in verdicts {
        match verdict {
            Ok(appended) => assert_eq!(records[to_index(appended.offset)].body, body),
            Err(Error::Unknown(_)) => {}
            Err(error) => {
                refused += 1;
                assert!(records.iter().all(|record| record.body != body), "{error}");
            }
        }
    }
    // 300 records exceed 300 ms at 100 per second.
    assert!(refused > 0 && records.len() > 50);
}

fn to_index(offset: u64) -> usize {
    usize::try_from(offset).expect("a small offset")
}

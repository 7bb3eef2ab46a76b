//! Runs the tool against stand-ins of the log and the list, with faults enabled.

use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use godwitpost_bundle::source;
use godwitpost_client::list::{Entry, Role};
use godwitpost_operator::cli::parse;
use godwitpost_operator::error::Error;
use godwitpost_operator::keyfile;
use godwitpost_operator::run::{Output, run};
use godwitpost_standin::{list, log};
use godwitpost_types::endpoint::Standing;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BUNDLE: &str = r#"
fleet: kitakaze
version: 1
operators:
  asahikawa: { key: "ASAHIKAWA" }
  kushiro: { key: "KUSHIRO" }
classes:
  order: { priority: 0, deadline: 5s }
services:
  ordering: { kind: plain, slots: 64 }
workspaces:
  otaru: { rate: 50, concurrency: 40, services: [ordering] }
routes:
  - { path: /orders, service: ordering, class: order, unrepeatable: true }
"#;

/// A log stand-in and a folder with keys and a bundle, in which the tool runs.
struct Desk {
    log: log::Running,
    folder: PathBuf,
    root: String,
}

impl Desk {
    async fn new(name: &str, faults: log::Faults) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        drop(fs::remove_dir_all(&folder));
        fs::create_dir_all(&folder).expect("the target folder is there");
        let log = log::start(SocketAddr::from(([127, 0, 0, 1], 0)), faults)
            .await
            .expect("a port is free");
        let mut desk = Self {
            log,
            folder,
            root: String::new(),
        };
        let mut bundle = BUNDLE.to_owned();
        for name in ["asahikawa", "kushiro"] {
            let line = format!("keygen --out {name}.key");
            let public = desk.run(&line).await.expect("it is a new file").text;
            bundle = bundle.replace(&name.to_uppercase(), public.trim());
            public.trim().clone_into(&mut desk.root);
        }
        desk.write("bundle.yaml", &bundle);
        desk
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.path(name), text).expect("the folder is there");
    }

    // Writes the bundle with another version and another rate of the workspace.
    fn edit(&self, name: &str, version: u64, rate: f64) {
        let yaml = fs::read_to_string(self.path("bundle.yaml")).expect("it was written");
        let mut bundle = source::read(&yaml).expect("it is right");
        bundle.version = version;
        let otaru = bundle.workspaces.get_mut("otaru").expect("it is there");
        otaru.rate = rate;
        self.write(name, &source::write(&bundle));
    }

    // Words with a dot are names of files in the folder.
    async fn run(&self, line: &str) -> Result<Output, Error> {
        let words = line.split_whitespace().map(|word| {
            let file = word.contains('.') && !word.contains(':');
            if file {
                self.path(word).into_os_string()
            } else {
                word.into()
            }
        });
        let program = std::iter::once("godwitpost-bundle".into());
        run(parse(program.chain(words))).await
    }

    async fn on_log(&self, line: &str) -> Result<Output, Error> {
        let (address, root) = (self.log.address(), &self.root);
        let line = format!("{line} --fleet kitakaze --log {address} --root-key {root}");
        self.run(&line).await
    }

    async fn roll(&self, file: &str, operator: &str) -> Result<Output, Error> {
        let line = format!("roll {file} --operator {operator} --key {operator}.key --patience 5");
        self.on_log(&line).await
    }
}

fn text(result: Result<Output, Error>) -> String {
    result.expect("it is done").text
}

fn refused(result: Result<Output, Error>) -> (u8, String) {
    let error = result.expect_err("it is refused");
    (error.code(), error.to_string())
}

#[tokio::test]
async fn a_bundle_is_checked_rolled_shown_compared_and_rolled_back() {
    let desk = Desk::new("whole", log::Faults::default()).await;
    let checked = text(desk.run("check bundle.yaml").await);
    assert!(checked.contains("version 1 of kitakaze is right: 7 entries"));
    let rolled = text(desk.roll("bundle.yaml", "kushiro").await);
    assert!(rolled.starts_with("version 1 is in force"), "{rolled}");
    desk.edit("second.yaml", 2, 75.0);
    text(desk.roll("second.yaml", "asahikawa").await);
    let shown = text(desk.on_log("show").await);
    assert!(
        shown.starts_with("version 2 of kitakaze by asahikawa"),
        "{shown}"
    );
    let diff = text(desk.on_log("diff 1 2").await);
    assert!(diff.starts_with("~ workspace/otaru\n"), "{diff}");
    assert!(diff.contains("rate: 50.0") && diff.contains("rate: 75.0"));

    let back = "rollback --to 1 --operator kushiro --key kushiro.key";
    let rolled = text(desk.on_log(back).await);
    assert!(rolled.starts_with("version 3 is in force"), "{rolled}");
    assert_eq!(text(desk.on_log("diff 1 3").await), "");
    let yaml = text(desk.on_log("show --yaml").await);
    assert_eq!(source::read(&yaml).map(|bundle| bundle.version), Ok(3));
}

// Two operators edit version 1 at the same time. The second must
// be told who won and how to continue, whether the race is detected before or
// after appending.
#[tokio::test]
async fn the_loser_of_a_race_is_told_who_won_and_how_to_continue() {
    let desk = Desk::new("race", log::Faults::default()).await;
    text(desk.roll("bundle.yaml", "kushiro").await);
    desk.edit("hers.yaml", 2, 60.0);
    desk.edit("his.yaml", 2, 70.0);
    let sign = "sign hers.yaml --out hers.record --operator kushiro --key kushiro.key";
    text(desk.on_log(sign).await);
    text(desk.roll("his.yaml", "asahikawa").await);
    let (code, told) = refused(desk.on_log("roll --signed hers.record").await);
    assert_eq!(code, 3);
    assert!(told.contains("version 2 by asahikawa came first"), "{told}");
    let (code, told) = refused(desk.roll("hers.yaml", "kushiro").await);
    assert_eq!(code, 3);
    assert!(told.contains("with `version: 3`"), "{told}");
}

// The log accepts the append and the response is lost. The tool must neither
// report a failure nor roll the version twice.
#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_back() {
    let faults = log::Faults {
        lose_answers: 1.0,
        ..log::Faults::default()
    };
    let desk = Desk::new("lost", faults).await;
    let rolled = text(desk.roll("bundle.yaml", "kushiro").await);
    assert!(rolled.starts_with("version 1 is in force"), "{rolled}");
    let again = text(desk.roll("bundle.yaml", "kushiro").await);
    assert!(again.starts_with("version 1 is in force"), "{again}");
    assert_eq!(desk.log.records("bundles").len(), 1);
}

// The connection breaks, and the append takes effect only after the tool has
// read back and appended again. The log has both records, but one version.
#[tokio::test]
async fn an_append_that_takes_effect_late_counts_once() {
    let faults = log::Faults {
        late_effects: 1.0,
        late_by: Duration::from_secs(2),
        ..log::Faults::default()
    };
    let desk = Desk::new("late", faults).await;
    let rolled = text(desk.roll("bundle.yaml", "kushiro").await);
    assert!(rolled.starts_with("version 1 is in force"), "{rolled}");
    for _ in 0..200 {
        if desk.log.records("bundles").len() > 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(desk.log.records("bundles").len() > 1);
    desk.log.faults().set(log::Faults::default());
    desk.edit("second.yaml", 2, 75.0);
    text(desk.roll("second.yaml", "kushiro").await);
}

// The log accepts the append, but its reads lag. The tool must wait for its
// record to appear and not append it again.
#[tokio::test]
async fn a_log_whose_reads_lag_gets_one_record() {
    let faults = log::Faults {
        stale_reads: Duration::from_millis(500),
        ..log::Faults::default()
    };
    let desk = Desk::new("stale", faults).await;
    let rolled = text(desk.roll("bundle.yaml", "kushiro").await);
    assert!(rolled.starts_with("version 1 is in force"), "{rolled}");
    assert_eq!(desk.log.records("bundles").len(), 1);
}

#[tokio::test]
async fn a_log_that_is_down_means_nothing_was_rolled() {
    let faults = log::Faults {
        down: true,
        ..log::Faults::default()
    };
    let desk = Desk::new("down", faults).await;
    let (code, told) = refused(desk.roll("bundle.yaml", "kushiro").await);
    assert_eq!(code, 1);
    assert!(told.contains("nothing was rolled"), "{told}");
}

#[tokio::test]
async fn wrong_keys_and_open_key_files_are_refused() {
    let desk = Desk::new("keys", log::Faults::default()).await;
    let (code, told) = refused(desk.roll("bundle.yaml", "asahikawa").await);
    assert_eq!(code, 3);
    assert!(told.contains("not signed by an operator"), "{told}");
    let key = desk.path("kushiro.key");
    fs::set_permissions(&key, fs::Permissions::from_mode(0o644)).expect("it is ours");
    let (code, told) = refused(desk.roll("bundle.yaml", "kushiro").await);
    assert_eq!(code, 1);
    assert!(told.contains("chmod 600"), "{told}");
    let error = keyfile::generate(&key).expect_err("it exists");
    assert!(matches!(error, Error::File(..)));
    let shown = keyfile::read(&desk.path("asahikawa.key")).expect("it is closed");
    assert!(format!("{shown:?}").contains("redacted"));
    assert!(desk.log.records("bundles").is_empty());
}

// A first bundle of 8,900 workspaces is larger than a record. It is rolled in
// several versions, each a complete bundle, and none of them may be refused.
#[tokio::test]
async fn a_bundle_above_a_records_size_is_rolled_in_several_versions() {
    let desk = Desk::new("large", log::Faults::default()).await;
    let yaml = fs::read_to_string(desk.path("bundle.yaml")).expect("it was written");
    let mut bundle = source::read(&yaml).expect("it is right");
    let otaru = bundle.workspaces["otaru"].clone();
    for index in 0..8_900 {
        bundle.workspaces.insert(format!("w{index}"), otaru.clone());
    }
    desk.write("large.yaml", &source::write(&bundle));
    let rolled = text(desk.roll("large.yaml", "kushiro").await);
    let count = desk.log.records("bundles").len();
    assert!(count > 1);
    let expected = format!("version {count} is in force");
    assert!(rolled.starts_with(&expected), "{rolled}");
    assert_eq!(
        text(desk.on_log(&format!("diff {count} large.yaml")).await),
        ""
    );
}

// Responds to one call to the operators' port with the JSON of a bundle.
async fn instance(version: u64, root: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    let json = format!(r#"{{"name":"x","version":{version},"root":"{root}"}}"#);
    let length = json.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{json}");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the tool calls");
        let mut head = [0; 1024];
        let read = stream.read(&mut head).await.expect("it sends a head");
        assert!(head[..read].starts_with(b"GET /bundle "));
        let sent = stream.write_all(answer.as_bytes()).await;
        sent.expect("it reads the answer");
    });
    address
}

#[tokio::test]
async fn instances_that_do_not_hold_the_bundle_are_shown() {
    let desk = Desk::new("show", log::Faults::default()).await;
    let rolled = text(desk.roll("bundle.yaml", "kushiro").await);
    let root = rolled.trim().rsplit(' ').next().unwrap_or_default();
    let nobody = SocketAddr::from(([127, 0, 0, 1], 0));
    let list = list::start(nobody, list::Faults::default()).await;
    let list = list.expect("a port is free");
    let entry = |name: &str, standing, operators_address| Entry {
        name: name.to_owned(),
        incarnation: 1,
        role: Role::Router,
        standing,
        zone: "otaru".to_owned(),
        region: "hokkaido".to_owned(),
        address: operators_address,
        operators_address: Some(operators_address),
        service: None,
        models: std::collections::BTreeSet::new(),
    };
    list.set(entry("a", Standing::Live, instance(1, root).await));
    list.set(entry("b", Standing::Leaving, instance(0, "").await));
    let line = format!("show --list {}", list.address());
    let done = desk.on_log(&line).await.expect("it is done");
    assert_eq!(done.code, 0, "{}", done.text);
    list.set(entry("a", Standing::Live, instance(0, "").await));
    list.set(entry("c", Standing::Live, nobody));
    let done = desk.on_log(&line).await.expect("it is done");
    assert_eq!(done.code, 5, "{}", done.text);
    let lines: Vec<_> = done.text.lines().collect();
    assert!(lines[1].starts_with("a ") && lines[1].ends_with("no bundle BEHIND"));
    assert!(lines[2].ends_with(" ok"));
    assert!(lines[3].starts_with("c ") && lines[3].contains("no answer"));
}

// No instance ran for longer than the log retains records, so everything that
// leads to the bundle was dropped. A roll would wait forever for a checkpoint.
#[tokio::test]
async fn a_fleet_whose_log_lost_its_bundle_starts_anew() {
    let desk = Desk::new("anew", log::Faults::default()).await;
    text(desk.roll("bundle.yaml", "kushiro").await);
    let anew = "anew later.yaml --operator kushiro --key kushiro.key";
    desk.edit("later.yaml", 7, 75.0);
    let (code, told) = refused(desk.on_log(anew).await);
    assert_eq!((code, told.contains("use roll")), (3, true), "{told}");
    desk.log.truncate("bundles", 1);
    let (code, told) = refused(desk.roll("later.yaml", "kushiro").await);
    assert_eq!((code, told.contains("use `anew`")), (1, true), "{told}");
    let wrong = "anew later.yaml --operator asahikawa --key asahikawa.key";
    assert_eq!(refused(desk.on_log(wrong).await).0, 3);
    let started = text(desk.on_log(anew).await);
    assert_eq!(started, "version 7 is in force\n");
    desk.edit("next.yaml", 8, 80.0);
    text(desk.roll("next.yaml", "asahikawa").await);
}

//! The binary: exit codes, hidden secrets, and shutdown on a signal.

use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

const KEY: &str = "//79/Pv6+fj39vX08/Lx8O/u7ezr6uno5+bl5OPi4eA=";

fn settings(name: &str, change: impl FnOnce(String) -> String) -> PathBuf {
    let text = format!(
        "name: router-0
zone: otaru
region: hokkaido
fleet: kitakaze
listen: {{ callers: '127.0.0.1:0', peers: '127.0.0.1:0', operators: '127.0.0.1:0' }}
platform: {{ log: '127.0.0.1:9', list: '127.0.0.1:9' }}
root_keys: ['AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=']
fleet_key: {KEY}
balancer_lag: 50ms
"
    );
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, change(text)).unwrap();
    path
}

fn router(args: &[&str], settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_godwitpost-router"));
    command.args(args).arg("--settings").arg(settings);
    command
}

fn text(output: &Output) -> (Option<i32>, String) {
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.code(), text)
}

#[test]
fn check_reports_every_mistake_and_starts_nothing() {
    let good = settings("good.yaml", |text| text);
    let output = router(&["--check"], &good).output().unwrap();
    assert_eq!(text(&output), (Some(0), String::new()));
    let bad = settings("bad.yaml", |text| {
        text.replace("zone: otaru", "zone: ''") + "colour: red\n"
    });
    let (code, output) = text(&router(&["--check"], &bad).output().unwrap());
    assert_eq!(code, Some(2));
    assert!(
        output.contains("line 2: `zone`") && output.contains("line 10: `colour`"),
        "{output}"
    );
}

#[test]
fn print_settings_hides_the_key() {
    let path = settings("print.yaml", |text| text);
    let (code, output) = text(&router(&["--print-settings"], &path).output().unwrap());
    assert_eq!(code, Some(0));
    assert!(
        output.contains("drain: 90000ms") && output.contains("fleet_key: hidden"),
        "{output}"
    );
    assert!(!output.contains(KEY));
}

#[test]
fn port_in_use_is_reported_with_exit_code_1() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let path = settings("taken.yaml", |text| {
        text.replacen("127.0.0.1:0", &address, 1)
    });
    let (code, output) = text(&router(&[], &path).output().unwrap());
    assert_eq!(code, Some(1));
    assert!(output.contains(&address), "{output}");
}

#[test]
fn signal_causes_a_graceful_shutdown_with_exit_code_0() {
    let path = settings("signal.yaml", |text| text);
    let mut child = router(&[], &path).stdout(Stdio::piped()).spawn().unwrap();
    wait_for("listening callers=127.0.0.1:", &mut child);
    let id = child.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &id]).status().unwrap();
    assert!(killed.success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

fn wait_for(expected: &str, child: &mut Child) {
    let lines = BufReader::new(child.stdout.take().unwrap());
    let found = lines
        .lines()
        .map_while(Result::ok)
        .any(|l| l.contains(expected));
    assert!(found, "the router exited before it logged {expected:?}");
}

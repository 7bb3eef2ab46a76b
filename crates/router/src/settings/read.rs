//! Parses and validates each key of a settings file.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use godwitpost_types::id::Incarnation;
use godwitpost_wire::auth;
use log::LevelFilter;

use super::{Limits, Listen, PUBLIC_KEY_BYTES, Platform, Settings};
use godwitpost_process::settings::low::{Level, Mistake, duration};

/// Default retention of the log: the shortest that still allows for outages of
/// half an hour.
const DEFAULT_RETENTION: Duration = Duration::from_hours(1);

/// Default lag of the balancer: it probes every few seconds, and a probe has to
/// fail twice.
const DEFAULT_BALANCER_LAG: Duration = Duration::from_secs(5);

/// Default limit on a graceful shutdown: longer than the longest deadline of the
/// example bundles, 60 s.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(90);

/// Default number of traffic threads; instances are small.
const DEFAULT_THREADS: usize = 2;

/// The keys at the top level, in the order of `--print-settings`.
const TOP_KEYS: [&str; 15] = [
    "name",
    "incarnation",
    "zone",
    "region",
    "fleet",
    "listen",
    "platform",
    "root_keys",
    "fleet_key",
    "fleet_key_file",
    "limits",
    "balancer_lag",
    "drain",
    "log_level",
    "threads",
];
const LISTEN_KEYS: [&str; 3] = ["callers", "peers", "operators"];
const PLATFORM_KEYS: [&str; 4] = ["log", "list", "weights", "retention"];
const LIMITS_KEYS: [&str; 3] = ["head_bytes", "body_bytes", "streams"];

const NAME_FORMAT: &str = "a name of letters, digits, `-`, `_` and `.`, such as otaru-1";
const ADDRESS_FORMAT: &str = "an IP number and a port, such as 10.0.0.5:8080";
const DURATION_FORMAT: &str = "a number with ms, s, m or h, such as 90s";
const PUBLIC_KEY_FORMAT: &str = "a base64 Ed25519 public key, as `godwitpost-bundle` prints it";
const FLEET_KEY_FORMAT: &str = "32 random bytes in base64, the same on all instances";

pub(super) fn settings(mut top: Level, mistakes: &mut Vec<Mistake>) -> Option<Settings> {
    let name = top.required("name", NAME_FORMAT, name, mistakes);
    let incarnation = top.optional(
        "incarnation",
        "a whole number",
        |t| t.parse().ok(),
        mistakes,
    );
    let zone = top.required("zone", NAME_FORMAT, self::name, mistakes);
    let region = top.required("region", NAME_FORMAT, self::name, mistakes);
    let fleet = top.required("fleet", NAME_FORMAT, self::name, mistakes);
    let listen = read_listen(top.level("listen", mistakes), mistakes);
    let platform = read_platform(top.level("platform", mistakes), mistakes);
    let root_keys = read_root_keys(&mut top, mistakes);
    let fleet_key = read_fleet_key(&mut top, mistakes);
    let limits = read_limits(top.level("limits", mistakes), mistakes);
    let lag = top.optional("balancer_lag", DURATION_FORMAT, duration, mistakes);
    let drain = top.optional("drain", DURATION_FORMAT, duration, mistakes);
    let level_format = "off, error, warn, info, debug or trace";
    let log_level = top.optional("log_level", level_format, |t| t.parse().ok(), mistakes);
    let threads = top.optional("threads", "a number from 1 to 64", threads, mistakes);
    top.finish(&TOP_KEYS, mistakes);
    Some(Settings {
        name: name?.value,
        incarnation: incarnation.map_or_else(start_millis, |read| read.value),
        zone: zone?.value,
        region: region?.value,
        fleet: fleet?.value,
        listen: listen?,
        platform: platform?,
        root_keys,
        fleet_key: fleet_key?,
        limits,
        balancer_lag: lag.map_or(DEFAULT_BALANCER_LAG, |read| read.value),
        drain: drain.map_or(DEFAULT_DRAIN_LIMIT, |read| read.value),
        log_level: log_level.map_or(LevelFilter::Info, |read| read.value),
        threads: threads.map_or(DEFAULT_THREADS, |read| read.value),
    })
}

fn read_listen(mut level: Level, mistakes: &mut Vec<Mistake>) -> Option<Listen> {
    let callers = level.required("callers", ADDRESS_FORMAT, address, mistakes);
    let peers = level.required("peers", ADDRESS_FORMAT, address, mistakes);
    let operators = level.required("operators", ADDRESS_FORMAT, address, mistakes);
    level.finish(&LISTEN_KEYS, mistakes);
    let (callers, peers, operators) = (callers?, peers?, operators?);
    let same_port = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    if same_port(peers.value, callers.value) {
        mistakes.push(peers.mistake("is also that of callers; give each its own port"));
    }
    if same_port(operators.value, callers.value) || same_port(operators.value, peers.value) {
        mistakes.push(operators.mistake("is also that of others; give each its own port"));
    }
    Some(Listen {
        callers: callers.value,
        peers: peers.value,
        operators: operators.value,
    })
}

fn read_platform(mut level: Level, mistakes: &mut Vec<Mistake>) -> Option<Platform> {
    let log = level.required("log", ADDRESS_FORMAT, address, mistakes);
    let list = level.required("list", ADDRESS_FORMAT, address, mistakes);
    let weights = level.optional("weights", ADDRESS_FORMAT, address, mistakes);
    let retention = level.optional("retention", DURATION_FORMAT, duration, mistakes);
    level.finish(&PLATFORM_KEYS, mistakes);
    Some(Platform {
        log: log?.value,
        list: list?.value,
        weights: weights.map(|read| read.value),
        retention: retention.map_or(DEFAULT_RETENTION, |read| read.value),
    })
}

fn read_root_keys(top: &mut Level, mistakes: &mut Vec<Mistake>) -> Vec<[u8; PUBLIC_KEY_BYTES]> {
    let before = mistakes.len();
    let keys = top.list("root_keys", PUBLIC_KEY_FORMAT, public_key, mistakes);
    if keys.is_empty() && mistakes.len() == before {
        mistakes.push(Mistake {
            line: 0,
            key: "root_keys".to_owned(),
            text: format!("is missing or empty; list at least one: {PUBLIC_KEY_FORMAT}"),
        });
    }
    keys
}

fn read_fleet_key(top: &mut Level, mistakes: &mut Vec<Mistake>) -> Option<auth::Key> {
    let file = top.optional("fleet_key_file", "a path", |t| Some(t.to_owned()), mistakes);
    let Some(file) = file else {
        let key = top.required("fleet_key", FLEET_KEY_FORMAT, auth::Key::parse, mistakes);
        return key.map(|read| read.value);
    };
    if let Some(key) = top.optional("fleet_key", FLEET_KEY_FORMAT, auth::Key::parse, mistakes) {
        mistakes.push(key.mistake("can't be combined with `fleet_key_file`; keep one of them"));
    }
    match std::fs::read_to_string(&file.value) {
        Err(error) => mistakes.push(file.mistake(&format!(
            "can't be read ({error}); name a file that this user may read"
        ))),
        Ok(text) => match auth::Key::parse(&text) {
            Some(key) => return Some(key),
            None => {
                mistakes
                    .push(file.mistake(&format!("names a file that must hold {FLEET_KEY_FORMAT}")));
            }
        },
    }
    None
}

fn read_limits(mut level: Level, mistakes: &mut Vec<Mistake>) -> Limits {
    let mut limits = Limits::default();
    // hyper refuses a buffer below 8 KiB; above 1 MiB a few hundred connections
    // would use up the memory of a small instance.
    let head = "bytes from 8192 to 1048576";
    let read_head = |t: &str| t.parse().ok().filter(|n| (8192..=1 << 20).contains(n));
    if let Some(read) = level.optional("head_bytes", head, read_head, mistakes) {
        limits.head_bytes = read.value;
    }
    let positive = |t: &str| t.parse().ok().filter(|&n: &usize| n > 0);
    if let Some(read) = level.optional("body_bytes", "bytes above 0", positive, mistakes) {
        limits.body_bytes = read.value;
    }
    if let Some(read) = level.optional("streams", "a number above 0", positive, mistakes) {
        limits.streams = read.value;
    }
    level.finish(&LIMITS_KEYS, mistakes);
    limits
}

fn name(text: &str) -> Option<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (!text.is_empty() && text.chars().all(fits)).then(|| text.to_owned())
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn public_key(text: &str) -> Option<[u8; PUBLIC_KEY_BYTES]> {
    STANDARD.decode(text).ok()?.try_into().ok()
}

fn threads(text: &str) -> Option<usize> {
    text.parse().ok().filter(|n| (1..=64).contains(n))
}

fn start_millis() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

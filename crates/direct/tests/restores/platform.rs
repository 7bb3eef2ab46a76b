//! The simulated log, its writers and their records.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use godwitpost_direct::roster::Registration;
use godwitpost_direct::source::{Page, Record, Reply, Tail, Value};
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::id::{self, Era, Offset, Version};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Interval at which endpoints write heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time after which the log removes the entry of a silent endpoint.
pub(crate) const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

/// Time for which a leaving endpoint continues to run.
const LEAVING_TIME: Duration = Duration::from_millis(2_500);

/// Time within which all instances learn of expired entries.
const EXPIRY_PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Time within which instances in contact learn of acknowledged records.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Time for which the log must be available before bounds apply.
pub(crate) const MIN_LOG_AVAILABILITY: Duration = Duration::from_secs(3);

const MAX_PAGE_RECORDS: usize = 3;
const MAX_TAIL_RECORDS: usize = 8;

/// A value that the operator writes under one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperatorValue {
    Version(Version),
    Evacuate,
}

/// One topic of the log.
#[derive(Debug)]
pub(crate) struct Topic<V> {
    records: Vec<(Moment, String, Option<V>)>,
    first: usize,
}

impl<V: Clone> Topic<V> {
    const fn new() -> Self {
        Self {
            records: Vec::new(),
            first: 0,
        }
    }

    fn end(&self) -> Offset {
        self.records.len() as u64
    }

    fn append(&mut self, now: Moment, key: &str, value: Option<V>) {
        self.records.push((now, key.to_owned(), value));
    }

    fn restore(&mut self, backup_time: Moment) {
        self.records.retain(|(at, _, _)| *at < backup_time);
        self.first = self.first.min(self.records.len());
    }

    /// Returns the newest value of each key.
    pub(crate) fn newest(&self) -> BTreeMap<&str, (Offset, &V)> {
        let mut newest = BTreeMap::new();
        for (offset, (_, key, value)) in (0..).zip(&self.records) {
            match value {
                Some(value) => newest.insert(key.as_str(), (offset, value)),
                None => newest.remove(key.as_str()),
            };
        }
        newest
    }

    fn list(&self, after: Option<&str>) -> Page<V> {
        let newest = self.newest();
        let mut rest = newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| **key > after));
        let records: Vec<_> = rest
            .by_ref()
            .take(MAX_PAGE_RECORDS)
            .map(|(key, (offset, value))| Record {
                key: (*key).to_owned(),
                offset: *offset,
                value: Value::Set((*value).clone()),
            })
            .collect();
        let more = rest.next().is_some();
        Page {
            next: records.last().map(|last| last.key.clone()).filter(|_| more),
            records,
            end: self.end(),
        }
    }

    fn read(&self, from: Offset) -> Tail<V> {
        if from < self.first as u64 || from > self.end() {
            return Tail::Expired { first: None };
        }
        let skipped = usize::try_from(from).expect("a short topic");
        let records: Vec<_> = (from..)
            .zip(self.records.iter().skip(skipped).take(MAX_TAIL_RECORDS))
            .map(|(offset, (_, key, value))| Record {
                key: key.clone(),
                offset,
                value: value.clone().map_or(Value::Removed, Value::Set),
            })
            .collect();
        Tail::Records {
            next: from + records.len() as u64,
            records,
            end: self.end(),
        }
    }
}

/// A server, with the state of its entry.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) standing: Standing,
    /// From when on its leaving or removal counts as acknowledged by the log.
    pub(crate) left_at: Option<Moment>,
    started_at: Moment,
    last_written: Option<Moment>,
    gone_at: Option<Moment>,
    is_removed: bool,
    // Whether a backup may hold its entry.
    in_backup: bool,
}

/// The log with the operator and the servers.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) operator: Topic<OperatorValue>,
    pub(crate) endpoints: Topic<Registration>,
    pub(crate) era: Era,
    /// Since when the log is available; `None` during an outage.
    pub(crate) available_since: Option<Moment>,
    /// When the outage began, or the first of several outages between which no entries
    /// could expire.
    pub(crate) outage_began: Moment,
    /// The version that the operator wants in force, and when versions were acknowledged.
    pub(crate) version: Version,
    pub(crate) acknowledged: Vec<(Moment, Version)>,
    pub(crate) evacuated: BTreeMap<String, Option<Moment>>,
    pub(crate) servers: BTreeMap<String, Server>,
    // When the last outage began.
    last_outage: Moment,
    // When the operator writes lost records again.
    rewrite_at: Option<Moment>,
    backup_time: Moment,
}

fn entry(name: &str, started_at: Moment, standing: Standing) -> Registration {
    Registration {
        endpoint: Endpoint {
            id: id::from_name(name),
            name: name.to_owned(),
            incarnation: u64::try_from(started_at.as_millis()).expect("a short day"),
            service: 1,
            models: BTreeSet::new(),
            zone: 1,
            region: 0,
            address: ([10, 0, 0, 1], 80).into(),
            standing,
        },
        slots: 8,
        warming: Duration::ZERO,
        build: "v1".to_owned(),
        started_at: None,
    }
}

impl Platform {
    pub(crate) fn new() -> Self {
        let mut platform = Self {
            operator: Topic::new(),
            endpoints: Topic::new(),
            era: 0,
            available_since: Some(Duration::ZERO),
            outage_began: Duration::ZERO,
            version: 0,
            acknowledged: Vec::new(),
            evacuated: BTreeMap::new(),
            servers: BTreeMap::new(),
            last_outage: Duration::ZERO,
            rewrite_at: None,
            backup_time: Duration::ZERO,
        };
        for _ in 0..4 {
            platform.join(Duration::ZERO);
        }
        platform.publish(Duration::ZERO);
        platform
    }

    /// Returns whether the log has been available for this time.
    pub(crate) fn is_available_for(&self, now: Moment, time: Duration) -> bool {
        self.available_since
            .is_some_and(|available_since| now >= available_since + time)
    }

    // Returns from when on a record that is acknowledged now counts, which takes a log that
    // is available for long enough.
    fn counts_from(&self, now: Moment) -> Moment {
        self.available_since.map_or(now, |available_since| {
            now.max(available_since + MIN_LOG_AVAILABILITY)
        })
    }

    /// Answers a list request in the current era.
    pub(crate) fn list<V: Clone>(&self, topic: &Topic<V>, after: Option<&str>) -> Reply<Page<V>> {
        self.reply(topic.list(after))
    }

    /// Answers a read request in the current era.
    pub(crate) fn read<V: Clone>(&self, topic: &Topic<V>, from: Offset) -> Reply<Tail<V>> {
        self.reply(topic.read(from))
    }

    // The era is not named before the first restore.
    fn reply<A>(&self, body: A) -> Reply<A> {
        Reply {
            era: Some(self.era).filter(|era| *era > 0),
            body,
        }
    }

    /// Begins an outage. Records written after `backup_time` will be lost.
    pub(crate) fn begin_outage(&mut self, now: Moment, backup_time: Moment) {
        if self.is_available_for(now, ENTRY_LIFETIME + EXPIRY_PROPAGATION_TIME) {
            self.outage_began = now;
        }
        self.available_since = None;
        self.last_outage = now;
        self.backup_time = backup_time;
    }

    /// Restores the log from the backup. The operator writes lost records again at
    /// `rewrite_at`.
    pub(crate) fn restore(&mut self, now: Moment, rewrite_at: Moment, rng: &mut ChaCha8Rng) {
        self.operator.restore(self.backup_time);
        self.endpoints.restore(self.backup_time);
        self.era += 1;
        self.available_since = Some(now);
        self.rewrite_at = Some(rewrite_at);
        let known_before = self.last_outage.saturating_sub(PROPAGATION_TIME);
        for server in self.servers.values_mut() {
            // A leaving that was lost before all had to know it must be written again.
            server.left_at = server.left_at.filter(|left_at| *left_at < known_before);
            let since = if server.gone_at.is_some_and(|gone_at| gone_at <= now) {
                Duration::ZERO
            } else {
                HEARTBEAT_INTERVAL.mul_f64(rng.random())
            };
            server.last_written = Some(now.saturating_sub(since));
            server.in_backup = true;
        }
    }

    /// Drops the history of both topics, so that older offsets can no longer be read.
    pub(crate) const fn drop_history(&mut self) {
        self.operator.first = self.operator.records.len();
        self.endpoints.first = self.endpoints.records.len();
    }

    /// Publishes a new version.
    pub(crate) fn publish(&mut self, now: Moment) {
        self.version += 2;
        let value = Some(OperatorValue::Version(self.version));
        self.operator.append(now, "config", value);
        self.acknowledged.push((now, self.version));
    }

    /// Ends the evacuation in force, or evacuates another zone.
    pub(crate) fn toggle_evacuation(&mut self, now: Moment) {
        let evacuated_zone = self.evacuated.iter_mut().find(|(_, at)| at.is_some());
        if let Some((zone, at)) = evacuated_zone {
            *at = None;
            self.operator.append(now, zone, None);
            return;
        }
        let zone = format!("z{}", self.evacuated.len());
        self.operator
            .append(now, &zone, Some(OperatorValue::Evacuate));
        self.evacuated.insert(zone, Some(now));
    }

    /// Adds a server under a new name.
    pub(crate) fn join(&mut self, now: Moment) {
        let name = format!("e{:02}", self.servers.len());
        let server = Server {
            standing: Standing::Live,
            left_at: None,
            started_at: now,
            last_written: None,
            gone_at: None,
            is_removed: false,
            in_backup: false,
        };
        self.servers.insert(name, server);
    }

    /// Makes a server leave, by announcing it or by removing its entry.
    pub(crate) fn leave(&mut self, now: Moment, rng: &mut ChaCha8Rng) {
        let counts_from = self.counts_from(now);
        let live: Vec<_> = self
            .servers
            .iter_mut()
            .filter(|(_, server)| server.standing == Standing::Live)
            .collect();
        if live.len() < 3 {
            return;
        }
        let at = rng.random_range(0..live.len());
        let (name, server) = live.into_iter().nth(at).expect("a server");
        server.standing = Standing::Leaving;
        server.left_at = Some(counts_from);
        let silently = rng.random_bool(0.4);
        server.gone_at = Some(if silently { now } else { now + LEAVING_TIME });
        let entry_value = (!silently).then(|| entry(name, server.started_at, Standing::Leaving));
        self.endpoints.append(now, name, entry_value);
        server.last_written = Some(now);
        server.is_removed = silently;
    }

    /// Writes the pending records of the operator and the servers.
    pub(crate) fn write_pending(&mut self, now: Moment) {
        if self.available_since.is_none() {
            return;
        }
        if self.rewrite_at.is_some_and(|at| now >= at) {
            self.rewrite_at = None;
            self.rewrite_lost(now);
        }
        let counts_from = self.counts_from(now);
        for (name, server) in &mut self.servers {
            if write_server(&mut self.endpoints, now, name, server) {
                server.left_at.get_or_insert(counts_from);
            }
        }
    }

    fn rewrite_lost(&mut self, now: Moment) {
        let newest = self.operator.newest();
        let mut lost = Vec::new();
        let version = OperatorValue::Version(self.version);
        if newest
            .get("config")
            .is_none_or(|(_, value)| **value != version)
        {
            lost.push(("config".to_owned(), Some(version)));
        }
        for (zone, evacuated) in &self.evacuated {
            if newest.contains_key(zone.as_str()) != evacuated.is_some() {
                lost.push((zone.clone(), evacuated.map(|_| OperatorValue::Evacuate)));
            }
        }
        for (key, value) in lost {
            self.operator.append(now, &key, value);
        }
    }
}

// Writes a server's pending record. Returns whether it announces a leaving or removes the
// entry.
fn write_server(
    topic: &mut Topic<Registration>,
    now: Moment,
    name: &str,
    server: &mut Server,
) -> bool {
    let silent = |time| {
        server
            .last_written
            .is_none_or(|last_written| now >= last_written + time)
    };
    if server.gone_at.is_none_or(|gone_at| now < gone_at) {
        if silent(HEARTBEAT_INTERVAL) {
            let entry = entry(name, server.started_at, server.standing);
            topic.append(now, name, Some(entry));
            server.last_written = Some(now);
            return server.standing == Standing::Leaving;
        }
    } else if !server.is_removed {
        topic.append(now, name, None);
        server.is_removed = true;
        return true;
    } else if server.in_backup && silent(ENTRY_LIFETIME) {
        server.in_backup = false;
        if topic.newest().contains_key(name) {
            topic.append(now, name, None);
            return true;
        }
    }
    false
}

//! One simulated instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_direct::builds::{Builds, Census, Continuity, MAX_LIST_AGE, Statement, agree};
use godwitpost_direct::kept::{
    KeepRequest, Next, Reading, Unwritten, WRITE_INTERVAL, encode, streams_of,
};
use godwitpost_direct::members::Members;
use godwitpost_direct::origins::{Origin, Origins, Record};
use godwitpost_direct::past::Past;
use godwitpost_direct::roster::Registration;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, StreamId};

use crate::log::Log;
use crate::world::{Guard, HEARTBEAT, RETENTION, SEEDS, SERVICE, time_of_day};

/// The pause after the log refused a batch.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// An instance, from its start to the next kill.
pub(crate) struct Instance {
    pub(crate) started_at: Moment,
    pub(crate) address: SocketAddr,
    pub(crate) members: Members,
    pub(crate) origins: Origins,
    builds: Builds,
    guard: Option<Guard>,
    // The builds of the endpoints that may get requests, as of the last list.
    live: BTreeMap<BuildId, u32>,
    confirmed_at: Option<Moment>,
    pub(crate) next_read_at: Moment,
    has_read_past: bool,
    unwritten: Unwritten,
    next_write_at: Moment,
}

/// What an instance does with a stream that is taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    GoOn(BuildId),
    Ask,
    Refuse,
}

impl Instance {
    pub(crate) fn start(address: SocketAddr, guard: Option<Guard>, now: Moment) -> Self {
        let mut builds = Builds::default();
        let retention = if guard == Some(Guard::History) {
            Duration::ZERO
        } else {
            RETENTION
        };
        builds.set_retention(retention);
        Self {
            started_at: now,
            address,
            members: Members::new(Some(address)),
            origins: Origins::default(),
            builds,
            guard,
            live: BTreeMap::new(),
            confirmed_at: None,
            next_read_at: now,
            has_read_past: false,
            unwritten: Unwritten::default(),
            next_write_at: now,
        }
    }

    pub(crate) const fn is_ready(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Reads the list of endpoints.
    pub(crate) fn read(
        &mut self,
        all: &[Registration],
        live: BTreeMap<BuildId, u32>,
        first_start: bool,
        now: Moment,
    ) {
        self.builds.record_confirmation(now, Continuity::List);
        self.builds.record_list(all.iter(), first_start, now);
        self.live = live;
        self.confirmed_at = Some(now);
    }

    /// Learns all changes since its last list, by the builds that were listed meanwhile.
    pub(crate) fn follow(
        &mut self,
        listed: &[BuildId],
        all: &[Registration],
        live: BTreeMap<BuildId, u32>,
        now: Moment,
    ) {
        for build in listed {
            self.builds.record_listed(SERVICE, *build, now);
        }
        self.builds.record_confirmation(now, Continuity::Changes);
        self.builds.record_list(all.iter(), false, now);
        self.live = live;
        self.confirmed_at = Some(now);
    }

    /// Receives a list that it asked for at `sent_at`.
    pub(crate) fn read_sent(
        &mut self,
        all: &[Registration],
        live: BTreeMap<BuildId, u32>,
        sent_at: Moment,
        now: Moment,
    ) {
        self.builds
            .record_confirmation(sent_at, Continuity::Changes);
        self.builds.record_list(all.iter(), false, now);
        self.live = live;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Returns when its newest list was asked for.
    pub(crate) const fn confirmed_at(&self) -> Option<Moment> {
        self.confirmed_at
    }

    /// Returns whether its newest list was asked for at `now`.
    pub(crate) fn has_read_at(&self, now: Moment) -> bool {
        self.confirmed_at == Some(now)
    }

    /// Returns whether it would read what the log still holds of endpoints that have left.
    pub(crate) fn lacks_past(&self, now: Moment) -> bool {
        self.guard != Some(Guard::Past) && !self.has_read_past && self.builds.lacks_past(now)
    }

    /// Reads what the log still holds of endpoints that have left.
    pub(crate) fn read_past(&mut self, past: &Past, now: Moment) {
        self.has_read_past = true;
        let builds = if self.guard == Some(Guard::PastBuilds) {
            BTreeMap::new()
        } else {
            past.builds(HEARTBEAT)
        };
        self.builds.record_past(past.reach(HEARTBEAT), &builds, now);
    }

    /// Reads where streams began before this instance did.
    pub(crate) fn read_kept(&mut self, log: &Log, now: Moment) {
        let mut reading = Reading::new(SEEDS, RETENTION);
        let mut from = reading.start();
        loop {
            let tail = log.read_kept(from);
            let (streams, undecoded) = streams_of(&tail, time_of_day(now));
            assert_eq!(undecoded, 0);
            for record in &streams {
                self.origins.record_told(record, now);
            }
            match reading.handle(&tail) {
                Next::Read(offset) => from = offset,
                Next::Done => return,
                Next::GiveUp => panic!("the log can be read"),
            }
        }
    }

    /// Records streams that it is to write to the log.
    pub(crate) fn keep(&mut self, request: &KeepRequest, now: Moment) {
        for record in &request.streams {
            self.origins.record_told(record, now);
        }
        self.unwritten.add(request, now);
    }

    /// Writes the streams that it was told to keep. Returns those to pass on, if it can't.
    pub(crate) fn write(&mut self, log: &mut Log, can_write: bool, now: Moment) -> Vec<Record> {
        if self.unwritten.is_empty() || self.next_write_at > now {
            return Vec::new();
        }
        if !can_write {
            self.next_write_at = now + RETRY_PAUSE;
            return self.unwritten.take_to_pass_on(now);
        }
        let batch = self.unwritten.batch(now);
        log.keep(encode(&batch, time_of_day(now)).expect("a batch"), now);
        self.unwritten.record_written(&batch);
        self.next_write_at = now + WRITE_INTERVAL;
        Vec::new()
    }

    /// Returns what it knows of builds that serve alone.
    pub(crate) fn sole_builds(&self, now: Moment) -> Vec<(u64, BuildId)> {
        if self.statement(now).is_fresh() {
            self.builds.sole(now)
        } else {
            Vec::new()
        }
    }

    pub(crate) fn adopt(&mut self, known: &[(u64, BuildId)], now: Moment) {
        for (service, build) in known {
            self.builds.adopt(*service, *build, now);
        }
    }

    pub(crate) fn statement(&self, now: Moment) -> Statement {
        let census = self.census(now);
        let age = self.confirmed_at.map(|at| since(now, at));
        let list_age = if self.guard == Some(Guard::Freshness) {
            Some(Duration::ZERO)
        } else {
            age
        };
        Statement {
            census,
            list_age,
            complete_in: None,
        }
    }

    fn census(&self, now: Moment) -> Census {
        self.builds.census([SERVICE].into_iter(), now)
    }

    /// Returns the builds at which a new stream may begin, by the number of their endpoints.
    pub(crate) fn builds_for_new_stream(&self) -> BTreeMap<BuildId, u32> {
        if self.guard == Some(Guard::Establishing) {
            return self.live.clone();
        }
        let present = self.live.keys().copied().collect();
        let allowed = self
            .builds
            .established(SERVICE, &present, self.confirmed_at);
        let mut live = self.live.clone();
        live.retain(|build, _| allowed.contains(build));
        live
    }

    /// Returns the streams that others are to be told of.
    pub(crate) fn take_records(&mut self, now: Moment) -> Vec<Record> {
        self.origins.forget_old(RETENTION, now);
        let census = self.census(now);
        if self.guard == Some(Guard::Telling) || !self.origins.begin_telling() {
            return Vec::new();
        }
        self.origins
            .take_untold(|_| !matches!(census, Census::Sole(_)), now)
    }

    /// Returns the streams that a seed is to keep.
    pub(crate) fn take_unkept(&mut self, now: Moment) -> Vec<Record> {
        let census = self.census(now);
        let is_needed = |_| !matches!(census, Census::Sole(_));
        self.origins.take_unkept(is_needed, now)
    }

    /// Decides without the help of others.
    pub(crate) fn decide(&self, stream: Option<StreamId>, now: Moment) -> Decision {
        if let Some((origin, _)) = stream.and_then(|stream| self.origins.get(stream)) {
            return Decision::GoOn(origin.build);
        }
        let statement = self.statement(now);
        match statement.census {
            Census::Sole(build) if statement.is_fresh() => Decision::GoOn(build),
            _ if self.guard == Some(Guard::Asking) => Decision::Refuse,
            _ => Decision::Ask,
        }
    }

    /// Decides by what others answer.
    pub(crate) fn decide_by(
        &mut self,
        origins: &[Origin],
        statements: &[Statement],
        asked: usize,
        now: Moment,
    ) -> Decision {
        if let Some(origin) = origins.first() {
            return Decision::GoOn(origin.build);
        }
        for one in statements.iter().filter(|one| one.is_fresh()) {
            if let Census::Sole(build) = one.census {
                self.builds.adopt(SERVICE, build, now);
            }
        }
        agree(self.census(now), statements, asked).map_or(Decision::Refuse, Decision::GoOn)
    }

    /// Returns whether it lists an endpoint of a build that may get requests.
    pub(crate) fn lists(&self, build: BuildId) -> bool {
        self.live.contains_key(&build)
    }

    /// Returns whether its list is one that it has read within the time that counts.
    pub(crate) fn is_current(&self, now: Moment) -> bool {
        self.confirmed_at
            .is_some_and(|at| since(now, at) <= MAX_LIST_AGE * 2)
    }
}

//! Instances that stand still or are cut off while endpoints of a new build join.
//!
//! What was on its way to an instance that stands still arrives as it goes on: the list that it
//! had asked for, and what a seed answered.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_direct::roster::Registration;
use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BuildId, ServiceId};
use rand::RngExt;

use super::{SEEDS, Stream, World};

/// How long an instance stands still or is cut off, in milliseconds.
const LENGTHS_MS: std::ops::Range<u64> = 500..6_000;

/// How soon after it goes on callers come back to it, in milliseconds.
const RETURN_MS: std::ops::Range<u64> = 0..50;

/// How long after the beginning endpoints of a new build join, in milliseconds.
const JOIN_MS: std::ops::Range<u64> = 0..1_500;

/// How long endpoints of a new build that don't stay are listed, in milliseconds.
const SHORT_LIVES_MS: std::ops::Range<u64> = 500..5_000;

/// How an instance is out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// It stands still.
    Pause,
    /// It can't reach the other instances.
    CutFromOthers,
    /// It can reach neither the others nor the log.
    CutFromAll,
}

/// A list on its way.
struct List {
    sent_at: Moment,
    all: Vec<Registration>,
    live: BTreeMap<BuildId, u32>,
}

/// What is on its way to an instance that stands still.
#[derive(Default)]
pub(super) struct Arriving {
    list: Option<List>,
    // What a seed answered, and when it was asked.
    sole_builds: Option<(Moment, Vec<(ServiceId, BuildId)>)>,
}

/// An instance that is out of step, and what happens meanwhile.
pub(super) struct Episode {
    instance: usize,
    until: Moment,
    // When endpoints of a new build join, how many, and when they are gone again.
    join_at: Option<Moment>,
    joining: u32,
    gone_at: Option<Moment>,
    build: String,
    replaces: bool,
}

impl World {
    /// Draws an instance that is out of step from now on, and goes on with the current episode.
    pub(super) fn draw_pauses(&mut self) {
        let Some(mut episode) = self.episode.take() else {
            if self.rng.random_bool(0.02) {
                self.begin_episode();
            }
            return;
        };
        let now = self.now;
        if episode.join_at.take_if(|at| *at <= now).is_some() {
            self.join(&episode);
        }
        if episode.gone_at.take_if(|at| *at <= now).is_some() {
            self.end_build(&episode);
        }
        if now < episode.until {
            self.episode = Some(episode);
        } else {
            self.go_on(episode.instance);
            self.return_callers(&episode);
        }
    }

    fn begin_episode(&mut self) {
        let now = self.now;
        let instance = self.rng.random_range(0..self.instances.len());
        let until = now + Duration::from_millis(self.rng.random_range(LENGTHS_MS));
        let kinds = [
            Trouble::Pause,
            Trouble::Pause,
            Trouble::CutFromOthers,
            Trouble::CutFromAll,
        ];
        match kinds[self.rng.random_range(0..kinds.len())] {
            Trouble::Pause => self.pause(instance, until),
            Trouble::CutFromOthers => self.cut_until[instance] = until,
            Trouble::CutFromAll => {
                self.cut_until[instance] = until;
                self.unread_until[instance] = until;
            }
        }
        let join_at = now + Duration::from_millis(self.rng.random_range(JOIN_MS));
        let life = Duration::from_millis(self.rng.random_range(SHORT_LIVES_MS));
        let is_short = self.rng.random_bool(0.5);
        self.next_build += 1;
        self.episode = Some(Episode {
            instance,
            until,
            join_at: Some(join_at),
            joining: self.rng.random_range(1..=3),
            gone_at: is_short.then_some(join_at + life),
            build: format!("v{}", self.next_build),
            replaces: self.rng.random_bool(0.3),
        });
    }

    fn pause(&mut self, n: usize, until: Moment) {
        self.paused_until[n] = until;
        let mut arriving = Arriving::default();
        if self.can_read_but_for_a_pause(n) && self.rng.random_bool(0.5) {
            arriving.list = Some(List {
                sent_at: self.now,
                all: self.listed(),
                live: self.live_builds(),
            });
        }
        let seed = self.rng.random_range(0..SEEDS);
        if seed != n && self.reaches(n, seed) && self.rng.random_bool(0.5) {
            arriving.sole_builds = Some((self.now, self.instances[seed].sole_builds(self.now)));
        }
        self.arriving[n] = arriving;
    }

    fn can_read_but_for_a_pause(&self, n: usize) -> bool {
        let now = self.now;
        self.down_until[n] <= now && self.unread_until[n] <= now && self.log_down_until <= now
    }

    /// Returns whether an instance stands still. What it is sent arrives later.
    pub(super) fn is_paused(&self, n: usize) -> bool {
        self.paused_until[n] > self.now
    }

    // Hands over what arrived while an instance stood still, in either order, perhaps after a
    // first list that it asked for since.
    fn go_on(&mut self, n: usize) {
        let now = self.now;
        if self.down_until[n] > now {
            return;
        }
        let Arriving { list, sole_builds } = std::mem::take(&mut self.arriving[n]);
        let apply_list = |world: &mut Self| {
            if let Some(List { sent_at, all, live }) = &list {
                world.instances[n].read_sent(all, live.clone(), *sent_at, now);
            }
        };
        let is_list_first = self.rng.random_bool(0.5);
        if is_list_first {
            apply_list(self);
        }
        if self.can_read(n) && self.rng.random_bool(0.5) {
            let (all, live) = (self.listed(), self.live_builds());
            self.read_list(n, &all, live);
        }
        if let Some((asked_at, sole)) = sole_builds {
            self.instances[n].adopt(&sole, asked_at);
        }
        if !is_list_first && !self.instances[n].has_read_at(now) {
            apply_list(self);
        }
    }

    fn join(&mut self, episode: &Episode) {
        let now = self.now;
        for _ in 0..episode.joining {
            self.add_server(&episode.build, now);
            let others = self.servers.iter_mut();
            let mut others = others
                .filter(|one| one.leaving_at.is_none() && one.registration.build != episode.build);
            if let Some(other) = others.next().filter(|_| episode.replaces) {
                other.leaving_at = Some(now + Duration::from_millis(500));
            }
        }
    }

    // The endpoints of the new build are gone: they say that they leave, or their entries are
    // removed at once.
    fn end_build(&mut self, episode: &Episode) {
        let now = self.now;
        let says_so = self.rng.random_bool(0.5);
        let is_of_it = |registration: &Registration| registration.build == episode.build;
        if says_so {
            let of_it = self
                .servers
                .iter_mut()
                .filter(|one| is_of_it(&one.registration));
            for one in of_it {
                one.leaving_at.get_or_insert(now);
            }
            return;
        }
        for one in self
            .servers
            .extract_if(.., |one| is_of_it(&one.registration))
        {
            self.log.remove(one.registration.endpoint.name, now);
        }
    }

    // The streams at the new build break. Their callers come back to the instance that goes on.
    fn return_callers(&mut self, episode: &Episode) {
        let build = godwitpost_types::id::from_name(&episode.build);
        let mut returning: Vec<Stream> = self
            .streams
            .extract_if(.., |one| one.build == build)
            .collect();
        for stream in &mut returning {
            stream.next_at = self.now + Duration::from_millis(self.rng.random_range(RETURN_MS));
            stream.at = Some(episode.instance);
        }
        self.streams.extend(returning);
    }
}

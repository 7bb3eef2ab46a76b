//! Which builds of its endpoints each service has had lately.
//!
//! What endpoints of two builds write doesn't fit together, so a stream goes on only at the
//! build that began it. Where all endpoints that can have begun a stream are of one build, it
//! is that one, and instances need not tell each other anything. Two conditions make this
//! certain:
//!
//! - An instance knows all builds of the last while, as long as a stream may last and its
//!   caller may take to come back.
//! - New streams begin at a build that is new beside another one only when it has been listed
//!   for [`MAX_LIST_AGE`]. An instance whose list isn't older than that knows all builds that
//!   have begun a stream.
//!
//! An instance that has started within that while doesn't know what served before, unless
//! another one tells or the log still holds it. Endpoints that have run for longer prove nothing:
//! others beside them may have left. Nor does an instance know what came and went while it could
//! not read the list; if none could, there was nothing that streams could begin at.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::roster::Registration;

/// The age up to which a list of endpoints holds all builds that streams have begun at.
pub const MAX_LIST_AGE: Duration = Duration::from_secs(1);

/// How long a list may go without being confirmed before a build can have come and gone
/// unseen, where all changes in between are told.
const MAX_LIST_GAP: Duration = Duration::from_secs(3);

/// The same where only the list at its end is told. A build is listed for [`MAX_LIST_AGE`] before
/// streams begin there, and its entries may be removed while its endpoints go on serving.
const MAX_UNTOLD_GAP: Duration = MAX_LIST_AGE;

/// How a list is known that was confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// By all changes since it was confirmed before, or by an instance that knows them.
    Changes,
    /// By the list alone.
    List,
}

/// A build that a service has had lately, as one instance tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mention {
    /// The service.
    pub service: ServiceId,
    /// The build.
    pub build: BuildId,
    /// How long ago it was last listed; zero if it is.
    pub gone_for: Duration,
}

/// Of the instances asked, at most one in this many may fail to say that the list can't be read.
const MIN_AGREEING_DIVISOR: usize = 4;

/// The builds at which a service's streams may have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Census {
    /// No endpoint is known.
    Empty,
    /// All are of one build.
    Sole(BuildId),
    /// All known ones are of this build; ones that are gone may have been of another.
    Unsure(BuildId),
    /// All are of this build, unless another one came and went while the list could not be
    /// read.
    Gapped(BuildId),
    /// There is more than one.
    Several,
}

impl Census {
    fn sole(self) -> Option<BuildId> {
        match self {
            Self::Sole(build) => Some(build),
            _ => None,
        }
    }

    fn gapped(self) -> Option<BuildId> {
        match self {
            Self::Gapped(build) => Some(build),
            _ => None,
        }
    }
}

/// What an instance says of the builds at which streams may have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The builds.
    pub census: Census,
    /// How long ago its list of endpoints was confirmed; `None` if it never was.
    pub list_age: Option<Duration>,
    /// How long it takes until it knows all builds, if it will.
    pub complete_in: Option<Duration>,
}

impl Statement {
    /// Returns whether its list holds all builds that streams have begun at.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.list_age.is_some_and(|age| age <= MAX_LIST_AGE)
    }
}

/// Returns the build that alone can have begun a stream, by what is known here and what others
/// state: those whose lists are fresh or, if nobody can read the list, all. An instance that
/// begins streams at another build has read the list since.
///
/// That nobody can read the list is certain only if most of the `asked` instances say so. Those
/// that don't answer may be on the other side of a partition, where it is read.
#[must_use]
pub fn agree(own: Census, statements: &[Statement], asked: usize) -> Option<BuildId> {
    let fresh: Vec<&Statement> = statements.iter().filter(|one| one.is_fresh()).collect();
    let knows_any = |one: &&Statement| one.census != Census::Empty;
    let counted: Vec<&Statement> = if fresh.is_empty() {
        statements.iter().filter(knows_any).collect()
    } else {
        fresh
    };
    let is_fresh = counted.iter().any(|one| one.is_fresh());
    if !is_fresh && counted.len() * MIN_AGREEING_DIVISOR < asked * (MIN_AGREEING_DIVISOR - 1) {
        return None;
    }
    let of = |pick: fn(Census) -> Option<BuildId>| counted.iter().find_map(|one| pick(one.census));
    // If none of them read the list for a while, nobody did.
    let sole = of(Census::sole).or_else(|| of(Census::gapped))?;
    let allows = |census: Census| match census {
        Census::Sole(build) | Census::Gapped(build) | Census::Unsure(build) => build == sole,
        Census::Empty => true,
        Census::Several => false,
    };
    let agrees = allows(own) && counted.iter().all(|one| allows(one.census));
    agrees.then_some(sole)
}

/// Returns how long it takes until some instance knows that one build alone can have begun a
/// stream, unless one knows of several: those can't be told apart later either.
#[must_use]
pub fn earliest_knowledge(own: &Statement, others: &[Statement]) -> Option<Duration> {
    let all = || std::iter::once(own).chain(others);
    if all().any(|one| one.census == Census::Several) {
        return None;
    }
    all().filter_map(|one| one.complete_in).min()
}

// The endpoints of one build.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    // `None` if it was there at the first start of the system.
    first_listed: Option<Moment>,
    // When it was last listed; `None` if it is now.
    gone_since: Option<Moment>,
    // When the first of its endpoints has started, if all say so.
    first_start: Option<SystemTime>,
}

// Since when all builds are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum History {
    /// No list was received.
    #[default]
    None,
    /// Since the first list, and for a time before that.
    Since { listed: Moment, earlier: Duration },
    /// Since the first start of the system.
    Whole,
}

// What is known of the builds that a service has had lately, from less to more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Knowledge {
    Incomplete,
    Gapped,
    Complete,
}

/// The builds of all services.
#[derive(Clone, Debug, Default)]
pub struct Builds {
    services: BTreeMap<ServiceId, BTreeMap<BuildId, Sighting>>,
    history: History,
    // As of when another instance last told what had served a service.
    told: BTreeMap<ServiceId, Moment>,
    // When the list was first and last confirmed, and when that ended a gap.
    first_confirmed_at: Option<Moment>,
    confirmed_at: Option<Moment>,
    gap_ended_at: Option<Moment>,
    retention: Duration,
}

impl Builds {
    /// Records how long after its first event a stream may be taken up. A shorter time than
    /// before is ignored, since it doesn't hold for streams that have begun.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = self.retention.max(retention);
    }

    /// Returns how long after its first event a stream may be taken up.
    #[must_use]
    pub const fn retention(&self) -> Duration {
        self.retention
    }

    /// Returns how far back all builds that have served are known here; `None` before the first
    /// list.
    #[must_use]
    pub fn known_for(&self, now: Moment) -> Option<Duration> {
        match self.history {
            History::None => None,
            History::Since { listed, earlier } => Some(since(now, listed).saturating_add(earlier)),
            History::Whole => Some(Duration::MAX),
        }
    }

    /// Returns how many builds a service has had lately.
    #[must_use]
    pub fn count(&self, service: ServiceId) -> usize {
        self.services.get(&service).map_or(0, BTreeMap::len)
    }

    /// Records that a list was confirmed as of `confirmed_at`, and how it is known.
    pub fn record_confirmation(&mut self, confirmed_at: Moment, continuity: Continuity) {
        let longest = match continuity {
            Continuity::Changes => MAX_LIST_GAP,
            Continuity::List => MAX_UNTOLD_GAP,
        };
        let gap = self.confirmed_at.map(|before| since(confirmed_at, before));
        if gap.is_some_and(|gap| gap > longest) {
            self.gap_ended_at = Some(confirmed_at);
        }
        self.first_confirmed_at.get_or_insert(confirmed_at);
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// Records all endpoints that are known. `nothing_before` says that no endpoint can have
    /// served before the first list.
    pub fn record_list<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a Registration>,
        nothing_before: bool,
        now: Moment,
    ) {
        let is_first = self.history == History::None;
        let mut present = BTreeMap::new();
        for one in listed {
            let first_start = present
                .entry((one.endpoint.service, one.build_id()))
                .or_insert(one.started_at);
            // An unknown start leaves all unknown.
            *first_start = (*first_start).min(one.started_at);
        }
        if is_first {
            self.history = if nothing_before && present.is_empty() {
                History::Whole
            } else {
                History::Since {
                    listed: now,
                    earlier: Duration::ZERO,
                }
            };
        }
        let first_listed = (self.history != History::Whole || !is_first).then_some(now);
        for (service, builds) in &mut self.services {
            for (build, sighting) in builds {
                if !present.contains_key(&(*service, *build)) {
                    sighting.gone_since.get_or_insert(now);
                }
            }
        }
        for ((service, build), first_start) in present {
            let builds = self.services.entry(service).or_default();
            let sighting = builds.entry(build).or_insert(Sighting {
                first_listed,
                gone_since: None,
                first_start,
            });
            // Others may have forgotten a build that comes back.
            if sighting.gone_since.take().is_some() {
                sighting.first_listed = Some(now);
            }
            sighting.first_start = first_start;
        }
        self.forget_old(now);
    }

    /// Records that endpoints of a build were listed until `listed_at`, and may be gone since.
    pub fn record_listed(&mut self, service: ServiceId, build: BuildId, listed_at: Moment) {
        // What the first list holds is recorded as a whole.
        if self.history == History::None {
            return;
        }
        let builds = self.services.entry(service).or_default();
        let sighting = builds.entry(build).or_insert(Sighting {
            first_listed: Some(listed_at),
            gone_since: Some(listed_at),
            first_start: None,
        });
        if let Some(gone_since) = &mut sighting.gone_since {
            *gone_since = listed_at.max(*gone_since);
        }
    }

    /// Records the builds that another instance knew at `as_of`.
    pub fn record_mentions(&mut self, mentions: &[Mention], as_of: Moment) {
        for one in mentions {
            let listed_at = since(as_of, one.gone_for);
            self.record_listed(one.service, one.build, listed_at);
        }
        self.forget_old(as_of);
    }

    /// Returns the builds of services that have had more than one lately.
    #[must_use]
    pub fn mentions(&self, now: Moment) -> Vec<Mention> {
        let several = self.services.iter().filter(|(_, builds)| builds.len() > 1);
        let of_service = |(service, builds): (&ServiceId, &BTreeMap<BuildId, Sighting>)| {
            let service = *service;
            let mention = |(build, sighting): (&BuildId, &Sighting)| Mention {
                service,
                build: *build,
                gone_for: sighting
                    .gone_since
                    .map_or(Duration::ZERO, |at| since(now, at)),
            };
            builds.iter().map(mention).collect::<Vec<_>>()
        };
        several.flat_map(of_service).collect()
    }

    fn forget_old(&mut self, now: Moment) {
        let retention = self.retention;
        for builds in self.services.values_mut() {
            builds.retain(|_, one| one.is_recent(retention, now));
        }
        self.services.retain(|_, builds| !builds.is_empty());
    }

    /// Records that, as an instance with a fresh list knew at `as_of`, one build alone can have
    /// begun the streams of a service until then. What is listed here since is known here.
    ///
    /// `as_of` is a moment before which the other instance can't have said so, not the moment of
    /// receipt: the words of others wait while this instance stands still.
    pub fn adopt(&mut self, service: ServiceId, build: BuildId, as_of: Moment) {
        if self.history == History::None {
            return;
        }
        let told = self.told.entry(service).or_default();
        *told = as_of.max(*told);
        let builds = self.services.entry(service).or_default();
        builds.entry(build).or_insert(Sighting {
            first_listed: Some(as_of),
            gone_since: Some(as_of),
            first_start: None,
        });
    }

    /// Records which builds have served within `reach` before now, as the log still tells, and
    /// how long before now each was last mentioned there.
    pub fn record_past(
        &mut self,
        reach: Duration,
        builds: &BTreeMap<(ServiceId, BuildId), Duration>,
        now: Moment,
    ) {
        let History::Since { listed, earlier } = &mut self.history else {
            return;
        };
        *earlier = (*earlier).max(reach.saturating_sub(since(now, *listed)));
        for ((service, build), age) in builds {
            let of_service = self.services.entry(*service).or_default();
            of_service.entry(*build).or_insert(Sighting {
                first_listed: Some(now),
                gone_since: Some(since(now, *age)),
                first_start: None,
            });
        }
        self.forget_old(now);
    }

    /// Returns whether it isn't known for all services which builds have served lately, as this
    /// instance has just started and no other one told.
    #[must_use]
    pub fn lacks_past(&self, now: Moment) -> bool {
        let is_unknown = |service: &ServiceId| !self.told.contains_key(service);
        !self.is_history_complete(now) && self.services.keys().any(is_unknown)
    }

    /// Returns how long it takes until all builds of the last while are known, without the help
    /// of others; `None` before the first list.
    #[must_use]
    pub fn time_to_know(&self, now: Moment) -> Option<Duration> {
        Some(self.retention.saturating_sub(self.known_for(now)?))
    }

    /// Returns the services of which one build alone can have begun streams, with it.
    #[must_use]
    pub fn sole(&self, now: Moment) -> Vec<(ServiceId, BuildId)> {
        let services = self.services.keys();
        services
            .filter_map(|service| match self.census([*service].into_iter(), now) {
                Census::Sole(build) => Some((*service, build)),
                _ => None,
            })
            .collect()
    }

    /// Returns the builds at which streams of any of these services may have begun, as of the
    /// list that is known here.
    #[must_use]
    pub fn census(&self, services: impl Iterator<Item = ServiceId>, now: Moment) -> Census {
        let of_service = |service| {
            let builds = self.services.get(&service).into_iter().flatten();
            builds.map(move |(build, sighting)| (service, *build, sighting))
        };
        let recent: Vec<(ServiceId, BuildId, &Sighting)> = services
            .flat_map(of_service)
            .filter(|(_, _, one)| one.is_recent(self.retention, now))
            .collect();
        let builds: BTreeSet<BuildId> = recent.iter().map(|(_, build, _)| *build).collect();
        let (Some(build), None) = (builds.first(), builds.iter().nth(1)) else {
            return if builds.is_empty() {
                Census::Empty
            } else {
                Census::Several
            };
        };
        let knowledge = recent
            .iter()
            .map(|(service, _, _)| self.knowledge(*service, now));
        match knowledge.min() {
            Some(Knowledge::Complete) => Census::Sole(*build),
            Some(Knowledge::Gapped) => Census::Gapped(*build),
            Some(Knowledge::Incomplete) | None => Census::Unsure(*build),
        }
    }

    // Returns what is known of the builds that a service has had lately.
    fn knowledge(&self, service: ServiceId, now: Moment) -> Knowledge {
        let told_at = self.told.get(&service).copied();
        // Told of a time long before the first list, an instance doesn't know what came and went
        // in between.
        let first = self.first_confirmed_at.unwrap_or_default();
        let told_at = told_at.filter(|told| since(first, *told) <= MAX_LIST_GAP);
        let is_complete = self.is_history_complete(now);
        let recent = |at: &Moment| since(now, *at) < self.retention;
        let gap_ended_at = self.gap_ended_at.filter(recent);
        let is_gapped = gap_ended_at.is_some_and(|at| told_at.is_none_or(|told| told < at));
        match (told_at.is_some() || is_complete, is_gapped) {
            (false, _) => Knowledge::Incomplete,
            (true, true) => Knowledge::Gapped,
            (true, false) => Knowledge::Complete,
        }
    }

    fn first_list_at(&self) -> Option<Moment> {
        match self.history {
            History::None | History::Whole => None,
            History::Since { listed, .. } => Some(listed),
        }
    }

    fn is_history_complete(&self, now: Moment) -> bool {
        self.known_for(now)
            .is_some_and(|time| time >= self.retention)
    }

    /// Returns at which of some builds new streams may begin: those that other instances know,
    /// since they have been listed for a while. `confirmed_at` is when the list was last
    /// confirmed; a list that is not read tells nobody of a build. An instance that has just
    /// started can't tell of those that were there at its start, but surely others know the one
    /// whose endpoints started first. There may be none, if all others have just left.
    #[must_use]
    pub fn established(
        &self,
        service: ServiceId,
        builds: &BTreeSet<BuildId>,
        confirmed_at: Option<Moment>,
    ) -> BTreeSet<BuildId> {
        let sighting = |build: &BuildId| self.services.get(&service)?.get(build);
        let is_established = |build: &&BuildId| {
            sighting(build).is_some_and(|one| match one.first_listed {
                None => true,
                Some(at) => confirmed_at.is_some_and(|confirmed| confirmed >= at + MAX_LIST_AGE),
            })
        };
        let established: BTreeSet<BuildId> =
            builds.iter().filter(is_established).copied().collect();
        if !established.is_empty() {
            return established;
        }
        let first_start = |build: &&BuildId| {
            let first_start = sighting(build).and_then(|one| one.first_start);
            (first_start.is_none(), first_start)
        };
        let was_there_at_start = |build: &&BuildId| {
            sighting(build).is_some_and(|one| one.first_listed <= self.first_list_at())
        };
        builds
            .iter()
            .filter(was_there_at_start)
            .min_by_key(first_start)
            .copied()
            .into_iter()
            .collect()
    }
}

impl Sighting {
    // Returns whether a stream that began at the build may still be taken up.
    fn is_recent(&self, retention: Duration, now: Moment) -> bool {
        self.gone_since.is_none_or(|at| since(now, at) < retention)
    }
}

#[cfg(test)]
mod tests;

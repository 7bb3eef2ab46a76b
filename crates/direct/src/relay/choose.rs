//! Chooses the endpoint of an attempt.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_decide::health::Access;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::{BuildId, EndpointId};
use rand::RngExt;

use super::Job;
use super::expected::{Cost, Expected};
use super::source::{self, Source};
use crate::dialect::Part;
use crate::fragility::Fleet;
use crate::notices::Notice;
use crate::place::{
    Affinity, Candidate, Choice, Exclusion, Pick, Room, ServiceLoad, Unavailable, pick_by_time,
};
use crate::refusal::Reason;
use crate::roster::Registration;
use crate::settings::Placement;
use crate::shared::View;
use crate::stats::LoadEstimate;

/// The part of the remaining time that is not passed on to the endpoint, reserved for the
/// response's way back.
pub(super) const RESPONSE_RETURN_TIME: Duration = Duration::from_millis(3);

/// A caller is asked to wait for at most its remaining time divided by this.
pub(super) const WAIT_DIVISOR: u32 = 3;

/// The endpoint chosen for an attempt, and why.
pub(super) struct Chosen {
    pub(super) registration: Arc<Registration>,
    pub(super) choice: Choice,
    pub(super) load: f64,
    pub(super) belief: Belief,
    pub(super) source: Option<Source>,
    /// What is expected of the request there, if its cost is known.
    pub(super) expected: Option<Expected>,
}

/// What an endpoint was chosen by.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Belief {
    pub(super) service: ServiceLoad,
    /// The load that no endpoint of the service should have.
    pub(super) limit: f64,
    /// The age of the endpoint's last report, if there is one.
    pub(super) report_age: Option<Duration>,
    /// This instance's requests at the endpoint.
    pub(super) own_requests: u32,
    /// Whether the endpoint was found to begin no responses.
    pub(super) is_silent: bool,
    /// The estimated number of requests for the same prompt part at endpoints; `None` if the
    /// request is not placed by its prompt.
    pub(super) demand: Option<f64>,
}

/// Resolves the request again and chooses its endpoint.
///
/// # Errors
///
/// Returns the reason why it can't be sent now.
pub(super) fn choose_endpoint(job: &mut Job) -> Result<Chosen, Reason> {
    let shared = Arc::clone(&job.shared);
    // The lease has to be checked before the view is loaded: a version published in
    // between is then confirmed at least as recently as assumed.
    let policy_current = shared.is_policy_current();
    let view = shared.view();
    job.resolve_again(&view, policy_current)?;
    if let Some(left) = job.quarantine_remaining() {
        return Err(Reason::Held { left });
    }
    job.check_parts()?;
    if job.outlasts_shutdown() {
        return Err(Reason::Draining);
    }
    if job.remaining() <= RESPONSE_RETURN_TIME {
        return Err(job.attempts.deadline_reason());
    }
    let registrations = view.usable(job.service);
    let groups = group_endpoints(job, registrations);
    let candidates = candidates(job, &view, &groups.usable);
    let unavailable = unavailable(job, &view, &groups);
    let affinity = affinity(job, &candidates);
    let draw = rand::rng().random();
    let service = ServiceLoad::new(&candidates, unavailable);
    let cost = cost(job, &view, draw);
    let by_work = shared.settings.placement == Placement::Work;
    let outlook = |one: &Candidate| {
        let cost = cost.as_ref().filter(|_| by_work)?;
        cost.outlook(job, one)
    };
    match pick_by_time(
        &candidates,
        unavailable,
        affinity,
        shared.settings.load_bound,
        draw,
        outlook,
    ) {
        Pick::Send { endpoint, choice } => {
            let candidate = candidates.iter().find(|one| one.endpoint == endpoint);
            let registration = registrations
                .iter()
                .find(|one| one.endpoint.id == endpoint)
                .ok_or(Reason::NoEndpoint)?;
            if !take_share(job, &view, registration) {
                return Err(Reason::Warming);
            }
            if choice == Choice::Unsure && !take_refusal_share(job, registration) {
                return Err(Reason::NoRoom);
            }
            Ok(Chosen {
                expected: cost
                    .as_ref()
                    .zip(candidate)
                    .map(|(cost, candidate)| cost.expected_at(job, candidate)),
                source: source::find_source(
                    job,
                    &view,
                    &candidates,
                    &groups.paused,
                    registration,
                    draw,
                ),
                registration: Arc::clone(registration),
                choice,
                load: candidate.map_or(0.0, |one| one.load),
                belief: Belief {
                    service,
                    limit: service.limit(shared.settings.load_bound),
                    report_age: candidate.and_then(|one| one.report_age),
                    own_requests: candidate.map_or(0, |one| one.own_requests),
                    is_silent: candidate.is_some_and(|one| one.is_silent),
                    demand: affinity.map(|one| one.demand),
                },
            })
        }
        Pick::Full => Err(Reason::Full),
        Pick::NoRoom => Err(Reason::NoRoom),
        Pick::Wait => Err(Reason::Warming),
        Pick::None => Err(unavailable_reason(job, &view, groups.resume_at)),
    }
}

/// Returns the reason to give for a request that an endpoint refused, if all endpoints
/// that may run it are paused. A retry before one of them resumes would be in vain.
pub(super) fn pause_reason(job: &Job) -> Option<Reason> {
    let view = job.shared.view();
    let groups = group_endpoints(job, view.usable(job.service));
    let all_paused = groups.usable.is_empty();
    groups
        .resume_at
        .filter(|_| all_paused)
        .map(|resume_at| pause_reason_until(job, resume_at))
}

// Returns the reason for a request whose endpoints are paused until `resume_at` or later.
// Another instance may have endpoints that accept it, so the wait leaves the caller time
// for a retry there.
fn pause_reason_until(job: &Job, resume_at: Moment) -> Reason {
    let left = since(resume_at, boot_time()).min(job.remaining() / WAIT_DIVISOR);
    Reason::Paused { left }
}

// Returns the cost of a request, if its route uses affinity and its service runs models.
fn cost(job: &Job, view: &View, draw: u64) -> Option<Cost> {
    let policy = view.policy.as_ref().filter(|_| job.route.affinity)?;
    let engine = policy.service(job.service)?.engine;
    Cost::new(job, engine, draw)
}

// Takes one request from this instance's share of an endpoint that is warming up. Returns
// false if the share is used up.
fn take_share(job: &Job, view: &View, registration: &Registration) -> bool {
    let endpoint = &registration.endpoint;
    let now = boot_time();
    let Some(ramp) = view.ramp(job.service, endpoint.id, now) else {
        return true;
    };
    let instances = job.shared.instance_count(now);
    let taken = job
        .shared
        .shares()
        .try_take(endpoint.id, ramp, instances, now);
    job.shared.metrics.count_warming_share(taken);
    log::info!(
        request:% = job.id(), endpoint:% = endpoint.name, instances:? = instances, taken = taken;
        "requested a share of an endpoint that is warming up"
    );
    taken
}

// Takes one request from this instance's share of those that a fragile endpoint may
// refuse. Returns false if the share is used up.
fn take_refusal_share(job: &Job, registration: &Registration) -> bool {
    let endpoint = registration.endpoint.id;
    let now = boot_time();
    let instances = job.shared.instance_count(now);
    let mut fragility = job.shared.fragility();
    let most = fragility.max_refusals(job.service, endpoint, now);
    most.is_none_or(|most| fragility.try_take(endpoint, most, instances, now))
}

// Returns the reason why no endpoint can be chosen. `resume_at` is when the first paused
// endpoint resumes.
fn unavailable_reason(job: &Job, view: &View, resume_at: Option<Moment>) -> Reason {
    if let Some(resume_at) = resume_at {
        return pause_reason_until(job, resume_at);
    }
    if is_build_gone(job, view) {
        return Reason::BuildGone;
    }
    if !job.tried.is_empty() {
        return Reason::Unreachable;
    }
    let may_run = |one: &Arc<Registration>| job.may_run_in(one.endpoint.zone);
    if view.evacuated(job.service).iter().any(may_run) {
        Reason::Evacuated
    } else if view.usable(job.service).is_empty() || view.usable(job.service).iter().any(may_run) {
        Reason::NoEndpoint
    } else {
        Reason::NoHome
    }
}

// Returns whether no endpoint of the build that began the stream may get requests, now or
// when its zone is used again.
fn is_build_gone(job: &Job, view: &View) -> bool {
    let Some(origin) = job.origin else {
        return false;
    };
    let usable = view.usable(job.service).iter();
    let mut all = usable.chain(view.evacuated(job.service));
    !all.any(|one| one.build_id() == origin.build)
}

// Returns the request's affinity, if its route uses affinity.
fn affinity(job: &Job, candidates: &[Candidate]) -> Option<Affinity> {
    let part = job.fields.affinity_part().filter(|_| job.route.affinity)?;
    let total_load = candidates.iter().map(|one| one.load).sum();
    let id = job.isolated_affinity_key().unwrap_or(part.id);
    let part = Part { id, ..part };
    let mut stats = job.shared.endpoint_stats();
    let own = candidates
        .iter()
        .map(|one| stats.own_requests(one.endpoint));
    let own = f64::from(own.sum::<u32>());
    Some(stats.record_prompt(job.service, part, (own, total_load), boot_time()))
}

/// The endpoints of a service, grouped by whether the request can be sent to them.
struct EndpointGroups<'a> {
    /// Endpoints that the request can be sent to.
    usable: Vec<&'a Registration>,
    /// Endpoints that may run the request but asked for a pause.
    paused: Vec<&'a Registration>,
    /// When the first paused endpoint resumes.
    resume_at: Option<Moment>,
    /// Endpoints that may not run the request.
    excluded: Vec<&'a Registration>,
    /// Endpoints that announced that they are leaving, but that the view still lists.
    leaving: Vec<&'a Arc<Registration>>,
}

/// The builds of the endpoints that a request may be sent to.
enum AllowedBuilds {
    All,
    Only(BTreeSet<BuildId>),
}

impl AllowedBuilds {
    fn contains(&self, registration: &Registration) -> bool {
        match self {
            Self::All => true,
            Self::Only(builds) => builds.contains(&registration.build_id()),
        }
    }
}

// A stream goes on at the build that began it, and a new one begins at builds that other
// instances know.
fn allowed_builds(
    job: &Job,
    registrations: &[Arc<Registration>],
    suits: impl Fn(&Registration) -> bool,
) -> AllowedBuilds {
    if !job.is_resumable() {
        return AllowedBuilds::All;
    }
    if let Some(origin) = job.origin {
        return AllowedBuilds::Only(BTreeSet::from([origin.build]));
    }
    if job.shared.builds().count(job.service) <= 1 {
        return AllowedBuilds::All;
    }
    let suitable = registrations.iter().filter(|one| suits(one));
    let present = suitable.map(|one| one.build_id()).collect();
    let confirmed_at = job.shared.endpoints_confirmed_at();
    let builds = job.shared.builds();
    AllowedBuilds::Only(builds.established(job.service, &present, confirmed_at))
}

fn group_endpoints<'a>(job: &Job, registrations: &'a [Arc<Registration>]) -> EndpointGroups<'a> {
    let model = job
        .fields
        .model
        .as_deref()
        .map(godwitpost_types::id::from_name);
    let has_model = |one: &Registration| {
        let models = &one.endpoint.models;
        models.is_empty() || model.is_none_or(|model| models.contains(&model))
    };
    let suits = |one: &Registration| job.may_run_in(one.endpoint.zone) && has_model(one);
    let allowed = allowed_builds(job, registrations, suits);
    let may_run = |one: &Registration| suits(one) && allowed.contains(one);
    let mut groups = EndpointGroups {
        usable: Vec::with_capacity(registrations.len()),
        paused: Vec::new(),
        resume_at: None,
        excluded: Vec::new(),
        leaving: Vec::new(),
    };
    let now = boot_time();
    let notices = job.shared.notices();
    for one in registrations {
        match notices.get(one.endpoint.id, now) {
            Some(Notice::Leaving) => groups.leaving.push(one),
            _ if !may_run(one) => groups.excluded.push(one),
            Some(Notice::Paused { until }) => {
                groups.paused.push(one);
                groups.resume_at = Some(
                    groups
                        .resume_at
                        .map_or(until, |resume_at| resume_at.min(until)),
                );
            }
            Some(Notice::Resuming) | None => groups.usable.push(one),
        }
    }
    groups
}

// Returns the number and load of the service's endpoints that the request can't be sent
// to, including those that are leaving or in evacuated zones.
fn unavailable(job: &Job, view: &View, groups: &EndpointGroups<'_>) -> Unavailable {
    let excluded = groups.excluded.iter().chain(&groups.paused);
    let excluded: Vec<EndpointId> = excluded.map(|one| one.endpoint.id).collect();
    let ids = |all: &[Arc<Registration>]| all.iter().map(|one| one.endpoint.id).collect();
    let evacuated: Vec<EndpointId> = ids(view.evacuated(job.service));
    let mut leaving: Vec<EndpointId> = ids(view.leaving(job.service));
    leaving.extend(groups.leaving.iter().map(|one| one.endpoint.id));
    let all = [&excluded, &evacuated, &leaving];
    if all.iter().all(|group| group.is_empty()) {
        return Unavailable::default();
    }
    let now = boot_time();
    let stats = job.shared.endpoint_stats();
    let excluded_load = stats
        .estimate(&excluded, now)
        .into_iter()
        .map(|estimate| estimate.load);
    // No new requests are sent to the others, so their load is no more than what was last
    // observed.
    let others_load = [&evacuated, &leaving]
        .into_iter()
        .flat_map(|group| stats.estimate(group, now))
        .map(|estimate| estimate.observed_load);
    let number = |count| u32::try_from(count).unwrap_or(u32::MAX);
    Unavailable {
        count: number(all.iter().map(|group| group.len()).sum()),
        leaving: number(leaving.len()),
        load: excluded_load.chain(others_load).sum(),
    }
}

// Returns this instance's part of the requests at a service's endpoints.
fn fleet(estimates: &[LoadEstimate], instances: Option<u32>) -> Fleet {
    let all = estimates.iter().map(|one| one.load).sum();
    let own = estimates.iter().map(|one| one.own_requests).sum::<u32>();
    Fleet::new(instances, f64::from(own), all)
}

fn candidates(job: &Job, view: &View, registrations: &[&Registration]) -> Vec<Candidate> {
    let zone = job.shared.settings.zone_id();
    let ids: Vec<EndpointId> = registrations.iter().map(|one| one.endpoint.id).collect();
    let now = boot_time();
    let estimates = job.shared.endpoint_stats().estimate(&ids, now);
    let paths = job.shared.paths();
    let notices = job.shared.notices();
    let shares = job.shared.shares();
    let instances = job.shared.instance_count(now);
    let access = |id: EndpointId, observed: Access| match notices.get(id, now) {
        Some(Notice::Resuming) if observed == Access::Full => Access::Trial,
        _ => observed,
    };
    let fragility = job.shared.fragility();
    let is_sound = fragility.is_sound(job.service, now);
    let fleet = fleet(&estimates, instances);
    let room = |one: &Registration, estimate: &LoadEstimate| {
        let id = one.endpoint.id;
        fragility
            .max_refusals(job.service, id, now)
            .map_or(Room::Free, |most| {
                fragility.room(id, most, one.slots, estimate, fleet, now)
            })
    };
    let exclusion = |id: EndpointId| {
        if job.tried.contains(&id) {
            return Some(Exclusion::Tried);
        }
        let ramp = view.ramp(job.service, id, now)?;
        let has_share = shares.has_share(id, ramp, instances, now);
        (!has_share).then_some(Exclusion::NoShare)
    };
    registrations
        .iter()
        .zip(estimates)
        .map(|(one, estimate)| Candidate {
            endpoint: one.endpoint.id,
            load: estimate.load,
            load_stddev: estimate.std_dev,
            own_requests: estimate.own_requests,
            known_load: estimate.known_load(is_sound),
            known_fraction: estimate.known,
            report_age: estimate.report_age,
            is_silent: estimate.is_silent,
            filling: estimate.filling,
            arrivals: estimate.unseen_arrivals(is_sound),
            slots: one.slots,
            same_zone: one.endpoint.zone == zone,
            path_clear: paths.is_clear(one.endpoint.zone, now),
            access: access(one.endpoint.id, estimate.access),
            room: room(one, &estimate),
            exclusion: exclusion(one.endpoint.id),
        })
        .collect()
}

//! Choosing the endpoint of an attempt.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_decide::health::Access;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::id::EndpointId;
use rand::RngExt;

use super::Job;
use super::source::{self, Source};
use crate::dialect::Part;
use crate::notices::Notice;
use crate::place::{Affinity, Candidate, Choice, Exclusion, Pick, Unavailable, pick};
use crate::refusal::Reason;
use crate::roster::Registration;
use crate::shared::View;

/// What is kept back of the time that is left when it is handed on: the answer
/// still has to come back.
pub(super) const RETURN: Duration = Duration::from_millis(3);

/// The part of its time that a caller waits at most for endpoints that want no requests.
const OF_LEFT: u32 = 3;

/// The endpoint of an attempt, and what it was picked by.
pub(super) struct Chosen {
    pub(super) registration: Arc<Registration>,
    pub(super) choice: Choice,
    pub(super) load: f64,
    pub(super) source: Option<Source>,
}

/// Resolves the request anew and picks its endpoint.
///
/// # Errors
///
/// Returns why it can't be sent now.
pub(super) fn choose(job: &mut Job) -> Result<Chosen, Reason> {
    let shared = Arc::clone(&job.shared);
    // In this order: a version published in between is then confirmed at least
    // as well as is believed.
    let fresh = shared.is_policy_current();
    let view = shared.view();
    job.renew(&view, fresh)?;
    if let Some(left) = job.held() {
        return Err(Reason::Held { left });
    }
    if job.left() <= RETURN {
        return Err(job.attempts.deadline_reason());
    }
    let registrations = view.usable(job.service);
    let split = split(job, registrations);
    let candidates = candidates(job, &view, &split.usable);
    let rest = rest(job, &view, &split);
    let prefix = prefix(job, &candidates);
    let draw = rand::rng().random();
    match pick(&candidates, rest, prefix, shared.settings.load_bound, draw) {
        Pick::Send { endpoint, choice } => {
            let chosen = candidates.iter().find(|one| one.endpoint == endpoint);
            let one = registrations
                .iter()
                .find(|one| one.endpoint.id == endpoint)
                .ok_or(Reason::NoEndpoint)?;
            if !spend(job, &view, one) {
                return Err(Reason::Warming);
            }
            Ok(Chosen {
                source: source::find(job, &view, &candidates, &split.paused, one, draw),
                registration: Arc::clone(one),
                choice,
                load: chosen.map_or(0.0, |one| one.load),
            })
        }
        Pick::Full => Err(Reason::Full),
        Pick::Wait => Err(Reason::Warming),
        Pick::None => Err(none(job, &view, split.back)),
    }
}

/// Returns why a request that an endpoint refused can't go anywhere else now, if no other
/// endpoint wants it: it is then in vain to come back before one does.
pub(super) fn paused(job: &Job) -> Option<Reason> {
    let view = job.shared.view();
    let split = split(job, view.usable(job.service));
    let all = split.usable.is_empty();
    split
        .back
        .filter(|_| all)
        .map(|back| paused_until(job, back))
}

// The refusal of a request that an endpoint wants again at `back` at the earliest. Another
// instance may have endpoints that take it, so callers don't wait for longer than leaves
// them time for that.
fn paused_until(job: &Job, back: Moment) -> Reason {
    let left = since(back, boot_time()).min(job.left() / OF_LEFT);
    Reason::Paused { left }
}

// Takes this instance's share of an endpoint if that is warming up; returns whether
// there was one.
fn spend(job: &Job, view: &View, registration: &Registration) -> bool {
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
        "share of an endpoint that is warming up"
    );
    taken
}

// Why there is no endpoint left, where some may want requests again at `back`.
fn none(job: &Job, view: &View, back: Option<Moment>) -> Reason {
    if let Some(back) = back {
        return paused_until(job, back);
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

// What the request's prompt shares with others, where that counts.
fn prefix(job: &Job, candidates: &[Candidate]) -> Option<Affinity> {
    let part = job.facts.affinity_part().filter(|_| job.route.affinity)?;
    let all = candidates.iter().map(|one| one.load).sum();
    let id = job.apart().unwrap_or(part.id);
    let part = Part { id, ..part };
    let mut book = job.shared.endpoint_stats();
    let own = candidates.iter().map(|one| book.own_requests(one.endpoint));
    let own = f64::from(own.sum::<u32>());
    Some(book.record_prompt(job.service, part, (own, all), boot_time()))
}

/// The endpoints of a request's service by what they may get of it. Those that are leaving
/// by their own word, but not yet by the view, are none of these.
struct Split<'a> {
    /// It may be sent to these.
    usable: Vec<&'a Registration>,
    /// These may run it, but want no requests for now.
    paused: Vec<&'a Registration>,
    /// When the first of those wants requests again.
    back: Option<Moment>,
    /// These may not run it.
    others: Vec<&'a Registration>,
}

fn split<'a>(job: &Job, registrations: &'a [Arc<Registration>]) -> Split<'a> {
    let model = job.facts.model.as_deref().map(godwitpost_types::id::of);
    let has_model = |one: &Registration| {
        let models = &one.endpoint.models;
        models.is_empty() || model.is_none_or(|model| models.contains(&model))
    };
    let may_run = |one: &Registration| job.may_run_in(one.endpoint.zone) && has_model(one);
    let mut split = Split {
        usable: Vec::with_capacity(registrations.len()),
        paused: Vec::new(),
        back: None,
        others: Vec::new(),
    };
    let now = boot_time();
    let notices = job.shared.notices();
    for one in registrations {
        match notices.get(one.endpoint.id, now) {
            Some(Notice::Leaving) => {}
            _ if !may_run(one) => split.others.push(one),
            Some(Notice::Paused { until }) => {
                split.paused.push(one);
                split.back = Some(split.back.map_or(until, |back| back.min(until)));
            }
            Some(Notice::Resuming) | None => split.usable.push(one),
        }
    }
    split
}

// What the service's endpoints have to which the request can't go now, and those in
// evacuated zones.
fn rest(job: &Job, view: &View, split: &Split<'_>) -> Unavailable {
    let evacuated = view.evacuated(job.service);
    let others = split.others.iter().chain(&split.paused);
    let others: Vec<EndpointId> = others.map(|one| one.endpoint.id).collect();
    if others.is_empty() && evacuated.is_empty() {
        return Unavailable::default();
    }
    let now = boot_time();
    let evacuated: Vec<EndpointId> = evacuated.iter().map(|one| one.endpoint.id).collect();
    let book = job.shared.endpoint_stats();
    let used = book
        .estimate(&others, now)
        .into_iter()
        .map(|look| look.load);
    // Nothing comes to these any more, so they have no more than what was seen there.
    let left = book
        .estimate(&evacuated, now)
        .into_iter()
        .map(|look| look.observed_load);
    Unavailable {
        count: u32::try_from(others.len() + evacuated.len()).unwrap_or(u32::MAX),
        load: used.chain(left).sum(),
    }
}

fn candidates(job: &Job, view: &View, registrations: &[&Registration]) -> Vec<Candidate> {
    let zone = job.shared.settings.zone_id();
    let ids: Vec<EndpointId> = registrations.iter().map(|one| one.endpoint.id).collect();
    let now = boot_time();
    let looks = job.shared.endpoint_stats().estimate(&ids, now);
    let paths = job.shared.paths();
    let notices = job.shared.notices();
    let shares = job.shared.shares();
    let instances = job.shared.instance_count(now);
    let access = |id: EndpointId, seen: Access| match notices.get(id, now) {
        Some(Notice::Resuming) if seen == Access::Full => Access::Trial,
        _ => seen,
    };
    let bar = |id: EndpointId| {
        if job.tried.contains(&id) {
            return Some(Exclusion::Tried);
        }
        let ramp = view.ramp(job.service, id, now)?;
        let left = shares.has_share(id, ramp, instances, now);
        (!left).then_some(Exclusion::NoShare)
    };
    registrations
        .iter()
        .zip(looks)
        .map(|(one, look)| Candidate {
            endpoint: one.endpoint.id,
            load: look.load,
            load_stddev: look.std_dev,
            own_requests: look.own_requests,
            observed_load: look.observed_load,
            known_fraction: look.known,
            slots: one.slots,
            same_zone: one.endpoint.zone == zone,
            path_clear: paths.is_clear(one.endpoint.zone, now),
            access: access(one.endpoint.id, look.access),
            exclusion: bar(one.endpoint.id),
        })
        .collect()
}

//! Choosing the endpoint of an attempt.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_client::clock::boot_time;
use godwitpost_types::id::EndpointId;
use rand::RngExt;

use super::Job;
use super::source::{self, Source};
use crate::dialect::Part;
use crate::place::{Bar, Candidate, Choice, Pick, Prefix, Rest, pick};
use crate::refusal::Reason;
use crate::roster::Registration;
use crate::shared::View;

/// What is kept back of the time that is left when it is handed on: the answer
/// still has to come back.
pub(super) const RETURN: Duration = Duration::from_millis(3);

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
    let fresh = shared.fresh();
    let view = shared.view();
    job.renew(&view, fresh)?;
    if let Some(left) = job.held() {
        return Err(Reason::Held { left });
    }
    if job.left() <= RETURN {
        return Err(job.attempts.late());
    }
    let registrations = view.of(job.service);
    let (usable, others) = usable(job, registrations);
    let candidates = candidates(job, &view, &usable);
    let rest = rest(job, &view, &others);
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
                source: source::find(job, &view, &candidates, one, draw),
                registration: Arc::clone(one),
                choice,
                load: chosen.map_or(0.0, |one| one.load),
            })
        }
        Pick::Full => Err(Reason::Full),
        Pick::Wait => Err(Reason::Warming),
        Pick::None if job.tried.is_empty() => Err(none(job, &view)),
        Pick::None => Err(Reason::Unreachable),
    }
}

// Takes this instance's share of an endpoint if that is warming up; returns whether
// there was one.
fn spend(job: &Job, view: &View, registration: &Registration) -> bool {
    let endpoint = &registration.endpoint;
    let now = boot_time();
    let Some(ramp) = view.ramp(job.service, endpoint.id, now) else {
        return true;
    };
    let instances = job.shared.instances(now);
    let taken = job.shared.shares().take(endpoint.id, ramp, instances, now);
    job.shared.metrics.share(taken);
    log::info!(
        request:% = job.id(), endpoint:% = endpoint.name, instances:? = instances, taken = taken;
        "share of an endpoint that is warming up"
    );
    taken
}

// Why there is no endpoint at all.
fn none(job: &Job, view: &View) -> Reason {
    let may_run = |one: &Arc<Registration>| job.may_run_in(one.endpoint.zone);
    if view.evacuated(job.service).iter().any(may_run) {
        Reason::Evacuated
    } else if view.of(job.service).is_empty() || view.of(job.service).iter().any(may_run) {
        Reason::NoEndpoint
    } else {
        Reason::NoHome
    }
}

// What the request's prompt shares with others, where that counts.
fn prefix(job: &Job, candidates: &[Candidate]) -> Option<Prefix> {
    let part = job.facts.shared().filter(|_| job.route.affinity)?;
    let all = candidates.iter().map(|one| one.load).sum();
    let id = job.apart().unwrap_or(part.id);
    let part = Part { id, ..part };
    let mut book = job.shared.book();
    let own = candidates.iter().map(|one| book.own(one.endpoint));
    let own = f64::from(own.sum::<u32>());
    Some(book.prompt(job.service, part, (own, all), boot_time()))
}

// The endpoints that may run the request, and those that may not. What is leaving by its
// own word, but not yet by the view, is neither.
fn usable<'a>(
    job: &Job,
    registrations: &'a [Arc<Registration>],
) -> (Vec<&'a Registration>, Vec<&'a Registration>) {
    let model = job.facts.model.as_deref().map(godwitpost_types::id::of);
    let has_model = |one: &Registration| {
        let models = &one.endpoint.models;
        models.is_empty() || model.is_none_or(|model| models.contains(&model))
    };
    let may_run = |one: &Registration| job.may_run_in(one.endpoint.zone) && has_model(one);
    let notices = job.shared.notices();
    let stays = |one: &&Registration| !notices.is_leaving(one.endpoint.id);
    let all = registrations.iter().map(Arc::as_ref).filter(stays);
    all.partition(|one| may_run(one))
}

// What the service's endpoints have to which the request can't go: the `others` that
// may not run it, and those in evacuated zones.
fn rest(job: &Job, view: &View, others: &[&Registration]) -> Rest {
    let evacuated = view.evacuated(job.service);
    if others.is_empty() && evacuated.is_empty() {
        return Rest::default();
    }
    let now = boot_time();
    let others: Vec<EndpointId> = others.iter().map(|one| one.endpoint.id).collect();
    let evacuated: Vec<EndpointId> = evacuated.iter().map(|one| one.endpoint.id).collect();
    let book = job.shared.book();
    let used = book.look(&others, now).into_iter().map(|look| look.load);
    // Nothing comes to these any more, so they have no more than what was seen there.
    let left = book.look(&evacuated, now).into_iter().map(|look| look.seen);
    Rest {
        count: u32::try_from(others.len() + evacuated.len()).unwrap_or(u32::MAX),
        load: used.chain(left).sum(),
    }
}

fn candidates(job: &Job, view: &View, registrations: &[&Registration]) -> Vec<Candidate> {
    let zone = job.shared.settings.zone_id();
    let ids: Vec<EndpointId> = registrations.iter().map(|one| one.endpoint.id).collect();
    let now = boot_time();
    let looks = job.shared.book().look(&ids, now);
    let ways = job.shared.ways();
    let shares = job.shared.shares();
    let instances = job.shared.instances(now);
    let bar = |id: EndpointId| {
        if job.tried.contains(&id) {
            return Some(Bar::Tried);
        }
        let ramp = view.ramp(job.service, id, now)?;
        let left = shares.left(id, ramp, instances, now);
        (!left).then_some(Bar::Spent)
    };
    registrations
        .iter()
        .zip(looks)
        .map(|(one, look)| Candidate {
            endpoint: one.endpoint.id,
            load: look.load,
            spread: look.spread,
            own: look.own,
            seen: look.seen,
            known: look.known,
            slots: one.slots,
            near: one.endpoint.zone == zone,
            clear: ways.clear(one.endpoint.zone, now),
            access: look.access,
            bar: bar(one.endpoint.id),
        })
        .collect()
}

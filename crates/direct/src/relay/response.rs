//! Updates what is known of an endpoint by the head of its response.

use godwitpost_client::clock::boot_time;
use godwitpost_decide::health::Event;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::Standing;
use http::StatusCode;

use super::Job;
use super::in_flight::InFlightRequest;
use crate::attempt::is_final;
use crate::dialect::{RefusalLimit, ResponseFields, Slowdown};
use crate::fragility::Change;
use crate::stats::Observation;

/// Updates the endpoint's state from the head of its response.
pub(super) fn record_response(
    job: &Job,
    in_flight: &InFlightRequest,
    status: StatusCode,
    fields: &ResponseFields,
) {
    let now = boot_time();
    in_flight.record_activity();
    if !is_final(status) {
        in_flight.record_failure(Observation::BrokenResponse);
        return;
    }
    let id = &job.fields.attempt_id;
    // Another server at the address may not know the header that names the attempt.
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if fields.is_for_other_attempt(id) || !(is_misdirected || fields.names_attempt(id)) {
        return;
    }
    if fields.is_from_endpoint(status, id) {
        record_notices(job, in_flight, status, fields, now);
        record_slowdown(job, in_flight, fields, now);
    }
    let endpoint = &in_flight.registration().endpoint;
    let mut endpoint_stats = job.shared.endpoint_stats();
    let mut expected = Vec::new();
    let (change, observation) = if is_misdirected {
        let change = endpoint_stats.record_unreachable(endpoint.id, now);
        (change, Observation::OtherServer)
    } else {
        if let Some(report) = fields.report {
            expected = endpoint_stats.estimate(&[endpoint.id], now);
            endpoint_stats.record_report(endpoint.id, report, now);
            endpoint_stats.record_head_time(endpoint.service, since(now, in_flight.sent_at()));
        }
        endpoint_stats.record_response(endpoint.id, in_flight.sent_at(), now);
        let change = endpoint_stats.record_health_event(endpoint.id, Event::Success(now));
        (change, Observation::Responded)
    };
    drop(endpoint_stats);
    if let (Some(report), Some(expected)) = (fields.report, expected.first()) {
        in_flight.check_reported_load(job.id(), report, expected);
    }
    job.shared
        .record_access_change(endpoint, change, observation);
}

// Records how long work takes at the endpoint now, if the response states it.
fn record_slowdown(job: &Job, in_flight: &InFlightRequest, fields: &ResponseFields, now: Moment) {
    let Some(slowdown) = fields.slowdown else {
        return;
    };
    if slowdown == Slowdown::Invalid {
        job.shared.metrics.count_endpoint_notice("slowdown-invalid");
    }
    let endpoint = &in_flight.registration().endpoint;
    let is_first_invalid =
        job.shared
            .work()
            .record_slowdown(endpoint.service, endpoint.id, slowdown, now);
    if is_first_invalid {
        log::warn!(
            request:% = job.id(), endpoint:% = endpoint.name;
            "endpoint states no usable figure of how long work takes there; ignored"
        );
    }
}

// Applies the notices in a response: that the endpoint is leaving, or that it wants a
// pause.
fn record_notices(
    job: &Job,
    in_flight: &InFlightRequest,
    status: StatusCode,
    fields: &ResponseFields,
    now: Moment,
) {
    if fields.standing == Some(Standing::Leaving) {
        job.shared.metrics.count_endpoint_notice("leaving");
        let incarnation = in_flight.registration().endpoint_incarnation();
        if job
            .shared
            .notices()
            .record_leaving(in_flight.endpoint(), &incarnation, now)
        {
            log::info!(
                request:% = job.id(), endpoint:% = in_flight.name(), incarnation = incarnation.incarnation;
                "endpoint announced in a response that it is leaving"
            );
        }
    }
    record_fragility(job, in_flight, status, fields, now);
    let endpoint = in_flight.endpoint();
    if let Some(pause) = fields.retry_after {
        job.shared.metrics.count_endpoint_notice("retry-after");
        job.shared.notices().record_pause(endpoint, pause, now);
        log::warn!(
            request:% = job.id(), endpoint:% = in_flight.name(), pause_ms = pause.as_millis();
            "endpoint asked for a pause"
        );
    } else if fields.not_run && is_capacity_refusal(status) {
        job.shared.metrics.count_endpoint_notice("refused");
        let pause = job.shared.notices().record_refusal(endpoint, now);
        log::info!(
            request:% = job.id(), endpoint:% = in_flight.name(), pause_ms = pause.as_millis();
            "endpoint refused a request; pausing it"
        );
    } else if !fields.not_run && job.shared.notices().record_response(endpoint, now) {
        log::info!(
            request:% = job.id(), endpoint:% = in_flight.name();
            "endpoint responds again after its pause"
        );
    }
}

// Applies what a response states of the refusals that its endpoint withstands.
fn record_fragility(
    job: &Job,
    in_flight: &InFlightRequest,
    status: StatusCode,
    fields: &ResponseFields,
    now: Moment,
) {
    let endpoint = &in_flight.registration().endpoint;
    let max_refusals = match fields.max_refusals {
        Some(RefusalLimit::Stated(most)) => Some(most),
        Some(RefusalLimit::Invalid) => {
            job.shared.metrics.count_endpoint_notice("fragile-invalid");
            let mut fragility = job.shared.fragility();
            if fragility.record_invalid_statement(endpoint.service) {
                log::warn!(
                    request:% = job.id(), endpoint:% = endpoint.name;
                    "endpoint states no usable number of refusals that it withstands; ignored"
                );
            }
            return;
        }
        None => None,
    };
    let mut fragility = job.shared.fragility();
    let change = fragility.record_statement(endpoint.service, endpoint.id, max_refusals, now);
    let refused = fields.not_run && is_capacity_refusal(status);
    if refused {
        fragility.record_refusal(endpoint.service, now);
    }
    let is_full = fields
        .report
        .is_some_and(|report| report.running >= report.slots);
    if max_refusals.is_some() && (refused || is_full) {
        fragility.record_overload(endpoint.id, now);
    }
    drop(fragility);
    if max_refusals.is_some() {
        job.shared.metrics.count_endpoint_notice("fragile");
    }
    match change {
        Some(Change::Fragile(most)) => log::warn!(
            request:% = job.id(), endpoint:% = endpoint.name, max_refusals = most;
            "the service's endpoints crash if they refuse more; sending only what they have room for"
        ),
        Some(Change::Sound) => log::info!(
            request:% = job.id(), endpoint:% = endpoint.name;
            "the service's endpoints no longer state that they crash if they refuse too much"
        ),
        None => {}
    }
}

/// Returns whether a status means that the endpoint has no capacity, rather than that the
/// request is at fault.
pub(super) const fn is_capacity_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

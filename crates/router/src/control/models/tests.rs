//! An engine's recent report takes precedence over the list.

use godwitpost_types::endpoint::Standing;

use super::*;

const ENGINE: EndpointId = 7;

fn endpoint() -> Endpoint {
    Endpoint {
        id: ENGINE,
        name: "runner-7".to_owned(),
        incarnation: 2,
        service: 1,
        models: BTreeSet::from([id::from_name("writer")]),
        zone: 1,
        region: 1,
        address: "127.0.0.1:1".parse().expect("an address"),
        standing: Standing::Live,
    }
}

fn report(incarnation: Incarnation) -> Report {
    Report {
        taken: Moment::ZERO,
        incarnation,
        standing: Standing::Live,
        requests: 0,
        work: 0,
    }
}

// Guards against requests to an engine that has loaded another model while the
// list still names the old one.
#[test]
fn recent_report_takes_precedence_over_the_list() {
    let mut models = Models::default();
    let now = Duration::from_secs(100);
    let reported = ["tagger@3".to_owned()];
    assert!(models.record_report(now, ENGINE, &report(2), &reported));
    assert!(!models.record_report(now, ENGINE, &report(2), &reported));
    let corrected = models.apply_reported_models(now, Some(Kind::Engine), endpoint());
    assert_eq!(corrected.models, BTreeSet::from([id::from_name("tagger")]));
    let stale = models.apply_reported_models(now + REPORT_MAX_AGE, Some(Kind::Engine), endpoint());
    assert_eq!(stale.models, endpoint().models);
}

// An engine restarts with other models. A report of its earlier incarnation must
// not hide them.
#[test]
fn report_of_an_earlier_incarnation_is_ignored() {
    let mut models = Models::default();
    let now = Duration::from_secs(100);
    models.record_report(now, ENGINE, &report(1), &[]);
    assert_eq!(
        models
            .apply_reported_models(now, Some(Kind::Engine), endpoint())
            .models,
        endpoint().models
    );
}

// Endpoints of a plain service name models in their reports, copied from an
// engine's template. Applying them would remove the endpoints from their pool
// and stall the service's requests although it is up.
#[test]
fn models_reported_by_a_plain_service_are_ignored() {
    let mut models = Models::default();
    let now = Duration::from_secs(100);
    models.record_report(now, ENGINE, &report(2), &["tagger@3".to_owned()]);
    let plain = Endpoint {
        models: BTreeSet::new(),
        ..endpoint()
    };
    for kind in [Some(Kind::Plain), None] {
        assert_eq!(
            models.apply_reported_models(now, kind, plain.clone()),
            plain
        );
    }
}

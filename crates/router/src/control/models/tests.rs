//! An engine's own word goes before the list, for as long as it is fresh.

use godwitpost_types::endpoint::Standing;

use super::*;

const ENGINE: EndpointId = 7;

fn endpoint() -> Endpoint {
    Endpoint {
        id: ENGINE,
        name: "runner-7".to_owned(),
        incarnation: 2,
        service: 1,
        models: BTreeSet::from([id::of("writer")]),
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

// An editor's draft is refused by an engine that was ordered to load another
// model: the list still names the old one.
#[test]
fn a_fresh_report_goes_before_the_list() {
    let mut models = Models::default();
    let now = Duration::from_secs(100);
    let reported = ["tagger@3".to_owned()];
    assert!(models.record_report(now, ENGINE, &report(2), &reported));
    assert!(!models.record_report(now, ENGINE, &report(2), &reported));
    let corrected = models.apply_reported_models(now, Some(Kind::Engine), endpoint());
    assert_eq!(corrected.models, BTreeSet::from([id::of("tagger")]));
    let stale = models.apply_reported_models(now + REPORT_MAX_AGE, Some(Kind::Engine), endpoint());
    assert_eq!(stale.models, endpoint().models);
}

// An engine restarts with other models; what it said in its former life must
// not hide them.
#[test]
fn a_former_lifes_report_counts_for_nothing() {
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

// Stock checks stall though their service is up: its back ends name models in
// their reports, out of a template for engines, and leave their own pool.
#[test]
fn models_that_a_plain_service_reports_change_nothing() {
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

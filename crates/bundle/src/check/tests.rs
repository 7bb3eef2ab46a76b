use crate::check;
use crate::source;
use crate::source::tests::FULL_BUNDLE;

fn found(yaml: &str) -> Vec<String> {
    let error = source::read(yaml).expect_err("the bundle has mistakes");
    error.0.iter().map(ToString::to_string).collect()
}

#[test]
fn a_bundle_without_operators_is_refused() {
    let yaml = FULL_BUNDLE.replace(
        "  asahikawa: { key: \"11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=\" }",
        "  {}",
    );
    assert_eq!(
        found(&yaml),
        [
            "line 6: operators: names nobody, so no later version could be signed; \
          name at least one operator with its public key"
        ]
    );
}

// A weak public key accepts forged signatures: the all-zero point has small
// order, so anybody who sees the bundle could sign the next one.
#[test]
fn a_weak_key_is_refused() {
    let yaml = FULL_BUNDLE.replace(
        "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=",
        "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
    );
    assert_eq!(
        found(&yaml),
        [
            "line 6: operators.asahikawa.key: is not an Ed25519 public key; \
          write the public key that keygen printed, in base64"
        ]
    );
}

#[test]
fn two_routes_on_one_path_must_differ_in_methods() {
    let same = FULL_BUNDLE.replace("path: /orders,", "path: /v1/chat/completions/,");
    assert_eq!(
        found(&same),
        [
            "line 19: routes[1]: takes the same path and a same method as routes[0]; \
          part their paths or methods"
        ]
    );
    let parted = same.replace(
        "methods: [POST], service: ordering",
        "methods: [PUT], service: ordering",
    );
    source::read(&parted).expect("their methods differ");
}

#[test]
fn names_unfit_for_headers_and_labels_are_refused() {
    assert_eq!(
        found(&FULL_BUNDLE.replace("  otaru:", "  \"otaru shop\":")).len(),
        1
    );
}

// A bundle signed by another version of the tool reaches the fold without
// passing this parser, so the fold must check ranges too.
#[test]
fn ranges_are_checked_without_parsing_yaml() {
    let mut bundle = source::read(FULL_BUNDLE).expect("it is right");
    bundle
        .services
        .get_mut("drafting")
        .expect("it is there")
        .load_bound = f64::NAN;
    bundle
        .workspaces
        .get_mut("otaru")
        .expect("it is there")
        .weight = -1.0;
    let paths: Vec<_> = check::bundle(&bundle).into_iter().map(|m| m.path).collect();
    assert_eq!(
        paths,
        ["services.drafting.load_bound", "workspaces.otaru.weight"]
    );
}

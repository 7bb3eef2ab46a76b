use godwitpost_types::id;

use crate::resolve;
use crate::source;
use crate::source::tests::FULL_BUNDLE;

#[test]
fn names_become_ids_and_references_use_them() {
    let policy = resolve::bundle(&source::read(FULL_BUNDLE).expect("it is right"));
    assert_eq!(policy.version, 2);
    let route = policy.route("POST", "/orders/7").expect("it is routed");
    assert_eq!(policy.services[&route.service].name, "ordering");
    assert_eq!(policy.classes[&route.class].name, "order");
    let otaru = &policy.workspaces[&id::from_name("otaru")];
    assert!(otaru.services.contains(&route.service));
    assert_eq!(
        policy.models[&id::from_name("route-writer")].service,
        id::from_name("drafting")
    );
}

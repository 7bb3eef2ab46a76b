use super::{Stream, bundle, new_fold, operator_key, root, root_key};
use crate::blob::Digest;
use crate::fold::{Next, Refusal};
use crate::record::{Change, Record};
use crate::schema::Operator;
use crate::signature;

fn resigned(mut change: Change, key: &str) -> Record {
    change.signature = signature::sign(&change.statement, &operator_key(key));
    Record::Change(change)
}

fn change_of(record: Record) -> Change {
    match record {
        Record::Change(change) => change,
        Record::Checkpoint(_) => panic!("it is a change"),
    }
}

// Two operators roll version 3 on version 2 at the same time. If instances
// disagreed on which one won, callers would see two bundles at once.
#[test]
fn the_first_of_two_changes_with_one_parent_wins_and_the_other_is_refused() {
    let mut stream = Stream::rolled(2);
    let first = stream.sign(&bundle(3, 30), "kushiro");
    let second = stream.sign(&bundle(3, 31), "asahikawa");
    assert_eq!(stream.append(&first), Next::InForce(3));
    let lost = Refusal::Lost {
        version: 3,
        winner: "kushiro".to_owned(),
    };
    assert_eq!(stream.append(&second), Next::Refused(lost));
}

// The response to an append is lost and the tool appends the record again. The
// second record must neither take effect again nor be reported as a lost race.
#[test]
fn a_record_appended_twice_counts_once() {
    let mut stream = Stream::rolled(2);
    let change = stream.change(3, 30);
    assert_eq!(stream.append(&change), Next::InForce(3));
    assert_eq!(stream.append(&change), Next::Ignored);
    stream.roll(4);
    assert_eq!(stream.append(&change), Next::Ignored);
    assert_eq!(stream.fold().version(), 4);
}

// An operator signs versions 3 and 4, and the delayed append of 3 lands
// after 4. The fold must not accept 4 once 3 appears: a reader that started
// between the two would not accept it.
#[test]
fn a_version_that_came_too_early_is_not_accepted_later() {
    let mut stream = Stream::rolled(2);
    let third = stream.change(3, 30);
    let mut ahead = Stream::rolled(2);
    ahead.append(&third);
    let fourth = ahead.change(4, 40);
    let refused = Refusal::Ahead {
        current: 2,
        found: 4,
    };
    assert_eq!(stream.append(&fourth), Next::Refused(refused));
    assert_eq!(stream.append(&third), Next::InForce(3));
    assert_eq!(stream.fold().version(), 3);
}

#[test]
fn unknown_signers_and_forged_changes_are_refused() {
    let mut stream = Stream::rolled(2);
    let before = root(stream.fold());
    let change = change_of(stream.change(3, 30));
    let stranger = resigned(change.clone(), "zenibako");
    let unsigned = Refusal::Signature("asahikawa".to_owned());
    assert_eq!(stream.append(&stranger), Next::Refused(unsigned.clone()));
    let mut other_name = change.clone();
    other_name.statement.operator = "kushiro".to_owned();
    let claimed = Refusal::Signature("kushiro".to_owned());
    assert_eq!(
        stream.append(&Record::Change(other_name)),
        Next::Refused(claimed)
    );
    let mut swapped = change.clone();
    swapped.delta.removes.insert("workspace/otaru".to_owned());
    swapped.delta.puts.clear();
    assert_eq!(
        stream.append(&Record::Change(swapped)),
        Next::Refused(Refusal::Root)
    );
    let mut parent = change;
    parent.statement.parent = Digest::of(b"another");
    assert_eq!(
        stream.append(&resigned(parent, "asahikawa")),
        Next::Refused(Refusal::Parent)
    );
    assert_eq!(root(stream.fold()), before);
    stream.roll(3);
}

// A signed bundle with a broken reference, from a tool without the checks,
// would make every router route to a service that does not exist.
#[test]
fn a_signed_bundle_with_mistakes_is_not_in_force() {
    let mut stream = Stream::rolled(1);
    let mut small = bundle(2, 1);
    let otaru = small.workspaces.get_mut("otaru").expect("it is there");
    otaru.services.insert("booking".to_owned());
    let change = stream.sign(&small, "asahikawa");
    let next = stream.append(&change);
    assert!(
        matches!(next, Next::Refused(Refusal::Content(_))),
        "{next:?}"
    );
    let mut large = bundle(2, 1);
    large.services.remove("ordering");
    let change = stream.sign(&large, "asahikawa");
    let next = stream.append(&change);
    assert!(
        matches!(next, Next::Refused(Refusal::Content(_))),
        "{next:?}"
    );
    stream.roll(2);
}

#[test]
fn a_removed_operator_signs_nothing_more() {
    let mut stream = Stream::rolled(1);
    let mut without = bundle(2, 2);
    without.operators.remove("kushiro");
    let key = operator_key("otaru").public();
    without
        .operators
        .insert("otaru".to_owned(), Operator { key });
    let change = stream.sign(&without, "kushiro");
    assert_eq!(stream.append(&change), Next::InForce(2));
    let mut third = without.clone();
    third.version = 3;
    let late = stream.sign(&third, "kushiro");
    let refused = Refusal::Signature("kushiro".to_owned());
    assert_eq!(stream.append(&late), Next::Refused(refused));
    let change = stream.sign(&third, "otaru");
    assert_eq!(stream.append(&change), Next::InForce(3));
}

#[test]
fn the_first_version_needs_a_root_key() {
    let mut stream = Stream::new();
    let change = Change::sign(None, &bundle(1, 1), "asahikawa", &operator_key("asahikawa"));
    let refused = Refusal::Signature("asahikawa".to_owned());
    assert_eq!(
        stream.append(&Record::Change(change)),
        Next::Refused(refused)
    );
    stream.roll(1);
}

#[test]
fn another_fleets_bundle_is_refused() {
    let mut other = bundle(1, 1);
    other.fleet.name = "port-of-spain".to_owned();
    let change = Change::sign(None, &other, "asahikawa", &root_key());
    let next = Stream::new().append(&Record::Change(change));
    assert!(
        matches!(next, Next::Refused(Refusal::Fleet { .. })),
        "{next:?}"
    );
}

// Resolving only the changed workspaces must give the same policy as resolving
// the whole bundle, or a restarted instance would decide differently.
#[test]
fn policies_after_small_changes_equal_those_after_a_restart() {
    let mut stream = Stream::rolled(1);
    let mut second = bundle(2, 7);
    let extra = second.workspaces["otaru"].clone();
    second.workspaces.insert("kushiro".to_owned(), extra);
    let change = stream.sign(&second, "asahikawa");
    assert_eq!(stream.append(&change), Next::InForce(2));
    stream.roll(3);
    let mut restarted = new_fold();
    let snapshot = stream.fold().snapshot().expect("it is in force");
    assert_eq!(restarted.apply_snapshot(snapshot), Ok(Next::InForce(3)));
    assert_eq!(restarted.policy(), stream.fold().policy());
    assert_eq!(root(&restarted), root(stream.fold()));
}

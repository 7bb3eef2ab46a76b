use super::{Stream, bundle, new_fold, operator_key, root, root_key, time};
use crate::fold::{Fold, Next, Refusal};
use crate::record::{Change, Record};
use crate::root::Tree;
use crate::schema::Operator;
use crate::snapshot::Snapshot;
use crate::{entry, signature};

fn snapshot(fold: &Fold) -> Snapshot {
    fold.snapshot().expect("it is in force")
}

// A peer that was paused sends version 2 while 4 is in force here. Applying it
// would revert the fleet one instance at a time.
#[test]
fn an_older_snapshot_changes_nothing() {
    let mut stream = Stream::rolled(2);
    let old = stream.fold().clone();
    stream.roll(3);
    stream.roll(4);
    let mut fold = stream.fold().clone();
    assert_eq!(fold.apply_snapshot(snapshot(&old)), Ok(Next::Ignored));
    let update = old.update(1).expect("it is kept");
    assert_eq!(fold.apply_update(&update), Ok(Next::Ignored));
    assert_eq!(fold.version(), 4);
}

// The log goes down right after version 3 was accepted. Instances that read it
// update the others, which skip its record once the log is back.
#[test]
fn peers_update_each_other_while_the_log_is_down() {
    let mut stream = Stream::rolled(2);
    let behind = stream.fold().clone();
    stream.roll(3);
    stream.roll(4);
    let mut by_update = behind.clone();
    let update = stream.fold().update(2).expect("it is kept");
    assert_eq!(update.changes.len(), 2);
    assert_eq!(by_update.apply_update(&update), Ok(Next::InForce(4)));
    let mut by_snapshot = behind;
    let taken = by_snapshot.apply_snapshot(snapshot(stream.fold()));
    assert_eq!(taken, Ok(Next::InForce(4)));
    stream.roll(5);
    for fold in [&mut by_update, &mut by_snapshot] {
        assert_eq!(fold.next_offset(), 4);
        assert_eq!(stream.read(0, fold), Next::InForce(5));
        assert_eq!(root(fold), root(stream.fold()));
    }
}

#[test]
fn an_update_from_too_far_back_is_not_offered() {
    let stream = Stream::rolled(70);
    assert!(stream.fold().update(5).is_none());
    assert!(stream.fold().update(71).is_none());
    assert_eq!(stream.fold().update(6).map(|u| u.changes.len()), Some(64));
}

// The second change of a peer's update is corrupted. If the first one were in
// force without its offset on the stream, the instance would continue reading
// at the old offset and accept a version that came too early for the fleet.
#[test]
fn a_corrupted_update_changes_nothing() {
    let mut stream = Stream::rolled(2);
    let behind = stream.fold().clone();
    let third = stream.change(3, 30);
    let mut ahead = Stream::rolled(2);
    ahead.append(&third);
    let too_early = ahead.change(4, 41);
    stream.append(&too_early);
    stream.append(&third);
    stream.roll(4);
    let good = stream.fold().update(2).expect("it is kept");
    let mut cut = good.clone();
    cut.changes[1].0.truncate(20);
    let mut resigned = good.clone();
    let Ok(Record::Change(mut change)) = Record::decode(&good.changes[1].0) else {
        panic!("it is a change")
    };
    change.signature = signature::sign(&change.statement, &operator_key("zenibako"));
    resigned.changes[1] = entry::encode(&Record::Change(change));
    let mut fold = behind.clone();
    assert!(matches!(fold.apply_update(&cut), Err(Refusal::Record(_))));
    assert!(matches!(
        fold.apply_update(&resigned),
        Err(Refusal::Signature(_))
    ));
    assert_eq!(fold.version(), 2);
    assert_eq!(root(&fold), root(&behind));
    assert_eq!(fold.update(1).map(|update| update.changes.len()), Some(1));
    assert_eq!(stream.read(0, &mut fold), Next::InForce(4));
    assert_eq!(root(&fold), root(stream.fold()));
}

// A key leaked, and version 2 removed its operator. The holder of the key
// forges version 9 on version 1 and names himself as an operator. An instance
// with version 2 must reject it.
#[test]
fn a_removed_operator_cannot_forge_a_snapshot() {
    let mut stream = Stream::rolled(1);
    let first = snapshot(stream.fold());
    let mut second = bundle(2, 2);
    second.operators.remove("kushiro");
    let change = stream.sign(&second, "asahikawa");
    assert_eq!(stream.append(&change), Next::InForce(2));

    let mut forged = bundle(9, 9);
    forged.operators.clear();
    let key = operator_key("kushiro");
    let operator = Operator { key: key.public() };
    forged.operators.insert("kushiro".to_owned(), operator);
    let parent = Tree::new(first.entries.clone());
    let change = Change::sign(Some(&parent), &forged, "kushiro", &key);
    let mut lineage = first.lineage.clone();
    lineage.push(crate::lineage::Link {
        statement: change.statement.clone(),
        signature: change.signature,
        operators: crate::lineage::Operators::of(&forged),
    });
    let forged = Snapshot {
        next: 100,
        statement: change.statement,
        signature: change.signature,
        lineage,
        entries: entry::split(&forged),
        ..first
    };
    let mut fold = stream.fold().clone();
    let refused = Refusal::Signature("kushiro".to_owned());
    assert_eq!(fold.apply_snapshot(forged), Err(refused));
    assert_eq!(fold.version(), 2);
}

#[test]
fn a_snapshot_is_verified_through_changes_of_keys() {
    let mut stream = Stream::rolled(1);
    let mut second = bundle(2, 2);
    second.operators.remove("kushiro");
    let change = stream.sign(&second, "kushiro");
    stream.append(&change);
    second.version = 3;
    second
        .workspaces
        .get_mut("otaru")
        .expect("it is there")
        .concurrency = 3;
    let change = stream.sign(&second, "asahikawa");
    assert_eq!(stream.append(&change), Next::InForce(3));
    let good = snapshot(stream.fold());
    assert_eq!(good.lineage.len(), 2);
    assert_eq!(
        new_fold().apply_snapshot(good.clone()),
        Ok(Next::InForce(3))
    );

    let mut cut = good.clone();
    cut.lineage.remove(1);
    assert!(matches!(
        new_fold().apply_snapshot(cut),
        Err(Refusal::Signature(_))
    ));
    let mut changed = good.clone();
    changed.entries.remove("workspace/otaru");
    assert_eq!(new_fold().apply_snapshot(changed), Err(Refusal::Root));
    let mut resigned = good.clone();
    resigned.signature = signature::sign(&resigned.statement, &operator_key("kushiro"));
    assert!(matches!(
        new_fold().apply_snapshot(resigned),
        Err(Refusal::Signature(_))
    ));
    let mut strangers = Fold::new("kitakaze", [operator_key("zenibako").public()]);
    assert!(matches!(
        strangers.apply_snapshot(good),
        Err(Refusal::Signature(_))
    ));
}

// Two logs were mixed up, and a peer has another version 3. Neither side can
// know which is right, so the one in force stays and an error is reported.
#[test]
fn a_contradicting_snapshot_of_a_peer_is_rejected() {
    let mut stream = Stream::rolled(2);
    let mut other = Stream::rolled(2);
    stream.roll(3);
    let change = other.change(3, 99);
    other.append(&change);
    other.append(&change);
    let mut fold = stream.fold().clone();
    let taken = fold.apply_snapshot(snapshot(other.fold()));
    assert_eq!(taken, Err(Refusal::Contradiction));
    let update = other.fold().update(2).expect("it is kept");
    assert_eq!(fold.apply_update(&update), Err(Refusal::Contradiction));
    assert_eq!(root(&fold), root(stream.fold()));
}

#[test]
fn invalid_records_on_the_stream_are_refused_and_skipped() {
    let mut fold = new_fold();
    let next = fold.apply(0, time(0), b"junk");
    assert!(matches!(next, Next::Refused(Refusal::Record(_))));
    let change = Change::sign(None, &bundle(1, 1), "asahikawa", &root_key());
    let bytes = Record::Change(change).encode().expect("it fits");
    assert_eq!(fold.apply(1, time(1), &bytes), Next::InForce(1));
    assert_eq!(fold.anchor().map(|anchor| anchor.from), Some(0));
}

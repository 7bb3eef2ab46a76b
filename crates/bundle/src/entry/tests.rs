use crate::blob::Blob;
use crate::entry::{self, Error};
use crate::source;
use crate::source::tests::FULL_BUNDLE;

#[test]
fn splitting_and_joining_entries_preserves_a_bundle() {
    let bundle = source::read(FULL_BUNDLE).expect("it is right");
    let entries = entry::split(&bundle);
    assert!(entries.contains_key("workspace/otaru"));
    assert_eq!(entry::join(2, &entries), Ok(bundle));
}

#[test]
fn unknown_ill_formed_and_missing_entries_are_refused() {
    let bundle = source::read(FULL_BUNDLE).expect("it is right");
    let mut entries = entry::split(&bundle);
    entries.insert("quota/otaru".to_owned(), Blob(vec![1]));
    let unknown = Error::UnknownKind("quota/otaru".to_owned());
    assert_eq!(entry::join(2, &entries), Err(unknown));
    entries.remove("quota/otaru");
    entries.insert("class/order".to_owned(), Blob(vec![0xc1]));
    let ill_formed = Error::IllFormed("class/order".to_owned());
    assert_eq!(entry::join(2, &entries), Err(ill_formed));
    entries.remove("class/order");
    entries.remove("routes");
    assert_eq!(entry::join(2, &entries), Err(Error::Missing("routes")));
}

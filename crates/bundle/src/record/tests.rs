use crate::fold::tests::Stream;
use crate::record::{self, Error, MAX_RECORD_BYTES, Record};

#[test]
fn invalid_bytes_are_refused() {
    assert_eq!(Record::decode(b"hello"), Err(Error::IllFormed));
    assert_eq!(Record::decode(&[]), Err(Error::IllFormed));
    let large = vec![0; MAX_RECORD_BYTES + 1];
    let error = Error::TooLarge(MAX_RECORD_BYTES + 1, MAX_RECORD_BYTES);
    assert_eq!(Record::decode(&large), Err(error));
}

#[test]
fn a_large_checkpoint_is_split_and_every_part_fits() {
    let mut stream = Stream::new();
    stream.roll_many(1, 3_500);
    stream.roll_many(2, 7_000);
    stream.roll_many(3, 8_900);
    let parts = record::checkpoint(&stream.fold().snapshot().expect("it is in force"));
    assert!(parts.len() > 1);
    for part in &parts {
        part.encode().expect("it fits");
    }
}

// A change of one workspace among thousands must stay at a few hundred bytes:
// 3,400 of them a day go to every instance within six kilobytes per second.
#[test]
fn a_change_of_one_workspace_is_small() {
    let mut stream = Stream::new();
    stream.roll_many(1, 1_000);
    let bytes = stream.change(2, 7).encode().expect("it fits");
    assert!(bytes.len() < 512, "{} bytes", bytes.len());
}

//! Batches round-trip through their encoding; other bytes are rejected.

use proptest::prelude::*;

use super::*;

fn any_item() -> impl Strategy<Value = Item> {
    let id = (any::<u64>(), any::<u64>(), any::<u64>());
    let digests = (any::<[u8; 16]>(), any::<[u8; 16]>());
    (id, digests, any::<u32>(), 0..4_u8).prop_map(
        |((holder, incarnation, sequence), key_and_body, n, kind)| {
            let id = Id {
                holder,
                incarnation,
                sequence,
            };
            let outcome = match kind {
                0 => Outcome::Ran,
                1 => Outcome::NotRun,
                2 => Outcome::Unknown,
                _ => {
                    return Item::Claim(Record {
                        id,
                        key: key_and_body.0,
                        body: key_and_body.1,
                        issued: Duration::from_millis(u64::from(n)),
                    });
                }
            };
            Item::Outcome {
                key: key_and_body.0,
                id,
                outcome,
            }
        },
    )
}

proptest! {
    #[test]
    fn batch_round_trips(items in prop::collection::vec(any_item(), 0..20)) {
        prop_assert_eq!(decode(&encode(&items)), Ok(items));
    }

    #[test]
    fn truncated_batch_is_an_error(items in prop::collection::vec(any_item(), 1..4), cut in 1..60_usize) {
        let bytes = encode(&items);
        let truncated = &bytes[..bytes.len().saturating_sub(cut)];
        prop_assert!(decode(truncated).is_err());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes).map(|items| encode(&items));
    }
}

#[test]
fn claim_is_encoded_in_66_bytes() {
    let record = Record {
        id: Id {
            holder: u64::MAX,
            incarnation: u64::from(u32::MAX),
            sequence: u64::from(u32::MAX),
        },
        key: [1; 16],
        body: [2; 16],
        issued: Duration::from_secs(1_764_712_801),
    };
    let one = encode(&[Item::Claim(record)]);
    let two = encode(&[Item::Claim(record), Item::Claim(record)]);
    assert_eq!(two.len() - one.len(), 66);
}

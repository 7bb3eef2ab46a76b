use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

use super::{Error, parse};

fn page(first: u64, next: u64, offsets: &[u64]) -> Vec<u8> {
    let record = |offset| json!({ "offset": offset, "time_ms": 1, "body": "" });
    let records: Vec<_> = offsets.iter().map(record).collect();
    json!({ "first": first, "next": next, "records": records })
        .to_string()
        .into_bytes()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A page with a gap, a duplicate or reordered records would make a reader
    // skip a winning claim or count a record twice. Whatever the log responds, an
    // accepted page has consecutive offsets from the expected start.
    #[test]
    fn an_accepted_page_has_no_gap(
        from in 0_u64..6,
        first in 0_u64..6,
        length in 0_u64..6,
        next_off_by in prop_oneof![3 => Just(0), 1 => 1_u64..3],
        replaced in prop::option::of((0_usize..6, 0_u64..12)),
    ) {
        let start = from.max(first);
        let end = start + length;
        let mut offsets: Vec<_> = (start..end).collect();
        if let Some((index, offset)) = replaced
            && let Some(place) = offsets.get_mut(index)
        {
            *place = offset;
        }
        let next = end + next_off_by;
        let parsed = parse(&page(first, next, &offsets), from);
        let gapless = offsets.iter().copied().eq(start..end) && next == end;
        prop_assert_eq!(parsed.is_ok(), gapless);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(matches!(parse(&bytes, 0), Err(Error::InvalidResponse(_))));
    }
}

//! Messages survive encoding and decoding, and malformed bytes cause no panic.

use proptest::prelude::*;

use super::*;

fn any_message() -> impl Strategy<Value = Message> {
    let ids = (any::<u64>(), any::<u64>(), any::<u64>(), any::<bool>());
    let update = (any::<u64>(), any::<u64>(), any::<u64>(), 0..5_usize);
    let update = update.prop_map(|(id, incarnation, sequence, state)| MemberUpdate {
        id,
        incarnation,
        sequence,
        state: [
            State::Live,
            State::Suspect,
            State::Leaving,
            State::Returning,
            State::Gone,
        ][state],
    });
    let notice =
        any::<(u64, u64)>().prop_map(|(id, incarnation)| LeavingNotice { id, incarnation });
    let load = any::<(u64, u32, u64, u32)>().prop_map(|(pool, endpoints, work, taken)| Load {
        waiting: taken ^ endpoints,
        pool,
        endpoints,
        work,
        taken: Duration::from_millis(u64::from(taken)),
    });
    let demand = any::<(u64, u32, u32)>().prop_map(|(workspace, rate, running)| Demand {
        workspace,
        rate,
        running,
    });
    let piece = prop::collection::vec(any::<u8>(), EVIDENCE_BYTES)
        .prop_map(|bytes| Evidence::try_from(bytes).expect("the length is fixed"));
    (
        ids,
        any::<u64>(),
        prop::collection::vec(update, 0..5),
        prop::collection::vec(notice, 0..5),
        prop::collection::vec(load, 0..5),
        prop::collection::vec(piece, 0..5),
        prop::option::of(prop::collection::vec(demand, 0..5)),
    )
        .prop_map(
            |(ids, version, member_updates, leaving, loads, evidence, demands)| Message {
                from: Heartbeat {
                    id: ids.0,
                    incarnation: ids.1,
                    sequence: ids.2,
                    standing: standing_from_flag(ids.3),
                },
                version,
                member_updates,
                leaving,
                loads,
                evidence,
                demands,
            },
        )
}

proptest! {
    #[test]
    fn a_message_survives_its_encoding(message in any_message()) {
        prop_assert_eq!(Message::decode(&message.encode()), Ok(message));
    }

    #[test]
    fn malformed_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Message::decode(&bytes).map(|message| message.encode());
    }
}

use std::time::Duration;

use godwitpost_types::hash;

use super::{Basis, Prompt, Selection, SourceCandidates};
use crate::dialect::Prefix;
use crate::holders::Directory;

const PART: u64 = 77;

const SPANS: [Prefix; 2] = [
    Prefix { id: 1, tokens: 500 },
    Prefix {
        id: 2,
        tokens: 10_500,
    },
];

const PROMPT: Prompt<'static> = Prompt {
    part: PART,
    prefixes: &SPANS,
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Picks among endpoints that have all been there for a while.
fn pick(
    directory: &Directory,
    prompt: Prompt<'_>,
    target: u64,
    others: &[u64],
    draw: u64,
    now: Duration,
) -> Selection {
    let others = SourceCandidates {
        all: others,
        warm: others,
    };
    super::select_source(directory, prompt, target, others, draw, now)
}

// Endpoints in the prompt's ranking, the home first.
fn ranked() -> Vec<u64> {
    let mut ids: Vec<u64> = (1..=5).collect();
    ids.sort_by_key(|id| std::cmp::Reverse((hash::score(PART, *id), *id)));
    ids
}

fn without(target: u64) -> Vec<u64> {
    ranked().into_iter().filter(|id| *id != target).collect()
}

fn from(endpoint: u64, basis: Basis) -> Selection {
    Selection::From { endpoint, basis }
}

/// An endpoint joins and is the home of a prompt from then on. Its callers would
/// wait until 10,000 tokens are read, which the home until then holds.
#[test]
fn a_new_home_fetches_from_the_one_before() {
    let ranked = ranked();
    let picked = pick(
        &Directory::default(),
        PROMPT,
        ranked[0],
        &without(ranked[0]),
        9,
        at(0),
    );
    assert_eq!(picked, from(ranked[1], Basis::Ranked));
}

/// A home is above the load bound, and its prompt goes to the next endpoint.
/// Another instance's holder of the first part alone must not stand in for it.
#[test]
fn what_spills_fetches_from_its_home() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[4], &SPANS[..1], at(0));
    let others = without(ranked[2]);
    let picked = pick(&directory, PROMPT, ranked[2], &others, 9, at(10));
    assert_eq!(picked, from(ranked[0], Basis::Ranked));
}

/// A prompt is new to everybody, but it begins like many others. Its home reads
/// the rest only.
#[test]
fn a_new_prompt_fetches_its_first_part() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[4], &SPANS[..1], at(0));
    let others = without(ranked[0]);
    let picked = pick(&directory, PROMPT, ranked[0], &others, 9, at(10));
    assert_eq!(picked, from(ranked[4], Basis::Known { tokens: 500 }));
}

/// Each source that was named cost the first event 0.8 ms, also where nothing
/// was lacking.
#[test]
fn what_is_held_is_not_fetched() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[0], &SPANS, at(0));
    let others = without(ranked[0]);
    let picked = |now| pick(&directory, PROMPT, ranked[0], &others, 9, now);
    assert_eq!(picked(at(10)), Selection::AlreadyHeld);
    // An engine under load has filled its memory anew by then.
    assert_eq!(picked(at(70_000)), from(ranked[1], Basis::Ranked));
}

/// The holder went dark, left, or has its address served by another. It is not
/// among those that may be asked, whatever is remembered of it.
#[test]
fn nobody_is_named_that_may_not_be_asked() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[3], &SPANS, at(0));
    let others = [ranked[1], ranked[2]];
    let picked = pick(&directory, PROMPT, ranked[0], &others, 9, at(10));
    assert_eq!(picked, from(ranked[1], Basis::Ranked));
    let alone = pick(&directory, PROMPT, ranked[0], &[], 9, at(10));
    assert_eq!(alone, Selection::Nobody);
}

/// Two instances each hold the other's endpoint to be the source. Whoever has
/// the whole is not sent to fetch it, so no memory goes to and fro.
#[test]
fn two_holders_do_not_fetch_from_each_other() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[0], &SPANS, at(0));
    directory.record_read(ranked[1], &SPANS, at(0));
    for target in [ranked[0], ranked[1]] {
        let picked = pick(&directory, PROMPT, target, &without(target), 9, at(10));
        assert_eq!(picked, Selection::AlreadyHeld);
    }
}

#[test]
fn a_prompt_without_parts_has_no_source() {
    let prompt = Prompt {
        part: PART,
        prefixes: &[],
    };
    let picked = pick(&Directory::default(), prompt, 1, &[2], 9, at(0));
    assert_eq!(picked, Selection::Nobody);
}

/// Guards against prompts that are read anew since an endpoint which has just started
/// is asked for them: it is the first of their ranking and was sent few of them.
#[test]
fn an_endpoint_that_warms_up_is_asked_for_what_it_was_seen_to_hold() {
    let ranked = ranked();
    let mut directory = Directory::default();
    let others = without(ranked[2]);
    let warm: Vec<u64> = others
        .iter()
        .copied()
        .filter(|id| *id != ranked[0])
        .collect();
    let others = SourceCandidates {
        all: &others,
        warm: &warm,
    };
    let picked = |directory: &Directory| {
        super::select_source(directory, PROMPT, ranked[2], others, 9, at(10))
    };
    assert_eq!(picked(&directory), from(ranked[1], Basis::Ranked));
    directory.record_read(ranked[0], &SPANS, at(0));
    assert_eq!(
        picked(&directory),
        from(ranked[0], Basis::Known { tokens: 10_500 })
    );
}

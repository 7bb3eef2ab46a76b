use std::time::Duration;

use godwitpost_types::hash;

use super::{Basis, Prompt, Selection, SourceCandidates};
use crate::dialect::Prefix;
use crate::holders::Directory;

const PART: u64 = 77;

const PREFIXES: [Prefix; 2] = [
    Prefix { id: 1, tokens: 500 },
    Prefix {
        id: 2,
        tokens: 10_500,
    },
];

const PROMPT: Prompt<'static> = Prompt {
    part: PART,
    prefixes: &PREFIXES,
};

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Selects a source among endpoints that have all finished warming up.
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

// Returns the endpoints in the prompt's ranking, the home first.
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

/// Guards against reading 10,000 tokens again when an endpoint joins and becomes the home
/// of a prompt that the previous home holds.
#[test]
fn new_home_fetches_from_the_previous_home() {
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

/// Guards against a source that holds only the first part, when a prompt spills because
/// its home is above the load bound. Its home holds all of it.
#[test]
fn spilled_prompt_is_fetched_from_its_home() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[4], &PREFIXES[..1], at(0));
    let others = without(ranked[2]);
    let picked = pick(&directory, PROMPT, ranked[2], &others, 9, at(10));
    assert_eq!(picked, from(ranked[0], Basis::Ranked));
}

/// Guards against reading the first part of a new prompt again, where another endpoint
/// holds it.
#[test]
fn first_part_of_a_new_prompt_is_fetched() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[4], &PREFIXES[..1], at(0));
    let others = without(ranked[0]);
    let picked = pick(&directory, PROMPT, ranked[0], &others, 9, at(10));
    assert_eq!(picked, from(ranked[4], Basis::Known { tokens: 500 }));
}

/// Guards against naming a source where nothing is missing: each source delayed the first
/// event by 0.8 ms.
#[test]
fn held_prompt_is_not_fetched() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[0], &PREFIXES, at(0));
    let others = without(ranked[0]);
    let picked = |now| pick(&directory, PROMPT, ranked[0], &others, 9, now);
    assert_eq!(picked(at(10)), Selection::AlreadyHeld);
    // An engine under load has replaced its memory by then.
    assert_eq!(picked(at(70_000)), from(ranked[1], Basis::Ranked));
}

/// Guards against naming a known holder that is down, has left, or whose address another
/// endpoint has now.
#[test]
fn unusable_holder_is_not_selected() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[3], &PREFIXES, at(0));
    let others = [ranked[1], ranked[2]];
    let picked = pick(&directory, PROMPT, ranked[0], &others, 9, at(10));
    assert_eq!(picked, from(ranked[1], Basis::Ranked));
    let alone = pick(&directory, PROMPT, ranked[0], &[], 9, at(10));
    assert_eq!(alone, Selection::Nobody);
}

/// Guards against two holders that fetch the same prompt from each other, because two
/// instances each take the other's endpoint for the source.
#[test]
fn holders_do_not_fetch_from_each_other() {
    let ranked = ranked();
    let mut directory = Directory::default();
    directory.record_read(ranked[0], &PREFIXES, at(0));
    directory.record_read(ranked[1], &PREFIXES, at(0));
    for target in [ranked[0], ranked[1]] {
        let picked = pick(&directory, PROMPT, target, &without(target), 9, at(10));
        assert_eq!(picked, Selection::AlreadyHeld);
    }
}

#[test]
fn prompt_without_parts_has_no_source() {
    let prompt = Prompt {
        part: PART,
        prefixes: &[],
    };
    let picked = pick(&Directory::default(), prompt, 1, &[2], 9, at(0));
    assert_eq!(picked, Selection::Nobody);
}

/// Guards against prompts that are read again because an endpoint that has just started
/// is named as the source. It ranks first, but was sent few of them.
#[test]
fn warming_endpoint_is_a_source_only_for_known_prefixes() {
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
    directory.record_read(ranked[0], &PREFIXES, at(0));
    assert_eq!(
        picked(&directory),
        from(ranked[0], Basis::Known { tokens: 10_500 })
    );
}

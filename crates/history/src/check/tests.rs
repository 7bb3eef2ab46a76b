use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

use super::{Breach, Limits, all, at_most_once, load, not_run, whole};
use crate::event::{Event, Run, RunEnd, What};
use crate::history::History;
use crate::script::Script;

use godwitpost_types::outcome::Outcome;

/// The course of one call in a generated run.
#[derive(Clone, Copy, Debug)]
enum CallKind {
    Repeatable,
    Unrepeatable,
    NotRun,
    EntryKilled,
}

fn call_kind() -> impl Strategy<Value = CallKind> {
    prop_oneof![
        Just(CallKind::Repeatable),
        Just(CallKind::Unrepeatable),
        Just(CallKind::NotRun),
        Just(CallKind::EntryKilled)
    ]
}

/// Returns the events of one call in a run that keeps every guarantee.
fn call_events(call: u64, kind: CallKind) -> Vec<Event> {
    let order = format!("order-{call}");
    let entry = format!("router-{call}");
    let script = match kind {
        CallKind::Repeatable => Script::new().send_repeatable(call, &entry),
        _ => Script::new().send_unrepeatable(call, &order, &entry),
    };
    let script = match kind {
        CallKind::NotRun => script.answered_by_router(call, Outcome::NotRun),
        CallKind::EntryKilled => script
            .start_run(call, call, "e1")
            .kill_instance(&entry)
            .got_cut_answer(call),
        CallKind::Repeatable | CallKind::Unrepeatable => script
            .start_run(call, call, "e1")
            .run_completed(call, call)
            .got_whole_answer(call),
    };
    script.events
}

/// Interleaves the calls by `picks`, keeping the order of events within each call.
fn interleaved(kinds: &[CallKind], picks: &[Index]) -> Vec<Event> {
    let mut calls: Vec<_> = (1..)
        .zip(kinds)
        .map(|(call, kind)| call_events(call, *kind).into_iter())
        .collect();
    let mut events = Vec::new();
    let mut picks = picks.iter().cycle();
    while !calls.is_empty() {
        let at = picks.next().map_or(0, |pick| pick.index(calls.len()));
        match calls[at].next() {
            Some(event) => events.push(event),
            None => drop(calls.swap_remove(at)),
        }
    }
    renumbered(events)
}

fn renumbered(events: Vec<Event>) -> Vec<Event> {
    (0..)
        .zip(events)
        .map(|(order, event)| Event { order, ..event })
        .collect()
}

fn breaches(events: &[Event]) -> Vec<Breach> {
    let history = History::new(events).unwrap();
    let limits = Limits::live(vec![load::Limit {
        service: "drafting".into(),
        factor: 1.5,
        floor: 1,
    }]);
    let found = all(&history, &limits);
    assert!(found.iter().all(|violation| !violation.events.is_empty()));
    found
        .into_iter()
        .map(|violation| violation.breach)
        .collect()
}

fn first_unrepeatable(kinds: &[CallKind]) -> Option<u64> {
    let at = kinds
        .iter()
        .position(|kind| matches!(kind, CallKind::Unrepeatable))?;
    Some(at as u64 + 1)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn kept_guarantees_pass_in_any_interleaving(kinds in vec(call_kind(), 1..30), picks in vec(any::<Index>(), 8..64)) {
        prop_assert_eq!(breaches(&interleaved(&kinds, &picks)), Vec::new());
    }

    #[test]
    fn a_second_run_is_found_in_any_interleaving(kinds in vec(call_kind(), 1..30), picks in vec(any::<Index>(), 8..64)) {
        let Some(call) = first_unrepeatable(&kinds) else { return Ok(()) };
        let mut events = interleaved(&kinds, &picks);
        let again = Run { run: 1000, call, endpoint: "e2".into(), incarnation: 1, work: 1 };
        events.push(Event { what: What::RunStarted(again), ..events[0].clone() });
        let repeated = at_most_once::Breach::Repeated { workspace: "otaru".into(), job: format!("order-{call}"), runs: 2 };
        prop_assert_eq!(breaches(&renumbered(events)), vec![Breach::AtMostOnce(repeated)]);
    }

    #[test]
    fn a_false_not_run_is_found_in_any_interleaving(kinds in vec(call_kind(), 1..30), picks in vec(any::<Index>(), 8..64)) {
        let Some(call) = first_unrepeatable(&kinds) else { return Ok(()) };
        let mut events = interleaved(&kinds, &picks);
        for event in &mut events {
            if let What::CallerGot(got) = &mut event.what && got.call == call {
                got.outcome = Some(Outcome::NotRun);
            }
        }
        let broken = not_run::Breach::RanBefore { call, run: call };
        prop_assert_eq!(breaches(&events), vec![Breach::NotRun(broken)]);
    }

    #[test]
    fn a_short_answer_is_found_in_any_interleaving(kinds in vec(call_kind(), 1..30), picks in vec(any::<Index>(), 8..64)) {
        let Some(call) = first_unrepeatable(&kinds) else { return Ok(()) };
        let mut events = interleaved(&kinds, &picks);
        for event in &mut events {
            if let What::RunEnded(RunEnd { run, answer, .. }) = &mut event.what && *run == call {
                *answer = Some("longer".into());
            }
        }
        let altered = whole::Breach::Altered { call };
        prop_assert_eq!(breaches(&events), vec![Breach::Whole(altered)]);
    }
}

/// The text of a violation contains its events, so a reader does not need the
/// history file.
#[test]
fn a_violation_quotes_its_events() {
    let script = Script::new()
        .send_unrepeatable(1, "print", "a")
        .answered_by_router(1, Outcome::NotRun);
    let script = script.start_run(9, 1, "e1");
    let history = History::new(&script.events).unwrap();
    let found = all(&history, &Limits::driven(Vec::new()));
    let text = found[0].to_string();
    let mut lines = text.lines();
    assert_eq!(
        lines.next().unwrap(),
        "not run: call 1 was answered as not run, but run 9 started afterwards"
    );
    assert!(
        lines
            .next()
            .unwrap()
            .starts_with("    #0 at 0 ms: CallerSent")
    );
    assert!(
        lines
            .next()
            .unwrap()
            .starts_with("    #1 at 0 ms: CallerGot")
    );
    assert!(
        lines
            .next()
            .unwrap()
            .starts_with("    #2 at 0 ms: RunStarted")
    );
}

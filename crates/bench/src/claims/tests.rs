//! The design keeps its promises, and each guard that it has is needed.
//!
//! The seeds below are schedules in which a version without one guard breaks a
//! promise: the first four of a thousand. The design itself has to pass the
//! same schedules. A change of which messages the design sends changes every
//! schedule after the first difference, so the seeds are then looked up again.

use super::history::Fault;
use super::weak::Weakness;
use super::*;

#[test]
fn schedules_break_no_promise() {
    let tally = Tally::over(0..500, Weakness::None);
    assert_eq!(tally.duplicated_runs, 0);
    assert_eq!(tally.false_not_run, 0);
    assert_eq!(tally.other, 0);
    assert!(
        tally.runs > 500,
        "too few runs to prove anything: {tally:?}"
    );
}

#[test]
fn a_seed_plays_the_same_schedule_twice() {
    let first = Tally::over(7..9, Weakness::None);
    assert_eq!(first, Tally::over(7..9, Weakness::None));
}

fn broken(seed: u64, weakness: Weakness, wanted: fn(&Fault) -> bool) {
    let faults = world::play(seed, weakness).judge();
    assert!(faults.iter().any(wanted), "seed {seed}: {faults:?}");
    assert_eq!(world::play(seed, Weakness::None).judge(), []);
}

const fn duplicated(fault: &Fault) -> bool {
    matches!(fault, Fault::Duplicated { .. })
}

const fn false_not_run(fault: &Fault) -> bool {
    matches!(fault, Fault::FalseNotRun { .. })
}

/// A print order is billed double. A batcher appends a claim, loses the
/// answer and counts it as failed; the order is sent again and wins a second
/// claim there, while another batcher read the first one and let it run.
#[test]
fn a_batcher_without_read_back_of_lost_answers_is_caught() {
    for seed in [8, 9, 14, 19] {
        broken(seed, Weakness::OwnMemory, duplicated);
    }
}

/// A print order is billed double. The answer to an append is lost, the
/// batcher takes its claims for the first of their keys, and an earlier claim
/// that another batcher wrote runs as well.
#[test]
fn a_lost_answer_taken_for_success_is_caught() {
    for seed in [8, 15, 19, 20] {
        broken(seed, Weakness::LostMeansDone, duplicated);
    }
}

/// A booking is confirmed twice. The batcher is replaced; the new one has not
/// read what the old one appended and lets the resent booking run again.
#[test]
fn a_new_batcher_that_does_not_read_is_caught() {
    for seed in [0, 8, 9, 14] {
        broken(seed, Weakness::NoReadBack, duplicated);
    }
}

/// An order that its caller was told had not run is delivered all the same.
/// The verdict comes after the deadline, and the dispatcher starts the
/// request that it had given up.
#[test]
fn a_start_after_giving_up_is_caught() {
    for seed in [0, 2, 3, 5] {
        broken(seed, Weakness::StartsAfterGivingUp, false_not_run);
    }
}

/// An order runs twice. Its dispatcher restarts and counts its claims from
/// one again, so the resent order finds its own id in the log and takes the
/// dead process's claim for its own.
#[test]
fn a_restart_in_the_same_incarnation_is_caught() {
    for seed in [107, 115, 157, 276] {
        broken(seed, Weakness::SameIncarnation, duplicated);
    }
}

/// A booking is confirmed twice. The log has dropped its first claim before
/// the window ended, and a new batcher takes the lost records for empty ones.
#[test]
fn truncation_that_goes_unseen_is_caught() {
    for seed in [46, 124, 136, 145] {
        broken(seed, Weakness::TruncationUnseen, duplicated);
    }
}

/// A booking is confirmed twice. It is sent again long after the log has
/// dropped its claim, and nothing says how old its key is.
#[test]
fn a_key_without_its_time_of_issue_is_caught() {
    for seed in [28, 30, 36, 38] {
        broken(seed, Weakness::Undated, duplicated);
    }
}

#[test]
fn appends_and_verdicts_keep_their_bounds() {
    for figure in load::figures() {
        assert!(figure.holds(), "{figure}");
    }
}

//! The flags of each stand-in. Defaults are those of the structs they set.

pub(super) mod engine;

use godwitpost_standin::{list, log, plain as service, weights};

use super::flag::{Flag, duration, positive_number, probability};

/// Faults of the log.
pub(super) const LOG: &[Flag<log::Faults>] = &[
    Flag {
        name: "slow",
        value: "DURATION",
        help: "Add this to the time of each call",
        set: |to, text| duration(text).map(|value| to.slow = value),
    },
    Flag {
        name: "down",
        value: "",
        help: "Answer 503 to everything",
        set: |to, _| {
            to.down = true;
            Ok(())
        },
    },
    Flag {
        name: "rate",
        value: "RATE",
        help: "Appends a second before 429 [default: 500]",
        set: |to, text| positive_number(text).map(|value| to.rate = value),
    },
    Flag {
        name: "lose-answers",
        value: "PROBABILITY",
        help: "Appends that take effect and get no answer",
        set: |to, text| probability(text).map(|value| to.lose_answers = value),
    },
    Flag {
        name: "late-effects",
        value: "PROBABILITY",
        help: "Appends that get no answer and take effect later",
        set: |to, text| probability(text).map(|value| to.late_effects = value),
    },
    Flag {
        name: "late-by",
        value: "DURATION",
        help: "How much later those take effect [default: 1s]",
        set: |to, text| duration(text).map(|value| to.late_by = value),
    },
    Flag {
        name: "stale-reads",
        value: "DURATION",
        help: "Reads miss the records of this last time",
        set: |to, text| duration(text).map(|value| to.stale_reads = value),
    },
    Flag {
        name: "retention",
        value: "DURATION",
        help: "How long records are kept [default: 1h]",
        set: |to, text| duration(text).map(|value| to.retention = value),
    },
];

/// Faults of the list.
pub(super) const LIST: &[Flag<list::Faults>] = &[
    Flag {
        name: "lag",
        value: "DURATION",
        help: "How much later a change shows",
        set: |to, text| duration(text).map(|value| to.lag = value),
    },
    Flag {
        name: "slow",
        value: "DURATION",
        help: "Add this to the time of each call",
        set: |to, text| duration(text).map(|value| to.slow = value),
    },
    Flag {
        name: "down",
        value: "",
        help: "Answer 503 to everything",
        set: |to, _| {
            to.down = true;
            Ok(())
        },
    },
];

/// Faults of the weight store.
pub(super) const WEIGHTS: &[Flag<weights::Faults>] = &[
    Flag {
        name: "slow",
        value: "DURATION",
        help: "Add this to the time of each call",
        set: |to, text| duration(text).map(|value| to.slow = value),
    },
    Flag {
        name: "down",
        value: "",
        help: "Answer 503 to everything",
        set: |to, _| {
            to.down = true;
            Ok(())
        },
    },
    Flag {
        name: "rate",
        value: "RATE",
        help: "Pulls a second before 429 [default: 10]",
        set: |to, text| positive_number(text).map(|value| to.rate = value),
    },
    Flag {
        name: "missing",
        value: "MODEL/WEIGHTS",
        help: "A version that it doesn't have; may be repeated",
        set: |to, text| {
            to.missing.insert(text.to_owned());
            Ok(())
        },
    },
];

/// Faults of a plain service.
pub(super) const SERVICE: &[Flag<service::Faults>] = &[
    Flag {
        name: "slow",
        value: "DURATION",
        help: "The time that a call takes",
        set: |to, text| duration(text).map(|value| to.slow = value),
    },
    Flag {
        name: "lose-answers",
        value: "PROBABILITY",
        help: "Calls that are executed and get no answer",
        set: |to, text| probability(text).map(|value| to.lose_answers = value),
    },
    Flag {
        name: "close-delimited",
        value: "PROBABILITY",
        help: "Answers without a length, which end with their connection",
        set: |to, text| probability(text).map(|value| to.close_delimited = value),
    },
    Flag {
        name: "refuse",
        value: "PROBABILITY",
        help: "Calls that are refused with 503, unexecuted",
        set: |to, text| probability(text).map(|value| to.refuse = value),
    },
    Flag {
        name: "leaving",
        value: "",
        help: "Refuse new work and say so in the report",
        set: |to, _| {
            to.leaving = true;
            Ok(())
        },
    },
    Flag {
        name: "crash-marker",
        value: "TEXT",
        help: "Crash on a call whose body holds this text",
        set: |to, text| {
            to.crash_marker = Some(text.to_owned());
            Ok(())
        },
    },
    Flag {
        name: "down-for",
        value: "DURATION",
        help: "How long it is down after a crash [default: 1s]",
        set: |to, text| duration(text).map(|value| to.down_for = value),
    },
];

//! The flags of the model engine.

use godwitpost_standin::engine::{Faults, Settings};

use crate::cli::flag::{Flag, duration, parse_value, positive_count, positive_number, probability};

/// Settings of an engine without faults.
pub(in crate::cli) const SETTINGS: &[Flag<Settings>] = &[
    Flag {
        name: "incarnation",
        value: "NUMBER",
        help: "The number of its first life [default: 1]",
        set: |to, text| parse_value(text).map(|value| to.incarnation = value),
    },
    Flag {
        name: "model",
        value: "NAME@WEIGHTS",
        help: "A model that it has loaded; may be repeated",
        set: |to, text| {
            to.models.insert(text.to_owned());
            Ok(())
        },
    },
    Flag {
        name: "slots",
        value: "NUMBER",
        help: "Requests that run at once [default: 16]",
        set: |to, text| positive_count(text).map(|value| to.slots = value),
    },
    Flag {
        name: "prefill",
        value: "RATE",
        help: "Prompt tokens computed a second [default: 20000]",
        set: |to, text| positive_number(text).map(|value| to.prefill = value),
    },
    Flag {
        name: "decode",
        value: "RATE",
        help: "Tokens generated a second for each request [default: 200]",
        set: |to, text| positive_number(text).map(|value| to.decode = value),
    },
    Flag {
        name: "cache-tokens",
        value: "NUMBER",
        help: "Tokens that the prefix cache holds [default: 200000]",
        set: |to, text| parse_value(text).map(|value| to.cache_tokens = value),
    },
    Flag {
        name: "answer-tokens",
        value: "NUMBER",
        help: "Tokens generated where the request sets no limit [default: 32]",
        set: |to, text| parse_value(text).map(|value| to.answer_tokens = value),
    },
    Flag {
        name: "event-tokens",
        value: "NUMBER",
        help: "Tokens in one event of a stream [default: 1]",
        set: |to, text| parse_value(text).map(|value| to.event_tokens = value),
    },
    Flag {
        name: "hold",
        value: "DURATION",
        help: "How long a stream waits for a caller that went away [default: 2s]",
        set: |to, text| duration(text).map(|value| to.hold = value),
    },
    Flag {
        name: "load-time",
        value: "DURATION",
        help: "How long loading a model takes [default: 200ms]",
        set: |to, text| duration(text).map(|value| to.load_time = value),
    },
    Flag {
        name: "weights",
        value: "ADDRESS",
        help: "The weight store to pull from",
        set: |to, text| parse_value(text).map(|value| to.weights = Some(value)),
    },
];

/// Faults of an engine.
pub(in crate::cli) const FAULTS: &[Flag<Faults>] = &[
    Flag {
        name: "slow",
        value: "DURATION",
        help: "Add this to the time before the first token",
        set: |to, text| duration(text).map(|value| to.slow = value),
    },
    Flag {
        name: "refuse",
        value: "PROBABILITY",
        help: "Requests that are refused with 503, not run",
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
        name: "truncate",
        value: "PROBABILITY",
        help: "Answers that break off in the middle",
        set: |to, text| probability(text).map(|value| to.truncate = value),
    },
    Flag {
        name: "truncate-cleanly",
        value: "",
        help: "Broken-off answers end as if they were whole",
        set: |to, _| {
            to.truncate_cleanly = true;
            Ok(())
        },
    },
    Flag {
        name: "truncate-within",
        value: "",
        help: "Streams break off in the middle of an event",
        set: |to, _| {
            to.truncate_within = true;
            Ok(())
        },
    },
    Flag {
        name: "truncate-after",
        value: "BYTES",
        help: "Broken-off streams end after this many bytes, wherever that is",
        set: |to, text| parse_value(text).map(|value| to.truncate_after = Some(value)),
    },
    Flag {
        name: "close-delimited",
        value: "PROBABILITY",
        help: "Answers without length or chunks, which end with their connection",
        set: |to, text| probability(text).map(|value| to.close_delimited = value),
    },
    Flag {
        name: "truncate-once",
        value: "",
        help: "Resumed streams don't break off",
        set: |to, _| {
            to.truncate_once = true;
            Ok(())
        },
    },
    Flag {
        name: "cross",
        value: "PROBABILITY",
        help: "Requests that get the answer to the one before",
        set: |to, text| probability(text).map(|value| to.cross = value),
    },
    Flag {
        name: "crash-marker",
        value: "TEXT",
        help: "Crash on a request whose body holds this text",
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
    Flag {
        name: "ignore-fencing",
        value: "",
        help: "Obey orders with an old fencing number",
        set: |to, _| {
            to.ignore_fencing = true;
            Ok(())
        },
    },
    Flag {
        name: "report-lag",
        value: "DURATION",
        help: "How old the report is",
        set: |to, text| duration(text).map(|value| to.report_lag = value),
    },
    Flag {
        name: "event-lag",
        value: "DURATION",
        help: "How late cache events are published",
        set: |to, text| duration(text).map(|value| to.event_lag = value),
    },
    Flag {
        name: "event-gaps",
        value: "PROBABILITY",
        help: "Cache events that are never published",
        set: |to, text| probability(text).map(|value| to.event_gaps = value),
    },
];

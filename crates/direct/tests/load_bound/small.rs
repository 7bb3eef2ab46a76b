//! Scenarios of small fleets, in the shapes of deployments with few instances and endpoints.

use std::time::Duration;

use godwitpost_standin::batch::Speed;

use crate::scenario::{Engine, Kind, Length, Lengths, Long, Scenario};

/// The longest that an engine stands still: as long as callers may wait for a first event.
const MAX_STALL: Duration = Duration::from_millis(1_500);

/// How many requests arrive at the same moment, on average.
const MEAN_CLUMP: f64 = 3.0;

/// How far the rate rises and falls.
const RATE_SWING: f64 = 0.15;

/// A large model of many experts.
const EXPERT_MODEL_SPEED: Speed = Speed {
    step: Duration::from_micros(3_410),
    step_per_request: Duration::from_micros(97),
    chunk: 4_096.0,
    read_rate: 112_000.0,
    pairs: Duration::from_micros(218),
    slots: 128,
};

/// A dense model.
const DENSE_MODEL_SPEED: Speed = Speed {
    step: Duration::from_micros(3_090),
    step_per_request: Duration::from_nanos(16_500),
    chunk: 2_048.0,
    read_rate: 61_800.0,
    pairs: Duration::from_micros(367),
    slots: 64,
};

/// The lengths of long prompts.
const LONG_PROMPT_LENGTHS: Lengths = Lengths {
    shared: length(10_512.0, 0.7, 31_000.0),
    own: length(1_300.0, 1.4, 11_000.0),
    answer: length(382.0, 0.44, 1_120.0),
};

/// The lengths of questions.
const QUESTION_LENGTHS: Lengths = Lengths {
    shared: length(699.0, 0.7, 2_000.0),
    own: length(130.0, 1.0, 660.0),
    answer: length(292.0, 0.69, 955.0),
};

/// The lengths of prompts with answers of some words.
const LABEL_LENGTHS: Lengths = Lengths {
    shared: length(2_041.0, 0.7, 6_000.0),
    own: length(360.0, 1.3, 1_400.0),
    answer: length(23.0, 1.4, 90.0),
};

const fn length(mean: f64, spread: f64, max: f64) -> Length {
    Length { mean, spread, max }
}

const fn long(share: f64, own_tokens: f64) -> Long {
    Long { share, own_tokens }
}

const fn kind(share: f64, seconds: f64, tokens: u32, parts: u64) -> Kind {
    Kind {
        share,
        seconds,
        tokens,
        parts,
    }
}

impl Scenario {
    /// A service of nine endpoints that read one prompt after the other: one in thirty takes
    /// half a second.
    pub(crate) fn prompts_of_few_instances(rate: f64) -> Self {
        Self {
            name: format!("6 instances, {rate} prompts a second"),
            seeds: 3,
            endpoints: 9,
            rate,
            clump: MEAN_CLUMP,
            swing: RATE_SWING,
            read_rate: 25_000.0,
            long_prompts: vec![long(0.033, 12_500.0), long(0.3, 1_500.0)],
            kinds: vec![
                kind(0.23, 1.7, 1_050, 28),
                kind(0.34, 1.3, 70, 94),
                kind(0.43, 0.1, 204, 78),
            ],
            hot: Vec::new(),
            end: Duration::from_secs(45),
            ..Self::prompts(6)
        }
    }

    /// The same, read and written in batches as a model engine does.
    pub(crate) fn batches_of_few_instances(rate: f64) -> Self {
        Self {
            name: format!("6 instances, {rate} prompts a second in batches"),
            kinds: vec![
                kind(0.23, 1.7, 10_512, 28),
                kind(0.34, 1.3, 699, 94),
                kind(0.43, 0.1, 2_041, 78),
            ],
            engine: Some(Engine {
                speed: EXPERT_MODEL_SPEED,
                lengths: vec![LONG_PROMPT_LENGTHS, QUESTION_LENGTHS, LABEL_LENGTHS],
            }),
            ..Self::prompts_of_few_instances(rate)
        }
    }

    /// The same with more prompts, and loads reported sooner.
    pub(crate) fn batches_of_more_prompts(rate: f64) -> Self {
        Self {
            name: format!("6 instances, {rate} of more prompts a second in batches"),
            kinds: vec![
                kind(0.23, 1.7, 10_512, 64),
                kind(0.34, 1.3, 699, 94),
                kind(0.43, 0.1, 2_041, 78),
            ],
            report_lag: Duration::from_millis(100),
            ..Self::batches_of_few_instances(rate)
        }
    }

    /// Nine instances, and twelve endpoints of a dense model in three zones.
    pub(crate) fn batches_of_dense_models(rate: f64) -> Self {
        Self {
            name: format!("9 instances, {rate} prompts a second at dense models"),
            instances: 9,
            endpoints: 12,
            zones: 3,
            slots: DENSE_MODEL_SPEED.slots.try_into().expect("some slots"),
            kinds: vec![
                kind(0.18, 1.7, 10_512, 38),
                kind(0.52, 1.3, 699, 167),
                kind(0.3, 0.1, 2_041, 95),
            ],
            engine: Some(Engine {
                speed: DENSE_MODEL_SPEED,
                lengths: vec![LONG_PROMPT_LENGTHS, QUESTION_LENGTHS, LABEL_LENGTHS],
            }),
            report_lag: Duration::from_millis(100),
            ..Self::prompts_of_few_instances(rate)
        }
    }

    /// Engines stand still now and then, for up to as long as the objective allows.
    pub(crate) fn stalling(self) -> Self {
        Self {
            name: format!("{} that stall", self.name),
            max_stall: MAX_STALL,
            ..self
        }
    }

    /// Plain requests of few instances at a few endpoints.
    pub(crate) fn plain_of_few_instances(instances: usize, endpoints: u32, rate: f64) -> Self {
        Self {
            name: format!("{instances} instances, {rate} plain requests at {endpoints} endpoints"),
            seeds: 3,
            endpoints,
            rate,
            clump: MEAN_CLUMP,
            swing: RATE_SWING,
            kinds: vec![kind(1.0, 0.02, 0, 1)],
            ..Self::plain(instances)
        }
    }
}

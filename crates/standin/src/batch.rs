//! A model engine that processes its requests in batches, step by step.
//!
//! Each step generates a token for every request that runs, and reads a chunk of the prompts
//! that wait, in their order. The longer the chunk, the longer the step: while an engine reads
//! a long prompt, it begins no other request, and those that run hardly proceed, so none of
//! them ends. The caller keeps the time, which may be simulated.

use std::collections::VecDeque;
use std::time::Duration;

/// Pairs of tokens that [`Speed::pairs`] is stated for.
const PAIRS_UNIT: f64 = 1_000_000.0;

/// How fast an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// The time of a step without requests.
    pub step: Duration,
    /// The time that each running request adds to a step.
    pub step_per_request: Duration,
    /// The most prompt tokens that are read in a step.
    pub chunk: f64,
    /// Prompt tokens that are read in a second.
    pub read_rate: f64,
    /// The time for a million pairs of a prompt token and one before it.
    pub pairs: Duration,
    /// How many requests run at once.
    pub slots: usize,
}

/// What a request costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// The tokens of the prompt that the engine keeps from an earlier one.
    pub kept: f64,
    /// Those that it has to read.
    pub read: f64,
    /// The tokens to generate, at least one.
    pub write: u32,
}

/// A request that waits or is being read.
#[derive(Clone, Copy, Debug)]
struct Prompt<Id> {
    id: Id,
    work: Work,
    // The tokens that were read.
    done: f64,
}

/// The result of a step.
#[derive(Clone, Debug, PartialEq)]
pub struct Step<Id> {
    /// How long it takes.
    pub time: Duration,
    /// The requests that generate their first token at its end.
    pub begun: Vec<Id>,
    /// The requests that generate their last token at its end.
    pub ended: Vec<Id>,
}

/// An engine and its requests.
#[derive(Clone, Debug)]
pub struct Engine<Id> {
    speed: Speed,
    prompts: VecDeque<Prompt<Id>>,
    // The requests that run, and how many tokens each has yet to generate.
    running: Vec<(Id, u32)>,
}

impl<Id: Copy> Engine<Id> {
    /// Returns an engine without requests.
    #[must_use]
    pub const fn new(speed: Speed) -> Self {
        Self {
            speed,
            prompts: VecDeque::new(),
            running: Vec::new(),
        }
    }

    /// Adds a request.
    pub fn push(&mut self, id: Id, work: Work) {
        self.prompts.push_back(Prompt {
            id,
            work,
            done: 0.0,
        });
    }

    /// Returns how many requests it runs or has queued.
    #[must_use]
    pub fn count(&self) -> usize {
        self.prompts.len() + self.running.len()
    }

    /// Takes the next step; returns `None` if there is no request.
    pub fn step(&mut self) -> Option<Step<Id>> {
        if self.count() == 0 {
            return None;
        }
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let mut time = self.speed.step + self.speed.step_per_request * running;
        let ended = self.write();
        let begun = self.read(&mut time);
        Some(Step { time, begun, ended })
    }

    // Generates a token of each running request; returns those that end.
    fn write(&mut self) -> Vec<Id> {
        for (_, left) in &mut self.running {
            *left = left.saturating_sub(1);
        }
        let ended = self.running.extract_if(.., |(_, left)| *left == 0);
        ended.map(|(id, _)| id).collect()
    }

    // Reads the next chunk, which adds to the time of the step; returns the requests that run
    // from now on.
    fn read(&mut self, time: &mut Duration) -> Vec<Id> {
        let mut left = self.speed.chunk;
        let mut begun = Vec::new();
        while let Some(prompt) = self.prompts.front_mut()
            && left > 0.0
            && self.running.len() < self.speed.slots
        {
            let tokens = left.min(prompt.work.read - prompt.done);
            let before = prompt.work.kept + prompt.done + tokens / 2.0;
            let pairs = tokens * before / PAIRS_UNIT;
            *time += Duration::from_secs_f64(tokens / self.speed.read_rate)
                + self.speed.pairs.mul_f64(pairs);
            prompt.done += tokens;
            left -= tokens;
            if prompt.done < prompt.work.read {
                break;
            }
            begun.push(prompt.id);
            self.running
                .push((prompt.id, prompt.work.write.saturating_sub(1).max(1)));
            self.prompts.pop_front();
        }
        begun
    }
}

#[cfg(test)]
mod tests;

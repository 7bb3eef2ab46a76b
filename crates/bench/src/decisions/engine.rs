//! A fake model engine: continuous batching and a limited prefix cache.
//!
//! A request's time is fixed when it starts: its uncached prompt at the
//! prefill rate, then its answer at a time a token that grows with the batch.
//! That is coarse, but what placement changes (prefills saved, batches that
//! are too full) shows in it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use godwitpost_types::id::{ChatId, EndpointId};

/// Prompt tokens that an engine computes a second.
const PREFILL: f64 = 4_000.0;

/// Time between two tokens of an answer in a batch of one; twice that in a
/// full batch, which is the 36 ms that users allow.
const TOKEN: Duration = Duration::from_millis(18);

/// A request as the engine sees it.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The bench's number for it.
    pub job: usize,
    /// Its chat.
    pub chat: ChatId,
    /// Tokens of prompt.
    pub prompt: u32,
    /// Tokens of answer.
    pub answer: u32,
    /// Prompt tokens found in the cache when it arrived.
    pub hit: u32,
}

impl Run {
    /// Returns the work it really brings, in tokens.
    #[must_use]
    pub fn work(&self) -> u64 {
        u64::from(self.prompt - self.hit) + u64::from(self.answer)
    }
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Its id.
    pub id: EndpointId,
    /// Whether it still takes requests.
    pub live: bool,
    /// The work of what runs or waits on it, in tokens.
    pub load: u64,
    /// What runs.
    pub running: u32,
    /// What waits in the engine itself.
    pub waiting: VecDeque<Run>,
    /// Its prefix cache.
    pub cache: Cache,
    slots: u32,
}

impl Engine {
    /// Returns an idle engine with an empty cache.
    #[must_use]
    pub fn new(id: EndpointId, slots: u32, memory: u64) -> Self {
        Self {
            id,
            live: true,
            load: 0,
            running: 0,
            waiting: VecDeque::new(),
            cache: Cache::new(memory),
            slots,
        }
    }

    /// Takes a request; returns it with its time if it starts at once.
    pub fn arrive(&mut self, mut run: Run) -> Option<(Run, Duration)> {
        run.hit = self.cache.find(run.chat).min(run.prompt);
        self.load += run.work();
        self.waiting.push_back(run);
        self.start()
    }

    /// Starts what waits if there is a slot.
    pub fn start(&mut self) -> Option<(Run, Duration)> {
        if self.running >= self.slots {
            return None;
        }
        let run = self.waiting.pop_front()?;
        self.running += 1;
        Some((run, self.time(&run)))
    }

    /// Ends a request and caches its context.
    ///
    /// Returns the chats whose contexts had to go for it.
    pub fn finish(&mut self, run: &Run) -> Vec<ChatId> {
        self.running -= 1;
        self.load -= run.work();
        self.cache.put(run.chat, run.prompt + run.answer)
    }

    /// Comes back after it had left, with an empty cache.
    pub fn restart(&mut self) {
        self.live = true;
        self.cache = Cache::new(self.cache.memory);
    }

    fn time(&self, run: &Run) -> Duration {
        let prefill = Duration::from_secs_f64(f64::from(run.prompt - run.hit) / PREFILL);
        let full = f64::from(self.running) / f64::from(self.slots);
        prefill + TOKEN.mul_f64(f64::from(run.answer) * (1.0 + full))
    }
}

/// A prefix cache in limited memory; the least recently used goes first.
#[derive(Debug)]
pub struct Cache {
    memory: u64,
    used: u64,
    clock: u64,
    rows: BTreeMap<ChatId, (u64, u32)>,
    order: BTreeMap<u64, ChatId>,
}

impl Cache {
    fn new(memory: u64) -> Self {
        Self {
            memory,
            used: 0,
            clock: 0,
            rows: BTreeMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Returns the cached tokens of a chat, without touching it.
    #[must_use]
    pub fn peek(&self, chat: ChatId) -> u32 {
        self.rows.get(&chat).map_or(0, |(_, tokens)| *tokens)
    }

    fn find(&mut self, chat: ChatId) -> u32 {
        let tokens = self.peek(chat);
        if tokens > 0 {
            self.put(chat, tokens);
        }
        tokens
    }

    fn put(&mut self, chat: ChatId, tokens: u32) -> Vec<ChatId> {
        let mut evicted = Vec::new();
        self.drop(chat);
        self.clock += 1;
        self.used += u64::from(tokens);
        self.rows.insert(chat, (self.clock, tokens));
        self.order.insert(self.clock, chat);
        while self.used > self.memory {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.drop(oldest);
            evicted.push(oldest);
        }
        evicted
    }

    fn drop(&mut self, chat: ChatId) {
        if let Some((clock, tokens)) = self.rows.remove(&chat) {
            self.used -= u64::from(tokens);
            self.order.remove(&clock);
        }
    }
}

//! Reads a stream as it grows, through outages and truncation.

use std::time::Duration;

use godwitpost_types::id::Offset;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::backoff::Backoff;
use super::{Client, Page, Record, read};
use crate::timer::Timer;

/// The shortest pause after a read that failed.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause. A configuration has to be in force everywhere within 6 s,
/// so a recovered log must be noticed well before that.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Limits of a [`Follower`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of records per read.
    pub limit: usize,
    /// How long a long poll waits for the next record. It must be shorter than
    /// the idle time-out of any proxy on the path to the log.
    pub wait: Duration,
    /// The seed of the pauses; each instance has its own.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            limit: 1000,
            wait: Duration::from_secs(5),
            seed: 0,
        }
    }
}

/// The result of reading on.
#[derive(Debug)]
pub enum Event {
    /// Records that directly follow each other and the last event.
    Records(Vec<Record>),
    /// The records from `asked` up to but excluding `first` expired before they
    /// were read. Reading continues at `first`.
    Gap {
        /// The requested offset.
        asked: Offset,
        /// The first offset that is still retained.
        first: Offset,
    },
    /// No record arrived during the long poll; the reader is up to date.
    Idle,
    /// The read failed. The next call pauses before it retries.
    ReadFailed(read::Error),
}

/// Follows one stream.
#[derive(Debug)]
pub struct Follower {
    client: Client,
    timer: Timer,
    settings: Settings,
    stream: String,
    next: Offset,
    // Records of a page with a gap, which is reported first.
    pending: Vec<Record>,
    backoff: Backoff,
    random: StdRng,
    pause: Option<Duration>,
}

impl Follower {
    /// Creates a follower of a stream, starting at an offset.
    #[must_use]
    pub fn new(
        client: Client,
        timer: Timer,
        settings: Settings,
        stream: &str,
        from: Offset,
    ) -> Self {
        Self {
            client,
            timer,
            stream: stream.to_owned(),
            next: from,
            pending: Vec::new(),
            backoff: Backoff::new(MIN_PAUSE, MAX_PAUSE),
            random: StdRng::seed_from_u64(settings.seed),
            pause: None,
            settings,
        }
    }

    /// Returns the offset of the next record.
    #[must_use]
    pub fn position(&self) -> Offset {
        self.pending
            .first()
            .map_or(self.next, |record| record.offset)
    }

    /// Waits for the next event.
    ///
    /// Dropping the future loses no records; they are read again by the next call.
    pub async fn next(&mut self) -> Event {
        if !self.pending.is_empty() {
            return Event::Records(std::mem::take(&mut self.pending));
        }
        if let Some(pause) = self.pause {
            self.timer.sleep_until(self.timer.now() + pause).await;
            self.pause = None;
        }
        let Settings { limit, wait, .. } = self.settings;
        match self.client.read(&self.stream, self.next, limit, wait).await {
            Ok(page) => self.apply_page(page),
            Err(error) => {
                self.pause = Some(self.backoff.next_pause(&mut self.random));
                Event::ReadFailed(error)
            }
        }
    }

    fn apply_page(&mut self, page: Page) -> Event {
        self.backoff.reset();
        let asked = std::mem::replace(&mut self.next, page.next);
        if page.first > asked {
            self.pending = page.records;
            return Event::Gap {
                asked,
                first: page.first,
            };
        }
        if page.records.is_empty() {
            return Event::Idle;
        }
        Event::Records(page.records)
    }
}

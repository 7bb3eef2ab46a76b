//! An accepted request and the readers of its response.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::{Bytes, BytesMut};
use tokio::sync::watch;
use tokio::task::AbortHandle;

use super::End;
use super::core::Core;
use crate::faults::lock;
use crate::observe::Event;

/// An accepted request.
#[derive(Debug)]
pub(super) struct Job {
    /// Its index in the run log.
    pub(super) number: usize,
    /// The id of the request whose answer it gives: its own, unless the fault
    /// `cross` applies.
    pub(super) id: String,
    pub(super) digest: String,
    /// Tokens that remain to be computed.
    pub(super) remaining_tokens: AtomicU64,
    progress: watch::Sender<Progress>,
    task: Mutex<Option<AbortHandle>>,
    readers: AtomicUsize,
}

#[derive(Debug, Default)]
struct Progress {
    // JSON of the events so far.
    events: Vec<String>,
    end: Option<End>,
}

impl Job {
    pub(super) fn new(number: usize, id: String, digest: String, work: u64) -> Self {
        Self {
            number,
            id,
            digest,
            remaining_tokens: AtomicU64::new(work),
            progress: watch::Sender::default(),
            task: Mutex::default(),
            readers: AtomicUsize::new(0),
        }
    }

    pub(super) fn set_task(&self, task: AbortHandle) {
        *lock(&self.task) = Some(task);
    }

    pub(super) fn push(&self, event: String) {
        self.progress
            .send_modify(|progress| progress.events.push(event));
    }

    /// Ends the job unless it has ended already, and stops its task. Returns
    /// whether this call ended it; if so, `on_end` runs before any reader sees
    /// the end.
    pub(super) fn end(&self, end: End, on_end: impl FnOnce()) -> bool {
        let ended = self.progress.send_if_modified(|progress| {
            let first = progress.end.is_none();
            if first {
                on_end();
            }
            progress.end.get_or_insert(end);
            first
        });
        if ended
            && end != End::Finished
            && let Some(task) = lock(&self.task).take()
        {
            task.abort();
        }
        ended
    }

    /// Returns the events so far.
    pub(super) fn events(&self) -> Vec<String> {
        self.progress.borrow().events.clone()
    }

    pub(super) fn ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }

    pub(super) fn has_no_readers(&self) -> bool {
        self.readers.load(Ordering::Relaxed) == 0
    }
}

/// A reader of a job's events.
///
/// When the last reader is dropped, the engine cancels the job after a delay.
pub(super) struct Reader {
    core: Core,
    pub(super) job: Arc<Job>,
    progress: watch::Receiver<Progress>,
    next: usize,
}

/// What a reader gets next.
pub(super) enum Part {
    /// Events, each with its id, in the wire format.
    Events(Bytes),
    /// The job has ended.
    End(End),
}

impl Reader {
    /// Starts to read after the event numbered `after`; events count from 1.
    pub(super) fn new(core: Core, job: Arc<Job>, after: usize) -> Self {
        job.readers.fetch_add(1, Ordering::Relaxed);
        Self {
            core,
            progress: job.progress.subscribe(),
            job,
            next: after,
        }
    }

    /// Waits for the next part.
    pub(super) async fn next_part(&mut self) -> Part {
        loop {
            if let Some(part) = self.take_ready() {
                return part;
            }
            // This cannot fail: the job, referenced here, owns the sender.
            drop(self.progress.changed().await);
        }
    }

    /// Notifies the observer that the response is about to be truncated.
    pub(super) fn notify_truncated(&self) {
        let run = self.job.number as u64;
        self.core.observer.notify(Event::Truncated { run });
    }

    /// Waits for the end.
    pub(super) async fn wait_for_end(&mut self) -> End {
        loop {
            if let Part::End(end) = self.next_part().await {
                return end;
            }
        }
    }

    fn take_ready(&mut self) -> Option<Part> {
        let progress = self.progress.borrow_and_update();
        if self.next < progress.events.len() {
            let mut text = BytesMut::new();
            for event in &progress.events[self.next..] {
                self.next += 1;
                let line = format!("id: {}\ndata: {event}\n\n", self.next);
                text.extend_from_slice(line.as_bytes());
            }
            return Some(Part::Events(text.freeze()));
        }
        progress.end.map(Part::End)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.job.readers.fetch_sub(1, Ordering::Relaxed);
        if self.job.has_no_readers() && !self.job.ended() {
            self.core.cancel_unless_resumed(&self.job);
        }
    }
}

//! A bounded queue of log lines for a writer that may be slow or blocked.
//!
//! Logging only appends to the queue. When it is half full, lines below warnings
//! are dropped to leave room for warnings and errors, which explain failures.
//! Dropped lines are counted and reported in a separate line as soon as the writer
//! continues.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use log::Level;

/// Maximum number of waiting lines. With about 250 bytes per line this is half a
/// megabyte, or the decisions of a busy instance in two seconds.
pub const MAX_QUEUED_LINES: usize = 2_048;

/// Number of bytes after which a batch goes to the writer; the size of a Linux pipe.
const MAX_BATCH_BYTES: usize = 64 << 10;

/// How often [`Queue::flush`] checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A queue of lines for the writer. Clones share the queue.
#[derive(Clone, Debug)]
pub struct Queue {
    sender: SyncSender<Vec<u8>>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    // Lines queued and not yet written.
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

impl Queue {
    /// Starts a thread that writes lines to `writer`.
    ///
    /// # Panics
    ///
    /// Panics if the thread can't be started.
    pub fn start(writer: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let shared = Arc::new(Shared::default());
        let counted = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(writer, &receiver, &counted))
            .expect("a thread at the start of the process");
        Self { sender, shared }
    }

    /// Returns whether the queue has room for a line of this level; counts the line
    /// as dropped if not.
    #[must_use]
    pub fn admits(&self, level: Level) -> bool {
        let limit = if level <= Level::Warn {
            MAX_QUEUED_LINES
        } else {
            MAX_QUEUED_LINES / 2
        };
        let admitted = self.shared.waiting.load(Ordering::Relaxed) < limit;
        if !admitted {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    /// Returns the number of lines dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Returns a writer that queues complete lines.
    #[must_use]
    pub fn lines(&self) -> Lines {
        Lines {
            queue: self.clone(),
            line: Vec::new(),
        }
    }

    /// Blocks until all lines are written, but at most for `wait`. Intended for the
    /// end of a process.
    pub fn flush(&self, wait: Duration) {
        let start = Instant::now();
        while self.shared.waiting.load(Ordering::Acquire) > 0 && start.elapsed() < wait {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }

    fn push(&self, line: Vec<u8>) {
        self.shared.waiting.fetch_add(1, Ordering::Relaxed);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.sender.try_send(line)
        {
            self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Splits its input into lines for the queue.
#[derive(Debug)]
pub struct Lines {
    queue: Queue,
    line: Vec<u8>,
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.last() == Some(&b'\n') {
            self.queue.push(std::mem::take(&mut self.line));
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

// Returns when the last sender is dropped.
fn write(mut writer: impl Write, lines: &Receiver<Vec<u8>>, shared: &Shared) {
    let mut reported = 0;
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped = shared.dropped.load(Ordering::Relaxed);
        if dropped > reported {
            let since = dropped - reported;
            reported = dropped;
            batch.extend_from_slice(format!("log lines dropped count={since}\n").as_bytes());
        }
        // If the reader is gone, the error can't be reported anywhere; the lines
        // only count as dropped.
        if writer.write_all(&batch).is_err() {
            shared.dropped.fetch_add(count as u64, Ordering::Relaxed);
        }
        shared.waiting.fetch_sub(count, Ordering::Release);
    }
}

#[cfg(test)]
mod tests;

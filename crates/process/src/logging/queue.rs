//! Log lines on their way to a writer that may be slow or stuck.
//!
//! Whoever logs only appends to a queue of fixed size. When it is half full,
//! ordinary lines are dropped, so that there is room left for warnings and
//! errors, which are what explains a failure. What was dropped is counted and
//! said in a line of its own as soon as the writer moves again.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use log::Level;

/// Lines that wait at most. Lines have some 250 bytes, so this is half a
/// megabyte, and two seconds of a busy instance's decisions.
pub const CAPACITY: usize = 2_048;

/// Bytes that go to the writer at once; the size of a Linux pipe.
const BATCH: usize = 64 << 10;

/// How often [`Queue::flush`] looks whether all is written.
const LOOK: Duration = Duration::from_millis(1);

/// The way of lines to the writer; its clones are one queue.
#[derive(Clone, Debug)]
pub struct Queue {
    sender: SyncSender<Vec<u8>>,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    // Lines sent and not yet written.
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

impl Queue {
    /// Starts a thread that writes lines to `writer`.
    ///
    /// # Panics
    ///
    /// Panics if the system allows no thread, at the start of a process.
    pub fn start(writer: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(CAPACITY);
        let shared = Arc::new(Shared::default());
        let counted = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(writer, &receiver, &counted))
            .expect("a thread at the start of the process");
        Self { sender, shared }
    }

    /// Returns whether a line of this level may be formatted now; counts it
    /// as dropped if not.
    #[must_use]
    pub fn admits(&self, level: Level) -> bool {
        let most = if level <= Level::Warn {
            CAPACITY
        } else {
            CAPACITY / 2
        };
        let admitted = self.shared.waiting.load(Ordering::Relaxed) < most;
        if !admitted {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    /// Returns how many lines were dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }

    /// Returns a writer whose whole lines go into the queue.
    #[must_use]
    pub fn lines(&self) -> Lines {
        Lines {
            queue: self.clone(),
            line: Vec::new(),
        }
    }

    /// Waits until all lines are written, for `wait` at most. Blocks: it is
    /// for the end of a process.
    pub fn flush(&self, wait: Duration) {
        let start = Instant::now();
        while self.shared.waiting.load(Ordering::Acquire) > 0 && start.elapsed() < wait {
            std::thread::sleep(LOOK);
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

/// Cuts what is written to it into lines for the queue.
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

// Ends when the last sender is gone.
fn write(mut writer: impl Write, lines: &Receiver<Vec<u8>>, shared: &Shared) {
    let mut told = 0;
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while batch.len() < BATCH
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped = shared.dropped.load(Ordering::Relaxed);
        if dropped > told {
            let since = dropped - told;
            told = dropped;
            batch.extend_from_slice(format!("log lines dropped count={since}\n").as_bytes());
        }
        // A reader that is gone has no use for the lines, and there is no
        // other place to say so.
        if writer.write_all(&batch).is_err() {
            shared.dropped.fetch_add(count as u64, Ordering::Relaxed);
        }
        shared.waiting.fetch_sub(count, Ordering::Release);
    }
}

#[cfg(test)]
mod tests;

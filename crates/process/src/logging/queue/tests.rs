use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log::Level;

use super::{MAX_QUEUED_LINES, Queue};

/// A writer that blocks until it is released.
struct Stuck {
    go: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for Stuck {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.go.recv().map_err(io::Error::other)?;
        self.written.send(buf.to_vec()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(queue: &Queue, level: Level, text: &str) {
    if queue.admits(level) {
        writeln!(queue.lines(), "{text}").expect("lines always take bytes");
    }
}

/// The reader of standard output hangs while requests arrive. Each request logs a line,
/// so blocking writes would stop all requests.
#[test]
fn a_stopped_reader_drops_lines_without_blocking() {
    let (_go, stuck) = channel();
    let (written, _kept) = channel();
    let queue = Queue::start(Stuck { go: stuck, written });
    let start = Instant::now();
    for _ in 0..3 * MAX_QUEUED_LINES {
        log(&queue, Level::Info, "request served");
    }
    assert!(start.elapsed() < Duration::from_secs(2));
    assert!(queue.dropped() >= 2 * MAX_QUEUED_LINES as u64);
}

/// Guards against lines of a lower level that fill the queue, so that the line that
/// explains a failed request is dropped.
#[test]
fn warnings_are_queued_when_other_lines_are_dropped() {
    let (go, stuck) = channel();
    let (written, kept) = channel();
    let queue = Queue::start(Stuck { go: stuck, written });
    for _ in 0..2 * MAX_QUEUED_LINES {
        log(&queue, Level::Info, "request served");
    }
    log(&queue, Level::Warn, "request failed");
    for _ in 0..4 {
        go.send(()).expect("the writer runs");
    }
    queue.flush(Duration::from_secs(5));
    let text: Vec<u8> = kept.try_iter().flatten().collect();
    let text = String::from_utf8(text).expect("text was written");
    assert!(text.contains("request failed"));
    assert!(text.contains("log lines dropped count="));
}

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use log::Level;

use super::{MAX_QUEUED_LINES, Queue};

/// A writer that writes nothing until it is told to.
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

/// The collector of a node's standard output hangs while callers come.
/// Each request logs a line; with a blocking write all requests would stop.
#[test]
fn a_reader_that_stops_costs_lines_and_no_time() {
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

/// Ordinary lines filled the queue and the one line that explained the failed
/// request was dropped with the rest.
#[test]
fn a_warning_finds_room_behind_a_flood_of_ordinary_lines() {
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

//! Logs with named fields, through simplelog, that never hold a request up.
//!
//! simplelog writes only a record's message, so a logger of
//! our own stands in front of it and appends the record's key-value pairs as `name=value`.
//! Behind it [`queue`] takes whole lines to a thread that writes them: a
//! reader of standard output that stops reading costs lines, never time.
//!
//! Levels: `error` for what an operator must mend, `warn` for what the process
//! worked around and for requests that failed, `info` for changes of state and
//! the decisions on a request, `debug` for detail. No secret and no caller's
//! text is logged at any level.

pub mod queue;

use std::fmt::Write as _;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ConfigBuilder, WriteLogger};

use self::queue::{Lines, Queue};

/// Appends a record's fields to its message.
struct Fields {
    inner: Box<WriteLogger<Lines>>,
    queue: Queue,
}

/// Sets up the process's log, to standard output.
///
/// Only a binary calls this; a library logs to whatever is set up. The queue
/// that is returned counts the lines that were dropped.
///
/// # Errors
///
/// Returns an error if a log was set up before.
pub fn start(level: LevelFilter) -> Result<Queue, log::SetLoggerError> {
    let queue = Queue::start(std::io::stdout());
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Error)
        .build();
    log::set_boxed_logger(Box::new(Fields {
        inner: WriteLogger::new(level, config, queue.lines()),
        queue: queue.clone(),
    }))?;
    log::set_max_level(level);
    Ok(queue)
}

/// Returns the record's message followed by its fields.
#[must_use]
pub fn line(record: &Record<'_>) -> String {
    let mut text = Text(record.args().to_string());
    // The visitor below never fails.
    drop(record.key_values().visit(&mut text));
    text.0
}

impl Log for Fields {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) && self.queue.admits(record.level()) {
            let line = line(record);
            self.inner.log(
                &Record::builder()
                    .metadata(record.metadata().clone())
                    .args(format_args!("{line}"))
                    .build(),
            );
        }
    }

    fn flush(&self) {
        Log::flush(&*self.inner);
    }
}

struct Text(String);

impl<'kvs> VisitSource<'kvs> for Text {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        // Quotes keep a value with spaces, such as an error, one field.
        if value.contains([' ', '"', '\n']) {
            write!(self.0, " {key}={value:?}")?;
        } else {
            write!(self.0, " {key}={value}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

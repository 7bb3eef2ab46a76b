//! Logging of records with fields that never delays a request.
//!
//! simplelog writes only the message of a record, so this module wraps it and
//! appends the key-value pairs of the record as `name=value`. Its output goes
//! through [`queue`] to a thread that writes the lines: if the reader of standard
//! output stops reading, lines are dropped instead of blocking.
//!
//! Levels: `error` for problems that an operator must fix, `warn` for problems that
//! the process worked around and for failed requests, `info` for state changes and
//! decisions on a request, `debug` for details. Secrets and text of callers are
//! never logged.

pub mod queue;

use std::fmt::Write as _;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use simplelog::{ConfigBuilder, WriteLogger};

use self::queue::{Lines, Queue};

/// A logger that appends the fields of a record to its message.
struct FieldLogger {
    inner: Box<WriteLogger<Lines>>,
    queue: Queue,
}

/// Sets up the process's log, to standard output.
///
/// Called only by binaries; libraries use the logger that is set up. The returned
/// queue counts dropped lines.
///
/// # Errors
///
/// Returns an error if a logger is already set up.
pub fn start(level: LevelFilter) -> Result<Queue, log::SetLoggerError> {
    let queue = Queue::start(std::io::stdout());
    let config = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Error)
        .build();
    log::set_boxed_logger(Box::new(FieldLogger {
        inner: WriteLogger::new(level, config, queue.lines()),
        queue: queue.clone(),
    }))?;
    log::set_max_level(level);
    Ok(queue)
}

/// Returns the record's message followed by its fields.
#[must_use]
pub fn line(record: &Record<'_>) -> String {
    let mut text = FieldWriter(record.args().to_string());
    // The visitor below never fails.
    drop(record.key_values().visit(&mut text));
    text.0
}

impl Log for FieldLogger {
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

struct FieldWriter(String);

impl<'kvs> VisitSource<'kvs> for FieldWriter {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        // Values with spaces, such as errors, are quoted to keep them one field.
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

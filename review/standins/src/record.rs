//! Writes what happened to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record in the folder of the case, which is the first argument.
    pub fn create() -> Self {
        let folder = std::env::args().nth(1).expect("the folder of the case");
        let file = File::create(Path::new(&folder).join("record.txt")).expect("a record");
        Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let time = self.started.elapsed().as_secs_f64();
        writeln!(file, "{time:9.3} {text}").expect("room for the record");
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// Returns whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

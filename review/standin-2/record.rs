//! What was sent, answered and run, with times, in a file.

use std::fmt::Display;
use std::fs::File;
use std::io::{Result, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Gets the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn write(&self, text: impl Display) {
        let time = self.now().as_secs_f64();
        // A record that cannot be written is noticed when it is read.
        let _ = writeln!(self.file.lock().unwrap(), "{time:8.3} {text}");
    }

    /// Writes a line that is also shown.
    pub fn tell(&self, text: impl Display) {
        println!("{text}");
        self.write(text);
    }
}

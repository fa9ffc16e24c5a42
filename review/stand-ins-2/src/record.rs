//! The record of a run: a file with a line per event, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Milliseconds since the start of the record.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let at = self.now_ms();
        if let Ok(mut file) = self.file.lock() {
            _ = writeln!(file, "{at:>10.1} ms  {text}");
        }
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start; clones share the file.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates or empties the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic");
        let _ = writeln!(file, "{at:9.4} {text}");
    }
}

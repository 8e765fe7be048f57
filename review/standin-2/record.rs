//! Record of what was sent, answered and run.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the time since the start. Clones share them.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<(std::fs::File, Vec<String>)>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let lines = Arc::new(Mutex::new((std::fs::File::create(path)?, Vec::new())));
        Ok(Self {
            start: Instant::now(),
            lines,
        })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines.0, "{line}");
        lines.1.push(line);
    }

    /// Returns the lines that contain `text`.
    pub fn with(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        lines
            .1
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }
}

/// Returns the value of `key=` in a line, empty if there is none.
pub fn value<'a>(line: &'a str, key: &str) -> &'a str {
    let words = line.split(' ').filter_map(|word| word.split_once('='));
    let mut values = words.filter(|(name, _)| *name == key);
    values.next().map_or("", |(_, value)| value)
}

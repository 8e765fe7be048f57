//! Logs of one seed of a randomized test: its faults, its requests, and the output of its processes.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime};

use bilberrypost::util::unix_ms;

/// Log that is collected in memory, so that a slow disk delays no fault.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    /// Adds a line with the time `at` in the format of the gateways' logs.
    pub fn write_at(&mut self, at: Instant, event: impl Display) {
        let time = unix_ms(SystemTime::now() - at.elapsed());
        writeln!(self, "time_ms={time} {event}").unwrap();
    }
}

impl Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Maximum number of lines that are printed of each log.
const PRINTED_LINES_MAX: usize = 200;

/// The logs of one seed. If the test fails, they are written to files when this is dropped, or their last
/// lines are printed.
pub struct SeedLog {
    // `None` if they are printed.
    folder: Option<PathBuf>,
    logs: Mutex<BTreeMap<String, Log>>,
}

impl SeedLog {
    /// Creates the logs of a seed. The environment variable `SOAK_LOGS` may name a folder for them, in which
    /// they get one of their own that begins with `kind`.
    pub fn create(kind: &str, seed: u64) -> Self {
        let folder = std::env::var_os("SOAK_LOGS").map(PathBuf::from);
        Self {
            folder: folder.map(|folder| folder.join(format!("{kind}-{seed}"))),
            logs: Mutex::default(),
        }
    }

    /// Returns the log with this name, to which all who open it append.
    pub fn open(&self, name: &str) -> Log {
        let mut logs = self.logs.lock().unwrap();
        logs.entry(name.into()).or_default().clone()
    }

    fn save(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        for (name, log) in self.logs.lock().unwrap().iter() {
            let path = folder.join(format!("{name}.log"));
            std::fs::write(path, &*log.0.lock().unwrap())?;
        }
        Ok(())
    }

    fn print(&self) {
        for (name, log) in self.logs.lock().unwrap().iter() {
            let log = log.0.lock().unwrap();
            let text = String::from_utf8_lossy(&log);
            let lines: Vec<_> = text.lines().collect();
            let last = &lines[lines.len().saturating_sub(PRINTED_LINES_MAX)..];
            println!("log of {name}:\n{}", last.join("\n"));
        }
    }
}

impl Drop for SeedLog {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        match &self.folder {
            Some(folder) => println!("logs in {}: {:?}", folder.display(), self.save(folder)),
            None => self.print(),
        }
    }
}

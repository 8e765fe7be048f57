//! Logs of one seed of a randomized test: its faults, its requests, and the output of its processes.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{self, Write};
use std::path::PathBuf;
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

/// The logs of one seed. If the test fails, they are written to files when this is dropped.
pub struct SeedLog {
    folder: PathBuf,
    logs: Mutex<BTreeMap<String, Log>>,
}

impl SeedLog {
    /// Creates the logs of a seed if the environment variable `SOAK_LOGS` names a folder for them.
    pub fn create(seed: u64) -> Option<Self> {
        let folder = PathBuf::from(std::env::var_os("SOAK_LOGS")?);
        Some(Self {
            folder: folder.join(format!("seed-{seed}")),
            logs: Mutex::default(),
        })
    }

    /// Returns the log with this name, to which all who open it append.
    pub fn open(&self, name: &str) -> Log {
        let mut logs = self.logs.lock().unwrap();
        logs.entry(name.into()).or_default().clone()
    }

    fn save(&self) -> io::Result<()> {
        std::fs::create_dir_all(&self.folder)?;
        for (name, log) in self.logs.lock().unwrap().iter() {
            let path = self.folder.join(format!("{name}.log"));
            std::fs::write(path, &*log.0.lock().unwrap())?;
        }
        Ok(())
    }
}

impl Drop for SeedLog {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let saved = self.save();
            println!("logs in {}: {saved:?}", self.folder.display());
        }
    }
}

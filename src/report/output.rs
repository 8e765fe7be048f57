//! The log on standard output: whole lines, written by a thread of its own.
//!
//! A reader that stops delays nothing: lines wait in a bounded queue, and what does not fit is left
//! out and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::SystemTime;

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

use crate::util::unix_ms;

/// Lines that wait for the reader.
const QUEUE_LINES: usize = 2048;

/// Longest line in bytes; the rest is cut off.
const LINE_BYTES_MAX: usize = 1024;

/// Stack of the writing thread in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Takes the pieces of log lines and hands over whole ones.
#[derive(Debug)]
pub struct Output {
    line: Vec<u8>,
    sender: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes lines to `target`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start<W: Write + Send + 'static>(target: W) -> io::Result<Self> {
        let (sender, lines) = sync_channel(QUEUE_LINES);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = left_out.clone();
        std::thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(target, &lines, &counted))?;
        Ok(Self {
            line: Vec::new(),
            sender,
            left_out,
        })
    }

    fn finish_line(&mut self) {
        let time = unix_ms(SystemTime::now());
        let mut line = format!("time_ms={time} ").into_bytes();
        line.extend(self.line.drain(..).take(LINE_BYTES_MAX));
        line.push(b'\n');
        if self.sender.try_send(line).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for byte in bytes {
            match byte {
                b'\n' => self.finish_line(),
                byte => self.line.push(*byte),
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(mut target: W, lines: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        // Standard output is the only place to report to; without a reader there is none.
        let _ = target.write_all(&line);
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let time = unix_ms(SystemTime::now());
            let _ = writeln!(target, "time_ms={time} event=log_left_out lines={missing}");
        }
        let _ = target.flush();
    }
}

/// Sends the log of this process to standard output.
///
/// # Errors
/// The thread cannot be started, or a log was started before.
pub fn start() -> anyhow::Result<()> {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .build();
    let output = Output::start(io::stdout())?;
    WriteLogger::init(LevelFilter::Info, config, output)?;
    Ok(())
}

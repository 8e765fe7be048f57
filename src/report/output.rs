//! Log output: whole lines, written to standard output by a separate thread.
//!
//! A reader that stops reading does not block the process: lines wait in a bounded queue, and lines
//! that do not fit are dropped and counted. At its end the process waits a moment for the queue.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime};

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};

use crate::util::unix_ms;

/// Capacity of the queue in lines.
const QUEUE_LINES: usize = 2048;

/// Maximum length of a line without its time; longer lines are truncated.
const MAX_LINE_BYTES: usize = 1024;

/// Stack size of the writing thread.
const STACK_BYTES: usize = 64 * 1024;

/// Longest time that the end of the process waits for queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two looks at the queue at the end of the process.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of queued lines.
#[derive(Clone, Debug, Default)]
pub struct Queue(Arc<AtomicUsize>);

impl Queue {
    /// Blocks until all lines are written, for a moment at most.
    pub fn flush(&self) {
        let polls = FLUSH_TIMEOUT.as_millis() / FLUSH_POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            if self.0.load(Ordering::Acquire) == 0 {
                return;
            }
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Collects what the logger writes into lines and queues them for the writing thread.
#[derive(Debug)]
pub struct Output {
    line: Vec<u8>,
    sender: SyncSender<Vec<u8>>,
    queue: Queue,
    dropped_lines: Arc<AtomicU64>,
}

impl Output {
    /// Starts the thread that writes the lines to `target`.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start<W: Write + Send + 'static>(target: W) -> io::Result<Self> {
        let (sender, lines) = sync_channel(QUEUE_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let thread_dropped_lines = dropped_lines.clone();
        let queue = Queue::default();
        let thread_queue = queue.clone();
        std::thread::Builder::new()
            .name("log".into())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(target, &lines, &thread_queue, &thread_dropped_lines))?;
        Ok(Self {
            line: Vec::new(),
            sender,
            queue,
            dropped_lines,
        })
    }

    fn finish_line(&mut self) {
        let time = unix_ms(SystemTime::now());
        let mut line = format!("time_ms={time} ").into_bytes();
        line.extend(self.line.drain(..).take(MAX_LINE_BYTES));
        line.push(b'\n');
        self.queue.0.fetch_add(1, Ordering::AcqRel);
        if self.sender.try_send(line).is_err() {
            self.queue.0.fetch_sub(1, Ordering::AcqRel);
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
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

fn write_lines<W: Write>(
    mut target: W,
    lines: &Receiver<Vec<u8>>,
    queue: &Queue,
    dropped_lines: &AtomicU64,
) {
    while let Ok(line) = lines.recv() {
        // An error is ignored, as there is no other place to report it.
        let _ = target.write_all(&line);
        let dropped = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let time = unix_ms(SystemTime::now());
            let _ = writeln!(target, "time_ms={time} event=log_left_out lines={dropped}");
        }
        let _ = target.flush();
        queue.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Sends the log of this process to standard output; returns the queue of its lines.
///
/// # Errors
/// The thread cannot be started, or a log was started before.
pub fn start() -> anyhow::Result<Queue> {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .build();
    let output = Output::start(io::stdout())?;
    let queue = output.queue.clone();
    WriteLogger::init(LevelFilter::Info, config, output)?;
    Ok(queue)
}

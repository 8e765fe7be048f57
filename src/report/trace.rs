//! Log lines of one request: kept or left out together, and always kept if the request fails.

use std::cell::{Cell, RefCell};
use std::fmt::Arguments;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use log::info;

use crate::util::hash64;

/// Lines a second about requests that go well, for one process.
pub const LINES_PER_S: u32 = 300;

/// Lines of a request that are held back until it is known whether it fails.
const HELD_MAX: usize = 32;

/// Length of one count of lines.
const PERIOD: Duration = Duration::from_secs(1);

/// Parts that the requests are divided into; a sampler keeps some of them.
const PARTS: u32 = 256;

/// Chooses the requests whose lines are kept.
#[derive(Debug)]
pub struct Sampler {
    kept_parts: Cell<u32>,
    lines: Cell<u32>,
    since: Cell<Instant>,
}

impl Sampler {
    /// Creates a sampler that keeps all requests.
    pub fn new(now: Instant) -> Self {
        Self {
            kept_parts: Cell::new(PARTS),
            lines: Cell::new(0),
            since: Cell::new(now),
        }
    }

    /// Returns whether the lines of a new request are kept.
    pub fn keeps(&self, id: &str, now: Instant) -> bool {
        if now.duration_since(self.since.get()) >= PERIOD {
            self.adapt(now);
        }
        let part = (hash64(&[id.as_bytes()]) % u64::from(PARTS)) as u32;
        part < self.kept_parts.get() && self.lines.get() < LINES_PER_S
    }

    fn adapt(&self, now: Instant) {
        let kept = self.kept_parts.get();
        let next = match self.lines.get() {
            lines if lines >= LINES_PER_S => (kept / 2).max(1),
            lines if lines < LINES_PER_S / 2 => (kept * 2).min(PARTS),
            _ => kept,
        };
        self.kept_parts.set(next);
        self.lines.set(0);
        self.since.set(now);
    }

    fn count(&self) {
        self.lines.set(self.lines.get() + 1);
    }
}

/// The log of one request.
#[derive(Clone, Debug)]
pub struct Trace(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    id: CompactString,
    sampler: Rc<Sampler>,
    is_kept: Cell<bool>,
    // Invariant: empty once `is_kept`.
    held: RefCell<Vec<String>>,
}

impl Trace {
    /// Starts the log of the request `id`.
    pub fn new(id: CompactString, sampler: &Rc<Sampler>, now: Instant) -> Self {
        Self(Rc::new(Inner {
            is_kept: Cell::new(sampler.keeps(&id, now)),
            id,
            sampler: sampler.clone(),
            held: RefCell::default(),
        }))
    }

    /// Notes an event with its `key=value` pairs.
    pub fn log(&self, event: &str, pairs: Arguments<'_>) {
        let line = format!("event={event} request={} {pairs}", self.0.id);
        if self.0.is_kept.get() {
            self.0.sampler.count();
            return info!("{line}");
        }
        let mut held = self.0.held.borrow_mut();
        if held.len() < HELD_MAX {
            held.push(line);
        }
    }

    /// Notes a failure, before which the lines held so far are written.
    pub fn log_failure(&self, event: &str, pairs: Arguments<'_>) {
        if !self.0.is_kept.replace(true) {
            for line in self.0.held.take() {
                info!("{line} held=yes");
            }
        }
        info!("event={event} request={} {pairs}", self.0.id);
    }
}

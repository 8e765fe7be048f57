//! Sampled log of requests: the lines of a request are written or omitted together, and are always
//! written if the request fails.

use std::cell::{Cell, RefCell};
use std::fmt::Arguments;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use log::info;

use crate::util::hash64;

/// Number of lines per second after which a process logs no further successful requests.
pub const LINES_PER_S: u32 = 300;

/// Maximum number of lines held back for one request that is not sampled, in case it fails; further
/// lines are dropped.
const MAX_HELD_LINES: usize = 32;

/// Interval over which lines are counted and after which the sampled fraction is adapted.
const ADAPT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of buckets into which requests are hashed; a sampler keeps the requests of some buckets.
const HASH_BUCKETS: u32 = 256;

/// Chooses the requests whose lines are written although they succeed.
///
/// The fraction is halved or doubled after each interval, depending on the number of lines in it.
#[derive(Debug)]
pub struct Sampler {
    kept_buckets: Cell<u32>,
    line_count: Cell<u32>,
    interval_start: Cell<Instant>,
}

impl Sampler {
    /// Creates a sampler that keeps all requests.
    pub fn new(now: Instant) -> Self {
        Self {
            kept_buckets: Cell::new(HASH_BUCKETS),
            line_count: Cell::new(0),
            interval_start: Cell::new(now),
        }
    }

    /// Returns whether the lines of a new request are written.
    pub fn keeps(&self, id: &str, now: Instant) -> bool {
        if now.duration_since(self.interval_start.get()) >= ADAPT_INTERVAL {
            self.adapt(now);
        }
        let bucket = (hash64(&[id.as_bytes()]) % u64::from(HASH_BUCKETS)) as u32;
        bucket < self.kept_buckets.get() && self.line_count.get() < LINES_PER_S
    }

    fn adapt(&self, now: Instant) {
        let kept = self.kept_buckets.get();
        let next = match self.line_count.get() {
            lines if lines >= LINES_PER_S => (kept / 2).max(1),
            lines if lines < LINES_PER_S / 2 => (kept * 2).min(HASH_BUCKETS),
            _ => kept,
        };
        self.kept_buckets.set(next);
        self.line_count.set(0);
        self.interval_start.set(now);
    }

    fn count(&self) {
        self.line_count.set(self.line_count.get() + 1);
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

    /// Logs an event with its `key=value` pairs, or holds it back if the request is not sampled.
    pub fn log(&self, event: &str, pairs: Arguments<'_>) {
        let line = format!("event={event} request={} {pairs}", self.0.id);
        if self.0.is_kept.get() {
            self.0.sampler.count();
            return info!("{line}");
        }
        let mut held = self.0.held.borrow_mut();
        if held.len() < MAX_HELD_LINES {
            held.push(line);
        }
    }

    /// Logs a failure, preceded by the lines held back so far; later lines are written at once.
    pub fn log_failure(&self, event: &str, pairs: Arguments<'_>) {
        if !self.0.is_kept.replace(true) {
            for line in self.0.held.take() {
                info!("{line} held=yes");
            }
        }
        info!("event={event} request={} {pairs}", self.0.id);
    }
}

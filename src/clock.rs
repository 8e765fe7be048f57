//! Clock abstraction, so that tests can control time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall-clock time.
pub trait Clock: Clone + 'static {
    /// Returns the monotonic time, used for intervals and timeouts.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, used for timestamps compared across hosts.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that only moves when [`Manual::advance`] is called.
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    start_wall: SystemTime,
    elapsed: Rc<Cell<Duration>>,
}

impl Manual {
    /// Creates a clock whose wall-clock time starts at `wall`.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            start: Instant::now(),
            start_wall: wall,
            elapsed: Rc::default(),
        }
    }

    /// Advances this clock and its clones.
    pub fn advance(&self, by: Duration) {
        self.elapsed.set(self.elapsed.get() + by);
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new(SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000))
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn wall(&self) -> SystemTime {
        self.start_wall + self.elapsed.get()
    }
}

//! Time as an interface, so that tests of the decision logic move it by hand.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall-clock time.
pub trait Clock: Clone + 'static {
    /// Returns the monotonic time, for intervals and timeouts.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for values that other hosts compare.
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

/// A clock that stands still until [`Manual::advance`] is called.
#[derive(Clone, Debug)]
pub struct Manual {
    start: Instant,
    start_wall: SystemTime,
    elapsed: Rc<Cell<Duration>>,
}

impl Manual {
    /// Creates a clock whose wall time is `wall`.
    pub fn new(wall: SystemTime) -> Self {
        Self {
            start: Instant::now(),
            start_wall: wall,
            elapsed: Rc::default(),
        }
    }

    /// Moves the time of this clock and of its clones forward.
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

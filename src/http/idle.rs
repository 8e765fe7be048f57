//! How long a connection has had no running request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time until a changed limit is noticed.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a connection has a running request; clones share the state.
#[derive(Clone, Debug)]
pub struct Idle(Rc<State>);

#[derive(Debug)]
struct State {
    running: Cell<u32>,
    // When the last request ended, or when the connection was opened.
    since: Cell<Instant>,
}

/// A request that is running until it is dropped.
#[derive(Debug)]
pub struct Running(Idle);

impl Idle {
    /// Creates the state of a connection that was just opened.
    pub fn new() -> Self {
        Self(Rc::new(State {
            running: Cell::new(0),
            since: Cell::new(Instant::now()),
        }))
    }

    /// Records that a request has begun.
    pub fn begin(&self) -> Running {
        self.0.running.set(self.0.running.get() + 1);
        Running(self.clone())
    }

    /// Waits until no request has been running for the time that `limit` returns, which may change.
    pub async fn wait(&self, limit: impl Fn() -> Duration) {
        loop {
            let limit = limit();
            let left = match self.0.running.get() {
                0 => limit.saturating_sub(self.0.since.get().elapsed()),
                _ => limit,
            };
            if left.is_zero() {
                return;
            }
            compio::time::sleep(left.min(RECHECK_INTERVAL)).await;
        }
    }
}

impl Default for Idle {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let state = &self.0.0;
        state.running.set(state.running.get() - 1);
        state.since.set(Instant::now());
    }
}

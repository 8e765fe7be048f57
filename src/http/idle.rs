//! How long a connection has had no running request.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::budget::{Budget, ConnectionKey, Wait};

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
    // The connection in the budget of its process.
    budgeted: Option<(Budget, ConnectionKey)>,
}

impl State {
    fn set_wait(&self, since: Option<Instant>) {
        if let Some((budget, key)) = &self.budgeted {
            budget.set_wait(*key, Wait::Request, since);
        }
    }
}

/// A request that is running until it is dropped.
#[derive(Debug)]
pub struct Running(Idle);

impl Idle {
    /// Creates the state of a connection that was just opened. Its budget is told when it has no
    /// running request.
    pub fn new(budgeted: Option<(Budget, ConnectionKey)>) -> Self {
        Self(Rc::new(State {
            running: Cell::new(0),
            since: Cell::new(Instant::now()),
            budgeted,
        }))
    }

    /// Records that a request has begun.
    pub fn begin(&self) -> Running {
        self.0.running.set(self.0.running.get() + 1);
        self.0.set_wait(None);
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

impl Drop for Running {
    fn drop(&mut self) {
        let state = &self.0.0;
        state.running.set(state.running.get() - 1);
        let now = Instant::now();
        state.since.set(now);
        if state.running.get() == 0 {
            state.set_wait(Some(now));
        }
    }
}

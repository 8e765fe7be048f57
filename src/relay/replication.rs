//! When to copy the memory of a running stream to another engine.
//!
//! The engine of a stream replicates its run to one other engine only. When that one is lost, or no
//! engine had room at the start, the host has the memory copied to another engine. Such a copy does
//! not grow with the run and is kept for a limited time, so it is renewed.

use std::time::{Duration, Instant};

/// Time between the end of an attempt to copy and the next one. Engines that had no room seldom have any at once.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Fraction of its lifetime after which a copy is renewed, which leaves time for a failed attempt and another.
const RENEWAL_FRACTION: f64 = 0.6;

/// Copies of one run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Schedule {
    is_copying: bool,
    tried_at: Option<Instant>,
    // When the current copy was made.
    copied_at: Option<Instant>,
}

impl Schedule {
    /// Returns whether to copy now. `is_replicated` tells whether another engine probably holds the
    /// memory; a copy is kept for `lifetime`.
    pub fn is_due(&self, is_replicated: bool, lifetime: Duration, now: Instant) -> bool {
        let was_tried = |at: Instant| self.is_copying || now.duration_since(at) < RETRY_INTERVAL;
        if self.tried_at.is_some_and(was_tried) {
            return false;
        }
        let renewed_after = lifetime.mul_f64(RENEWAL_FRACTION);
        let is_old = |at: Instant| now.duration_since(at) >= renewed_after;
        !is_replicated || self.copied_at.is_some_and(is_old)
    }

    /// Records that no engine has room for a copy.
    pub fn record_no_room(&mut self, now: Instant) {
        self.tried_at = Some(now);
    }

    /// Records that the engine is asked to copy.
    pub fn begin(&mut self, now: Instant) {
        self.is_copying = true;
        self.tried_at = Some(now);
    }

    /// Records the end of a copy that was asked for.
    pub fn end(&mut self, is_copied: bool, now: Instant) {
        self.is_copying = false;
        self.tried_at = Some(now);
        if is_copied {
            self.copied_at = Some(now);
        }
    }
}

#[cfg(test)]
mod tests;

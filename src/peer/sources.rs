//! Which representative a host follows, and when it reads from the store itself.
//!
//! Calls to the store are priced, so a host makes them only if no known representative reaches the
//! store.

use std::net::SocketAddr;

/// Representatives that a host queries, one at a time.
#[derive(Debug, Default)]
pub struct Sources {
    // In order of preference: the representatives of this host's failure domain come first.
    representatives: Vec<SocketAddr>,
    selected: usize,
    // Consecutive queries without a confirmed answer.
    failures: usize,
}

impl Sources {
    /// Sets the known representatives; the current one stays selected if it is among them.
    pub fn set(&mut self, representatives: Vec<SocketAddr>) {
        if self.representatives == representatives {
            return;
        }
        let selected = self.current();
        self.representatives = representatives;
        let position = self
            .representatives
            .iter()
            .position(|representative| Some(*representative) == selected);
        self.selected = position.unwrap_or(0);
    }

    /// Returns the representative to query next; `None` if none is known.
    pub fn current(&self) -> Option<SocketAddr> {
        self.representatives.get(self.selected).copied()
    }

    /// Records an answer of a representative that reaches the store.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that the current representative did not answer or does not reach the store, and
    /// selects the next one.
    pub fn record_failure(&mut self) {
        self.failures += 1;
        self.selected = (self.selected + 1) % self.representatives.len().max(1);
    }

    /// Returns whether as many consecutive queries failed as there are representatives, so that the
    /// host must read from the store itself. True if no representative is known.
    pub fn all_failed(&self) -> bool {
        self.failures >= self.representatives.len()
    }
}

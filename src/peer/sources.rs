//! Which representative a host follows, and when it asks the store itself.
//!
//! Answers the price of calls to the store: a host asks it only if no representative that it knows
//! reaches it.

use std::net::SocketAddr;

/// The representatives that a host tries in turn.
#[derive(Debug, Default)]
pub struct Sources {
    // Invariant: those of this host's failure domain come first.
    known: Vec<SocketAddr>,
    current: usize,
    // Tries in a row after which nothing was learned.
    failures: usize,
}

impl Sources {
    /// Takes over the representatives that are known now.
    pub fn set(&mut self, known: Vec<SocketAddr>) {
        if self.known == known {
            return;
        }
        let current = self.get();
        self.known = known;
        let position = self
            .known
            .iter()
            .position(|source| Some(*source) == current);
        self.current = position.unwrap_or(0);
    }

    /// Returns the representative to ask.
    pub fn get(&self) -> Option<SocketAddr> {
        self.known.get(self.current).copied()
    }

    /// Notes an answer of a representative that reaches the store.
    pub fn confirmed(&mut self) {
        self.failures = 0;
    }

    /// Notes that the representative did not answer, or does not reach the store.
    pub fn failed(&mut self) {
        self.failures += 1;
        self.current = (self.current + 1) % self.known.len().max(1);
    }

    /// Returns whether none of the representatives was of use, so that the host asks the store itself.
    pub fn is_lost(&self) -> bool {
        self.failures >= self.known.len()
    }
}

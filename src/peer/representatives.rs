//! Which representative a host follows, and when it reads from the store itself.
//!
//! Calls to the store are priced and a recovering store must not be called by all hosts, so a host
//! makes them only if no known representative answers. The second representative of a failure domain
//! also makes them if none reaches the store.

use std::net::SocketAddr;

/// The representatives that a host may follow; it queries one at a time.
#[derive(Debug, Default)]
pub struct Representatives {
    // In order of preference: the representatives of this host's failure domain come first.
    addresses: Vec<SocketAddr>,
    selected: usize,
    // Consecutive queries without a confirmed answer, and how many of these were not answered.
    failures: usize,
    silent: usize,
}

impl Representatives {
    /// Sets the addresses of the known representatives; the current one stays selected if it is
    /// among them.
    pub fn set(&mut self, addresses: Vec<SocketAddr>) {
        if self.addresses == addresses {
            return;
        }
        let selected = self.current();
        self.addresses = addresses;
        let position = self
            .addresses
            .iter()
            .position(|address| Some(*address) == selected);
        self.selected = position.unwrap_or(0);
    }

    /// Returns the address of the representative to query next; `None` if none is known.
    pub fn current(&self) -> Option<SocketAddr> {
        self.addresses.get(self.selected).copied()
    }

    /// Returns the preferred representative; `None` if none is known.
    pub fn preferred(&self) -> Option<SocketAddr> {
        self.addresses.first().copied()
    }

    /// Returns the representatives other than the one that failed last, in the order in which they
    /// are selected.
    pub fn others(&self) -> Vec<SocketAddr> {
        let count = self.addresses.len();
        let from_selected = self.addresses.iter().cycle().skip(self.selected);
        from_selected
            .take(count.saturating_sub(1))
            .copied()
            .collect()
    }

    /// Records an answer of a representative that reaches the store.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.silent = 0;
    }

    /// Records that the current representative does not reach the store, or did not answer
    /// (`is_silent`), and selects the next one.
    pub fn record_failure(&mut self, is_silent: bool) {
        self.failures += 1;
        self.silent = match is_silent {
            true => self.silent + 1,
            false => 0,
        };
        self.selected = (self.selected + 1) % self.addresses.len().max(1);
    }

    /// Selects the preferred representative again. Otherwise all hosts that lost theirs for a moment
    /// would stay with the one representative that answered then.
    pub fn prefer_first(&mut self) {
        self.selected = 0;
    }

    /// Returns whether a representative other than the preferred one is selected.
    pub fn is_at_substitute(&self) -> bool {
        self.selected != 0
    }

    /// Returns whether as many consecutive queries failed as there are representatives. True if no
    /// representative is known.
    pub fn all_failed(&self) -> bool {
        self.failures >= self.addresses.len()
    }

    /// Returns whether as many consecutive queries were not answered as there are representatives.
    /// If some answered without the store, the store itself is out of reach.
    pub fn all_silent(&self) -> bool {
        self.silent >= self.addresses.len()
    }
}

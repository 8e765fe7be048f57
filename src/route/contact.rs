//! Whether this host can reach anything, so that its own trouble is not held against engines.
//!
//! While the link of a host is full, or its process gets no processor time, none of its connections
//! is accepted in time, whatever the engines do. A fixed timeout alone would take all of them for
//! lost. An engine therefore counts as unreachable only if this host reached another address with a
//! connection that it began later.

use std::time::{Duration, Instant};

/// Time after which an engine that accepts no connection is compared with other addresses.
pub const ANSWER_TIME: Duration = Duration::from_millis(150);

/// What is known of an engine that has not yet accepted a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The engine, or this host, may still be slow.
    Open,
    /// The engine cannot be reached, while this host reaches others.
    Unreachable,
}

/// The round trips of this host.
#[derive(Debug, Default)]
pub struct Contact {
    // Start of the round trip that began last, of those that have ended.
    latest: Option<Instant>,
}

impl Contact {
    /// Records that an address answered a connection, also by refusing it, that was begun at `began`.
    pub fn record(&mut self, began: Instant) {
        self.latest = self.latest.max(Some(began));
    }

    /// Returns whether a round trip that began at `since` or later has ended.
    pub fn has_since(&self, since: Instant) -> bool {
        self.latest.is_some_and(|latest| latest >= since)
    }

    /// Judges an engine that has not accepted a connection which was begun at `began`.
    pub fn judge(&self, began: Instant, now: Instant) -> Verdict {
        let is_late = now.duration_since(began) >= ANSWER_TIME;
        match is_late && self.has_since(began) {
            true => Verdict::Unreachable,
            false => Verdict::Open,
        }
    }
}

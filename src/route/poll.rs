//! Chooses the engines whose status is polled.
//!
//! Engines report their load in the frames of their streams. Those without a stream of this host
//! are polled in turn, at a rate that does not grow with their number, so that polling costs less
//! than 2 KB/s.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::fleet::Engine;
use crate::clock::Clock;
use crate::dispatch::PollTarget;

/// Time between two polling rounds.
pub const INTERVAL: Duration = Duration::from_millis(250);

/// Engines polled in a round that have reported before. This is 4 a second at about 400 bytes each.
const KNOWN_PER_ROUND: usize = 1;

/// Engines polled in a round that have not reported yet. Higher, so that a new host soon knows
/// enough engines to send them work.
const NEW_PER_ROUND: usize = 16;

/// Age of a report from which the engine is polled.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Time after which an engine that never answered is polled again.
const NEW_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Chooses the engines to poll in each round.
#[derive(Debug)]
pub struct Poller<C: Clock> {
    clock: C,
    // Time of the last poll of each engine. Invariant: holds only engines known in the last round.
    polled_at: BTreeMap<Engine, Instant>,
}

impl<C: Clock> Poller<C> {
    /// Creates a poller that has not polled any engine.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            polled_at: BTreeMap::new(),
        }
    }

    /// Returns the engines to poll in this round: new ones, then the one that was least recently
    /// heard or polled. Counts them as polled.
    pub fn due(&mut self, engines: &[PollTarget]) -> Vec<PollTarget> {
        let now = self.clock.now();
        let age = |at: Option<Instant>| at.map_or(Duration::MAX, |at| now.duration_since(at));
        self.polled_at
            .retain(|key, _| engines.iter().any(|target| target.engine == *key));
        let poll_age = |target: &PollTarget| age(self.polled_at.get(&target.engine).copied());
        let (mut known, mut new): (Vec<_>, Vec<_>) = engines
            .iter()
            .partition(|target| target.reported_at.is_some());
        new.retain(|target| poll_age(target) >= NEW_RETRY_AFTER);
        new.truncate(NEW_PER_ROUND);
        known.retain(|target| age(target.reported_at).min(poll_age(target)) >= STALE_AFTER);
        known
            .sort_by_key(|target| std::cmp::Reverse(age(target.reported_at).min(poll_age(target))));
        known.truncate(KNOWN_PER_ROUND);
        let due: Vec<_> = new.into_iter().chain(known).cloned().collect();
        self.polled_at
            .extend(due.iter().map(|target| (target.engine, now)));
        due
    }
}

#[cfg(test)]
mod tests;

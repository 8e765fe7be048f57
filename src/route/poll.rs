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
mod tests {
    use super::*;
    use crate::clock::Manual;

    fn engines(count: u64, reported_at: Option<Instant>) -> Vec<PollTarget> {
        let engine = |number| PollTarget {
            engine: Engine::from(slotmap::KeyData::from_ffi(number)),
            address: "127.0.0.1:1".into(),
            next_seq: 0,
            reported_at,
        };
        (1..=count).map(engine).collect()
    }

    /// Guards against a cost that grows with the number of engines, and against engines that are
    /// never polled.
    #[test]
    fn polls_every_engine_at_a_bounded_rate() {
        let clock = Manual::default();
        let mut poller = Poller::new(clock.clone());
        let engines = engines(64, Some(clock.now()));
        assert!(poller.due(&engines).is_empty());
        clock.advance(STALE_AFTER);
        let mut polls = BTreeMap::new();
        for _ in 0..64 / KNOWN_PER_ROUND {
            let due = poller.due(&engines);
            assert!(due.len() <= KNOWN_PER_ROUND);
            for target in due {
                *polls.entry(target.engine).or_insert(0) += 1;
            }
            clock.advance(INTERVAL);
        }
        assert!(polls.len() == 64 && polls.values().all(|times| *times == 1));
    }

    /// Guards against engines that do not answer and use up the polls of those that do.
    #[test]
    fn engines_without_an_answer_wait_for_their_retry() {
        let clock = Manual::default();
        let mut poller = Poller::new(clock.clone());
        let engines = engines(20, None);
        assert_eq!(poller.due(&engines).len(), NEW_PER_ROUND);
        assert_eq!(poller.due(&engines).len(), 4);
        assert_eq!(poller.due(&engines).len(), 0);
        clock.advance(NEW_RETRY_AFTER);
        assert_eq!(poller.due(&engines).len(), NEW_PER_ROUND);
    }
}

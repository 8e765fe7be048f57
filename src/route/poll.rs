//! Which engines are asked for their status, and when.
//!
//! Load arrives on the frames of streams. Engines without a stream of this host are asked in turn,
//! at a rate that does not grow with their number, so that asking costs under 2 KB/s.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::fleet::Engine;
use crate::clock::Clock;
use crate::dispatch::PollTarget;

/// Time between two rounds.
pub const ROUND: Duration = Duration::from_millis(250);

/// Engines asked in a round: 4 a second, each about 400 bytes.
const ENGINES_PER_ROUND: usize = 1;

/// Engines asked in a round that were never heard of, so that a new host is soon of use.
const NEW_PER_ROUND: usize = 16;

/// Age of a report after which an engine is asked.
const FRESH: Duration = Duration::from_secs(2);

/// Time after which an engine that never answered is asked again.
const NEW_RETRY: Duration = Duration::from_secs(1);

/// Chooses the engines to ask.
#[derive(Debug)]
pub struct Poller<C: Clock> {
    clock: C,
    // Invariant: holds only engines that were known in the last round.
    asked: BTreeMap<Engine, Instant>,
}

impl<C: Clock> Poller<C> {
    /// Creates a poller that has asked no engine.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            asked: BTreeMap::new(),
        }
    }

    /// Returns the engines to ask in this round, those unheard of for longest first.
    pub fn due(&mut self, engines: &[PollTarget]) -> Vec<PollTarget> {
        let now = self.clock.now();
        let age = |at: Option<Instant>| at.map_or(Duration::MAX, |at| now.duration_since(at));
        self.asked
            .retain(|asked, _| engines.iter().any(|polled| polled.engine == *asked));
        let asked = |polled: &PollTarget| age(self.asked.get(&polled.engine).copied());
        let (mut known, mut new): (Vec<_>, Vec<_>) = engines
            .iter()
            .partition(|polled| polled.reported_at.is_some());
        new.retain(|polled| asked(polled) >= NEW_RETRY);
        new.truncate(NEW_PER_ROUND);
        known.retain(|polled| age(polled.reported_at).min(asked(polled)) >= FRESH);
        known.sort_by_key(|polled| std::cmp::Reverse(age(polled.reported_at).min(asked(polled))));
        known.truncate(ENGINES_PER_ROUND);
        let due: Vec<_> = new.into_iter().chain(known).cloned().collect();
        self.asked
            .extend(due.iter().map(|polled| (polled.engine, now)));
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

    /// Guards against a cost that grows with the fleet, and against engines that are never asked.
    #[test]
    fn asks_all_at_a_bounded_rate() {
        let clock = Manual::default();
        let mut poller = Poller::new(clock.clone());
        let engines = engines(64, Some(clock.now()));
        assert!(poller.due(&engines).is_empty());
        clock.advance(FRESH);
        let mut asked = BTreeMap::new();
        for _ in 0..64 / ENGINES_PER_ROUND {
            let due = poller.due(&engines);
            assert!(due.len() <= ENGINES_PER_ROUND);
            for polled in due {
                *asked.entry(polled.engine).or_insert(0) += 1;
            }
            clock.advance(ROUND);
        }
        assert!(asked.len() == 64 && asked.values().all(|times| *times == 1));
    }

    /// Guards against a dead engine that takes the turns of living ones.
    #[test]
    fn unanswered_engines_wait() {
        let clock = Manual::default();
        let mut poller = Poller::new(clock.clone());
        let engines = engines(20, None);
        assert_eq!(poller.due(&engines).len(), NEW_PER_ROUND);
        assert_eq!(poller.due(&engines).len(), 4);
        assert_eq!(poller.due(&engines).len(), 0);
        clock.advance(NEW_RETRY);
        assert_eq!(poller.due(&engines).len(), NEW_PER_ROUND);
    }
}

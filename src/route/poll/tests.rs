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

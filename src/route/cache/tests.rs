use super::*;

fn event(seq: u64, stored: bool, block: u64) -> wire::CacheEvent {
    wire::CacheEvent { seq, stored, block }
}

/// Guards against blocks that are taken for cached because the event of their eviction was
/// lost.
#[test]
fn missed_events_evict_the_least_recently_used_blocks() {
    let mut cache = Cache::default();
    let stored: Vec<_> = (0..4).map(|seq| event(seq, true, seq + 10)).collect();
    cache.apply(&stored, 4);
    assert_eq!(cache.prefix_hits(&[10, 11, 12, 13]), 4);
    // Block 10 is used again, and events 4 and 5 are missed.
    cache.touch(10);
    cache.apply(&[event(6, true, 14)], 7);
    assert_eq!(cache.prefix_hits(&[11]) + cache.prefix_hits(&[12]), 0);
    assert_eq!(
        cache.prefix_hits(&[10]) + cache.prefix_hits(&[13]) + cache.prefix_hits(&[14]),
        3
    );
    cache.apply(&[event(7, false, 10)], 8);
    assert_eq!(cache.prefix_hits(&[10]), 0);
    // A repeated event changes nothing.
    cache.apply(&[event(6, false, 14)], 8);
    assert_eq!(cache.prefix_hits(&[14]), 1);
}

/// Guards against a last sequence number that overflows.
#[test]
fn any_sequence_number_may_be_the_last() {
    let mut cache = Cache::default();
    cache.apply(&[event(u64::MAX, true, 10), event(3, true, 11)], 4);
    assert_eq!((cache.next_seq, cache.len()), (u64::MAX, 1));
}

/// Guards against memory that grows with the number of distinct prompts.
#[test]
fn size_is_bounded() {
    let mut cache = Cache::default();
    (0..3 * BLOCKS_MAX as u64).for_each(|block| cache.touch(block));
    assert_eq!(cache.len(), BLOCKS_MAX);
    assert_eq!(cache.by_last_use.len(), BLOCKS_MAX);
    assert_eq!(cache.prefix_hits(&[0]), 0);
    assert_eq!(cache.prefix_hits(&[3 * BLOCKS_MAX as u64 - 1]), 1);
}

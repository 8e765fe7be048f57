//! What a host believes an engine's prefix cache to hold.

use std::collections::BTreeMap;

use crate::wire;

/// Blocks remembered for each engine. With 64 engines of each of 3 models this stays near 30 MB of
/// the 64 MB that control may take.
const BLOCKS_MAX: usize = 4096;

/// Blocks of one engine in order of use, at most [`BLOCKS_MAX`].
#[derive(Clone, Debug, Default)]
pub struct Cache {
    // Invariant: `by_use` holds exactly the inverse of `uses`.
    uses: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses_count: u64,
    next_seq: u64,
}

impl Cache {
    /// Notes that the engine reads or stores a block.
    pub fn touch(&mut self, block: u64) {
        self.uses_count += 1;
        if let Some(old) = self.uses.insert(block, self.uses_count) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.uses_count, block);
        if self.uses.len() > BLOCKS_MAX {
            self.drop_oldest();
        }
    }

    /// Takes over cache events of the engine; `next_seq` is the number that it names as the next.
    ///
    /// A lost event may have been an eviction. Engines evict what was used least recently, so as
    /// many of the oldest blocks are dropped as events are missing.
    pub fn apply(&mut self, events: &[wire::Event], next_seq: u64) {
        for event in events {
            if event.seq < self.next_seq {
                continue;
            }
            self.drop_after_gap(event.seq - self.next_seq);
            self.next_seq = event.seq + 1;
            match event.stored {
                true => self.touch(event.block),
                false => self.remove(event.block),
            }
        }
        self.drop_after_gap(next_seq.saturating_sub(self.next_seq));
        self.next_seq = self.next_seq.max(next_seq);
    }

    /// Returns the number of leading blocks of a prompt that are cached.
    pub fn count(&self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.uses.contains_key(block));
        cached.count()
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// Drops all blocks; the event numbers go on.
    pub fn clear(&mut self) {
        self.uses.clear();
        self.by_use.clear();
    }

    fn drop_after_gap(&mut self, missing: u64) {
        if missing >= self.uses.len() as u64 {
            return self.clear();
        }
        for _ in 0..missing {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, block)) = self.by_use.pop_first() {
            self.uses.remove(&block);
        }
    }

    fn remove(&mut self, block: u64) {
        if let Some(used) = self.uses.remove(&block) {
            self.by_use.remove(&used);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn event(seq: u64, stored: bool, block: u64) -> wire::Event {
        wire::Event { seq, stored, block }
    }

    /// Guards against blocks that are believed cached although the event of their eviction was lost.
    #[test]
    fn a_gap_drops_the_oldest_blocks() {
        let mut cache = Cache::default();
        let stored: Vec<_> = (0..4).map(|seq| event(seq, true, seq + 10)).collect();
        cache.apply(&stored, 4);
        assert_eq!(cache.count(&[10, 11, 12, 13]), 4);
        // The engine used block 10 again, and the events 4 and 5 are missing.
        cache.touch(10);
        cache.apply(&[event(6, true, 14)], 7);
        assert_eq!(cache.count(&[11]) + cache.count(&[12]), 0);
        assert_eq!(
            cache.count(&[10]) + cache.count(&[13]) + cache.count(&[14]),
            3
        );
        cache.apply(&[event(7, false, 10)], 8);
        assert_eq!(cache.count(&[10]), 0);
        // Events that arrive again change nothing.
        cache.apply(&[event(6, false, 14)], 8);
        assert_eq!(cache.count(&[14]), 1);
    }

    /// Guards against a map that grows with the number of prompts.
    #[test]
    fn is_bounded() {
        let mut cache = Cache::default();
        (0..3 * BLOCKS_MAX as u64).for_each(|block| cache.touch(block));
        assert_eq!(cache.len(), BLOCKS_MAX);
        assert_eq!(cache.by_use.len(), BLOCKS_MAX);
        assert_eq!(cache.count(&[0]), 0);
        assert_eq!(cache.count(&[3 * BLOCKS_MAX as u64 - 1]), 1);
    }
}

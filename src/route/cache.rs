//! A host's estimate of which prompt blocks an engine holds in its prefix cache.
//!
//! It is built from the cache events in the engine's status and from the prompts that this host
//! sends to the engine. Blocks are hashes from [`super::prefix::blocks`].

use std::collections::BTreeMap;

use crate::wire;

/// Maximum number of blocks remembered for one engine. With 64 engines for each of 3 models the
/// estimates take about 30 MB, out of a budget of 64 MB for the control state of a host.
const BLOCKS_MAX: usize = 4096;

/// Estimated cache content of one engine: at most `BLOCKS_MAX` blocks, evicted by least recent
/// use.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    // Number of each block's last use. Invariant: `by_last_use` is exactly the inverse map.
    last_use: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    next_seq: u64,
}

impl Cache {
    /// Records that the engine reads or stores a block, which makes it the most recently used.
    pub fn touch(&mut self, block: u64) {
        self.use_count += 1;
        if let Some(old) = self.last_use.insert(block, self.use_count) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.use_count, block);
        if self.last_use.len() > BLOCKS_MAX {
            self.evict_lru();
        }
    }

    /// Applies cache events of the engine. `next_seq` is the sequence number to ask for next.
    /// Events that were applied before are ignored.
    ///
    /// A missed event may have been an eviction. Engines evict the least recently used block, so
    /// one such block is dropped for each missed event.
    pub fn apply(&mut self, events: &[wire::CacheEvent], next_seq: u64) {
        for event in events {
            if event.seq < self.next_seq {
                continue;
            }
            self.evict_for_missed(event.seq - self.next_seq);
            self.next_seq = event.seq.saturating_add(1);
            match event.stored {
                true => self.touch(event.block),
                false => self.remove(event.block),
            }
        }
        self.evict_for_missed(next_seq.saturating_sub(self.next_seq));
        self.next_seq = self.next_seq.max(next_seq);
    }

    /// Returns how many blocks of a prompt are cached, counted from its start up to the first miss.
    pub fn prefix_hits(&self, blocks: &[u64]) -> usize {
        let cached = blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block));
        cached.count()
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Drops all blocks. The sequence numbers of events continue.
    pub fn clear(&mut self) {
        self.last_use.clear();
        self.by_last_use.clear();
    }

    fn evict_for_missed(&mut self, missed: u64) {
        if missed >= self.last_use.len() as u64 {
            return self.clear();
        }
        for _ in 0..missed {
            self.evict_lru();
        }
    }

    fn evict_lru(&mut self) {
        if let Some((_, block)) = self.by_last_use.pop_first() {
            self.last_use.remove(&block);
        }
    }

    fn remove(&mut self, block: u64) {
        if let Some(used) = self.last_use.remove(&block) {
            self.by_last_use.remove(&used);
        }
    }
}

#[cfg(test)]
mod tests;

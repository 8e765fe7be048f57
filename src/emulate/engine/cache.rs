//! The prefix cache of an emulated engine.

use std::collections::BTreeMap;

/// Prefix cache that evicts the least recently used block.
#[derive(Default)]
pub(super) struct Cache {
    // Counter value of the last use of each block.
    last_uses: BTreeMap<u64, u64>,
    // Invariant: exactly the inverse of `last_uses`.
    by_last_use: BTreeMap<u64, u64>,
    // Number of uses of all blocks.
    use_counter: u64,
}

impl Cache {
    /// Marks a block as used and stores it if it is not cached; returns whether it was cached.
    pub(super) fn insert(&mut self, block: u64) -> bool {
        self.use_counter += 1;
        let previous_use = self.last_uses.insert(block, self.use_counter);
        if let Some(previous_use) = previous_use {
            self.by_last_use.remove(&previous_use);
        }
        self.by_last_use.insert(self.use_counter, block);
        previous_use.is_some()
    }

    /// Evicts the least recently used block if the cache holds more than `limit` blocks.
    pub(super) fn evict(&mut self, limit: usize) -> Option<u64> {
        if self.last_uses.len() <= limit {
            return None;
        }
        let (_, block) = self.by_last_use.pop_first()?;
        self.last_uses.remove(&block);
        Some(block)
    }
}

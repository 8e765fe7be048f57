//! The prefix cache of an emulated engine.

use std::collections::BTreeMap;

/// Least recently used cache of prefix blocks.
#[derive(Default)]
pub(super) struct Cache {
    // Invariant: `by_use` holds exactly the inverse of `uses`.
    uses: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    pub(super) fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let old = self.uses.insert(block, self.clock);
        if let Some(old) = old {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.clock, block);
        old.is_some()
    }

    pub(super) fn evict(&mut self, limit: usize) -> Option<u64> {
        if self.uses.len() <= limit {
            return None;
        }
        let (_, block) = self.by_use.pop_first()?;
        self.uses.remove(&block);
        Some(block)
    }
}

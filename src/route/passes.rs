//! Parts of prompts that an engine has begun to write a response to and survived.

use std::collections::BTreeMap;
use std::time::Instant;

use super::losses::Finder;
use super::prompt::PartHash;

/// Number of parts that passed in one generation of the memory. Two generations are kept: at 66
/// requests a second with three parts each, those of the last 20 to 40 s.
const PASSES_MAX: usize = 4096;

/// Last pass of each part. The older generation is dropped when the newer one is full.
#[derive(Debug, Default)]
pub(super) struct Passes {
    newer: BTreeMap<PartHash, (Instant, Finder)>,
    older: BTreeMap<PartHash, (Instant, Finder)>,
}

impl Passes {
    pub(super) fn record(&mut self, part: PartHash, at: Instant, finder: Finder) {
        if self.last(part).is_some_and(|known| known >= at) {
            return;
        }
        if self.newer.len() >= PASSES_MAX {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part, (at, finder));
    }

    pub(super) fn get(&self, part: PartHash) -> Option<(Instant, Finder)> {
        let newer = self.newer.get(&part);
        newer.or_else(|| self.older.get(&part)).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    pub(super) fn last(&self, part: PartHash) -> Option<Instant> {
        self.get(part).map(|(at, _)| at)
    }
}

//! The last changes of registrations, for hosts that follow this one.

use std::collections::{BTreeSet, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::registry::Registration;

/// Changes that are remembered.
const CHANGES_MAX: usize = 4096;

/// Changes of registrations that a follower takes over.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Number of the last change.
    pub at: u64,
    /// Whether these are all registrations, and not those that changed.
    pub is_whole: bool,
    /// What is registered.
    pub registered: Vec<Registration>,
    /// Ids of engines that are gone.
    pub gone: Vec<CompactString>,
}

/// Ids of engines in the order of their changes.
#[derive(Debug, Default)]
pub struct History {
    // Invariant: the newest has the number `last`, each one before it a number less by one.
    ids: VecDeque<CompactString>,
    last: u64,
}

impl History {
    /// Notes a change of the engine `id`.
    pub fn push(&mut self, id: CompactString) {
        self.last += 1;
        self.ids.push_back(id);
        if self.ids.len() > CHANGES_MAX {
            self.ids.pop_front();
        }
    }

    /// Returns the number of the last change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns what changed after the change `from`; `None` if that is not known any more.
    pub fn since(&self, from: u64) -> Option<BTreeSet<&CompactString>> {
        let oldest = self.last - self.ids.len() as u64;
        let is_known = (oldest..=self.last).contains(&from);
        is_known.then(|| self.ids.iter().skip((from - oldest) as usize).collect())
    }
}

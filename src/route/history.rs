//! Recent changes of engine registrations, from which followers bring their own registry up to
//! date.
//!
//! A follower is a host that reads the engines from this host instead of from the store. Changes
//! are numbered from 1.

use std::collections::{BTreeSet, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::registry::Registration;

/// Maximum number of changes kept. A follower that missed more gets all registrations.
const CHANGES_MAX: usize = 4096;

/// An engine that the store no longer lists after an outage, and that stays in use until it would
/// have renewed its entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lapse {
    /// Id of the engine.
    pub id: CompactString,
    /// Time in milliseconds for which it stays in use.
    pub left_ms: u64,
}

/// Changes that a follower applies to its registry.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Changes {
    /// Number of the last change.
    pub at: u64,
    /// Whether `registered` holds all registrations; otherwise only those that changed.
    pub is_whole: bool,
    /// Registrations that are new or changed, or all of them, without those in `lapsing`.
    pub registered: Vec<Registration>,
    /// Engines whose entries lapsed, or that left while the sender did not reach the store. A
    /// follower that reached it through another host may know that they left, so it keeps those
    /// that it still has and adds none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub lapsing: Vec<Lapse>,
    /// Ids of engines that were removed. Empty if `is_whole`.
    pub gone: Vec<CompactString>,
}

/// Ids of the engines that changed, oldest change first.
#[derive(Debug, Default)]
pub struct History {
    // Invariant: the last element is change number `last`, and the numbers before it are
    // consecutive.
    ids: VecDeque<CompactString>,
    last: u64,
}

impl History {
    /// Records a change of the engine `id`.
    pub fn push(&mut self, id: CompactString) {
        self.last += 1;
        self.ids.push_back(id);
        if self.ids.len() > CHANGES_MAX {
            self.ids.pop_front();
        }
    }

    /// Returns the number of the last change, 0 if there was none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the ids that changed after change number `from`, or `None` if some of these changes
    /// are no longer kept or `from` is a number that was not given yet.
    pub fn since(&self, from: u64) -> Option<BTreeSet<&CompactString>> {
        let oldest = self.last - self.ids.len() as u64;
        let is_known = (oldest..=self.last).contains(&from);
        is_known.then(|| self.ids.iter().skip((from - oldest) as usize).collect())
    }
}

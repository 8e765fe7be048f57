//! Engines whose entries the store removed a moment ago, as the hosts tell each other.
//!
//! After a cut between one host and the store, an entry that is missing may have lapsed because the
//! store was away, or the store may have removed it. A host that watched the store meanwhile knows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::route::load::EngineHash;

/// Time for which a removal is reported. It covers a cut of some seconds and the watch that may have to
/// time out before the cut is noticed.
const REPORTED_FOR: Duration = Duration::from_secs(12);

/// Maximum number of removals in one report, which bounds its size.
pub const REPORTED_MAX: usize = 40;

/// The removals that this host has been told by the store.
#[derive(Debug, Default)]
pub struct Removals {
    by_engine: BTreeMap<EngineHash, Instant>,
}

impl Removals {
    /// Records that the store told of a removal at `at`.
    pub fn record(&mut self, engine: EngineHash, at: Instant) {
        self.by_engine
            .retain(|_, known_at| at.duration_since(*known_at) < REPORTED_FOR);
        self.by_engine.insert(engine, at);
    }

    /// Drops the removal of an engine that is registered again.
    pub fn cancel(&mut self, engine: EngineHash) {
        self.by_engine.remove(&engine);
    }

    /// Drops all removals, as the store came back from an older copy.
    pub fn clear(&mut self) {
        self.by_engine.clear();
    }

    /// Returns the removals to report, the latest ones if there are too many.
    pub fn to_report(&self, now: Instant) -> Vec<EngineHash> {
        let recent = self
            .by_engine
            .iter()
            .filter(|(_, at)| now.duration_since(**at) < REPORTED_FOR);
        let mut recent: Vec<_> = recent.map(|(engine, at)| (*at, *engine)).collect();
        recent.sort_unstable_by(|a, b| b.cmp(a));
        recent.truncate(REPORTED_MAX);
        recent.into_iter().map(|(_, engine)| engine).collect()
    }
}

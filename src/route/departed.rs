//! Engines that were removed, and that an older copy of the store may list again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::registry::Registration;

/// Time for which a removal is kept. The store comes back from a copy that is some seconds old.
const REMOVAL_TTL: Duration = Duration::from_secs(60);

/// Time for which a listed engine is withheld at most. The store drops the entry of an engine that
/// left after three heartbeats of silence; one that is still listed then runs.
const WITHHELD_MAX: Duration = Duration::from_secs(10);

/// Removed engines, by the era of the store in which they were removed, and those of them that are
/// listed again.
#[derive(Debug, Default)]
pub struct Departed {
    // The last removal under each id in the current era, and in earlier ones.
    current: BTreeMap<CompactString, Removal>,
    earlier: BTreeMap<CompactString, Removal>,
    // Registrations that were listed again, and when they are used again.
    withheld: BTreeMap<CompactString, (Registration, Instant)>,
}

/// Removal of an incarnation of an engine.
#[derive(Clone, Debug)]
struct Removal {
    started_ms: u64,
    address: CompactString,
    at: Instant,
}

impl Removal {
    /// Returns whether this incarnation was removed.
    fn is_of(&self, registration: &Registration) -> bool {
        self.started_ms == registration.started_ms && self.address == registration.address
    }
}

impl Departed {
    /// Records that an engine was removed in the current era.
    pub fn record(&mut self, removed: &Registration, now: Instant) {
        let removal = Removal {
            started_ms: removed.started_ms,
            address: removed.address.clone(),
            at: now,
        };
        // No copy of the store is older than that.
        self.current
            .retain(|_, removal| now.duration_since(removal.at) < REMOVAL_TTL);
        self.current.insert(removed.id.clone(), removal);
    }

    /// Returns the number of removals that are kept.
    pub fn len(&self) -> usize {
        self.current.len() + self.earlier.len()
    }

    /// Returns whether no removal is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that the store no longer lists an engine.
    pub fn withdraw(&mut self, id: &str) {
        self.withheld.remove(id);
    }

    /// Begins a new era: all removals so far may be missing in the store.
    pub fn begin_era(&mut self, now: Instant) {
        // The store measures the silence of engines anew.
        self.withheld.clear();
        self.earlier.append(&mut self.current);
        self.earlier
            .retain(|_, removal| now.duration_since(removal.at) < REMOVAL_TTL);
    }

    /// Returns whether a listed engine is to be left out, as this incarnation was removed in an earlier
    /// era.
    pub fn withhold(&mut self, listed: &Registration, now: Instant) -> bool {
        let removal = self.earlier.get(&listed.id);
        if !removal.is_some_and(|removal| removal.is_of(listed)) {
            return false;
        }
        let known = self.withheld.remove(&listed.id);
        let until = known.map_or(now + WITHHELD_MAX, |(_, until)| until);
        self.withheld
            .insert(listed.id.clone(), (listed.clone(), until));
        true
    }

    /// Records that an incarnation of an engine is used, so that it counts as removed no longer.
    pub fn readmit(&mut self, used: &Registration) {
        self.withheld.remove(&used.id);
        for removals in [&mut self.current, &mut self.earlier] {
            if removals
                .get(&used.id)
                .is_some_and(|removal| removal.is_of(used))
            {
                removals.remove(&used.id);
            }
        }
    }

    /// Keeps only those withheld engines that `is_listed`.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&CompactString) -> bool) {
        self.withheld.retain(|id, _| is_listed(id));
    }

    /// Returns the engines that the store still listed at `confirmed_at` after they were withheld for the
    /// longest time. They are used again.
    pub fn take_due(&mut self, confirmed_at: Instant) -> Vec<Registration> {
        let is_due = |until: &Instant| *until <= confirmed_at;
        let due = self.withheld.values().filter(|(_, until)| is_due(until));
        let due: Vec<_> = due.map(|(registration, _)| registration.clone()).collect();
        self.withheld.retain(|_, (_, until)| !is_due(until));
        due
    }
}

//! Engines that said in an answer that they leave.
//!
//! This host sends them no further request, although the store may list them as available: the host
//! may be cut off from it, or may read an older entry. Other hosts are not told, as each of them hears
//! it with its first answer and must not take the word of a host for that of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{Engine, Incarnation, Registry};
use crate::clock::Clock;

/// Time for which an engine that is not registered is remembered, in case an older list brings its
/// entry back.
const REMEMBERED_FOR: Duration = Duration::from_secs(3600);

/// The engines that said that they leave, and when each was first heard.
#[derive(Debug, Default)]
pub(super) struct Leaving(BTreeMap<Incarnation, Instant>);

impl Leaving {
    pub(super) fn contains(&self, incarnation: Incarnation) -> bool {
        self.0.contains_key(&incarnation)
    }

    /// Adds an engine; returns whether it was not known.
    fn insert(&mut self, incarnation: Incarnation, now: Instant) -> bool {
        let known = self.0.len();
        self.0.entry(incarnation).or_insert(now);
        self.0.len() > known
    }

    /// Drops engines that are not in `registered` and were first heard long ago.
    fn expire(&mut self, registered: &BTreeSet<Incarnation>, now: Instant) {
        self.0.retain(|incarnation, at| {
            registered.contains(incarnation) || now.duration_since(*at) < REMEMBERED_FOR
        });
    }
}

impl<C: Clock> Registry<C> {
    /// Records that an engine said that it leaves; returns whether that is new.
    pub fn set_leaving(&mut self, engine: Engine) -> bool {
        let Some(state) = self.engines.get(engine) else {
            return false;
        };
        let now = self.clock.now();
        let is_new = self.leaving.insert(state.incarnation, now);
        if is_new {
            let registered = self.incarnations();
            self.leaving.expire(&registered, now);
        }
        is_new
    }
}

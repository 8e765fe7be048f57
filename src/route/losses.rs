//! Engines that were lost a moment ago, as the hosts tell each other.
//!
//! A lost engine has no load, so every host would choose it until it finds out for itself. With the
//! reports one failed attempt is enough for all hosts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::route::load::EngineHash;

/// Time for which a loss is reported. An engine that restarts after it has a new registration.
const REPORTED_FOR: Duration = Duration::from_millis(1500);

/// Difference of the times of two reports from which they count as two losses. The time of a loss
/// is known only up to the delay of the reports.
const REPEAT_AFTER: Duration = Duration::from_millis(500);

/// Maximum number of losses in one report, which bounds its size.
const REPORTED_MAX: usize = 40;

/// A lost engine in a report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loss {
    /// The engine.
    pub engine: EngineHash,
    /// Time since the loss in milliseconds.
    pub age_ms: u16,
}

/// Who found out about a loss; decides to whom this host reports it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Finder {
    /// This host.
    Own,
    /// A host that reports to this one directly.
    Peer,
    /// A host of another failure domain, by a summary.
    Remote,
}

/// The losses of the last moments.
#[derive(Debug, Default)]
pub struct Losses {
    // Last loss of each engine.
    by_engine: BTreeMap<EngineHash, (Instant, Finder)>,
    own_version: u64,
    joint_version: u64,
}

impl Losses {
    /// Records a loss at `at`; returns whether it was not known yet.
    pub fn record(&mut self, engine: EngineHash, at: Instant, finder: Finder) -> bool {
        if let Some((known_at, _)) = self.by_engine.get(&engine)
            && at < *known_at + REPEAT_AFTER
        {
            return false;
        }
        self.by_engine.insert(engine, (at, finder));
        self.own_version += u64::from(finder == Finder::Own);
        self.joint_version += u64::from(finder != Finder::Remote);
        true
    }

    /// Drops the loss of an engine that answered since.
    pub fn remove(&mut self, engine: EngineHash) {
        self.by_engine.remove(&engine);
    }

    /// Drops the losses that are no longer reported.
    pub fn expire(&mut self, now: Instant) {
        self.by_engine
            .retain(|_, (at, _)| now.duration_since(*at) < REPORTED_FOR);
    }

    /// Returns a number that grows with each loss that this host found, and one that grows with
    /// each that it or a host that reports to it found.
    pub fn versions(&self) -> (u64, u64) {
        (self.own_version, self.joint_version)
    }

    /// Returns the losses that this host found.
    pub fn own(&self, now: Instant) -> Vec<Loss> {
        self.found_by(Finder::Own, now)
    }

    /// Returns the losses that this host and those that report to it found.
    pub fn joint(&self, now: Instant) -> Vec<Loss> {
        self.found_by(Finder::Peer, now)
    }

    /// Returns the engines that were lost after `from`.
    pub fn since(&self, from: Instant) -> impl Iterator<Item = EngineHash> {
        let losses = self.by_engine.iter();
        losses
            .filter(move |(_, (at, _))| *at > from)
            .map(|(engine, _)| *engine)
    }

    fn found_by(&self, last: Finder, now: Instant) -> Vec<Loss> {
        let losses = self.by_engine.iter();
        let found = losses
            .filter(|(_, (at, finder))| *finder <= last && now.duration_since(*at) < REPORTED_FOR);
        found
            .take(REPORTED_MAX)
            .map(|(engine, (at, _))| Loss {
                engine: *engine,
                age_ms: now.duration_since(*at).as_millis() as u16,
            })
            .collect()
    }
}

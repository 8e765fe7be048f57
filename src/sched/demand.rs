//! What hosts send to services with few slots, and how long the engines take to answer.
//!
//! Each host reports to the others what it counted since its last report. It does not report sums over a
//! sliding window: a report follows a change, so overlapping windows would count that change several times.

use std::collections::BTreeMap;
use std::ops::{AddAssign, Bound};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::retry::Service;
use crate::route::load::EngineHash;
use crate::util::hash64;

/// Maximum number of entries of each kind in one report, which keeps it within a datagram; the others follow
/// in the next one.
pub const ENTRIES_MAX: usize = 10;

/// Class of a request. The lowest class is admitted first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Class {
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Whether the response cannot be within the target latency any more.
    pub is_late: bool,
    /// Whether the request may run more than once, so that its caller can repeat it after any failure.
    pub is_repeatable: bool,
}

impl Class {
    /// Creates a class.
    pub fn new(rank: u8, is_late: bool, is_repeatable: bool) -> Self {
        Self {
            rank,
            is_late,
            is_repeatable,
        }
    }
}

/// Hash of a team's name, which keeps reports small. Teams with the same hash share their part.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Team(u32);

impl Team {
    /// Requests without a team, and those of several teams in a summary.
    pub const NONE: Self = Self(0);

    /// Returns the hash of the team `name`.
    pub fn of(name: Option<&str>) -> Self {
        name.map_or(Self::NONE, |name| {
            Self((hash64(&[name.as_bytes()]) as u32).max(1))
        })
    }
}

/// New requests since the last report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Arrivals {
    /// The service.
    pub service: Service,
    /// Class of the requests.
    pub class: Class,
    /// Team of the callers.
    pub team: Team,
    /// Number of requests.
    pub count: u32,
}

/// Number of answers and the time that they took.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answered {
    /// Number of answers.
    pub count: u32,
    /// Sum of the times from the begin of the attempt to the answer in microseconds.
    pub time_us: u64,
}

impl Answered {
    /// One answer that took `taken`.
    pub fn one(taken: Duration) -> Self {
        Self {
            count: 1,
            time_us: u64::try_from(taken.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

impl AddAssign for Answered {
    fn add_assign(&mut self, other: Self) {
        self.count = self.count.saturating_add(other.count);
        self.time_us = self.time_us.saturating_add(other.time_us);
    }
}

/// Answers of an engine since the last report.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answers {
    /// The service.
    pub service: Service,
    /// The engine.
    pub engine: EngineHash,
    /// Its answers.
    pub answered: Answered,
}

/// What one host or several counted since their last report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// New requests.
    pub arrivals: Vec<Arrivals>,
    /// Answers of engines.
    pub answers: Vec<Answers>,
}

/// Counts that were not reported yet.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    arrivals: BTreeMap<(Service, Class, Team), u32>,
    answers: BTreeMap<(Service, EngineHash), Answered>,
    // The last of each that was taken, so that all are taken in turn.
    last_arrivals: Option<(Service, Class, Team)>,
    last_answers: Option<(Service, EngineHash)>,
}

impl Tally {
    /// Adds requests.
    pub fn add_arrivals(&mut self, arrivals: Arrivals) {
        let key = (arrivals.service, arrivals.class, arrivals.team);
        let count = self.arrivals.entry(key).or_default();
        *count = count.saturating_add(arrivals.count);
    }

    /// Adds answers.
    pub fn add_answers(&mut self, answers: Answers) {
        let key = (answers.service, answers.engine);
        *self.answers.entry(key).or_default() += answers.answered;
    }

    /// Takes as many counts as a report can hold.
    pub fn take(&mut self) -> Counts {
        let arrivals = take_in_turn(&mut self.arrivals, &mut self.last_arrivals).into_iter();
        let arrivals = arrivals.map(|((service, class, team), count)| Arrivals {
            service,
            class,
            team,
            count,
        });
        let answers = take_in_turn(&mut self.answers, &mut self.last_answers).into_iter();
        let answers = answers.map(|((service, engine), answered)| Answers {
            service,
            engine,
            answered,
        });
        Counts {
            arrivals: arrivals.collect(),
            answers: answers.collect(),
        }
    }

    /// Forgets what was counted.
    pub fn clear(&mut self) {
        self.arrivals.clear();
        self.answers.clear();
    }
}

/// Takes the entries that follow the key `last`, and then those from the first on, as many as a report can
/// hold.
fn take_in_turn<K: Copy + Ord, V>(
    counts: &mut BTreeMap<K, V>,
    last: &mut Option<K>,
) -> Vec<(K, V)> {
    let first = last.map_or(Bound::Unbounded, Bound::Excluded);
    let after = counts.range((first, Bound::Unbounded));
    let until = last.map_or(Bound::Unbounded, Bound::Included);
    let before = counts.range((Bound::Unbounded, until));
    let in_turn = after.chain(before).map(|(key, _)| *key);
    let keys: Vec<K> = in_turn.take(counts.len().min(ENTRIES_MAX)).collect();
    *last = keys.last().copied().or(*last);
    let taken = keys.into_iter();
    taken.filter_map(|key| counts.remove_entry(&key)).collect()
}

#[cfg(test)]
mod tests;

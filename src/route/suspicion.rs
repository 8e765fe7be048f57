//! Crashes of engines, and how many separate ones have a part of a prompt in common.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::evidence::{Certainty, DomainHash};
use super::losses::Finder;
use super::prompt::{PartHash, RequestHash};
use crate::route::load::EngineHash;

/// Ends of engines in one failure domain within this time count as one crash.
const EVENT_WINDOW: Duration = Duration::from_millis(500);

/// Difference up to which two hosts' times of the end of one engine are the same event.
const SAME_END_WITHIN: Duration = Duration::from_secs(1);

/// Separate crashes from which a part is blocked. The third makes coincidence improbable: engines that
/// fail for other reasons rarely have a request at its beginning, and other requests with a sound
/// part pass in between.
pub const EVENTS_MIN: usize = 3;

/// Different requests that these crashes must have in common. All parts of a single request that is
/// retried would be equally suspect.
pub const REQUESTS_MIN: usize = 2;

/// Separate crashes from which a part is blocked if some of them are only possible. These are more
/// frequent: connections fail, and many requests wait at an engine that ends for another reason.
const POSSIBLE_EVENTS_MIN: usize = 4;

/// Different requests that these crashes must have in common.
const POSSIBLE_REQUESTS_MIN: usize = 3;

/// A crash as this host knows it.
#[derive(Clone, Debug)]
pub(super) struct KnownCrash {
    pub(super) engine: EngineHash,
    pub(super) domain: DomainHash,
    pub(super) request: RequestHash,
    pub(super) parts: Vec<PartHash>,
    pub(super) certainty: Certainty,
    pub(super) at: Instant,
    pub(super) finder: Finder,
}

impl KnownCrash {
    pub(super) fn has_all(&self, parts: &[PartHash]) -> bool {
        parts.iter().all(|part| self.parts.contains(part))
    }

    /// Returns whether an end of its engine at `at` is the same event.
    pub(super) fn is_end_at(&self, at: Instant) -> bool {
        let (first, last) = (self.at.min(at), self.at.max(at));
        last.duration_since(first) < SAME_END_WITHIN
    }
}

/// Evidence against one part.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    // Certain crashes, and the requests that ran into them.
    ends: Vec<(DomainHash, Instant)>,
    requests: BTreeSet<RequestHash>,
    // The same of all crashes, possible ones included.
    all_ends: Vec<Instant>,
    all_requests: BTreeSet<RequestHash>,
    // Parts that all these crashes have in common.
    pub(super) common: Option<BTreeSet<PartHash>>,
}

impl Suspicion {
    pub(super) fn add(&mut self, crash: &KnownCrash) {
        if crash.certainty == Certainty::Certain {
            self.ends.push((crash.domain, crash.at));
            self.requests.insert(crash.request);
        }
        self.all_ends.push(crash.at);
        self.all_requests.insert(crash.request);
        let parts: BTreeSet<_> = crash.parts.iter().copied().collect();
        self.common = Some(match self.common.take() {
            Some(common) => &common & &parts,
            None => parts,
        });
    }

    pub(super) fn last_at(&self) -> Option<Instant> {
        self.all_ends.iter().copied().max()
    }

    pub(super) fn first_at(&self) -> Option<Instant> {
        self.all_ends.iter().copied().min()
    }

    /// Returns the number of separate crashes that are certain.
    pub(super) fn events(&self) -> usize {
        count_events(self.ends.clone())
    }

    /// Returns the number of separate crashes, also possible ones.
    pub(super) fn all_events(&self) -> usize {
        count_moments(self.all_ends.clone())
    }

    /// Returns whether there is enough evidence for a block.
    pub(super) fn is_enough(&self) -> bool {
        let is_certain = self.events() >= EVENTS_MIN && self.requests.len() >= REQUESTS_MIN;
        let is_probable = self.all_events() >= POSSIBLE_EVENTS_MIN
            && self.all_requests.len() >= POSSIBLE_REQUESTS_MIN;
        is_certain || is_probable
    }
}

/// Counts ends of engines, those close together as one: a fault of the network breaks connections to
/// all failure domains.
fn count_moments(mut ends: Vec<Instant>) -> usize {
    ends.sort();
    let mut count = 0;
    let mut first: Option<Instant> = None;
    for at in ends {
        if first.is_none_or(|first| at.duration_since(first) >= EVENT_WINDOW) {
            count += 1;
            first = Some(at);
        }
    }
    count
}

/// Counts ends of engines, those close together in one failure domain as one.
pub(super) fn count_events(mut ends: Vec<(DomainHash, Instant)>) -> usize {
    ends.sort();
    let mut count = 0;
    let mut first: Option<(DomainHash, Instant)> = None;
    for (domain, at) in ends {
        let is_same = first.is_some_and(|(first_domain, first_at)| {
            first_domain == domain && at.duration_since(first_at) < EVENT_WINDOW
        });
        if !is_same {
            count += 1;
            first = Some((domain, at));
        }
    }
    count
}

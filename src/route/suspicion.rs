//! Crashes of engines, and how many separate ones have a part of a prompt in common.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::evidence::DomainHash;
use super::losses::Finder;
use super::prompt::{PartHash, RequestHash};
use crate::route::load::EngineHash;

/// Ends of engines in one failure domain within this time count as one crash.
const EVENT_WINDOW: Duration = Duration::from_millis(500);

/// Difference up to which two hosts' times of the end of one engine are the same event.
const SAME_END_WITHIN: Duration = Duration::from_secs(1);

/// A crash as this host knows it.
#[derive(Clone, Debug)]
pub(super) struct KnownCrash {
    pub(super) engine: EngineHash,
    pub(super) domain: DomainHash,
    pub(super) request: RequestHash,
    pub(super) parts: Vec<PartHash>,
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
    pub(super) ends: Vec<(DomainHash, Instant)>,
    pub(super) requests: BTreeSet<RequestHash>,
    // Parts that all these crashes have in common.
    pub(super) common: Option<BTreeSet<PartHash>>,
}

impl Suspicion {
    pub(super) fn add(&mut self, crash: &KnownCrash) {
        self.ends.push((crash.domain, crash.at));
        self.requests.insert(crash.request);
        let parts: BTreeSet<_> = crash.parts.iter().copied().collect();
        self.common = Some(match self.common.take() {
            Some(common) => &common & &parts,
            None => parts,
        });
    }

    pub(super) fn last_at(&self) -> Option<Instant> {
        self.ends.iter().map(|(_, at)| *at).max()
    }

    pub(super) fn first_at(&self) -> Option<Instant> {
        self.ends.iter().map(|(_, at)| *at).min()
    }
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

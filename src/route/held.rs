//! What engines probably hold of prompts in their prefix caches, by the requests that the hosts sent them.
//!
//! An engine reads a part of a prompt again unless it holds all parts up to it, so what it holds is
//! described by beginnings of prompts. The least recently used ones yield to new prompts.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::load::EngineHash;
use crate::util::hash64;

/// Maximum number of beginnings of a prompt that are remembered. Of longer lists of parts, the first
/// ones count, which more prompts share.
pub const PREFIXES_MAX: usize = 8;

/// Maximum number of beginnings remembered for one engine, which bounds the memory of a host.
const ENTRIES_MAX: usize = 64;

/// Upper bound on the time after its last use for which an engine is assumed to hold a beginning. Engines that
/// read much evict it earlier, see [`Held::tokens`].
const BELIEF_MAX: Duration = Duration::from_secs(30);

/// Maximum number of beginnings in the report of a host, which keeps it within a datagram.
pub const REPORTED_MAX: usize = 16;

/// Maximum number of beginnings in the summary of a failure domain, which keeps it within a datagram.
pub const SUMMARIZED_MAX: usize = 14;

/// Hash of the parts of a prompt from the first one on. Two beginnings with the same hash count as
/// one; the engine then has to read more than expected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PrefixHash(u32);

/// A beginning of a prompt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prefix {
    /// The parts.
    pub hash: PrefixHash,
    /// Tokens of all its parts.
    pub tokens: u32,
}

/// Returns the beginnings of a prompt for `model`, from the shortest to the longest, by the ids and
/// tokens of its parts.
pub fn prefixes<'a>(model: &str, parts: impl Iterator<Item = (&'a str, u32)>) -> Vec<Prefix> {
    let mut hash = hash64(&[model.as_bytes()]);
    let mut tokens = 0_u32;
    let ends = parts.map(|(id, length)| {
        hash = hash64(&[&hash.to_le_bytes(), id.as_bytes()]);
        tokens = tokens.saturating_add(length);
        Prefix {
            hash: PrefixHash(hash as u32),
            tokens,
        }
    });
    ends.take(PREFIXES_MAX).collect()
}

/// What one engine probably holds: the last use of each beginning of a prompt.
#[derive(Clone, Debug, Default)]
pub struct Held(BTreeMap<PrefixHash, Instant>);

impl Held {
    /// Records that the engine used a beginning at `used_at`.
    pub fn record(&mut self, prefix: PrefixHash, used_at: Instant) {
        let known = self.0.entry(prefix).or_insert(used_at);
        *known = used_at.max(*known);
        if self.0.len() > ENTRIES_MAX {
            let oldest = self.0.iter().min_by_key(|(_, used_at)| **used_at);
            let oldest = oldest.map(|(hash, _)| *hash);
            oldest.and_then(|hash| self.0.remove(&hash));
        }
    }

    /// Returns how many tokens of a prompt the engine probably holds, by the beginnings that it used
    /// in the time `turnover`, in which it reads as many tokens as it has room for.
    pub fn tokens(&self, prompt: &[Prefix], turnover: Duration, now: Instant) -> u32 {
        let turnover = turnover.min(BELIEF_MAX);
        let is_held = |prefix: &&Prefix| {
            let used_at = self.0.get(&prefix.hash);
            used_at.is_some_and(|at| now.duration_since(*at) < turnover)
        };
        let longest = prompt.iter().take_while(is_held).last();
        longest.map_or(0, |prefix| prefix.tokens)
    }
}

/// A beginning that an engine used, as hosts report it to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// The engine.
    pub engine: EngineHash,
    /// The beginning.
    pub prefix: Prefix,
    /// Time since its last use in milliseconds.
    pub age_ms: u32,
}

/// The latest sightings to report, each with its time. Invariant: at most the given number.
#[derive(Clone, Debug)]
pub struct Sightings {
    latest: VecDeque<(EngineHash, Prefix, Instant)>,
    max: usize,
}

impl Sightings {
    /// Creates an empty list for at most `max` sightings.
    pub fn new(max: usize) -> Self {
        Self {
            latest: VecDeque::new(),
            max,
        }
    }

    /// Adds a sighting, in place of an earlier one of the same beginning on the same engine.
    pub fn record(&mut self, engine: EngineHash, prefix: Prefix, used_at: Instant) {
        let is_same = |known: &(EngineHash, Prefix, Instant)| {
            known.0 == engine && known.1.hash == prefix.hash
        };
        if self
            .latest
            .iter()
            .any(|known| is_same(known) && known.2 >= used_at)
        {
            return;
        }
        self.latest.retain(|known| !is_same(known));
        self.latest.push_back((engine, prefix, used_at));
        if self.latest.len() > self.max {
            self.latest.pop_front();
        }
    }

    /// Returns the sightings that are recent enough to be used.
    pub fn to_report(&self, now: Instant) -> Vec<Sighting> {
        let age = |used_at: Instant| now.duration_since(used_at);
        let recent = self.latest.iter().filter(|known| age(known.2) < BELIEF_MAX);
        recent
            .map(|(engine, prefix, used_at)| Sighting {
                engine: *engine,
                prefix: *prefix,
                age_ms: age(*used_at).as_millis() as u32,
            })
            .collect()
    }
}

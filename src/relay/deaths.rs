//! Counts deaths of engines by the prompt they ran, so that one prompt cannot kill a whole fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::util::hash64;

/// Deaths after which a prompt is refused.
const DEATHS_MAX: u32 = 3;

/// Prompts remembered; the one whose last death is oldest is dropped first.
const PROMPTS_MAX: usize = 1024;

/// Time after its last death in which the deaths of a prompt count.
const COUNT_LIFETIME: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Entry {
    deaths: u32,
    last_death: Instant,
}

/// Deaths of engines by digest of the prompt. An engine that dies counts against every prompt that
/// it ran, so a complete answer clears its prompt.
#[derive(Debug, Default)]
pub struct Deaths(BTreeMap<u64, Entry>);

/// Returns the digest of a prompt and its model.
pub fn prompt_digest(model: &str, prompt: &str) -> u64 {
    hash64(&[model.as_bytes(), prompt.as_bytes()])
}

impl Deaths {
    /// Counts the death of an engine that ran the prompt.
    pub fn record(&mut self, prompt_digest: u64, now: Instant) {
        let deaths = self.count(prompt_digest, now) + 1;
        self.0.insert(
            prompt_digest,
            Entry {
                deaths,
                last_death: now,
            },
        );
        if self.0.len() > PROMPTS_MAX {
            let oldest = self.0.iter().min_by_key(|(_, entry)| entry.last_death);
            if let Some(oldest) = oldest.map(|(prompt_digest, _)| *prompt_digest) {
                self.0.remove(&oldest);
            }
        }
    }

    /// Forgets the deaths of a prompt that was answered completely.
    pub fn clear(&mut self, prompt_digest: u64) {
        self.0.remove(&prompt_digest);
    }

    /// Returns whether one more death reaches the limit. A possible death must then be confirmed or
    /// ruled out before the next attempt.
    pub fn is_suspect(&self, prompt_digest: u64, now: Instant) -> bool {
        self.count(prompt_digest, now) + 1 >= DEATHS_MAX
    }

    /// Returns whether the prompt reached the limit and must be refused.
    pub fn is_killer(&self, prompt_digest: u64, now: Instant) -> bool {
        self.count(prompt_digest, now) >= DEATHS_MAX
    }

    fn count(&self, prompt_digest: u64, now: Instant) -> u32 {
        let entry = self.0.get(&prompt_digest);
        entry
            .filter(|entry| now.duration_since(entry.last_death) < COUNT_LIFETIME)
            .map_or(0, |entry| entry.deaths)
    }
}

#[cfg(test)]
mod tests;

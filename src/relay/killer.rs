//! Prompts with which engines died, so that one prompt cannot take down a fleet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::util::hash64;

/// Deaths after which a prompt is not tried again.
const DEATHS_MAX: u32 = 3;

/// Prompts remembered.
const PROMPTS_MAX: usize = 1024;

/// Time for which a death counts.
const MEMORY: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Entry {
    deaths: u32,
    last: Instant,
}

/// Deaths of engines by digest of the prompt. A prompt that was answered is cleared, because an
/// engine that dies takes the blame to all prompts that it runs.
#[derive(Debug, Default)]
pub struct Killers(BTreeMap<u64, Entry>);

/// Returns the digest of a prompt.
pub fn digest(model: &str, prompt: &str) -> u64 {
    hash64(&[model.as_bytes(), prompt.as_bytes()])
}

impl Killers {
    /// Notes that an engine died while it ran a prompt.
    pub fn died(&mut self, prompt: u64, now: Instant) {
        let deaths = self.deaths(prompt, now) + 1;
        self.0.insert(prompt, Entry { deaths, last: now });
        if self.0.len() > PROMPTS_MAX {
            let oldest = self.0.iter().min_by_key(|(_, entry)| entry.last);
            if let Some(oldest) = oldest.map(|(prompt, _)| *prompt) {
                self.0.remove(&oldest);
            }
        }
    }

    /// Notes that a prompt was answered in full.
    pub fn cleared(&mut self, prompt: u64) {
        self.0.remove(&prompt);
    }

    /// Returns whether the next death would be the last, so that it must be known before another
    /// attempt.
    pub fn is_suspect(&self, prompt: u64, now: Instant) -> bool {
        self.deaths(prompt, now) + 1 >= DEATHS_MAX
    }

    /// Returns whether the prompt must not be tried again.
    pub fn is_killer(&self, prompt: u64, now: Instant) -> bool {
        self.deaths(prompt, now) >= DEATHS_MAX
    }

    fn deaths(&self, prompt: u64, now: Instant) -> u32 {
        let entry = self.0.get(&prompt);
        entry
            .filter(|entry| now.duration_since(entry.last) < MEMORY)
            .map_or(0, |entry| entry.deaths)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a prompt that is never given up, blamed for good, or remembered without
    /// bound.
    #[test]
    fn counts_by_prompt_and_forgets() {
        let mut killers = Killers::default();
        let now = Instant::now();
        for _ in 0..2 {
            killers.died(1, now);
        }
        assert!(killers.is_suspect(1, now) && !killers.is_killer(1, now));
        killers.died(1, now);
        assert!(killers.is_killer(1, now) && !killers.is_killer(2, now));
        assert!(!killers.is_killer(1, now + MEMORY));
        killers.cleared(1);
        assert!(!killers.is_killer(1, now));
        for prompt in 0..2 * PROMPTS_MAX as u64 {
            killers.died(prompt, now + Duration::from_millis(prompt));
        }
        assert_eq!(killers.0.len(), PROMPTS_MAX);
    }
}

//! Average time between tokens of each engine, and the length of silence that is normal for it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::route::fleet::Engine;

/// An engine is probed after a silence of this multiple of its average gap.
const SILENCE_GAPS: u32 = 6;

/// Lower bound of the silence before a probe. It is low because a probe costs one small request,
/// while an engine behind a dead connection keeps decoding tokens that must be decoded again.
const SILENCE_MIN: Duration = Duration::from_millis(60);

/// Upper bound of the silence before a probe, and its value for engines without an average yet.
pub const SILENCE_MAX: Duration = Duration::from_secs(1);

/// A new gap has a weight of 1 / `SMOOTHING` in the moving average.
const SMOOTHING: u32 = 16;

/// Engines remembered; a router uses at most 64 of each model.
const ENGINES_MAX: usize = 1024;

/// Exponential moving average of the time between tokens, by engine.
#[derive(Debug, Default)]
pub struct Pace(BTreeMap<Engine, Duration>);

impl Pace {
    /// Adds the time per token between two frames of one stream.
    pub fn observe(&mut self, engine: Engine, gap: Duration) {
        if self.0.len() >= ENGINES_MAX && !self.0.contains_key(&engine) {
            self.0.pop_first();
        }
        let average = self.0.entry(engine).or_insert(gap);
        *average = (*average * (SMOOTHING - 1) + gap) / SMOOTHING;
    }

    /// Returns the average time between tokens, if any was observed.
    pub fn average_gap(&self, engine: Engine) -> Option<Duration> {
        self.0.get(&engine).copied()
    }

    /// Returns the time without a frame after which an engine is probed.
    pub fn silence_limit(&self, engine: Engine) -> Duration {
        self.average_gap(engine).map_or(SILENCE_MAX, |gap| {
            (gap * SILENCE_GAPS).clamp(SILENCE_MIN, SILENCE_MAX)
        })
    }
}

#[cfg(test)]
mod tests;

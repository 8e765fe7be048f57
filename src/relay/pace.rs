//! Time between the tokens of each engine, from which follows how long its silence is normal.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::route::fleet::Engine;

/// Silence is suspect after this multiple of the usual gap.
const GAPS: u32 = 8;

/// Shortest silence that is suspect. A suspicion costs one small request, so the floor can be a
/// fraction of the 2 s in which a silent generation has to go on.
const FLOOR: Duration = Duration::from_millis(100);

/// Longest silence that is not suspect, and the limit for an engine whose pace is not known.
pub const CEILING: Duration = Duration::from_secs(1);

/// Weight of a new gap in the moving average is one part in so many.
const WEIGHT: u32 = 16;

/// Engines remembered; a router uses at most 64 of each model.
const ENGINES_MAX: usize = 1024;

/// Moving averages of the time between tokens.
#[derive(Debug, Default)]
pub struct Pace(BTreeMap<Engine, Duration>);

impl Pace {
    /// Notes the time between two frames of one stream.
    pub fn observe(&mut self, engine: Engine, gap: Duration) {
        if self.0.len() >= ENGINES_MAX && !self.0.contains_key(&engine) {
            self.0.pop_first();
        }
        let average = self.0.entry(engine).or_insert(gap);
        *average = (*average * (WEIGHT - 1) + gap) / WEIGHT;
    }

    /// Returns the usual time between tokens, if known.
    pub fn gap(&self, engine: Engine) -> Option<Duration> {
        self.0.get(&engine).copied()
    }

    /// Returns the time without a frame after which an engine is asked.
    pub fn limit(&self, engine: Engine) -> Duration {
        self.gap(engine)
            .map_or(CEILING, |gap| (gap * GAPS).clamp(FLOOR, CEILING))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against one pace for all engines, and against limits outside of floor and ceiling.
    #[test]
    fn limit_follows_the_engine() {
        let engine = |number| Engine::from(slotmap::KeyData::from_ffi(number));
        let mut pace = Pace::default();
        for _ in 0..100 {
            pace.observe(engine(1), Duration::from_millis(1));
            pace.observe(engine(2), Duration::from_millis(50));
            pace.observe(engine(3), Duration::from_millis(1500));
        }
        assert_eq!(pace.limit(engine(1)), FLOOR);
        assert_eq!(pace.limit(engine(2)), Duration::from_millis(400));
        assert_eq!(pace.limit(engine(3)), CEILING);
        assert_eq!(pace.limit(engine(4)), CEILING);
    }
}

//! Concurrency limit of this host for each engine.
//!
//! Additive increase and multiplicative decrease, controlled by the time between tokens relative to
//! its target. If the ranks differ, the one that exceeds its target most decides.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::clock::Clock;
use crate::route::fleet::Engine;
use crate::wire::Rank;

/// Time between two changes of a limit; about ten tokens of a stream, so that the effect of a change
/// is measured before the next one.
const ADJUST_INTERVAL: Duration = Duration::from_millis(400);

/// Factor by which a limit is decreased.
const DECREASE_FACTOR: f64 = 0.7;

#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    // Sum of the times between tokens, each divided by its target.
    ratio_sum: f64,
    count: u32,
}

#[derive(Debug)]
struct State {
    limit: f64,
    samples: [Sample; 2],
    changed_at: Instant,
}

/// Concurrency limits of all engines.
#[derive(Debug)]
pub struct Limits<C: Clock> {
    clock: C,
    engines: SecondaryMap<Engine, State>,
}

/// Use of an engine at the time of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Number of streams that this host runs on the engine.
    pub own: u32,
    /// Greatest number of streams in the engine's batch.
    pub slots: u32,
}

impl<C: Clock> Limits<C> {
    /// Creates an empty set; the limit of an engine starts at its number of slots.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            engines: SecondaryMap::new(),
        }
    }

    /// Records a measured time between tokens; returns the new limit once per interval.
    pub fn observe(
        &mut self,
        engine: Engine,
        rank: Rank,
        gap: Duration,
        target: Duration,
        usage: Usage,
    ) -> Option<u32> {
        let now = self.clock.now();
        let slots = f64::from(usage.slots.max(1));
        let state = self.engines.entry(engine)?.or_insert(State {
            limit: slots,
            samples: [Sample::default(); 2],
            changed_at: now,
        });
        let sample = &mut state.samples[rank as usize];
        sample.ratio_sum += gap.as_secs_f64() / target.as_secs_f64().max(1e-3);
        sample.count += 1;
        if now.duration_since(state.changed_at) < ADJUST_INTERVAL {
            return None;
        }
        state.changed_at = now;
        let samples = std::mem::take(&mut state.samples);
        let means = samples.iter().filter(|sample| sample.count > 0);
        let worst_ratio = means
            .map(|sample| sample.ratio_sum / f64::from(sample.count))
            .fold(0.0, f64::max);
        let own = f64::from(usage.own);
        if worst_ratio > 1.0 {
            // Decrease from the number of running streams: a cut of an unused part of the limit
            // would have no effect.
            state.limit = state.limit.min(own) * DECREASE_FACTOR;
        } else if own + 1.0 >= state.limit.floor() {
            state.limit += 1.0;
        }
        state.limit = state.limit.clamp(1.0, slots);
        Some(state.limit as u32)
    }

    /// Drops the limits of engines for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(Engine) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}

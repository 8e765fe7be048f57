//! Limit of this host's running work for each engine.
//!
//! Additive increase and multiplicative decrease on the time between tokens, measured against the
//! target of the rank that is furthest over its own.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::clock::Clock;
use crate::route::fleet::Engine;
use crate::wire::Rank;

/// Time between two changes of a limit; about ten tokens of a stream, so that each change shows.
const PERIOD: Duration = Duration::from_millis(400);

/// Factor of a decrease.
const DECREASE: f64 = 0.7;

#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    // Sum of the times between tokens, each divided by its target.
    ratio: f64,
    count: u32,
}

#[derive(Debug)]
struct State {
    limit: f64,
    samples: [Sample; 2],
    changed: Instant,
}

/// The limits of all engines.
#[derive(Debug)]
pub struct Limits<C: Clock> {
    clock: C,
    engines: SecondaryMap<Engine, State>,
}

/// An engine's use at the time of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Use {
    /// Streams of this host.
    pub own: u32,
    /// Greatest number of streams in the engine's batch.
    pub slots: u32,
}

impl<C: Clock> Limits<C> {
    /// Creates limits that start at the engines' slots.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            engines: SecondaryMap::new(),
        }
    }

    /// Takes a measured time between tokens; returns the new limit when it is due for a change.
    pub fn observe(
        &mut self,
        engine: Engine,
        rank: Rank,
        gap: Duration,
        target: Duration,
        used: Use,
    ) -> Option<u32> {
        let now = self.clock.now();
        let slots = f64::from(used.slots.max(1));
        let state = self.engines.entry(engine)?.or_insert(State {
            limit: slots,
            samples: [Sample::default(); 2],
            changed: now,
        });
        let sample = &mut state.samples[rank as usize];
        sample.ratio += gap.as_secs_f64() / target.as_secs_f64().max(1e-3);
        sample.count += 1;
        if now.duration_since(state.changed) < PERIOD {
            return None;
        }
        state.changed = now;
        let samples = std::mem::take(&mut state.samples);
        let means = samples.iter().filter(|sample| sample.count > 0);
        let worst = means
            .map(|sample| sample.ratio / f64::from(sample.count))
            .fold(0.0, f64::max);
        let own = f64::from(used.own);
        if worst > 1.0 {
            // From the streams in use, so that an unused part of the limit does not delay the cut.
            state.limit = state.limit.min(own) * DECREASE;
        } else if own + 1.0 >= state.limit.floor() {
            state.limit += 1.0;
        }
        state.limit = state.limit.clamp(1.0, slots);
        Some(state.limit as u32)
    }

    /// Forgets engines that `is_known` does not know.
    pub fn retain(&mut self, is_known: impl Fn(Engine) -> bool) {
        self.engines.retain(|engine, _| is_known(engine));
    }
}

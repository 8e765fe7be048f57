//! What this host expects of an engine that gets a request: when the first event comes, and how much
//! of the prompt it still holds.

use std::time::{Duration, Instant};

use super::{Engine, Need, Registry, State};
use crate::clock::Clock;
use crate::route::first_event::Candidate;
use crate::route::held::{Prefix, Sighting};
use crate::route::load::{EngineHash, Footprint, Load};
use crate::route::placing::Policy;
use crate::route::speed::{self, Reading, Speed};

/// Prompt tokens to prefill that delay other requests as much as one running request does.
pub(super) const PREFILL_TOKENS_PER_RUNNING_REQUEST: u64 = 250;

/// What is expected of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Estimate {
    /// Time until the first event.
    pub first_event: Duration,
    /// Prompt tokens that the engine holds.
    pub held: u32,
    /// Prompt tokens of other requests that it reads first.
    pub queued: u64,
}

impl<C: Clock> Registry<C> {
    /// Returns what is expected if a request is sent to `engine`; `None` if the engine is not known, or
    /// requests are placed by load alone.
    pub fn estimate(&self, engine: Engine, need: &Need<'_>) -> Option<Estimate> {
        if need.memory_tokens == 0 || self.policy == Policy::Load {
            return None;
        }
        let state = self.engines.get(engine)?;
        let speed = self.mean_speed(need.service);
        let candidate = self.first_event_candidate(engine, state, need, speed);
        Some(Estimate {
            first_event: candidate.wait + candidate.reading + speed::STEP,
            held: self.held(state, need),
            queued: state.total_load().reading,
        })
    }

    /// Returns the mean reading speed of the engines of a service.
    pub(super) fn mean_speed(&self, service: &str) -> Speed {
        let registered = self.by_id.values().map(|key| &self.engines[*key]);
        let mut all = Reading::default();
        for state in registered.filter(|state| state.registration.service == service) {
            all.add(&self.known_load(state).read);
        }
        Speed::mean(all)
    }

    pub(super) fn first_event_candidate(
        &self,
        engine: Engine,
        state: &State,
        need: &Need<'_>,
        mean: Speed,
    ) -> Candidate {
        let load = self.known_load(state);
        let speed = mean.updated(load.read).or_even(mean);
        let others = load.running.saturating_add(self.failure_penalty(state));
        let delaying = others.saturating_mul(PREFILL_TOKENS_PER_RUNNING_REQUEST);
        let queued = load.reading.saturating_add(delaying);
        let again = self.expected_reprefill(state, need);
        let unread = need.footprint.prompt.saturating_sub(self.held(state, need));
        Candidate {
            engine,
            is_suspect: self.is_suspect(state),
            is_full: !state.has_room(need),
            is_remote: self.is_remote(state),
            is_reading: load.reading > 0,
            wait: speed.time(queued + again) + wait_for_room(state, &load, need),
            reading: speed.time(unread.into()),
        }
    }

    /// Returns the load of an engine by all hosts, and what all saw it read.
    fn known_load(&self, state: &State) -> Load {
        let mut load = state.total_load();
        load.read.add(&state.own_readings.sums(self.clock.now()));
        load
    }

    /// Returns the tokens of a prompt that an engine probably holds.
    fn held(&self, state: &State, need: &Need<'_>) -> u32 {
        if need.prompt.is_empty() {
            return 0;
        }
        let load = self.known_load(state);
        let known_for = self.clock.now().duration_since(state.known_since);
        let room = u64::from(need.memory_tokens).saturating_sub(load.memory);
        let turnover = room as f64 / speed::tokens_per_s(load.read, known_for).max(1.0);
        let turnover = Duration::from_secs_f64(turnover);
        state.held.tokens(need.prompt, turnover, self.clock.now())
    }

    /// Records the first event of a request whose prompt an engine has read since `sent_at`. `queued`
    /// is the number of prompt tokens of other requests that were to be read first.
    pub fn record_reading(
        &mut self,
        engine: Engine,
        prompt: &[Prefix],
        footprint: Footprint,
        queued: u64,
        sent_at: Instant,
    ) {
        let now = self.clock.now();
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let took = now.duration_since(sent_at);
        let unread = footprint.unread().into();
        state.own_readings.record(unread, queued, took, now);
        let hash = EngineHash::of(&state.registration.id);
        for prefix in prompt {
            state.held.record(prefix.hash, now);
            self.own_sightings.record(hash, *prefix, now);
            self.joint_sightings.record(hash, *prefix, now);
        }
    }

    /// Returns the beginnings of prompts that this host saw engines read.
    pub fn own_sightings(&self) -> Vec<Sighting> {
        self.own_sightings.to_report(self.clock.now())
    }

    /// Returns the beginnings that this host and the hosts that report to it saw engines read.
    pub fn joint_sightings(&self) -> Vec<Sighting> {
        self.joint_sightings.to_report(self.clock.now())
    }

    /// Records what other hosts saw engines read. `is_host` tells whether a host reports for itself.
    pub fn record_sightings(&mut self, sightings: &[Sighting], is_host: bool) {
        let now = self.clock.now();
        for sighting in sightings {
            let age = Duration::from_millis(sighting.age_ms.into());
            let Some((used_at, key)) = now.checked_sub(age).zip(self.by_hash(sighting.engine))
            else {
                continue;
            };
            let state = &mut self.engines[key];
            if used_at < state.known_since {
                continue;
            }
            state.held.record(sighting.prefix.hash, used_at);
            if is_host {
                self.joint_sightings
                    .record(sighting.engine, sighting.prefix, used_at);
            }
        }
    }
}

/// Returns the time until enough running requests have ended that a request has a slot and memory.
fn wait_for_room(state: &State, load: &Load, need: &Need<'_>) -> Duration {
    let slots = u64::from(state.registration.slots).max(1);
    let memory = need.footprint.memory().max(1);
    let excess = (load.memory + memory).saturating_sub(need.memory_tokens.into());
    let over_slots = (load.running + 1).saturating_sub(slots);
    let to_end = over_slots.max(excess.div_ceil(memory)).min(slots);
    let time_for_one = need.footprint.expected_time() / slots as u32;
    time_for_one * to_end as u32
}

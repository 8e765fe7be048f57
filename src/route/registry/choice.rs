//! Choice of an engine for a request.

use std::time::{Duration, Instant};

use super::estimate::PREFILL_TOKENS_PER_RUNNING_REQUEST;
use super::{Engine, FAILURE_WINDOW, Registry, State, UNREACHABLE_FOR};
use crate::clock::Clock;
use crate::route::first_event;
use crate::route::held::Prefix;
use crate::route::load::{self, Footprint};
use crate::route::placing::{self, Candidate, Policy};

/// Age of the registrations above which the store must be out of reach. Longer than a watch of the
/// store without changes lasts.
const OUTAGE_AFTER: Duration = Duration::from_secs(3);

/// Cost of a recent failed response, in running requests.
const FAILURE_WEIGHT: u64 = 3;

/// Percentage of an engine's memory that requests may use by their expected size. The rest is for
/// outputs that get longer than expected.
const PLANNED_MEMORY_PERCENT: u64 = 92;

/// Margin for a failure domain that is lost earlier than expected.
const LOSS_MARGIN: Duration = Duration::from_millis(500);

/// Versions of engines that a request may go to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Versions<'a> {
    /// All versions.
    #[default]
    Any,
    /// Only this version.
    Only(&'a str),
    /// All versions but this one.
    Without(&'a str),
}

impl Versions<'_> {
    /// Returns whether a request may go to engines of `version`.
    pub fn allows(self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::Without(excluded) => version != excluded,
        }
    }
}

/// Requirements of a request for its engine.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a str,
    /// Tokens that the request costs the engine.
    pub footprint: Footprint,
    /// Tokens that fit into the memory of an engine of the service. 0 if the service has no such
    /// memory, as with backend servers; its engines then always have room.
    pub memory_tokens: u32,
    /// Beginnings of the prompt, from the shortest to the longest.
    pub prompt: &'a [Prefix],
    /// Engines that must not be chosen.
    pub excluded: &'a [Engine],
    /// Versions that may be chosen.
    pub versions: Versions<'a>,
}

impl<C: Clock> Registry<C> {
    /// Chooses an engine for a new request.
    ///
    /// A service without prompts has few servers whose requests are short, so the one with the least
    /// load is chosen, and equal ones are ordered differently on each host. Otherwise see
    /// [`first_event`] and [`placing`].
    pub fn choose(&self, need: &Need<'_>) -> Option<Engine> {
        if need.memory_tokens > 0 {
            return match self.policy {
                Policy::FirstEvent => self.choose_by_first_event(need),
                Policy::Load => self.choose_by_load(need),
            };
        }
        let candidates = self.candidates(need);
        candidates
            .min_by_key(|(_, state)| {
                (
                    self.is_suspect(state),
                    self.failure_penalty(state) + state.total_load().running,
                    self.is_remote(state),
                    state.tie_break,
                )
            })
            .map(|(key, _)| key)
    }

    fn choose_by_first_event(&self, need: &Need<'_>) -> Option<Engine> {
        let speed = self.mean_speed(need.service);
        let candidates: Vec<_> = self
            .candidates(need)
            .map(|(key, state)| self.first_event_candidate(key, state, need, speed))
            .collect();
        first_event::choose(&candidates, self.reports.sources(), rand::random())
    }

    fn choose_by_load(&self, need: &Need<'_>) -> Option<Engine> {
        let candidates: Vec<_> = self
            .candidates(need)
            .map(|(key, state)| self.placing_candidate(key, state, need))
            .collect();
        placing::choose(&candidates, rand::random())
    }

    fn placing_candidate(&self, engine: Engine, state: &State, need: &Need<'_>) -> Candidate {
        let load = state.total_load();
        let penalty = self.failure_penalty(state) * PREFILL_TOKENS_PER_RUNNING_REQUEST
            + self.expected_reprefill(state, need);
        Candidate {
            engine,
            is_suspect: self.is_suspect(state),
            is_full: !state.has_room(need),
            is_remote: self.is_remote(state),
            backlog: load.reading.saturating_add(penalty),
            running: load.running,
        }
    }

    /// Returns the prompt tokens that would be prefilled again if the request went to an engine that is
    /// expected to be lost before it has prefilled the prompt.
    pub(super) fn expected_reprefill(&self, state: &State, need: &Need<'_>) -> u64 {
        let Some(lost_at) = self.next_loss(state) else {
            return 0;
        };
        let prompt = need.footprint.prompt;
        let reading = state.total_load().reading;
        let prefilled_at = self.clock.now() + load::prefill_time(reading + u64::from(prompt));
        match lost_at < prefilled_at + LOSS_MARGIN {
            true => prompt.into(),
            false => 0,
        }
    }

    /// Returns when the failure domain of an engine is expected to be lost next, if domains are lost in
    /// turn.
    fn next_loss(&self, state: &State) -> Option<Instant> {
        let domain = &state.registration.failure_domain;
        self.rotation.next_loss(domain, self.clock.now())
    }

    pub(super) fn is_remote(&self, state: &State) -> bool {
        state.registration.failure_domain != self.failure_domain
    }

    /// Chooses an engine of another failure domain to hold the replica of a request that runs on
    /// `engine`. Returns `None` if no such engine has room. Draws one of those with about the most
    /// room, as other hosts choose at the same time.
    pub fn choose_replica(&self, need: &Need<'_>, engine: Engine) -> Option<Engine> {
        let domain = &self.engines.get(engine)?.registration.failure_domain;
        let used = |state: &State| {
            let load = state.total_load();
            load.memory.saturating_add(load.reading)
        };
        let fitting = || {
            self.candidates(need)
                .filter(|(_, state)| state.registration.failure_domain != *domain)
                .filter(|(_, state)| state.has_room(need) && !self.is_suspect(state))
        };
        let least = fitting().map(|(_, state)| used(state)).min()?;
        let limit = least.saturating_add(need.footprint.memory());
        let near = || fitting().filter(|(_, state)| used(state) <= limit);
        let count = near().count() as u64;
        let drawn = near().nth((rand::random::<u64>() % count) as usize);
        drawn.map(|(key, _)| key)
    }

    fn candidates<'a>(&'a self, need: &'a Need<'_>) -> impl Iterator<Item = (Engine, &'a State)> {
        let now = self.clock.now();
        let registered = self.by_id.values().map(|key| (*key, &self.engines[*key]));
        registered.filter(move |(key, state)| {
            let registration = &state.registration;
            registration.service == need.service
                && need.versions.allows(&registration.version)
                && self.accepts_requests(state, now)
                && !need.excluded.contains(key)
        })
    }

    /// Returns the engines of a service that may get requests, by whether they have this version.
    pub fn usable_by_version(&self, service: &str, version: &str) -> (Vec<Engine>, Vec<Engine>) {
        let now = self.clock.now();
        let registered = self.by_id.values().map(|key| (*key, &self.engines[*key]));
        let usable = registered.filter(|(_, state)| {
            state.registration.service == service && self.accepts_requests(state, now)
        });
        let (new, old): (Vec<_>, Vec<_>) =
            usable.partition(|(_, state)| state.registration.version == version);
        let key = |(key, _): &(Engine, &State)| *key;
        (new.iter().map(key).collect(), old.iter().map(key).collect())
    }

    /// Returns whether a service has a registered engine of another version than this one.
    pub fn has_version_besides(&self, service: &str, version: &str) -> bool {
        let registrations = self
            .by_id
            .values()
            .map(|key| &self.engines[*key].registration);
        let mut others = registrations.filter(|engine| engine.version != version);
        others.any(|engine| engine.service == service)
    }

    pub(super) fn is_suspect(&self, state: &State) -> bool {
        let now = self.clock.now();
        let is_ahead = |until: Option<Instant>| until.is_some_and(|until| until > now);
        is_ahead(state.unreachable_until)
            || is_ahead(state.doubted_until)
            || state.needs_check
            || state.lost.is_set()
            || self.holds.is_on_trial(state.incarnation, now)
            || self.is_probably_replaced(state)
    }

    /// Returns whether an engine was lost and the store, which is out of reach, has not confirmed
    /// its registration since. What answers at its address is then probably a restarted engine
    /// under another id, which rejects the requests. In an outage of the store such engines would
    /// use up the retry budget of all requests.
    fn is_probably_replaced(&self, state: &State) -> bool {
        let (Some(lost_at), Some(confirmed_at)) = (state.lost_at, self.confirmed_at) else {
            return false;
        };
        let is_outage = self.clock.now().duration_since(confirmed_at) > OUTAGE_AFTER;
        is_outage && confirmed_at < lost_at + UNREACHABLE_FOR
    }

    /// Returns the cost of recent failed responses in running requests.
    pub(super) fn failure_penalty(&self, state: &State) -> u64 {
        let now = self.clock.now();
        let recent = |at: &&Instant| now.duration_since(**at) < FAILURE_WINDOW;
        state.failures.iter().filter(recent).count() as u64 * FAILURE_WEIGHT
    }

    /// Returns whether an engine probably still holds a replica that was ordered at `since`: neither it
    /// nor a large part of its failure domain was lost meanwhile.
    pub fn may_hold(&self, engine: Engine, since: Instant) -> bool {
        let Some(state) = self.engines.get(engine) else {
            return false;
        };
        let registration = &state.registration;
        let was_lost = state.lost_at.is_some_and(|at| at >= since)
            || self
                .rotation
                .was_lost_since(&registration.failure_domain, since);
        self.by_id.get(&registration.id) == Some(&engine) && !was_lost
    }

    /// Returns whether an engine may get requests.
    pub fn is_usable(&self, engine: Engine) -> bool {
        let now = self.clock.now();
        let Some(state) = self.engines.get(engine) else {
            return false;
        };
        self.by_id.get(&state.registration.id) == Some(&engine) && self.accepts_requests(state, now)
    }

    fn accepts_requests(&self, state: &State, now: Instant) -> bool {
        !state.registration.is_draining
            && !self.leaving.contains(state.incarnation)
            && self.holds.left(state.incarnation, now).is_zero()
            && !state.is_lost(now)
            && state.expires_at.is_none_or(|at| at > now)
    }
}

impl State {
    fn is_lost(&self, now: Instant) -> bool {
        self.lost.is_set() && self.unreachable_until.is_some_and(|until| until > now)
    }

    pub(super) fn has_room(&self, need: &Need<'_>) -> bool {
        if need.memory_tokens == 0 {
            return true;
        }
        let planned = u64::from(need.memory_tokens) * PLANNED_MEMORY_PERCENT / 100;
        let load = self.total_load();
        load.memory.saturating_add(need.footprint.memory()) <= planned
            && load.running < u64::from(self.registration.slots)
    }
}

//! Health of the engines: contact, checks, losses and failed responses.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::seq::SliceRandom;

use super::{Engine, FAILURE_WINDOW, Registry, State, UNREACHABLE_FOR};
use crate::clock::Clock;
use crate::route::load::EngineHash;
use crate::route::losses::{Finder, Loss, Losses};
use crate::supervisor::Signal;

/// Silence of an engine with running requests after which a connection to its address is tried.
const SILENCE_CHECK_AFTER: Duration = Duration::from_millis(240);

/// Age up to which the last contact with an engine, which may be a round trip old, shows that it is
/// alive although others of its failure domain are lost.
const RECENT_CONTACT: Duration = Duration::from_millis(5);

/// Time between two checks of an engine that is lost and still registered.
const LOST_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time within which losses of engines in one failure domain count as one event.
const DOMAIN_LOSS_WINDOW: Duration = Duration::from_millis(500);

/// Time for which the engines of a failure domain in which other hosts lost several are tried last.
/// They are not checked, as all hosts would check them.
const DOMAIN_DOUBTED_FOR: Duration = Duration::from_millis(1000);

/// Number of engines of a failure domain lost in one event from which its other engines are checked
/// before they are used.
const DOMAIN_LOSSES_MIN: usize = 2;

/// A failure domain counts as lost once one in this many of its engines is known to be lost. The number is
/// high because the loss of an idle engine goes unnoticed at first.
const DOMAIN_LOSS_PART: usize = 8;

impl<C: Clock> Registry<C> {
    /// Records that received bytes or a connection show that an engine is alive. Ends its check,
    /// and a lost engine no longer counts as lost.
    pub fn set_heard(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.checked_at = now;
            state.alive_at = Some(now);
            state.is_checking = false;
            state.needs_check = false;
            state.doubted_until = None;
            if state.lost.is_set() {
                state.lost = Signal::default();
            }
        }
    }

    /// Records that an engine's address accepted a connection. Does not end its check, and a lost
    /// engine still counts as lost.
    pub fn set_connected(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.checked_at = now;
            state.alive_at = Some(now);
            state.needs_check = false;
            state.doubted_until = None;
        }
    }

    /// Returns whether received bytes or a connection have shown since `since` that an engine is
    /// alive.
    pub fn was_heard_since(&self, engine: Engine, since: Instant) -> bool {
        let state = self.engines.get(engine);
        state.is_some_and(|state| state.alive_at.is_some_and(|at| at >= since))
    }

    /// Returns the addresses of engines to try for comparison with one that does not answer: of each
    /// other failure domain one at random, or else another of its own. If it is the only
    /// engine, a new connection to it is all that can be tried.
    pub fn comparable_to(&self, engine: Engine) -> Vec<CompactString> {
        let own = self.engines.get(engine);
        let own = own.map(|state| &state.registration);
        let mut latest: BTreeMap<&str, &State> = BTreeMap::new();
        let mut others: Vec<_> = self.by_id.values().filter(|key| **key != engine).collect();
        others.shuffle(&mut rand::rng());
        let others = others.into_iter();
        for state in others.map(|key| &self.engines[*key]) {
            latest
                .entry(&state.registration.failure_domain)
                .or_insert(state);
        }
        if latest.len() > 1 {
            latest.retain(|domain, _| own.is_none_or(|own| own.failure_domain != *domain));
        }
        let compared = latest.into_values().map(|state| &state.registration);
        let mut addresses: Vec<_> = compared.map(|engine| engine.address.clone()).collect();
        if addresses.is_empty() {
            addresses.extend(own.map(|own| own.address.clone()));
        }
        addresses
    }

    /// Returns the engines to check now, with their addresses: those with running requests that are
    /// silent for too long, those whose failure domain just lost several others, and lost ones.
    /// Each is returned once, until [`Registry::set_heard`], [`Registry::set_lost`] or
    /// [`Registry::end_check`].
    pub fn due_checks(&mut self) -> Vec<(Engine, CompactString)> {
        let now = self.clock.now();
        let is_due = |state: &State| {
            let after = match state.lost.is_set() {
                true => LOST_CHECK_INTERVAL,
                false if state.needs_check => Duration::ZERO,
                false if state.own_load.running > 0 => SILENCE_CHECK_AFTER,
                false => return false,
            };
            !state.is_checking && now.duration_since(state.checked_at) >= after
        };
        let due = self.engines.iter_mut().filter(|(_, state)| is_due(state));
        due.map(|(key, state)| {
            state.is_checking = true;
            state.checked_at = now;
            (key, state.registration.address.clone())
        })
        .collect()
    }

    /// Starts the check of an engine if it must be checked before it is used; returns its address.
    pub fn begin_needed_check(&mut self, engine: Engine) -> Option<CompactString> {
        let now = self.clock.now();
        let state = self.engines.get_mut(engine)?;
        if !state.needs_check || state.is_checking {
            return None;
        }
        state.is_checking = true;
        state.checked_at = now;
        Some(state.registration.address.clone())
    }

    /// Records that a check ended without a result.
    pub fn end_check(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.is_checking = false;
            state.checked_at = now;
        }
    }

    /// Records that an engine is lost, which ends the attempts that run on it.
    pub fn set_lost(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.is_checking = false;
            state.checked_at = now;
            state.unreachable_until = Some(now + UNREACHABLE_FOR);
            state.lost_at = Some(now);
            state.lost.set();
        }
        self.record_loss(engine);
    }

    /// Counts the loss of an engine. When several engines of a failure domain are lost together,
    /// the others probably are too, so they are checked before they are used.
    fn record_loss(&mut self, engine: Engine) {
        let now = self.clock.now();
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let hash = EngineHash::of(&state.registration.id);
        self.losses.record(hash, now, Finder::Own);
        let domain = state.registration.failure_domain.clone();
        self.record_domain_loss(&domain);
        self.domain_losses.retain(|(at, lost, _)| {
            now.duration_since(*at) < DOMAIN_LOSS_WINDOW && *lost != engine
        });
        self.domain_losses.push((now, engine, domain.clone()));
        let together = self
            .domain_losses
            .iter()
            .filter(|(_, _, lost_domain)| *lost_domain == domain);
        if together.count() < DOMAIN_LOSSES_MIN {
            return;
        }
        let others = self.engines.values_mut().filter(|state| {
            state.registration.failure_domain == domain
                && now.duration_since(state.checked_at) > RECENT_CONTACT
        });
        others.for_each(|state| state.needs_check = true);
    }

    /// Records a loss that another host reports; returns whether it changes what this host believes
    /// of the engine.
    pub fn record_reported_loss(&mut self, loss: Loss, finder: Finder) -> bool {
        let now = self.clock.now();
        let age = Duration::from_millis(loss.age_ms.into());
        let Some(at) = now.checked_sub(age) else {
            return false;
        };
        let known = self.by_hash.get(&loss.engine).copied();
        let alive_at = known.and_then(|engine| self.engines[engine].alive_at);
        if alive_at.is_some_and(|alive_at| alive_at > at)
            || !self.losses.record(loss.engine, at, finder)
        {
            return false;
        }
        let Some(engine) = known else {
            return false;
        };
        let state = &mut self.engines[engine];
        state.unreachable_until = state.unreachable_until.max(Some(at + UNREACHABLE_FOR));
        state.lost_at = state.lost_at.max(Some(at));
        // The requests that run there end as soon as the loss is confirmed.
        state.needs_check |= state.own_load.running > 0;
        let domain = state.registration.failure_domain.clone();
        self.record_domain_loss(&domain);
        self.doubt_domain(&domain);
        true
    }

    /// Records the loss of a failure domain if a large part of its engines was lost together.
    fn record_domain_loss(&mut self, domain: &str) {
        let now = self.clock.now();
        let Some(from) = now.checked_sub(DOMAIN_LOSS_WINDOW) else {
            return;
        };
        if self.rotation.was_lost_since(domain, from) {
            return;
        }
        let is_there =
            |engine: &Engine| self.engines[*engine].registration.failure_domain == domain;
        let lost = self.losses.since(from);
        let lost = lost.filter_map(|engine| self.by_hash.get(&engine).copied());
        let lost = lost.filter(is_there).count();
        let engines = self.by_id.values().copied().filter(is_there).count();
        if lost >= DOMAIN_LOSSES_MIN && lost * DOMAIN_LOSS_PART >= engines {
            self.rotation.record(domain, now);
        }
    }

    /// Lets the engines of a failure domain be tried last if several of them were lost together.
    fn doubt_domain(&mut self, domain: &str) {
        let now = self.clock.now();
        let Some(from) = now.checked_sub(DOMAIN_LOSS_WINDOW) else {
            return;
        };
        let lost = self.losses.since(from);
        let lost = lost.filter_map(|engine| self.by_hash.get(&engine));
        let lost_there =
            lost.filter(|engine| self.engines[**engine].registration.failure_domain == domain);
        if lost_there.count() < DOMAIN_LOSSES_MIN {
            return;
        }
        let others = self
            .engines
            .values_mut()
            .filter(|state| state.registration.failure_domain == domain);
        for state in others.filter(|state| state.alive_at.is_none_or(|at| at < from)) {
            state.doubted_until = Some(now + DOMAIN_DOUBTED_FOR);
            state.needs_check |= state.own_load.running > 0;
        }
    }

    /// Drops losses that are too old to be reported.
    pub fn expire_losses(&mut self) {
        self.losses.expire(self.clock.now());
    }

    /// Returns the recent losses.
    pub fn losses(&self) -> &Losses {
        &self.losses
    }

    /// Records that a response of an engine did not come or broke off, which may be the fault of the
    /// connection alone. The engine is tried last, and is no loss until a check shows it.
    pub fn set_suspect(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.unreachable_until = Some(now + UNREACHABLE_FOR);
            state.needs_check = true;
        }
    }

    /// Records that an engine could not be reached although this host reaches others.
    pub fn set_unreachable(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state.unreachable_until = Some(now + UNREACHABLE_FOR);
            state.lost_at = Some(now);
        }
        self.record_loss(engine);
    }

    /// Records a response of an engine, which shows that it works.
    pub fn set_answered(&mut self, engine: Engine) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.unreachable_until = None;
            state.lost_at = None;
            let hash = EngineHash::of(&state.registration.id);
            self.losses.remove(hash);
        }
    }

    /// Removes an engine at whose address another one answered.
    pub fn set_replaced(&mut self, engine: Engine) {
        let now = self.clock.now();
        let Some(state) = self.engines.get(engine) else {
            return;
        };
        let id = state.registration.id.clone();
        self.losses.record(EngineHash::of(&id), now, Finder::Own);
        self.remove(&id);
    }

    /// Records a failed or malformed response of an engine.
    pub fn set_failed(&mut self, engine: Engine) {
        let now = self.clock.now();
        if let Some(state) = self.engines.get_mut(engine) {
            state
                .failures
                .retain(|at| now.duration_since(*at) < FAILURE_WINDOW);
            state.failures.push(now);
        }
    }
}

//! Choice among engines of different versions while a roll-out is in force.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use compact_str::CompactString;

use super::Gateway;
use super::request::AdmittedRequest;
use crate::clock::Clock;
use crate::rollout::{Answer, Engines, Order, Route, Rule, share};
use crate::route::load::EngineHash;
use crate::route::registry::{Engine, Need, Registry, Versions};

/// Number of new engines, as a part of the number of old ones, that is needed before all requests go to the
/// new version. Fewer could not carry the load of the old ones.
const ENGINES_PART: f64 = 0.5;

/// Draws whether the first attempt of a request goes to the version that an order names.
pub fn draw<C: Clock>(gateway: &Gateway<C>, service: &str) -> bool {
    let now = gateway.clock.now();
    let mut rollouts = gateway.rollouts.borrow_mut();
    let is_trial = rollouts.draw(service, rand::random, now);
    if is_trial {
        gateway.metrics.count_decision("rollout", "trial");
    }
    is_trial
}

/// Chooses an engine of a version that the request may go to. `is_trial` tells whether it goes to the
/// version that an order names.
pub fn choose<C: Clock>(gateway: &Gateway<C>, need: &Need<'_>, is_trial: bool) -> Option<Engine> {
    let now = gateway.clock.now();
    let registry = gateway.registry.borrow();
    let rule = gateway.rollouts.borrow().rule(need.service, now);
    let among = |versions| registry.choose(&Need { versions, ..*need });
    match &rule {
        None => registry.choose(need),
        Some(Rule::Completed(to)) => among(Versions::Only(to)).or_else(|| among(Versions::Any)),
        Some(Rule::Reverted(to)) => among(Versions::Without(to)),
        Some(Rule::Trial { to, share, is_ripe }) => {
            let trial = is_trial.then(|| choose_trial(&registry, need, to, *share));
            let chosen = trial.flatten().or_else(|| among(Versions::Without(to)));
            chosen.or_else(|| {
                let has_others = registry.has_version_besides(need.service, to);
                let stands_in = *is_ripe || !has_others;
                stands_in.then(|| among(Versions::Only(to))).flatten()
            })
        }
    }
}

fn choose_trial<C: Clock>(
    registry: &Registry<C>,
    need: &Need<'_>,
    to: &str,
    share: f64,
) -> Option<Engine> {
    let (new, old) = registry.usable_by_version(need.service, to);
    let id_of = |engine: &Engine| {
        let state = registry.get(*engine);
        state.map_or("", |state| state.registration.id.as_str())
    };
    let ids: Vec<_> = new.iter().map(id_of).collect();
    let chosen = share::trial_engines(&ids, old.len(), share);
    let mut excluded: Vec<_> = need.excluded.into();
    let others = new.iter().enumerate();
    excluded.extend(
        others
            .filter(|(at, _)| !chosen.contains(at))
            .map(|(_, key)| *key),
    );
    registry.choose(&Need {
        versions: Versions::Only(to),
        excluded: &excluded,
        ..*need
    })
}

/// Returns whether a request that was sent before may go on at an engine.
pub fn allows<C: Clock>(gateway: &Gateway<C>, service: &str, engine: Engine) -> bool {
    let now = gateway.clock.now();
    let rule = gateway.rollouts.borrow().rule(service, now);
    let registry = gateway.registry.borrow();
    let Some(state) = registry.get(engine) else {
        return false;
    };
    let version = &state.registration.version;
    match &rule {
        None => true,
        Some(Rule::Completed(to)) => version == to,
        Some(Rule::Reverted(to)) => version != to,
        Some(Rule::Trial { to, is_ripe, .. }) => version != to || *is_ripe,
    }
}

/// Returns the version that the replica of a run on `engine` must have; `None` if it does not matter. A
/// replica on another version could not be resumed, or would send it the request.
pub fn replica_version<C: Clock>(
    gateway: &Gateway<C>,
    service: &str,
    engine: Engine,
) -> Option<CompactString> {
    let now = gateway.clock.now();
    gateway.rollouts.borrow().rule(service, now)?;
    let registry = gateway.registry.borrow();
    let state = registry.get(engine);
    state.map(|state| state.registration.version.clone())
}

/// Returns what is known of the engines that an order concerns.
pub fn engines<C: Clock>(gateway: &Gateway<C>, order: &Order) -> Engines {
    let registry = gateway.registry.borrow();
    let (new, old) = registry.usable_by_version(&order.service, &order.to);
    let is_idle = |engine: &Engine| {
        let state = registry.get(*engine);
        state.is_none_or(|state| state.total_load().running == 0)
    };
    Engines {
        has_new: !new.is_empty() && new.len() as f64 >= old.len() as f64 * ENGINES_PART,
        has_idle_old: old.iter().all(is_idle),
    }
}

/// An attempt whose answer counts for the version of its engine.
#[derive(Debug)]
pub struct Sample<C: Clock> {
    gateway: Rc<Gateway<C>>,
    service: CompactString,
    version: CompactString,
    engine: EngineHash,
    route: Route,
    began_at: Instant,
    // What was recorded: that the answer began, and that it failed.
    recorded: RefCell<(bool, bool)>,
}

impl<C: Clock> Sample<C> {
    /// Begins the sample of an attempt; `None` if the versions of the service are not compared.
    pub fn begin(
        gateway: &Rc<Gateway<C>>,
        admitted: &AdmittedRequest,
        engine: Engine,
    ) -> Option<Self> {
        gateway
            .rollouts
            .borrow()
            .counted_version(&admitted.service)?;
        let registry = gateway.registry.borrow();
        let registration = &registry.get(engine)?.registration;
        Some(Self {
            service: admitted.service.clone(),
            version: registration.version.clone(),
            engine: EngineHash::of(&registration.id),
            route: Route::of(&admitted.route.name),
            began_at: gateway.clock.now(),
            gateway: gateway.clone(),
            recorded: RefCell::default(),
        })
    }

    /// Records that the answer began, or that the attempt was given up for its lateness.
    pub fn record_begun(&self) {
        let mut recorded = self.recorded.borrow_mut();
        if *recorded != (false, false) {
            return;
        }
        recorded.0 = true;
        let now = self.gateway.clock.now();
        self.record(Answer::Begun(now.duration_since(self.began_at)), now);
    }

    /// Records that the attempt failed.
    pub fn record_failure(&self, failure: Answer) {
        if !std::mem::replace(&mut self.recorded.borrow_mut().1, true) {
            self.record(failure, self.gateway.clock.now());
        }
    }

    fn record(&self, answer: Answer, now: Instant) {
        let engine = (self.engine, self.version.as_str());
        let mut rollouts = self.gateway.rollouts.borrow_mut();
        rollouts.record_answer(&self.service, engine, self.route, answer, now);
    }
}

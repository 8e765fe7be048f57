//! Decides which order an engine gets next. Does no I/O and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};

use crate::config::split::{Model, SharedSettings};
use crate::util::hash64;
use crate::wire;
use crate::wire::Action;

/// Time within which the effect of an order must show in the engine's status. After it the order no
/// longer blocks others of its model.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(60);

/// A listed engine with its last status.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name in the membership list.
    pub name: CompactString,
    /// Address in the form `IP:PORT`.
    pub address: CompactString,
    /// Model for which the engine is listed.
    pub model: CompactString,
    /// Status, or `None` if the engine did not respond.
    pub status: Option<wire::Status>,
}

/// An order that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Name of the engine.
    pub engine: CompactString,
    /// Address of the engine in the form `IP:PORT`.
    pub address: CompactString,
    /// Model for which the engine is listed.
    pub model: CompactString,
    /// Id of the order. It does not depend on the host that plans the order.
    pub id: CompactString,
    /// What the engine should do.
    pub action: Action,
}

/// An order whose effect does not show in the engine's status yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    model: CompactString,
    id: CompactString,
    action: Action,
    started_at: Instant,
    was_accepted: bool,
}

/// Planning state of the lease holder; it lasts from one poll of the engines to the next.
#[derive(Debug)]
pub struct Plan {
    // By engine. Invariant: at most one pending order for each model.
    pending: BTreeMap<CompactString, PendingOrder>,
    // Ids of accepted orders whose effect did not show in time. The order is repeated under a new
    // id, because an engine does not execute an id twice.
    used_ids: BTreeSet<CompactString>,
    // Engines with pending orders of the previous holder. They come first, because one of them may
    // already be out of service.
    inherited: BTreeSet<CompactString>,
    next_order_at: Instant,
}

impl Plan {
    /// Creates the plan of a host that acquired the lease at `now`; `inherited` names the engines to
    /// which the previous holder had pending orders.
    ///
    /// The first order waits for a whole load interval, because the previous holder may have sent
    /// one just before.
    pub fn new(
        settings: &SharedSettings,
        inherited: BTreeSet<CompactString>,
        now: Instant,
    ) -> Self {
        Self {
            pending: BTreeMap::new(),
            used_ids: BTreeSet::new(),
            inherited,
            next_order_at: now + load_interval(settings),
        }
    }

    /// Returns the names of the engines with pending orders.
    pub fn pending_engines(&self) -> impl Iterator<Item = &CompactString> {
        self.pending.keys()
    }

    /// Returns an order that is due now, for a model without a pending order.
    pub fn next(
        &mut self,
        settings: &SharedSettings,
        revision: u64,
        engines: &[Engine],
        now: Instant,
    ) -> Option<PlannedOrder> {
        self.remove_finished(engines, now);
        if now < self.next_order_at {
            return None;
        }
        settings.models.iter().find_map(|(name, model)| {
            if self.pending.values().any(|order| order.model == *name) {
                return None;
            }
            let model_engines: Vec<_> = engines
                .iter()
                .filter(|engine| engine.model == *name)
                .collect();
            self.next_for_model(name, model, revision, &model_engines)
        })
    }

    /// Records that an order is about to be sent.
    pub fn record_start(&mut self, settings: &SharedSettings, next: &PlannedOrder, now: Instant) {
        self.next_order_at = now + load_interval(settings);
        let order = PendingOrder {
            model: next.model.clone(),
            id: next.id.clone(),
            action: next.action.clone(),
            started_at: now,
            was_accepted: false,
        };
        self.pending.insert(next.engine.clone(), order);
    }

    /// Records whether the engine accepted its pending order. An order that was not accepted is
    /// planned again under the same id.
    pub fn record_outcome(&mut self, engine: &str, was_accepted: bool) {
        if !was_accepted {
            self.pending.remove(engine);
        } else if let Some(order) = self.pending.get_mut(engine) {
            order.was_accepted = true;
        }
    }

    fn next_for_model(
        &self,
        name: &CompactString,
        model: &Model,
        revision: u64,
        engines: &[&Engine],
    ) -> Option<PlannedOrder> {
        let serving = engines.iter().filter(|engine| is_serving(engine)).count();
        // Rounded down, because rounding up would block every load of a model with few engines.
        let min_serving = engines.len() * model.min_serving_percent as usize / 100;
        let candidates = engines
            .iter()
            .filter_map(|engine| Some((engine, required_action(engine, name, model)?)));
        let (engine, action) = candidates.min_by_key(|(engine, _)| {
            let is_inherited = self.inherited.contains(&engine.name);
            (!is_inherited, is_serving(engine), &engine.name)
        })?;
        if is_serving(engine) && serving <= min_serving {
            return None;
        }
        let ids = (0..).map(|repeat| order_id(revision, &engine.name, &action, repeat));
        let id = ids.into_iter().find(|id| !self.used_ids.contains(id))?;
        Some(PlannedOrder {
            engine: engine.name.clone(),
            address: engine.address.clone(),
            model: name.clone(),
            id,
            action,
        })
    }

    /// Removes the pending orders that took effect, that timed out, or whose engine is not listed any
    /// more.
    fn remove_finished(&mut self, engines: &[Engine], now: Instant) {
        let by_name: BTreeMap<_, _> = engines.iter().map(|e| (&e.name, e)).collect();
        let used_ids = &mut self.used_ids;
        self.pending.retain(|name, order| {
            let Some(engine) = by_name.get(name) else {
                return false;
            };
            let status = engine.status.as_ref();
            if status.is_some_and(|status| shows_effect(status, &order.action)) {
                return false;
            }
            if now.duration_since(order.started_at) < EFFECT_TIMEOUT {
                return true;
            }
            if order.was_accepted {
                used_ids.insert(order.id.clone());
            }
            false
        });
    }
}

/// Returns the minimum time between two orders, which keeps to the rate of the weight store.
fn load_interval(settings: &SharedSettings) -> Duration {
    Duration::from_secs(60) / settings.weight_store.loads_per_minute.max(1)
}

fn is_serving(engine: &Engine) -> bool {
    let status = engine.status.as_ref();
    status.is_some_and(|status| !status.leaving && status.role == "serve")
}

/// Returns the next action that brings an engine to the declared version and adapters. `None` if it
/// has them, is leaving, or has no status.
fn required_action(engine: &Engine, name: &CompactString, model: &Model) -> Option<Action> {
    let status = engine.status.as_ref().filter(|status| !status.leaving)?;
    let loaded = status.models.iter().find(|loaded| loaded.model == *name);
    let Some(loaded) = loaded.filter(|loaded| loaded.version == model.version) else {
        return Some(Action::Load {
            model: name.clone(),
            version: model.version.clone(),
        });
    };
    let adapter = model
        .adapters
        .iter()
        .find(|adapter| !loaded.adapters.contains(adapter))?;
    Some(Action::Adapter {
        adapter: adapter.clone(),
    })
}

fn shows_effect(status: &wire::Status, action: &Action) -> bool {
    status.models.iter().any(|loaded| match action {
        Action::Load { model, version } => loaded.model == *model && loaded.version == *version,
        Action::Adapter { adapter } => loaded.adapters.contains(adapter),
        Action::Role { role } => status.role == *role,
    })
}

fn order_id(revision: u64, engine: &str, action: &Action, repeat: u32) -> CompactString {
    let action = serde_json::to_vec(action).expect("an action serializes");
    let hash = hash64(&[&revision.to_le_bytes(), engine.as_bytes(), &action]);
    format_compact!("{revision}-{hash:016x}-{repeat}")
}

#[cfg(test)]
mod tests;

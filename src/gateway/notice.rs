//! Records what engines say in their answers about further requests of this host.

use std::time::Duration;

use compact_str::CompactString;
use log::info;

use super::Gateway;
use super::call::{Answer, Outcome};
use crate::clock::Clock;
use crate::route::registry::Engine;

/// Records what an answer of `engine` says about further requests. The answer of another engine that
/// listens on the address says nothing about this one.
pub fn record<C: Clock>(gateway: &Gateway<C>, engine: Engine, answer: &Answer) {
    if answer.outcome == Outcome::OtherEngine {
        return;
    }
    if answer.is_leaving {
        record_leaving(gateway, engine);
    }
    match answer.retry_after {
        Some(duration) => hold(gateway, engine, duration),
        None => release(gateway, engine),
    }
}

fn record_leaving<C: Clock>(gateway: &Gateway<C>, engine: Engine) {
    if gateway.registry.borrow_mut().set_leaving(engine) {
        gateway.metrics.count_decision("engine", "leaving");
        let id = id_of(gateway, engine);
        info!("event=engine_leaving engine={id}");
    }
}

fn hold<C: Clock>(gateway: &Gateway<C>, engine: Engine, duration: Duration) {
    let held_for = gateway.registry.borrow_mut().hold(engine, duration);
    if let Some(held_for) = held_for {
        gateway.metrics.count_decision("engine", "held");
        let id = id_of(gateway, engine);
        let after = held_for.as_millis();
        info!("event=engine_held engine={id} cause=retry-after retry_after_ms={after}");
    }
}

fn release<C: Clock>(gateway: &Gateway<C>, engine: Engine) {
    let held_for = gateway.registry.borrow_mut().release(engine);
    if let Some(held_for) = held_for {
        gateway.metrics.count_decision("engine", "released");
        let id = id_of(gateway, engine);
        let after = held_for.as_millis();
        info!("event=engine_released engine={id} after_ms={after}");
    }
}

fn id_of<C: Clock>(gateway: &Gateway<C>, engine: Engine) -> CompactString {
    let registry = gateway.registry.borrow();
    let id = registry
        .get(engine)
        .map(|state| state.registration.id.clone());
    id.unwrap_or_default()
}

//! Records what engines say in their answers about further requests of this host.

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
    let mut registry = gateway.registry.borrow_mut();
    if answer.is_leaving && registry.set_leaving(engine) {
        gateway.metrics.count_decision("engine", "leaving");
        let id = registry
            .get(engine)
            .map(|state| state.registration.id.as_str());
        info!("event=engine_leaving engine={}", id.unwrap_or_default());
    }
}

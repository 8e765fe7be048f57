//! Detects engines that disappeared without closing their connections.
//!
//! After a power loss or a network partition no reset arrives and open connections stay silent. An
//! engine that is silent although requests run on it is checked by opening a TCP connection, which
//! is the cheapest check that a live engine answers. [`reach`] tells a lost engine from a host that
//! reaches nothing.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use log::info;

use super::Gateway;
use super::reach::{self, Unreached};
use crate::clock::Clock;
use crate::route::registry::Engine;
use crate::supervisor::Signal;
use crate::util::within;

/// Time between two searches for silent engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which a check waits while this host reaches nothing.
const CHECK_LIMIT: Duration = Duration::from_secs(1);

/// Delay of a timer from which this process itself was paused, so silence is no evidence against
/// the engine.
const LATE_TIMER: Duration = Duration::from_millis(100);

/// Checks silent engines until `stop` is set, and declares those lost that accept no connection.
pub async fn run<C: Clock>(gateway: Rc<Gateway<C>>, stop: Signal) {
    let mut last_round_at = gateway.clock.now();
    while !stop.is_set() {
        within(CHECK_INTERVAL, stop.wait()).await;
        let now = gateway.clock.now();
        let was_paused = now.duration_since(last_round_at) >= CHECK_INTERVAL + LATE_TIMER;
        last_round_at = now;
        if was_paused {
            continue;
        }
        let due = gateway.registry.borrow_mut().due_checks();
        for (engine, address) in due {
            gateway
                .checks
                .spawn(check(gateway.clone(), engine, address));
        }
    }
}

/// Starts the check of an engine if it must be checked before it is used again.
pub fn start_if_due<C: Clock>(gateway: &Rc<Gateway<C>>, engine: Engine) {
    let address = gateway.registry.borrow_mut().begin_needed_check(engine);
    if let Some(address) = address {
        gateway
            .checks
            .spawn(check(gateway.clone(), engine, address));
    }
}

async fn check<C: Clock>(gateway: Rc<Gateway<C>>, engine: Engine, address: CompactString) {
    let began = gateway.clock.now();
    let result = reach::connect(&gateway, engine, &address, CHECK_LIMIT).await;
    let mut registry = gateway.registry.borrow_mut();
    let cause = match result {
        Ok(_) => {
            gateway.metrics.count_decision("check", "accepted");
            return registry.set_heard(engine);
        }
        Err(cause) => cause,
    };
    gateway.metrics.count_decision("check", cause.as_str());
    match cause {
        Unreached::Busy => return registry.set_heard(engine),
        Unreached::NoContact => return registry.end_check(engine),
        Unreached::Refused | Unreached::Unanswered => {}
    }
    let id = registry
        .get(engine)
        .map(|state| state.registration.id.clone());
    info!(
        "event=engine_lost engine={} cause={} after_ms={}",
        id.unwrap_or_default(),
        cause.as_str(),
        gateway.clock.now().duration_since(began).as_millis()
    );
    registry.set_lost(engine);
}

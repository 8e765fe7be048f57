//! Finds engines that went dark: they send no reset, and their connections stay silent for good.
//!
//! A connection to the engine's address is the cheapest question that a live engine answers. It is
//! asked only about engines that are silent while they should work.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::net::TcpStream;
use futures_util::future::{Either, select};
use log::info;

use super::Gateway;
use crate::clock::Clock;
use crate::route::registry::Engine;
use crate::supervisor::{Group, Signal};
use crate::util::within;

/// Time between two looks for silent engines.
const ROUND: Duration = Duration::from_millis(60);

/// Time between two tries to connect; the second one covers a lost packet of the first.
const SECOND_TRY: Duration = Duration::from_millis(50);

/// Time for both tries together.
const LIMIT: Duration = Duration::from_millis(130);

/// A look that is later than this shows that this process did not run, so that silence proves
/// nothing.
const LATE: Duration = Duration::from_millis(100);

/// Checks silent engines until `stop` is given.
pub async fn run<C: Clock>(gateway: Rc<Gateway<C>>, stop: Signal) {
    let checks = Group::default();
    let mut looked_at = gateway.clock.now();
    while !stop.is_set() {
        within(ROUND, stop.wait()).await;
        let now = gateway.clock.now();
        let is_late = now.duration_since(looked_at) >= ROUND + LATE;
        looked_at = now;
        if is_late {
            continue;
        }
        let due = gateway.registry.borrow_mut().due_checks();
        for (engine, address) in due {
            checks.spawn(check(gateway.clone(), engine, address));
        }
    }
    checks.cancel().await;
}

async fn check<C: Clock>(gateway: Rc<Gateway<C>>, engine: Engine, address: CompactString) {
    let started = gateway.clock.now();
    let answered = within(LIMIT, is_reached(&address)).await;
    let elapsed = gateway.clock.now().duration_since(started);
    let mut registry = gateway.registry.borrow_mut();
    if answered == Some(true) || elapsed >= LIMIT + LATE {
        return registry.set_heard(engine);
    }
    let id = registry
        .get(engine)
        .map(|state| state.registration.id.clone());
    info!(
        "event=engine_lost engine={} answered={answered:?} after_ms={}",
        id.unwrap_or_default(),
        elapsed.as_millis()
    );
    registry.set_lost(engine);
}

/// Returns whether the address takes a connection in one of two tries.
async fn is_reached(address: &str) -> bool {
    let first = pin!(TcpStream::connect(address));
    let second = pin!(async {
        compio::time::sleep(SECOND_TRY).await;
        TcpStream::connect(address).await
    });
    match select(first, second).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result.is_ok(),
    }
}

//! Detects engines that disappeared without closing their connections.
//!
//! After a power loss or a network partition no reset arrives and open connections stay silent. An
//! engine that is silent although requests run on it is checked by opening a TCP connection, which
//! is the cheapest check that a live engine answers.

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

/// Time between two searches for silent engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Delay before a second connection is tried, in case a packet of the first one was lost.
const SECOND_CONNECT_DELAY: Duration = Duration::from_millis(50);

/// Timeout of both connection attempts together.
const CHECK_TIMEOUT: Duration = Duration::from_millis(130);

/// Delay of a timer from which this process itself was paused, so silence is no evidence against
/// the engine.
pub const LATE_TIMER: Duration = Duration::from_millis(100);

/// Checks silent engines until `stop` is set, and declares those lost that accept no connection.
pub async fn run<C: Clock>(gateway: Rc<Gateway<C>>, stop: Signal) {
    let checks = Group::default();
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
            checks.spawn(check(gateway.clone(), engine, address));
        }
    }
    checks.cancel().await;
}

async fn check<C: Clock>(gateway: Rc<Gateway<C>>, engine: Engine, address: CompactString) {
    let started = gateway.clock.now();
    let answered = within(CHECK_TIMEOUT, accepts_connection(&address)).await;
    let elapsed = gateway.clock.now().duration_since(started);
    let mut registry = gateway.registry.borrow_mut();
    if answered == Some(true) || elapsed >= CHECK_TIMEOUT + LATE_TIMER {
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

/// Returns whether the first of two connection attempts to end was accepted.
async fn accepts_connection(address: &str) -> bool {
    let first = pin!(TcpStream::connect(address));
    let second = pin!(async {
        compio::time::sleep(SECOND_CONNECT_DELAY).await;
        TcpStream::connect(address).await
    });
    match select(first, second).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result.is_ok(),
    }
}

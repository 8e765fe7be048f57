//! Tasks that watch the roll-out orders in the store and write their states.
//!
//! They run only on hosts whose settings limit roll-outs. [`crate::rollout`] makes the decisions.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use log::info;

use super::position::Position;
use super::protocol::{Directory, Listing, OrderChange, Unavailable};
use super::{Gateway, versions, watch};
use crate::clock::Clock;
use crate::rollout::{Entry, Lifecycle};
use crate::supervisor::Signal;
use crate::util::within;

/// Time for which the store holds a watch of orders without changes. It is long because the store charges
/// for each call, and a host whose watch has stalled learns of an order from the reports of the others.
const ORDERS_WAIT: Duration = Duration::from_secs(15);

/// Time between two checks whether this host has to watch the store and reaches it.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks whether a state has to be written.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after a write that the store did not answer.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time that a host waits for each host ranked before it to write a state, so that usually one writes and a
/// lost writer is replaced.
const WRITER_PATIENCE: Duration = Duration::from_millis(500);

/// Keeps the orders up to date until `stop` is set, while this host watches the store.
pub async fn watch_orders<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    stop: Signal,
) {
    let mut since = None;
    let mut known = Position::default();
    let mut failures = 0;
    while !stop.is_set() {
        if !gateway.role.is_watching() {
            since = None;
            gateway.rollouts.borrow_mut().end_watch();
            within(ROLE_CHECK_INTERVAL, stop.wait()).await;
            continue;
        }
        if !gateway.reaches_store() {
            // The calls for configuration and engines find out when it is back.
            since = None;
            within(ROLE_CHECK_INTERVAL, stop.wait()).await;
            continue;
        }
        let next_era = gateway.next_era();
        since = since.filter(|since| gateway.is_current_era(*since));
        let call = call_orders(&gateway, &directory, since, known);
        match unless_lost(&gateway, watch::unless_set(&next_era, call)).await {
            Ok(position) => {
                failures = 0;
                known = position;
                since = Some(position);
            }
            Err(Unavailable::HistoryGone) => since = None,
            Err(Unavailable::NoAnswer(cause)) => {
                failures += 1;
                if failures == 1 {
                    info!("event=orders_unread error={cause:?}");
                }
                since = None;
                let pause = watch::retry_interval(failures, gateway.role.is_representative());
                within(pause.mul_f64(rand::random_range(0.7..1.0)), stop.wait()).await;
            }
        }
    }
}

/// Returns the result of a call to the store; [`Unavailable::HistoryGone`] if other calls failed meanwhile,
/// as the watch may then have fallen silent.
async fn unless_lost<C: Clock>(
    gateway: &Gateway<C>,
    call: impl Future<Output = Result<Position, Unavailable>>,
) -> Result<Position, Unavailable> {
    let lost = async {
        while gateway.reaches_store() {
            compio::time::sleep(ROLE_CHECK_INTERVAL).await;
        }
    };
    match select(pin!(call), pin!(lost)).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(Unavailable::HistoryGone),
    }
}

/// Lists the orders, or waits for changes after `since`. Returns the position to watch from.
async fn call_orders<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    since: Option<Position>,
    known: Position,
) -> Result<Position, Unavailable> {
    let result = match since {
        None => {
            let listing = directory.list_orders().await;
            watch::count_call(gateway, "orders_call", &listing);
            let listing = listing?;
            gateway.check_position("orders", None, known, listing.position)?;
            let position = listing.position;
            watch::warn_unreadable("orders", listing.unreadable);
            let now = gateway.clock.now();
            gateway
                .rollouts
                .borrow_mut()
                .set_entries(listing.items, now);
            position
        }
        Some(since) => {
            let listing = directory.watch_orders(since, ORDERS_WAIT).await;
            watch::count_call(gateway, "orders_call", &listing);
            let listing = listing?;
            gateway.check_position("orders", Some(since), known, listing.position)?;
            apply_changes(gateway, listing)
        }
    };
    Ok(result)
}

fn apply_changes<C: Clock>(gateway: &Gateway<C>, listing: Listing<OrderChange>) -> Position {
    watch::warn_unreadable("orders", listing.unreadable);
    let now = gateway.clock.now();
    let mut rollouts = gateway.rollouts.borrow_mut();
    for change in listing.items {
        match change {
            OrderChange::Changed(entry) => rollouts.set_entry(entry, now),
            OrderChange::Withdrawn(service) => rollouts.withdraw(&service),
        }
    }
    listing.position
}

/// Writes the states of orders until `stop` is set, while this host watches the store.
pub async fn write_states<C: Clock, D: Directory>(
    gateway: Rc<Gateway<C>>,
    directory: D,
    stop: Signal,
) {
    while !stop.is_set() {
        within(WRITE_CHECK_INTERVAL, stop.wait()).await;
        if !gateway.role.is_watching() {
            continue;
        }
        let patience = WRITER_PATIENCE * gateway.writer_rank.get();
        let now = gateway.clock.now();
        let engines = |order: &_| versions::engines(&gateway, order);
        let due = gateway
            .rollouts
            .borrow_mut()
            .due_writes(patience, engines, now);
        for (entry, lifecycle) in due {
            write_state(&gateway, &directory, entry, lifecycle).await;
        }
    }
}

async fn write_state<C: Clock, D: Directory>(
    gateway: &Gateway<C>,
    directory: &D,
    entry: Entry,
    lifecycle: Lifecycle,
) {
    let result = directory.write_order_state(&entry, lifecycle).await;
    watch::count_call(gateway, "order_write", &result);
    let (service, state) = (&entry.order.service, lifecycle.as_str());
    match result {
        Ok(Some(current)) => {
            let is_written = current.lifecycle == Some(lifecycle);
            let revision = current.revision;
            info!(
                "event=rollout_state service={service} state={state} written={is_written} revision={revision}"
            );
            let now = gateway.clock.now();
            gateway.rollouts.borrow_mut().set_entry(current, now);
        }
        Ok(None) => gateway.rollouts.borrow_mut().withdraw(service),
        Err(err) => {
            info!("event=rollout_state_unwritten service={service} state={state} error={err:?}");
            compio::time::sleep(WRITE_RETRY_PAUSE).await;
        }
    }
}

//! Gives orders to engines while this host holds the lease.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use compio::bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::select;
use hyper::StatusCode;
use log::{info, warn};
use serde::{Deserialize, Serialize};

use super::plan::{Engine, Next, Plan};
use crate::clock::{self, Clock};
use crate::config::split::Split;
use crate::engine;
use crate::http::client::{Connection, post_json};
use crate::router::Router;
use crate::store::lease::{Lease, Timing};
use crate::store::objects::{self, Client, Condition, Objects};
use crate::supervisor::Signal;
use crate::util::{unix_ms, within};
use crate::wire::Order;
use crate::wire::{Kind, Listing};

/// Duty of the router that should hold the lease.
const DUTY: &str = "orders";

/// Key of the lease.
const LEASE: &str = "orders/lease";

/// Times of the lease. Orders on engines that ignore fencing numbers are exclusive while clocks
/// drift by less than `bound` in a lease and an order takes less than `bound` to arrive.
const LEASE_TIMING: Timing = Timing {
    ttl: Duration::from_secs(5),
    clock_bound: Duration::from_secs(1),
};

/// Time between two looks at the lease.
const LEASE_PERIOD: Duration = Duration::from_millis(500);

/// Time between two looks at all engines, at least; 2 ms for each engine keep a holder of
/// thousands of engines below 500 status requests a second.
const LOOK_PERIOD: Duration = Duration::from_millis(500);
const LOOK_PERIOD_PER_ENGINE: Duration = Duration::from_millis(2);

/// Status requests under way at once.
const PARALLEL: usize = 32;

/// Longest time for a status request or to connect.
const CALL_LIMIT: Duration = Duration::from_millis(800);

/// Longest time for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_secs(5);

/// Numbers for operators.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Overview {
    /// Whether this host holds the lease as far as it knows.
    pub holds: bool,
    /// Fencing number of the lease that it holds or held last.
    pub fencing: u64,
    /// Orders given since the start.
    pub given: u64,
}

/// The part of the state that other parts of the router see.
#[derive(Debug, Default)]
pub struct State(Cell<Overview>);

impl State {
    /// Returns numbers for operators.
    pub fn overview(&self) -> Overview {
        self.0.get()
    }
}

/// The object `orders/done/ENGINE`.
#[derive(Debug, Deserialize, Serialize)]
struct Done {
    order: Order,
    holder: CompactString,
    at_ms: u64,
}

struct Task {
    router: Rc<Router>,
    store: Client,
    lease: Lease<Client, clock::System>,
    // Invariant: belongs to the fencing number beside it.
    plan: RefCell<Option<(u64, Plan)>>,
    // An order that is on its way keeps the lease from being given up before its end.
    is_giving: Cell<bool>,
}

enum Outcome {
    Accepted,
    Outdated,
    Failed(String),
}

/// Returns the task; without a store there is no lease, so it gives no orders.
pub async fn run(router: Rc<Router>, stop: Signal) {
    let Some(store) = router.store.clone() else {
        return;
    };
    let host = router.host.name.clone();
    let task = Task {
        lease: Lease::new(store.clone(), clock::System, LEASE, host, LEASE_TIMING),
        router,
        store,
        plan: RefCell::default(),
        is_giving: Cell::new(false),
    };
    let work = async { futures_util::join!(task.keep_lease(), task.give_orders()) };
    select(Box::pin(stop.wait()), Box::pin(work)).await;
    task.release().await;
}

impl Task {
    async fn release(&self) {
        if !self.is_giving.get() {
            self.lease.release().await;
        }
    }

    async fn keep_lease(&self) {
        let mut failures = 0u32;
        loop {
            // A holder keeps the lease when the duty moves, because each change costs a wait.
            let should_hold = self.lease.is_held() || self.router.view.owns(DUTY);
            if self.router.leaving.is_given() {
                self.release().await;
            } else if should_hold && self.router.view.is_active() && self.router.config.is_stored()
            {
                match self.lease.renew_or_acquire().await {
                    Ok(()) => failures = 0,
                    Err(err) => {
                        failures += 1;
                        info!("event=lease_unclear failures={failures} error={err:?}");
                    }
                }
            }
            self.show(|overview| overview.holds = self.lease.is_held());
            let spread = match failures {
                0 | 1 => Duration::ZERO,
                _ => Duration::from_secs(2).mul_f64(rand::random()),
            };
            compio::time::sleep(LEASE_PERIOD + spread).await;
        }
    }

    fn show(&self, change: impl FnOnce(&mut Overview)) {
        let mut overview = self.router.orders.0.get();
        change(&mut overview);
        self.router.orders.0.set(overview);
    }

    /// Returns the fencing number if an order may be given at this moment.
    fn fencing(&self) -> Option<u64> {
        let fencing = self.lease.fencing()?;
        let may_act = self.router.view.is_active() && !self.router.leaving.is_given();
        may_act.then_some(fencing)
    }

    async fn give_orders(&self) {
        loop {
            let engines = match self.fencing() {
                Some(fencing) => self.look_and_give(fencing).await,
                None => 0,
            };
            let period = LOOK_PERIOD_PER_ENGINE * engines as u32;
            compio::time::sleep(period.max(LOOK_PERIOD)).await;
        }
    }

    async fn look_and_give(&self, fencing: u64) -> usize {
        let engines = self.engines().await;
        let next = {
            let (split, revision) = (self.router.split(), self.router.config.revision());
            let mut plan = self.plan.borrow_mut();
            let now = clock::System.now();
            let is_new = plan.as_ref().is_none_or(|(of, _)| *of != fencing);
            if is_new {
                let inherited = self.lease.inherited_note();
                let inherited = inherited.split_whitespace().map(Into::into).collect();
                *plan = Some((fencing, Plan::new(&split, inherited, now)));
            }
            plan.as_mut()
                .and_then(|(_, plan)| plan.next(&split, revision, &engines, now))
        };
        if let Some(next) = next {
            self.give(fencing, next).await;
        }
        engines.len()
    }

    fn with_plan(&self, change: impl FnOnce(&mut Plan, &Split)) {
        let split = self.router.split();
        if let Some((_, plan)) = self.plan.borrow_mut().as_mut() {
            change(plan, &split);
        }
    }

    async fn engines(&self) -> Vec<Engine> {
        let listing = self.router.listing();
        let listed = listing
            .into_iter()
            .filter(|member| member.kind == Kind::Engine && member.state == Listing::Live);
        let looks = listed.map(|member| async move {
            // Only the state is wanted, so no cache events are asked for.
            let answer = engine::status(&member.address, u64::MAX, CALL_LIMIT).await;
            let (status, bytes) = answer.unzip();
            self.router.count_polled(bytes.unwrap_or(0));
            Engine {
                name: member.name,
                address: member.address,
                model: member.service,
                status,
            }
        });
        let looks = futures_util::stream::iter(looks);
        looks.buffer_unordered(PARALLEL).collect().await
    }

    async fn give(&self, fencing: u64, next: Next) {
        self.with_plan(|plan, split| plan.begin(split, &next, clock::System.now()));
        let order = Order {
            fencing,
            id: next.id.clone(),
            action: next.action.clone(),
        };
        self.is_giving.set(true);
        let outcome = match self.announce().await {
            Ok(()) => self.send(&next.address, &order).await,
            Err(err) => Outcome::Failed(err.to_string()),
        };
        self.is_giving.set(false);
        self.with_plan(|plan, _| {
            plan.answered(&next.engine, matches!(outcome, Outcome::Accepted));
        });
        let (engine, id) = (&next.engine, &next.id);
        match outcome {
            Outcome::Accepted => {
                info!("event=order_given engine={engine} id={id} fencing={fencing}");
                self.show(|overview| {
                    overview.given += 1;
                    overview.fencing = fencing;
                });
                self.note_done(&next.engine, order).await;
            }
            Outcome::Outdated => {
                warn!("event=order_outdated engine={engine} id={id} fencing={fencing}");
                self.lease.mark_lost();
            }
            Outcome::Failed(error) => {
                info!("event=order_failed engine={engine} id={id} error={error:?}");
            }
        }
    }

    /// Tells the next holder which engines have orders under way, before one is given.
    async fn announce(&self) -> Result<(), objects::Error> {
        let mut note = String::new();
        self.with_plan(|plan, _| {
            let names: Vec<_> = plan.under_way().map(CompactString::as_str).collect();
            note = names.join(" ");
        });
        self.lease.store_note(note).await
    }

    async fn send(&self, address: &str, order: &Order) -> Outcome {
        let failed = |err: crate::http::client::Error| Outcome::Failed(err.to_string());
        let mut connection = match Connection::open(address, CALL_LIMIT).await {
            Ok(connection) => connection,
            Err(err) => return failed(err),
        };
        // The process may have been paused while the connection was opened, so the lease is looked
        // at directly before the order is sent.
        if self.fencing() != Some(order.fencing) {
            return Outcome::Failed("the lease is no longer certain".into());
        }
        let request = post_json(address, "/v1/orders", order);
        match within(ORDER_LIMIT, connection.send(request)).await {
            Some(Ok(response)) => match response.status() {
                StatusCode::CONFLICT => Outcome::Outdated,
                status if status.is_success() => Outcome::Accepted,
                status => Outcome::Failed(status.to_string()),
            },
            Some(Err(err)) => failed(err),
            None => Outcome::Failed("no answer".into()),
        }
    }

    /// Records the order for operators; one of a later holder is not replaced.
    async fn note_done(&self, engine: &str, order: Order) {
        let key = format!("orders/done/{engine}");
        let condition = match self.store.get(&key).await {
            Ok(None) => Condition::Absent,
            Ok(Some(object)) => match serde_json::from_slice::<Done>(&object.body) {
                Ok(done) if done.order.fencing > order.fencing => return,
                _ => Condition::Matches(object.version),
            },
            Err(err) => return info!("event=order_not_noted engine={engine} error={err:?}"),
        };
        let done = Done {
            order,
            holder: self.router.host.name.clone(),
            at_ms: unix_ms(clock::System.wall()),
        };
        let body = Bytes::from(serde_json::to_vec(&done).expect("an order serializes"));
        if let Err(err) = self.store.put(&key, body, condition).await {
            info!("event=order_not_noted engine={engine} error={err:?}");
        }
    }
}

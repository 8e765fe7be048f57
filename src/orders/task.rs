//! Sends orders to engines while this host holds the lease on orders.

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

use super::plan::{Engine, Plan, PlannedOrder};
use crate::clock::{self, Clock};
use crate::config::split::SharedSettings;
use crate::engine;
use crate::http::client::{Connection, post_json};
use crate::router::Router;
use crate::store::lease::{Lease, Timing};
use crate::store::objects::{self, Client, Condition, Objects};
use crate::supervisor::Signal;
use crate::util::{unix_ms, within};
use crate::wire::Order;
use crate::wire::{Kind, Lifecycle};

/// Name of the duty; the router that owns it by rendezvous hashing is the one to acquire the lease.
const DUTY: &str = "orders";

/// Key of the lease in the store.
const LEASE_KEY: &str = "orders/lease";

/// Timing of the lease. On engines that ignore fencing numbers, only one holder's orders take effect
/// as long as clocks drift by less than `clock_bound` during a lease and an order arrives within
/// `clock_bound`.
const LEASE_TIMING: Timing = Timing {
    ttl: Duration::from_secs(5),
    clock_bound: Duration::from_secs(1),
};

/// Time between two checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two polls of all engines.
const POLL_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// Poll interval per engine, where it exceeds the minimum. 2 ms keep the holder below 500 status
/// requests per second, also with thousands of engines.
const POLL_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(2);

/// Maximum number of concurrent status requests.
const CONCURRENT_POLLS_MAX: usize = 32;

/// Timeout of a status request, and of opening the connection for an order.
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for an engine's response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Summary for operators, shown under `orders` in `/admin/v1/status`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Overview {
    /// Whether this host holds the lease as far as it knows.
    pub holds: bool,
    /// Fencing number of the last order that an engine accepted; 0 before the first.
    pub fencing: u64,
    /// Number of orders that engines accepted since the process started.
    pub given: u64,
}

/// State that the task shares with the rest of the router.
#[derive(Debug, Default)]
pub struct State(Cell<Overview>);

impl State {
    /// Returns the summary for operators.
    pub fn overview(&self) -> Overview {
        self.0.get()
    }
}

/// Content of the object `orders/done/ENGINE`: the last order that the engine accepted.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    order: Order,
    holder: CompactString,
    at_ms: u64,
}

struct Task {
    router: Rc<Router>,
    store: Client,
    lease: Lease<Client, clock::System>,
    // The fencing number of the lease under which the plan was made, and the plan.
    plan: RefCell<Option<(u64, Plan)>>,
    // While an order is being sent the lease is not released, so that the next holder waits until the
    // lease has expired.
    is_sending: Cell<bool>,
}

/// Result of sending an order.
enum Outcome {
    Accepted,
    /// The engine has seen a higher fencing number.
    Outdated,
    Failed(String),
}

/// Runs the task until `stop`. Without a store there is no lease, so it returns at once.
pub async fn run(router: Rc<Router>, stop: Signal) {
    let Some(store) = router.store.clone() else {
        return;
    };
    let host = router.host.name.clone();
    let task = Task {
        lease: Lease::new(store.clone(), clock::System, LEASE_KEY, host, LEASE_TIMING),
        router,
        store,
        plan: RefCell::default(),
        is_sending: Cell::new(false),
    };
    let work = async { futures_util::join!(task.keep_lease(), task.run_orders()) };
    select(Box::pin(stop.wait()), Box::pin(work)).await;
    task.release_lease().await;
}

impl Task {
    async fn release_lease(&self) {
        if !self.is_sending.get() {
            self.lease.release().await;
        }
    }

    async fn keep_lease(&self) {
        let mut failures = 0u32;
        loop {
            // A holder keeps the lease when another router becomes the owner of the duty, because a
            // change of holder delays orders.
            let should_hold = self.lease.is_held() || self.router.view.owns(DUTY);
            if self.router.leaving.is_set() {
                self.release_lease().await;
            } else if should_hold
                && self.router.view.is_active()
                && self.router.config.is_published()
            {
                match self.lease.renew_or_acquire().await {
                    Ok(()) => failures = 0,
                    Err(err) => {
                        failures += 1;
                        info!("event=lease_unclear failures={failures} error={err:?}");
                    }
                }
            }
            self.update_overview(|overview| overview.holds = self.lease.is_held());
            // After repeated failures a random delay spreads the retries of several hosts.
            let jitter = match failures {
                0 | 1 => Duration::ZERO,
                _ => Duration::from_secs(2).mul_f64(rand::random()),
            };
            compio::time::sleep(LEASE_CHECK_INTERVAL + jitter).await;
        }
    }

    fn update_overview(&self, change: impl FnOnce(&mut Overview)) {
        let mut overview = self.router.orders.0.get();
        change(&mut overview);
        self.router.orders.0.set(overview);
    }

    /// Returns the fencing number if an order may be sent now.
    fn fencing(&self) -> Option<u64> {
        let fencing = self.lease.fencing()?;
        let may_act = self.router.view.is_active() && !self.router.leaving.is_set();
        may_act.then_some(fencing)
    }

    async fn run_orders(&self) {
        loop {
            let engines = match self.fencing() {
                Some(fencing) => self.poll_and_order(fencing).await,
                None => 0,
            };
            let interval = POLL_INTERVAL_PER_ENGINE * engines as u32;
            compio::time::sleep(interval.max(POLL_INTERVAL_MIN)).await;
        }
    }

    /// Polls all engines and sends the order that is due, if there is one; returns the number of
    /// engines.
    async fn poll_and_order(&self, fencing: u64) -> usize {
        let engines = self.poll_engines().await;
        let next = {
            let (settings, revision) = (self.router.settings(), self.router.config.revision());
            let mut plan = self.plan.borrow_mut();
            let now = clock::System.now();
            let is_new = plan.as_ref().is_none_or(|(planned, _)| *planned != fencing);
            if is_new {
                let inherited = self.lease.inherited_note();
                let inherited = inherited.split_whitespace().map(Into::into).collect();
                *plan = Some((fencing, Plan::new(&settings, inherited, now)));
            }
            plan.as_mut()
                .and_then(|(_, plan)| plan.next(&settings, revision, &engines, now))
        };
        if let Some(next) = next {
            self.execute(fencing, next).await;
        }
        engines.len()
    }

    fn with_plan(&self, change: impl FnOnce(&mut Plan, &SharedSettings)) {
        let settings = self.router.settings();
        if let Some((_, plan)) = self.plan.borrow_mut().as_mut() {
            change(plan, &settings);
        }
    }

    async fn poll_engines(&self) -> Vec<Engine> {
        let member_list = self.router.member_list();
        let listed = member_list
            .into_iter()
            .filter(|member| member.kind == Kind::Engine && member.state == Lifecycle::Live);
        let polls = listed.map(|member| async move {
            // `u64::MAX` leaves out the cache events, which are not needed here.
            let response = engine::status(&member.address, u64::MAX, STATUS_TIMEOUT).await;
            let (status, bytes) = response.unzip();
            self.router.count_polled_bytes(bytes.unwrap_or(0));
            Engine {
                name: member.name,
                address: member.address,
                model: member.service,
                status,
            }
        });
        let polls = futures_util::stream::iter(polls);
        polls.buffer_unordered(CONCURRENT_POLLS_MAX).collect().await
    }

    /// Sends an order, and records its outcome in the plan, the log and the store.
    async fn execute(&self, fencing: u64, next: PlannedOrder) {
        self.with_plan(|plan, settings| plan.record_start(settings, &next, clock::System.now()));
        let order = Order {
            fencing,
            id: next.id.clone(),
            action: next.action.clone(),
        };
        self.is_sending.set(true);
        let outcome = match self.store_pending_engines().await {
            Ok(()) => self.send(&next.address, &order).await,
            Err(err) => Outcome::Failed(err.to_string()),
        };
        self.is_sending.set(false);
        self.with_plan(|plan, _| {
            plan.record_outcome(&next.engine, matches!(outcome, Outcome::Accepted));
        });
        let (engine, id) = (&next.engine, &next.id);
        match outcome {
            Outcome::Accepted => {
                info!("event=order_given engine={engine} id={id} fencing={fencing}");
                self.update_overview(|overview| {
                    overview.given += 1;
                    overview.fencing = fencing;
                });
                self.store_record(&next.engine, order).await;
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

    /// Stores in the lease which engines have pending orders, for the next holder. Called before an
    /// order is sent.
    async fn store_pending_engines(&self) -> Result<(), objects::Error> {
        let mut note = String::new();
        self.with_plan(|plan, _| {
            let names: Vec<_> = plan.pending_engines().map(CompactString::as_str).collect();
            note = names.join(" ");
        });
        self.lease.store_note(note).await
    }

    async fn send(&self, address: &str, order: &Order) -> Outcome {
        let failed = |err: crate::http::client::Error| Outcome::Failed(err.to_string());
        let mut connection = match Connection::open(address, STATUS_TIMEOUT).await {
            Ok(connection) => connection,
            Err(err) => return failed(err),
        };
        // The process may have been paused while the connection was opened, so the lease is checked
        // again immediately before the order is sent.
        if self.fencing() != Some(order.fencing) {
            return Outcome::Failed(
                "the order was not sent: this host may no longer hold the lease".into(),
            );
        }
        let request = post_json(address, "/v1/orders", order);
        match within(ORDER_TIMEOUT, connection.send(request)).await {
            Some(Ok(response)) => match response.status() {
                StatusCode::CONFLICT => Outcome::Outdated,
                status if status.is_success() => Outcome::Accepted,
                status => Outcome::Failed(status.to_string()),
            },
            Some(Err(err)) => failed(err),
            None => Outcome::Failed("the engine did not respond in time".into()),
        }
    }

    /// Stores an accepted order for operators. An order of a later holder is not replaced.
    async fn store_record(&self, engine: &str, order: Order) {
        let key = format!("orders/done/{engine}");
        let condition = match self.store.get(&key).await {
            Ok(None) => Condition::Absent(self.store.era()),
            Ok(Some(object)) => match serde_json::from_slice::<Record>(&object.body) {
                Ok(record) if record.order.fencing > order.fencing => return,
                _ => Condition::Matches(object.version),
            },
            Err(err) => return info!("event=order_not_noted engine={engine} error={err:?}"),
        };
        let record = Record {
            order,
            holder: self.router.host.name.clone(),
            at_ms: unix_ms(clock::System.wall()),
        };
        let body = Bytes::from(serde_json::to_vec(&record).expect("an order serializes"));
        if let Err(err) = self.store.put(&key, body, condition).await {
            info!("event=order_not_noted engine={engine} error={err:?}");
        }
    }
}

//! The attempts of one request: what they cost of the retry budget, and when to stop.

use std::rc::Rc;

use compact_str::CompactString;

use super::fault::Fault;
use super::refusal::{RETRY_AFTER_SHORT, Refusal};
use super::{Gateway, versions};
use crate::clock::Clock;
use crate::http::problem::Reason;
use crate::route::registry::Engine;

/// Attempts that reached no engine after which a request is refused. They cost the engines nothing,
/// but a host that reaches none must not hold the request.
const UNSENT_ATTEMPTS_MAX: u32 = 24;

/// Part of the time for which all engines are held over which `Retry-After` is spread.
const HELD_SPREAD: f64 = 0.25;

/// The attempts of one request so far.
///
/// The first attempt that reaches an engine is free, each later one is a retry. The retry is taken
/// out of the budget before the attempt and given back if no attempt used it.
#[derive(Debug)]
pub struct Attempts<C: Clock> {
    gateway: Rc<Gateway<C>>,
    service: CompactString,
    /// Number of attempts whose request may have run on an engine.
    pub possible_runs: u32,
    /// Engines that the next attempt does not choose.
    pub excluded: Vec<Engine>,
    rejected: u32,
    unsent: u32,
    // The attempts that certainly did not run, in all rounds but the last. Only requests that may have
    // run begin another round.
    earlier_not_run: u32,
    // Whether the first attempt goes to the version that an order names.
    is_trial: bool,
    // Whether a retry was taken out of the budget and not yet used.
    has_retry: bool,
    // The same for the attempt after the one that is running.
    has_next_retry: bool,
    // Whether an attempt is running, which may have reached its engine.
    is_running: bool,
}

impl<C: Clock> Attempts<C> {
    /// Creates the record of a request to `service` that was not sent yet.
    pub fn new(gateway: &Rc<Gateway<C>>, service: CompactString) -> Self {
        Self {
            gateway: gateway.clone(),
            is_trial: versions::draw(gateway, &service),
            service,
            possible_runs: 0,
            excluded: Vec::new(),
            rejected: 0,
            unsent: 0,
            earlier_not_run: 0,
            has_retry: false,
            has_next_retry: false,
            is_running: false,
        }
    }

    /// Returns whether the next attempt goes to the version that an order names. A retry does not.
    pub fn is_trial(&self) -> bool {
        self.is_trial && self.possible_runs + self.not_run() == 0
    }

    /// Returns whether the next attempt is allowed; takes a retry out of the budget if it needs one.
    pub fn may_send(&mut self) -> bool {
        let is_first = self.possible_runs + self.rejected == 0;
        self.has_retry |= std::mem::take(&mut self.has_next_retry);
        if is_first || self.has_retry {
            return true;
        }
        self.has_retry = self.try_spend();
        self.has_retry
    }

    /// Returns whether another attempt is allowed while one is running; takes its retry out of the
    /// budget.
    pub fn may_send_another(&mut self) -> bool {
        self.has_next_retry = self.has_next_retry || self.try_spend();
        self.has_next_retry
    }

    fn try_spend(&self) -> bool {
        let now = self.gateway.clock.now();
        let mut budget = self.gateway.budget.borrow_mut();
        let is_granted = budget.try_spend(&self.service, now);
        let outcome = if is_granted { "granted" } else { "denied" };
        self.gateway.metrics.count_decision("retry", outcome);
        is_granted
    }

    /// Records the start of an attempt. If the request ends before the attempt does, its retry is not
    /// given back.
    pub fn begin(&mut self) {
        self.is_running = true;
    }

    /// Records an attempt that sent nothing and may be repeated at the same engine.
    pub fn record_no_contact(&mut self) {
        self.is_running = false;
    }

    /// Records an attempt that the engine answered, also with a failure.
    pub fn record_answer(&mut self) {
        self.is_running = false;
        self.has_retry = false;
        self.possible_runs += 1;
    }

    /// Records an attempt without a usable response. The next attempt chooses another engine.
    pub fn record_fault(&mut self, engine: Engine, fault: Fault) {
        self.is_running = false;
        self.excluded.push(engine);
        if matches!(fault, Fault::Unsent | Fault::Busy | Fault::Declined) {
            self.unsent += 1;
            return;
        }
        self.has_retry = false;
        match fault.is_not_run() {
            true => self.rejected += 1,
            false => self.possible_runs += 1,
        }
    }

    /// Starts a new round, in which all engines are tried again.
    pub fn begin_round(&mut self) {
        self.excluded.clear();
        self.earlier_not_run += self.rejected + self.unsent;
        self.rejected = 0;
        self.unsent = 0;
    }

    /// Returns whether, in this round, the request was rejected by `rejected_max` engines, or could not be sent to
    /// too many.
    pub fn is_unplaceable(&self, rejected_max: u32) -> bool {
        self.rejected >= rejected_max || self.unsent >= UNSENT_ATTEMPTS_MAX
    }

    /// Returns the refusal of a request that no engine takes. `Retry-After` is not before an engine
    /// takes requests again, as far as is known, and differs so that callers do not come at once.
    pub fn no_engine(&self) -> Refusal {
        let held_for = self.gateway.registry.borrow().held_for(&self.service);
        let spread = held_for.mul_f64(rand::random_range(0.0..HELD_SPREAD));
        let retry_after = RETRY_AFTER_SHORT.max(held_for) + spread;
        let detail = "no engine takes the request at present; retry";
        Refusal::not_run(Reason::NoEngine, detail, retry_after)
    }

    /// Returns the number of attempts that certainly did not run.
    pub fn not_run(&self) -> u32 {
        self.earlier_not_run + self.rejected + self.unsent
    }
}

impl<C: Clock> Drop for Attempts<C> {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let unused = [self.has_retry && !self.is_running, self.has_next_retry];
        for _ in unused.into_iter().filter(|has| *has) {
            let mut budget = self.gateway.budget.borrow_mut();
            budget.refund(&self.service, now);
        }
    }
}

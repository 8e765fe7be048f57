//! Jobs that wait for the engines of one model: the bounds of their queues, the expected wait, and the
//! rate of work that it follows from.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::http::problem::Reason;
use crate::sched::job::{Refusal, Scope, Ticket};
use crate::sched::tree::{Node, Tree};
use crate::wire::Rank;

/// Number of jobs of a rank that may wait on one host.
///
/// Each partner may use an equal part, a team half of its partner's part, and a caller a quarter of
/// its team's part while other callers wait too.
pub(super) const QUEUE_LIMIT: usize = 4096;

/// Time between two measurements of the rate of work.
const RATE_INTERVAL: Duration = Duration::from_millis(250);

/// Weight of the newest measurement in the moving average of a rate.
const RATE_WEIGHT: f64 = 0.25;

/// Time for which jobs must have been waiting before the measured rate counts as the capacity of the
/// engines.
const RATE_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time after its last request for which a caller counts as active, so that others leave slots free
/// for it.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Seconds of earlier routine work that count towards its floor when urgent work arrives.
const FLOOR_CREDIT_S: f64 = 0.5;

/// Measurement of the rate of work on a model.
#[derive(Debug)]
pub(super) struct Meter {
    measured_at: Instant,
    /// Work since the last measurement by rank, in tokens.
    pub(super) work: [f64; 2],
    /// Moving average by rank, in tokens per second.
    rate: [f64; 2],
    /// Since when jobs have been waiting at every measurement.
    backlogged_since: Option<Instant>,
}

/// Jobs for one model, which compete for the same engines.
#[derive(Debug)]
pub(super) struct ModelQueue {
    pub(super) tree: Tree<Ticket>,
    // Jobs that have run and wait for another engine, in the order in which they are tried.
    pub(super) resuming: BTreeMap<u64, Ticket>,
    pub(super) meter: Meter,
    // Active callers with the time of their last request.
    pub(super) active_callers: BTreeMap<Node, Instant>,
}

impl ModelQueue {
    pub(super) fn new(now: Instant, floor_percent: u32) -> Self {
        Self {
            tree: Tree::new(floor_percent),
            resuming: BTreeMap::new(),
            active_callers: BTreeMap::new(),
            meter: Meter {
                measured_at: now,
                work: [0.0; 2],
                rate: [0.0; 2],
                backlogged_since: None,
            },
        }
    }

    /// Returns the priority of work in the engines' own queues.
    ///
    /// Routine work below its floor gets the priority of urgent work. Otherwise the urgent jobs that
    /// wait at the engines would never leave it a free slot.
    pub(super) fn priority(&self, rank: Rank) -> Rank {
        match rank {
            Rank::Routine if self.tree.is_routine_below_floor() => Rank::Urgent,
            rank => rank,
        }
    }

    /// Checks the bounds of the queues that a new job of a caller would join.
    pub(super) fn check_queues(&self, caller: Node, partners: usize) -> Result<(), Refusal> {
        let caller_limit = QUEUE_LIMIT / partners.max(1) / 8;
        let [caller, team, partner] = self.tree.waiting_by_level(caller);
        let is_contended = self.tree.waiting() > caller;
        let full = if partner >= 8 * caller_limit {
            Scope::Partner
        } else if team >= 4 * caller_limit {
            Scope::Team
        } else if is_contended && caller >= caller_limit {
            Scope::Caller
        } else {
            return Ok(());
        };
        Err(Refusal {
            reason: Reason::QueueFull,
            scope: Some(full),
            retry_after: Duration::from_secs(1),
        })
    }

    /// Checks that a new job of a caller is expected to start within `limit`.
    pub(super) fn check_wait(
        &self,
        caller: Node,
        rank: Rank,
        limit: Duration,
        now: Instant,
    ) -> Result<(), Refusal> {
        match self.wait(caller, rank, now) {
            Some(wait) if wait > limit => Err(Refusal::new(
                Reason::DeadlineUnreachable,
                (wait - limit).max(Duration::from_secs(1)),
            )),
            _ => Ok(()),
        }
    }

    /// Returns the expected wait of a new job; `None` until the rate is known.
    pub(super) fn wait(&self, caller: Node, rank: Rank, now: Instant) -> Option<Duration> {
        let since = self.meter.backlogged_since?;
        if now.duration_since(since) < RATE_SETTLE_TIME {
            return None;
        }
        let total: f64 = self.meter.rate.iter().sum();
        let floor = self.tree.floor();
        let other = match rank {
            Rank::Urgent => self.meter.rate[1].min(floor * total),
            Rank::Routine => self.meter.rate[0].min((1.0 - floor) * total),
        };
        let rate = total - other;
        if rate <= 0.0 {
            return None;
        }
        let seconds = self.tree.expected_wait(caller, rate);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Updates the rate of work, the active callers, and the credit for routine work.
    pub(super) fn measure(&mut self, now: Instant) {
        let meter = &mut self.meter;
        if self.tree.waiting() == 0 {
            meter.backlogged_since = None;
        } else if meter.backlogged_since.is_none() {
            meter.backlogged_since = Some(now);
        }
        let elapsed = now.duration_since(meter.measured_at);
        if elapsed < RATE_INTERVAL {
            return;
        }
        for (rate, work) in meter.rate.iter_mut().zip(&mut meter.work) {
            let newest = *work / elapsed.as_secs_f64();
            *rate += RATE_WEIGHT * (newest - *rate);
            *work = 0.0;
        }
        meter.measured_at = now;
        let tree = &mut self.tree;
        self.active_callers.retain(|caller, at| {
            let is_active = tree.has_requests(*caller) || now.duration_since(*at) < ACTIVE_TIMEOUT;
            if !is_active {
                tree.set_active(*caller, false);
            }
            is_active
        });
        self.tree
            .set_credit(FLOOR_CREDIT_S * meter.rate.iter().sum::<f64>());
    }
}

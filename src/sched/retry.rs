//! Retry budget of one host: retries of a service are limited to a fraction of its requests.
//!
//! Without a limit every request that meets a failing engine would be sent again, and the remaining
//! engines would receive a multiple of their load.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Number of slices in which a sliding window is counted.
const SLICES: u32 = 10;

/// Fraction of the overall limit that the hosts divide among themselves. The margin is needed
/// because each host counts in windows of its own.
const SHARED_LIMIT_FRACTION: f64 = 0.8;

/// Smallest number of hosts among which the slack is divided, because a host that just started does
/// not know the others yet.
pub const HOSTS_MIN: u32 = 9;

/// Limits for all hosts together.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to those of the ratio, on all hosts together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of hosts that share the slack.
    pub hosts: u32,
}

impl Policy {
    /// Returns the policy that each host applies to its own requests, so that all hosts together
    /// stay within this one.
    #[must_use]
    pub fn with_margin(self) -> Self {
        Self {
            ratio: self.ratio * SHARED_LIMIT_FRACTION,
            slack: self.slack * SHARED_LIMIT_FRACTION,
            ..self
        }
    }
}

#[derive(Debug)]
struct Slice {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Counts of requests and retries by service.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    // Invariant: slices in order of time; those older than a window are dropped before counting.
    services: BTreeMap<CompactString, VecDeque<Slice>>,
}

impl Budget {
    /// Creates a budget with all counts at zero.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            services: BTreeMap::new(),
        }
    }

    /// Sets the number of known hosts, which share the slack.
    pub fn set_hosts(&mut self, known: usize) {
        // 1.5 times the known hosts, because a host and its replacement may run at the same time.
        let hosts = u32::try_from(known + known / 2).unwrap_or(u32::MAX);
        self.policy.hosts = hosts.max(HOSTS_MIN);
    }

    /// Counts a new request to a service.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        self.current_slice(service, now).requests += 1;
    }

    /// Takes one retry out of the budget; returns `false` if the budget is used up.
    pub fn try_spend(&mut self, service: &str, now: Instant) -> bool {
        let policy = self.policy;
        self.current_slice(service, now);
        let slices = &self.services[service];
        let requests: u32 = slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = slices.iter().map(|slice| slice.retries).sum();
        let allowed =
            f64::from(requests) * policy.ratio + policy.slack / f64::from(policy.hosts.max(1));
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.current_slice(service, now).retries += 1;
        true
    }

    fn current_slice(&mut self, service: &str, now: Instant) -> &mut Slice {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), VecDeque::new());
        }
        let slices = self.services.get_mut(service).expect("inserted above");
        while let Some(oldest) = slices.front()
            && now.duration_since(oldest.started_at) >= self.policy.window
        {
            slices.pop_front();
        }
        let length = self.policy.window / SLICES;
        let is_current = |slice: &Slice| now.duration_since(slice.started_at) < length;
        if !slices.back().is_some_and(is_current) {
            slices.push_back(Slice {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        slices.back_mut().expect("a slice was just ensured")
    }
}

//! Limit on repeated sends of one host, as a share of the requests that it sent first.
//!
//! Answers the load of failing engines: without it, each of them would be asked again by every
//! request, and the engines that are left would get a multiple of their load.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use compact_str::CompactString;

/// Slices that a window is counted in.
const SLICES: u32 = 10;

/// Part of a limit over all hosts that they use together, as each counts in windows of its own.
const PART_USED: f64 = 0.8;

/// Hosts between which the slack is divided at least, as a host that starts knows none.
pub const HOSTS_MIN: u32 = 9;

/// Limits that hold over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window beside those of the ratio, over all hosts.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
    /// Hosts that share the slack.
    pub hosts: u32,
}

impl Policy {
    /// Returns the policy with which hosts that know only their own sends keep this one together.
    #[must_use]
    pub fn shared(self) -> Self {
        Self {
            ratio: self.ratio * PART_USED,
            slack: self.slack * PART_USED,
            ..self
        }
    }
}

#[derive(Debug)]
struct Slice {
    since: Instant,
    first: u32,
    repeated: u32,
}

/// Counts first and repeated sends by service.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    // Invariant: slices in order of time, none older than a window when counted.
    services: BTreeMap<CompactString, VecDeque<Slice>>,
}

impl Budget {
    /// Creates a budget without sends.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            services: BTreeMap::new(),
        }
    }

    /// Notes the number of hosts that are known to share the slack.
    pub fn set_hosts(&mut self, known: usize) {
        // Half as many again, as hosts that are replaced may overlap.
        let hosts = u32::try_from(known + known / 2).unwrap_or(u32::MAX);
        self.policy.hosts = hosts.max(HOSTS_MIN);
    }

    /// Notes a request that arrived for a service.
    pub fn arrived(&mut self, service: &str, now: Instant) {
        self.slice(service, now).first += 1;
    }

    /// Takes one repeat out of the budget; returns whether it was left.
    pub fn spend(&mut self, service: &str, now: Instant) -> bool {
        let policy = self.policy;
        self.slice(service, now);
        let slices = &self.services[service];
        let first: u32 = slices.iter().map(|slice| slice.first).sum();
        let repeated: u32 = slices.iter().map(|slice| slice.repeated).sum();
        let allowed =
            f64::from(first) * policy.ratio + policy.slack / f64::from(policy.hosts.max(1));
        if f64::from(repeated + 1) > allowed {
            return false;
        }
        self.slice(service, now).repeated += 1;
        true
    }

    fn slice(&mut self, service: &str, now: Instant) -> &mut Slice {
        if !self.services.contains_key(service) {
            self.services.insert(service.into(), VecDeque::new());
        }
        let slices = self.services.get_mut(service).expect("inserted above");
        while let Some(first) = slices.front()
            && now.duration_since(first.since) >= self.policy.window
        {
            slices.pop_front();
        }
        let length = self.policy.window / SLICES;
        let is_current = |slice: &Slice| now.duration_since(slice.since) < length;
        if !slices.back().is_some_and(is_current) {
            slices.push_back(Slice {
                since: now,
                first: 0,
                repeated: 0,
            });
        }
        slices.back_mut().expect("a slice was just ensured")
    }
}

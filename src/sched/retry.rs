//! Retry budget that all hosts of a fleet share.
//!
//! Without a limit every request that meets a failing engine would be sent again, and the remaining
//! engines would receive a multiple of their load. The limit counts the retries of all hosts: a
//! fraction of the requests, and a slack.
//!
//! A host may always spend its guaranteed part, which follows from its own requests. What no host
//! has spent or is guaranteed is left for all. Each host spends an equal part of it, counted over
//! the time that its spending takes to show in the reports of all others. If all hosts spend their
//! parts at once, they reach the limit and do not exceed it. Where the part is less than one retry,
//! a lot decides which hosts have one for a moment.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::window::{Total, Window};
use crate::route::reports::Source;
use crate::util::hash64;

/// Fraction of the ratio that is guaranteed to each host for its own requests.
const GUARANTEED_FRACTION: f64 = 0.5;

/// Fraction of the limit that the hosts spend. The margin is needed because each host counts in
/// windows of its own.
const SPENT_FRACTION: f64 = 0.9;

/// Age from which a report no longer tells what its sender spends. It still counts as spent what
/// it contains until that leaves the window.
const FRESH_FOR: Duration = Duration::from_millis(1500);

/// Time between two reports of a host without changes.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which the highest number of known hosts is forgotten. Hosts that disappeared may be
/// cut off and still send requests.
const HOSTS_PEAK_FOR: Duration = Duration::from_secs(30);

/// Time for which a lot holds. It covers the delay of the reports.
const LOT_TIME: Duration = Duration::from_secs(2);

/// Time without further hosts after which a host that started knows all others.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Limits for all hosts together.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window in addition to those of the ratio.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Hash of a service's name, which keeps reports small. Services with the same hash share a budget.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Service(u32);

impl Service {
    /// Returns the hash of the service `name`.
    pub fn of(name: &str) -> Self {
        Self(hash64(&[name.as_bytes()]) as u32)
    }
}

/// Use of a service's budget within the last window, by one host or several.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// The service.
    pub service: Service,
    /// First attempts of requests.
    pub requests: u32,
    /// Retries that were made, or that are guaranteed to the hosts if these are more.
    pub committed: u32,
}

/// What a host may spend of a service's budget at a moment, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Balance {
    /// Own requests and retries in the window.
    pub own: Total,
    /// Own retries that are allowed whatever others do.
    pub guaranteed: u32,
    /// Retries left for all hosts.
    pub left: f64,
    /// Hosts that share them, and how many of these the fresh reports cover.
    pub hosts: (usize, usize),
}

/// Last report of other hosts.
#[derive(Debug)]
struct Report {
    process: u64,
    received_at: Instant,
    hosts: usize,
    usages: Vec<Usage>,
}

/// Number of hosts that share what is left of the budget.
#[derive(Debug)]
struct Hosts {
    peak: usize,
    // When the peak was last reached, and when it last grew.
    reached_at: Option<Instant>,
    grown_at: Option<Instant>,
}

/// Retry budget as seen by one host.
#[derive(Debug)]
pub struct Budget {
    policy: Policy,
    own: BTreeMap<Service, Window>,
    // Invariant: no report is older than the window, after `expire`.
    reports: BTreeMap<Source, Report>,
    // The last reports of processes that were replaced by others.
    ended: Vec<Report>,
    hosts: Hosts,
    // Makes the lots of the hosts differ.
    salt: u64,
    created_at: Option<Instant>,
}

impl Budget {
    /// Creates a budget with all counts at zero, for a host without peers. The lots of hosts with
    /// another `salt` differ.
    pub fn new(policy: Policy, salt: u64) -> Self {
        Self {
            policy,
            salt,
            created_at: None,
            own: BTreeMap::new(),
            reports: BTreeMap::new(),
            ended: Vec::new(),
            hosts: Hosts {
                peak: 1,
                reached_at: None,
                grown_at: None,
            },
        }
    }

    /// Sets the number of known hosts, this one included.
    pub fn set_hosts(&mut self, known: usize, now: Instant) {
        let hosts = &mut self.hosts;
        let is_forgotten = |at: Instant| now.duration_since(at) >= HOSTS_PEAK_FOR;
        if known > hosts.peak || hosts.grown_at.is_none() {
            hosts.grown_at = Some(now);
        }
        if known >= hosts.peak || hosts.reached_at.is_some_and(is_forgotten) {
            hosts.peak = known;
            hosts.reached_at = Some(now);
        }
    }

    /// Returns the highest number of known hosts of the last time, this one included.
    pub fn hosts(&self) -> usize {
        self.hosts.peak
    }

    /// Records the use of the budget that `hosts` other hosts report. A report of another `process`
    /// than the last one of the same host shows a restart, which forgets what was spent before. A
    /// representative that follows another one reports on the same hosts.
    pub fn record_report(
        &mut self,
        source: Source,
        process: u64,
        hosts: usize,
        usages: Vec<Usage>,
        now: Instant,
    ) {
        let report = Report {
            process,
            received_at: now,
            hosts,
            usages,
        };
        let is_host = matches!(source, Source::Host(_));
        let old = self.reports.insert(source, report);
        let ended = old.filter(|old| is_host && old.process != process);
        self.ended.extend(ended);
    }

    /// Counts a new request to a service.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        self.own_window(Service::of(service)).record_request(now);
    }

    /// Takes one retry out of the budget; returns `false` if this host may not spend one now.
    pub fn try_spend(&mut self, service: &str, now: Instant) -> bool {
        let service = Service::of(service);
        let own = self.own_window(service).total(now);
        let is_allowed =
            own.retries < self.guaranteed(own.requests) || self.has_shared_part(service, now);
        if is_allowed {
            self.own_window(service).record_retry(now);
        }
        is_allowed
    }

    /// Gives back a retry that reached no engine.
    pub fn refund(&mut self, service: &str, now: Instant) {
        self.own_window(Service::of(service)).remove_retry(now);
    }

    /// Returns the numbers that decide whether a retry is allowed.
    pub fn balance(&mut self, service: &str, now: Instant) -> Balance {
        let service = Service::of(service);
        let own = self.own_window(service).total(now);
        Balance {
            own,
            guaranteed: self.guaranteed(own.requests),
            left: self.left(service, now),
            hosts: (self.hosts.peak, self.heard(now)),
        }
    }

    /// Returns what this host used, for reports to others.
    pub fn own_usages(&mut self, now: Instant) -> Vec<Usage> {
        let services: Vec<_> = self.own.keys().copied().collect();
        let usages = services.into_iter().map(|service| {
            let own = self.own_window(service).total(now);
            Usage {
                service,
                requests: own.requests,
                committed: self.committed(own),
            }
        });
        usages.collect()
    }

    /// Returns what this host and those that report to it directly used, and their number.
    pub fn joint_usages(&mut self, now: Instant) -> (usize, Vec<Usage>) {
        self.expire(now);
        let own = Report {
            process: 0,
            received_at: now,
            hosts: 1,
            usages: self.own_usages(now),
        };
        let direct = self
            .reports
            .iter()
            .filter(|(source, _)| matches!(source, Source::Host(_)))
            .map(|(_, report)| report);
        let mut hosts = 0;
        let mut sums: BTreeMap<Service, Usage> = BTreeMap::new();
        for report in direct.chain(&self.ended).chain([&own]) {
            let is_fresh = report.is_fresh(now);
            hosts += if is_fresh { report.hosts } else { 0 };
            for usage in &report.usages {
                let sum = sums.entry(usage.service).or_insert(Usage {
                    requests: 0,
                    committed: 0,
                    ..*usage
                });
                sum.add(usage, is_fresh);
            }
        }
        (hosts, sums.into_values().collect())
    }

    /// Drops what left the window.
    fn expire(&mut self, now: Instant) {
        let window = self.policy.window;
        let is_counted = |report: &Report| now.duration_since(report.received_at) < window;
        self.reports.retain(|_, report| is_counted(report));
        self.ended.retain(is_counted);
    }

    fn own_window(&mut self, service: Service) -> &mut Window {
        let length = self.policy.window;
        self.own
            .entry(service)
            .or_insert_with(|| Window::new(length))
    }

    /// Returns the retries that a host with `requests` requests may make whatever others do.
    ///
    /// Rounding up lets a host with one request retry it. In a fleet so large that the slack does
    /// not cover the rounding of all hosts, the part is rounded down.
    fn guaranteed(&self, requests: u32) -> u32 {
        let part = f64::from(requests) * self.policy.ratio * GUARANTEED_FRACTION;
        let rounding = (1.0 - self.policy.ratio).max(0.0) * self.hosts.peak as f64;
        match rounding <= self.policy.slack {
            true => part.ceil() as u32,
            false => part as u32,
        }
    }

    fn committed(&self, own: Total) -> u32 {
        own.retries.max(self.guaranteed(own.requests))
    }

    /// Returns whether this host has not yet used its part of what is left for all hosts.
    fn has_shared_part(&mut self, service: Service, now: Instant) -> bool {
        self.expire(now);
        if self.hosts.are_being_discovered(now) || !self.hears_majority(now) {
            return false;
        }
        let from = now.checked_sub(self.reporting_delay(now) * 2);
        let own = self.own_window(service);
        let recent = match from {
            Some(from) => f64::from(own.retries_since(from)),
            None => f64::from(own.total(now).retries),
        };
        let part = (self.left(service, now) + recent) / self.hosts.peak as f64;
        recent + 1.0 <= (part + self.lot(service, now)).floor()
    }

    /// Returns a number from 0 to 1 that changes with time and differs between hosts, so that the
    /// sum of the parts of all hosts, each rounded up if the number allows, stays the same.
    fn lot(&mut self, service: Service, now: Instant) -> f64 {
        if self.hosts.peak == 1 {
            return 0.0;
        }
        let age = now.duration_since(*self.created_at.get_or_insert(now));
        let turn = age.as_millis() / LOT_TIME.as_millis();
        let hash = hash64(&[
            &self.salt.to_be_bytes(),
            &service.0.to_be_bytes(),
            &turn.to_be_bytes(),
        ]);
        hash as f64 / u64::MAX as f64
    }

    /// Returns the retries that no host has spent or is guaranteed.
    fn left(&mut self, service: Service, now: Instant) -> f64 {
        let own = self.own_window(service).total(now);
        let mut sum = Usage {
            service,
            requests: own.requests,
            committed: self.committed(own),
        };
        for report in self.reports.values().chain(&self.ended) {
            let usages = report.usages.iter();
            for usage in usages.filter(|usage| usage.service == service) {
                sum.add(usage, report.is_fresh(now));
            }
        }
        let limit = f64::from(sum.requests) * self.policy.ratio + self.policy.slack;
        limit * SPENT_FRACTION - f64::from(sum.committed)
    }

    /// Returns whether the fresh reports cover most hosts. Of the parts of a fleet that are cut off
    /// from each other only one then spends what is left for all.
    fn hears_majority(&self, now: Instant) -> bool {
        self.heard(now) > self.hosts.peak / 2
    }

    /// Returns the number of hosts that the fresh reports cover, this one included.
    fn heard(&self, now: Instant) -> usize {
        let fresh = self.reports.values().filter(|report| report.is_fresh(now));
        // The numbers come from other hosts and may be anything.
        fresh.fold(1, |heard, report| heard.saturating_add(report.hosts))
    }

    /// Returns the time until what a host spends shows in all reports, zero without other hosts.
    fn reporting_delay(&self, now: Instant) -> Duration {
        let fresh = self.reports.values().filter(|report| report.is_fresh(now));
        let oldest = fresh
            .map(|report| now.duration_since(report.received_at))
            .max();
        oldest.map_or(Duration::ZERO, |oldest| oldest + REPORT_INTERVAL)
    }
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.received_at) < FRESH_FOR
    }
}

impl Hosts {
    fn are_being_discovered(&self, now: Instant) -> bool {
        self.grown_at
            .is_some_and(|at| now.duration_since(at) < DISCOVERY_TIME)
    }
}

impl Usage {
    /// Adds the usage of others. Requests count only while they are known to continue (`is_fresh`),
    /// retries until they leave the window.
    fn add(&mut self, other: &Self, is_fresh: bool) {
        self.committed = self.committed.saturating_add(other.committed);
        if is_fresh {
            self.requests = self.requests.saturating_add(other.requests);
        }
    }
}

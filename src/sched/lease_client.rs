//! Lease client of a host: prepares its reports to the allocators, and combines their leases into
//! the slots that the host may use.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::Serialize;

use super::allocator::{add_idle_slots, fallback_slots};
use super::lease::{Class, Demand, Grant, LEASE_TTL, Lease, Report};
use super::share::{self, Shares};
use crate::clock::Clock;
use crate::route::fleet::Domain;

/// Number of routers up to which every router is assumed to use every domain.
///
/// With more routers each uses only a few domains, and the leases tell how many share one. This
/// number is then a lower bound, because a new allocator first counts only the hosts that have
/// reported so far.
const ROUTERS_SHARING_MAX: u32 = 32;

/// Time for which the highest host count of a lease is used. A host that is cut off together with a
/// few others would otherwise assume that only these share the domain, and use too many slots.
const HOST_COUNT_WINDOW: Duration = Duration::from_secs(60);

/// Recent maximum of a value; replaced by a higher value, or by any value after
/// [`HOST_COUNT_WINDOW`].
#[derive(Clone, Copy, Debug)]
struct Peak {
    value: u32,
    at: Instant,
}

impl Peak {
    fn set(&mut self, value: u32, now: Instant) {
        if value >= self.value || now.duration_since(self.at) >= HOST_COUNT_WINDOW {
            *self = Self { value, at: now };
        }
    }
}

/// Lease and demand of this host in one failure domain.
#[derive(Debug)]
struct DomainState {
    // Fraction of this host's slots that are in the domain, 0 to 1.
    fraction: f64,
    capacity: u32,
    seq: u64,
    lease: Option<(Lease, Instant)>,
    host_count: Peak,
    wanted: BTreeMap<Class, u32>,
    // Work since the start of the process, in tokens.
    work: BTreeMap<Class, f64>,
}

impl DomainState {
    fn valid_lease(&self, now: Instant) -> Option<(&Lease, Instant)> {
        let (lease, expires_at) = self.lease.as_ref()?;
        (*expires_at > now).then_some((lease, *expires_at))
    }
}

/// Slots that a host may use in a failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Allotment {
    /// Number of slots.
    pub places: u32,
    /// Whether the slots come from a lease that is in force.
    pub leased: bool,
}

/// Leases of one host in all failure domains that it uses.
#[derive(Debug)]
pub struct LeaseClient<C: Clock> {
    clock: C,
    shares: Shares,
    // Number of routers that the platform lists; a network partition does not change it.
    routers: u32,
    domains: BTreeMap<CompactString, DomainState>,
}

impl<C: Clock> LeaseClient<C> {
    /// Creates a client without leases.
    pub fn new(clock: C, shares: Shares) -> Self {
        Self {
            clock,
            shares,
            routers: 1,
            domains: BTreeMap::new(),
        }
    }

    /// Replaces the partners' shares.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Prepares a report to the allocator of each failure domain in use. `routers` is the number of
    /// routers that the platform lists.
    pub fn reports(
        &mut self,
        demand: &Demand,
        domains: &BTreeMap<CompactString, Domain>,
        routers: u32,
    ) -> Vec<(CompactString, Report)> {
        let now = self.clock.now();
        self.routers = routers;
        self.set_domains(domains, now);
        let mut classes: BTreeMap<CompactString, Vec<_>> = BTreeMap::new();
        for (class, class_demand) in &demand.classes {
            let wanted = self.split_by_domain(class_demand.wanted);
            let in_use = self.split_by_domain(class_demand.in_use);
            for (name, domain) in &mut self.domains {
                let work = domain.work.entry(class.clone()).or_default();
                *work += class_demand.work as f64 * domain.fraction;
                domain.wanted.insert(class.clone(), wanted[name]);
                let row = (
                    class.partner.clone(),
                    class.rank,
                    wanted[name],
                    in_use[name].min(wanted[name]),
                    *work as u64,
                );
                classes.entry(name.clone()).or_default().push(row);
            }
        }
        let names: Vec<_> = self.domains.keys().cloned().collect();
        let report = |name: CompactString| {
            let rows = classes.remove(&name).unwrap_or_default();
            let report = self.report(&name, rows, now);
            (name, report)
        };
        names.into_iter().map(report).collect()
    }

    fn set_domains(&mut self, domains: &BTreeMap<CompactString, Domain>, now: Instant) {
        let slots: u32 = domains.values().map(|domain| domain.slots).sum();
        self.domains.retain(|name, _| domains.contains_key(name));
        for (name, domain) in domains {
            let state = self
                .domains
                .entry(name.clone())
                .or_insert_with(|| DomainState {
                    fraction: 0.0,
                    capacity: 0,
                    seq: 0,
                    lease: None,
                    host_count: Peak { value: 1, at: now },
                    wanted: BTreeMap::new(),
                    work: BTreeMap::new(),
                });
            state.fraction = f64::from(domain.slots) / f64::from(slots.max(1));
            state.capacity = domain.capacity;
            state.wanted.clear();
        }
    }

    /// Divides a count over the domains in proportion to the host's slots there. The remainder goes
    /// to a different domain with each report.
    fn split_by_domain(&self, count: u32) -> BTreeMap<CompactString, u32> {
        let domains = self.domains.iter().enumerate();
        let amounts = domains
            .map(|(index, (name, domain))| {
                let rotation = (index as u64 + domain.seq) % self.domains.len() as u64;
                let amount = f64::from(count) * domain.fraction + rotation as f64 * 1e-6;
                (name.clone(), amount)
            })
            .collect();
        share::round_to_total(&amounts, count)
    }

    fn report(
        &mut self,
        name: &CompactString,
        classes: Vec<(CompactString, crate::wire::Rank, u32, u32, u64)>,
        now: Instant,
    ) -> Report {
        let domain = &self.domains[name];
        let sharers = self.sharing_hosts(domain);
        let fallback_total = self.fallback_slots_in(name, domain).values().sum();
        let domain = self
            .domains
            .get_mut(name)
            .expect("reports go to known domains");
        domain.seq += 1;
        let (lease_seq, held, remaining) = match domain.valid_lease(now) {
            Some((lease, expires_at)) => (lease.seq, lease.total_slots(), expires_at - now),
            None => (0, fallback_total, Duration::ZERO),
        };
        Report {
            seq: domain.seq,
            lease: lease_seq,
            held,
            held_ms: remaining.as_millis() as u32,
            capacity: domain.capacity,
            sharers,
            classes,
        }
    }

    /// Records the lease that answers a report sent at `sent_at`.
    ///
    /// A lease that has expired, or is not newer than the one in force, is ignored.
    pub fn accept(&mut self, domain: &str, sent_at: Instant, lease: Lease) {
        let now = self.clock.now();
        let Some(domain) = self.domains.get_mut(domain) else {
            return;
        };
        let seq_in_force = domain.lease.as_ref().map_or(0, |(lease, _)| lease.seq);
        let ttl = Duration::from_millis(lease.ttl_ms.into()).min(LEASE_TTL);
        if lease.seq <= seq_in_force || lease.seq > domain.seq || sent_at + ttl <= now {
            return;
        }
        domain.host_count.set(lease.hosts, now);
        domain.lease = Some((lease, sent_at + ttl));
    }

    fn sharing_hosts(&self, domain: &DomainState) -> u32 {
        let sharers = match domain.lease {
            Some(_) => domain
                .host_count
                .value
                .max(self.routers.min(ROUTERS_SHARING_MAX)),
            None => self.routers,
        };
        sharers.max(1)
    }

    /// Returns the largest number of slots that this host uses in a domain without a lease.
    fn fallback_limit(&self, domain: &str) -> u32 {
        let Some(domain) = self.domains.get(domain) else {
            return 0;
        };
        // At least one slot, so that every host can serve when there are more hosts than slots.
        (domain.capacity / self.sharing_hosts(domain)).max(domain.capacity.min(1))
    }

    /// Returns the slots that the host may use now in all domains: those of the lease, or the
    /// fallback where no lease is in force.
    pub fn grant(&self) -> Grant {
        let now = self.clock.now();
        let mut grant = Grant {
            slots: BTreeMap::new(),
            work_per_s: BTreeMap::new(),
            expires_at: now + LEASE_TTL,
        };
        for (name, domain) in &self.domains {
            let Some((lease, expires_at)) = domain.valid_lease(now) else {
                for (class, count) in self.fallback_slots_in(name, domain) {
                    *grant.slots.entry(class).or_default() += count;
                }
                continue;
            };
            grant.expires_at = grant.expires_at.min(expires_at);
            for (class, count) in lease.slots_by_class() {
                *grant.slots.entry(class).or_default() += count;
            }
            for (partner, rate) in &lease.work_per_s {
                *grant.work_per_s.entry(partner.clone()).or_default() += f64::from(*rate);
            }
        }
        grant
    }

    /// Returns the slots used while no lease is in force.
    ///
    /// After a lease they follow its division among classes, which depends on the demand of all
    /// hosts. Before the first lease the host divides them by share itself.
    fn fallback_slots_in(&self, name: &str, domain: &DomainState) -> BTreeMap<Class, u32> {
        let limit = self.fallback_limit(name);
        if let Some((lease, _)) = &domain.lease {
            return fallback_slots(lease.slots_by_class(), &self.shares, limit);
        }
        let mut slots = share::round_to_total(&self.shares.divide(limit, &domain.wanted), limit);
        let used: u32 = slots.values().sum();
        add_idle_slots(&mut slots, &self.shares, limit.saturating_sub(used));
        slots
    }

    /// Returns the slots that the host may use in each failure domain.
    pub fn allotments(&self) -> BTreeMap<CompactString, Allotment> {
        let now = self.clock.now();
        let allotment = |(name, domain): (&CompactString, &DomainState)| {
            let lease = domain
                .valid_lease(now)
                .map(|(lease, _)| lease.total_slots());
            let allotment = Allotment {
                places: lease
                    .unwrap_or_else(|| self.fallback_slots_in(name, domain).values().sum()),
                leased: lease.is_some(),
            };
            (name.clone(), allotment)
        };
        self.domains.iter().map(allotment).collect()
    }
}

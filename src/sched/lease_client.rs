//! A host's side of leases: what it reports, and what it may use.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use serde::Serialize;

use super::allocator::{add_idle, apart};
use super::lease::{Class, Demand, Grant, LEASE, Lease, Report};
use super::share::{self, Shares};
use crate::clock::Clock;
use crate::route::fleet::Domain;

/// Routers up to which all are taken to share each domain. With more, each uses a few domains, and
/// leases tell how many share one; this is then the least number, as the first leases of a new
/// allocator count only the hosts that it has heard so far.
const ROUTERS_SHARING: u32 = 32;

/// Time for which the greatest number of hosts in a lease counts, so that a host that is cut off
/// with a few others does not take them for all.
const HOSTS_MEMORY: Duration = Duration::from_secs(60);

/// The greatest value of the last [`HOSTS_MEMORY`], or a later one.
#[derive(Clone, Copy, Debug)]
struct Peak {
    value: u32,
    at: Instant,
}

impl Peak {
    fn set(&mut self, value: u32, now: Instant) {
        if value >= self.value || now.duration_since(self.at) >= HOSTS_MEMORY {
            *self = Self { value, at: now };
        }
    }
}

#[derive(Debug)]
struct Part {
    // Part of this host's slots that lies in the domain, 0 to 1.
    fraction: f64,
    capacity: u32,
    seq: u64,
    lease: Option<(Lease, Instant)>,
    hosts: Peak,
    wants: BTreeMap<Class, u32>,
    // Work since the start in tokens.
    work: BTreeMap<Class, f64>,
}

impl Part {
    fn valid(&self, now: Instant) -> Option<(&Lease, Instant)> {
        let (lease, until) = self.lease.as_ref()?;
        (*until > now).then_some((lease, *until))
    }
}

/// What a host may use in a failure domain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Held {
    /// Places.
    pub places: u32,
    /// Whether a lease is in force.
    pub leased: bool,
}

/// The leases of one host.
#[derive(Debug)]
pub struct Keeper<C: Clock> {
    clock: C,
    shares: Shares,
    // Routers in the platform's list, which a partition does not change.
    routers: u32,
    parts: BTreeMap<CompactString, Part>,
}

impl<C: Clock> Keeper<C> {
    /// Creates a keeper without leases.
    pub fn new(clock: C, shares: Shares) -> Self {
        Self {
            clock,
            shares,
            routers: 1,
            parts: BTreeMap::new(),
        }
    }

    /// Puts new shares into force.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Prepares a report to the allocator of each failure domain in use. `routers` is the number of
    /// routers in the platform's list.
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
        for (class, want) in &demand.classes {
            let wanted = self.spread(want.wanted);
            let in_use = self.spread(want.in_use);
            for (name, part) in &mut self.parts {
                let work = part.work.entry(class.clone()).or_default();
                *work += want.work as f64 * part.fraction;
                part.wants.insert(class.clone(), wanted[name]);
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
        let names: Vec<_> = self.parts.keys().cloned().collect();
        let report = |name: CompactString| {
            let rows = classes.remove(&name).unwrap_or_default();
            let report = self.report(&name, rows, now);
            (name, report)
        };
        names.into_iter().map(report).collect()
    }

    fn set_domains(&mut self, domains: &BTreeMap<CompactString, Domain>, now: Instant) {
        let slots: u32 = domains.values().map(|domain| domain.slots).sum();
        self.parts.retain(|name, _| domains.contains_key(name));
        for (name, domain) in domains {
            let part = self.parts.entry(name.clone()).or_insert_with(|| Part {
                fraction: 0.0,
                capacity: 0,
                seq: 0,
                lease: None,
                hosts: Peak { value: 1, at: now },
                wants: BTreeMap::new(),
                work: BTreeMap::new(),
            });
            part.fraction = f64::from(domain.slots) / f64::from(slots.max(1));
            part.capacity = domain.capacity;
            part.wants.clear();
        }
    }

    /// Divides a count over the domains by the host's slots there. The remainder goes to another
    /// domain each time.
    fn spread(&self, count: u32) -> BTreeMap<CompactString, u32> {
        let parts = self.parts.iter().enumerate();
        let amounts = parts
            .map(|(index, (name, part))| {
                let turn = (index as u64 + part.seq) % self.parts.len() as u64;
                let amount = f64::from(count) * part.fraction + turn as f64 * 1e-6;
                (name.clone(), amount)
            })
            .collect();
        share::round(&amounts, count)
    }

    fn report(
        &mut self,
        name: &CompactString,
        classes: Vec<(CompactString, crate::wire::Rank, u32, u32, u64)>,
        now: Instant,
    ) -> Report {
        let part = &self.parts[name];
        let sharers = self.sharers(part);
        let unleased = self.unleased(name, part).values().sum();
        let part = self
            .parts
            .get_mut(name)
            .expect("reports go to known domains");
        part.seq += 1;
        let (lease, held, left) = match part.valid(now) {
            Some((lease, until)) => (lease.seq, lease.total(), until - now),
            None => (0, unleased, Duration::ZERO),
        };
        Report {
            seq: part.seq,
            lease,
            held,
            held_ms: left.as_millis() as u32,
            capacity: part.capacity,
            sharers,
            classes,
        }
    }

    /// Takes over the answer to a report that was sent at `sent_at`.
    ///
    /// Answers that arrive late, when a later one is in force, change nothing.
    pub fn accept(&mut self, domain: &str, sent_at: Instant, lease: Lease) {
        let now = self.clock.now();
        let Some(part) = self.parts.get_mut(domain) else {
            return;
        };
        let in_force = part.lease.as_ref().map_or(0, |(lease, _)| lease.seq);
        let ttl = Duration::from_millis(lease.ttl_ms.into()).min(LEASE);
        if lease.seq <= in_force || lease.seq > part.seq || sent_at + ttl <= now {
            return;
        }
        part.hosts.set(lease.hosts, now);
        part.lease = Some((lease, sent_at + ttl));
    }

    fn sharers(&self, part: &Part) -> u32 {
        let sharers = match part.lease {
            Some(_) => part.hosts.value.max(self.routers.min(ROUTERS_SHARING)),
            None => self.routers,
        };
        sharers.max(1)
    }

    /// Returns the places that a host without a lease uses in a domain.
    fn safe(&self, domain: &str) -> u32 {
        let Some(part) = self.parts.get(domain) else {
            return 0;
        };
        // One place keeps a host serving when hosts outnumber places.
        (part.capacity / self.sharers(part)).max(part.capacity.min(1))
    }

    /// Returns what the host may use now, from leases or, where none is in force, without one.
    pub fn grant(&self) -> Grant {
        let now = self.clock.now();
        let mut grant = Grant {
            places: BTreeMap::new(),
            work_per_s: BTreeMap::new(),
            until: now + LEASE,
        };
        for (name, part) in &self.parts {
            let Some((lease, until)) = part.valid(now) else {
                for (class, count) in self.unleased(name, part) {
                    *grant.places.entry(class).or_default() += count;
                }
                continue;
            };
            grant.until = grant.until.min(until);
            for (class, count) in lease.places() {
                *grant.places.entry(class).or_default() += count;
            }
            for (partner, rate) in &lease.work_per_s {
                *grant.work_per_s.entry(partner.clone()).or_default() += f64::from(*rate);
            }
        }
        grant
    }

    /// Returns the places used without a lease: after a lease those that it gave, as the shares of
    /// partners depend on what all hosts do, and otherwise by share.
    fn unleased(&self, name: &str, part: &Part) -> BTreeMap<Class, u32> {
        let safe = self.safe(name);
        if let Some((lease, _)) = &part.lease {
            return apart(lease.places(), &self.shares, safe);
        }
        let mut places = share::round(&self.shares.divide(safe, &part.wants), safe);
        let used: u32 = places.values().sum();
        add_idle(&mut places, &self.shares, safe.saturating_sub(used));
        places
    }

    /// Returns the places in each failure domain in use, and whether they come from a lease.
    pub fn domains(&self) -> BTreeMap<CompactString, Held> {
        let now = self.clock.now();
        let held = |(name, part): (&CompactString, &Part)| {
            let lease = part.valid(now).map(|(lease, _)| lease.total());
            let held = Held {
                places: lease.unwrap_or_else(|| self.unleased(name, part).values().sum()),
                leased: lease.is_some(),
            };
            (name.clone(), held)
        };
        self.parts.iter().map(held).collect()
    }
}

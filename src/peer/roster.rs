//! The known gateways: which are alive, which represent a failure domain, and which get reports.
//!
//! Limits the traffic per host in a large fleet. In a small fleet every host reports to every
//! other. In a larger one each host reports only within its failure domain, and the representatives
//! of the domains exchange summaries, so that the traffic of a host is bounded by the size of its
//! domain. The representatives also watch the store for the other hosts, because calls to the store
//! are priced.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, ToCompactString};

use crate::member::rendezvous;

/// Number of representatives of each failure domain. The first one watches the store; the second one
/// takes over if it is lost or does not reach the store.
pub const REPRESENTATIVES: usize = 2;

/// Maximum number of hosts, this one included, in a fleet whose hosts all report to each other.
const SMALL_FLEET_MAX_HOSTS: usize = 24;

/// Time after its last report for which a host counts as alive; it allows for two lost reports.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time after which a host is forgotten that neither reports nor is mentioned in a report.
const FORGET_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two reports to a seed that does not report itself. The second value applies once
/// another host of the failure domain reports.
const SEED_QUERY_PERIODS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));

/// What is known of another host.
#[derive(Clone, Debug)]
struct Host {
    name: CompactString,
    domain: CompactString,
    // Arrival of its last report.
    reported_at: Option<Instant>,
    // When a host that gets its reports last mentioned it, or when another host first did.
    mentioned_at: Option<Instant>,
    is_leaving: bool,
}

impl Host {
    fn is_alive(&self, now: Instant) -> bool {
        self.reported_at
            .is_some_and(|at| now.duration_since(at) < ALIVE_TIMEOUT)
    }

    fn is_known(&self, now: Instant) -> bool {
        let last = self.reported_at.max(self.mentioned_at);
        last.is_some_and(|at| now.duration_since(at) < FORGET_TIMEOUT)
    }
}

/// The hosts known to this one.
#[derive(Debug)]
pub struct Roster {
    own_address: SocketAddr,
    domain: CompactString,
    seeds: Vec<SocketAddr>,
    // Invariant: does not contain this host.
    hosts: BTreeMap<SocketAddr, Host>,
    seeds_queried_at: Option<Instant>,
}

impl Roster {
    /// Creates the roster of the host at `own_address` in the failure domain `domain`.
    pub fn new(own_address: SocketAddr, domain: CompactString, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own_address,
            domain,
            seeds,
            hosts: BTreeMap::new(),
            seeds_queried_at: None,
        }
    }

    /// Records a report from `address`; returns whether it is the first one of that host.
    pub fn record_report(
        &mut self,
        address: SocketAddr,
        domain: &str,
        is_leaving: bool,
        now: Instant,
    ) -> bool {
        if address == self.own_address {
            return false;
        }
        let host = self.entry(address, domain);
        host.is_leaving = is_leaving;
        host.reported_at.replace(now).is_none()
    }

    /// Records that a report mentions the host at `address`.
    ///
    /// After the first mention, only mentions by hosts that get its reports directly
    /// (`is_direct_mention`) keep it known. Otherwise hosts that repeat what they were told would
    /// keep a dead host known to each other forever.
    pub fn record_mention(
        &mut self,
        address: SocketAddr,
        domain: &str,
        is_direct_mention: bool,
        now: Instant,
    ) {
        if address == self.own_address {
            return;
        }
        let host = self.entry(address, domain);
        if is_direct_mention || host.reported_at.max(host.mentioned_at).is_none() {
            host.mentioned_at = Some(now);
        }
    }

    fn entry(&mut self, address: SocketAddr, domain: &str) -> &mut Host {
        let host = self.hosts.entry(address).or_insert_with(|| Host {
            name: address.to_compact_string(),
            domain: domain.into(),
            reported_at: None,
            mentioned_at: None,
            is_leaving: false,
        });
        if host.domain != domain {
            host.domain = domain.into();
        }
        host
    }

    /// Forgets hosts that neither report nor are mentioned any more.
    pub fn expire(&mut self, now: Instant) {
        self.hosts.retain(|_, host| host.is_known(now));
    }

    /// Returns the number of known hosts, this one included.
    pub fn len(&self) -> usize {
        self.hosts.len() + 1
    }

    /// Returns whether no other host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns whether the load of some hosts is known only from summaries.
    pub fn has_indirect_hosts(&self) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| !self.reports_directly(&host.domain))
    }

    /// Returns whether hosts in `domain` report to this host directly. Summaries of that domain
    /// must then be ignored, as they would count its hosts twice.
    pub fn reports_directly(&self, domain: &str) -> bool {
        domain == self.domain || self.len() <= SMALL_FLEET_MAX_HOSTS
    }

    /// Returns the hosts to which this host reports.
    pub fn report_targets(&self) -> Vec<SocketAddr> {
        let direct = self
            .hosts
            .iter()
            .filter(|(_, host)| self.reports_directly(&host.domain));
        direct.map(|(address, _)| *address).collect()
    }

    /// Returns the other live hosts of this host's failure domain.
    pub fn live_in_own_domain(&self, now: Instant) -> Vec<SocketAddr> {
        let hosts = self.live_domain_hosts(now);
        hosts.map(|(address, _)| *address).collect()
    }

    /// Returns the live hosts whose reports this host gets.
    pub fn live_reporters(&self, now: Instant) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        let live = hosts.filter(|(_, host)| host.is_alive(now));
        let direct = live.filter(|(_, host)| self.reports_directly(&host.domain));
        direct.map(|(address, _)| *address).collect()
    }

    /// Returns the hosts to mention in a report, by failure domain: in a small fleet all live
    /// hosts, in a large one the live hosts of this domain and the representatives of the others.
    pub fn hosts_to_mention(&self, now: Instant) -> BTreeMap<CompactString, Vec<SocketAddr>> {
        let live = self.hosts.iter().filter(|(_, host)| host.is_alive(now));
        let live = live.map(|(address, _)| *address);
        let addresses: BTreeSet<_> = match self.len() <= SMALL_FLEET_MAX_HOSTS {
            true => live.collect(),
            false => self
                .live_in_own_domain(now)
                .into_iter()
                .chain(self.other_representatives())
                .collect(),
        };
        let mut hosts_to_mention: BTreeMap<CompactString, Vec<SocketAddr>> = BTreeMap::new();
        for address in addresses {
            let domain = self.hosts[&address].domain.clone();
            hosts_to_mention.entry(domain).or_default().push(address);
        }
        hosts_to_mention
    }

    fn live_domain_hosts(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Host)> {
        let hosts = self.hosts.iter();
        hosts.filter(move |(_, host)| host.domain == self.domain && host.is_alive(now))
    }

    /// Returns the representatives of this host's failure domain, in the order of rendezvous
    /// hashing. If `is_leaving`, this host is not among them.
    pub fn own_representatives(&self, is_leaving: bool, now: Instant) -> Vec<SocketAddr> {
        let own_name = self.own_address.to_compact_string();
        let others = self
            .live_domain_hosts(now)
            .filter(|(_, host)| !host.is_leaving);
        let others = others.map(|(address, host)| (host.name.as_str(), *address));
        let own = (!is_leaving).then_some((own_name.as_str(), self.own_address));
        choose_representatives(&self.domain, others.chain(own).collect())
    }

    /// Returns the representatives of all other failure domains, chosen from the known hosts.
    pub fn other_representatives(&self) -> Vec<SocketAddr> {
        self.representatives_by_domain().flatten().collect()
    }

    /// Returns the representatives that a host may follow: the first ones of all failure domains,
    /// its own before the others, and then the second ones, which watch the store only if needed.
    pub fn representatives_to_follow(&self, is_leaving: bool, now: Instant) -> Vec<SocketAddr> {
        let own = self.own_representatives(is_leaving, now);
        let domains: Vec<_> = std::iter::once(own)
            .chain(self.representatives_by_domain())
            .collect();
        let ranks = (0..REPRESENTATIVES).flat_map(|rank| {
            let domains = domains.iter();
            domains.filter_map(move |representatives| representatives.get(rank))
        });
        let own_address = self.own_address;
        ranks
            .copied()
            .filter(|address| *address != own_address)
            .collect()
    }

    fn representatives_by_domain(&self) -> impl Iterator<Item = Vec<SocketAddr>> {
        let mut domains: BTreeMap<&str, BTreeMap<&str, SocketAddr>> = BTreeMap::new();
        for (address, host) in &self.hosts {
            if host.domain != self.domain && !host.is_leaving {
                let domain = domains.entry(&host.domain).or_default();
                domain.insert(&host.name, *address);
            }
        }
        let domains = domains.into_iter();
        domains.map(|(domain, hosts)| choose_representatives(domain, hosts))
    }

    /// Returns the seeds to query now, which are those that do not report; empty until the next
    /// query is due.
    pub fn seeds_to_query(&mut self, now: Instant) -> Vec<SocketAddr> {
        let period = match self.live_domain_hosts(now).next() {
            None => SEED_QUERY_PERIODS.0,
            Some(_) => SEED_QUERY_PERIODS.1,
        };
        let is_due = |at: Instant| now.duration_since(at) >= period;
        if !self.seeds_queried_at.is_none_or(is_due) {
            return Vec::new();
        }
        self.seeds_queried_at = Some(now);
        let seeds = self.seeds.iter().filter(|seed| {
            let known = self.hosts.get(*seed);
            **seed != self.own_address && !known.is_some_and(|host| host.is_alive(now))
        });
        seeds.copied().collect()
    }
}

fn choose_representatives(domain: &str, hosts: BTreeMap<&str, SocketAddr>) -> Vec<SocketAddr> {
    let ranked = rendezvous::ranked(domain, hosts.keys().copied());
    let chosen = ranked.into_iter().take(REPRESENTATIVES);
    chosen.map(|name| hosts[name]).collect()
}

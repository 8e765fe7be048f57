//! The other hosts: who is heard, who represents a failure domain, and who gets reports.
//!
//! Answers the size of the fleet. Hosts of a small fleet report to each other. In a larger one each
//! host reports to its failure domain only, and the representatives of the domains exchange
//! summaries, so that what a host sends and hears is bounded by the size of its domain. The
//! representatives also watch the store for all others, whose calls are priced.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::{CompactString, ToCompactString};

use crate::member::rendezvous;

/// Representatives of each failure domain; the second one covers the time until the loss of the
/// first is noticed.
pub const REPRESENTATIVES: usize = 2;

/// Most hosts, this one included, that all report to each other.
const SMALL_FLEET: usize = 24;

/// Time after its last report for which a host may hold a duty: two reports may be lost.
const HEARD_FOR: Duration = Duration::from_millis(1200);

/// Time after which a host that is neither heard nor named is forgotten.
const KNOWN_FOR: Duration = Duration::from_secs(3);

/// Time between two reports to a seed that was not heard, before and after another host of the
/// failure domain is heard.
const SEED_PERIOD: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));

/// A host that is known.
#[derive(Clone, Debug)]
struct Host {
    name: CompactString,
    domain: CompactString,
    // When its own report last came.
    heard_at: Option<Instant>,
    // When it was last named by a host that hears it, or first by another one.
    named_at: Option<Instant>,
    is_leaving: bool,
}

impl Host {
    fn is_heard(&self, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.duration_since(at) < HEARD_FOR)
    }

    fn is_known(&self, now: Instant) -> bool {
        let last = self.heard_at.max(self.named_at);
        last.is_some_and(|at| now.duration_since(at) < KNOWN_FOR)
    }
}

/// The hosts that are known to this one.
#[derive(Debug)]
pub struct Roster {
    own: SocketAddr,
    domain: CompactString,
    seeds: Vec<SocketAddr>,
    // Invariant: all but this host.
    hosts: BTreeMap<SocketAddr, Host>,
    asked_seeds_at: Option<Instant>,
}

impl Roster {
    /// Creates a roster of the host at `own` in `domain` that knows the seeds.
    pub fn new(own: SocketAddr, domain: CompactString, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            domain,
            seeds,
            hosts: BTreeMap::new(),
            asked_seeds_at: None,
        }
    }

    /// Notes a report from `address`; returns whether the host was not heard before.
    pub fn heard(
        &mut self,
        address: SocketAddr,
        domain: &str,
        is_leaving: bool,
        now: Instant,
    ) -> bool {
        if address == self.own {
            return false;
        }
        let host = self.entry(address, domain);
        host.is_leaving = is_leaving;
        host.heard_at.replace(now).is_none()
    }

    /// Notes that another host names the one at `address`.
    ///
    /// Only the word of a host that hears it itself (`is_heard_there`) keeps it known: hosts that
    /// pass on what they were told would keep each other's memory of a lost host alive.
    pub fn named(&mut self, address: SocketAddr, domain: &str, is_heard_there: bool, now: Instant) {
        if address == self.own {
            return;
        }
        let host = self.entry(address, domain);
        if is_heard_there || host.heard_at.max(host.named_at).is_none() {
            host.named_at = Some(now);
        }
    }

    fn entry(&mut self, address: SocketAddr, domain: &str) -> &mut Host {
        let host = self.hosts.entry(address).or_insert_with(|| Host {
            name: address.to_compact_string(),
            domain: domain.into(),
            heard_at: None,
            named_at: None,
            is_leaving: false,
        });
        if host.domain != domain {
            host.domain = domain.into();
        }
        host
    }

    /// Forgets hosts that are neither heard nor named any more.
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

    /// Returns whether there are hosts whose reports do not come directly.
    pub fn is_large(&self) -> bool {
        let mut hosts = self.hosts.values();
        hosts.any(|host| !self.is_direct(&host.domain))
    }

    /// Returns whether reports of a host in `domain` come directly, so that summaries of its domain
    /// would count it twice.
    pub fn is_direct(&self, domain: &str) -> bool {
        domain == self.domain || self.len() <= SMALL_FLEET
    }

    /// Returns the hosts that get this host's reports.
    pub fn mates(&self) -> Vec<SocketAddr> {
        let direct = self
            .hosts
            .iter()
            .filter(|(_, host)| self.is_direct(&host.domain));
        direct.map(|(address, _)| *address).collect()
    }

    /// Returns the hosts of this failure domain that are heard.
    pub fn heard_here(&self, now: Instant) -> Vec<SocketAddr> {
        let here = self.here(now);
        here.map(|(address, _)| *address).collect()
    }

    /// Returns the hosts that a report names, by failure domain: those that are heard, and of
    /// other domains in a large fleet the representatives.
    pub fn listing(&self, now: Instant) -> BTreeMap<CompactString, Vec<SocketAddr>> {
        let heard = self.hosts.iter().filter(|(_, host)| host.is_heard(now));
        let heard = heard.map(|(address, _)| *address);
        let addresses: BTreeSet<_> = match self.len() <= SMALL_FLEET {
            true => heard.collect(),
            false => self
                .heard_here(now)
                .into_iter()
                .chain(self.representatives_elsewhere())
                .collect(),
        };
        let mut listing: BTreeMap<CompactString, Vec<SocketAddr>> = BTreeMap::new();
        for address in addresses {
            let domain = self.hosts[&address].domain.clone();
            listing.entry(domain).or_default().push(address);
        }
        listing
    }

    fn here(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Host)> {
        let hosts = self.hosts.iter();
        hosts.filter(move |(_, host)| host.domain == self.domain && host.is_heard(now))
    }

    /// Returns the representatives of this host's failure domain in their order, if `is_leaving`
    /// without this host.
    pub fn representatives_here(&self, is_leaving: bool, now: Instant) -> Vec<SocketAddr> {
        let own_name = self.own.to_compact_string();
        let others = self.here(now).filter(|(_, host)| !host.is_leaving);
        let others = others.map(|(address, host)| (host.name.as_str(), *address));
        let own = (!is_leaving).then_some((own_name.as_str(), self.own));
        ranked(&self.domain, others.chain(own).collect())
    }

    /// Returns the representatives of all other failure domains.
    pub fn representatives_elsewhere(&self) -> Vec<SocketAddr> {
        let mut domains: BTreeMap<&str, BTreeMap<&str, SocketAddr>> = BTreeMap::new();
        for (address, host) in &self.hosts {
            if host.domain != self.domain && !host.is_leaving {
                let domain = domains.entry(&host.domain).or_default();
                domain.insert(&host.name, *address);
            }
        }
        let ranked = domains
            .into_iter()
            .flat_map(|(domain, hosts)| ranked(domain, hosts));
        ranked.collect()
    }

    /// Returns the seeds that are to be asked now, as they were not heard.
    pub fn due_seeds(&mut self, now: Instant) -> Vec<SocketAddr> {
        let period = match self.here(now).next() {
            None => SEED_PERIOD.0,
            Some(_) => SEED_PERIOD.1,
        };
        let is_due = |at: Instant| now.duration_since(at) >= period;
        if !self.asked_seeds_at.is_none_or(is_due) {
            return Vec::new();
        }
        self.asked_seeds_at = Some(now);
        let seeds = self.seeds.iter().filter(|seed| {
            let known = self.hosts.get(*seed);
            **seed != self.own && !known.is_some_and(|host| host.is_heard(now))
        });
        seeds.copied().collect()
    }
}

fn ranked(domain: &str, hosts: BTreeMap<&str, SocketAddr>) -> Vec<SocketAddr> {
    let names = rendezvous::ranked(domain, hosts.keys().copied());
    let first = names.into_iter().take(REPRESENTATIVES);
    first.map(|name| hosts[name]).collect()
}

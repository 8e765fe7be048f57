//! Which hosts get this host's reports: those that were heard lately, and the seeds until then.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a silent host is forgotten.
const SILENT_FOR: Duration = Duration::from_secs(3);

/// Time between two reports to a seed that was not heard.
const SEED_PERIOD: Duration = Duration::from_secs(1);

/// Most hosts that one report goes to. With more hosts, rounds take turns, so that the cost of a
/// host does not grow with the fleet.
const FAN_OUT: usize = 12;

/// The other hosts that are known.
#[derive(Debug)]
pub struct Roster {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    heard: BTreeMap<SocketAddr, Instant>,
    // Last host that got a report; the next round goes on after it.
    last: Option<SocketAddr>,
    asked_seeds_at: Option<Instant>,
}

impl Roster {
    /// Creates a roster of the host at `own` that knows the seeds.
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds,
            heard: BTreeMap::new(),
            last: None,
            asked_seeds_at: None,
        }
    }

    /// Notes a report from `address`; returns whether the host is new.
    pub fn heard(&mut self, address: SocketAddr, now: Instant) -> bool {
        address != self.own && self.heard.insert(address, now).is_none()
    }

    /// Learns of a host from another one. It counts as heard, and is forgotten if it stays silent.
    pub fn told(&mut self, address: SocketAddr, now: Instant) {
        if address != self.own {
            self.heard.entry(address).or_insert(now);
        }
    }

    /// Returns the hosts that were heard lately.
    pub fn known(&self) -> impl Iterator<Item = SocketAddr> {
        self.heard.keys().copied()
    }

    /// Returns the hosts that the next report goes to.
    pub fn targets(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.heard
            .retain(|_, at| now.duration_since(*at) < SILENT_FOR);
        let after = self.last.take();
        let later = self.heard.keys().filter(|address| Some(**address) > after);
        let earlier = self.heard.keys().filter(|address| Some(**address) <= after);
        let mut targets: Vec<_> = later.chain(earlier).copied().take(FAN_OUT).collect();
        if self.heard.len() > FAN_OUT {
            self.last = targets.last().copied();
        }
        let is_due = |at: Instant| now.duration_since(at) >= SEED_PERIOD;
        if self.asked_seeds_at.is_none_or(is_due) {
            self.asked_seeds_at = Some(now);
            let unheard = self
                .seeds
                .iter()
                .filter(|seed| **seed != self.own && !self.heard.contains_key(*seed));
            targets.extend(unheard);
        }
        targets
    }
}

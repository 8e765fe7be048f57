//! Backend servers of the router's services, and the choice of one for a call.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use super::registry::HOLD_MAX;
use crate::clock::Clock;
use crate::sched::retry;
use crate::wire::{Kind, Lifecycle, Member};

/// Time after the failure of a server in which other servers are preferred.
const FAILED_PENALTY: Duration = Duration::from_secs(2);

/// Limit on retries, which bounds the additional load when all servers fail.
const RETRY_POLICY: retry::Policy = retry::Policy {
    ratio: 0.1,
    slack: 20.0,
    window: Duration::from_secs(10),
};

new_key_type! {
    /// Key of a server in [`Servers`].
    pub struct ServerKey;
}

#[derive(Debug)]
struct Server {
    name: CompactString,
    address: CompactString,
    service: CompactString,
    failure_domain: CompactString,
    // Calls of this host that run on the server.
    running: u32,
    is_listed_leaving: bool,
    // Whether the server itself said that it is leaving. Cleared when the membership list has another
    // address for it, or shows it as live after it was shown as leaving.
    has_reported_leaving: bool,
    failed_at: Option<Instant>,
    // Until when the server asked to be left alone.
    held_until: Option<Instant>,
    // Value of `Servers::pick_count` when this server was last chosen.
    last_pick: u64,
}

impl Server {
    fn accepts_calls(&self, now: Instant) -> bool {
        self.is_staying() && self.held_until.is_none_or(|until| until <= now)
    }

    fn is_staying(&self) -> bool {
        !self.is_listed_leaving && !self.has_reported_leaving
    }
}

/// How an attempt on a server ended, as used for choosing servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The server answered.
    Answered,
    /// The server could not be reached, gave no usable answer or did not answer in time.
    Failed,
    /// The server said that it accepts no new calls.
    Leaving,
    /// The server turned the call away and wants no other for this long.
    Held(Duration),
}

/// The backend servers of all services and the retry budget.
#[derive(Debug)]
pub struct Servers<C: Clock> {
    clock: C,
    failure_domain: CompactString,
    servers: SlotMap<ServerKey, Server>,
    pick_count: u64,
    retries: retry::Budget,
}

impl<C: Clock> Servers<C> {
    /// Creates an empty set for a host in `failure_domain`.
    pub fn new(clock: C, failure_domain: CompactString) -> Self {
        Self {
            clock,
            failure_domain,
            servers: SlotMap::with_key(),
            pick_count: 0,
            retries: retry::Budget::new(RETRY_POLICY, 0),
        }
    }

    /// Adds and removes servers so that they match the membership list.
    pub fn set_members(&mut self, members: &[Member]) {
        let backends = || members.iter().filter(|member| member.kind == Kind::Backend);
        self.servers.retain(|_, server| {
            backends().any(|member| {
                member.name == server.name
                    && member.address == server.address
                    && member.service == server.service
            })
        });
        for member in backends() {
            let is_leaving = member.state == Lifecycle::Leaving;
            let known = self.servers.values_mut();
            match { known }.find(|server| server.name == member.name) {
                Some(server) => {
                    server.has_reported_leaving &= is_leaving || !server.is_listed_leaving;
                    server.is_listed_leaving = is_leaving;
                }
                None => {
                    self.servers.insert(Server {
                        name: member.name.clone(),
                        address: member.address.clone(),
                        service: member.service.clone(),
                        failure_domain: member.failure_domain.clone(),
                        running: 0,
                        is_listed_leaving: is_leaving,
                        has_reported_leaving: false,
                        failed_at: None,
                        held_until: None,
                        last_pick: 0,
                    });
                }
            }
        }
    }

    /// Returns the number of running calls of this host on each server that accepts calls, by name.
    pub fn overview(&self) -> BTreeMap<CompactString, u32> {
        let now = self.clock.now();
        let accepting = self
            .servers
            .values()
            .filter(|server| server.accepts_calls(now));
        accepting
            .map(|server| (server.name.clone(), server.running))
            .collect()
    }

    /// Chooses a server for an attempt, which must be ended with [`Servers::end_attempt`], and returns
    /// its key and address.
    ///
    /// Prefers, in this order, servers that are not in `tried`, that did not fail recently, that have
    /// the fewest running calls of this host, that are in the failure domain of this host, and that
    /// were chosen least recently.
    pub fn begin_attempt(
        &mut self,
        service: &str,
        tried: &[ServerKey],
    ) -> Option<(ServerKey, CompactString)> {
        let now = self.clock.now();
        let candidates = self
            .servers
            .iter()
            .filter(|(_, server)| server.service == service && server.accepts_calls(now));
        let (key, _) = candidates.min_by_key(|(key, server)| {
            let has_failed = server
                .failed_at
                .is_some_and(|at| now.duration_since(at) < FAILED_PENALTY);
            let is_other_domain = server.failure_domain != self.failure_domain;
            (
                tried.contains(key),
                has_failed,
                server.running,
                is_other_domain,
                server.last_pick,
            )
        })?;
        self.pick_count += 1;
        let server = &mut self.servers[key];
        server.running += 1;
        server.last_pick = self.pick_count;
        Some((key, server.address.clone()))
    }

    /// Records the end of an attempt.
    pub fn end_attempt(&mut self, key: ServerKey, end: End) {
        let now = self.clock.now();
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.running = server.running.saturating_sub(1);
        match end {
            End::Answered => server.failed_at = None,
            End::Failed => server.failed_at = Some(now),
            End::Leaving => server.has_reported_leaving = true,
            End::Held(duration) => {
                let until = Some(now + duration.min(HOLD_MAX));
                server.held_until = server.held_until.max(until);
            }
        }
    }

    /// Returns the time until the first server of a service accepts calls if all that would accept
    /// them asked to be left alone; zero if one did not, or there is none.
    pub fn held_for(&self, service: &str) -> Duration {
        let now = self.clock.now();
        let servers = self.servers.values();
        let staying = servers.filter(|server| server.service == service && server.is_staying());
        let left = staying.map(|server| match server.held_until {
            Some(until) => until.saturating_duration_since(now),
            None => Duration::ZERO,
        });
        left.min().unwrap_or_default()
    }

    /// Records a new call to a service, from which its retry budget is computed.
    pub fn record_call(&mut self, service: &str) {
        let now = self.clock.now();
        self.retries.record_request(service, now);
    }

    /// Takes one retry out of the budget of a service; returns `false` if none is left.
    pub fn take_retry(&mut self, service: &str) -> bool {
        let now = self.clock.now();
        self.retries.try_spend(service, now)
    }
}

//! Routes of opaque requests: which service a request goes to, and what may be done with it.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on at another engine.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether work that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: CompactString,
    /// Weight against the other targets of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Host that callers name, in lower case and without a port.
    pub host: CompactString,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time without a final answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, within which it is on time.
    pub target_latency: Duration,
    /// Longest pause between events for which a stream is on time.
    pub target_gap: Duration,
    /// Rank, 0 first.
    pub rank: u8,
    /// Most engines that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// Services; not empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service for a draw from 0 up to 1.
    pub fn service(&self, draw: f64) -> &CompactString {
        let total: f64 = self
            .targets
            .iter()
            .map(|target| f64::from(target.weight))
            .sum();
        let mut left = draw * total;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Tokens that fit into an engine's memory; 0 for services without such memory.
    pub kv_capacity_tokens: u32,
    /// Whether an engine can copy a run's memory to another one while it runs.
    pub has_replicas: bool,
    /// Connections that an engine accepts from all callers.
    pub max_connections: u32,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Greatest size of a head in bytes.
    pub max_header_bytes: usize,
    /// Greatest size of a body in bytes.
    pub max_body_bytes: usize,
    /// Time in which a head must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A team and its rank.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name, as engines are told.
    pub name: CompactString,
    /// Rank that goes before a route's, if set.
    pub rank: Option<u8>,
}

/// Why no route takes a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No route matches host and path.
    NoRoute,
    /// The route needs a key that is known.
    NoKey,
}

/// One revision of the routes, whole and never changed.
#[derive(Clone, Debug, Default)]
pub struct Revision {
    /// Version, which rises.
    pub version: u64,
    /// Limits on callers.
    pub limits: Limits,
    /// The document that it was read from, for hosts that cannot read it themselves.
    pub source: CompactString,
    /// Services by name.
    pub services: BTreeMap<CompactString, Service>,
    routes: BTreeMap<CompactString, BTreeMap<CompactString, Route>>,
    keys: BTreeMap<CompactString, Team>,
    has_teams: bool,
}

impl Revision {
    /// Puts a revision together; `teams` come with their keys.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: BTreeMap<CompactString, Service>,
        teams: Vec<(Team, Vec<CompactString>)>,
    ) -> Self {
        let mut routes_by_host: BTreeMap<CompactString, BTreeMap<CompactString, Route>> =
            BTreeMap::new();
        for route in routes {
            let prefixes = routes_by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), route);
        }
        let has_teams = !teams.is_empty();
        let keys = teams
            .into_iter()
            .flat_map(|(team, keys)| keys.into_iter().map(move |key| (key, team.clone())));
        Self {
            version,
            limits,
            source: CompactString::default(),
            services,
            routes: routes_by_host,
            keys: keys.collect(),
            has_teams,
        }
    }

    /// Returns the number of routes.
    pub fn routes(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }

    /// Returns the route with the longest prefix that begins `path`, and the team of `key`.
    ///
    /// # Errors
    /// [`Denied`] if there is no such route, or its key is not known.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(&Route, Option<&Team>), Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let team = key.and_then(|key| self.keys.get(key));
        if team.is_none() && self.has_teams && !route.is_anonymous {
            return Err(Denied::NoKey);
        }
        Ok((route, team))
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let prefixes = self.routes.get(host.as_str())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

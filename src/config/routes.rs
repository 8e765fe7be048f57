//! Routes of the gateway: which service a request goes to, and whether it may be retried.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

/// Kind of a route: whether it streams, and whether its requests may be sent more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Requests run at most once and are answered by an event stream.
    Stream,
    /// Requests are answered by an event stream, which may be resumed on another engine.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service and its weight in a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: CompactString,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// A route of requests to services, chosen by host and path prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: CompactString,
    /// Value of the `Host` header, in lower case and without a port.
    pub host: CompactString,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: CompactString,
    /// Whether requests are streamed, and whether they may be retried.
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to its final answer.
    pub timeout: Duration,
    /// Target for the time to the answer, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the time between two events of a stream.
    pub target_gap: Duration,
    /// Rank of the requests; 0 is served first.
    pub rank: u8,
    /// Maximum number of engines that may run one request.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_anonymous: bool,
    /// Services with their weights; never empty.
    pub targets: Vec<Target>,
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number from 0 to 1.
    pub fn service(&self, draw: f64) -> &CompactString {
        let total: f64 = self
            .targets
            .iter()
            .map(|target| f64::from(target.weight))
            .sum();
        let mut remaining = draw * total;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// Properties that all engines of a service share.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Service {
    /// Tokens that fit into an engine's KV cache; 0 for services without one.
    pub kv_capacity_tokens: u32,
    /// Whether an engine can copy the KV cache of a running request to another engine.
    pub has_replicas: bool,
    /// Time for which an engine keeps a copy of a run's memory that another engine makes on request;
    /// `None` if engines make none.
    pub copy_lifetime: Option<Duration>,
    /// Maximum number of connections that one engine accepts.
    pub max_connections: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request line with its headers.
    pub max_header_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Time within which the headers must arrive.
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

/// A team, identified by the key of its requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name, as sent to engines.
    pub name: CompactString,
    /// Rank of the team's requests, which overrides the rank of the route.
    pub rank: Option<u8>,
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    NoKey,
}

/// One immutable revision of the routes.
#[derive(Clone, Debug, Default)]
pub struct Revision {
    /// Version, which increases with each revision.
    pub version: u64,
    /// Limits on the requests and connections of callers.
    pub limits: Limits,
    /// JSON document that it was parsed from, to pass on to hosts that cannot read the store.
    pub source: CompactString,
    /// Services by name.
    pub services: BTreeMap<CompactString, Service>,
    // By host, then by path prefix.
    routes: BTreeMap<CompactString, BTreeMap<CompactString, Route>>,
    keys: BTreeMap<CompactString, Team>,
    has_teams: bool,
}

impl Revision {
    /// Creates a revision; `teams` holds each team with its keys.
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

    /// Returns the route with the longest prefix of `path`, and the team that `key` belongs to.
    ///
    /// Keys are only required if the revision has teams and the route is not anonymous.
    ///
    /// # Errors
    /// See [`Denied`].
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

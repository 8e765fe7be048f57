//! Decoding of the store's JSON documents: the operator's configuration and the engines'
//! registrations.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config::routes::{Limits, Revision, Route, RouteKind, Service, Target, Team};
use crate::rollout::{Entry, Lifecycle, Order, Outcome};
use crate::route::registry::Registration;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ConfigDocument {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteDocument>,
    #[serde(default)]
    services: Vec<ServiceDocument>,
    #[serde(default)]
    limits: Option<LimitsDocument>,
    #[serde(default)]
    tenants: Vec<TenantDocument>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteDocument {
    name: CompactString,
    host: CompactString,
    path_prefix: CompactString,
    route_type: RouteType,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: Option<f64>,
    #[serde(default)]
    target_gap_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<CompactString>,
    #[serde(default)]
    traffic_split: Vec<SplitDocument>,
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    anonymous: bool,
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RouteType {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
struct SplitDocument {
    service: CompactString,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceDocument {
    name: CompactString,
    #[serde(default)]
    max_connections: u32,
    // Not an id, despite its name: properties that all model engines of the service share.
    #[serde(default)]
    engine_id: Option<EngineDocument>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EngineDocument {
    #[serde(default)]
    kv_capacity: u32,
    #[serde(default)]
    replicas: bool,
    /// Whether an engine copies the memory of a run on request.
    #[serde(default)]
    migrations: bool,
    #[serde(default)]
    kv_handle_s: f64,
}

impl EngineDocument {
    /// Returns for how long an engine keeps a copy of a run's memory that another engine made.
    fn copy_lifetime(&self) -> Option<Duration> {
        let lifetime = Duration::try_from_secs_f64(self.kv_handle_s).ok()?;
        (self.migrations && !lifetime.is_zero()).then_some(lifetime.min(TIME_MAX))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct LimitsDocument {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

impl Default for LimitsDocument {
    fn default() -> Self {
        let limits = Limits::default();
        Self {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout_ms: limits.header_timeout.as_millis() as u64,
            idle_timeout_ms: limits.idle_timeout.as_millis() as u64,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantDocument {
    name: CompactString,
    #[serde(default)]
    api_keys: Vec<CompactString>,
    #[serde(default)]
    priority: Option<u8>,
}

/// Target for the time to the response, or to the first event, of a route without one.
const TARGET_LATENCY_DEFAULT: Duration = Duration::from_secs(1);

/// Target for the longest gap between events of a route without one.
const TARGET_GAP_DEFAULT: Duration = Duration::from_secs(1);

/// Upper bound on all times of a configuration. Without it, adding one to an instant could
/// overflow.
const TIME_MAX: Duration = Duration::from_secs(24 * 3600);

/// Fractional weights are multiplied by this and truncated to integers.
const WEIGHT_SCALE: f64 = 1000.0;

/// Decodes the operator's configuration. Routes without a service are left out.
///
/// # Errors
/// A field is missing or has the wrong type.
pub(super) fn decode_revision(spec: &serde_json::Value) -> Result<Revision, serde_json::Error> {
    let document = ConfigDocument::deserialize(spec)?;
    let limits = document.limits.unwrap_or_default();
    let services = document.services.into_iter().map(|service| {
        let engine = service.engine_id.as_ref();
        let value = Service {
            kv_capacity_tokens: engine.map_or(0, |engine| engine.kv_capacity),
            has_replicas: engine.is_some_and(|engine| engine.replicas),
            copy_lifetime: engine.and_then(EngineDocument::copy_lifetime),
            max_connections: service.max_connections,
        };
        (service.name, value)
    });
    let teams = document.tenants.into_iter().map(|tenant| {
        let team = Team {
            name: tenant.name,
            rank: tenant.priority,
        };
        (team, tenant.api_keys)
    });
    let mut revision = Revision::new(
        document.version,
        Limits {
            max_header_bytes: limits.max_header_bytes,
            max_body_bytes: limits.max_body_bytes,
            header_timeout: millis(limits.header_timeout_ms),
            idle_timeout: millis(limits.idle_timeout_ms),
        },
        document
            .routes
            .into_iter()
            .filter_map(decode_route)
            .collect(),
        services.collect::<BTreeMap<_, _>>(),
        teams.collect(),
    );
    revision.source = spec.to_string().into();
    Ok(revision)
}

/// Returns a time given in milliseconds, at most [`TIME_MAX`], or `default` if there is none.
fn millis_or(value: Option<f64>, default: Duration) -> Duration {
    value.map_or(default, |ms| {
        Duration::try_from_secs_f64(ms.max(0.0) / 1000.0)
            .map_or(TIME_MAX, |time| time.min(TIME_MAX))
    })
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms).min(TIME_MAX)
}

/// Returns `None` for a route without any service.
fn decode_route(document: RouteDocument) -> Option<Route> {
    let mut targets: Vec<_> = document
        .traffic_split
        .into_iter()
        .map(|split| Target {
            service: split.service,
            weight: (split.weight.max(0.0) * WEIGHT_SCALE) as u32,
        })
        .collect();
    if targets.is_empty() {
        targets.push(Target {
            service: document.service?,
            weight: 1,
        });
    }
    Some(Route {
        name: document.name,
        host: document.host.to_ascii_lowercase(),
        prefix: document.path_prefix,
        kind: match document.route_type {
            RouteType::Idempotent => RouteKind::Idempotent,
            RouteType::NonIdempotent => RouteKind::NonIdempotent,
            RouteType::Streaming if document.stream_resume => RouteKind::ResumableStream,
            RouteType::Streaming => RouteKind::Stream,
        },
        timeout: millis(document.timeout_ms),
        target_latency: millis_or(document.target_latency_ms, TARGET_LATENCY_DEFAULT),
        target_gap: millis_or(document.target_gap_ms, TARGET_GAP_DEFAULT),
        rank: document.priority,
        max_attempts: document.max_attempts.unwrap_or(1).max(1),
        is_anonymous: document.anonymous,
        targets,
    })
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RegistrationDocument {
    service: CompactString,
    address: CompactString,
    zone: CompactString,
    batch_slots: u32,
    lifecycle: EngineLifecycle,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    version: CompactString,
}

#[derive(Clone, Copy, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum EngineLifecycle {
    Available,
    Draining,
}

/// Returns whether a process other than this one can listen at an address.
fn is_engine_address(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast
}

/// Returns whether an id can be sent in a header, by which an engine refuses requests for another one.
pub(super) fn is_engine_id(id: &str) -> bool {
    !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Decodes the registration of the engine `id`; `None` if it is malformed.
pub(super) fn decode_registration(id: &str, spec: &serde_json::Value) -> Option<Registration> {
    let document = RegistrationDocument::deserialize(spec).ok()?;
    if !is_engine_address(document.address.parse().ok()?) || !is_engine_id(id) {
        return None;
    }
    Some(Registration {
        id: id.into(),
        service: document.service,
        address: document.address,
        failure_domain: document.zone,
        slots: document.batch_slots,
        is_draining: document.lifecycle == EngineLifecycle::Draining,
        started_ms: document.born,
        version: document.version,
    })
}

#[derive(Deserialize)]
struct OrderObject {
    metadata: OrderMetadata,
    spec: OrderDocument,
    #[serde(default)]
    status: Option<StatusDocument>,
}

#[derive(Deserialize)]
struct OrderMetadata {
    revision: u64,
    #[serde(default)]
    created: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct OrderDocument {
    service: CompactString,
    to: CompactString,
    duration_s: f64,
}

#[derive(Deserialize, Serialize)]
struct StatusDocument {
    lifecycle: OrderLifecycle,
    to: CompactString,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum OrderLifecycle {
    InProgress,
    Completed,
    Reverted,
}

impl From<OrderLifecycle> for Lifecycle {
    fn from(lifecycle: OrderLifecycle) -> Self {
        match lifecycle {
            OrderLifecycle::InProgress => Self::InProgress,
            OrderLifecycle::Completed => Self::Ended(Outcome::Completed),
            OrderLifecycle::Reverted => Self::Ended(Outcome::Reverted),
        }
    }
}

impl From<Lifecycle> for OrderLifecycle {
    fn from(lifecycle: Lifecycle) -> Self {
        match lifecycle {
            Lifecycle::InProgress => Self::InProgress,
            Lifecycle::Ended(Outcome::Completed) => Self::Completed,
            Lifecycle::Ended(Outcome::Reverted) => Self::Reverted,
        }
    }
}

/// Decodes the order to roll a version out that the object `name` holds; `None` if it is malformed. A
/// status that names another version belongs to an earlier order.
pub(super) fn decode_order(name: &str, object: &serde_json::Value, era: u64) -> Option<Entry> {
    let decoded = OrderObject::deserialize(object).ok()?;
    let OrderDocument {
        service,
        to,
        duration_s,
    } = decoded.spec;
    if service != name {
        return None;
    }
    let duration = Duration::try_from_secs_f64(duration_s).ok()?;
    let status = decoded.status.filter(|status| status.to == to);
    Some(Entry {
        order: Order {
            service,
            to,
            duration: duration.min(TIME_MAX),
            created: decoded.metadata.created,
            era,
        },
        lifecycle: status.map(|status| status.lifecycle.into()),
        revision: decoded.metadata.revision,
        document: object.to_string().into(),
    })
}

/// Returns the object that holds an order, with a status that tells its state.
pub(super) fn with_status(entry: &Entry, lifecycle: Lifecycle) -> Option<serde_json::Value> {
    let mut object: serde_json::Value = serde_json::from_str(&entry.document).ok()?;
    let status = StatusDocument {
        lifecycle: lifecycle.into(),
        to: entry.order.to.clone(),
    };
    let status = serde_json::to_value(status).ok()?;
    object.as_object_mut()?.insert("status".to_owned(), status);
    Some(object)
}

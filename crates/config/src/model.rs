//! Parsed configuration items. Unknown JSON fields are ignored.
//!
//! Some fields are only stored and shown to operators; the data plane does not act on them. Their documentation says
//! so.

use crate::item::{Item, Kind};
use crate::item_json::{parse_value, LimitsJson, RouteJson, SafetyJson, ServiceJson, TenantJson};
use smallvec::SmallVec;
use std::sync::Arc;

/// Whether a route's requests may be processed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSafety {
    /// Requests have no side effects and may be processed more than once.
    Safe,
    /// Requests have side effects and must not be processed more than once. They are retried only if no backend can
    /// have processed the earlier attempt.
    Unsafe,
    /// Requests have side effects and carry an idempotency key, which allows a service to detect duplicates. The data
    /// plane nevertheless handles them like `Unsafe` requests.
    Keyed,
}

/// A rule that routes requests to services by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The item's name.
    pub name: Arc<str>,
    /// The item's version.
    pub version: u64,
    /// The host as the operator entered it. Case and port are ignored when it is compared with a request's host.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether the route's requests may be processed more than once.
    pub safety: RequestSafety,
    /// The maximum duration of a request in milliseconds.
    pub deadline_ms: u32,
    /// The latency target of a request in milliseconds; defaults to the deadline. Not used by the data plane.
    pub target_ms: u32,
    /// The priority class; defaults to [`Route::DEFAULT_CLASS`]. Not used by the data plane.
    pub class: u8,
    /// The services and their weights. Change requests are validated so that there is at least one service, no weight
    /// is negative, and the sum of the weights is positive and finite.
    pub services: SmallVec<[(Arc<str>, f64); 2]>,
    /// The maximum number of attempts per request, including the first; at least 1.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key. If so, no tenant's rate limit applies to them.
    pub allows_anonymous: bool,
    /// The regions whose backends may serve the route's requests; if empty, all regions.
    pub home_regions: Vec<Arc<str>>,
}

/// A customer whose requests are identified by their API key.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The item's name.
    pub name: Arc<str>,
    /// The item's version.
    pub version: u64,
    /// The API keys that identify the tenant's requests. They are secret and must not be logged.
    pub keys: Vec<Arc<str>>,
    /// The priority class, if one is configured. Not used by the data plane.
    pub class: Option<u8>,
    /// The rate limit in requests per second; 0 means no limit.
    pub rate: f64,
    /// The number of requests that a burst may exceed the rate by; defaults to 0.
    pub burst: f64,
    /// The regions whose backends may serve the tenant's requests; if empty, all regions.
    pub home_regions: Vec<Arc<str>>,
}

/// A group of backends that serve the same kind of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The item's name.
    pub name: Arc<str>,
    /// The item's version.
    pub version: u64,
    /// The path for health checks; empty if none is configured. Not used by the data plane.
    pub health_path: Arc<str>,
    /// The maximum number of concurrent requests per backend; 0 if none is configured. Not used by the data plane.
    pub max_concurrency: u32,
    /// The duration of a new backend's slow start in seconds; 0 if none is configured. The data plane does not use it:
    /// a backend's item says how long its slow start lasts.
    pub slow_start_s: f64,
    /// The number of requests per second that a backend can handle during its slow start. If it is 0, backends get no
    /// requests until their slow start has ended.
    pub slow_start_rate: f64,
}

/// The limits that apply to every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// The maximum time in milliseconds until a request head has been received.
    pub head_timeout_ms: u32,
    /// The maximum time in milliseconds that a connection may be idle.
    pub idle_timeout_ms: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16_384,
            max_body_bytes: 64 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Route {
    /// The priority class of routes that do not specify one.
    pub const DEFAULT_CLASS: u8 = 1;

    /// Parses a route. Returns `None` if the item is of another kind, is removed, or cannot be parsed.
    pub fn from_item(item: &Item) -> Option<Route> {
        let json: RouteJson = parse_value(item, Kind::Route)?;
        let deadline_ms = json.deadline_ms as u32;
        Some(Route {
            name: item.name.clone(),
            version: item.version,
            host: Arc::from(&*json.host),
            path_prefix: Arc::from(&*json.path_prefix),
            safety: match json.safety {
                SafetyJson::Safe => RequestSafety::Safe,
                SafetyJson::Unsafe => RequestSafety::Unsafe,
                SafetyJson::Keyed => RequestSafety::Keyed,
            },
            deadline_ms,
            target_ms: json.target_ms.map_or(deadline_ms, |target_ms| target_ms as u32),
            class: json.class.map_or(Route::DEFAULT_CLASS, |class| class as u8),
            services: services_of(&json),
            max_attempts: json.max_attempts.map_or(1, |max_attempts| (max_attempts as u32).max(1)),
            allows_anonymous: json.allows_anonymous.unwrap_or(false),
            home_regions: json.home_regions.unwrap_or_default(),
        })
    }
}

/// Returns a route's services and their weights. If the route has both a list of weighted services and a single
/// service, the list is used.
fn services_of(json: &RouteJson) -> SmallVec<[(Arc<str>, f64); 2]> {
    match (&json.weighted_services, &json.service) {
        (Some(weighted_services), _) => weighted_services
            .iter()
            .map(|weighted| (Arc::from(&*weighted.service), weighted.weight))
            .collect(),
        (None, Some(service)) => SmallVec::from_iter([(Arc::from(&**service), 1.0)]),
        (None, None) => SmallVec::new(),
    }
}

impl Tenant {
    /// Parses a tenant. Returns `None` if the item is of another kind, is removed, or cannot be parsed.
    pub fn from_item(item: &Item) -> Option<Tenant> {
        let json: TenantJson = parse_value(item, Kind::Tenant)?;
        Some(Tenant {
            name: item.name.clone(),
            version: item.version,
            keys: json.keys.unwrap_or_default(),
            class: json.class.map(|class| class as u8),
            rate: json.rate.unwrap_or(0.0),
            burst: json.burst.unwrap_or(0.0),
            home_regions: json.home_regions.unwrap_or_default(),
        })
    }
}

impl Service {
    /// Parses a service. Returns `None` if the item is of another kind, is removed, or cannot be parsed.
    pub fn from_item(item: &Item) -> Option<Service> {
        let json: ServiceJson = parse_value(item, Kind::Service)?;
        Some(Service {
            name: item.name.clone(),
            version: item.version,
            health_path: json.health_path.unwrap_or_default(),
            max_concurrency: json.max_concurrency.unwrap_or(0.0) as u32,
            slow_start_s: json.slow_start_s.unwrap_or(0.0),
            slow_start_rate: json.slow_start_rate.unwrap_or(0.0),
        })
    }
}

impl Limits {
    /// Parses the limits. A limit that is not configured has its default value. Returns `None` if the item is of
    /// another kind, is removed, or cannot be parsed.
    pub fn from_item(item: &Item) -> Option<Limits> {
        let json: LimitsJson = parse_value(item, Kind::Limits)?;
        let default = Limits::default();
        Some(Limits {
            max_head_bytes: json.max_head_bytes.map_or(default.max_head_bytes, |bytes| bytes as usize),
            max_body_bytes: json.max_body_bytes.map_or(default.max_body_bytes, |bytes| bytes as u64),
            head_timeout_ms: json.head_timeout_ms.map_or(default.head_timeout_ms, |ms| ms as u32),
            idle_timeout_ms: json.idle_timeout_ms.map_or(default.idle_timeout_ms, |ms| ms as u32),
        })
    }
}

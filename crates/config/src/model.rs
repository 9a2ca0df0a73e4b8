//! Items as the data plane uses them. Reading is tolerant: unknown fields are ignored.

use crate::item::{Item, Kind};
use crate::item_json::{parse_value, LimitsJson, RouteJson, SafetyJson, ServiceJson, TenantJson};
use smallvec::SmallVec;
use std::sync::Arc;

/// How a route's requests may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSafety {
    /// Without side effects, so a request may be processed more than once.
    Safe,
    /// With side effects, so a request must not be processed more than once.
    Unsafe,
    /// With side effects, and with a key by which a service can recognize a repeated request. The data plane treats it
    /// as `Unsafe`.
    Keyed,
}

/// Which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The item's name.
    pub name: Arc<str>,
    /// The item's version.
    pub version: u64,
    /// As the operator wrote it; compared without regard to case and port.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// How the requests may be treated.
    pub safety: RequestSafety,
    /// How long a request may take. Milliseconds.
    pub deadline_ms: u32,
    /// How long a request should take; the deadline if the item has none. Milliseconds.
    pub target_ms: u32,
    /// The priority class; [`Route::DEFAULT_CLASS`] if the item has none.
    pub class: u8,
    /// Services and their weights, none below 0, their sum above 0.
    pub services: SmallVec<[(Arc<str>, f64); 2]>,
    /// How many attempts a request may take in all; at least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub allows_anonymous: bool,
    /// The regions whose backends may serve the requests; none for any.
    pub home_regions: Vec<Arc<str>>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The item's name.
    pub name: Arc<str>,
    /// The item's version.
    pub version: u64,
    /// The API keys that identify its requests. Secrets: not to be logged.
    pub keys: Vec<Arc<str>>,
    /// The priority class, if the item has one.
    pub class: Option<u8>,
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Requests at once above the rate; 0 for no limit.
    pub burst: f64,
    /// The regions whose backends may serve its requests; none for any.
    pub home_regions: Vec<Arc<str>>,
}

/// A group of backends that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The item's name.
    pub name: Arc<str>,
    /// The item's version.
    pub version: u64,
    /// The path of health checks; "" if the item has none.
    pub health_path: Arc<str>,
    /// Concurrent requests for a backend; 0 if the item has none.
    pub max_concurrency: u32,
    /// How long a new backend's slow start takes; 0 if the item has none. Seconds.
    pub slow_start_s: f64,
    /// Requests a second for a backend in slow start; 0 if the item has none.
    pub slow_start_rate: f64,
}

/// The limits that hold for every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The greatest request head. Bytes.
    pub max_head_bytes: usize,
    /// The greatest request body. Bytes.
    pub max_body_bytes: u64,
    /// How long a request head may take to arrive. Milliseconds.
    pub head_timeout_ms: u32,
    /// How long a connection may be idle. Milliseconds.
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
    /// The class of a route whose item names none.
    pub const DEFAULT_CLASS: u8 = 1;

    /// The route of an item; `None` for another kind, a removed item, or one that cannot be parsed.
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

/// A route's services and their weights. A list of weighted services overrides a single service.
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
    /// The tenant of an item; `None` for another kind, a removed item, or one that cannot be parsed.
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
    /// The service of an item; `None` for another kind, a removed item, or one that cannot be parsed.
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
    /// The limits of an item, those that it leaves out by default; `None` for another kind, a removed item, or one that
    /// cannot be parsed.
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

//! Items as the data plane uses them. Reading is tolerant: fields that are not known are passed over.

use crate::item::{Item, Kind};
use serde::Deserialize;
use smallvec::SmallVec;
use std::borrow::Cow;
use std::ops::Deref;
use std::sync::Arc;

/// How a route's requests may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSafety {
    Safe,
    Unsafe,
    Keyed,
}

/// An itinerary: which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: Arc<str>,
    pub version: u64,
    /// As sent; compared without regard to case.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    pub safety: RequestSafety,
    /// Milliseconds.
    pub deadline_ms: u32,
    /// Milliseconds; the deadline if the item has none.
    pub target_ms: u32,
    /// `Route::CLASS` if the item has none.
    pub class: u8,
    /// Services and their weights, none below 0, their sum above 0.
    pub services: SmallVec<[(Arc<str>, f64); 2]>,
    /// How often a request may be tried in all; at least 1.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub allows_no_key: bool,
    /// Provinces; none for any.
    pub homes: Vec<Arc<str>>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: Arc<str>,
    pub version: u64,
    /// Its keys.
    pub keys: Vec<Arc<str>>,
    pub class: Option<u8>,
    /// Requests a second; 0 for no limit.
    pub rate: f64,
    /// Requests at once above the rate; 0 for no limit.
    pub burst: f64,
    /// Provinces; none for any.
    pub homes: Vec<Arc<str>>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: Arc<str>,
    pub version: u64,
    /// The path that tells whether a backend is well; "" if the item has none.
    pub health_path: Arc<str>,
    /// Requests at once for a backend; 0 if the item has none.
    pub max_concurrency: u32,
    /// Seconds; 0 if the item has none.
    pub slow_start_s: f64,
    /// Requests a second; 0 if the item has none.
    pub slow_start_rate: f64,
}

/// The limits that hold for every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub head_bytes: usize,
    pub body_bytes: u64,
    /// Milliseconds.
    pub head_ms: u32,
    /// Milliseconds.
    pub idle_ms: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { head_bytes: 16_384, body_bytes: 64 << 20, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Borrowed where it has no escapes. A type of its own because serde copies a `Cow` inside a list or an option.
#[derive(Deserialize, PartialEq, Eq, Hash)]
#[serde(transparent)]
pub(crate) struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl Deref for Text<'_> {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

/// Numbers are all read as `f64`, since 3000.0 is as good as 3000; `as` brings those too great to the greatest.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct RouteText<'a> {
    #[serde(borrow)]
    pub depot: Text<'a>,
    #[serde(borrow)]
    pub lane_prefix: Text<'a>,
    mail_kind: Kinds,
    pub deadline_ms: f64,
    pub target_ms: Option<f64>,
    class_of_mail: Option<f64>,
    #[serde(borrow)]
    pub share_list: Option<Vec<ShareText<'a>>>,
    #[serde(borrow)]
    pub line: Option<Text<'a>>,
    tries: Option<f64>,
    unstamped: Option<bool>,
    home_provinces: Option<Vec<Arc<str>>>,
}

#[derive(Deserialize)]
pub(crate) struct ShareText<'a> {
    #[serde(borrow)]
    pub line: Text<'a>,
    pub share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Kinds {
    Safe,
    Unsafe,
    Posting,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantText {
    permits: Option<Vec<Arc<str>>>,
    class_of_mail: Option<f64>,
    rate_per_s: Option<f64>,
    #[serde(rename = "surge")]
    burst: Option<f64>,
    home_provinces: Option<Vec<Arc<str>>>,
}

/// Only a tenant's keys, for judging many tenants fast.
#[derive(Deserialize)]
pub(crate) struct PermitsText<'a> {
    #[serde(borrow, default)]
    pub permits: Vec<Text<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LineText {
    checkpoint: Option<Arc<str>>,
    berth_cap: Option<f64>,
    cold_s: Option<f64>,
    cold_rate_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsText {
    envelope_bytes: Option<f64>,
    body_bytes: Option<f64>,
    envelope_ms: Option<f64>,
    idle_ms: Option<f64>,
}

/// The text of a standing item of a kind; `None` if it is of another kind, dropped, or not to be read.
pub(crate) fn read<'a, T: Deserialize<'a>>(item: &'a Item, kind: Kind) -> Option<T> {
    let value = item.value.as_ref().filter(|_| item.kind == kind)?;
    serde_json::from_slice(value).ok()
}

impl Route {
    /// The class of a route whose item names none.
    pub const CLASS: u8 = 1;

    /// The route of an item; `None` for another kind, a dropped item, or one that cannot be read.
    pub fn from_item(item: &Item) -> Option<Route> {
        let text: RouteText = read(item, Kind::Route)?;
        let deadline_ms = text.deadline_ms as u32;
        let lines = match (text.share_list, text.line) {
            (Some(shares), _) => {
                shares.into_iter().map(|share| (Arc::from(&*share.line), share.share)).collect()
            }
            (None, Some(line)) => SmallVec::from_iter([(Arc::from(&*line), 1.0)]),
            (None, None) => SmallVec::new(),
        };
        Some(Route {
            name: item.name.clone(),
            version: item.version,
            host: Arc::from(&*text.depot),
            path_prefix: Arc::from(&*text.lane_prefix),
            safety: match text.mail_kind {
                Kinds::Safe => RequestSafety::Safe,
                Kinds::Unsafe => RequestSafety::Unsafe,
                Kinds::Posting => RequestSafety::Keyed,
            },
            deadline_ms,
            target_ms: text.target_ms.map_or(deadline_ms, |target| target as u32),
            class: text.class_of_mail.map_or(Route::CLASS, |class| class as u8),
            services: lines,
            max_attempts: text.tries.map_or(1, |tries| (tries as u32).max(1)),
            allows_no_key: text.unstamped.unwrap_or(false),
            homes: text.home_provinces.unwrap_or_default(),
        })
    }
}

impl Tenant {
    /// The tenant of an item; `None` for another kind, a dropped item, or one that cannot be read.
    pub fn from_item(item: &Item) -> Option<Tenant> {
        let text: TenantText = read(item, Kind::Tenant)?;
        Some(Tenant {
            name: item.name.clone(),
            version: item.version,
            keys: text.permits.unwrap_or_default(),
            class: text.class_of_mail.map(|class| class as u8),
            rate: text.rate_per_s.unwrap_or(0.0),
            burst: text.burst.unwrap_or(0.0),
            homes: text.home_provinces.unwrap_or_default(),
        })
    }
}

impl Service {
    /// The service of an item; `None` for another kind, a dropped item, or one that cannot be read.
    pub fn from_item(item: &Item) -> Option<Service> {
        let text: LineText = read(item, Kind::Service)?;
        Some(Service {
            name: item.name.clone(),
            version: item.version,
            health_path: text.checkpoint.unwrap_or_default(),
            max_concurrency: text.berth_cap.unwrap_or(0.0) as u32,
            slow_start_s: text.cold_s.unwrap_or(0.0),
            slow_start_rate: text.cold_rate_s.unwrap_or(0.0),
        })
    }
}

impl Limits {
    /// The limits of an item, what it leaves out by default; `None` for another kind, a dropped item, or one
    /// that cannot be read.
    pub fn from_item(item: &Item) -> Option<Limits> {
        let text: LimitsText = read(item, Kind::Limits)?;
        let default = Limits::default();
        Some(Limits {
            head_bytes: text.envelope_bytes.map_or(default.head_bytes, |number| number as usize),
            body_bytes: text.body_bytes.map_or(default.body_bytes, |number| number as u64),
            head_ms: text.envelope_ms.map_or(default.head_ms, |number| number as u32),
            idle_ms: text.idle_ms.map_or(default.idle_ms, |number| number as u32),
        })
    }
}

/// A host as it is compared: in small letters, without a port.
pub(crate) type HostKey = SmallVec<[u8; 64]>;

/// The host as it is compared, of a depot or of a request's host.
pub(crate) fn host_key(host: &[u8]) -> HostKey {
    let port = host.iter().rposition(|byte| *byte == b':');
    // In "[::1]" the last colon begins no port.
    let port = port.filter(|at| host[at + 1..].iter().all(u8::is_ascii_digit));
    host[..port.unwrap_or(host.len())].iter().map(u8::to_ascii_lowercase).collect()
}

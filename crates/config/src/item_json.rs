//! The JSON representation of item values. This module maps the JSON keys to the names used in the code. The keys must
//! not change, since they are part of the operator API and of stored and hashed values.
//!
//! All numbers are parsed as `f64`, so that 3000.0 is accepted as well as 3000. Conversions with `as` saturate.

use crate::item::{Item, Kind};
use serde::Deserialize;
use std::borrow::Cow;
use std::ops::Deref;
use std::sync::Arc;

/// A string that is borrowed unless it contains escapes. A newtype is needed because serde always copies a `Cow` nested
/// in a list or an option.
#[derive(Deserialize, PartialEq, Eq, Hash)]
#[serde(transparent)]
pub(crate) struct JsonStr<'a>(#[serde(borrow)] Cow<'a, str>);

impl Deref for JsonStr<'_> {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

/// The value of a route.
#[derive(Deserialize)]
pub(crate) struct RouteJson<'a> {
    #[serde(rename = "depot", borrow)]
    pub host: JsonStr<'a>,
    #[serde(rename = "lane-prefix", borrow)]
    pub path_prefix: JsonStr<'a>,
    #[serde(rename = "mail-kind")]
    pub safety: SafetyJson,
    #[serde(rename = "deadline-ms")]
    pub deadline_ms: f64,
    #[serde(rename = "target-ms")]
    pub target_ms: Option<f64>,
    #[serde(rename = "class-of-mail")]
    pub class: Option<f64>,
    #[serde(rename = "share-list", borrow)]
    pub weighted_services: Option<Vec<WeightedServiceJson<'a>>>,
    #[serde(rename = "line", borrow)]
    pub service: Option<JsonStr<'a>>,
    #[serde(rename = "tries")]
    pub max_attempts: Option<f64>,
    #[serde(rename = "unstamped")]
    pub allows_anonymous: Option<bool>,
    #[serde(rename = "home-provinces")]
    pub home_regions: Option<Vec<Arc<str>>>,
}

impl RouteJson<'_> {
    /// The names of all services that the route refers to.
    pub(crate) fn service_names(&self) -> impl Iterator<Item = &str> {
        let weighted = self.weighted_services.iter().flatten().map(|weighted| &*weighted.service);
        weighted.chain(self.service.as_deref())
    }
}

/// A service and its weight, which determines its share of a route's requests.
#[derive(Deserialize)]
pub(crate) struct WeightedServiceJson<'a> {
    #[serde(rename = "line", borrow)]
    pub service: JsonStr<'a>,
    #[serde(rename = "share")]
    pub weight: f64,
}

/// Whether a route's requests may be processed more than once. See [`RequestSafety`](crate::RequestSafety).
#[derive(Deserialize)]
pub(crate) enum SafetyJson {
    #[serde(rename = "safe")]
    Safe,
    #[serde(rename = "unsafe")]
    Unsafe,
    #[serde(rename = "posting")]
    Keyed,
}

/// The value of a tenant.
#[derive(Deserialize)]
pub(crate) struct TenantJson {
    #[serde(rename = "permits")]
    pub keys: Option<Vec<Arc<str>>>,
    #[serde(rename = "class-of-mail")]
    pub class: Option<f64>,
    #[serde(rename = "rate-per-s")]
    pub rate: Option<f64>,
    #[serde(rename = "surge")]
    pub burst: Option<f64>,
    #[serde(rename = "home-provinces")]
    pub home_regions: Option<Vec<Arc<str>>>,
}

/// Only the API keys of a tenant, for fast validation of many tenants.
#[derive(Deserialize)]
pub(crate) struct TenantKeysJson<'a> {
    #[serde(rename = "permits", borrow, default)]
    pub keys: Vec<JsonStr<'a>>,
}

/// The value of a service.
#[derive(Deserialize)]
pub(crate) struct ServiceJson {
    #[serde(rename = "checkpoint")]
    pub health_path: Option<Arc<str>>,
    #[serde(rename = "berth-cap")]
    pub max_concurrency: Option<f64>,
    #[serde(rename = "cold-s")]
    pub slow_start_s: Option<f64>,
    #[serde(rename = "cold-rate-s")]
    pub slow_start_rate: Option<f64>,
}

/// The value of the limits.
#[derive(Deserialize)]
pub(crate) struct LimitsJson {
    #[serde(rename = "envelope-bytes")]
    pub max_head_bytes: Option<f64>,
    #[serde(rename = "body-bytes")]
    pub max_body_bytes: Option<f64>,
    #[serde(rename = "envelope-ms")]
    pub head_timeout_ms: Option<f64>,
    #[serde(rename = "idle-ms")]
    pub idle_timeout_ms: Option<f64>,
}

/// Parses the value of an item. Returns `None` if the item is not of this kind, is removed, or cannot be parsed.
pub(crate) fn parse_value<'a, T: Deserialize<'a>>(item: &'a Item, kind: Kind) -> Option<T> {
    let value = item.value.as_ref().filter(|_| item.kind == kind)?;
    serde_json::from_slice(value).ok()
}

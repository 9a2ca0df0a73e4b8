//! The JSON form of items' values. The keys are the settings' own words and part of what operators send and what is
//! stored and hashed; here alone they meet the names that the code uses.
//!
//! Numbers are all read as `f64`, since 3000.0 is as good as 3000; `as` then saturates those that are too great.

use crate::item::{Item, Kind};
use serde::Deserialize;
use std::borrow::Cow;
use std::ops::Deref;
use std::sync::Arc;

/// A string, borrowed where it has no escapes. A type of its own because serde copies a `Cow` inside a list or an
/// option.
#[derive(Deserialize, PartialEq, Eq, Hash)]
#[serde(transparent)]
pub(crate) struct JsonStr<'a>(#[serde(borrow)] Cow<'a, str>);

impl Deref for JsonStr<'_> {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

/// A route's value.
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
    /// The names of all services that the route mentions.
    pub(crate) fn service_names(&self) -> impl Iterator<Item = &str> {
        let weighted = self.weighted_services.iter().flatten().map(|weighted| &*weighted.service);
        weighted.chain(self.service.as_deref())
    }
}

/// A service with the share of a route's requests that it gets.
#[derive(Deserialize)]
pub(crate) struct WeightedServiceJson<'a> {
    #[serde(rename = "line", borrow)]
    pub service: JsonStr<'a>,
    #[serde(rename = "share")]
    pub weight: f64,
}

/// How a route's requests may be treated.
#[derive(Deserialize)]
pub(crate) enum SafetyJson {
    #[serde(rename = "safe")]
    Safe,
    #[serde(rename = "unsafe")]
    Unsafe,
    #[serde(rename = "posting")]
    Keyed,
}

/// A tenant's value.
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

/// A tenant's keys alone, for validating many tenants fast.
#[derive(Deserialize)]
pub(crate) struct TenantKeysJson<'a> {
    #[serde(rename = "permits", borrow, default)]
    pub keys: Vec<JsonStr<'a>>,
}

/// A service's value.
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

/// Parses the value of an item of a kind; `None` if it is of another kind, removed, or cannot be parsed.
pub(crate) fn parse_value<'a, T: Deserialize<'a>>(item: &'a Item, kind: Kind) -> Option<T> {
    let value = item.value.as_ref().filter(|_| item.kind == kind)?;
    serde_json::from_slice(value).ok()
}

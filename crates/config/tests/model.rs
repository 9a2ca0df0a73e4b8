//! Parsing of typed items: every JSON field sets the corresponding struct field, and missing fields have their default.

use bytes::Bytes;
use kitepass_config::{Item, Kind, Limits, RequestSafety, Route, Service, Tenant};
use rstest::rstest;
use serde_json::{json, Value};
use std::sync::Arc;

fn item(kind: Kind, value: &Value) -> Item {
    Item { kind, name: Arc::from("a"), version: 7, value: Some(Bytes::from(value.to_string())) }
}

fn names(names: &[&str]) -> Vec<Arc<str>> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

#[test]
fn a_route_with_all_fields() {
    let value = json!({"depot": "Shop.Example:8080", "lane-prefix": "/orders/", "mail-kind": "unsafe",
        "deadline-ms": 3000.0, "target-ms": 500, "class-of-mail": 2, "line": "unused", "tries": 3, "unstamped": true,
        "share-list": [{"line": "s1", "share": 90}, {"line": "s2", "share": 0.5}], "home-provinces": ["r1", "r2"]});
    let route = Route::from_item(&item(Kind::Route, &value)).expect("readable");
    let services = [(Arc::from("s1"), 90.0), (Arc::from("s2"), 0.5)];
    let expected = Route {
        name: Arc::from("a"),
        version: 7,
        host: Arc::from("Shop.Example:8080"),
        path_prefix: Arc::from("/orders/"),
        safety: RequestSafety::Unsafe,
        deadline_ms: 3000,
        target_ms: 500,
        class: 2,
        services: services.into_iter().collect(),
        max_attempts: 3,
        allows_anonymous: true,
        home_regions: names(&["r1", "r2"]),
    };
    assert_eq!(route, expected);
}

#[rstest]
#[case("safe", RequestSafety::Safe)]
#[case("unsafe", RequestSafety::Unsafe)]
#[case("posting", RequestSafety::Keyed)]
fn a_route_with_only_required_fields(#[case] safety: &str, #[case] expected: RequestSafety) {
    let value =
        json!({"depot": "x", "lane-prefix": "/", "mail-kind": safety, "deadline-ms": 10, "line": "s"});
    let route = Route::from_item(&item(Kind::Route, &value)).expect("readable");
    assert_eq!((route.safety, route.deadline_ms, route.target_ms), (expected, 10, 10));
    assert_eq!((route.class, route.max_attempts, route.allows_anonymous), (1, 1, false));
    assert_eq!((&route.services[..], &route.home_regions[..]), (&[(Arc::from("s"), 1.0)][..], &[][..]));
}

#[test]
fn a_tenant_with_all_fields() {
    let value = json!({"permits": ["k1", "k2"], "class-of-mail": 3, "rate-per-s": 314, "surge": 0.3,
        "home-provinces": ["r1"]});
    let expected = Tenant {
        name: Arc::from("a"),
        version: 7,
        keys: names(&["k1", "k2"]),
        class: Some(3),
        rate: 314.0,
        burst: 0.3,
        home_regions: names(&["r1"]),
    };
    assert_eq!(Tenant::from_item(&item(Kind::Tenant, &value)), Some(expected));
}

#[test]
fn a_tenant_without_fields() {
    let expected = Tenant {
        name: Arc::from("a"),
        version: 7,
        keys: vec![],
        class: None,
        rate: 0.0,
        burst: 0.0,
        home_regions: vec![],
    };
    assert_eq!(Tenant::from_item(&item(Kind::Tenant, &json!({}))), Some(expected));
}

#[test]
fn a_service_with_all_fields_and_with_none() {
    let value = json!({"checkpoint": "/health", "berth-cap": 120, "gauge": "h1", "seal": false, "cold-s": 3.5,
        "cold-rate-s": 20.25});
    let all = Service {
        name: Arc::from("a"),
        version: 7,
        health_path: Arc::from("/health"),
        max_concurrency: 120,
        slow_start_s: 3.5,
        slow_start_rate: 20.25,
    };
    assert_eq!(Service::from_item(&item(Kind::Service, &value)), Some(all.clone()));
    let none = Service {
        health_path: Arc::from(""),
        max_concurrency: 0,
        slow_start_s: 0.0,
        slow_start_rate: 0.0,
        ..all
    };
    assert_eq!(Service::from_item(&item(Kind::Service, &json!({}))), Some(none));
}

#[test]
fn limits_with_all_fields_and_with_none() {
    let value = json!({"envelope-bytes": 1, "body-bytes": 2, "envelope-ms": 3, "idle-ms": 4});
    let all = Limits { max_head_bytes: 1, max_body_bytes: 2, head_timeout_ms: 3, idle_timeout_ms: 4 };
    assert_eq!(Limits::from_item(&item(Kind::Limits, &value)), Some(all));
    let none = Limits {
        max_head_bytes: 16_384,
        max_body_bytes: 64 << 20,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    assert_eq!(Limits::from_item(&item(Kind::Limits, &json!({}))), Some(none));
}

#[rstest]
#[case::other_kind(item(Kind::Service, &json!({"permits": []})))]
#[case::removed(Item { value: None, ..item(Kind::Tenant, &json!({})) })]
#[case::wrong_type(item(Kind::Tenant, &json!({"permits": 1})))]
fn items_that_cannot_be_parsed_yield_none(#[case] item: Item) {
    assert_eq!(Tenant::from_item(&item), None);
}

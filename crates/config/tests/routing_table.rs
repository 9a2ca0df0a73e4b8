//! Lookups in a routing table. The configuration contains two kinds of conflicts: routes with the same host and path
//! prefix, and tenants that share an API key.

use bytes::Bytes;
use kitepass_config::{Item, ItemStore, Kind, RequestSafety, RoutingTable};
use rstest::rstest;
use serde_json::{json, Value};
use std::sync::Arc;

fn item(kind: Kind, name: &str, version: u64, value: Value) -> Item {
    Item { kind, name: Arc::from(name), version, value: Some(Bytes::from(value.to_string())) }
}

/// A route of the host `hulo84.example`. Its value has a field that no item defines, which must be ignored.
fn route(name: &str, version: u64, prefix: &str) -> Item {
    let value = json!({"depot": "Hulo84.example", "lane-prefix": prefix, "mail-kind": "posting",
        "deadline-ms": 3000.0, "line": "unknown", "colour": 1});
    item(Kind::Route, name, version, value)
}

fn item_store() -> ItemStore {
    let mut item_store = ItemStore::new();
    for item in [
        route("a", 1, "/a/"),
        route("ab", 1, "/a/b/"),
        route("older", 2, "/c/"),
        route("newer", 10, "/c/"),
        route("same", 10, "/c/"),
        item(Kind::Tenant, "t1", 5, json!({"permits": ["k1", "k2"]})),
        item(Kind::Tenant, "t2", 6, json!({"permits": ["k2", "k3"], "rate-per-s": 2.5})),
        item(Kind::Tenant, "t3", 6, json!({"permits": ["k3"]})),
        item(Kind::Evacuation, "zone1", 1, json!(1)),
        item(Kind::Evacuation, "zone2", 1, json!(0)), // not evacuated
    ] {
        item_store.merge(item);
    }
    item_store
}

#[rstest]
#[case("hulo84.example", "/a/", Some("a"))]
#[case("HULO84.Example:8080", "/a/b/c?x=/a/", Some("ab"))]
#[case("hulo84.example", "/a/b", Some("a"))]
#[case("hulo84.example", "/a?/b/", None)]
#[case("hulo84.example", "/a", None)]
#[case("hulo84.example", "", None)]
#[case("hulo84.example", "/A/", None)]
#[case("other.example", "/a/", None)]
#[case("hulo84.example", "/c/d", Some("newer"))]
fn the_longest_matching_prefix_wins_then_the_highest_version(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let table = RoutingTable::build(&item_store());
    let route = table.route(host.as_bytes(), path.as_bytes());
    assert_eq!(route.map(|route| &*route.name), name);
    assert!(route.is_none_or(|route| route.safety == RequestSafety::Keyed && route.max_attempts == 1));
}

#[rstest]
#[case("k1", Some("t1"))]
#[case("k2", Some("t2"))]
#[case("k3", Some("t2"))]
#[case("k4", None)]
fn a_shared_key_belongs_to_the_tenant_with_the_higher_version(#[case] key: &str, #[case] name: Option<&str>) {
    let table = RoutingTable::build(&item_store());
    let tenant = table.tenant_index(key.as_bytes()).map(|index| &table.tenants[index]);
    assert_eq!(tenant.map(|tenant| &*tenant.name), name);
}

#[rstest]
fn a_rebuilt_table_reuses_only_unchanged_items() {
    let mut item_store = item_store();
    let original = RoutingTable::build(&item_store);
    assert_eq!(original.evacuated_zones.iter().map(|zone| &**zone).collect::<Vec<_>>(), ["zone1"]);
    item_store.merge(route("a", 2, "/z/"));
    item_store.merge(Item { value: None, ..route("newer", 11, "/c/") });
    let rebuilt = RoutingTable::rebuild(&original, &item_store);
    let route_for = |table: &RoutingTable, path: &[u8]| table.route(b"hulo84.example", path).cloned();
    assert!(Arc::ptr_eq(&route_for(&original, b"/a/b/").unwrap(), &route_for(&rebuilt, b"/a/b/").unwrap()));
    assert_eq!(route_for(&rebuilt, b"/a/"), None);
    assert_eq!(&*route_for(&rebuilt, b"/z/").unwrap().name, "a");
    assert_eq!(&*route_for(&rebuilt, b"/c/").unwrap().name, "same");
}

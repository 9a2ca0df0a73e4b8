//! Which changes claim the same registers, and how reservations are kept from gateways.

use kitepass_config::{
    has_forgotten_reservation, reservations_are_current, Item, ItemStore, Kind, Reservations, BUCKET_COUNT,
    MAX_OLDER_VERSIONS,
};
use rstest::rstest;
use std::collections::BTreeSet;

fn item(kind: Kind, name: &str, value: Option<&str>) -> Item {
    Item { kind, name: name.into(), version: 1, value: value.map(|text| text.to_owned().into()) }
}

fn tenant(name: &str, key: &str) -> Item {
    item(Kind::Tenant, name, Some(&format!(r#"{{"permits":["other-{name}","{key}"]}}"#)))
}

fn route(name: &str, host: &str, service: &str) -> Item {
    let value = format!(
        r#"{{"deadline-ms":500,"depot":"{host}","lane-prefix":"/p/","line":"{service}","mail-kind":"safe"}}"#
    );
    item(Kind::Route, name, Some(&value))
}

fn split_route(name: &str, host: &str, service: &str) -> Item {
    let value = format!(
        r#"{{"deadline-ms":500,"depot":"{host}","lane-prefix":"/p/","mail-kind":"safe",
        "share-list":[{{"line":"x","share":1}},{{"line":"{service}","share":1}}]}}"#
    );
    item(Kind::Route, name, Some(&value))
}

fn removed_service(name: &str) -> Item {
    item(Kind::Service, name, None)
}

fn registers(change: &[Item]) -> BTreeSet<String> {
    let digest = vec![0; 16].into();
    let reservations = Reservations::of(change);
    let names = reservations.items(&ItemStore::new(), &digest).map(|item| item.name.to_string()).collect();
    names
}

#[rstest]
#[case::tenants_with_one_key(tenant("a", "key"), tenant("b", "key"), true)]
#[case::tenants_with_different_keys(tenant("a", "key-a"), tenant("b", "key-b"), false)]
#[case::routes_in_one_place(route("a", "h.example", "l"), route("b", "H.example:80", "m"), true)]
#[case::routes_in_different_places(route("a", "h.example", "l"), route("b", "i.example", "l"), false)]
#[case::route_and_removal_of_its_service(route("a", "h.example", "l"), removed_service("l"), true)]
#[case::split_route_and_removal_of_a_service(split_route("a", "h.example", "l"), removed_service("l"), true)]
#[case::route_and_removal_of_another_service(route("a", "h.example", "l"), removed_service("m"), false)]
#[case::route_and_tenant(route("a", "h.example", "l"), tenant("b", "key-b"), false)]
#[case::removed_tenant(item(Kind::Tenant, "a", None), tenant("b", "key"), false)]
fn changes_that_can_be_invalid_together_claim_a_common_register(
    #[case] one: Item,
    #[case] other: Item,
    #[case] is_common: bool,
) {
    let (one, other) = (registers(&[one]), registers(&[other]));
    assert_eq!(!one.is_disjoint(&other), is_common, "{one:?} {other:?}");
}

/// The number of registers bounds the store, however many resources there are.
#[test]
fn many_resources_share_a_bounded_number_of_registers() {
    let tenants: Vec<Item> = (0..40_000).map(|n| tenant(&format!("t{n}"), &format!("k{n}"))).collect();
    assert_eq!(registers(&tenants).len(), 4_096);
}

/// Routes to one service are usually decided independently: few of them share a shard of the service.
#[test]
fn few_routes_to_one_service_share_a_register() {
    let routes: Vec<BTreeSet<String>> =
        (0..100).map(|n| registers(&[route(&format!("r{n}"), &format!("h{n}.example"), "l")])).collect();
    let pairs =
        routes.iter().enumerate().flat_map(|(n, one)| routes[..n].iter().map(move |other| (one, other)));
    let common = pairs.filter(|(one, other)| !one.is_disjoint(other)).count();
    assert!(common * 200 < 100 * 99 / 2, "{common} of {} pairs", 100 * 99 / 2);
}

/// The reservations of a change, as items for a store.
fn reservations(item_store: &ItemStore, change: &[Item], digest: u8) -> Vec<Item> {
    let digest = vec![digest; 16].into();
    Reservations::of(change).items(item_store, &digest).collect()
}

#[test]
fn a_reservation_is_current_until_another_change_claims_the_register() {
    let mut item_store = ItemStore::new();
    let first = reservations(&item_store, &[tenant("a", "key")], 1);
    let second = reservations(&item_store, &[tenant("b", "key")], 2);
    assert!(reservations_are_current(&item_store, &first) && reservations_are_current(&item_store, &second));
    first.into_iter().for_each(|item| _ = item_store.merge(item));
    assert!(!reservations_are_current(&item_store, &second));
    let renewed = reservations(&item_store, &[tenant("b", "key")], 2);
    assert!(reservations_are_current(&item_store, &renewed));
    assert!(!has_forgotten_reservation(&item_store, &second));
    for round in 0..=MAX_OLDER_VERSIONS as u8 + 1 {
        let later = reservations(&item_store, &[tenant("a", "key")], round);
        later.into_iter().for_each(|item| _ = item_store.merge(item));
    }
    assert!(has_forgotten_reservation(&item_store, &second));
}

/// Gateways do not know reservations. Neither the digests that they compare nor the items that they are sent include
/// any; those of control planes do.
#[test]
fn reservations_are_compared_and_sent_between_control_planes_only() {
    let (mut with, without) = (ItemStore::new(), ItemStore::new());
    reservations(&without, &[tenant("a", "key")], 1).into_iter().for_each(|item| _ = with.merge(item));
    assert_eq!(with.digest(), without.digest());
    assert_ne!(with.history_digest(), without.history_digest());
    assert!(with.chunk(&[1; BUCKET_COUNT], 0, usize::MAX).items.is_empty());
    let missing = with.history_chunk(without.history_bucket_hashes(), 0, usize::MAX).items;
    assert!(!missing.is_empty() && missing.iter().all(|entry| entry.item.kind == Kind::Reservation));
}

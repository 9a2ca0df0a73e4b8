//! What makes a change invalid together with the items that are in force.

use crate::error::{
    DuplicateRouteSnafu, ServiceInUseSnafu, SharedKeySnafu, UnknownServiceSnafu, ValidationError,
};
use crate::host::{normalize_host, NormalizedHost};
use crate::item::{Item, Kind};
use crate::item_json::{parse_value, JsonStr, RouteJson, TenantKeysJson};
use crate::item_store::ItemStore;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Validates a change, each item of which is valid by itself, against the configuration that it would result in. Only
/// what the change brings is rejected: a conflict that is in force already and that the change does not touch is
/// ignored, or nothing could be corrected. Items whose version is not above the known one have no effect, and are not
/// validated.
///
/// # Errors
/// Where two tenants would share a key, two routes a host and a path prefix, or a route would name a service that does
/// not exist.
pub fn validate(item_store: &ItemStore, change: &[Item]) -> Result<(), ValidationError> {
    let proposed = ProposedConfiguration::new(item_store, change);
    check_routes(&proposed)?;
    check_removed_services(&proposed)?;
    check_tenant_keys(&proposed)
}

/// The configuration that a change would result in.
struct ProposedConfiguration<'a> {
    /// What is in force.
    item_store: &'a ItemStore,
    /// The items of the change that have an effect.
    changes: BTreeMap<(Kind, &'a str), &'a Item>,
}

impl<'a> ProposedConfiguration<'a> {
    fn new(item_store: &'a ItemStore, change: &'a [Item]) -> ProposedConfiguration<'a> {
        let mut changes: BTreeMap<(Kind, &str), &Item> = BTreeMap::new();
        for item in change.iter().filter(|item| item_store.is_newer(item)) {
            let winner = changes.entry((item.kind, &*item.name)).or_insert(item);
            // As `ItemStore::apply` does with one after the other.
            if winner.version < item.version {
                *winner = item;
            }
        }
        ProposedConfiguration { item_store, changes }
    }

    /// The items that the change sets.
    fn set_items(&self, kind: Kind) -> impl Iterator<Item = &'a Item> + '_ {
        self.changes.values().copied().filter(move |item| item.kind == kind && item.is_set())
    }

    /// The items that are in force and that the change does not touch.
    fn untouched_items(&self, kind: Kind) -> impl Iterator<Item = &'a Item> + '_ {
        let is_untouched =
            move |item: &&Item| item.is_set() && !self.changes.contains_key(&(kind, &*item.name));
        self.item_store.items_of(kind).filter(is_untouched)
    }

    fn has_service(&self, name: &str) -> bool {
        let changed = self.changes.get(&(Kind::Service, name)).copied();
        changed.or_else(|| self.item_store.get(Kind::Service, name)).is_some_and(Item::is_set)
    }

    /// The services in force that the change removes.
    fn removed_services(&self) -> BTreeSet<&'a str> {
        let removed = self.changes.values().filter(|item| item.kind == Kind::Service && !item.is_set());
        let is_in_force = |name: &&str| self.item_store.get(Kind::Service, name).is_some_and(Item::is_set);
        removed.map(|item| &*item.name).filter(is_in_force).collect()
    }
}

/// Of the routes that the change sets: their services exist, and no other route has their host and path prefix.
fn check_routes(proposed: &ProposedConfiguration) -> Result<(), ValidationError> {
    let mut routes: HashMap<(NormalizedHost, JsonStr), &Item> = HashMap::new();
    for item in proposed.set_items(Kind::Route) {
        let Some(route) = parse_value::<RouteJson>(item, Kind::Route) else { continue };
        if let Some(service) = route.service_names().find(|service| !proposed.has_service(service)) {
            return UnknownServiceSnafu { name: item.name.clone(), service }.fail();
        }
        if let Some(other) = routes.insert(match_key(route), item) {
            return DuplicateRouteSnafu { name: item.name.clone(), other: other.name.clone() }.fail();
        }
    }
    if routes.is_empty() {
        return Ok(());
    }
    for other in proposed.untouched_items(Kind::Route) {
        let Some(route) = parse_value::<RouteJson>(other, Kind::Route) else { continue };
        if let Some(item) = routes.get(&match_key(route)) {
            return DuplicateRouteSnafu { name: item.name.clone(), other: other.name.clone() }.fail();
        }
    }
    Ok(())
}

/// What a route matches requests by.
fn match_key(route: RouteJson) -> (NormalizedHost, JsonStr) {
    (normalize_host(route.host.as_bytes()), route.path_prefix)
}

/// No route that the change does not touch names a service that the change removes.
fn check_removed_services(proposed: &ProposedConfiguration) -> Result<(), ValidationError> {
    let removed = proposed.removed_services();
    if removed.is_empty() {
        return Ok(());
    }
    for item in proposed.untouched_items(Kind::Route) {
        let Some(route) = parse_value::<RouteJson>(item, Kind::Route) else { continue };
        let service = route.service_names().find_map(|service| removed.get(service).copied());
        if let Some(service) = service {
            return ServiceInUseSnafu { service, name: item.name.clone() }.fail();
        }
    }
    Ok(())
}

/// No key of a tenant that the change sets is another tenant's.
fn check_tenant_keys(proposed: &ProposedConfiguration) -> Result<(), ValidationError> {
    let mut owners: HashMap<JsonStr, &Item> = HashMap::new();
    for item in proposed.set_items(Kind::Tenant) {
        for key in tenant_keys(item) {
            match owners.insert(key, item) {
                Some(other) if other.name != item.name => {
                    return SharedKeySnafu { name: item.name.clone(), other: other.name.clone() }.fail();
                }
                _ => {}
            }
        }
    }
    if owners.is_empty() {
        return Ok(());
    }
    for other in proposed.untouched_items(Kind::Tenant) {
        for key in tenant_keys(other) {
            if let Some(item) = owners.get(&key) {
                return SharedKeySnafu { name: item.name.clone(), other: other.name.clone() }.fail();
            }
        }
    }
    Ok(())
}

fn tenant_keys(item: &Item) -> impl Iterator<Item = JsonStr<'_>> {
    let json: Option<TenantKeysJson> = parse_value(item, Kind::Tenant);
    json.into_iter().flat_map(|json| json.keys)
}

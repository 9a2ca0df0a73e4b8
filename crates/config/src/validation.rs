//! Validates change requests against the active configuration.

use crate::error::{
    DuplicateRouteSnafu, ServiceInUseSnafu, SharedKeySnafu, UnknownServiceSnafu, ValidationError,
};
use crate::host::{normalize_host, NormalizedHost};
use crate::item::{Item, Kind};
use crate::item_json::{parse_value, JsonStr, RouteJson, TenantKeysJson};
use crate::item_store::ItemStore;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Validates the configuration that a change request would result in. Each item of `change` must be valid on its own.
///
/// Existing conflicts that the request does not touch are ignored; otherwise one such conflict would block all changes,
/// including those that resolve it. Items whose version is not higher than the known one have no effect and are not
/// validated.
///
/// # Errors
/// If two tenants would share an API key, two routes would share host and path prefix, or a route would refer to a
/// service that does not exist.
pub fn validate(item_store: &ItemStore, change: &[Item]) -> Result<(), ValidationError> {
    let proposed = ProposedConfiguration::new(item_store, change);
    check_routes(&proposed)?;
    check_removed_services(&proposed)?;
    check_tenant_keys(&proposed)
}

/// The configuration that a change request would result in.
struct ProposedConfiguration<'a> {
    /// The active configuration.
    item_store: &'a ItemStore,
    /// The items of the change request that have an effect, by kind and name.
    changes: BTreeMap<(Kind, &'a str), &'a Item>,
}

impl<'a> ProposedConfiguration<'a> {
    fn new(item_store: &'a ItemStore, change: &'a [Item]) -> ProposedConfiguration<'a> {
        let mut changes: BTreeMap<(Kind, &str), &Item> = BTreeMap::new();
        for item in change.iter().filter(|item| item_store.is_newer(item)) {
            let winner = changes.entry((item.kind, &*item.name)).or_insert(item);
            // Same result as calling `ItemStore::apply` for one item after the other.
            if winner.version < item.version {
                *winner = item;
            }
        }
        ProposedConfiguration { item_store, changes }
    }

    /// Returns the items of a kind that the request sets.
    fn set_items(&self, kind: Kind) -> impl Iterator<Item = &'a Item> + '_ {
        self.changes.values().copied().filter(move |item| item.kind == kind && item.is_set())
    }

    /// Returns the active items of a kind that the request neither sets nor removes.
    fn untouched_items(&self, kind: Kind) -> impl Iterator<Item = &'a Item> + '_ {
        let is_untouched =
            move |item: &&Item| item.is_set() && !self.changes.contains_key(&(kind, &*item.name));
        self.item_store.items_of(kind).filter(is_untouched)
    }

    fn has_service(&self, name: &str) -> bool {
        let changed = self.changes.get(&(Kind::Service, name)).copied();
        changed.or_else(|| self.item_store.get(Kind::Service, name)).is_some_and(Item::is_set)
    }

    /// Returns the names of the active services that the request removes.
    fn removed_services(&self) -> BTreeSet<&'a str> {
        let removed = self.changes.values().filter(|item| item.kind == Kind::Service && !item.is_set());
        let is_active = |name: &&str| self.item_store.get(Kind::Service, name).is_some_and(Item::is_set);
        removed.map(|item| &*item.name).filter(is_active).collect()
    }
}

/// Checks that the services of the routes in the request exist, and that no two routes share host and path prefix.
fn check_routes(proposed: &ProposedConfiguration) -> Result<(), ValidationError> {
    let mut routes: HashMap<(NormalizedHost, JsonStr), &Item> = HashMap::new();
    for item in proposed.set_items(Kind::Route) {
        let Some(route) = parse_value::<RouteJson>(item, Kind::Route) else { continue };
        if let Some(service) = route.service_names().find(|service| !proposed.has_service(service)) {
            return UnknownServiceSnafu { name: item.name.clone(), service }.fail();
        }
        if let Some(other) = routes.insert(host_and_prefix(route), item) {
            return DuplicateRouteSnafu { name: item.name.clone(), other: other.name.clone() }.fail();
        }
    }
    if routes.is_empty() {
        return Ok(());
    }
    for other in proposed.untouched_items(Kind::Route) {
        let Some(route) = parse_value::<RouteJson>(other, Kind::Route) else { continue };
        if let Some(item) = routes.get(&host_and_prefix(route)) {
            return DuplicateRouteSnafu { name: item.name.clone(), other: other.name.clone() }.fail();
        }
    }
    Ok(())
}

/// Returns the normalized host and the path prefix of a route, which must be unique.
fn host_and_prefix(route: RouteJson) -> (NormalizedHost, JsonStr) {
    (normalize_host(route.host.as_bytes()), route.path_prefix)
}

/// Checks that no remaining route refers to a service that the request removes.
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

/// Checks that no tenant in the request shares an API key with another tenant.
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

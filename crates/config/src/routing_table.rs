//! The routing table of the data plane: the active items, parsed and indexed.

use crate::host::normalize_host;
use crate::item::{Item, Kind};
use crate::item_store::ItemStore;
use crate::model::{Limits, Route, Service, Tenant};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The value of an `Evacuation` item whose zone is evacuated.
const EVACUATED: &[u8] = b"1";

/// The index by which the data plane routes requests. It is immutable; when items change, a new table replaces it.
///
/// The configuration may contain conflicts, because two replicas can concurrently accept changes that are valid on
/// their own but not together. If two tenants share an API key, or two routes share host and path prefix, the one with
/// the higher version wins, and between equal versions the one with the smaller name. Routes to unknown services are
/// kept, although there is no backend for their requests.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// All tenants, sorted by name.
    pub tenants: Vec<Arc<Tenant>>,
    /// All services by name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// The limits that apply to every request.
    pub limits: Limits,
    /// The zones that are evacuated.
    pub evacuated_zones: BTreeSet<Arc<str>>,
    /// The routes by normalized host (see [`normalize_host`]).
    hosts: HashMap<Box<[u8]>, HostRoutes>,
    /// The index in `tenants` by API key.
    tenant_indexes: HashMap<Arc<str>, usize>,
    /// All routes with their items, sorted by name; reused when the table is rebuilt.
    parsed_routes: Vec<ParsedItem<Route>>,
    /// All tenants with their items, sorted by name; reused when the table is rebuilt.
    parsed_tenants: Vec<ParsedItem<Tenant>>,
}

/// An item and its parsed value.
#[derive(Debug)]
struct ParsedItem<T> {
    item: Item,
    value: Arc<T>,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<Box<[u8]>, Arc<Route>>,
    /// The length of the longest prefix in bytes.
    max_prefix_length: usize,
}

impl HostRoutes {
    /// Adds a route. Routes must be added in the order of their names: between equal versions the first one wins.
    fn add(&mut self, route: &Arc<Route>) {
        self.max_prefix_length = self.max_prefix_length.max(route.path_prefix.len());
        let prefix = route.path_prefix.as_bytes().into();
        let winner = self.by_prefix.entry(prefix).or_insert_with(|| route.clone());
        if winner.version < route.version {
            *winner = route.clone();
        }
    }

    /// Returns the route with the longest prefix of the path.
    fn find(&self, path: &[u8]) -> Option<&Arc<Route>> {
        // The path is truncated to the length of the longest prefix. Otherwise a path of n slashes would be hashed n
        // times, and a few such requests would delay all others.
        let mut path = &path[..path.len().min(self.max_prefix_length)];
        if let Some(end) = path.iter().position(|byte| matches!(byte, b'?' | b'#')) {
            path = &path[..end];
        }
        while let Some(slash) = path.iter().rposition(|byte| *byte == b'/') {
            if let Some(route) = self.by_prefix.get(&path[..=slash]) {
                return Some(route);
            }
            path = &path[..slash];
        }
        None
    }
}

impl RoutingTable {
    /// Builds the table from the active items of the store.
    pub fn build(item_store: &ItemStore) -> RoutingTable {
        RoutingTable::rebuild(&RoutingTable::default(), item_store)
    }

    /// Like [`RoutingTable::build`], but reuses the parsed values of unchanged items from the previous table.
    pub fn rebuild(previous: &RoutingTable, item_store: &ItemStore) -> RoutingTable {
        let services = item_store.items_of(Kind::Service).filter_map(Service::from_item);
        let evacuations = item_store.items_of(Kind::Evacuation);
        let evacuated = evacuations.filter(|item| item.value.as_deref() == Some(EVACUATED));
        let mut table = RoutingTable {
            services: services.map(|service| (service.name.clone(), Arc::new(service))).collect(),
            limits: item_store.get(Kind::Limits, "").and_then(Limits::from_item).unwrap_or_default(),
            evacuated_zones: evacuated.map(|item| item.name.clone()).collect(),
            parsed_routes: parse_all(&previous.parsed_routes, item_store, Kind::Route, Route::from_item),
            parsed_tenants: parse_all(&previous.parsed_tenants, item_store, Kind::Tenant, Tenant::from_item),
            ..RoutingTable::default()
        };
        table.index_routes();
        table.index_tenants();
        table
    }

    fn index_routes(&mut self) {
        for parsed in &self.parsed_routes {
            let host = normalize_host(parsed.value.host.as_bytes()).into_boxed_slice();
            self.hosts.entry(host).or_default().add(&parsed.value);
        }
    }

    /// Indexes the tenants by API key, in the order of their names: between equal versions the first one gets the key.
    fn index_tenants(&mut self) {
        self.tenant_indexes.reserve(self.parsed_tenants.len());
        self.tenants = self.parsed_tenants.iter().map(|parsed| parsed.value.clone()).collect();
        for (index, tenant) in self.tenants.iter().enumerate() {
            for key in &tenant.keys {
                match self.tenant_indexes.entry(key.clone()) {
                    Entry::Vacant(vacant) => {
                        vacant.insert(index);
                    }
                    Entry::Occupied(mut owner) => {
                        if self.tenants[*owner.get()].version < tenant.version {
                            owner.insert(index);
                        }
                    }
                }
            }
        }
    }

    /// Returns the route for a request: the one with the longest matching path prefix. The host may be in any case and
    /// include a port, and the path may include a query.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<Route>> {
        self.hosts.get(&*normalize_host(host))?.find(path)
    }

    /// Returns the index in `tenants` of the tenant with this API key.
    pub fn tenant_index(&self, key: &[u8]) -> Option<usize> {
        self.tenant_indexes.get(std::str::from_utf8(key).ok()?).copied()
    }

    /// Whether any tenants are configured.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The number of active routes.
    pub fn route_count(&self) -> usize {
        self.parsed_routes.len()
    }

    /// Returns all active routes, sorted by name, including those superseded by a route with the same host and path
    /// prefix.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.parsed_routes.iter().map(|parsed| &parsed.value)
    }
}

/// Parses the active items of a kind. `previous` must be sorted by name, as the result is.
fn parse_all<T>(
    previous: &[ParsedItem<T>],
    item_store: &ItemStore,
    kind: Kind,
    parse: fn(&Item) -> Option<T>,
) -> Vec<ParsedItem<T>> {
    let mut previous = previous.iter().peekable();
    let mut parsed_items = Vec::new();
    for item in item_store.items_of(kind) {
        while previous.next_if(|parsed| parsed.item.name < item.name).is_some() {}
        let unchanged = previous.next_if(|parsed| parsed.item == *item);
        let reused = unchanged.map(|parsed| parsed.value.clone());
        if let Some(value) = reused.or_else(|| parse(item).map(Arc::new)) {
            parsed_items.push(ParsedItem { item: item.clone(), value });
        }
    }
    parsed_items
}

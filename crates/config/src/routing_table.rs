//! What the data plane routes by: the items in force, parsed and indexed.

use crate::host::normalize_host;
use crate::item::{Item, Kind};
use crate::item_store::ItemStore;
use crate::model::{Limits, Route, Service, Tenant};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The value of an `Evacuation` item while its zone is evacuated.
const EVACUATED: &[u8] = b"1";

/// What the data plane routes by. It never changes; when items change, a new table replaces it.
///
/// Two valid changes that two replicas accept at once can be invalid together. The table is built all the same: of two
/// tenants with one key, or two routes with one host and path prefix, the one of the higher version wins, then the one
/// of the smaller name. A route whose service is unknown is kept; its requests find no backend.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// By name.
    pub tenants: Vec<Arc<Tenant>>,
    /// By name.
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    /// The limits that hold for every request.
    pub limits: Limits,
    /// The zones that are evacuated.
    pub evacuated_zones: BTreeSet<Arc<str>>,
    /// By [`normalize_host`].
    hosts: HashMap<Box<[u8]>, HostRoutes>,
    /// By key: the index in `tenants`.
    tenant_indexes: HashMap<Arc<str>, usize>,
    /// Routes with their items, by name, for the next table to reuse.
    parsed_routes: Vec<ParsedItem<Route>>,
    /// Tenants with their items, by name, for the next table to reuse.
    parsed_tenants: Vec<ParsedItem<Tenant>>,
}

/// An item, and what was parsed from it.
#[derive(Debug)]
struct ParsedItem<T> {
    item: Item,
    value: Arc<T>,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<Box<[u8]>, Arc<Route>>,
    /// The length of the longest prefix.
    max_prefix_length: usize,
}

impl HostRoutes {
    /// Adds a route. To be called in the order of names: of two routes with the same version the first stays.
    fn add(&mut self, route: &Arc<Route>) {
        self.max_prefix_length = self.max_prefix_length.max(route.path_prefix.len());
        let prefix = route.path_prefix.as_bytes().into();
        let winner = self.by_prefix.entry(prefix).or_insert_with(|| route.clone());
        if winner.version < route.version {
            *winner = route.clone();
        }
    }

    /// The route of the longest prefix that begins the path.
    fn find(&self, path: &[u8]) -> Option<&Arc<Route>> {
        // Nothing longer than the longest prefix is looked up: a path of nothing but slashes would be hashed as often
        // as it is long, and a few such requests would hold up all others.
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
    /// The table of the items in force.
    pub fn build(item_store: &ItemStore) -> RoutingTable {
        RoutingTable::rebuild(&RoutingTable::default(), item_store)
    }

    /// As [`RoutingTable::build`], but reuses what the previous table parsed from items that have not changed.
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

    /// Goes through the tenants in the order of names: of two with the same version the first gets a key.
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

    /// The route of the longest prefix that begins the path. The host may be in any case and have a port, the path may
    /// have a query.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<Route>> {
        self.hosts.get(&*normalize_host(host))?.find(path)
    }

    /// The index in `tenants` of the one that has this key.
    pub fn tenant_index(&self, key: &[u8]) -> Option<usize> {
        self.tenant_indexes.get(std::str::from_utf8(key).ok()?).copied()
    }

    /// Whether there are any tenants at all.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// How many routes are in force.
    pub fn route_count(&self) -> usize {
        self.parsed_routes.len()
    }

    /// The routes in force, by name; those too that lost their host and path prefix to another one.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.parsed_routes.iter().map(|parsed| &parsed.value)
    }
}

/// Parses the items of a kind that are in force. Both what was parsed before and the items are in the order of names.
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

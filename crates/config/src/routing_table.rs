//! What the data plane routes by: the ledger's standing items, read and indexed.

use crate::item::{Item, Kind};
use crate::item_store::ItemStore;
use crate::model::{host_key, Limits, Route, Service, Tenant};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// What the value of an `Evacuation` item is while its zone is evacuated.
const EVACUATED: &[u8] = b"1";

/// What the data plane routes by. It never changes; a new ledger makes a new one, to be swapped in whole.
///
/// Two valid calls, taken at two places at once, can meet in one invalid whole. A view is built of that too:
/// of two holders of a key or a place the one of the higher edition has it, then the one of the smaller name.
/// A route is kept though its service is unknown; its requests find no backend.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// By name.
    pub tenants: Vec<Arc<Tenant>>,
    pub services: BTreeMap<Arc<str>, Arc<Service>>,
    pub limits: Limits,
    /// The zones that are evacuated.
    pub evacuated: BTreeSet<Arc<str>>,
    hosts: HashMap<Box<[u8]>, Host>,
    /// By key: the place in `tenants`.
    keys: HashMap<Arc<str>, usize>,
    /// What was read out of which items, by name, for the next view to take over.
    routes_read: Vec<Reading<Route>>,
    tenants_read: Vec<Reading<Tenant>>,
}

#[derive(Debug)]
struct Reading<T> {
    item: Item,
    value: Arc<T>,
}

#[derive(Debug, Default)]
struct Host {
    prefixes: HashMap<Box<[u8]>, Arc<Route>>,
    /// The longest prefix's length.
    longest: usize,
}

impl RoutingTable {
    /// The view of what stands.
    pub fn build(item_store: &ItemStore) -> RoutingTable {
        RoutingTable::rebuild(&RoutingTable::default(), item_store)
    }

    /// As [`RoutingTable::of`], but takes over what the previous view read out of items that have not changed.
    pub fn rebuild(previous: &RoutingTable, item_store: &ItemStore) -> RoutingTable {
        let mut view = RoutingTable {
            limits: item_store.get(Kind::Limits, "").and_then(Limits::from_item).unwrap_or_default(),
            routes_read: read_all(&previous.routes_read, item_store, Kind::Route, Route::from_item),
            tenants_read: read_all(&previous.tenants_read, item_store, Kind::Tenant, Tenant::from_item),
            ..RoutingTable::default()
        };
        for line in item_store.items_of(Kind::Service).filter_map(Service::from_item) {
            view.services.insert(line.name.clone(), Arc::new(line));
        }
        for item in item_store.items_of(Kind::Evacuation) {
            if item.value.as_deref() == Some(EVACUATED) {
                view.evacuated.insert(item.name.clone());
            }
        }
        view.index_routes();
        view.index_tenants();
        view
    }

    /// Comes by routes in the order of names, so of two with the same edition the smaller name is there first.
    fn index_routes(&mut self) {
        for reading in &self.routes_read {
            let route = &reading.value;
            let host = self.hosts.entry(host_key(route.host.as_bytes()).into_boxed_slice()).or_default();
            host.longest = host.longest.max(route.path_prefix.len());
            let held =
                host.prefixes.entry(route.path_prefix.as_bytes().into()).or_insert_with(|| route.clone());
            if held.version < route.version {
                *held = route.clone();
            }
        }
    }

    /// Comes by tenants in the order of names, as `index_routes` by routes.
    fn index_tenants(&mut self) {
        self.keys.reserve(self.tenants_read.len());
        self.tenants = self.tenants_read.iter().map(|reading| reading.value.clone()).collect();
        for (at, tenant) in self.tenants.iter().enumerate() {
            for key in &tenant.keys {
                match self.keys.entry(key.clone()) {
                    Entry::Vacant(vacant) => {
                        vacant.insert(at);
                    }
                    Entry::Occupied(mut holder) => {
                        if self.tenants[*holder.get()].version < tenant.version {
                            holder.insert(at);
                        }
                    }
                }
            }
        }
    }

    /// The route of the longest prefix that begins the path. The host may be in any case and carry a port,
    /// the path carry a query.
    pub fn route(&self, host: &[u8], path: &[u8]) -> Option<&Arc<Route>> {
        let host = self.hosts.get(&*host_key(host))?;
        // Past the longest prefix no cut is tried: a path of nothing but slashes would be hashed as often as
        // it is long, and a few such requests would hold up all others.
        let mut path = &path[..path.len().min(host.longest)];
        if let Some(end) = path.iter().position(|byte| matches!(byte, b'?' | b'#')) {
            path = &path[..end];
        }
        while let Some(slash) = path.iter().rposition(|byte| *byte == b'/') {
            if let Some(route) = host.prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            path = &path[..slash];
        }
        None
    }

    /// The place in `tenants` of the holder of this key.
    pub fn tenant_of(&self, key: &[u8]) -> Option<usize> {
        self.keys.get(std::str::from_utf8(key).ok()?).copied()
    }

    /// Whether there are any tenants at all.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The routes that stand, by name; those too whose place another one holds.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes_read.iter().map(|reading| &reading.value)
    }
}

/// Reads the standing items of a kind. Both the previous readings and the items are in the order of names.
fn read_all<T>(
    previous: &[Reading<T>],
    item_store: &ItemStore,
    kind: Kind,
    read: fn(&Item) -> Option<T>,
) -> Vec<Reading<T>> {
    let mut previous = previous.iter().peekable();
    let mut readings = Vec::new();
    for item in item_store.items_of(kind) {
        while previous.next_if(|reading| reading.item.name < item.name).is_some() {}
        let same = previous.next_if(|reading| reading.item == *item);
        if let Some(value) = same.map(|reading| reading.value.clone()).or_else(|| read(item).map(Arc::new)) {
            readings.push(Reading { item: item.clone(), value });
        }
    }
    readings
}

//! Reservations: which changes must not be decided independently of each other.
//!
//! Consensus decides each version of each item on its own, so two changes of different items could both be committed
//! although they are invalid together: two tenants with one API key, two routes with one host and path prefix, or a
//! route to a service that is removed. A change therefore also claims the next version of a *register* for each
//! resource that its validity depends on. Of two changes that claim one register, consensus commits one first; the
//! other one is validated again.
//!
//! | item of the change | resources |
//! | --- | --- |
//! | tenant that is set | each of its API keys |
//! | route that is set | its host and path prefix; one shard of each of its services |
//! | service that is removed | all shards of the service |
//!
//! Giving up a resource claims nothing: another change that takes it is valid only once that is committed.
//!
//! Resources are hashed to a fixed number of registers, which bounds the store. Two unrelated changes that claim one
//! register only cost a retry. Services have shards so that routes to one service rarely share a register.

use crate::host::normalize_host;
use crate::item::{Item, Kind};
use crate::item_json::{parse_value, RouteJson, TenantKeysJson};
use crate::item_store::ItemStore;
use crate::version_history::VersionStatus;
use bytes::Bytes;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// Number of registers for API keys, hosts and prefixes. A register takes some 200 bytes, and up to 2 KiB with 64 older
/// versions.
///
/// Invariant: the numbers, and the hashes below, must not change, because replicas of different releases must claim the
/// same registers.
const REGISTER_COUNT: u64 = 4_096;
/// Number of registers for shards of services, which follow the others.
const SERVICE_REGISTER_COUNT: u64 = 65_536;
/// Number of shards of a service. A route claims one of them, the removal of the service claims all.
///
/// Unrelated routes to one service wait for each other if they share a shard; removals of services are rare.
const SERVICE_SHARDS: u64 = 1_024;

/// Distinguishes the resources that are hashed to registers.
#[derive(Clone, Copy)]
#[repr(u8)]
enum ResourceKind {
    ApiKey = 1,
    HostAndPrefix = 2,
    ServiceShard = 3,
}

/// The registers that a change claims.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reservations(BTreeSet<u64>);

impl Reservations {
    /// The registers of all resources that the validity of these items depends on.
    pub fn of(change: &[Item]) -> Reservations {
        let mut registers = BTreeSet::new();
        for item in change {
            match (item.kind, item.is_set()) {
                (Kind::Tenant, true) => registers.extend(tenant_registers(item)),
                (Kind::Route, true) => registers.extend(route_registers(item)),
                (Kind::Service, false) => {
                    registers.extend((0..SERVICE_SHARDS).map(|shard| service_register(&item.name, shard)));
                }
                _ => {}
            }
        }
        Reservations(registers)
    }

    /// The number of registers.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the change claims no register.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The items that claim the registers for the change with this digest: each sets the version after the committed
    /// one.
    pub fn items<'a>(
        &'a self,
        item_store: &'a ItemStore,
        change_digest: &'a Bytes,
    ) -> impl Iterator<Item = Item> + 'a {
        self.0.iter().map(move |register| {
            let name = format!("{register:05x}");
            let version = item_store.next_version(Kind::Reservation, &name);
            let value = Some(change_digest.clone());
            Item { kind: Kind::Reservation, name: name.into(), version, value }
        })
    }
}

/// Whether all of these reservations claim the version after the committed one, so that no other change has claimed any
/// of the registers since they were created.
pub fn reservations_are_current<'a>(
    item_store: &ItemStore,
    reservations: impl IntoIterator<Item = &'a Item>,
) -> bool {
    reservations.into_iter().all(|item| item.version == item_store.next_version(item.kind, &item.name))
}

/// Whether any of these reservations is so old that its register no longer tells who claimed that version.
pub fn has_forgotten_reservation<'a>(
    item_store: &ItemStore,
    reservations: impl IntoIterator<Item = &'a Item>,
) -> bool {
    reservations.into_iter().any(|item| item_store.version_status(item) == VersionStatus::Pruned)
}

fn tenant_registers(item: &Item) -> Vec<u64> {
    let tenant: Option<TenantKeysJson> = parse_value(item, Kind::Tenant);
    let keys = tenant.into_iter().flat_map(|tenant| tenant.keys);
    keys.map(|key| hash(ResourceKind::ApiKey, key.as_bytes(), b"") % REGISTER_COUNT).collect()
}

fn route_registers(item: &Item) -> Vec<u64> {
    let Some(route) = parse_value::<RouteJson>(item, Kind::Route) else { return Vec::new() };
    let host = normalize_host(route.host.as_bytes());
    let shard = xxh3_64(item.name.as_bytes()) % SERVICE_SHARDS;
    let services = route.service_names().map(|service| service_register(service, shard));
    let place = hash(ResourceKind::HostAndPrefix, &host, route.path_prefix.as_bytes()) % REGISTER_COUNT;
    services.chain([place]).collect()
}

fn service_register(service: &str, shard: u64) -> u64 {
    let hash = hash(ResourceKind::ServiceShard, &shard.to_le_bytes(), service.as_bytes());
    REGISTER_COUNT + hash % SERVICE_REGISTER_COUNT
}

/// The hash of a resource, which is identified by two byte strings.
fn hash(kind: ResourceKind, first: &[u8], second: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&[kind as u8]);
    hasher.update(&(first.len() as u64).to_le_bytes());
    hasher.update(first);
    hasher.update(second);
    hasher.digest()
}

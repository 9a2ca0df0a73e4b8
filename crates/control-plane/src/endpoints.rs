//! Converts the platform's list of backends into configuration items, one per backend, named by its id.
//!
//! An item's value contains the backend's service, address, zone, number of slots, whether it is draining, and how much
//! warm-up time it had left when the item was created. Only changes become updates; the decrease of the remaining warm-up
//! time is not a change.

use bytes::Bytes;
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_time::{Duration, Timestamp};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Smaller differences between two values for the end of a warm-up are ignored.
const WARM_UP_TOLERANCE: Duration = Duration::from_micros(700_000);
/// Maximum number of backends per page. The list comes from outside and must not exhaust the memory.
const MAX_PAGE_ENDPOINTS: usize = 50_000;
/// The item field with the remaining warm-up time of its backend, in milliseconds.
const WARM_UP_FIELD: &str = "cold-ms";

/// A backend in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The backend's id.
    pub backend_id: String,
    /// The service to which it belongs.
    pub service: String,
    /// Address and port.
    pub address: String,
    /// The zone in which it runs.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u64,
    /// Whether it accepts no new requests.
    pub is_draining: bool,
    /// Remaining warm-up time in milliseconds.
    pub warm_up_ms: u64,
}

impl Endpoint {
    /// Parses an entry of the list. `default_zone` applies to entries without a zone of their own.
    fn parse(entry: &Value, default_zone: &str) -> Option<Endpoint> {
        let text = |name: &str| entry.get(name).and_then(Value::as_str).map(str::to_owned);
        let number = |name: &str| entry.get(name).and_then(Value::as_f64).unwrap_or(0.0).max(0.0) as u64;
        Some(Endpoint {
            backend_id: text("call-sign")?,
            service: text("line")?,
            address: text("address")?,
            zone: text("district").unwrap_or_else(|| default_zone.to_owned()),
            slots: number("berths").max(1),
            is_draining: text("standing").is_some_and(|standing| standing != "open"),
            warm_up_ms: number("cold-left-ms"),
        })
    }

    /// Returns the value of the backend's item.
    fn to_value(&self, warm_up_ms: u64) -> Value {
        json!({"line": self.service, "address": self.address, "district": self.zone,
            "berths": self.slots, "closing": self.is_draining, WARM_UP_FIELD: warm_up_ms})
    }
}

/// One page of the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPage {
    /// The backends on this page.
    pub endpoints: Vec<Endpoint>,
    /// The token of the next page, if there is one.
    pub next_token: Option<String>,
}

/// Parses one page. Returns `None` if any entry lacks a required field, or if there are too many entries.
pub fn parse_page(body: &[u8]) -> Option<EndpointPage> {
    let page: Value = serde_json::from_slice(body).ok()?;
    let mut endpoints = Vec::new();
    for (zone, entries) in page.get("backends")?.as_object()? {
        for entry in entries.as_array()? {
            endpoints.push(Endpoint::parse(entry, zone)?);
        }
    }
    let next_token = match page.get("next-token") {
        Some(Value::String(token)) if !token.is_empty() => Some(token.clone()),
        _ => None,
    };
    (endpoints.len() <= MAX_PAGE_ENDPOINTS).then_some(EndpointPage { endpoints, next_token })
}

/// Compares polls of the platform's list with the known items, and creates the items that differ.
#[derive(Default)]
pub struct EndpointReconciler {
    /// Version of the item created last.
    version: u64,
    /// When the warm-ups end according to the items, by backend id.
    warm_up_ends: BTreeMap<String, Timestamp>,
    /// Known backends that the last poll did not list.
    missing: BTreeSet<String>,
}

impl EndpointReconciler {
    /// Resets the state for a new coordinator term. Its item versions are higher than those of lower terms.
    pub fn start_term(&mut self, term: u64) {
        *self = EndpointReconciler { version: term << 32, ..EndpointReconciler::default() };
    }

    /// Returns the changes that follow from a complete poll, as items with versions higher than all known ones.
    pub fn reconcile(
        &mut self,
        now: Timestamp,
        endpoints: Vec<Endpoint>,
        item_store: &ItemStore,
    ) -> Vec<Item> {
        // Invariant: new versions are higher than all known ones. Term numbers start again when all control processes
        // restart, but the backend items stay on disk; an item written before the restart could never be replaced.
        self.version = self.version.max(item_store.highest_version(Kind::Backend));
        let known_count = item_store.items_of(Kind::Backend).filter(|item| item.value.is_some()).count();
        // Invariant: an empty list is ignored while more than one backend is known, because a platform that has just
        // started may list none.
        if endpoints.is_empty() && known_count > 1 {
            return Vec::new();
        }
        let mut items = Vec::new();
        for endpoint in &endpoints {
            if self.has_changed(now, endpoint, item_store) {
                self.warm_up_ends.insert(endpoint.backend_id.clone(), warm_up_end(now, endpoint));
                items
                    .push(self.next_item(&endpoint.backend_id, Some(endpoint.to_value(endpoint.warm_up_ms))));
            }
        }
        items.extend(self.remove_missing(&endpoints, item_store));
        items
    }

    /// Returns whether a listed backend differs from its known item.
    fn has_changed(&self, now: Timestamp, endpoint: &Endpoint, item_store: &ItemStore) -> bool {
        let item = item_store.get(Kind::Backend, &endpoint.backend_id);
        let Some(value) = item.and_then(|item| item.value.as_deref()) else { return true };
        let mut known_value: Value = serde_json::from_slice(value).unwrap_or_default();
        let was_warming_up = known_value[WARM_UP_FIELD].as_u64().unwrap_or(0) > 0;
        known_value[WARM_UP_FIELD] = 0.into();
        known_value != endpoint.to_value(0)
            || was_warming_up != (endpoint.warm_up_ms > 0)
            || self.warm_up_difference(now, endpoint) >= WARM_UP_TOLERANCE
    }

    /// Returns by how much the listed end of a backend's warm-up differs from the end according to its item.
    fn warm_up_difference(&self, now: Timestamp, endpoint: &Endpoint) -> Duration {
        // A warm-up that has ended is equivalent to none.
        let known_end = self.warm_up_ends.get(&endpoint.backend_id).copied().unwrap_or(now).max(now);
        let listed_end = warm_up_end(now, endpoint);
        if listed_end > known_end {
            listed_end - known_end
        } else {
            known_end - listed_end
        }
    }

    /// Removes the backends that are missing from two consecutive polls. A backend that is missing once may have moved
    /// from one page of the list to another between the reads of the two pages.
    fn remove_missing(&mut self, endpoints: &[Endpoint], item_store: &ItemStore) -> Vec<Item> {
        let listed: BTreeSet<&str> = endpoints.iter().map(|endpoint| endpoint.backend_id.as_str()).collect();
        let missing: BTreeSet<String> = item_store
            .items_of(Kind::Backend)
            .filter(|item| item.value.is_some() && !listed.contains(&*item.name))
            .map(|item| item.name.to_string())
            .collect();
        let previously_missing = std::mem::replace(&mut self.missing, missing.clone());
        let mut items = Vec::new();
        for backend_id in missing.intersection(&previously_missing) {
            self.warm_up_ends.remove(backend_id);
            items.push(self.next_item(backend_id, None));
        }
        items
    }

    /// Creates an item with the next version. An item without a value removes the backend.
    fn next_item(&mut self, backend_id: &str, value: Option<Value>) -> Item {
        self.version += 1;
        let value = value.map(|value| Bytes::from(value.to_string()));
        Item { kind: Kind::Backend, name: backend_id.into(), version: self.version, value }
    }
}

/// Returns when a backend's warm-up ends according to the platform.
fn warm_up_end(now: Timestamp, endpoint: &Endpoint) -> Timestamp {
    now + Duration::from_micros(endpoint.warm_up_ms as i64 * 1000)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, remaining_ms: u64) -> Endpoint {
        Endpoint {
            backend_id: name.into(),
            service: "l".into(),
            address: "10.0.0.1:80".into(),
            zone: "d".into(),
            slots: 2,
            is_draining: false,
            warm_up_ms: remaining_ms,
        }
    }

    #[test]
    fn only_changes_become_items_and_backend_missing_twice_is_removed() {
        let at = |millis: i64| Timestamp::from_micros(millis * 1000);
        let (mut reconciler, mut item_store) = (EndpointReconciler::default(), ItemStore::new());
        let mut count_updates = |now, entries: &[Endpoint], item_store: &mut ItemStore| {
            let updates = reconciler.reconcile(at(now), entries.to_vec(), item_store);
            for item in &updates {
                assert!(item_store.merge(item.clone()));
            }
            updates.len()
        };
        assert_eq!(count_updates(0, &[entry("a", 3000), entry("b", 0)], &mut item_store), 2);
        assert_eq!(count_updates(700, &[entry("a", 2300), entry("b", 0)], &mut item_store), 0);
        assert_eq!(count_updates(1400, &[entry("a", 1600), entry("b", 3000)], &mut item_store), 1); // warming up again
        assert_eq!(count_updates(4600, &[entry("a", 0), entry("b", 0)], &mut item_store), 2);
        assert_eq!(count_updates(5300, &[entry("a", 0), entry("b", 0)], &mut item_store), 0);
        let mut draining = entry("a", 0);
        draining.is_draining = true;
        assert_eq!(count_updates(6000, &[draining, entry("b", 0)], &mut item_store), 1);
        assert_eq!(count_updates(6700, &[entry("b", 0)], &mut item_store), 0);
        assert_eq!(count_updates(7400, &[entry("b", 0)], &mut item_store), 1);
        assert!(item_store.get(Kind::Backend, "a").unwrap().value.is_none());
        // An empty list does not remove all backends.
        item_store.merge(Item {
            kind: Kind::Backend,
            name: "c".into(),
            version: 1,
            value: Some(Bytes::from("{}")),
        });
        assert_eq!(count_updates(8000, &[], &mut item_store), 0);
        // An item that was written in a higher term, before the whole control plane restarted, is overwritten as well.
        let old = Some(Bytes::from("{}"));
        item_store.merge(Item { kind: Kind::Backend, name: "b".into(), version: 99 << 32, value: old });
        assert_eq!(count_updates(8700, &[entry("b", 0)], &mut item_store), 1);
    }

    #[test]
    fn pages_are_parsed_completely_or_not_at_all() {
        let body = br#"{"backends":{"d":[{"line":"l","address":"10.0.0.1:80","district":"d","edition":"v1","berths":6,
            "standing":"closing","cold-left-ms":12.5,"call-sign":"i-1","new":1}]},"next-token":"p-50"}"#;
        let EndpointPage { endpoints, next_token } = parse_page(body).unwrap();
        assert!(endpoints[0].is_draining && endpoints[0].warm_up_ms == 12 && endpoints[0].slots == 6);
        assert_eq!(next_token.as_deref(), Some("p-50"));
        let empty = EndpointPage { endpoints: vec![], next_token: None };
        assert_eq!(parse_page(br#"{"backends":{},"next-token":null}"#), Some(empty));
        assert_eq!(parse_page(&body[..80]), None);
        assert_eq!(parse_page(br#"{"backends":{"d":[{"line":"l"}]}}"#), None);
    }
}

//! Encodes the active configuration as JSON for operators.

use crate::change_request::tables::{ItemTable, ROUTES, SERVICES, TENANTS};
use crate::item::{Item, Kind};
use crate::item_json::parse_value;
use crate::item_store::ItemStore;
use serde::{Serialize, Serializer};
use serde_json::{json, Map, Value};
use std::collections::BTreeSet;

/// A snapshot of the active items that operators manage. It shares names and values with the item store, so creating it
/// is cheap, and it can be encoded later or on another thread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationSnapshot {
    /// Grouped by kind, then sorted by name.
    items: Vec<Item>,
}

impl ConfigurationSnapshot {
    /// Takes a snapshot of the active items in the store.
    pub fn new(item_store: &ItemStore) -> ConfigurationSnapshot {
        let kinds = [ROUTES.kind, TENANTS.kind, SERVICES.kind, Kind::Limits];
        let items = kinds.into_iter().flat_map(|kind| item_store.items_of(kind));
        ConfigurationSnapshot { items: items.filter(|item| item.is_set()).cloned().collect() }
    }

    /// The approximate size of the JSON encoding in bytes.
    pub fn estimated_json_bytes(&self) -> usize {
        self.items.iter().map(Item::max_wire_bytes).sum()
    }

    /// Encodes the three tables, with rows sorted by name, and the limits if they are set.
    ///
    /// # Panics
    /// Never, since all keys are strings.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.tables()).expect("keys are strings")
    }

    /// Like [`ConfigurationSnapshot::to_json`], but encoded as a change request that sets all the items.
    ///
    /// # Panics
    /// Never, since all keys are strings.
    pub fn to_change_request(&self) -> Vec<u8> {
        let change = ChangeRequestJson { set: self.tables() };
        serde_json::to_vec(&change).expect("keys are strings")
    }

    fn tables(&self) -> ConfigurationJson<'_> {
        ConfigurationJson {
            routes: self.table(&ROUTES),
            tenants: self.table(&TENANTS),
            services: self.table(&SERVICES),
            limits: self.items.iter().find(|item| item.kind == Kind::Limits).and_then(fields),
        }
    }

    fn table(&self, table: &ItemTable) -> TableJson<'_> {
        let is_in_table = |item: &&Item| item.kind == table.kind;
        let items: Vec<&Item> = self.items.iter().filter(is_in_table).collect();
        let known: BTreeSet<&str> = table.headings.iter().copied().collect();
        let mut unknown = BTreeSet::new();
        for object in items.iter().filter_map(|item| fields(item)) {
            unknown
                .extend(object.into_iter().map(|(key, _)| key).filter(|key| !known.contains(key.as_str())));
        }
        let headings: Vec<String> =
            table.headings.iter().copied().map(str::to_owned).chain(unknown).collect();
        TableJson { rows: RowsJson { headings: headings.clone(), items }, headings }
    }
}

/// The active configuration. Fields are serialized in this order.
#[derive(Serialize)]
struct ConfigurationJson<'a> {
    #[serde(rename = "itineraries")]
    routes: TableJson<'a>,
    #[serde(rename = "customers")]
    tenants: TableJson<'a>,
    #[serde(rename = "carrier-lines")]
    services: TableJson<'a>,
    #[serde(rename = "weight-limits", skip_serializing_if = "Option::is_none")]
    limits: Option<Map<String, Value>>,
}

#[derive(Serialize)]
struct TableJson<'a> {
    headings: Vec<String>,
    #[serde(rename = "entries")]
    rows: RowsJson<'a>,
}

/// The rows of a table, each built only when it is serialized. A table may have a hundred thousand rows, and as
/// [`Value`]s they would take many times the memory of their JSON text.
struct RowsJson<'a> {
    headings: Vec<String>,
    items: Vec<&'a Item>,
}

impl RowsJson<'_> {
    fn row(&self, item: &Item) -> Option<Vec<Value>> {
        let mut object = fields(item)?;
        object.insert("name".to_owned(), json!(&*item.name));
        Some(self.headings.iter().map(|heading| object.remove(heading).unwrap_or_default()).collect())
    }
}

impl Serialize for RowsJson<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.items.iter().filter_map(|item| self.row(item)))
    }
}

#[derive(Serialize)]
struct ChangeRequestJson<'a> {
    #[serde(rename = "deliver")]
    set: ConfigurationJson<'a>,
}

/// The fields of an active item, including its version; `None` if its value cannot be parsed.
fn fields(item: &Item) -> Option<Map<String, Value>> {
    let mut object: Map<String, Value> = parse_value(item, item.kind)?;
    object.insert("edition".to_owned(), json!(format!("r{}", item.version)));
    Some(object)
}

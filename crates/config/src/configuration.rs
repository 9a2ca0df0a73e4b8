//! The items in force as JSON, for operators to read back.

use crate::change_request::tables::{ItemTable, ROUTES, SERVICES, TENANTS};
use crate::item::{Item, Kind};
use crate::item_json::parse_value;
use crate::item_store::ItemStore;
use serde::{Serialize, Serializer};
use serde_json::{json, Map, Value};
use std::collections::BTreeSet;

/// The operators' items that are in force at one moment. It shares names and values with the store that it was taken
/// of, so taking it is cheap, and it may be encoded later and on another thread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationSnapshot {
    /// By kind, then by name.
    items: Vec<Item>,
}

impl ConfigurationSnapshot {
    /// What is in force in this store.
    pub fn new(item_store: &ItemStore) -> ConfigurationSnapshot {
        let kinds = [ROUTES.kind, TENANTS.kind, SERVICES.kind, Kind::Limits];
        let items = kinds.into_iter().flat_map(|kind| item_store.items_of(kind));
        ConfigurationSnapshot { items: items.filter(|item| item.is_set()).cloned().collect() }
    }

    /// About how many bytes its JSON has.
    pub fn estimated_json_bytes(&self) -> usize {
        self.items.iter().map(Item::max_wire_bytes).sum()
    }

    /// As JSON: the three tables, rows by name, and the limits if there are any.
    ///
    /// # Panics
    /// Never: all keys are strings.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(&self.tables()).expect("keys are strings")
    }

    /// As [`ConfigurationSnapshot::to_json`], as a change that sets all items in force.
    ///
    /// # Panics
    /// Never: all keys are strings.
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
        let is_of_table = |item: &&Item| item.kind == table.kind;
        let items: Vec<&Item> = self.items.iter().filter(is_of_table).collect();
        let known: BTreeSet<&str> = table.headings.iter().copied().collect();
        let mut others = BTreeSet::new();
        for object in items.iter().filter_map(|item| fields(item)) {
            others.extend(object.into_iter().map(|(key, _)| key).filter(|key| !known.contains(key.as_str())));
        }
        let headings: Vec<String> = table.headings.iter().copied().map(str::to_owned).chain(others).collect();
        TableJson { rows: RowsJson { headings: headings.clone(), items }, headings }
    }
}

/// The items in force. The fields are written in this order.
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

/// The rows of a table, each made when it is written: all of them at once, as values, would take many times the bytes of
/// their text, and a table may have a hundred thousand.
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

/// The fields of an item in force, its version among them; `None` for one that cannot be parsed.
fn fields(item: &Item) -> Option<Map<String, Value>> {
    let mut object: Map<String, Value> = parse_value(item, item.kind)?;
    object.insert("edition".to_owned(), json!(format!("r{}", item.version)));
    Some(object)
}

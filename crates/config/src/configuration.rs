//! The items in force as JSON, for operators to read back.

use crate::change_request::tables::{ItemTable, ROUTES, SERVICES, TENANTS};
use crate::item::{Item, Kind};
use crate::item_json::parse_value;
use crate::item_store::ItemStore;
use serde::Serialize;
use serde_json::{json, Map, Value};
use std::collections::BTreeSet;

/// The items in force. The fields are written in this order.
#[derive(Serialize)]
struct ConfigurationJson {
    #[serde(rename = "itineraries")]
    routes: TableJson,
    #[serde(rename = "customers")]
    tenants: TableJson,
    #[serde(rename = "carrier-lines")]
    services: TableJson,
    #[serde(rename = "weight-limits", skip_serializing_if = "Option::is_none")]
    limits: Option<Map<String, Value>>,
}

#[derive(Serialize)]
struct TableJson {
    headings: Vec<String>,
    #[serde(rename = "entries")]
    rows: Vec<Vec<Value>>,
}

#[derive(Serialize)]
struct ChangeRequestJson {
    #[serde(rename = "deliver")]
    set: ConfigurationJson,
}

/// All items in force, as JSON: the three tables, rows by name, and the limits if there are any.
///
/// # Panics
/// Never: all keys are strings.
pub fn to_configuration(item_store: &ItemStore) -> Vec<u8> {
    serde_json::to_vec(&configuration(item_store)).expect("keys are strings")
}

/// As [`to_configuration`], as a change that sets all items in force.
///
/// # Panics
/// Never: all keys are strings.
pub fn to_change_request(item_store: &ItemStore) -> Vec<u8> {
    let change = ChangeRequestJson { set: configuration(item_store) };
    serde_json::to_vec(&change).expect("keys are strings")
}

fn configuration(item_store: &ItemStore) -> ConfigurationJson {
    ConfigurationJson {
        routes: table(item_store, &ROUTES),
        tenants: table(item_store, &TENANTS),
        services: table(item_store, &SERVICES),
        limits: item_store.get(Kind::Limits, "").and_then(fields),
    }
}

/// The fields of an item in force, its version among them; `None` for a removed one.
fn fields(item: &Item) -> Option<Map<String, Value>> {
    let mut object: Map<String, Value> = parse_value(item, item.kind)?;
    object.insert("edition".to_owned(), json!(format!("r{}", item.version)));
    Some(object)
}

fn table(item_store: &ItemStore, table: &ItemTable) -> TableJson {
    let mut objects: Vec<Map<String, Value>> = Vec::new();
    for item in item_store.items_of(table.kind) {
        let Some(mut object) = fields(item) else { continue };
        object.insert("name".to_owned(), json!(&*item.name));
        objects.push(object);
    }
    let known: BTreeSet<&str> = table.headings.iter().copied().collect();
    let keys = objects.iter().flat_map(Map::keys).map(String::as_str);
    let others: BTreeSet<&str> = keys.filter(|key| !known.contains(key)).collect();
    let headings: Vec<String> = table.headings.iter().copied().chain(others).map(str::to_owned).collect();
    let to_row = |mut object: Map<String, Value>| {
        headings.iter().map(|heading| object.remove(heading).unwrap_or_default()).collect()
    };
    let rows = objects.into_iter().map(to_row).collect();
    TableJson { headings, rows }
}

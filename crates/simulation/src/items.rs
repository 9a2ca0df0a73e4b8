//! Conversion of the configuration items that operators write to and from JSON. Each item contains the id of
//! the change that wrote it, so that the checker can tell contents apart.
//!
//! The JSON keys are those of the operator API.

use crate::history::{ChangeId, Content, ItemName, ItemState, Write};
use kitepass_config::{Item, Kind};
use kitepass_coordination::protocol::{ItemMessage, Items};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The lists in the response to a read, with the kind of items that each contains.
const ITEM_LISTS: [(&str, Kind); 3] =
    [("itineraries", Kind::Route), ("customers", Kind::Tenant), ("carrier-lines", Kind::Service)];

/// Number of services that operators write and endpoints belong to.
pub const SERVICE_COUNT: usize = 5;

/// First character of the names of routes that share a place with others.
pub const SHARED_PLACE: char = 'p';

/// The name of a service.
pub fn service_name(index: usize) -> String {
    format!("l{index}")
}

/// Items as a protocol message.
pub fn to_message(items: &[Item]) -> Items {
    Items::complete(items.iter().map(ItemMessage::from).collect())
}

/// The items of a change, as parsed from an operator's request body.
pub fn to_items(writes: &[Write]) -> Vec<Item> {
    writes.iter().map(to_item).collect()
}

fn to_item(write: &Write) -> Item {
    Item {
        kind: write.item.kind,
        name: write.item.name.as_str().into(),
        version: write.version,
        value: match write.content {
            Content::Deleted => None,
            Content::SetBy(change) => Some(to_json(&write.item, change).into()),
        },
    }
}

/// The part of an item's name that determines what it shares with other items: a route's service, or a tenant's API
/// key.
fn suffix(item: &ItemName) -> &str {
    item.name.rsplit('-').next().unwrap_or_default()
}

/// The path prefix of a route. Routes whose names begin with [`SHARED_PLACE`] and end alike have the same one.
fn path_prefix(route: &ItemName) -> String {
    if route.name.starts_with(SHARED_PLACE) {
        format!("{SHARED_PLACE}-{}", suffix(route))
    } else {
        route.name.clone()
    }
}

/// Describes items that must not exist together: tenants with one API key, routes in one place, or a route to a
/// service that does not exist.
pub fn contradiction(items: &BTreeMap<ItemName, ItemState>) -> Option<String> {
    let mut owners: BTreeMap<(Kind, String), &ItemName> = BTreeMap::new();
    for item in items.keys() {
        let shared = match item.kind {
            Kind::Route => path_prefix(item),
            Kind::Tenant => suffix(item).to_owned(),
            _ => continue,
        };
        let service = ItemName::new(Kind::Service, suffix(item));
        if item.kind == Kind::Route && !items.contains_key(&service) {
            return Some(format!("{item} refers to {service}, which does not exist"));
        }
        if let Some(other) = owners.insert((item.kind, shared), item) {
            return Some(format!("{other} and {item} exclude each other"));
        }
    }
    None
}

/// The JSON of an item, with the id of its change. Keys are sorted, as they are after a change is parsed. A
/// route points to the service named by the last part of the route's name; tenants whose names end alike
/// share an API key.
fn to_json(item: &ItemName, change: ChangeId) -> String {
    let suffix = suffix(item);
    match item.kind {
        Kind::Route => {
            format!(
                r#"{{"deadline-ms":3000,"depot":"h.example","lane-prefix":"/{}/","line":"{suffix}","mail-kind":"safe","target-ms":{change}}}"#,
                path_prefix(item)
            )
        }
        Kind::Tenant => format!(r#"{{"permits":["{suffix}"],"rate-per-s":5,"surge":{change}}}"#),
        _ => format!(r#"{{"checkpoint":"/{change}"}}"#),
    }
}

/// The change that wrote an item with these fields, or none if no change writes such an item.
fn content_from_fields(kind: Kind, fields: &Value) -> Option<Content> {
    let change = match kind {
        Kind::Service => fields["checkpoint"].as_str()?.strip_prefix('/')?.parse().ok()?,
        Kind::Route => fields["target-ms"].as_u64()?,
        Kind::Tenant => fields["surge"].as_u64()?,
        _ => return None,
    };
    Some(Content::SetBy(ChangeId(change)))
}

/// The write that produced an item, or none if operators do not write items of this kind.
pub fn write_from_item(item: &Item) -> Option<Write> {
    if !matches!(item.kind, Kind::Service | Kind::Route | Kind::Tenant) {
        return None;
    }
    let content = match &item.value {
        None => Content::Deleted,
        Some(value) => content_from_fields(item.kind, &serde_json::from_slice(value).ok()?)?,
    };
    let name = ItemName::new(item.kind, item.name.to_string());
    Some(Write { item: name, version: item.version, content })
}

/// Parses the body of the response to a read. Items that cannot be parsed are skipped.
pub fn items_from_body(body: &[u8]) -> BTreeMap<ItemName, ItemState> {
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    let mut items = BTreeMap::new();
    for (list, kind) in ITEM_LISTS {
        let headings = document[list]["headings"].as_array().cloned().unwrap_or_default();
        for entry in document[list]["entries"].as_array().into_iter().flatten() {
            let values = entry.as_array().cloned().unwrap_or_default();
            items.extend(item_from_entry(kind, &headings, values));
        }
    }
    items
}

/// Parses one row of a list.
fn item_from_entry(kind: Kind, headings: &[Value], values: Vec<Value>) -> Option<(ItemName, ItemState)> {
    let headings = headings.iter().filter_map(|heading| heading.as_str().map(str::to_owned));
    let fields: Map<String, Value> = headings.zip(values).collect();
    let fields = Value::Object(fields);
    let name = fields["name"].as_str()?;
    let version = fields["edition"].as_str()?.strip_prefix('r')?.parse().ok()?;
    let content = content_from_fields(kind, &fields)?;
    Some((ItemName::new(kind, name), ItemState { version, content }))
}

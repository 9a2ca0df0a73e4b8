//! The configuration items that operators write, as text and back. Each item that is set carries the number of the
//! change that set it, so that a history can tell contents apart.
//!
//! The words in the texts are those of the operators' interface.

use crate::history::{ChangeId, Content, ItemName, ItemState, Write};
use kitepass_config::{Item, Kind};
use kitepass_coordination::protocol::{ItemMessage, Items};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// The lists of a full reading, with the kind of item that each holds.
const ITEM_LISTS: [(&str, Kind); 3] =
    [("itineraries", Kind::Route), ("customers", Kind::Tenant), ("carrier-lines", Kind::Service)];

/// Services that operators write and endpoints belong to.
pub const SERVICE_COUNT: usize = 5;

/// The name of a service.
pub fn service_name(index: usize) -> String {
    format!("l{index}")
}

/// Items as they travel.
pub fn to_message(items: &[Item]) -> Items {
    Items::complete(items.iter().map(ItemMessage::from).collect())
}

/// The items of an operator's change, as its body would be read.
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

/// The text of an item that carries the number of its change. Keys are sorted, as reading a change leaves them. A route
/// leads to the service that its name ends with; tenants whose names end alike share a key.
fn to_json(item: &ItemName, change: ChangeId) -> String {
    let suffix = item.name.rsplit('-').next().unwrap_or_default();
    match item.kind {
        Kind::Route => {
            format!(
                r#"{{"deadline-ms":3000,"depot":"h.example","lane-prefix":"/{}/","line":"{suffix}","mail-kind":"safe","target-ms":{change}}}"#,
                item.name
            )
        }
        Kind::Tenant => format!(r#"{{"permits":["{suffix}"],"rate-per-s":5,"surge":{change}}}"#),
        _ => format!(r#"{{"checkpoint":"/{change}"}}"#),
    }
}

/// Which change set these fields; none if they are not those of an item of a change.
fn content_from_fields(kind: Kind, fields: &Value) -> Option<Content> {
    let change = match kind {
        Kind::Service => fields["checkpoint"].as_str()?.strip_prefix('/')?.parse().ok()?,
        Kind::Route => fields["target-ms"].as_u64()?,
        Kind::Tenant => fields["surge"].as_u64()?,
        _ => return None,
    };
    Some(Content::SetBy(ChangeId(change)))
}

/// The write that an item came from; none for kinds that operators' changes don't write.
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

/// Reads the body of a full reading. What cannot be read is left out.
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

/// Reads one row of a list.
fn item_from_entry(kind: Kind, headings: &[Value], values: Vec<Value>) -> Option<(ItemName, ItemState)> {
    let headings = headings.iter().filter_map(|heading| heading.as_str().map(str::to_owned));
    let fields: Map<String, Value> = headings.zip(values).collect();
    let fields = Value::Object(fields);
    let name = fields["name"].as_str()?;
    let version = fields["edition"].as_str()?.strip_prefix('r')?.parse().ok()?;
    let content = content_from_fields(kind, &fields)?;
    Some((ItemName::new(kind, name), ItemState { version, content }))
}

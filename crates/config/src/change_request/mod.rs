//! Parses operators' change requests from JSON and checks each item on its own.
//!
//! A change request is an object with tables of items to set (`deliver`) and lists of items to remove (`withdraw`). Its
//! schema is `schema/configuration.json`.

mod schema;
pub(crate) mod tables;

use crate::error::{InvalidJsonSnafu, InvalidStructureSnafu, ValidationError};
use crate::item::{Item, Kind};
use crate::item_json::{parse_value, RouteJson};
use crate::model::{Limits, Service, Tenant};
use bytes::Bytes;
use schema::{reject_item, truncate};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tables::{ItemTable, LIMITS_KEY, ROUTES, TABLES};

pub use schema::SchemaValidator;

/// A route's latency target may exceed its deadline, but only by less than this many milliseconds.
const MAX_TARGET_ABOVE_DEADLINE_MS: f64 = 60_000.0;

/// Parses a change request and checks each item on its own. [`validate`](crate::validate()) checks the items against
/// the rest of the configuration. The result lists the items to set first, then the items to remove. The caller must
/// limit the length of `body`.
///
/// # Errors
/// If the request cannot be parsed completely or contains an invalid item.
pub fn parse_change_request(
    schema_validator: &SchemaValidator,
    body: &[u8],
) -> Result<Vec<Item>, ValidationError> {
    let mut change: Value = serde_json::from_slice(body).context(InvalidJsonSnafu)?;
    schema_validator.check_structure(&change)?;
    let mut parser = ChangeRequestParser { schema_validator, items: Vec::new() };
    for table in TABLES {
        if let Some(rows) = change.pointer_mut(&format!("/deliver/{}", table.name)) {
            parser.add_table(table, rows)?;
        }
    }
    if let Value::Object(limits) = &change["deliver"][LIMITS_KEY] {
        parser.add_limits(limits)?;
    }
    for table in TABLES {
        parser.add_removals(table, &change["withdraw"][table.name])?;
    }
    Ok(parser.items)
}

struct ChangeRequestParser<'a> {
    schema_validator: &'a SchemaValidator,
    /// The items parsed so far.
    items: Vec<Item>,
}

impl ChangeRequestParser<'_> {
    /// Adds the items from a table of items to set.
    fn add_table(
        &mut self,
        table: &'static ItemTable,
        table_json: &mut Value,
    ) -> Result<(), ValidationError> {
        let headings = parse_headings(table, table_json)?;
        let mut positions = BTreeMap::new();
        let rows = table_json.get_mut("entries").and_then(Value::as_array_mut);
        for (index, row) in rows.into_iter().flatten().enumerate() {
            let fields = row.as_array_mut().map(std::mem::take).unwrap_or_default();
            if fields.len() != headings.len() {
                let reason = format!("{} fields for {} headings", fields.len(), headings.len());
                let path = format!("deliver.{}.entries.{index}", table.name);
                return InvalidStructureSnafu { path, reason }.fail();
            }
            let object = without_nulls(headings.iter().cloned().zip(fields));
            let item = self.parse_item(table.kind, table.name, object)?;
            self.add_unique(&mut positions, table.name, item)?;
        }
        Ok(())
    }

    fn add_limits(&mut self, limits: &Map<String, Value>) -> Result<(), ValidationError> {
        let object = without_nulls(limits.clone());
        let item = self.parse_item(Kind::Limits, LIMITS_KEY, object)?;
        self.items.push(item);
        Ok(())
    }

    /// Adds the tombstones from a list of items to remove.
    fn add_removals(&mut self, table: &'static ItemTable, list: &Value) -> Result<(), ValidationError> {
        let mut positions = BTreeMap::new();
        for removal in list.as_array().into_iter().flatten() {
            self.schema_validator.check_removal(table.name, removal)?;
            let name = removal["name"].as_str().unwrap_or_default();
            let version = parse_version(table.name, name, &removal["edition"])?;
            let item = Item { kind: table.kind, name: Arc::from(name), version, value: None };
            self.add_unique(&mut positions, table.name, item)?;
        }
        Ok(())
    }

    /// Adds an item unless the list already contained an identical one. Rejects a different item with the same name,
    /// since the request would be ambiguous. `positions` maps the names of the list's items to their positions in
    /// `self.items`.
    fn add_unique(
        &mut self,
        positions: &mut BTreeMap<Arc<str>, usize>,
        list: &'static str,
        item: Item,
    ) -> Result<(), ValidationError> {
        match positions.entry(item.name.clone()) {
            Entry::Vacant(vacant) => {
                vacant.insert(self.items.len());
                self.items.push(item);
                Ok(())
            }
            Entry::Occupied(occupied) if self.items[*occupied.get()] == item => Ok(()),
            Entry::Occupied(_) => {
                reject_item(list, &item.name, "name", "the call holds it twice, and they differ")
            }
        }
    }

    /// Checks and parses an item to set. `object` must contain no null fields.
    fn parse_item(
        &self,
        kind: Kind,
        list: &'static str,
        object: Map<String, Value>,
    ) -> Result<Item, ValidationError> {
        let object = Value::Object(object);
        self.schema_validator.check_item(kind, list, &object)?;
        let name = if kind == Kind::Limits { "" } else { object["name"].as_str().unwrap_or_default() };
        let version = parse_version(list, name, &object["edition"])?;
        let value = encode_value(kind, &object)?;
        let item = Item { kind, name: Arc::from(name), version, value: Some(value) };
        check_semantics(list, &item)?;
        Ok(item)
    }
}

/// Returns the headings of a table; they must be unique.
fn parse_headings(table: &ItemTable, table_json: &Value) -> Result<Vec<String>, ValidationError> {
    let to_text = |heading: &Value| heading.as_str().unwrap_or_default().to_owned();
    let headings: Vec<String> =
        table_json["headings"].as_array().into_iter().flatten().map(to_text).collect();
    let mut seen = BTreeSet::new();
    if let Some(duplicate) = headings.iter().find(|heading| !seen.insert(*heading)) {
        let path = format!("deliver.{}.headings", table.name);
        let reason = format!("\"{}\" is there twice", truncate(duplicate));
        return InvalidStructureSnafu { path, reason }.fail();
    }
    Ok(headings)
}

fn without_nulls(fields: impl IntoIterator<Item = (String, Value)>) -> Map<String, Value> {
    fields.into_iter().filter(|(_, value)| !value.is_null()).collect()
}

/// Parses a version in the operators' notation: "r" followed by a decimal number.
fn parse_version(list: &'static str, name: &str, version: &Value) -> Result<u64, ValidationError> {
    let digits = version.as_str().and_then(|text| text.strip_prefix('r'));
    match digits.filter(|digits| digits.bytes().all(|byte| byte.is_ascii_digit())).map(str::parse) {
        Some(Ok(number)) => Ok(number),
        _ => reject_item(list, name, "edition", "not an \"r\" and a number below 2 to the 64th"),
    }
}

/// Encodes an item's fields, except its name and version, as its value. Keys are sorted so that the encoding does not
/// depend on the order of the headings. The limits have no name, so their `name` field, if any, is part of the value.
fn encode_value(kind: Kind, object: &Value) -> Result<Bytes, ValidationError> {
    let fields = object.as_object().into_iter().flatten();
    let is_content = |key: &str| key != "edition" && (key != "name" || kind == Kind::Limits);
    let content: BTreeMap<&String, &Value> = fields.filter(|(key, _)| is_content(key)).collect();
    let json = serde_json::to_vec(&content).context(InvalidJsonSnafu)?;
    Ok(Bytes::from(json))
}

/// Checks the constraints that the schema cannot express. Also rejects items that the data plane could not parse: they
/// would be stored and acknowledged, but have no effect.
fn check_semantics(list: &'static str, item: &Item) -> Result<(), ValidationError> {
    let is_parseable = match item.kind {
        Kind::Route => match parse_value(item, Kind::Route) {
            Some(route) => {
                check_route(&item.name, &route)?;
                true
            }
            None => false,
        },
        Kind::Tenant => Tenant::from_item(item).is_some(),
        Kind::Service => Service::from_item(item).is_some(),
        _ => Limits::from_item(item).is_some(),
    };
    if !is_parseable {
        return reject_item(list, &item.name, "item", "cannot be parsed");
    }
    Ok(())
}

/// Checks the constraints on a route that the schema cannot express.
fn check_route(name: &str, route: &RouteJson) -> Result<(), ValidationError> {
    let list = ROUTES.name;
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return reject_item(list, name, "lane-prefix", "does not begin and end with a slash");
    }
    if route.target_ms.is_some_and(|target_ms| target_ms >= route.deadline_ms + MAX_TARGET_ABOVE_DEADLINE_MS)
    {
        return reject_item(list, name, "target-ms", "a minute or more above deadline-ms");
    }
    match &route.weighted_services {
        Some(weighted_services) => {
            // With an infinite sum, every service's share of the requests would be 0.
            let sum: f64 = weighted_services.iter().map(|weighted| weighted.weight).sum();
            if sum <= 0.0 || !sum.is_finite() {
                return reject_item(list, name, "share-list", "the shares' sum is 0 or beyond counting");
            }
        }
        None if route.service.is_none() => {
            return reject_item(list, name, "line", "neither line nor share-list");
        }
        None => {}
    }
    Ok(())
}

//! `diff`: compares a file's items with the running system's configuration.

use super::arguments::Arguments;
use super::change_file::{read_items, to_change_request};
use super::client;
use super::error::{CallSnafu, Error};
use super::output::{abbreviated, print, table};
use kitepass_config::{parse_change_request, Item, ItemStore, Kind, SchemaValidator};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::collections::BTreeSet;
use std::path::Path;

pub(super) fn run(arguments: &Arguments) -> Result<(), Error> {
    let addresses = arguments.control_addresses()?;
    let schema = SchemaValidator::new();
    let items = read_items(&schema, Path::new(&arguments.values[0]))?;
    let configuration = client::get_configuration(&addresses).context(CallSnafu)?;
    let request = to_change_request(&configuration);
    let mut current = ItemStore::new();
    for item in parse_change_request(&schema, &request).map_err(Error::unreadable)? {
        current.apply(item);
    }
    print(&comparison(&items, &current))
}

/// How a file's item relates to the current item, as decided by [`compare`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Relation {
    Newer,
    Older,
    Equal,
    Differs,
    Unknown,
}

impl Relation {
    const ALL: [Relation; 5] =
        [Relation::Newer, Relation::Older, Relation::Equal, Relation::Differs, Relation::Unknown];

    fn name(self) -> &'static str {
        match self {
            Relation::Newer => "newer",
            Relation::Older => "older",
            Relation::Equal => "equal",
            Relation::Differs => "differs",
            Relation::Unknown => "unknown",
        }
    }
}

fn compare(item: &Item, current: Option<&Item>) -> Relation {
    match current {
        None => Relation::Unknown,
        Some(current) if item.version > current.version => Relation::Newer,
        Some(current) if item.version < current.version => Relation::Older,
        Some(current) if item.value == current.value => Relation::Equal,
        Some(_) => Relation::Differs,
    }
}

/// Formats one row per item of the file, followed by a line with the totals.
fn comparison(items: &[Item], current: &ItemStore) -> String {
    let mut counts = [0; Relation::ALL.len()];
    let mut rows = Vec::new();
    for item in items {
        let current_item = current.get(item.kind, &item.name);
        let relation = compare(item, current_item);
        counts[relation as usize] += 1;
        rows.push(row(item, current_item, relation));
    }
    let totals: Vec<String> = Relation::ALL
        .iter()
        .map(|relation| format!("{} {}", counts[*relation as usize], relation.name()))
        .collect();
    let in_file: BTreeSet<(Kind, &str)> = items.iter().map(|item| (item.kind, &*item.name)).collect();
    let others = current.items().filter(|item| !in_file.contains(&(item.kind, &*item.name))).count();
    format!("{}{}; {others} standing items are not in the file\n", table(&rows), totals.join(", "))
}

fn row(item: &Item, current: Option<&Item>, relation: Relation) -> Vec<String> {
    let name = abbreviated(if item.name.is_empty() { "-" } else { &item.name });
    let mut row = vec![
        list_name(item.kind).to_owned(),
        name,
        relation.name().to_owned(),
        versions(item, current, relation),
    ];
    match (current, item.is_set()) {
        (_, false) => row.push("withdrawn".to_owned()),
        (Some(current), true) if matches!(relation, Relation::Newer | Relation::Differs) => {
            row.push(changed_fields(item, current));
        }
        _ => {}
    }
    row
}

/// Returns the name of the configuration's list that contains items of this kind.
fn list_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Route => "itineraries",
        Kind::Tenant => "customers",
        Kind::Service => "carrier-lines",
        _ => "weight-limits",
    }
}

fn versions(item: &Item, current: Option<&Item>, relation: Relation) -> String {
    let current =
        current.map_or_else(|| "nothing stands".to_owned(), |current| format!("r{}", current.version));
    match relation {
        Relation::Equal | Relation::Differs => current,
        _ => format!("{current} -> r{}", item.version),
    }
}

/// Formats the fields in which two versions of an item differ, as `field old -> new`.
fn changed_fields(item: &Item, current: &Item) -> String {
    let (new, old) = (fields(item), fields(current));
    let names: BTreeSet<&String> = new.keys().chain(old.keys()).collect();
    let changes: Vec<String> = names
        .into_iter()
        .filter(|name| new.get(*name) != old.get(*name))
        .map(|name| changed_field(item.kind, name, old.get(name), new.get(name)))
        .collect();
    if changes.is_empty() {
        "no field changes".to_owned()
    } else {
        changes.join(", ")
    }
}

fn fields(item: &Item) -> Map<String, Value> {
    item.value.as_deref().and_then(|value| serde_json::from_slice(value).ok()).unwrap_or_default()
}

fn changed_field(kind: Kind, name: &str, old: Option<&Value>, new: Option<&Value>) -> String {
    if kind == Kind::Tenant && name == "permits" {
        return format!("permits {}", changed_keys(old, new));
    }
    let text =
        |value: Option<&Value>| value.map_or("none".to_owned(), |value| abbreviated(&value.to_string()));
    format!("{} {} -> {}", abbreviated(name), text(old), text(new))
}

/// Formats how many keys of a tenant are added and removed. Invariant: keys are secrets and are never shown, because
/// terminal output ends up in tickets.
fn changed_keys(old: Option<&Value>, new: Option<&Value>) -> String {
    let keys = |value: Option<&Value>| -> BTreeSet<String> {
        value.and_then(Value::as_array).into_iter().flatten().map(Value::to_string).collect()
    };
    let (old, new) = (keys(old), keys(new));
    format!("{} added, {} taken away", new.difference(&old).count(), old.difference(&new).count())
}

//! `members`: shows the control plane's replicas and the gateways, as one control process sees them.

use super::arguments::Arguments;
use super::client;
use super::error::{CallSnafu, Error};
use super::output::{abbreviated, print, table};
use serde_json::Value;
use snafu::ResultExt;

pub(super) fn run(arguments: &Arguments) -> Result<(), Error> {
    let body = client::get_members(&arguments.control_addresses()?).context(CallSnafu)?;
    let members: Value = serde_json::from_slice(&body).map_err(Error::unreadable)?;
    if arguments.wants_json {
        return print(&format!("{members:#}\n"));
    }
    print(&format_members(&members))
}

fn format_members(members: &Value) -> String {
    let asked = text(&members["asked"]);
    let state = format!("{}, {}", text(&members["standing"]), singleton_roles(&members["duty"]));
    let contact = match describe_contact(members) {
        Some(contact) => format!(", {contact} by a majority"),
        None => String::new(),
    };
    let replicas = replica_table(members, &state);
    let gateways = gateway_table(members);
    format!("asked {asked}: {state}{contact}\n\n{replicas}\n{gateways}")
}

/// Formats the singleton roles held by the process that responded.
fn singleton_roles(roles: &Value) -> String {
    let held: Vec<String> = roles
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(_, is_held)| is_held.as_bool() == Some(true))
        .map(|(name, _)| abbreviated(name))
        .collect();
    if held.is_empty() {
        "no duty".to_owned()
    } else {
        format!("duty {}", held.join(", "))
    }
}

fn replica_table(members: &Value, own_state: &str) -> String {
    let mut rows = vec![header(&["core", "address", "district", "heard", "standing"])];
    for replica in list(members, "core") {
        let is_responder = replica["station"] == members["asked"];
        let state = if is_responder {
            own_state.to_owned()
        } else {
            describe_contact(replica).unwrap_or_else(|| "-".to_owned())
        };
        rows.push(vec![
            text(&replica["station"]),
            text(&replica["ip"]),
            text(&replica["district"]),
            yes_or_no(&replica["heard"]),
            state,
        ]);
    }
    table_or(&rows, "no core is known")
}

fn gateway_table(members: &Value) -> String {
    let mut rows = vec![header(&["gateway", "front", "district", "ready"])];
    for gateway in list(members, "gateways") {
        rows.push(vec![
            text(&gateway["station"]),
            text(&gateway["front"]),
            text(&gateway["district"]),
            yes_or_no(&gateway["ready"]),
        ]);
    }
    table_or(&rows, "no gateway has a session")
}

/// Formats a table, or the line `if_empty` if there are no rows besides the header.
fn table_or(rows: &[Vec<String>], if_empty: &str) -> String {
    if rows.len() > 1 {
        table(rows)
    } else {
        format!("{if_empty}\n")
    }
}

fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn list<'a>(members: &'a Value, name: &str) -> &'a [Value] {
    members[name].as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> String {
    value.as_str().map_or("-".to_owned(), abbreviated)
}

fn yes_or_no(value: &Value) -> String {
    if value.as_bool() == Some(true) { "yes" } else { "no" }.to_owned()
}

/// Formats how long ago a replica, or a majority, last received a message from the process that responded. Returns
/// `None` for processes of older versions, which do not report it.
fn describe_contact(report: &Value) -> Option<String> {
    let is_in_contact = report["contact"].as_bool()?;
    let age_s = report["contact-age-ms"].as_i64().map(|age| age as f64 / 1000.0);
    Some(match (is_in_contact, age_s) {
        (true, Some(age_s)) => format!("heard {age_s:.1} s ago"),
        (false, Some(age_s)) => format!("out of contact, heard {age_s:.1} s ago"),
        (_, None) => "out of contact, never heard".to_owned(),
    })
}

//! `get`: prints the newest configuration.

use super::arguments::Arguments;
use super::client;
use super::error::{CallSnafu, Error, FileSnafu};
use super::output::print;
use serde_json::Value;
use snafu::ResultExt;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Mode of a file that contains a configuration. Only its owner may read it, because a configuration contains tenants'
/// keys; with the default mode every user of the machine could read them.
const PRIVATE_FILE_MODE: u32 = 0o600;

pub(super) fn run(arguments: &Arguments) -> Result<(), Error> {
    let body = client::get_configuration(&arguments.control_addresses()?).context(CallSnafu)?;
    let configuration: Value = serde_json::from_slice(&body).map_err(Error::unreadable)?;
    let text = one_item_per_line(&configuration);
    match &arguments.output_file {
        Some(path) => write_private(path, &text),
        None => print(&text),
    }
}

fn write_private(path: &Path, text: &str) -> Result<(), Error> {
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(PRIVATE_FILE_MODE);
    let file = options.open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes())).context(FileSnafu { path })
}

/// Formats a configuration with one item per line, so that two configurations can be compared line by line.
fn one_item_per_line(configuration: &Value) -> String {
    let Value::Object(lists) = configuration else { return format!("{configuration}\n") };
    let lists: Vec<String> = lists.iter().map(|(name, list)| format_list(name, list)).collect();
    format!("{{\n{}\n}}\n", lists.join(",\n"))
}

fn format_list(name: &str, list: &Value) -> String {
    let name = Value::from(name);
    let Some(entries) = list["entries"].as_array().filter(|entries| !entries.is_empty()) else {
        return format!("  {name}: {list}");
    };
    let rows: Vec<String> = entries.iter().map(|entry| format!("      {entry}")).collect();
    format!(
        "  {name}: {{\n    \"headings\": {},\n    \"entries\": [\n{}\n    ]\n  }}",
        list["headings"],
        rows.join(",\n")
    )
}

//! Reads files with a configuration change: a change request, or a configuration printed by `get`.

use super::error::{Error, FileSnafu};
use kitepass_config::{parse_change_request, Item, SchemaValidator};
use serde_json::Value;
use snafu::ResultExt;
use std::path::Path;

/// Top-level keys of a configuration.
const CONFIGURATION_KEYS: [&str; 4] = ["itineraries", "customers", "carrier-lines", "weight-limits"];
/// Top-level keys of a change request.
const CHANGE_REQUEST_KEYS: [&str; 2] = ["deliver", "withdraw"];

/// Returns the change request in a file. A configuration is converted into a change request.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be read, [`Error::Invalid`] if it is not JSON.
pub(super) fn read_change_request(path: &Path) -> Result<Vec<u8>, Error> {
    let text = std::fs::read(path).context(FileSnafu { path })?;
    let value: Value = serde_json::from_slice(&text).map_err(|error| Error::Invalid {
        path: path.to_owned(),
        reason: format!("not whole JSON: {error}"),
    })?;
    let has_any = |keys: &[&str]| keys.iter().any(|key| value.get(key).is_some());
    if has_any(&CONFIGURATION_KEYS) && !has_any(&CHANGE_REQUEST_KEYS) {
        return Ok(to_change_request(&text));
    }
    Ok(text)
}

/// Returns the change request that sets all items of a configuration.
pub(super) fn to_change_request(configuration: &[u8]) -> Vec<u8> {
    [b"{\"deliver\":", configuration, b"}"].concat()
}

/// Returns the items of the change request in a file.
///
/// # Errors
///
/// The errors of [`read_change_request`], and [`Error::Invalid`] if an item is invalid.
pub(super) fn read_items(schema: &SchemaValidator, path: &Path) -> Result<Vec<Item>, Error> {
    let request = read_change_request(path)?;
    parse_change_request(schema, &request)
        .map_err(|error| Error::Invalid { path: path.to_owned(), reason: error.to_string() })
}

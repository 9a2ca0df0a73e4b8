//! Files with a change of the configuration: a change request, or what `get` printed.

use super::error::{Error, FileSnafu};
use kitepass_config::{parse_change_request, Item, SchemaValidator};
use serde_json::Value;
use snafu::ResultExt;
use std::path::Path;

/// The lists that a configuration consists of.
const CONFIGURATION_KEYS: [&str; 4] = ["itineraries", "customers", "carrier-lines", "weight-limits"];
/// The parts of a change request.
const CHANGE_REQUEST_KEYS: [&str; 2] = ["deliver", "withdraw"];

/// The change request in a file: as it is there, or made of a configuration.
///
/// # Errors
///
/// [`Error::File`] if it cannot be read, [`Error::Invalid`] if it is not JSON.
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

/// The change request that brings a whole configuration.
pub(super) fn to_change_request(configuration: &[u8]) -> Vec<u8> {
    [b"{\"deliver\":", configuration, b"}"].concat()
}

/// The items of a file's change request.
///
/// # Errors
///
/// Those of [`read_change_request`], and [`Error::Invalid`] if an item is not valid.
pub(super) fn read_items(schema: &SchemaValidator, path: &Path) -> Result<Vec<Item>, Error> {
    let request = read_change_request(path)?;
    parse_change_request(schema, &request)
        .map_err(|error| Error::Invalid { path: path.to_owned(), reason: error.to_string() })
}

//! Validates settings files against the JSON schema.

use super::error::{Error, InvalidFieldSnafu, SchemaSnafu};
use serde_json::Value;

const SCHEMA: &str = include_str!("../../schema/settings.json");

/// Validates parsed settings against the schema. The schema is compiled for each validation, because settings are read
/// rarely and keeping the compiled schema would waste memory.
///
/// # Errors
///
/// [`Error::InvalidField`] for the first violation.
pub(super) fn check(value: &Value) -> Result<(), Error> {
    let schema: Value = serde_json::from_str(SCHEMA).map_err(invalid_schema)?;
    let validator = jsonschema::validator_for(&schema).map_err(invalid_schema)?;
    validator.validate(value).map_err(|violation| {
        let path = violation.instance_path().as_str().trim_start_matches('/').replace('/', ".");
        let field = if path.is_empty() { "(top)".to_owned() } else { path };
        InvalidFieldSnafu { field, cause: violation.to_string() }.build()
    })
}

fn invalid_schema(error: impl std::fmt::Display) -> Error {
    SchemaSnafu { cause: error.to_string() }.build()
}

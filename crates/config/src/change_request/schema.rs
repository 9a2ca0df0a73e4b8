//! Validates change requests against the JSON schema.

use super::tables::LIMITS_KEY;
use crate::error::{InvalidItemSnafu, InvalidStructureSnafu, ValidationError};
use crate::item::Kind;
use jsonschema::{ValidationError as SchemaError, Validator};
use serde_json::{json, Value};

const SCHEMA: &str = include_str!("../../schema/configuration.json");

/// Text quoted in error messages is truncated to this many characters, so that a huge name does not produce a huge log
/// line.
const MAX_QUOTED_CHARS: usize = 200;

/// The compiled JSON schema. Compilation takes a few milliseconds, so instances should be reused.
#[derive(Debug)]
pub struct SchemaValidator {
    change: Validator,
    removal: Validator,
    route: Validator,
    tenant: Validator,
    service: Validator,
    limits: Validator,
}

impl Default for SchemaValidator {
    fn default() -> SchemaValidator {
        SchemaValidator::new()
    }
}

impl SchemaValidator {
    /// Compiles the schema.
    ///
    /// # Panics
    /// If the embedded schema is invalid; tests ensure that it is valid.
    pub fn new() -> SchemaValidator {
        let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
        let definition = |name: &str| {
            let mut schema = schema.clone();
            schema["$ref"] = json!(format!("#/$defs/{name}"));
            jsonschema::validator_for(&schema).expect("the schema compiles")
        };
        SchemaValidator {
            change: definition("call"),
            removal: definition("withdrawal"),
            route: definition("itinerary"),
            tenant: definition("customer"),
            service: definition("carrier-line"),
            limits: definition(LIMITS_KEY),
        }
    }

    /// Checks the structure of a change request outside its items. Rejects unknown tables, since their items would be
    /// acknowledged and then lost.
    pub(super) fn check_structure(&self, change: &Value) -> Result<(), ValidationError> {
        self.change.validate(change).map_err(|error| {
            let SchemaViolation { path, reason } = SchemaViolation::new(&error);
            let path = if path.is_empty() { "call".to_owned() } else { path };
            InvalidStructureSnafu { path, reason }.build()
        })
    }

    /// Checks a request to remove an item of `table`.
    pub(super) fn check_removal(&self, table: &'static str, removal: &Value) -> Result<(), ValidationError> {
        check(&self.removal, table, removal)
    }

    /// Checks an item to set. `kind` must be one that operators can set.
    pub(super) fn check_item(
        &self,
        kind: Kind,
        table: &'static str,
        item: &Value,
    ) -> Result<(), ValidationError> {
        let validator = match kind {
            Kind::Route => &self.route,
            Kind::Tenant => &self.tenant,
            Kind::Service => &self.service,
            _ => &self.limits,
        };
        check(validator, table, item)
    }
}

fn check(validator: &Validator, table: &'static str, object: &Value) -> Result<(), ValidationError> {
    // `is_valid` is several times faster than `validate`, which is only needed for the error message.
    if validator.is_valid(object) {
        return Ok(());
    }
    validator.validate(object).or_else(|error| {
        let SchemaViolation { path, reason } = SchemaViolation::new(&error);
        let field = if path.is_empty() { "item" } else { &path };
        reject_item(table, object["name"].as_str().unwrap_or_default(), field, reason)
    })
}

/// A schema violation. It does not include the invalid value, which may be a tenant's API key.
struct SchemaViolation {
    /// The dotted path of the invalid field; empty for the checked object itself.
    path: String,
    reason: String,
}

impl SchemaViolation {
    fn new(error: &SchemaError) -> SchemaViolation {
        let path = error.instance_path().to_string().trim_start_matches('/').replace('/', ".");
        SchemaViolation { path: truncate(&path), reason: truncate(&error.masked().to_string()) }
    }
}

/// Truncates text for quoting in an error message.
pub(super) fn truncate(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// Returns an error for an invalid item.
pub(super) fn reject_item<T>(
    list: &'static str,
    name: &str,
    field: &str,
    reason: impl Into<String>,
) -> Result<T, ValidationError> {
    InvalidItemSnafu { list, name: truncate(name), field, reason }.fail()
}

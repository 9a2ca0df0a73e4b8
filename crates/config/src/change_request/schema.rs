//! The JSON schema of changes, compiled.

use super::tables::LIMITS_KEY;
use crate::error::{InvalidItemSnafu, LayoutSnafu, ValidationError};
use crate::item::Kind;
use jsonschema::{ValidationError as SchemaError, Validator};
use serde_json::{json, Value};

const SCHEMA: &str = include_str!("../../schema/configuration.json");

/// What an error quotes is cut here, so that a huge name makes no huge log line. Characters.
const MAX_QUOTED_CHARS: usize = 200;

/// The compiled schema. Compiling takes a few milliseconds: make one, and reuse it.
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
    /// If the built-in schema is not valid, which the tests rule out.
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

    /// Checks the structure around the items. An unknown table is an error, as its items would be acknowledged and
    /// lost.
    pub(super) fn check_layout(&self, change: &Value) -> Result<(), ValidationError> {
        self.change.validate(change).map_err(|error| {
            let SchemaViolation { path, reason } = SchemaViolation::new(&error);
            let at = if path.is_empty() { "call".to_owned() } else { path };
            LayoutSnafu { at, reason }.build()
        })
    }

    /// Checks the removal of an item in this table.
    pub(super) fn check_removal(&self, table: &'static str, removal: &Value) -> Result<(), ValidationError> {
        check(&self.removal, table, removal)
    }

    /// Checks an item of a kind that operators set.
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
    // `is_valid` is several times faster than `validate`, which is only for the message.
    if validator.is_valid(object) {
        return Ok(());
    }
    validator.validate(object).or_else(|error| {
        let SchemaViolation { path, reason } = SchemaViolation::new(&error);
        let field = if path.is_empty() { "item" } else { &path };
        reject_item(table, object["name"].as_str().unwrap_or_default(), field, reason)
    })
}

/// What violates the schema, and where. The value itself stays out: it may be a tenant's key.
struct SchemaViolation {
    /// Dotted; "" for the object that was checked.
    path: String,
    reason: String,
}

impl SchemaViolation {
    fn new(error: &SchemaError) -> SchemaViolation {
        let path = error.instance_path().to_string().trim_start_matches('/').replace('/', ".");
        SchemaViolation { path: quoted(&path), reason: quoted(&error.masked().to_string()) }
    }
}

/// The start of a text, short enough to be quoted.
pub(super) fn quoted(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// An error about one item.
pub(super) fn reject_item<T>(
    list: &'static str,
    name: &str,
    field: &str,
    reason: impl Into<String>,
) -> Result<T, ValidationError> {
    InvalidItemSnafu { list, name: quoted(name), field, reason }.fail()
}

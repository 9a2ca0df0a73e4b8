//! Parses the in-service gateway's settings: a JSON object with fields for the policy ([`GatewayConfig`]) and for
//! connections ([`ConnectionSettings`]). Unknown fields are ignored, absent ones have defaults, and times are decimal
//! seconds.
//!
//! The settings format defines the field names. Only this crate translates them to the gateway's own terms.

use kitepass_gateway_policy::{GatewayConfig, Idempotency, Plan, Scope, SlowStart, Workload};
use kitepass_time::Duration;
use serde_json::Value;
use std::fmt;
use std::rc::Rc;

/// The reason why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The text is not JSON.
    NotJson {
        /// Name of the settings object at its source.
        field: String,
        /// The JSON parser's error.
        reason: String,
    },
    /// A field has a value of the wrong type or out of range.
    Unexpected {
        /// Path of the field.
        field: String,
        /// The expected kind of value.
        expected: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NotJson { field, reason } => write!(f, "{field}: expected JSON, {reason}"),
            SettingsError::Unexpected { field, expected } => write!(f, "{field}: expected {expected}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl From<SettingsError> for String {
    fn from(error: SettingsError) -> String {
        error.to_string()
    }
}

/// Settings for connections and their timeouts.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// Idle time after which backends close a connection.
    pub idle_timeout: Duration,
    /// Time after a client's deadline during which a final response is still accepted.
    pub deadline_grace: Duration,
}

/// Parses the settings object from JSON text. `field` is its name at the source, for error messages.
///
/// # Errors
///
/// If the text is not JSON, or a field has the wrong type or is out of range.
pub fn from_text(field: &str, text: &str) -> Result<(GatewayConfig, ConnectionSettings), SettingsError> {
    let all = serde_json::from_str(text)
        .map_err(|e| SettingsError::NotJson { field: field.to_owned(), reason: e.to_string() })?;
    from_value(field, &all)
}

/// Parses the settings object from a value within a larger JSON text. `field` is its name there, for error messages.
///
/// # Errors
///
/// If the value is not an object, or a field has the wrong type or is out of range.
pub fn from_value(field: &str, all: &Value) -> Result<(GatewayConfig, ConnectionSettings), SettingsError> {
    if !all.is_object() {
        return Err(SettingsError::Unexpected { field: field.to_owned(), expected: "a JSON object" });
    }
    let section = |value, name: &str| Section { path: format!("{field}{name}"), value };
    let top = section(all, "");
    let caps = section(&all["Caps"], ".Caps");
    let family_info = section(&all["FamilyInfo"], ".FamilyInfo");
    let safety = section(&all["Safety"], ".Safety");
    let has_counter = family_info.flag("SharedCounter")?;
    let advises_retries = caps.flag("RetryAfter")?;
    let has_peers = caps.flag("PeerMessages")?;
    let config = GatewayConfig {
        gateways: top.number("ReplicasOfMe", 1.0)?.max(1.0) as u32,
        gateway_index: top.number("Me", 0.0)? as u32,
        workloads: top.entries("Classes")?.iter().map(workload).collect::<Result<_, _>>()?,
        plans: top.entries("Plans")?.iter().map(|p| plan(p).map(Rc::new)).collect::<Result<_, _>>()?,
        counter_timeout: has_counter.then(|| family_info.duration("CounterTimeout", 0.05)).transpose()?,
        max_units: family_info.number("MaxUnits", 1.0)?.max(1.0),
        max_attempts: caps.number("TryLimit", 1.0)?.max(1.0) as u32,
        max_peer_messages: if has_peers { family_info.number("MailPerS", 0.0)? } else { 0.0 },
        max_retry_after: advises_retries.then(|| caps.duration("MaxRetryAfter", 1.0)).transpose()?,
        slow_start: SlowStart {
            initial_capacity: safety.number("ColdFrom", 1.0)?,
            ramp: safety.duration("WarmWithin", 0.0)?,
            multiple: safety.number("FallMultiple", 1.0)?,
            window: safety.duration("Fall", 1.0)?,
        },
    };
    let connection_settings = ConnectionSettings {
        connect_timeout: caps.duration("ConnectTimeout", 0.25)?,
        idle_timeout: caps.duration("ConnIdle", 15.0)?,
        deadline_grace: safety.duration("AnswerSlack", 0.016)?,
    };
    Ok((config, connection_settings))
}

/// Parses an entry of `Classes`.
fn workload(entry: &Section) -> Result<Workload, SettingsError> {
    let scope = match entry.text("Group", "all")? {
        "zone" => Scope::Zone,
        "cell" => Scope::Cell,
        _ => Scope::All,
    };
    Ok(Workload {
        name: entry.text("Name", "")?.to_owned(),
        idempotency: match entry.text("Effect", "fragile")? {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::Deduplicated { scope, window: entry.duration("Window", 0.0)? },
            _ => Idempotency::NonIdempotent,
        },
        latency_target: entry.duration("Objective", 1.0)?,
        late_value: entry.number("LateWorth", 0.0)?,
        value: entry.number("Gain", 1.0)?,
    })
}

/// Parses an entry of `Plans`.
fn plan(entry: &Section) -> Result<Plan, SettingsError> {
    Ok(Plan {
        name: entry.text("Name", "")?.to_owned(),
        rate: entry.number("Refill", 0.0)?,
        burst: entry.number("StoreSize", 0.0)?,
        max_in_flight: entry.number("Open", 0.0)? as u32,
        hard_rate: entry.number("CeilingRate", 0.0)?,
        hard_burst: entry.number("NeverOverDepth", 0.0)?,
    })
}

/// An object within the settings, with its path for error messages.
struct Section<'a> {
    path: String,
    value: &'a Value,
}

impl<'a> Section<'a> {
    /// Returns the elements of an array, or none if the field is absent.
    fn entries(&self, key: &str) -> Result<Vec<Section<'a>>, SettingsError> {
        let section = |(n, value)| Section { path: format!("{}.{key}[{n}]", self.path), value };
        match &self.value[key] {
            Value::Null => Ok(Vec::new()),
            Value::Array(entries) => Ok(entries.iter().enumerate().map(section).collect()),
            _ => Err(self.unexpected(key, "an array")),
        }
    }

    /// Returns a number from 0 to below 1e9, or `default` if the field is absent.
    fn number(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        match &self.value[key] {
            Value::Null => Ok(default),
            value => {
                let number = value.as_f64().filter(|number| (0.0..1e9).contains(number));
                number.ok_or_else(|| self.unexpected(key, "a number from 0 to below 1e9"))
            }
        }
    }

    /// Returns a duration, given in seconds and rounded to microseconds; `default` seconds if the field is absent.
    fn duration(&self, key: &str, default: f64) -> Result<Duration, SettingsError> {
        self.number(key, default).map(|seconds| Duration::from_micros((seconds * 1e6).round() as i64))
    }

    /// Returns a flag, or false if the field is absent.
    fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match &self.value[key] {
            Value::Null => Ok(false),
            value => value.as_bool().ok_or_else(|| self.unexpected(key, "true or false")),
        }
    }

    /// Returns a string, or `default` if the field is absent.
    fn text(&self, key: &str, default: &'static str) -> Result<&'a str, SettingsError> {
        match &self.value[key] {
            Value::Null => Ok(default),
            value => value.as_str().ok_or_else(|| self.unexpected(key, "text")),
        }
    }

    /// Creates the error for an invalid field of this section.
    fn unexpected(&self, key: &str, expected: &'static str) -> SettingsError {
        SettingsError::Unexpected { field: format!("{}.{key}", self.path), expected }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_name_the_field_and_the_expected_value() {
        let read = |text| from_text("Options", text);
        for (text, expected) in [
            ("[1]", "Options: expected a JSON object"),
            ("{", "Options: expected JSON"),
            (r#"{"Plans":[{},{"Refill":"x"}]}"#, "Options.Plans[1].Refill: expected a number"),
            (r#"{"Caps":{"ConnIdle":-1}}"#, "Options.Caps.ConnIdle: expected a number from 0"),
            (r#"{"Classes":{}}"#, "Options.Classes: expected an array"),
            (r#"{"Caps":{"RetryAfter":1}}"#, "Options.Caps.RetryAfter: expected true or false"),
        ] {
            let error = read(text).expect_err(text).to_string();
            assert!(error.starts_with(expected), "{error}");
        }
    }

    #[test]
    fn absent_fields_have_defaults_and_unknown_ones_are_ignored() {
        let (config, connection_settings) = from_text("s", r#"{"Unknown":{},"ReplicasOfMe":3}"#).unwrap();
        assert_eq!((config.gateways, config.counter_timeout), (3, None));
        assert_eq!(connection_settings.idle_timeout, Duration::from_secs(15));
    }
}

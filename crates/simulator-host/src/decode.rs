//! Decodes lines of the simulator protocol into the policy's types. The protocol defines the names of fields and
//! values.

use kitepass_gateway_config::SettingsError;
use kitepass_gateway_policy::{AttemptOutcome, BackendEntry, BackendStatus, GatewayConfig, Reading};
use kitepass_time::{Duration, Timestamp};
use std::fmt;

/// The reason why a line is invalid.
#[derive(Debug)]
pub(crate) enum InvalidLine {
    /// The rest of the line is not in the form `name=value`.
    Syntax {
        /// The beginning of the rest.
        found: String,
    },
    /// A required field is absent or empty.
    Missing {
        /// The name of the field.
        field: String,
    },
    /// A field has an invalid value.
    Field {
        /// The name of the field.
        field: String,
        /// The expected kind of value.
        expected: String,
        /// The value found, in quotes if it is text.
        found: String,
    },
    /// Another line appears before the last `ITEM` line of a list.
    IncompleteList {
        /// Number of missing `ITEM` lines.
        missing: usize,
    },
    /// The line's name is not a known event.
    UnknownEvent,
    /// The settings are invalid.
    Settings(SettingsError),
}

impl InvalidLine {
    /// Creates the error for an invalid field.
    pub(crate) fn field(field: &str, expected: impl Into<String>, found: String) -> Self {
        InvalidLine::Field { field: field.to_owned(), expected: expected.into(), found }
    }

    /// Creates the error for an invalid text value, which is truncated.
    fn value(field: &str, expected: &str, found: &str) -> Self {
        Self::field(field, expected, format!("'{}'", truncate(found)))
    }

    /// Creates the error for text that is not in the form `name=value`.
    fn syntax(found: &str) -> Self {
        InvalidLine::Syntax { found: truncate(found).to_owned() }
    }
}

impl fmt::Display for InvalidLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidLine::Syntax { found } => write!(f, "'{found}': expected name=value"),
            InvalidLine::Missing { field } => write!(f, "{field}: expected a value, found none"),
            InvalidLine::Field { field, expected, found } => {
                write!(f, "{field}: expected {expected}, found {found}")
            }
            InvalidLine::IncompleteList { missing } => {
                write!(f, "in a list: expected {missing} more ITEM lines")
            }
            InvalidLine::UnknownEvent => write!(f, "expected an event"),
            InvalidLine::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for InvalidLine {}

/// The fields of one line, in order.
pub(crate) struct Fields<'a>(Vec<(&'a str, &'a str)>);

/// Field with the settings. It is the only one whose value may contain spaces and extends to the end of the line.
const SETTINGS_FIELD: &str = "Options";

impl<'a> Fields<'a> {
    /// Parses `name=value` pairs separated by single spaces.
    pub(crate) fn parse(mut rest: &'a str) -> Result<Self, InvalidLine> {
        let mut fields = Vec::with_capacity(10);
        while !rest.is_empty() {
            let Some((name, value)) = rest.split_once('=') else {
                return Err(InvalidLine::syntax(rest));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(InvalidLine::syntax(rest));
            }
            let (value, after) = match value.split_once(' ') {
                Some(parts) if name != SETTINGS_FIELD => parts,
                _ => (value, ""),
            };
            fields.push((name, value));
            rest = after;
        }
        Ok(Fields(fields))
    }

    /// Returns a field's value, the first one if there are several.
    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// Returns a text that must not be empty.
    pub(crate) fn text(&self, name: &str) -> Result<&'a str, InvalidLine> {
        match self.get(name) {
            Some(value) if !value.is_empty() => Ok(value),
            _ => Err(InvalidLine::Missing { field: name.to_owned() }),
        }
    }

    /// Returns a timestamp of the simulator's clock, in decimal seconds.
    pub(crate) fn timestamp(&self, name: &str) -> Result<Timestamp, InvalidLine> {
        parse_micros(name, self.text(name)?).map(Timestamp::from_micros)
    }

    /// Returns a duration in decimal seconds, or zero if the field is absent.
    pub(crate) fn duration_or_zero(&self, name: &str) -> Result<Duration, InvalidLine> {
        self.get(name)
            .map_or(Ok(Duration::ZERO), |value| parse_micros(name, value).map(Duration::from_micros))
    }

    /// Returns a finite number, or `default` if the field is absent.
    pub(crate) fn number_or(&self, name: &str, default: f64) -> Result<f64, InvalidLine> {
        let Some(value) = self.get(name) else {
            return Ok(default);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err(InvalidLine::value(name, "a number", value)),
        }
    }

    /// Returns an integer in the range of its type.
    pub(crate) fn integer<T: std::str::FromStr>(&self, name: &str) -> Result<T, InvalidLine> {
        let value = self.text(name)?;
        value.parse().map_err(|_| InvalidLine::value(name, "a whole number", value))
    }

    /// Returns a flag, `1` or `0`; false if the field is absent.
    pub(crate) fn flag(&self, name: &str) -> Result<bool, InvalidLine> {
        match self.get(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(InvalidLine::value(name, "1 or 0", other)),
        }
    }
}

/// Truncates a text to 40 characters for error messages.
fn truncate(text: &str) -> &str {
    text.char_indices().nth(40).map_or(text, |(end, _)| &text[..end])
}

/// Converts decimal seconds to microseconds without rounding errors; further decimal places are truncated.
fn parse_micros(name: &str, text: &str) -> Result<i64, InvalidLine> {
    let invalid = || InvalidLine::value(name, "a time in seconds", text);
    let (is_negative, digits) = text.strip_prefix('-').map_or((false, text), |rest| (true, rest));
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let is_decimal = |s: &str| s.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || !is_decimal(whole) || !is_decimal(fraction) {
        // Another notation, for example with an exponent.
        let seconds = text.parse::<f64>().ok().filter(|s| s.abs() < 1e12).ok_or_else(invalid)?;
        return Ok((seconds * 1e6).round() as i64);
    }
    let mut total = whole.parse::<i64>().ok().and_then(|s| s.checked_mul(1_000_000)).ok_or_else(invalid)?;
    let mut digit_value = 100_000;
    for digit in fraction.bytes().take(6) {
        total += i64::from(digit - b'0') * digit_value;
        digit_value /= 10;
    }
    Ok(if is_negative { -total } else { total })
}

/// Decodes the outcome of an attempt or of a call to the counter service.
pub(crate) fn attempt_outcome(fields: &Fields) -> Result<AttemptOutcome, InvalidLine> {
    Ok(match fields.text("Ending")? {
        "served" => AttemptOutcome::Completed,
        "server_error" => AttemptOutcome::Failed,
        "turned_away" => AttemptOutcome::Rejected,
        "no_answer" => AttemptOutcome::TimedOut,
        "no_connection" => AttemptOutcome::Unreachable,
        "connection_lost" => AttemptOutcome::ConnectionLost,
        "called_off" => AttemptOutcome::Cancelled,
        "not_sent" => AttemptOutcome::NotSent,
        other => return Err(InvalidLine::value("Ending", "an outcome", other)),
    })
}

/// Decodes the result of a call to the counter service.
pub(crate) fn reading(fields: &Fields) -> Result<Reading, InvalidLine> {
    let sum = fields.number_or("Sum", 0.0)?;
    Ok(match attempt_outcome(fields)? {
        AttemptOutcome::Completed => Reading::Known(sum),
        outcome if outcome.never_ran() => Reading::NotAdded,
        _ => Reading::Unknown,
    })
}

/// Decodes an `ITEM` line, which describes a backend.
pub(crate) fn backend_entry(fields: &Fields) -> Result<BackendEntry, InvalidLine> {
    let started = fields.duration_or_zero("Born")?;
    Ok(BackendEntry {
        id: fields.text("Backend")?.to_owned(),
        zone: fields.get("Campus").unwrap_or_default().to_owned(),
        cell: fields.number_or("Pod", 0.0)? as i64,
        status: match fields.text("Status")? {
            "live" => BackendStatus::Live,
            "quiescing" => BackendStatus::Draining,
            "dead" => BackendStatus::Removed,
            other => return Err(InvalidLine::value("Status", "a standing", other)),
        },
        weight: Some(fields.number_or("Nominal", 1.0)?).filter(|weight| *weight > 0.0).unwrap_or(1.0),
        started: Some(Timestamp::from_micros(started.as_micros())).filter(|_| started > Duration::ZERO),
    })
}

/// Decodes the policy's part of the settings.
pub(crate) fn config(fields: &Fields) -> Result<GatewayConfig, InvalidLine> {
    kitepass_gateway_config::from_text(SETTINGS_FIELD, fields.text(SETTINGS_FIELD)?)
        .map(|(config, _)| config)
        .map_err(InvalidLine::Settings)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_exact_to_the_microsecond() {
        let read = |text| parse_micros("T", text).unwrap();
        assert_eq!(read("8.41225"), 8_412_250);
        assert_eq!(read("1234567.000001"), 1_234_567_000_001);
        assert_eq!(read("-0.5"), -500_000);
        assert_eq!(read("1e-3"), 1_000);
        for wrong in ["", "soon", ".", "1.2.3", "nan", "99999999999999999999"] {
            assert!(
                parse_micros("T", wrong).unwrap_err().to_string().starts_with("T: expected a time"),
                "{wrong}"
            );
        }
    }

    #[test]
    fn fields_come_in_any_order_and_settings_run_to_the_end() {
        let fields = Fields::parse("B=2 A=x= Options={\"a b\": 1}").unwrap();
        assert_eq!((fields.get("A"), fields.get("B"), fields.get("C")), (Some("x="), Some("2"), None));
        assert_eq!(fields.get("Options"), Some("{\"a b\": 1}"));
        assert!(Fields::parse("A=1 loose").is_err());
    }
}

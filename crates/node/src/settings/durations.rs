//! Deserializes durations of the settings file, which are integers or decimals in the unit given by the setting's
//! suffix.

use serde::{Deserialize, Deserializer};
use std::time::Duration;

const MILLIS_PER_SECOND: f64 = 1e3;

/// Deserializes a number of milliseconds.
pub(super) fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    duration(deserializer, MILLIS_PER_SECOND)
}

/// Deserializes a number of seconds.
pub(super) fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    duration(deserializer, 1.0)
}

/// Deserializes a number of milliseconds for an optional setting.
pub(super) fn optional_millis<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    millis(deserializer).map(Some)
}

/// Deserializes a number of seconds for an optional setting.
pub(super) fn optional_seconds<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    seconds(deserializer).map(Some)
}

/// Deserializes a number in units of 1 / `units_per_second` seconds. The schema allows only numbers that fit in a
/// [`Duration`]; any other results in an error rather than a panic.
fn duration<'de, D: Deserializer<'de>>(deserializer: D, units_per_second: f64) -> Result<Duration, D::Error> {
    let number = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(number / units_per_second).map_err(serde::de::Error::custom)
}

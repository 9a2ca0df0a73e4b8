//! Times in the settings file: numbers, whole or not, in the unit that the setting's name ends with.

use serde::{Deserialize, Deserializer};
use std::time::Duration;

const MILLIS_PER_SECOND: f64 = 1e3;

/// Reads a number of milliseconds.
pub(super) fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    duration(deserializer, MILLIS_PER_SECOND)
}

/// Reads a number of seconds.
pub(super) fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    duration(deserializer, 1.0)
}

/// Reads a number of milliseconds for a setting that may be left out.
pub(super) fn optional_millis<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    millis(deserializer).map(Some)
}

/// Reads a number of seconds for a setting that may be left out.
pub(super) fn optional_seconds<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    seconds(deserializer).map(Some)
}

/// Reads a number of units of which a second has `units_per_second`. The schema admits only numbers from 0 that a
/// duration can hold; any other is an error and no panic.
fn duration<'de, D: Deserializer<'de>>(deserializer: D, units_per_second: f64) -> Result<Duration, D::Error> {
    let number = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(number / units_per_second).map_err(serde::de::Error::custom)
}

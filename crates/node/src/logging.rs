//! Logging to standard error, with one line per event.

use std::fmt;
use std::io::Write;
use std::time::Instant;

use log::LevelFilter;

/// The environment variable for the log level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
pub const LOG_VARIABLE: &str = "KITEPASS_LOG";

/// Returns the log level from [`LOG_VARIABLE`], or `info` if it is unset or invalid.
pub fn level_from_env() -> LevelFilter {
    let level = std::env::var(LOG_VARIABLE).ok();
    level.and_then(|level| level.trim().parse().ok()).unwrap_or(LevelFilter::Info)
}

/// Installs a logger that writes one line per event to standard error:
/// `t=<seconds since this call, monotonic> level=info at=<target> <message>`. Messages consist of `key=value` fields
/// (see [`log_field`]). Further calls in the same process have no effect, not even on the level.
pub fn log_to_stderr(level: LevelFilter) {
    let start = Instant::now();
    let result = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let message = escape_control_characters(&message.to_string());
            out.finish(format_args!(
                "t={:.6} level={level} at={} {message}",
                start.elapsed().as_secs_f64(),
                record.target()
            ));
        })
        .chain(fern::Output::call(write_to_stderr))
        .apply();
    if result.is_err() {
        log::warn!("event=logger-already-set");
    }
}

/// Writes a line and ignores errors. If the reader of a pipe is gone, the line is lost, whereas `fern`'s own output
/// would panic and so terminate the process.
fn write_to_stderr(record: &log::Record<'_>) {
    let line = format!("{}\n", record.args());
    let _ = std::io::stderr().lock().write_all(line.as_bytes());
}

/// Escapes control characters. Otherwise a line break in untrusted text could be used to forge log lines.
fn escape_control_characters(message: &str) -> String {
    let mut escaped = String::with_capacity(message.len());
    for character in message.chars() {
        if character.is_control() {
            escaped.extend(character.escape_default());
        } else {
            escaped.push(character);
        }
    }
    escaped
}

/// A log field, displayed as `key=value`. Created by [`log_field`].
#[derive(Clone, Copy, Debug)]
pub struct LogField<'a, V> {
    key: &'a str,
    value: V,
}

/// Creates a log field, displayed as `key=value`. The value is quoted and escaped if it is empty or contains
/// whitespace, quotes, `=` or control characters.
///
/// ```
/// assert_eq!(kitepass_node::log_field("error", "no such file").to_string(), "error=\"no such file\"");
/// ```
pub fn log_field<V: fmt::Display>(key: &str, value: V) -> LogField<'_, V> {
    LogField { key, value }
}

impl<V: fmt::Display> fmt::Display for LogField<'_, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (key, value) = (self.key, self.value.to_string());
        if needs_quotes(&value) {
            write!(f, "{key}={value:?}")
        } else {
            write!(f, "{key}={value}")
        }
    }
}

fn needs_quotes(value: &str) -> bool {
    let is_special = |c: char| c.is_whitespace() || c.is_control() || c == '"' || c == '=';
    value.is_empty() || value.contains(is_special)
}

//! One line an event on standard error.

use std::fmt;
use std::io::Write;
use std::time::Instant;

use log::LevelFilter;

/// The variable that names the level: `off`, `error`, `warn`, `info`, `debug` or `trace`.
pub const LOG_VARIABLE: &str = "KITEPASS_LOG";

/// The level that [`LOG_VARIABLE`] names; `info` where it is unset or says something else.
pub fn level_from_env() -> LevelFilter {
    std::env::var(LOG_VARIABLE).ok().and_then(|level| level.trim().parse().ok()).unwrap_or(LevelFilter::Info)
}

/// Sends the log to standard error, one line an event:
/// `t=<seconds since this call, steady> level=info at=<target> <message>`. Messages are pairs already, see
/// [`pair`]. A second call in one process changes nothing, not even the level.
pub fn log_to_stderr(level: LevelFilter) {
    let start = Instant::now();
    let set = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let line = one_line(&message.to_string());
            out.finish(format_args!(
                "t={:.6} level={level} at={} {line}",
                start.elapsed().as_secs_f64(),
                record.target()
            ));
        })
        // Not `fern`'s own output for standard error: that one panics when the pipe's reader is gone, which
        // would end the whole process for a line of log. Here the line is lost and the process lives on.
        .chain(fern::Output::call(|record| {
            let line = format!("{}\n", record.args());
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        }))
        .apply();
    if set.is_err() {
        log::warn!("event=log_set_twice");
    }
}

/// Turns control characters into escapes. Danger: text from elsewhere with a line break in it would forge a
/// line of log.
fn one_line(message: &str) -> String {
    let mut line = String::with_capacity(message.len());
    for c in message.chars() {
        if c.is_control() {
            line.extend(c.escape_default());
        } else {
            line.push(c);
        }
    }
    line
}

/// A key and its value, to be shown as `key=value`; made by [`pair`].
#[derive(Clone, Copy, Debug)]
pub struct Pair<'a, V>(&'a str, V);

/// Shows as `key=value`; the value in quotes, escaped, where it is empty or has spaces, quotes, `=` or control
/// characters in it.
///
/// ```
/// assert_eq!(kitepass_node::pair("error", "no such file").to_string(), "error=\"no such file\"");
/// ```
pub fn pair<V: fmt::Display>(key: &str, value: V) -> Pair<'_, V> {
    Pair(key, value)
}

impl<V: fmt::Display> fmt::Display for Pair<'_, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.1.to_string();
        let odd = |c: char| c.is_whitespace() || c.is_control() || c == '"' || c == '=';
        if value.is_empty() || value.contains(odd) {
            write!(f, "{}={value:?}", self.0)
        } else {
            write!(f, "{}={value}", self.0)
        }
    }
}

//! `evacuate`: starts or ends the evacuation of a zone, during which its backends receive no requests.

use super::arguments::Arguments;
use super::client::{self, Evacuation};
use super::error::{CallSnafu, Error, UsageSnafu};
use super::output::print;
use snafu::{ensure, ResultExt};

pub(super) fn run(arguments: &Arguments) -> Result<(), Error> {
    let addresses = arguments.control_addresses()?;
    let (evacuation, done) = match arguments.values[0].as_str() {
        "start" => (Evacuation::Start, "started"),
        "end" => (Evacuation::End, "ended"),
        other => {
            return UsageSnafu { reason: format!("evacuate: start or end, not {other:?}") }.fail();
        }
    };
    let zone = &arguments.values[1];
    ensure!(is_zone_name(zone), UsageSnafu { reason: format!("evacuate: {zone:?} is no zone's name") });
    client::evacuate(&addresses, evacuation, zone).context(CallSnafu)?;
    print(&format!("{zone}: evacuation {done}\n"))
}

/// Returns whether a text is safe to use as a zone name in a request path. Invariant: spaces, slashes or line breaks
/// would turn the request into a different one.
fn is_zone_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte))
}

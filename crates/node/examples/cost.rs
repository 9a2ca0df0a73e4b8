//! Prints what reading a settings file costs: the first time of a process, and the mean after it.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use std::time::Instant;

fn main() {
    let text = include_str!("../tests/every_field.toml");
    let read = || kitepass_node::Settings::from_text(text).map(|s| s.peer_ports);
    let start = Instant::now();
    let first = read();
    println!("event=first us={} sidings={first:?}", start.elapsed().as_micros());
    let start = Instant::now();
    let good = (0..100).filter(|_| read().is_ok()).count();
    println!("event=mean us={} good={good}", start.elapsed().as_micros() / 100);
    kitepass_node::log_to_stderr(kitepass_node::level_from_env());
    log::info!("event=logged {}", kitepass_node::pair("text", "two words"));
}

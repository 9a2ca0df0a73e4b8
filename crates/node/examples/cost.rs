//! Prints the time in microseconds to parse a settings file: for the first time in a process, and the mean afterwards.

use std::time::Instant;

fn main() {
    let text = include_str!("../tests/every_field.toml");
    let parse = || kitepass_node::Settings::from_text(text).map(|settings| settings.peer_ports);
    let start = Instant::now();
    let first = parse();
    println!("event=first us={} peer-ports={first:?}", start.elapsed().as_micros());
    let start = Instant::now();
    let valid = (0..100).filter(|_| parse().is_ok()).count();
    println!("event=mean us={} valid={valid}", start.elapsed().as_micros() / 100);
    kitepass_node::log_to_stderr(kitepass_node::level_from_env());
    log::info!("event=logged {}", kitepass_node::log_field("text", "two words"));
}

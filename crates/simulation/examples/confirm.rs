//! How long a change takes to be confirmed, and what it costs: alone and with eight callers, by the delay between seats.
//! `cargo run --release -p kitepass-ordeal --example confirm`

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_config::Kind;
use kitepass_simulation::history::AnswerStatus;
use kitepass_simulation::run::scenario;
use kitepass_simulation::scenario::{Layout, MILLI, SECOND};
use kitepass_simulation::simulation::Simulation;

const CHANGES: usize = 400;

fn percentile(times: &[i64], part: f64) -> f64 {
    times[((times.len() - 1) as f64 * part) as usize] as f64 / 1e3
}

fn main() {
    println!("delay ms | callers | p50 ms | p99 ms | most ms | confirmed | words a change | bytes a change");
    for delay in [200, 900, 55_000] {
        for callers in [1usize, 8] {
            let layout =
                Layout { gates: 0, delay, jitter: delay / 20, disk: (4_900, 5_100), ..Layout::six() };
            let mut simulation = Simulation::new(&scenario(7, layout, Vec::new()));
            simulation.run_to(8 * SECOND);
            // What goes between seats without any change is not a change's cost.
            let (messages, bytes, from) =
                (simulation.coverage.of("word"), simulation.coverage.of("word-bytes"), simulation.now);
            simulation.run(8 * SECOND);
            let rate = |count: u64, since: u64, span: i64| (count - since) as f64 / span as f64;
            let idle = (
                rate(simulation.coverage.of("word"), messages, simulation.now - from),
                rate(simulation.coverage.of("word-bytes"), bytes, simulation.now - from),
            );
            let (messages, bytes, from) =
                (simulation.coverage.of("word"), simulation.coverage.of("word-bytes"), simulation.now);
            let (mut open, mut times, mut sent): (Vec<(u64, i64)>, Vec<i64>, usize) =
                (Vec::new(), Vec::new(), 0);
            while times.len() < CHANGES && simulation.now - from < 200 * SECOND {
                while open.len() < callers && sent < CHANGES {
                    sent += 1;
                    let item = [((Kind::Service, format!("l{}", sent % 40)), 100 + sent as u64, true)];
                    let node = simulation.replica(sent % 6);
                    open.push((simulation.change(node, &item).1, simulation.now));
                }
                simulation.run(MILLI / 10);
                let now = simulation.now;
                open.retain(|(sending, since)| {
                    let done = simulation.status(*sending) == Some(AnswerStatus::Confirmed);
                    if done {
                        times.push(now - since);
                    }
                    !done
                });
            }
            let span = (simulation.now - from) as f64;
            let cost =
                |now: u64, was: u64, idle: f64| ((now - was) as f64 - idle * span) / times.len() as f64;
            let costs = (
                cost(simulation.coverage.of("word"), messages, idle.0),
                cost(simulation.coverage.of("word-bytes"), bytes, idle.1),
            );
            times.sort_unstable();
            let (p50, p99, most) =
                (percentile(&times, 0.5), percentile(&times, 0.99), percentile(&times, 1.0));
            let count = times.len();
            println!(
                "{:8.1} | {callers:7} | {p50:6.1} | {p99:6.1} | {most:7.1} | {count:9} | {:14.1} | {:14.0}",
                delay as f64 / 1e3,
                costs.0,
                costs.1
            );
        }
    }
}

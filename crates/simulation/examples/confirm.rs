//! How long a change takes to be confirmed, and what it costs: alone and with eight callers, by the delay between seats.
//! `cargo run --release -p kitepass-ordeal --example confirm`

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_config::Kind;
use kitepass_simulation::history::Verdict;
use kitepass_simulation::run::script;
use kitepass_simulation::scenario::{Layout, MILLI, SECOND};
use kitepass_simulation::simulation::World;

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
            let mut world = World::new(&script(7, layout, Vec::new()));
            world.run_to(8 * SECOND);
            // What goes between seats without any change is not a change's cost.
            let (messages, bytes, from) = (world.tally.of("word"), world.tally.of("word-bytes"), world.now);
            world.run(8 * SECOND);
            let rate = |count: u64, since: u64, span: i64| (count - since) as f64 / span as f64;
            let idle = (
                rate(world.tally.of("word"), messages, world.now - from),
                rate(world.tally.of("word-bytes"), bytes, world.now - from),
            );
            let (messages, bytes, from) = (world.tally.of("word"), world.tally.of("word-bytes"), world.now);
            let (mut open, mut times, mut sent): (Vec<(u64, i64)>, Vec<i64>, usize) =
                (Vec::new(), Vec::new(), 0);
            while times.len() < CHANGES && world.now - from < 200 * SECOND {
                while open.len() < callers && sent < CHANGES {
                    sent += 1;
                    let item = [((Kind::Service, format!("l{}", sent % 40)), 100 + sent as u64, true)];
                    let node = world.replica(sent % 6);
                    open.push((world.change(node, &item).1, world.now));
                }
                world.run(MILLI / 10);
                let now = world.now;
                open.retain(|(sending, since)| {
                    let done = world.verdict(*sending) == Some(Verdict::Confirmed);
                    if done {
                        times.push(now - since);
                    }
                    !done
                });
            }
            let span = (world.now - from) as f64;
            let cost =
                |now: u64, was: u64, idle: f64| ((now - was) as f64 - idle * span) / times.len() as f64;
            let costs = (
                cost(world.tally.of("word"), messages, idle.0),
                cost(world.tally.of("word-bytes"), bytes, idle.1),
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

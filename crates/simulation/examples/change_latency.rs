//! Measures how long a change takes to be confirmed and how much traffic it causes, with one and with eight
//! operators and for several latencies between zones. `cargo run --release -p kitepass-simulation --example
//! change_latency`

use kitepass_config::Kind;
use kitepass_simulation::history::{AttemptId, ResponseStatus};
use kitepass_simulation::operator::PlannedWrite;
use kitepass_simulation::scenario::{Layout, Scenario, MILLISECOND, SECOND};
use kitepass_simulation::simulation::Simulation;

const CHANGES: usize = 400;
const SEED: u64 = 7;
/// Number of services that the changes write in turn.
const SERVICES: usize = 40;
/// Time in which the system bootstraps.
const BOOTSTRAP_PERIOD: i64 = 8 * SECOND;
/// Time for which the traffic without changes is measured.
const IDLE_PERIOD: i64 = 8 * SECOND;
/// Time after which the changes of a measurement are given up.
const MEASUREMENT_TIMEOUT: i64 = 200 * SECOND;

/// The cumulative traffic at a time, or the traffic of a period.
struct Traffic {
    at: i64,
    messages: u64,
    bytes: u64,
}

impl Traffic {
    fn of(simulation: &Simulation) -> Traffic {
        let Simulation { now, traffic, .. } = simulation;
        Traffic { at: *now, messages: traffic.messages, bytes: traffic.message_bytes }
    }

    fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            at: self.at - earlier.at,
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// A change that was sent and not confirmed yet.
struct PendingChange {
    attempt: AttemptId,
    sent_at: i64,
}

/// Sends changes with the given number in flight. Returns their latencies in microseconds, sorted.
fn measure_latencies(simulation: &mut Simulation, operators: usize) -> Vec<i64> {
    let start = simulation.now;
    let (mut pending, mut latencies, mut sent) = (Vec::new(), Vec::new(), 0);
    while latencies.len() < CHANGES && simulation.now - start < MEASUREMENT_TIMEOUT {
        while pending.len() < operators && sent < CHANGES {
            sent += 1;
            let name = format!("l{}", sent % SERVICES);
            let write = PlannedWrite::set(Kind::Service, name, 100 + sent as u64);
            let attempt = simulation.request_change(simulation.node_of(sent % 6), &[write]);
            pending.push(PendingChange { attempt, sent_at: simulation.now });
        }
        simulation.run_for(MILLISECOND / 10);
        pending.retain(|change: &PendingChange| {
            let is_confirmed = simulation.status_of(change.attempt) == Some(ResponseStatus::Confirmed);
            if is_confirmed {
                latencies.push(simulation.now - change.sent_at);
            }
            !is_confirmed
        });
    }
    latencies.sort_unstable();
    latencies
}

/// A percentile of sorted latencies, in milliseconds.
fn percentile(latencies: &[i64], fraction: f64) -> f64 {
    latencies[((latencies.len() - 1) as f64 * fraction) as usize] as f64 / 1e3
}

fn measure(link_delay: i64, operators: usize) {
    let layout = Layout {
        gateway_count: 0,
        link_delay,
        link_jitter: link_delay / 20,
        sync_duration: 4_900..5_100,
        ..Layout::six_replicas()
    };
    let mut simulation = Simulation::new(&Scenario::without_operators(SEED, layout, Vec::new()));
    simulation.run_until(BOOTSTRAP_PERIOD);
    // The background traffic between replicas is not part of a change's cost.
    let after_bootstrap = Traffic::of(&simulation);
    simulation.run_for(IDLE_PERIOD);
    let after_idle = Traffic::of(&simulation);
    let idle = after_idle.since(&after_bootstrap);
    let latencies = measure_latencies(&mut simulation, operators);
    let under_load = Traffic::of(&simulation).since(&after_idle);
    let cost = |load_count: u64, idle_count: u64| {
        let background = idle_count as f64 / idle.at as f64 * under_load.at as f64;
        (load_count as f64 - background) / latencies.len() as f64
    };
    println!(
        "{:8.1} | {operators:9} | {:6.1} | {:6.1} | {:6.1} | {:9} | {:15.1} | {:14.0}",
        link_delay as f64 / 1e3,
        percentile(&latencies, 0.5),
        percentile(&latencies, 0.99),
        percentile(&latencies, 1.0),
        latencies.len(),
        cost(under_load.messages, idle.messages),
        cost(under_load.bytes, idle.bytes)
    );
}

fn main() {
    println!("delay ms | operators | p50 ms | p99 ms | max ms | confirmed | messages/change | bytes/change");
    for link_delay in [200, 900, 55_000] {
        for operators in [1, 8] {
            measure(link_delay, operators);
        }
    }
}

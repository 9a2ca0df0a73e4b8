//! How long a change takes to be confirmed, and what it costs: with one operator and with eight, by the latency between
//! zones. `cargo run --release -p kitepass-simulation --example change_latency`

use kitepass_config::Kind;
use kitepass_simulation::history::{AnswerStatus, AttemptId};
use kitepass_simulation::operator::PlannedWrite;
use kitepass_simulation::scenario::{Layout, Scenario, MILLISECOND, SECOND};
use kitepass_simulation::simulation::Simulation;

const CHANGES: usize = 400;
const SEED: u64 = 7;
/// Services that the changes write in turn.
const SERVICES: usize = 40;
/// The system is founded within this time.
const FOUNDING_PERIOD: i64 = 8 * SECOND;
/// For so long the traffic without changes is measured.
const IDLE_PERIOD: i64 = 8 * SECOND;
/// The changes of one measurement are given up after this time.
const TIMEOUT: i64 = 200 * SECOND;

/// What was sent until a time.
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

/// A change that was sent and is not confirmed yet.
struct OpenChange {
    attempt: AttemptId,
    sent_at: i64,
}

/// Sends changes, so many at once, and returns how long each took in microseconds, in order.
fn measure_latencies(simulation: &mut Simulation, operators: usize) -> Vec<i64> {
    let start = simulation.now;
    let (mut open, mut latencies, mut sent) = (Vec::new(), Vec::new(), 0);
    while latencies.len() < CHANGES && simulation.now - start < TIMEOUT {
        while open.len() < operators && sent < CHANGES {
            sent += 1;
            let name = format!("l{}", sent % SERVICES);
            let write = PlannedWrite::set(Kind::Service, name, 100 + sent as u64);
            let attempt = simulation.request_change(simulation.node_of(sent % 6), &[write]);
            open.push(OpenChange { attempt, sent_at: simulation.now });
        }
        simulation.run_for(MILLISECOND / 10);
        open.retain(|change: &OpenChange| {
            let is_confirmed = simulation.status_of(change.attempt) == Some(AnswerStatus::Confirmed);
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
    simulation.run_until(FOUNDING_PERIOD);
    // What goes between replicas without any change is not a change's cost.
    let founded = Traffic::of(&simulation);
    simulation.run_for(IDLE_PERIOD);
    let rested = Traffic::of(&simulation);
    let idle = rested.since(&founded);
    let latencies = measure_latencies(&mut simulation, operators);
    let busy = Traffic::of(&simulation).since(&rested);
    let cost = |busy_count: u64, idle_count: u64| {
        let background = idle_count as f64 / idle.at as f64 * busy.at as f64;
        (busy_count as f64 - background) / latencies.len() as f64
    };
    println!(
        "{:8.1} | {operators:9} | {:6.1} | {:6.1} | {:6.1} | {:9} | {:15.1} | {:14.0}",
        link_delay as f64 / 1e3,
        percentile(&latencies, 0.5),
        percentile(&latencies, 0.99),
        percentile(&latencies, 1.0),
        latencies.len(),
        cost(busy.messages, idle.messages),
        cost(busy.bytes, idle.bytes)
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

//! What is measured at one size, from the start of the control plane to usage counts: one function a phase. Rows are
//! printed by the names that docs/CAPACITY.md uses.

use crate::configuration::{change_of_one, configuration, route, tenant, ROUTE_HEADINGS, TENANT_HEADINGS};
use crate::deployment::{Deployment, NODES};
use crate::gateways::TENANTS_PER_REPORT;
use crate::measurements::{fill_heap, print_figure, print_loads, resident_bytes, Figure, Loads};
use crate::platform::PAGE_ENTRIES;
use crate::simulation::{Event, Simulation, WatchedChange, SECOND};
use bytes::Bytes;
use kitepass_control_plane::state_machine::ReplicaState;
use serde_json::Value;

/// Changes that are measured one by one.
const CHANGES: usize = 20;
/// Simulated time of one change.
const CHANGE_TIME: i64 = 2 * SECOND;
/// Bytes of a MB, for each of the nodes.
const MB_OF_ALL_NODES: f64 = NODES as f64 * 1e6;

/// Runs all phases at one size, and prints what they measure.
pub(crate) fn run_all(deployment: Deployment) {
    let resident_before = resident_bytes();
    let mut simulation = Simulation::new(deployment);
    // Kept to the end: the memory of what follows is to show.
    let _heap_filling = start_up(&mut simulation, resident_before);
    let quiet = simulation.measure(60 * SECOND);
    print_loads("quiet minute, a second", &quiet);
    for kind in [&ROUTE_CHANGE, &TENANT_CHANGE] {
        change_one_by_one(&mut simulation, kind, &quiet);
    }
    replace_backends(&mut simulation);
    restart_gateways(&mut simulation);
    count_usage(&mut simulation);
}

/// Forms the control plane, brings the configuration and connects the gateways. Gives the filling of the heap.
fn start_up(simulation: &mut Simulation, resident_before: f64) -> Vec<Bytes> {
    simulation.run(5 * SECOND);
    let are_serving =
        simulation.nodes.iter().all(|node| node.state_machine.replica_state() == ReplicaState::Serving);
    assert!(are_serving, "the control plane is not formed");
    let resident_empty = resident_bytes();
    simulation.patch(0, &configuration(simulation.deployment));
    simulation.schedule(0, Event::ReadBackends);
    simulation.run(5 * SECOND);
    assert!(simulation.watched.answered.is_some(), "the configuration was not accepted");
    let item_counts = simulation.nodes.iter().map(|node| node.state_machine.item_store().len());
    let items = item_counts.min().unwrap_or(0);
    let resident_loaded = resident_bytes();
    let heap_filling = fill_heap();
    let resident_filled = resident_bytes();
    simulation.connect_gateways();
    simulation.shared_stores.clear();
    let connected = resident_bytes() - resident_filled;
    let pages = simulation.deployment.backends.div_ceil(PAGE_ENTRIES);
    print_figure("memory, MB\tempty control process", (resident_empty - resident_before) / MB_OF_ALL_NODES);
    print_figure(
        "memory, MB\titems of a control process",
        (resident_loaded - resident_empty) / MB_OF_ALL_NODES,
    );
    print_figure(
        "memory, MB\tsessions of a control process, with what their coming left in the heap",
        connected / MB_OF_ALL_NODES,
    );
    print_figure("state\titems", items as f64);
    print_figure("state\tbytes of the platform's list, a reading", simulation.list_bytes);
    print_figure("state\tpages of the platform's list, a reading", pages as f64);
    heap_filling
}

/// A kind of change that is measured.
struct ChangeKind {
    name: &'static str,
    list: &'static str,
    headings: &'static [&'static str],
    row: fn(usize, u64) -> Value,
    first_version: u64,
}

const ROUTE_CHANGE: ChangeKind = ChangeKind {
    name: "route",
    list: "itineraries",
    headings: &ROUTE_HEADINGS,
    row: route,
    first_version: 100,
};
const TENANT_CHANGE: ChangeKind = ChangeKind {
    name: "tenant",
    list: "customers",
    headings: &TENANT_HEADINGS,
    row: tenant,
    first_version: 1_100,
};

/// What one change took. Times to the answer and on to the gateways are simulated.
struct ChangeCost {
    ms_to_answer: f64,
    ms_to_last_gateway: f64,
    ms_from_answer_to_last_gateway: f64,
    writer_ms: f64,
    /// The mean of the nodes that are neither the writer nor the coordinator.
    session_holder_ms: f64,
}

/// Changes of one item, all by one writer that is not the coordinator.
fn change_one_by_one(simulation: &mut Simulation, kind: &ChangeKind, quiet: &Loads) {
    let writer = (simulation.coordinator().expect("there is a coordinator") + 1) % NODES;
    simulation.to_nodes = Default::default();
    simulation.to_gateways = Default::default();
    let costs: Vec<ChangeCost> = (0..CHANGES).map(|n| measure_change(simulation, kind, writer, n)).collect();
    let most = |of: fn(&ChangeCost) -> f64| costs.iter().map(of).fold(0.0, f64::max);
    let mean = |of: fn(&ChangeCost) -> f64| costs.iter().map(of).sum::<f64>() / CHANGES as f64;
    let each = |total: f64| total / CHANGES as f64;
    let (to_nodes, to_gateways) = (simulation.to_nodes, simulation.to_gateways);
    let gateways = simulation.deployment.gateways as f64;
    let quiet_ms = quiet.session_holder.figure(Figure::ProcessorMs) * (CHANGE_TIME / SECOND) as f64;
    let rows = [
        ("ms to the answer", most(|cost| cost.ms_to_answer)),
        ("ms to the last gateway", most(|cost| cost.ms_to_last_gateway)),
        ("ms from the answer to the last gateway", most(|cost| cost.ms_from_answer_to_last_gateway)),
        ("words between control processes, all", each(to_nodes.messages)),
        ("bytes between control processes, all", each(to_nodes.bytes)),
        ("words to gateways, all", each(to_gateways.messages)),
        ("bytes to a gateway", each(to_gateways.bytes) / gateways),
        ("writer: processor ms", mean(|cost| cost.writer_ms) - quiet_ms),
        ("session holder: processor ms", (mean(|cost| cost.session_holder_ms) - quiet_ms).max(0.0)),
    ];
    for (row, figure) in rows {
        print_figure(&format!("change of one {}, each\t{row}", kind.name), figure);
    }
}

fn measure_change(simulation: &mut Simulation, kind: &ChangeKind, writer: usize, n: usize) -> ChangeCost {
    let version = kind.first_version + n as u64;
    simulation.watched = WatchedChange { version, ..WatchedChange::default() };
    let begun = simulation.now;
    simulation.reset_loads();
    simulation.patch(writer, &change_of_one(kind.list, kind.headings, &(kind.row)(n, version)));
    let patch_time = simulation.nodes[writer].load.busy;
    let coordinator = simulation.coordinator();
    simulation.measure(CHANGE_TIME);
    let writer_time = patch_time + simulation.nodes[writer].load.busy;
    let others = (0..NODES).filter(|n| *n != writer && Some(*n) != coordinator);
    let others_ms = others.map(|n| simulation.nodes[n].load.figure(Figure::ProcessorMs)).sum::<f64>();
    let WatchedChange { answered, reached, last, .. } = simulation.watched;
    assert_eq!(reached, simulation.deployment.gateways, "the change has not reached all gateways");
    let answered = answered.expect("answered within two seconds");
    let ms = |micros: i64| micros as f64 / 1e3;
    ChangeCost {
        ms_to_answer: ms(answered - begun),
        ms_to_last_gateway: ms(last - begun),
        ms_from_answer_to_last_gateway: ms((last - answered).max(0)),
        writer_ms: writer_time.as_secs_f64() * 1e3,
        session_holder_ms: others_ms / (NODES - 2) as f64,
    }
}

/// A tenth of the backends is replaced, one after the other.
fn replace_backends(simulation: &mut Simulation) {
    let backends = simulation.deployment.backends;
    let replaced = backends / 10;
    let mut measurements = Vec::new();
    for n in 0..replaced {
        let now = simulation.now;
        simulation.backends[n * 7 % (backends / 2)].draining_since.get_or_insert(now);
        simulation.start_backend(3 * SECOND);
        measurements.push(simulation.measure(60 * SECOND / replaced as i64));
    }
    print_loads("a tenth of the backends replaced in a minute, a second", &Loads::mean(&measurements));
    simulation.run(10 * SECOND);
}

/// A tenth of the gateways restarts.
fn restart_gateways(simulation: &mut Simulation) {
    for n in 0..simulation.deployment.gateways / 10 {
        let gateway = n * 10 + n % 10;
        let (node, session) = (simulation.gateways[gateway].node, simulation.gateways[gateway].session);
        simulation.gateways[gateway].is_ready = false;
        simulation.call(node, |state_machine, now| state_machine.session_closed(now, session, "closed"));
        let jitter = simulation.rng.rand_range(0..200_000) as i64;
        simulation.schedule(SECOND + jitter, Event::Connect(gateway));
    }
    let seconds: Vec<Loads> = (0..10).map(|_| simulation.measure(SECOND)).collect();
    assert!(simulation.gateways.iter().all(|gateway| gateway.is_ready), "not all came back");
    print_loads("a tenth of the gateways restarts, a second of ten", &Loads::mean(&seconds));
    print_worst_second(&seconds);
    simulation.run(12 * SECOND);
    simulation.shared_stores.clear();
}

fn print_worst_second(seconds: &[Loads]) {
    let worst = |role: usize, figure: Figure| {
        seconds.iter().map(|second| second.by_role()[role].1.figure(figure)).fold(0.0, f64::max)
    };
    let table = "a tenth of the gateways restarts, the worst second";
    for (role, (name, _)) in Loads::default().by_role().into_iter().enumerate() {
        print_figure(&format!("{table}\t{name}: bytes out"), worst(role, Figure::BytesOut));
        print_figure(&format!("{table}\t{name}: bytes in"), worst(role, Figure::BytesIn));
        // A simulated gateway's processor time says nothing.
        if role < 2 {
            print_figure(&format!("{table}\t{name}: processor ms"), worst(role, Figure::ProcessorMs));
        }
    }
}

/// Every gateway reports usage: first by its periods alone, then with a grant for each request.
fn count_usage(simulation: &mut Simulation) {
    let _heap_filling = fill_heap();
    let resident_filled = resident_bytes();
    simulation.reports_usage = true;
    simulation.run(10 * SECOND);
    let loads = simulation.measure(5 * SECOND);
    print_loads("every gateway counts by periods alone, a second", &loads);
    print_figure("memory, MB\tcounts of the steward", (resident_bytes() - resident_filled) / 1e6);
    for gateway in 0..simulation.deployment.gateways {
        let offset = simulation.rng.rand_range(0..SECOND as u64 / TENANTS_PER_REPORT as u64) as i64;
        simulation.schedule(offset, Event::RequestGrant(gateway));
    }
    simulation.run(SECOND / 2);
    let loads = simulation.measure(SECOND);
    print_loads("every gateway counts, and asks for each request, a second", &loads);
    let waits = &mut simulation.grant_waits;
    waits.sort_unstable();
    let ms = |micros: i64| micros as f64 / 1e3;
    print_figure("state\tms that an ask waits for its grant, median", ms(waits[waits.len() / 2]));
    print_figure("state\tms that an ask waits for its grant, at most", ms(waits[waits.len() - 1]));
}

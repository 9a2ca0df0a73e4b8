//! What a control plane of six real processes on this machine takes at a size:
//! `cargo run --release -p kitepass-control-plane --example sizes [TENANTS ROUTES]`.
//!
//! Time, bytes and memory to form it, to take the whole configuration, to start again with it and with an empty data
//! directory, and to open its store. docs/CAPACITY.md uses what it prints, by the names of its rows.

mod configuration;
mod process;

use configuration::configuration;
use kitepass_config::{parse_change_request, ItemStore, SchemaValidator, BUCKETS};
use kitepass_control_plane::server::Server;
use kitepass_coordination::protocol::{pack, ItemMessage, Message, PrepareResponse};
use kitepass_storage::Store;
use process::{call, start_all, Process, NODE_ARGUMENT};
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const DEFAULT_TENANTS: usize = 13_000;
const DEFAULT_ROUTES: usize = 1_700;
/// Bytes of a chunk's items at most, as the control plane has it.
const MAX_CHUNK_BYTES: usize = 512 * 1024;
/// The log on disk is compacted beyond this many bytes, as the control plane has it.
const MAX_LOG_BYTES: u64 = 4 * 1024 * 1024;
/// The process that is looked at alone, and restarted.
const OBSERVED: usize = 4;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [verb, settings] = &arguments[..] {
        if verb == NODE_ARGUMENT {
            return run_node(settings);
        }
    }
    let number = |n: usize, default: usize| {
        arguments.get(n).map_or(default, |text: &String| text.parse().expect("a number"))
    };
    let (tenants, routes) = (number(0, DEFAULT_TENANTS), number(1, DEFAULT_ROUTES));
    let root = std::env::temp_dir().join(format!("sizes-{}", std::process::id()));
    let change = configuration(tenants, routes);
    print_row("the call", &format!("{tenants} tenants, {routes} routes, {} bytes", change.len()));
    measure_items(&change);
    measure_processes(&root, &change);
    let _ = std::fs::remove_dir_all(&root);
    ExitCode::SUCCESS
}

/// This program as a control process.
fn run_node(settings: &str) -> ExitCode {
    kitepass_node::log_to_stderr(kitepass_node::level_from_env());
    Server::open(settings.into()).and_then(Server::run).expect("it serves");
    ExitCode::SUCCESS
}

fn print_row(name: &str, value: &str) {
    println!("{name:60} {value}");
}

fn ms(time: Duration) -> String {
    format!("{:.0} ms", time.as_secs_f64() * 1e3)
}

/// What the change takes without any process.
fn measure_items(change: &[u8]) {
    let begun = Instant::now();
    let items = parse_change_request(&SchemaValidator::new(), change).expect("valid");
    print_row("to read it, alone", &ms(begun.elapsed()));
    let mut item_store = ItemStore::new();
    items.iter().for_each(|item| _ = item_store.merge(item.clone()));
    let bytes = items.iter().map(|item| item.wire_bytes()).sum::<usize>();
    print_row("as items", &format!("{bytes} bytes"));
    let ChunkTotals { messages, bytes, longest } = chunk_totals(&item_store);
    print_row(
        "to tell it to an empty folder",
        &format!("{messages} words, {bytes} bytes, the longest {longest} (and as many inquiries of 2 KB)"),
    );
}

/// The messages that bring an empty replica to hold all items.
#[derive(Default)]
struct ChunkTotals {
    messages: usize,
    bytes: usize,
    longest: usize,
}

fn chunk_totals(item_store: &ItemStore) -> ChunkTotals {
    let mut totals = ChunkTotals::default();
    let known_buckets = ItemStore::new().history_buckets().to_vec();
    let mut first_bucket = 0;
    while first_bucket < BUCKETS {
        let chunk = item_store.history_chunk(&known_buckets, first_bucket, MAX_CHUNK_BYTES);
        let next_bucket = chunk.next_bucket;
        let response = PrepareResponse {
            items: chunk.items.into_iter().map(ItemMessage::from).collect(),
            first_bucket: first_bucket as u32,
            next_bucket: next_bucket as u32,
            differing_buckets: chunk.differing_buckets,
            digest: chunk.digest,
            ..PrepareResponse::default()
        };
        let mut frames = Vec::new();
        pack(Message::PrepareResponse(response), &mut frames);
        totals.messages += 1;
        totals.bytes += frames.len();
        totals.longest = totals.longest.max(frames.len());
        first_bucket = next_bucket;
    }
    totals
}

/// What six processes take to form a control plane, to take the change, and to start again.
fn measure_processes(root: &Path, change: &[u8]) {
    let begun = Instant::now();
    let mut processes = start_all(root);
    processes.iter().for_each(|process| _ = process.wait_until_serving());
    print_row("to found the core, all six current", &ms(begun.elapsed()));
    print_row("memory of the six, MB, founded", &memory(&processes));
    measure_change(&processes, change);
    print_row("memory of the six, MB, after both", &memory(&processes));
    print_row("on disk, each", &format!("{} bytes", processes[OBSERVED].disk_bytes()));
    measure_store(&processes[OBSERVED].data_dir, &root.join("copy"));
    let restarts = [("killed, to current, with its folder", false), ("killed, to current, empty", true)];
    for (name, is_wiped) in restarts {
        processes[OBSERVED].restart(is_wiped);
        print_row(name, &ms(processes[OBSERVED].wait_until_serving()));
        print_row("its memory, MB", &memory(&processes[OBSERVED..=OBSERVED]));
    }
}

fn measure_change(processes: &[Process], change: &[u8]) {
    let begun = Instant::now();
    let response = call(processes[0].operator_api, "POST", "/v1/Timetable.Patch", change);
    let status = response.map(|response| response.status);
    print_row("the call, to its answer", &format!("{} ({status:?})", ms(begun.elapsed())));
    let begun = Instant::now();
    let response = call(processes[3].operator_api, "GET", "/v1/Timetable.Get", &[]);
    let (status, length) = response.map_or((0, 0), |response| (response.status, response.body.len()));
    print_row("read back of another", &format!("{} ({status}, {length} bytes)", ms(begun.elapsed())));
}

/// How long a copy of a process' store takes to open.
fn measure_store(data_dir: &Path, copy: &Path) {
    std::fs::create_dir_all(copy).expect("a directory");
    for file in std::fs::read_dir(data_dir).expect("its directory").flatten() {
        std::fs::copy(file.path(), copy.join(file.file_name())).expect("a copy");
    }
    let begun = Instant::now();
    let (_store, records) = Store::open(copy, MAX_LOG_BYTES).expect("opened");
    print_row("to open a copy of its store", &format!("{} ({} records)", ms(begun.elapsed()), records.len()));
}

/// Resident memory of these processes: now, and the most that there was.
fn memory(processes: &[Process]) -> String {
    let memory: Vec<process::Memory> = processes.iter().map(Process::memory).collect();
    let join = |value: fn(&process::Memory) -> f64| {
        memory.iter().map(|memory| format!("{:.1}", value(memory))).collect::<Vec<_>>().join(" ")
    };
    format!("now {}; at most {}", join(|memory| memory.resident_mb), join(|memory| memory.peak_mb))
}

//! Compatibility of a control process's stored records, byte by byte: a new version restores a data directory of an
//! older version, and writes the same records as the older one. The files in `golden/` are never regenerated: a new
//! record format gets additional lines, and the old records must still be restored.
//!
//! `golden/records.txt` has one record per line: its name, its key and its value in hex. Names with the prefix `item.`
//! are encoded items; those with `first-run.` and `second-run.` are all records that one process of a cluster of three
//! persists in the respective run.

use kitepass_config::{decode_record, encode_record, Item, ItemStore, Kind, MAX_OLDER_VERSIONS};
use kitepass_control_plane::request::{Request, Response};
use kitepass_control_plane::state_machine::{
    Action, ReplicaState, StartParameters, StateMachine, COORDINATOR_ROLE,
};
use kitepass_coordination::consensus::{key, Ballot, Proposal};
use kitepass_coordination::membership::{Replica, ReplicaSet, CURRENT, INCOMING};
use kitepass_coordination::protocol::{Hello, LeaseRequest, Message, PrepareRequest, PrepareResponse};
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

type Record = (Vec<u8>, Vec<u8>);

const RECORDS: &str = include_str!("golden/records.txt");
/// The expected output of [`describe_state`] for a process that was restored from the records.
const RESTORED: &str = include_str!("golden/restored.expected.txt");

/// The incarnations of the three processes in the first run. In a new data directory the incarnation becomes the
/// replica ID.
const INCARNATIONS: [u64; 3] = [0x0123_4567_89ab_cdef, 0x1111_2222_3333_4444, 0xfedc_ba98_7654_3210];
/// Added to the incarnations for the second run.
const SECOND_RUN_OFFSET: u64 = 0x0100;
const TICK_MS: i64 = 100;
const QUOTA_TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

fn timestamp(milliseconds: i64) -> Timestamp {
    Timestamp::from_micros(milliseconds * 1000)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("hex digits");
    digits.chunks(2).map(byte).collect()
}

/// A record's key and value in hex; a dash stands for an empty value, which deletes the record.
fn format_record((key, value): &Record) -> String {
    let value = if value.is_empty() { "-".to_owned() } else { hex(value) };
    format!("{} {value}", hex(key))
}

/// The golden records whose names have this prefix, by the remainder of the name.
fn golden_records(prefix: &str) -> BTreeMap<&'static str, Record> {
    let mut records = BTreeMap::new();
    for text in RECORDS.lines().filter(|text| !text.starts_with('#')) {
        let mut messages = text.split(' ');
        let mut message = || messages.next().expect("name, key and value");
        let (name, key, value) = (message(), message(), message());
        let record = (bytes(key), bytes(value.trim_matches('-')));
        if let Some(rest) = name.strip_prefix(prefix) {
            assert!(records.insert(rest, record).is_none(), "duplicate record {name}");
        }
    }
    records
}

fn golden_record(name: &str) -> Record {
    golden_records(name).remove("").unwrap_or_else(|| panic!("no golden record {name}"))
}

/// Compares records as lines of text, so that a failure shows the lines to compare with the golden file.
fn assert_records<'a>(found: impl IntoIterator<Item = &'a Record>, golden_records: BTreeMap<&str, Record>) {
    let found: BTreeSet<String> = found.into_iter().map(format_record).collect();
    let golden_records: BTreeSet<String> = golden_records.values().map(format_record).collect();
    let missing: Vec<&String> = golden_records.difference(&found).collect();
    let unexpected: Vec<&String> = found.difference(&golden_records).collect();
    assert!(
        missing.is_empty() && unexpected.is_empty(),
        "golden records that are missing: {missing:#?}\nrecords that are not golden: {unexpected:#?}"
    );
}

fn item(kind: Kind, name: &str, version: u64, value: Option<&str>) -> Item {
    let value = value.map(|text| bytes::Bytes::copy_from_slice(text.as_bytes()));
    Item { kind, name: name.into(), version, value }
}

fn replica(number: usize) -> Replica {
    let (zone, region) = [("north-1", "north"), ("south-1", "south"), ("west-1", "west")][number];
    Replica {
        node_id: format!("control-{}", number + 1),
        address: format!("127.0.0.{}", number + 11),
        zone: zone.to_owned(),
        region: region.to_owned(),
        replica_id: INCARNATIONS[number],
    }
}

fn replica_set(count: usize, version: u64) -> ReplicaSet {
    ReplicaSet { replicas: (0..count).map(replica).collect(), version }
}

/// Items of every kind by the names of their golden records, each with its versions in the order of arrival.
fn items() -> Vec<(&'static str, Vec<Item>)> {
    let route = r#"{"deadline-ms":500,"depot":"letters.example","lane-prefix":"/","line":"letters","mail-kind":"safe"}"#;
    let tenant = r#"{"permits":["key-1"],"rate-per-s":25,"surge":50}"#;
    let probe = r#"{"checkpoint":"/ready"}"#;
    let (service, evacuation, backend) = (Kind::Service, Kind::Evacuation, Kind::Backend);
    let many_versions = (1..=MAX_OLDER_VERSIONS as u64 + 6)
        .map(|version| item(service, "changed-often", version, Some(probe)));
    vec![
        ("route", vec![item(Kind::Route, "letters", 4, Some(route))]),
        ("tenant", vec![item(Kind::Tenant, "näme", 3, Some(tenant))]),
        ("tenant-deleted", vec![item(Kind::Tenant, "deleted", 1, None)]),
        (
            "line-with-older-versions",
            vec![
                item(service, "letters", 5, None),
                item(service, "letters", 9, Some(probe)),
                item(service, "letters", 2, Some("{}")),
            ],
        ),
        (
            "line-deleted",
            vec![item(service, "withdrawn", 7, Some(probe)), item(service, "withdrawn", 8, None)],
        ),
        ("line-with-most-older-versions", many_versions.collect()),
        ("limits", vec![item(Kind::Limits, "", 12, Some(r#"{"body-bytes":1048576,"idle-ms":30000}"#))]),
        ("evacuation", vec![item(evacuation, "west-1", 1, Some("1"))]),
        (
            "evacuation-ended",
            vec![item(evacuation, "south-1", 1, Some("1")), item(evacuation, "south-1", 2, None)],
        ),
        (
            "backend",
            vec![
                item(backend, "letters-1", 6, Some("127.0.0.31:20400")),
                item(backend, "letters-1", 1_700_000_000_000, Some("127.0.0.32:20400")),
            ],
        ),
        (
            "backend-gone",
            vec![
                item(backend, "letters-2", 6, Some("127.0.0.33:20400")),
                item(backend, "letters-2", 7, None),
            ],
        ),
        (
            "members-in-force",
            vec![
                replica_set(1, 1).to_item(CURRENT),
                replica_set(2, 2).to_item(CURRENT),
                replica_set(3, 3).to_item(CURRENT),
            ],
        ),
        ("members-coming", vec![replica_set(2, 2).to_item(INCOMING), replica_set(3, 3).to_item(INCOMING)]),
    ]
}

fn item_store_of(versions: Vec<Item>) -> ItemStore {
    let mut item_store = ItemStore::new();
    versions.into_iter().for_each(|item| _ = item_store.merge(item));
    item_store
}

#[test]
fn items_of_every_kind_match_the_golden_records() {
    let mut encoded = Vec::new();
    for (_, versions) in items() {
        let item_store = item_store_of(versions);
        encoded.extend(item_store.entries().map(encode_record));
    }
    assert_records(&encoded, golden_records("item."));
}

#[test]
fn golden_items_are_decoded_with_their_older_versions() {
    let mut golden_records = golden_records("item.");
    let (_, deleted) = golden_records.remove("backend-gone").expect("a golden record");
    assert!(deleted.is_empty());
    for (name, versions) in items().into_iter().filter(|(name, _)| *name != "backend-gone") {
        let item_store = item_store_of(versions);
        let expected = item_store.entries().next().expect("the store has an item");
        let (key, value) = &golden_records[name];
        let (item, older_versions) = decode_record(key, value).expect("a valid item record");
        assert_eq!((&item, &older_versions[..]), (expected.item, expected.older_versions), "{name}");
    }
}

/// A cluster of three control processes whose messages and disk writes take no time.
struct Cluster {
    now: i64,
    nodes: Vec<StateMachine>,
    /// All records that the first process has persisted, in order.
    persisted: Vec<Record>,
    responses: BTreeMap<u64, Response>,
}

fn start(number: usize, incarnation: u64, records: Vec<Record>) -> StateMachine {
    let is_first_run = records.is_empty();
    let start = StartParameters {
        replica: Replica { replica_id: 0, ..replica(number) },
        incarnation,
        is_first_start: is_first_run,
        is_bootstrap_node: is_first_run && number == 0,
        records,
        tolerance: QUOTA_TOLERANCE,
    };
    StateMachine::new(timestamp(0), start)
}

impl Cluster {
    fn new(nodes: Vec<StateMachine>) -> Cluster {
        let mut cluster = Cluster { now: 0, nodes, persisted: Vec::new(), responses: BTreeMap::new() };
        let hellos: Vec<Hello> = cluster.nodes.iter().map(StateMachine::hello).collect();
        for (number, state_machine) in cluster.nodes.iter_mut().enumerate() {
            let others = hellos.iter().enumerate().filter(|(other, _)| *other != number);
            others.for_each(|(_, hello)| state_machine.peer_connected(timestamp(0), hello));
        }
        cluster.perform_actions();
        cluster
    }

    /// Performs the actions that the processes queue, until none is left.
    fn perform_actions(&mut self) {
        while let Some(number) = self.nodes.iter().position(|state_machine| !state_machine.actions.is_empty())
        {
            for action in std::mem::take(&mut self.nodes[number].actions) {
                self.perform_action(number, action);
            }
        }
    }

    fn perform_action(&mut self, number: usize, action: Action) {
        let now = timestamp(self.now);
        match action {
            Action::SendToPeer(node_id, message) => {
                let to =
                    (0..self.nodes.len()).find(|n| replica(*n).node_id == node_id).expect("a known node ID");
                self.nodes[to].peer_message(now, &replica(number).node_id, message);
            }
            Action::Persist(request_id, records) => {
                if number == 0 {
                    self.persisted.extend(records);
                }
                self.nodes[number].records_persisted(now, request_id);
            }
            Action::Respond(request_id, response) => {
                self.responses.insert(request_id, response);
            }
            Action::SendToSession(..) | Action::SendItems(..) | Action::CloseSession(_) => {}
        }
    }

    fn run(&mut self, milliseconds: i64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += TICK_MS;
            for number in 0..self.nodes.len() {
                self.nodes[number].tick(timestamp(self.now));
                self.perform_actions();
            }
        }
    }

    /// Sends a request to the first process and returns its response.
    fn request(&mut self, request: Request) -> Response {
        let request_id = self.responses.len() as u64;
        let now = timestamp(self.now);
        self.nodes[0].handle_request(now, request_id, request, now);
        self.perform_actions();
        self.run(1_000);
        self.responses[&request_id].clone()
    }

    fn is_serving(&self) -> bool {
        let coordinator_count = self
            .nodes
            .iter()
            .filter(|state_machine| state_machine.active_term(timestamp(self.now)).is_some())
            .count();
        coordinator_count == 1
            && self.nodes.iter().all(|state_machine| state_machine.replica_state() == ReplicaState::Serving)
    }
}

#[test]
fn the_first_run_stores_the_golden_records() {
    let nodes = INCARNATIONS.iter().enumerate().map(|(n, incarnation)| start(n, *incarnation, Vec::new()));
    let mut cluster = Cluster::new(nodes.collect());
    cluster.run(5_000);
    assert!(cluster.is_serving());
    assert_records(&cluster.persisted, golden_records("first-run."));
}

/// The records of a process some time after the first run: its replica ID, the mark that it has caught up, and items of
/// every kind.
fn records_at_restart(number: usize) -> Vec<Record> {
    let mut records: Vec<Record> =
        golden_records("item.").into_values().filter(|(_, value)| !value.is_empty()).collect();
    let (folder_key, folder) = golden_record("first-run.folder");
    assert_eq!(folder, INCARNATIONS[0].to_be_bytes());
    records.push((folder_key, INCARNATIONS[number].to_be_bytes().to_vec()));
    records.push(golden_record("first-run.caught-up"));
    records
}

/// A change that is committed in the second run.
fn accepted_items() -> Vec<Item> {
    vec![
        item(Kind::Service, "parcels", 1, Some(r#"{"checkpoint":"/health"}"#)),
        item(Kind::Service, "withdrawn", 9, Some("{}")),
        item(Kind::Tenant, "näme", 4, None),
    ]
}

/// A change that is rejected as invalid: a route to a service that does not exist.
fn invalid_items() -> Vec<Item> {
    let route =
        r#"{"deadline-ms":500,"depot":"astray.example","lane-prefix":"/","line":"none","mail-kind":"safe"}"#;
    vec![item(Kind::Route, "astray", 1, Some(route))]
}

#[test]
fn the_second_run_stores_the_golden_records() {
    let restart = |n: usize| start(n, INCARNATIONS[n] + SECOND_RUN_OFFSET, records_at_restart(n));
    let mut cluster = Cluster::new((0..INCARNATIONS.len()).map(restart).collect());
    cluster.run(6_000);
    assert!(cluster.is_serving());
    for number in [2, 1] {
        let hello = Hello { node_id: format!("data-{number}"), incarnation: number, ..Hello::default() };
        cluster.nodes[0].session_opened(timestamp(cluster.now), number, hello);
    }
    assert_eq!(cluster.request(Request::Patch(accepted_items())), Response::Done);
    let response = cluster.request(Request::Patch(invalid_items()));
    let reason = "itineraries \"astray\": line: there is no carrier-line \"none\"";
    assert_eq!(response, Response::Invalid(reason.to_owned()));
    let evacuation = Request::Evacuate { zone: "north-1".to_owned(), evacuated: true };
    assert_eq!(cluster.request(evacuation), Response::Done);
    assert_records(&cluster.persisted, golden_records("second-run."));
}

/// The first process after a restart during the second run, with all kinds of records. No other process is running.
fn restored_state_machine() -> StateMachine {
    let mut records = records_at_restart(0);
    let names = ["lease-vote", "live-gateways", "promise-floor", "accepted-proposal", "denied-proposal"];
    records.extend(names.iter().map(|name| golden_record(&format!("second-run.{name}"))));
    start(0, INCARNATIONS[0] + 2 * SECOND_RUN_OFFSET, records)
}

/// Delivers a message from a peer and returns the response to that peer.
fn exchange(state_machine: &mut StateMachine, peer: usize, message: Message) -> Message {
    state_machine.actions.clear();
    state_machine.peer_message(timestamp(TICK_MS), &replica(peer).node_id, message);
    let response = |action| match action {
        Action::SendToPeer(node_id, message) if node_id == replica(peer).node_id => Some(message),
        _ => None,
    };
    let mut responses: Vec<Message> =
        std::mem::take(&mut state_machine.actions).into_iter().filter_map(response).collect();
    assert_eq!(responses.len(), 1);
    responses.remove(0)
}

fn send_prepare(state_machine: &mut StateMachine, request: PrepareRequest) -> PrepareResponse {
    let request = PrepareRequest { request_id: 1, incarnation: INCARNATIONS[1], epoch: 6, ..request };
    match exchange(state_machine, 1, Message::PrepareRequest(request)) {
        Message::PrepareResponse(response) => response,
        _ => panic!("expected a prepare response"),
    }
}

fn is_lease_granted(state_machine: &mut StateMachine, peer: usize) -> bool {
    let request = LeaseRequest {
        role: COORDINATOR_ROLE.to_owned(),
        term: 9,
        request_id: 1,
        is_release: false,
        is_renewal: false,
        epoch: 6,
    };
    match exchange(state_machine, peer, Message::LeaseRequest(request)) {
        Message::LeaseVote(grant) => grant.is_granted,
        _ => panic!("expected a lease vote"),
    }
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Route => "route",
        Kind::Tenant => "tenant",
        Kind::Service => "line",
        Kind::Limits => "limits",
        Kind::Evacuation => "evacuation",
        Kind::Backend => "backend",
        Kind::ReplicaSet => "members",
        Kind::Reservation => "reservation",
    }
}

fn describe_item(item: &Item) -> String {
    let Item { kind, name, version, value } = item;
    let value = value.as_ref().map_or("deleted".to_owned(), |value| hex(value));
    format!("{} \"{name}\" version {version}: {value}", kind_name(*kind))
}

fn describe_ballot(ballot: Ballot) -> String {
    let Ballot { epoch, round, proposer: id } = ballot;
    format!("epoch {epoch} round {round} proposer {id:016x}")
}

/// Describes the state of a restored process, as far as its peers can observe it.
fn describe_state(state_machine: &mut StateMachine) -> String {
    let mut text = String::new();
    let hello = state_machine.hello();
    let yes_or_no = |is| if is { "yes" } else { "no" };
    let _ = writeln!(text, "folder {:016x}", hello.replica_id);
    let _ = writeln!(text, "caught up at some time: {}", yes_or_no(hello.is_complete));
    let _ = writeln!(text, "may be relied on already: {}", yes_or_no(hello.is_serving));
    for entry in state_machine.item_store().entries() {
        let _ = writeln!(text, "{}", describe_item(entry.item));
        for version in entry.older_versions {
            let _ = writeln!(text, "  older version {} mark {:032x}", version.version, version.digest);
        }
    }
    let _ = writeln!(text, "digest {:016x}", state_machine.item_store().digest());
    let _ = writeln!(text, "digest with older versions {:016x}", state_machine.item_store().history_digest());
    let digests = state_machine.item_store().history_bucket_hashes().to_vec();
    let all = send_prepare(
        state_machine,
        PrepareRequest { bucket_digests: digests, wants_all_undecided: true, ..PrepareRequest::default() },
    );
    for (ballot, proposal) in all.accepted.into_iter().filter_map(|accepted| accepted.into_proposal()) {
        let _ =
            writeln!(text, "accepted {} under {}", hex(&proposal.proposal_id().0), describe_ballot(ballot));
        proposal.items().iter().for_each(|item| _ = writeln!(text, "  {}", describe_item(item)));
    }
    let keys = Proposal::new(invalid_items()).keys().to_vec();
    let low_ballot = Ballot { epoch: 6, round: 1, proposer: 1 };
    let rejection = send_prepare(
        state_machine,
        PrepareRequest { keys, ballot: Some(low_ballot), ..PrepareRequest::default() },
    );
    for rejected in rejection.rejected {
        let _ = writeln!(
            text,
            "denied {} under {}",
            hex(&rejected.proposal_id),
            describe_ballot(rejected.ballot)
        );
    }
    let floor = rejection.ballot.map_or("none".to_owned(), describe_ballot);
    let _ = writeln!(text, "promised up to {floor}: {}", yes_or_no(rejection.is_rejected));
    for peer in [1, 2] {
        let granted = yes_or_no(is_lease_granted(state_machine, peer));
        let _ = writeln!(text, "votes for {} at once: {granted}", replica(peer).node_id);
    }
    text
}

#[test]
fn a_process_is_restored_from_the_golden_records() {
    let mut state_machine = restored_state_machine();
    assert!(state_machine.actions.is_empty(), "a restored process has no actions at first");
    assert!(state_machine.replica_state() == ReplicaState::CatchingUp, "a restored process has to catch up");
    for peer in [1, 2] {
        state_machine.peer_connected(timestamp(0), &hello(peer));
    }
    assert_eq!(describe_state(&mut state_machine), RESTORED);
}

/// The hello of a peer.
fn hello(number: usize) -> Hello {
    let Replica { node_id, address, zone, region, replica_id } = replica(number);
    let incarnation = INCARNATIONS[number] + 2 * SECOND_RUN_OFFSET;
    Hello {
        node_id,
        address,
        zone,
        region,
        incarnation,
        is_control_plane: true,
        is_complete: true,
        replica_id,
        ..Hello::default()
    }
}

/// Gateways that were live before the restart are still counted as live: the same record is persisted again.
#[test]
fn live_gateways_are_restored_from_the_golden_record() {
    let mut state_machine = restored_state_machine();
    for tick in 1..=6 {
        state_machine.tick(timestamp(tick * TICK_MS));
    }
    let persisted = state_machine.actions.iter().filter_map(|action| match action {
        Action::Persist(_, records) => Some(records),
        _ => None,
    });
    let persisted: Vec<String> = persisted.flatten().map(format_record).collect();
    assert_eq!(persisted, [format_record(&golden_record("second-run.live-gateways"))]);
}

/// Without the record that it has caught up, a replica counts as new; without the record of its lease vote, it grants
/// no lease.
#[test]
fn a_process_without_a_record_starts_as_new_or_grants_no_lease() {
    let start_without = |keys: &[&str]| {
        let keys: Vec<Vec<u8>> = keys.iter().map(|name| golden_record(name).0).collect();
        let records = records_at_restart(0).into_iter().chain([golden_record("second-run.lease-vote")]);
        let remaining = records.filter(|(key, _)| !keys.contains(key)).collect();
        let mut state_machine = start(0, INCARNATIONS[0] + 2 * SECOND_RUN_OFFSET, remaining);
        [1, 2].iter().for_each(|peer| state_machine.peer_connected(timestamp(0), &hello(*peer)));
        state_machine
    };
    assert!(start_without(&[]).hello().is_complete);
    assert!(!start_without(&["first-run.caught-up"]).hello().is_complete);
    assert_eq!(start_without(&["first-run.folder"]).hello().replica_id, 0);
    let grants_lease =
        |state_machine: &mut StateMachine| [1, 2].iter().any(|peer| is_lease_granted(state_machine, *peer));
    assert!(grants_lease(&mut start_without(&[])));
    assert!(!grants_lease(&mut start_without(&["second-run.lease-vote"])));
}

/// A proposal that was accepted but not committed before the restart is committed after it.
#[test]
fn an_accepted_proposal_is_decided_after_a_restart() {
    let others = [1, 2].map(|n| start(n, INCARNATIONS[n] + 2 * SECOND_RUN_OFFSET, records_at_restart(n)));
    let mut cluster = Cluster::new([restored_state_machine()].into_iter().chain(others).collect());
    cluster.run(8_000);
    assert!(cluster.is_serving());
    for state_machine in &cluster.nodes {
        for item in accepted_items() {
            assert!(
                state_machine.item_store().get(item.kind, &item.name) == Some(&item),
                "{} is missing",
                item.name
            );
        }
    }
}

/// With a damaged consensus record the process starts as a new replica: its acceptance may have been decisive for a
/// commit.
#[test]
fn a_truncated_consensus_record_makes_the_process_a_new_replica() {
    for name in ["promise-floor", "accepted-proposal", "denied-proposal"] {
        let (key, mut value) = golden_record(&format!("second-run.{name}"));
        value.pop();
        let records = records_at_restart(0).into_iter().chain([(key.clone(), value)]).collect();
        let incarnation = INCARNATIONS[0] + 2 * SECOND_RUN_OFFSET;
        let state_machine = start(0, incarnation, records);
        assert_eq!(
            (state_machine.hello().is_complete, state_machine.hello().replica_id),
            (false, incarnation),
            "{name}"
        );
        let persisted = state_machine.actions.iter().filter_map(|action| match action {
            Action::Persist(_, records) => Some(records.clone()),
            _ => None,
        });
        let (folder_key, _) = golden_record("first-run.folder");
        let expected = [vec![(folder_key, incarnation.to_be_bytes().to_vec())], vec![(key, Vec::new())]];
        assert!(persisted.take(expected.len()).eq(expected), "{name}");
    }
}

/// Consensus keys are sent to peers and stored in the records of rejected proposals, so they must not change.
#[test]
fn consensus_keys_are_stable() {
    let keys: Vec<String> = accepted_items().iter().map(|item| format!("{:016x}", key(item))).collect();
    assert_eq!(keys, ["08ceef442725eb34", "0b59e7720bf3518f", "28108a7fb6028326"]);
}

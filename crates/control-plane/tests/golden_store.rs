//! What a control process stores, byte by byte: a folder that an earlier version has written is restored by a later one,
//! and what a later one writes is what the earlier one would have. The files in `golden/` are never regenerated: a new
//! form of a record gets lines of its own beside them, and the old ones must still be restored.
//!
//! `golden/records.txt` has a record a line: its name, the key and the value in hex. Names that begin with `item.` are
//! items as they are encoded, those with `first-run.` and `second-run.` are all that one process of a core of three stores
//! in these runs.

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
/// What a process holds that was restored from the records, in words.
const RESTORED: &str = include_str!("golden/restored.expected.txt");

/// The incarnations of the three processes in the first run. A new folder takes its number from that.
const INCARNATIONS: [u64; 3] = [0x0123_4567_89ab_cdef, 0x1111_2222_3333_4444, 0xfedc_ba98_7654_3210];
/// What is added to them for the second run.
const SECOND_RUN: u64 = 0x0100;
const TICK: i64 = 100;
const SLACK: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

fn at(milliseconds: i64) -> Timestamp {
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

/// A record with its key and value in hex; an empty value, which deletes, is a dash.
fn line((key, value): &Record) -> String {
    let value = if value.is_empty() { "-".to_owned() } else { hex(value) };
    format!("{} {value}", hex(key))
}

/// The golden records whose names begin so, by the rest of their names.
fn golden(prefix: &str) -> BTreeMap<&'static str, Record> {
    let mut records = BTreeMap::new();
    for text in RECORDS.lines().filter(|text| !text.starts_with('#')) {
        let mut messages = text.split(' ');
        let mut message = || messages.next().expect("name, key and value");
        let (name, key, value) = (message(), message(), message());
        let record = (bytes(key), bytes(value.trim_matches('-')));
        if let Some(rest) = name.strip_prefix(prefix) {
            assert!(records.insert(rest, record).is_none(), "{name} stands twice");
        }
    }
    records
}

fn golden_record(name: &str) -> Record {
    golden(name).remove("").unwrap_or_else(|| panic!("no golden record {name}"))
}

/// Compares records as lines, so that a failure shows what would have to stand in the golden file.
fn assert_records<'a>(found: impl IntoIterator<Item = &'a Record>, golden: BTreeMap<&str, Record>) {
    let found: BTreeSet<String> = found.into_iter().map(line).collect();
    let golden: BTreeSet<String> = golden.values().map(line).collect();
    let missing: Vec<&String> = golden.difference(&found).collect();
    let unexpected: Vec<&String> = found.difference(&golden).collect();
    assert!(
        missing.is_empty() && unexpected.is_empty(),
        "golden, and not found: {missing:#?}\nfound, and not golden: {unexpected:#?}"
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

fn members(count: usize, version: u64) -> ReplicaSet {
    ReplicaSet { replicas: (0..count).map(replica).collect(), version }
}

/// An item of each kind, by the names of their golden records; each with its versions in the order of their arrival.
fn items() -> Vec<(&'static str, Vec<Item>)> {
    let route = r#"{"deadline-ms":500,"depot":"letters.example","lane-prefix":"/","line":"letters","mail-kind":"safe"}"#;
    let tenant = r#"{"permits":["key-1"],"rate-per-s":25,"surge":50}"#;
    let probe = r#"{"checkpoint":"/ready"}"#;
    let (line, evacuation, backend) = (Kind::Service, Kind::Evacuation, Kind::Backend);
    let most =
        (1..=MAX_OLDER_VERSIONS as u64 + 6).map(|version| item(line, "changed-often", version, Some(probe)));
    vec![
        ("route", vec![item(Kind::Route, "letters", 4, Some(route))]),
        ("tenant", vec![item(Kind::Tenant, "näme", 3, Some(tenant))]),
        ("tenant-deleted", vec![item(Kind::Tenant, "deleted", 1, None)]),
        (
            "line-with-older-versions",
            vec![
                item(line, "letters", 5, None),
                item(line, "letters", 9, Some(probe)),
                item(line, "letters", 2, Some("{}")),
            ],
        ),
        ("line-deleted", vec![item(line, "withdrawn", 7, Some(probe)), item(line, "withdrawn", 8, None)]),
        ("line-with-most-older-versions", most.collect()),
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
                members(1, 1).to_item(CURRENT),
                members(2, 2).to_item(CURRENT),
                members(3, 3).to_item(CURRENT),
            ],
        ),
        ("members-coming", vec![members(2, 2).to_item(INCOMING), members(3, 3).to_item(INCOMING)]),
    ]
}

fn ledger_of(versions: Vec<Item>) -> ItemStore {
    let mut item_store = ItemStore::new();
    versions.into_iter().for_each(|item| _ = item_store.merge(item));
    item_store
}

#[test]
fn items_of_every_kind_are_encoded_as_golden() {
    let mut encoded = Vec::new();
    for (_, versions) in items() {
        let item_store = ledger_of(versions);
        encoded.extend(item_store.entries().map(encode_record));
    }
    assert_records(&encoded, golden("item."));
}

#[test]
fn golden_items_are_decoded_with_their_older_versions() {
    let mut golden = golden("item.");
    let (_, deleted) = golden.remove("backend-gone").expect("it is golden");
    assert!(deleted.is_empty());
    for (name, versions) in items().into_iter().filter(|(name, _)| *name != "backend-gone") {
        let item_store = ledger_of(versions);
        let expected = item_store.entries().next().expect("one item");
        let (key, value) = &golden[name];
        let (item, past) = decode_record(key, value).expect("it is an item");
        assert_eq!((&item, &past[..]), (expected.item, expected.older_versions), "{name}");
    }
}

/// A core of three processes on a network and on disks that take no time.
struct Cluster {
    now: i64,
    cores: Vec<StateMachine>,
    /// All that the first process has stored, in order.
    stored: Vec<Record>,
    answers: BTreeMap<u64, Response>,
}

fn start(number: usize, incarnation: u64, records: Vec<Record>) -> StateMachine {
    let is_first_run = records.is_empty();
    let start = StartParameters {
        replica: Replica { replica_id: 0, ..replica(number) },
        incarnation,
        is_first_start: is_first_run,
        is_bootstrap_node: is_first_run && number == 0,
        records,
        tolerance: SLACK,
    };
    StateMachine::new(at(0), start)
}

impl Cluster {
    fn new(cores: Vec<StateMachine>) -> Cluster {
        let mut cluster = Cluster { now: 0, cores, stored: Vec::new(), answers: BTreeMap::new() };
        let hellos: Vec<Hello> = cluster.cores.iter().map(StateMachine::hello).collect();
        for (number, core) in cluster.cores.iter_mut().enumerate() {
            let others = hellos.iter().enumerate().filter(|(other, _)| *other != number);
            others.for_each(|(_, hello)| core.peer_connected(at(0), hello));
        }
        cluster.act();
        cluster
    }

    /// Does what the processes want done, until there is nothing more.
    fn act(&mut self) {
        while let Some(number) = self.cores.iter().position(|core| !core.actions.is_empty()) {
            for act in std::mem::take(&mut self.cores[number].actions) {
                self.act_for(number, act);
            }
        }
    }

    fn act_for(&mut self, number: usize, act: Action) {
        let now = at(self.now);
        match act {
            Action::SendToPeer(node_id, message) => {
                let to = (0..self.cores.len()).find(|n| replica(*n).node_id == node_id).expect("it is known");
                self.cores[to].peer_message(now, &replica(number).node_id, message);
            }
            Action::Persist(request_id, records) => {
                if number == 0 {
                    self.stored.extend(records);
                }
                self.cores[number].records_persisted(now, request_id);
            }
            Action::Respond(caller, response) => {
                self.answers.insert(caller, response);
            }
            Action::SendToSession(..) | Action::SendItems(..) | Action::CloseSession(_) => {}
        }
    }

    fn run(&mut self, milliseconds: i64) {
        let end = self.now + milliseconds;
        while self.now < end {
            self.now += TICK;
            for number in 0..self.cores.len() {
                self.cores[number].tick(at(self.now));
                self.act();
            }
        }
    }

    /// A request to the first process, and what it answers.
    fn request(&mut self, request: Request) -> Response {
        let caller = self.answers.len() as u64;
        self.cores[0].handle_request(at(self.now), caller, request);
        self.act();
        self.run(1_000);
        self.answers[&caller].clone()
    }

    fn is_serving(&self) -> bool {
        let leads = self.cores.iter().filter(|core| core.active_term(at(self.now)).is_some()).count();
        leads == 1 && self.cores.iter().all(|core| core.replica_state() == ReplicaState::Serving)
    }
}

#[test]
fn the_first_run_stores_the_golden_records() {
    let cores = INCARNATIONS.iter().enumerate().map(|(n, incarnation)| start(n, *incarnation, Vec::new()));
    let mut cluster = Cluster::new(cores.collect());
    cluster.run(5_000);
    assert!(cluster.is_serving());
    assert_records(&cluster.stored, golden("first-run."));
}

/// The records of a process that has gone through the first run and much more: its folder's number, that it has caught
/// up, and items of every kind.
fn records_at_restart(number: usize) -> Vec<Record> {
    let mut records: Vec<Record> =
        golden("item.").into_values().filter(|(_, value)| !value.is_empty()).collect();
    let (folder_key, folder) = golden_record("first-run.folder");
    assert_eq!(folder, INCARNATIONS[0].to_be_bytes());
    records.push((folder_key, INCARNATIONS[number].to_be_bytes().to_vec()));
    records.push(golden_record("first-run.caught-up"));
    records
}

/// A change that is decided in the second run.
fn accepted_items() -> Vec<Item> {
    vec![
        item(Kind::Service, "parcels", 1, Some(r#"{"checkpoint":"/health"}"#)),
        item(Kind::Service, "withdrawn", 9, Some("{}")),
        item(Kind::Tenant, "näme", 4, None),
    ]
}

/// A change that is denied for its content: a route to a service that there is not.
fn denied_items() -> Vec<Item> {
    let route =
        r#"{"deadline-ms":500,"depot":"astray.example","lane-prefix":"/","line":"none","mail-kind":"safe"}"#;
    vec![item(Kind::Route, "astray", 1, Some(route))]
}

#[test]
fn the_second_run_stores_the_golden_records() {
    let restart = |n: usize| start(n, INCARNATIONS[n] + SECOND_RUN, records_at_restart(n));
    let mut cluster = Cluster::new((0..INCARNATIONS.len()).map(restart).collect());
    cluster.run(6_000);
    assert!(cluster.is_serving());
    for number in [2, 1] {
        let hello = Hello { node_id: format!("data-{number}"), incarnation: number, ..Hello::default() };
        cluster.cores[0].session_opened(at(cluster.now), number, hello);
    }
    assert_eq!(cluster.request(Request::Patch(accepted_items())), Response::Done);
    let response = cluster.request(Request::Patch(denied_items()));
    let reason = "itineraries \"astray\": line: there is no carrier-line \"none\"";
    assert_eq!(response, Response::Invalid(reason.to_owned()));
    let evacuation = Request::Evacuate { zone: "north-1".to_owned(), evacuated: true };
    assert_eq!(cluster.request(evacuation), Response::Done);
    assert_records(&cluster.stored, golden("second-run."));
}

/// The first process after a restart in the middle of the second run, with all kinds of records. No other process runs.
fn restored() -> StateMachine {
    let mut records = records_at_restart(0);
    let names = ["lease-vote", "live-gateways", "promise-floor", "accepted-proposal", "denied-proposal"];
    records.extend(names.iter().map(|name| golden_record(&format!("second-run.{name}"))));
    start(0, INCARNATIONS[0] + 2 * SECOND_RUN, records)
}

/// What the process says to a peer when that has said something.
fn answer(core: &mut StateMachine, peer: usize, message: Message) -> Message {
    core.actions.clear();
    core.peer_message(at(TICK), &replica(peer).node_id, message);
    let answer = |act| match act {
        Action::SendToPeer(node_id, message) if node_id == replica(peer).node_id => Some(message),
        _ => None,
    };
    let mut answers: Vec<Message> =
        std::mem::take(&mut core.actions).into_iter().filter_map(answer).collect();
    assert_eq!(answers.len(), 1);
    answers.remove(0)
}

fn read(core: &mut StateMachine, inquire: PrepareRequest) -> PrepareResponse {
    let inquire = PrepareRequest { request_id: 1, incarnation: INCARNATIONS[1], epoch: 6, ..inquire };
    match answer(core, 1, Message::PrepareRequest(inquire)) {
        Message::PrepareResponse(held) => held,
        _ => panic!("another answer than to a reading"),
    }
}

fn is_lease_granted(core: &mut StateMachine, peer: usize) -> bool {
    let claim = LeaseRequest {
        role: COORDINATOR_ROLE.to_owned(),
        term: 9,
        request_id: 1,
        is_release: false,
        is_renewal: false,
        epoch: 6,
    };
    match answer(core, peer, Message::LeaseRequest(claim)) {
        Message::LeaseVote(grant) => grant.is_granted,
        _ => panic!("another answer than to a claim"),
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
    }
}

fn shown_item(item: &Item) -> String {
    let Item { kind, name, version, value } = item;
    let value = value.as_ref().map_or("deleted".to_owned(), |value| hex(value));
    format!("{} \"{name}\" version {version}: {value}", kind_name(*kind))
}

fn shown_ballot(ballot: Ballot) -> String {
    let Ballot { epoch, round, proposer: who } = ballot;
    format!("epoch {epoch} round {round} proposer {who:016x}")
}

/// All that a restored process holds, as far as others can learn it.
fn shown_state(core: &mut StateMachine) -> String {
    let mut text = String::new();
    let hello = core.hello();
    let yes_or_no = |is| if is { "yes" } else { "no" };
    let _ = writeln!(text, "folder {:016x}", hello.replica_id);
    let _ = writeln!(text, "caught up at some time: {}", yes_or_no(hello.is_complete));
    let _ = writeln!(text, "may be relied on already: {}", yes_or_no(hello.is_serving));
    for entry in core.item_store().entries() {
        let _ = writeln!(text, "{}", shown_item(entry.item));
        for version in entry.older_versions {
            let _ = writeln!(text, "  older version {} mark {:032x}", version.version, version.digest);
        }
    }
    let _ = writeln!(text, "digest {:016x}", core.item_store().digest());
    let _ = writeln!(text, "digest with older versions {:016x}", core.item_store().history_digest());
    let hashes = core.item_store().history_bucket_hashes().to_vec();
    let all = read(
        core,
        PrepareRequest { bucket_digests: hashes, wants_all_undecided: true, ..PrepareRequest::default() },
    );
    for (ballot, proposal) in all.accepted.into_iter().filter_map(|accepted| accepted.into_proposal()) {
        let _ = writeln!(text, "accepted {} under {}", hex(&proposal.proposal_id().0), shown_ballot(ballot));
        proposal.items().iter().for_each(|item| _ = writeln!(text, "  {}", shown_item(item)));
    }
    let keys = Proposal::new(denied_items()).keys().to_vec();
    let lowest = Ballot { epoch: 6, round: 1, proposer: 1 };
    let refused = read(core, PrepareRequest { keys, ballot: Some(lowest), ..PrepareRequest::default() });
    for denied in refused.rejected {
        let _ = writeln!(text, "denied {} under {}", hex(&denied.proposal_id), shown_ballot(denied.ballot));
    }
    let floor = refused.ballot.map_or("none".to_owned(), shown_ballot);
    let _ = writeln!(text, "promised up to {floor}: {}", yes_or_no(refused.is_rejected));
    for peer in [1, 2] {
        let granted = yes_or_no(is_lease_granted(core, peer));
        let _ = writeln!(text, "votes for {} at once: {granted}", replica(peer).node_id);
    }
    text
}

#[test]
fn a_process_is_restored_from_the_golden_records() {
    let mut core = restored();
    assert!(core.actions.is_empty(), "nothing has to be stored or said at first");
    assert!(core.replica_state() == ReplicaState::CatchingUp, "it has yet to hear what it missed");
    for peer in [1, 2] {
        core.peer_connected(at(0), &hello(peer));
    }
    assert_eq!(shown_state(&mut core), RESTORED);
}

/// What a peer says first.
fn hello(number: usize) -> Hello {
    let Replica { node_id, address, zone, region, replica_id } = replica(number);
    let incarnation = INCARNATIONS[number] + 2 * SECOND_RUN;
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

/// Gateways that were live still count: they are stored again as they were.
#[test]
fn live_gateways_are_restored_from_the_golden_record() {
    let mut core = restored();
    for tick in 1..=6 {
        core.tick(at(tick * TICK));
    }
    let stored = core.actions.iter().filter_map(|act| match act {
        Action::Persist(_, records) => Some(records),
        _ => None,
    });
    let stored: Vec<String> = stored.flatten().map(line).collect();
    assert_eq!(stored, [line(&golden_record("second-run.live-gateways"))]);
}

/// Without its record of being caught up a folder counts as new, and without the vote's a lease is granted to nobody.
#[test]
fn a_process_without_these_records_starts_as_one_that_has_lost_them() {
    let without = |keys: &[&str]| {
        let keys: Vec<Vec<u8>> = keys.iter().map(|name| golden_record(name).0).collect();
        let records = records_at_restart(0).into_iter().chain([golden_record("second-run.lease-vote")]);
        let left = records.filter(|(key, _)| !keys.contains(key)).collect();
        let mut core = start(0, INCARNATIONS[0] + 2 * SECOND_RUN, left);
        [1, 2].iter().for_each(|peer| core.peer_connected(at(0), &hello(*peer)));
        core
    };
    assert!(without(&[]).hello().is_complete);
    assert!(!without(&["first-run.caught-up"]).hello().is_complete);
    assert_eq!(without(&["first-run.folder"]).hello().replica_id, 0);
    let grants = |core: &mut StateMachine| [1, 2].iter().any(|peer| is_lease_granted(core, *peer));
    assert!(grants(&mut without(&[])));
    assert!(!grants(&mut without(&["second-run.lease-vote"])));
}

/// A proposal that was accepted and not decided is decided by the restarted processes.
#[test]
fn an_accepted_proposal_is_decided_after_a_restart() {
    let others = [1, 2].map(|n| start(n, INCARNATIONS[n] + 2 * SECOND_RUN, records_at_restart(n)));
    let mut cluster = Cluster::new([restored()].into_iter().chain(others).collect());
    cluster.run(8_000);
    assert!(cluster.is_serving());
    for core in &cluster.cores {
        for item in accepted_items() {
            assert!(core.item_store().get(item.kind, &item.name) == Some(&item), "{} is missing", item.name);
        }
    }
}

/// A damaged record of the consensus makes the folder a new one: what it stood for may have been decided by it.
#[test]
fn a_truncated_record_makes_the_folder_a_new_one() {
    for name in ["promise-floor", "accepted-proposal", "denied-proposal"] {
        let (key, mut value) = golden_record(&format!("second-run.{name}"));
        value.pop();
        let records = records_at_restart(0).into_iter().chain([(key.clone(), value)]).collect();
        let incarnation = INCARNATIONS[0] + 2 * SECOND_RUN;
        let core = start(0, incarnation, records);
        assert_eq!((core.hello().is_complete, core.hello().replica_id), (false, incarnation), "{name}");
        let stored = core.actions.iter().filter_map(|act| match act {
            Action::Persist(_, records) => Some(records.clone()),
            _ => None,
        });
        let (folder_key, _) = golden_record("first-run.folder");
        let expected = [vec![(folder_key, incarnation.to_be_bytes().to_vec())], vec![(key, Vec::new())]];
        assert!(stored.take(expected.len()).eq(expected), "{name}");
    }
}

/// Keys of versions go over the wire and into records of denied proposals.
#[test]
fn keys_of_versions_stay_as_they_are() {
    let keys: Vec<String> = accepted_items().iter().map(|item| format!("{:016x}", key(item))).collect();
    assert_eq!(keys, ["08ceef442725eb34", "0b59e7720bf3518f", "28108a7fb6028326"]);
}

//! Compares change requests, configuration responses, error messages and hashes with golden files, byte by byte.
//! Operators' tools and processes of other releases depend on them, so no line of the golden files may ever change.

use bytes::Bytes;
use kitepass_config::{
    chunk_digest, parse_change_request, validate, ConfigurationSnapshot, Item, ItemStore, Kind,
    SchemaValidator, BUCKET_COUNT, MAX_OLDER_VERSIONS,
};
use std::fmt::Write;
use std::sync::OnceLock;

const CHANGE: &str = include_str!("golden/change.json");
const CHANGE_ITEMS: &str = include_str!("golden/change-items.txt");
const READ_BACK: &str = include_str!("golden/read-back.json");
const READ_BACK_AS_CALL: &str = include_str!("golden/read-back-as-call.json");
const READ_BACK_EMPTY: &str = include_str!("golden/read-back-empty.json");
const REJECTED: &str = include_str!("golden/rejected-calls.txt");
const HASHES: &str = include_str!("golden/hashes.txt");

fn schema_validator() -> &'static SchemaValidator {
    static SCHEMA_VALIDATOR: OnceLock<SchemaValidator> = OnceLock::new();
    SCHEMA_VALIDATOR.get_or_init(SchemaValidator::new)
}

/// Formats one line per item: the number of its kind, its name, its version, and its value as text.
fn describe(items: &[Item]) -> String {
    let mut text = String::new();
    for item in items {
        let value = item.value.as_ref().map(|value| std::str::from_utf8(value).unwrap());
        let (kind, name, version) = (item.kind as u8, &item.name, item.version);
        writeln!(text, "{kind} \"{name}\" {version} {}", value.unwrap_or("removed")).unwrap();
    }
    text
}

/// Parses, validates and applies a change request like the control plane. Returns the error message if it is rejected.
fn apply(store: &mut ItemStore, body: &[u8]) -> Result<(), String> {
    let items = parse_change_request(schema_validator(), body).map_err(|error| error.to_string())?;
    validate(store, &items).map_err(|error| error.to_string())?;
    items.into_iter().for_each(|item| _ = store.apply(item));
    Ok(())
}

fn store_after_change() -> ItemStore {
    let mut store = ItemStore::new();
    apply(&mut store, CHANGE.as_bytes()).unwrap();
    store
}

/// Golden files end with a line break, the encoded configuration does not.
fn assert_is_golden(bytes: Vec<u8>, golden: &str) {
    assert_eq!(String::from_utf8(bytes).unwrap() + "\n", golden);
}

#[test]
fn change_request_is_parsed_into_the_golden_items() {
    let items = parse_change_request(schema_validator(), CHANGE.as_bytes()).unwrap();
    assert_eq!(describe(&items), CHANGE_ITEMS);
}

#[test]
fn configuration_is_encoded_as_in_the_golden_files() {
    let store = store_after_change();
    assert_is_golden(ConfigurationSnapshot::new(&store).to_json(), READ_BACK);
    assert_is_golden(ConfigurationSnapshot::new(&store).to_change_request(), READ_BACK_AS_CALL);
    assert_is_golden(ConfigurationSnapshot::new(&ItemStore::new()).to_json(), READ_BACK_EMPTY);
}

/// Applying a configuration encoded as a change request to an empty store yields the same configuration.
#[test]
fn encoded_change_request_can_be_applied() {
    let mut store = ItemStore::new();
    apply(&mut store, READ_BACK_AS_CALL.as_bytes()).unwrap();
    assert_is_golden(ConfigurationSnapshot::new(&store).to_json(), READ_BACK);
    assert_is_golden(ConfigurationSnapshot::new(&store).to_change_request(), READ_BACK_AS_CALL);
}

/// The golden file has two lines per rejected change request: the request, and the complete error message.
#[test]
fn error_messages_match_the_golden_file() {
    let lines: Vec<&str> = REJECTED.lines().collect();
    let mut text = String::new();
    for body in lines.iter().step_by(2) {
        let mut store = store_after_change();
        let before = store.digest();
        let error = apply(&mut store, body.as_bytes()).expect_err(body);
        assert_eq!(store.digest(), before, "{body}");
        writeln!(text, "{body}\n{error}").unwrap();
    }
    assert_eq!(text, REJECTED);
}

#[test]
fn kinds_have_fixed_numbers() {
    let kinds = [
        Kind::Route,
        Kind::Tenant,
        Kind::Service,
        Kind::Limits,
        Kind::Evacuation,
        Kind::Backend,
        Kind::ReplicaSet,
        Kind::Reservation,
    ];
    assert!(kinds == Kind::ALL);
    for (kind, number) in kinds.into_iter().zip(1..) {
        assert_eq!(kind as u8, number);
        assert!(Kind::from_u8(number) == Some(kind));
    }
    assert!(Kind::from_u8(0).is_none() && Kind::from_u8(9).is_none());
}

fn item(kind: Kind, name: &str, version: u64, value: Option<&'static str>) -> Item {
    Item { kind, name: name.into(), version, value: value.map(Bytes::from) }
}

/// Items of all kinds, including tombstones.
fn items() -> Vec<Item> {
    vec![
        item(Kind::Route, "route-1", 7, Some("{\"a\":1}")),
        item(Kind::Tenant, "tenant-1", 8, None),
        item(Kind::Tenant, "route-1", 7, Some("{\"a\":1}")),
        item(Kind::Service, "sérvice", 0x0102_0304_0506_0708, Some("{}")),
        item(Kind::Limits, "", 4, Some("{\"idle-ms\":1}")),
        item(Kind::Evacuation, "zone-a", 5, Some("")),
        item(Kind::Backend, "backend-1", 6, Some("10.0.0.1:80")),
        item(Kind::Backend, "backend-2", 6, None),
        item(Kind::ReplicaSet, "now", 7, Some("\u{0}\u{1}")),
    ]
}

/// A store with items of all kinds, some of which have older versions; one of these is a tombstone.
fn store_with_history() -> ItemStore {
    let mut store = ItemStore::new();
    store.merge(item(Kind::Route, "route-1", 3, Some("{\"a\":0}")));
    store.merge(item(Kind::Route, "route-1", 5, None));
    store.merge(item(Kind::Tenant, "tenant-1", 2, Some("{}")));
    store.merge(item(Kind::Backend, "backend-1", 1, Some("10.0.0.2:80")));
    items().into_iter().for_each(|item| _ = store.merge(item));
    store
}

/// Formats one line per non-empty bucket: its number and its hash.
fn describe_buckets(text: &mut String, name: &str, buckets: &[u64; BUCKET_COUNT]) {
    for (number, hash) in buckets.iter().enumerate().filter(|(_, hash)| **hash != 0) {
        writeln!(text, "{name} {number} {hash:016x}").unwrap();
    }
}

fn describe_hashes(text: &mut String, name: &str, store: &ItemStore) {
    writeln!(text, "{name}.digest {:016x}", store.digest()).unwrap();
    writeln!(text, "{name}.digest-with-history {:016x}", store.history_digest()).unwrap();
    describe_buckets(text, &format!("{name}.bucket"), store.bucket_hashes());
    describe_buckets(text, &format!("{name}.bucket-with-history"), store.history_bucket_hashes());
}

fn hex(bytes: &[u8]) -> String {
    if bytes.is_empty() {
        return "none".to_owned();
    }
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Formats a chunk computed against the bucket hashes of a peer, and checks its digest. Returns the first bucket that
/// it does not cover.
fn describe_chunk(
    text: &mut String,
    store: &ItemStore,
    peer_hashes: &[u64],
    from: usize,
    max_bytes: usize,
) -> usize {
    let chunk = store.chunk(peer_hashes, from, max_bytes);
    let (next, digest, count) = (chunk.next_bucket, chunk.digest, chunk.items.len());
    writeln!(text, "chunk {from} to {next}: {count} items, {digest:016x}, {}", hex(&chunk.differing_buckets))
        .unwrap();
    let with_history = store.history_chunk(peer_hashes, from, max_bytes);
    let (next, digest, count) = (with_history.next_bucket, with_history.digest, with_history.items.len());
    let differs = hex(&with_history.differing_buckets);
    writeln!(text, "chunk-with-history {from} to {next}: {count} items, {digest:016x}, {differs}").unwrap();
    // The receiver computes the same digest.
    let mut received = ItemStore::new();
    chunk.items.iter().for_each(|item| _ = received.merge((*item).clone()));
    let calculated = chunk_digest(
        received.bucket_hashes(),
        peer_hashes,
        from,
        chunk.next_bucket,
        &chunk.differing_buckets,
    );
    assert_eq!(calculated, chunk.digest);
    chunk.next_bucket
}

#[test]
fn hashes_match_the_golden_file() {
    let mut text = String::new();
    for item in items() {
        let version = item.version_digest();
        writeln!(text, "content {} {:032x}", version.version, version.digest).unwrap();
    }
    describe_hashes(&mut text, "empty", &ItemStore::new());
    for item in items() {
        let mut store = ItemStore::new();
        let name = format!("{}-{}", item.kind as u8, item.name);
        store.merge(item);
        describe_hashes(&mut text, &name, &store);
    }
    let (store, with_history) = (store_after_change(), store_with_history());
    describe_hashes(&mut text, "change", &store);
    describe_hashes(&mut text, "history", &with_history);
    let mut from = 0;
    while from < BUCKET_COUNT {
        from = describe_chunk(&mut text, &with_history, store.bucket_hashes(), from, 100);
    }
    describe_chunk(&mut text, &with_history, &[], 0, usize::MAX);
    describe_chunk(&mut text, &with_history, with_history.bucket_hashes(), 0, usize::MAX);
    assert_eq!(text, HASHES);
}

/// Both ends of a connection must use the same values of these constants.
#[test]
fn constants_of_the_protocol_are_fixed() {
    assert_eq!((BUCKET_COUNT, MAX_OLDER_VERSIONS), (256, 64));
}

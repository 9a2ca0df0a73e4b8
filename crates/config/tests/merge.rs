//! Copies of a ledger agree, in whatever order they hear of things.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use bytes::Bytes;
use kitepass_config::{
    decode_record, encode_record, Item, ItemStore, Kind, MergeOutcome, VersionDigest, VersionStatus,
    MAX_OLDER_VERSIONS,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Few names, editions and values, so that they often meet.
fn item() -> impl Strategy<Value = Item> {
    (0..7usize, "[ab]", 0..4u64, prop::option::of("[xy]{0,1}")).prop_map(|(kind, name, version, value)| {
        Item { kind: Kind::ALL[kind], name: Arc::from(name), version, value: value.map(Bytes::from) }
    })
}

fn item_store<'a>(items: impl IntoIterator<Item = &'a Item>) -> ItemStore {
    let mut item_store = ItemStore::new();
    for item in items {
        item_store.merge(item.clone());
    }
    item_store
}

fn content(item_store: &ItemStore) -> Vec<&Item> {
    item_store.items().collect()
}

/// What copies have to agree on: all but backends that are gone, which each forgets in its own time. One that is
/// gone in one copy and stands in another differs like anything else.
fn shown(item_store: &ItemStore) -> Vec<&Item> {
    item_store.items().filter(|item| item.kind != Kind::Backend || item.is_set()).collect()
}

proptest! {
    #[test]
    fn order_repetition_and_partition_do_not_matter(
        (items, shuffled) in prop::collection::vec(item(), 0..40)
            .prop_flat_map(|items| (Just(items.clone()), Just(items).prop_shuffle())),
        at in 0..40usize,
    ) {
        let whole = item_store(&items);
        let (left, right) = shuffled.split_at(at.min(shuffled.len()));
        let (mut left, right) = (item_store(left), item_store(right));
        // Only what differs goes over, and goes twice.
        let over: Vec<Item> = right.differing(left.buckets()).cloned().collect();
        for item in over.iter().chain(&over) {
            left.merge(item.clone());
        }
        prop_assert_eq!(shown(&whole), shown(&left));
        prop_assert_eq!(whole.buckets(), left.buckets());
        prop_assert_eq!(whole.differing(left.buckets()).count(), 0);
        // The one that prevails by the rule, found without a ledger; so a dropped one does not come back.
        let mut best: BTreeMap<_, &Item> = BTreeMap::new();
        for item in &items {
            let best = best.entry((item.kind, &item.name)).or_insert(item);
            if (best.version, &best.value) < (item.version, &item.value) {
                *best = item;
            }
        }
        prop_assert_eq!(content(&whole), best.into_values().collect::<Vec<_>>());
    }

    #[test]
    fn digests_are_equal_as_contents_are(
        left in prop::collection::vec(item(), 0..6),
        right in prop::collection::vec(item(), 0..6),
    ) {
        let (left, right) = (item_store(&left), item_store(&right));
        prop_assert_eq!(left.digest() == right.digest(), shown(&left) == shown(&right));
    }
}

/// A durable item's version, of which there is one content for each number, as the register sees to.
fn decided(version: u64) -> Item {
    Item { kind: Kind::Service, name: "a".into(), version, value: Some(format!("{version}").into()) }
}

/// Merges one ledger's items with their older versions into another.
fn pour(from: &ItemStore, into: &mut ItemStore) {
    let theirs = into.history_buckets().to_vec();
    for entry in from.history_differing(&theirs) {
        into.merge_with_history(entry.item.clone(), entry.older_versions);
    }
}

proptest! {
    /// Copies that heard of versions in different orders come to remember the same ones: the highest.
    #[test]
    fn older_versions_are_a_union_in_whatever_order(
        (versions, shuffled) in prop::collection::vec(0..40u64, 1..40)
            .prop_flat_map(|versions| (Just(versions.clone()), Just(versions).prop_shuffle())),
        at in 0..40usize,
    ) {
        let all = |versions: &[u64]| item_store(&versions.iter().map(|n| decided(*n)).collect::<Vec<_>>());
        let whole = all(&versions);
        let (left, right) = shuffled.split_at(at.min(shuffled.len()));
        let (mut left, mut right) = (all(left), all(right));
        pour(&right, &mut left);
        pour(&left, &mut right);
        for copy in [&left, &right] {
            prop_assert_eq!(copy.older_versions(Kind::Service, "a"), whole.older_versions(Kind::Service, "a"));
            prop_assert_eq!(copy.history_buckets(), whole.history_buckets());
            prop_assert_eq!(copy.digest(), whole.digest());
        }
        let mut sorted = versions;
        sorted.sort_unstable();
        sorted.dedup();
        sorted.pop();
        let expected: Vec<VersionDigest> = sorted.iter().rev().take(MAX_OLDER_VERSIONS).rev().map(|n| decided(*n).version_digest()).collect();
        prop_assert_eq!(whole.older_versions(Kind::Service, "a"), &expected[..]);
        let entry = whole.entry(Kind::Service, "a").unwrap();
        let (key, value) = encode_record(entry);
        prop_assert_eq!(decode_record(&key, &value), Some((entry.item.clone(), entry.older_versions.to_vec())));
    }
}

#[test]
fn a_call_that_comes_again_is_known_after_newer_versions() {
    let mut item_store = ItemStore::new();
    let other = |version| Item { value: None, ..decided(version) };
    assert_eq!(item_store.version_status(&decided(2)), VersionStatus::Undecided);
    for version in (2..=2 * MAX_OLDER_VERSIONS as u64).step_by(2) {
        assert_eq!(item_store.merge_with_history(decided(version), &[]), MergeOutcome::NewestChanged);
    }
    let newest = 2 * MAX_OLDER_VERSIONS as u64;
    assert_eq!(
        (item_store.version_status(&decided(newest)), item_store.version_status(&other(newest))),
        (VersionStatus::SameContent, VersionStatus::DifferentContent)
    );
    assert_eq!(
        (item_store.version_status(&decided(2)), item_store.version_status(&other(2))),
        (VersionStatus::SameContent, VersionStatus::DifferentContent)
    );
    assert_eq!(
        (item_store.version_status(&decided(3)), item_store.version_status(&decided(newest + 1))),
        (VersionStatus::Undecided, VersionStatus::Undecided)
    );
    // Decided late, an older version has no effect and is remembered; what falls out below is past.
    assert_eq!(
        item_store.version_status(&decided(1)),
        VersionStatus::Undecided,
        "there is room to remember it"
    );
    assert_eq!(item_store.merge_with_history(decided(3), &[]), MergeOutcome::HistoryChanged);
    assert_eq!(item_store.merge_with_history(decided(3), &[]), MergeOutcome::Unchanged);
    assert_eq!(
        (item_store.version_status(&decided(3)), item_store.version_status(&other(3))),
        (VersionStatus::SameContent, VersionStatus::DifferentContent)
    );
    assert_eq!(item_store.older_versions(Kind::Service, "a").len(), MAX_OLDER_VERSIONS);
    assert_eq!(
        (item_store.version_status(&decided(1)), item_store.version_status(&other(1))),
        (VersionStatus::Forgotten, VersionStatus::Forgotten)
    );
    assert_eq!(item_store.get(Kind::Service, "a"), Some(&decided(newest)));
    // A record of before, without older versions, is read as it was.
    let old = [&7u64.to_be_bytes()[..], &[1], b"x"].concat();
    let (item, past) = decode_record(&[Kind::Service as u8, b'a'], &old).unwrap();
    assert_eq!((item.version, item.value.as_deref(), past.len()), (7, Some(&b"x"[..]), 0));
    // Backends have no past.
    let backend = |version| Item { kind: Kind::Backend, ..decided(version) };
    item_store.merge(backend(1));
    item_store.merge(backend(2));
    assert_eq!(item_store.older_versions(Kind::Backend, "a"), &[]);
}

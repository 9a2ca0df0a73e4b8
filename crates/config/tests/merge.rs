//! Stores converge regardless of the order in which they receive items.

use bytes::Bytes;
use kitepass_config::{
    decode_record, encode_record, Item, ItemStore, Kind, MergeOutcome, VersionDigest, VersionStatus,
    MAX_OLDER_VERSIONS,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Generates items from few names, versions and values, so that collisions are frequent.
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

fn all_items(item_store: &ItemStore) -> Vec<&Item> {
    item_store.items().collect()
}

/// The items on which stores must agree: all except tombstones of backends, which stores purge independently of one
/// another. A backend that is removed in one store but set in another still counts as a difference.
fn compared_items(item_store: &ItemStore) -> Vec<&Item> {
    item_store.items().filter(|item| item.kind != Kind::Backend || item.is_set()).collect()
}

proptest! {
    #[test]
    fn stores_converge_despite_reordering_duplication_and_partition(
        (items, shuffled) in prop::collection::vec(item(), 0..40)
            .prop_flat_map(|items| (Just(items.clone()), Just(items).prop_shuffle())),
        at in 0..40usize,
    ) {
        let complete = item_store(&items);
        let (left, right) = shuffled.split_at(at.min(shuffled.len()));
        let (mut left, right) = (item_store(left), item_store(right));
        // Transfers only the differing items, and each of them twice.
        let transferred: Vec<Item> = right.differing_items(left.bucket_hashes()).cloned().collect();
        for item in transferred.iter().chain(&transferred) {
            left.merge(item.clone());
        }
        prop_assert_eq!(compared_items(&complete), compared_items(&left));
        prop_assert_eq!(complete.bucket_hashes(), left.bucket_hashes());
        prop_assert_eq!(complete.differing_items(left.bucket_hashes()).count(), 0);
        // Determines the winners without a store. This also shows that removed items are not restored.
        let mut winner: BTreeMap<_, &Item> = BTreeMap::new();
        for item in &items {
            let winner = winner.entry((item.kind, &item.name)).or_insert(item);
            if (winner.version, &winner.value) < (item.version, &item.value) {
                *winner = item;
            }
        }
        prop_assert_eq!(all_items(&complete), winner.into_values().collect::<Vec<_>>());
    }

    #[test]
    fn digests_are_equal_if_and_only_if_contents_are(
        left in prop::collection::vec(item(), 0..6),
        right in prop::collection::vec(item(), 0..6),
    ) {
        let (left, right) = (item_store(&left), item_store(&right));
        prop_assert_eq!(left.digest() == right.digest(), compared_items(&left) == compared_items(&right));
    }
}

/// A version of a durable item. Each version has a single content, as consensus guarantees.
fn committed(version: u64) -> Item {
    Item { kind: Kind::Service, name: "a".into(), version, value: Some(format!("{version}").into()) }
}

/// Merges the items of `from` that differ, with their older versions, into another store.
fn transfer(from: &ItemStore, into: &mut ItemStore) {
    let peer_hashes = into.history_bucket_hashes().to_vec();
    for entry in from.differing_entries(&peer_hashes) {
        into.merge_with_history(entry.item.clone(), entry.older_versions);
    }
}

proptest! {
    /// Stores that receive versions in different orders keep the same older versions, namely the highest.
    #[test]
    fn older_versions_converge_regardless_of_order(
        (versions, shuffled) in prop::collection::vec(0..40u64, 1..40)
            .prop_flat_map(|versions| (Just(versions.clone()), Just(versions).prop_shuffle())),
        at in 0..40usize,
    ) {
        let all = |versions: &[u64]| item_store(&versions.iter().map(|n| committed(*n)).collect::<Vec<_>>());
        let complete = all(&versions);
        let (left, right) = shuffled.split_at(at.min(shuffled.len()));
        let (mut left, mut right) = (all(left), all(right));
        transfer(&right, &mut left);
        transfer(&left, &mut right);
        for store in [&left, &right] {
            prop_assert_eq!(store.older_versions(Kind::Service, "a"), complete.older_versions(Kind::Service, "a"));
            prop_assert_eq!(store.history_bucket_hashes(), complete.history_bucket_hashes());
            prop_assert_eq!(store.digest(), complete.digest());
        }
        let mut sorted = versions;
        sorted.sort_unstable();
        sorted.dedup();
        sorted.pop();
        let expected: Vec<VersionDigest> = sorted.iter().rev().take(MAX_OLDER_VERSIONS).rev().map(|n| committed(*n).version_digest()).collect();
        prop_assert_eq!(complete.older_versions(Kind::Service, "a"), &expected[..]);
        let entry = complete.entry(Kind::Service, "a").unwrap();
        let (key, value) = encode_record(entry);
        prop_assert_eq!(decode_record(&key, &value), Some((entry.item.clone(), entry.older_versions.to_vec())));
    }
}

#[test]
fn a_repeated_change_is_detected_after_newer_versions() {
    let mut item_store = ItemStore::new();
    let conflicting = |version| Item { value: None, ..committed(version) };
    assert_eq!(item_store.version_status(&committed(2)), VersionStatus::Undecided);
    for version in (2..=2 * MAX_OLDER_VERSIONS as u64).step_by(2) {
        assert_eq!(item_store.merge_with_history(committed(version), &[]), MergeOutcome::NewestChanged);
    }
    let newest = 2 * MAX_OLDER_VERSIONS as u64;
    assert_eq!(
        (item_store.version_status(&committed(newest)), item_store.version_status(&conflicting(newest))),
        (VersionStatus::SameContent, VersionStatus::DifferentContent)
    );
    assert_eq!(
        (item_store.version_status(&committed(2)), item_store.version_status(&conflicting(2))),
        (VersionStatus::SameContent, VersionStatus::DifferentContent)
    );
    assert_eq!(
        (item_store.version_status(&committed(3)), item_store.version_status(&committed(newest + 1))),
        (VersionStatus::Undecided, VersionStatus::Undecided)
    );
    // An older version that is committed late has no effect but is kept; the lowest older version is pruned instead.
    assert_eq!(
        item_store.version_status(&committed(1)),
        VersionStatus::Undecided,
        "there is still space to keep it"
    );
    assert_eq!(item_store.merge_with_history(committed(3), &[]), MergeOutcome::HistoryChanged);
    assert_eq!(item_store.merge_with_history(committed(3), &[]), MergeOutcome::Unchanged);
    assert_eq!(
        (item_store.version_status(&committed(3)), item_store.version_status(&conflicting(3))),
        (VersionStatus::SameContent, VersionStatus::DifferentContent)
    );
    assert_eq!(item_store.older_versions(Kind::Service, "a").len(), MAX_OLDER_VERSIONS);
    assert_eq!(
        (item_store.version_status(&committed(1)), item_store.version_status(&conflicting(1))),
        (VersionStatus::Pruned, VersionStatus::Pruned)
    );
    assert_eq!(item_store.get(Kind::Service, "a"), Some(&committed(newest)));
    // A record of an earlier release, without older versions, can still be decoded.
    let old = [&7u64.to_be_bytes()[..], &[1], b"x"].concat();
    let (item, older_versions) = decode_record(&[Kind::Service as u8, b'a'], &old).unwrap();
    assert_eq!((item.version, item.value.as_deref(), older_versions.len()), (7, Some(&b"x"[..]), 0));
    // Backends have no older versions.
    let backend = |version| Item { kind: Kind::Backend, ..committed(version) };
    item_store.merge(backend(1));
    item_store.merge(backend(2));
    assert_eq!(item_store.older_versions(Kind::Backend, "a"), &[]);
}

/// Purging tombstones of backends does not change a store's hashes and limits their number.
#[test]
fn purging_removed_backends_does_not_change_hashes() {
    let item = |n: u64, value: Option<&'static str>| Item {
        kind: Kind::Backend,
        name: format!("b{n}").into(),
        version: n + 1,
        value: value.map(Bytes::from),
    };
    let (mut one, mut two) = (ItemStore::new(), ItemStore::new());
    for n in 0..100 {
        one.merge(item(n, Some("{}")));
        one.merge(Item { version: 1_000 + n, ..item(n, None) });
    }
    for item_store in [&mut one, &mut two] {
        item_store.merge(item(200, Some("{}")));
    }
    assert_eq!(one.digest(), two.digest());
    one.purge_oldest_tombstones(Kind::Backend, 40);
    assert_eq!((one.digest(), one.len()), (two.digest(), 31));
    assert!(one.get(Kind::Backend, "b99").is_some() && one.get(Kind::Backend, "b0").is_none());
}

//! Copies of a ledger agree, in whatever order they hear of things.

use bytes::Bytes;
use kitepass_config::{
    decode_record, record, Item, ItemStore, Kind, MergeOutcome, VersionDigest, VersionStatus,
    MAX_OLDER_VERSIONS,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Few names, editions and values, so that they often meet.
fn item() -> impl Strategy<Value = Item> {
    (0..7usize, "[ab]", 0..4u64, prop::option::of("[xy]{0,1}")).prop_map(|(kind, name, edition, value)| {
        Item { kind: Kind::ALL[kind], name: Arc::from(name), edition, value: value.map(Bytes::from) }
    })
}

fn ledger<'a>(items: impl IntoIterator<Item = &'a Item>) -> ItemStore {
    let mut ledger = ItemStore::new();
    for item in items {
        ledger.merge(item.clone());
    }
    ledger
}

fn content(ledger: &ItemStore) -> Vec<&Item> {
    ledger.all().collect()
}

/// What copies have to agree on: all but backends that are gone, which each forgets in its own time. One that is
/// gone in one copy and stands in another differs like anything else.
fn shown(ledger: &ItemStore) -> Vec<&Item> {
    ledger.all().filter(|item| item.kind != Kind::Backend || item.stands()).collect()
}

proptest! {
    #[test]
    fn order_repetition_and_partition_do_not_matter(
        (items, shuffled) in prop::collection::vec(item(), 0..40)
            .prop_flat_map(|items| (Just(items.clone()), Just(items).prop_shuffle())),
        at in 0..40usize,
    ) {
        let whole = ledger(&items);
        let (left, right) = shuffled.split_at(at.min(shuffled.len()));
        let (mut left, right) = (ledger(left), ledger(right));
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
            if (best.edition, &best.value) < (item.edition, &item.value) {
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
        let (left, right) = (ledger(&left), ledger(&right));
        prop_assert_eq!(left.digest() == right.digest(), shown(&left) == shown(&right));
    }
}

/// A durable item's version, of which there is one content for each number, as the register sees to.
fn decided(edition: u64) -> Item {
    Item { kind: Kind::Service, name: "a".into(), edition, value: Some(format!("{edition}").into()) }
}

/// Merges one ledger's items with their older versions into another.
fn pour(from: &ItemStore, into: &mut ItemStore) {
    let theirs = into.whole_buckets().to_vec();
    for entry in from.whole_differing(&theirs) {
        into.merge_with(entry.item.clone(), entry.past);
    }
}

proptest! {
    /// Copies that heard of versions in different orders come to remember the same ones: the highest.
    #[test]
    fn older_versions_are_a_union_in_whatever_order(
        (editions, shuffled) in prop::collection::vec(0..40u64, 1..40)
            .prop_flat_map(|editions| (Just(editions.clone()), Just(editions).prop_shuffle())),
        at in 0..40usize,
    ) {
        let all = |editions: &[u64]| ledger(&editions.iter().map(|n| decided(*n)).collect::<Vec<_>>());
        let whole = all(&editions);
        let (left, right) = shuffled.split_at(at.min(shuffled.len()));
        let (mut left, mut right) = (all(left), all(right));
        pour(&right, &mut left);
        pour(&left, &mut right);
        for copy in [&left, &right] {
            prop_assert_eq!(copy.past(Kind::Service, "a"), whole.past(Kind::Service, "a"));
            prop_assert_eq!(copy.whole_buckets(), whole.whole_buckets());
            prop_assert_eq!(copy.digest(), whole.digest());
        }
        let mut sorted = editions;
        sorted.sort_unstable();
        sorted.dedup();
        sorted.pop();
        let expected: Vec<VersionDigest> = sorted.iter().rev().take(MAX_OLDER_VERSIONS).rev().map(|n| decided(*n).version()).collect();
        prop_assert_eq!(whole.past(Kind::Service, "a"), &expected[..]);
        let entry = whole.entry(Kind::Service, "a").unwrap();
        let (key, value) = record(entry);
        prop_assert_eq!(decode_record(&key, &value), Some((entry.item.clone(), entry.past.to_vec())));
    }
}

#[test]
fn a_call_that_comes_again_is_known_after_newer_versions() {
    let mut ledger = ItemStore::new();
    let other = |edition| Item { value: None, ..decided(edition) };
    assert_eq!(ledger.verdict(&decided(2)), VersionStatus::Open);
    for edition in (2..=2 * MAX_OLDER_VERSIONS as u64).step_by(2) {
        assert_eq!(ledger.merge_with(decided(edition), &[]), MergeOutcome::News);
    }
    let newest = 2 * MAX_OLDER_VERSIONS as u64;
    assert_eq!(
        (ledger.verdict(&decided(newest)), ledger.verdict(&other(newest))),
        (VersionStatus::Alike, VersionStatus::Other)
    );
    assert_eq!(
        (ledger.verdict(&decided(2)), ledger.verdict(&other(2))),
        (VersionStatus::Alike, VersionStatus::Other)
    );
    assert_eq!(
        (ledger.verdict(&decided(3)), ledger.verdict(&decided(newest + 1))),
        (VersionStatus::Open, VersionStatus::Open)
    );
    // Decided late, an older version has no effect and is remembered; what falls out below is past.
    assert_eq!(ledger.verdict(&decided(1)), VersionStatus::Open, "there is room to remember it");
    assert_eq!(ledger.merge_with(decided(3), &[]), MergeOutcome::Past);
    assert_eq!(ledger.merge_with(decided(3), &[]), MergeOutcome::Nothing);
    assert_eq!(
        (ledger.verdict(&decided(3)), ledger.verdict(&other(3))),
        (VersionStatus::Alike, VersionStatus::Other)
    );
    assert_eq!(ledger.past(Kind::Service, "a").len(), MAX_OLDER_VERSIONS);
    assert_eq!(
        (ledger.verdict(&decided(1)), ledger.verdict(&other(1))),
        (VersionStatus::Past, VersionStatus::Past)
    );
    assert_eq!(ledger.get(Kind::Service, "a"), Some(&decided(newest)));
    // A record of before, without older versions, is read as it was.
    let old = [&7u64.to_be_bytes()[..], &[1], b"x"].concat();
    let (item, past) = decode_record(&[Kind::Service as u8, b'a'], &old).unwrap();
    assert_eq!((item.edition, item.value.as_deref(), past.len()), (7, Some(&b"x"[..]), 0));
    // Backends have no past.
    let backend = |edition| Item { kind: Kind::Backend, ..decided(edition) };
    ledger.merge(backend(1));
    ledger.merge(backend(2));
    assert_eq!(ledger.past(Kind::Backend, "a"), &[]);
}

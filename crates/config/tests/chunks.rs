//! Copies that differ come to agree by pieces: whatever they hold, wherever it breaks off, and no piece that is not whole
//! passes for one.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use bytes::Bytes;
use kitepass_config::{chunk_digest, Item, ItemStore, Kind, BUCKETS};

fn item_store(chance: &mut oorandom::Rand64, most: u64) -> ItemStore {
    let mut item_store = ItemStore::new();
    for _ in 0..chance.rand_range(0..most) {
        let kind = Kind::ALL[chance.rand_range(0..7) as usize];
        let name = format!("n{}", chance.rand_range(0..most));
        let value = (chance.rand_range(0..4) > 0).then(|| {
            let length = if chance.rand_range(0..200) == 0 { 40_000 } else { chance.rand_range(0..300) };
            Bytes::from(vec![chance.rand_range(0..256) as u8; length as usize])
        });
        item_store.merge(Item { kind, name: name.into(), version: chance.rand_range(1..5), value });
    }
    item_store
}

#[test]
fn pieces_are_bounded_and_bring_all_though_the_other_changes_and_lines_break() {
    const MOST: usize = 16_000;
    let (mut pieces, mut breaks) = (0, 0);
    for seed in 0..60 {
        let mut chance = oorandom::Rand64::new(seed);
        let (mut asker, mut told) = (item_store(&mut chance, 700), item_store(&mut chance, 700));
        let at_first: Vec<Item> = told.items().cloned().collect();
        let (mut sent, mut from) = (asker.buckets().to_vec(), 0);
        while from < BUCKETS {
            let piece = told.chunk(&sent, from, MOST);
            pieces += 1;
            // But for a bucket that is too large by a single item, and goes alone.
            let sizes = || piece.items.iter().map(|item| item.wire_bytes());
            let beside = sizes().sum::<usize>() - sizes().max().unwrap_or(0);
            assert!(beside <= MOST, "seed {seed}: {beside} bytes beside the largest item");
            let mut given = ItemStore::new();
            piece.items.iter().for_each(|item| _ = given.merge((*item).clone()));
            assert_eq!(
                chunk_digest(given.buckets(), &sent, from, piece.next_bucket, &piece.differing_buckets),
                piece.digest
            );
            // With any one item missing, or old, it does not pass.
            if let Some(doubted) = piece.items.iter().find(|item| item.kind != Kind::Backend) {
                let mut short = ItemStore::new();
                let others = piece.items.iter().filter(|item| *item != doubted);
                others.for_each(|item| _ = short.merge((*item).clone()));
                assert_ne!(
                    chunk_digest(short.buckets(), &sent, from, piece.next_bucket, &piece.differing_buckets),
                    piece.digest
                );
            }
            let next = piece.next_bucket;
            let items: Vec<Item> = piece.items.into_iter().cloned().collect();
            if chance.rand_range(0..5) == 0 {
                // The line breaks: the piece is lost, and all begins anew against what has been taken.
                (sent, from, breaks) = (asker.buckets().to_vec(), 0, breaks + 1);
            } else {
                items.into_iter().for_each(|item| _ = asker.merge(item));
                from = next;
            }
            if chance.rand_range(0..3) == 0 {
                let name = format!("n{}", chance.rand_range(0..700)).into();
                told.merge(Item { kind: Kind::Tenant, name, version: 9, value: None });
            }
        }
        // All that was held when the reading began is known. Of a backend that is gone copies need not know.
        for item in at_first.into_iter().filter(|item| item.kind != Kind::Backend || item.is_set()) {
            let known = asker.get(item.kind, &item.name).expect("known");
            assert!(
                (known.version, &known.value) >= (item.version, &item.value),
                "seed {seed}: {}",
                item.name
            );
        }
    }
    assert!(pieces > 600 && breaks > 80, "{pieces} pieces, {breaks} breaks");
}

/// What came before a break is not sent again.
#[test]
fn a_break_is_resumed_where_it_was() {
    let mut told = ItemStore::new();
    for n in 0..3_000 {
        let value = Some(Bytes::from(vec![b'v'; 100]));
        told.merge(Item { kind: Kind::Tenant, name: format!("n{n}").into(), version: 1, value });
    }
    let (mut asker, mut sent_in_all) = (ItemStore::new(), 0);
    while asker.digest() != told.digest() {
        // Each connection carries one piece, and ends.
        let piece = told.chunk(asker.buckets(), 0, 32_000);
        sent_in_all += piece.items.len();
        piece.items.into_iter().for_each(|item| _ = asker.merge(item.clone()));
    }
    assert_eq!(sent_in_all, 3_000);
}

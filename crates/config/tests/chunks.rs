//! Stores that differ converge by chunks: whatever they hold, wherever a transfer breaks off, and no incomplete chunk
//! passes for a complete one.

use bytes::Bytes;
use kitepass_config::{chunk_digest, Chunk, Item, ItemStore, Kind, BUCKET_COUNT};
use oorandom::Rand64;

fn random_store(rng: &mut Rand64, max_items: u64) -> ItemStore {
    let mut item_store = ItemStore::new();
    for _ in 0..rng.rand_range(0..max_items) {
        let kind = Kind::ALL[rng.rand_range(0..7) as usize];
        let name = format!("n{}", rng.rand_range(0..max_items));
        let value = (rng.rand_range(0..4) > 0).then(|| {
            let length = if rng.rand_range(0..200) == 0 { 40_000 } else { rng.rand_range(0..300) };
            Bytes::from(vec![rng.rand_range(0..256) as u8; length as usize])
        });
        item_store.merge(Item { kind, name: name.into(), version: rng.rand_range(1..5), value });
    }
    item_store
}

fn store_of<'a>(items: impl IntoIterator<Item = &'a Item>) -> ItemStore {
    let mut item_store = ItemStore::new();
    items.into_iter().for_each(|item| _ = item_store.merge(item.clone()));
    item_store
}

/// But for a bucket that is too large by a single item, and is sent alone.
fn assert_bounded(chunk: &Chunk<&Item>, max_bytes: usize, seed: u128) {
    let sizes = || chunk.items.iter().map(|item| item.max_wire_bytes());
    let beside = sizes().sum::<usize>() - sizes().max().unwrap_or(0);
    assert!(beside <= max_bytes, "seed {seed}: {beside} bytes beside the largest item");
}

/// The chunk passes for complete, and with any one item missing, or old, it does not.
fn assert_digest_detects_loss(chunk: &Chunk<&Item>, requested: &[u64], from_bucket: usize) {
    let digest_of = |received: ItemStore| {
        chunk_digest(
            received.bucket_hashes(),
            requested,
            from_bucket,
            chunk.next_bucket,
            &chunk.differing_buckets,
        )
    };
    assert_eq!(digest_of(store_of(chunk.items.iter().copied())), chunk.digest);
    if let Some(missing) = chunk.items.iter().find(|item| item.kind != Kind::Backend) {
        let others = chunk.items.iter().copied().filter(|item| item != missing);
        assert_ne!(digest_of(store_of(others)), chunk.digest);
    }
}

#[test]
fn chunks_are_bounded_and_transfer_all_while_the_sender_changes_and_connections_break() {
    const MAX_BYTES: usize = 16_000;
    let (mut chunks, mut breaks) = (0, 0);
    for seed in 0..60 {
        let mut rng = Rand64::new(seed);
        let (mut receiver, mut sender) = (random_store(&mut rng, 700), random_store(&mut rng, 700));
        let at_first: Vec<Item> = sender.items().cloned().collect();
        let (mut requested, mut from_bucket) = (receiver.bucket_hashes().to_vec(), 0);
        while from_bucket < BUCKET_COUNT {
            let chunk = sender.chunk(&requested, from_bucket, MAX_BYTES);
            chunks += 1;
            assert_bounded(&chunk, MAX_BYTES, seed);
            assert_digest_detects_loss(&chunk, &requested, from_bucket);
            let next_bucket = chunk.next_bucket;
            let items: Vec<Item> = chunk.items.into_iter().cloned().collect();
            if rng.rand_range(0..5) == 0 {
                // The connection breaks: the chunk is lost, and all begins anew against what has been merged.
                (requested, from_bucket, breaks) = (receiver.bucket_hashes().to_vec(), 0, breaks + 1);
            } else {
                items.into_iter().for_each(|item| _ = receiver.merge(item));
                from_bucket = next_bucket;
            }
            if rng.rand_range(0..3) == 0 {
                let name = format!("n{}", rng.rand_range(0..700)).into();
                sender.merge(Item { kind: Kind::Tenant, name, version: 9, value: None });
            }
        }
        // All that the sender held at first is known, but for tombstones of backends, which need not be.
        for item in at_first.into_iter().filter(|item| item.kind != Kind::Backend || item.is_set()) {
            let known = receiver.get(item.kind, &item.name).expect("known");
            assert!(
                (known.version, &known.value) >= (item.version, &item.value),
                "seed {seed}: {}",
                item.name
            );
        }
    }
    assert!(chunks > 600 && breaks > 80, "{chunks} chunks, {breaks} breaks");
}

/// What was transferred before a connection broke is not sent again.
#[test]
fn a_broken_transfer_is_resumed() {
    let mut sender = ItemStore::new();
    for n in 0..3_000 {
        let value = Some(Bytes::from(vec![b'v'; 100]));
        sender.merge(Item { kind: Kind::Tenant, name: format!("n{n}").into(), version: 1, value });
    }
    let (mut receiver, mut sent_items) = (ItemStore::new(), 0);
    while receiver.digest() != sender.digest() {
        // Each connection carries one chunk, and ends.
        let chunk = sender.chunk(receiver.bucket_hashes(), 0, 32_000);
        sent_items += chunk.items.len();
        chunk.items.into_iter().for_each(|item| _ = receiver.merge(item.clone()));
    }
    assert_eq!(sent_items, 3_000);
}

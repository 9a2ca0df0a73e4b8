//! Stores converge by exchanging chunks, regardless of their contents and of when a transfer is interrupted. Incomplete
//! chunks are detected by their digest.

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

/// Checks the chunk's size. It may be exceeded by a single large item, whose bucket must be sent whole.
fn assert_bounded(chunk: &Chunk<&Item>, max_bytes: usize, seed: u128) {
    let sizes = || chunk.items.iter().map(|item| item.max_wire_bytes());
    let other_bytes = sizes().sum::<usize>() - sizes().max().unwrap_or(0);
    assert!(other_bytes <= max_bytes, "seed {seed}: {other_bytes} bytes besides the largest item");
}

/// Checks that the digest matches a complete chunk but not one that lacks an item.
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
fn interrupted_transfer_from_a_changing_sender_is_complete_and_chunks_are_bounded() {
    const MAX_BYTES: usize = 16_000;
    let (mut chunks, mut interruptions) = (0, 0);
    for seed in 0..60 {
        let mut rng = Rand64::new(seed);
        let (mut receiver, mut sender) = (random_store(&mut rng, 700), random_store(&mut rng, 700));
        let initial_items: Vec<Item> = sender.items().cloned().collect();
        let (mut requested, mut from_bucket) = (receiver.bucket_hashes().to_vec(), 0);
        while from_bucket < BUCKET_COUNT {
            let chunk = sender.chunk(&requested, from_bucket, MAX_BYTES);
            chunks += 1;
            assert_bounded(&chunk, MAX_BYTES, seed);
            assert_digest_detects_loss(&chunk, &requested, from_bucket);
            let next_bucket = chunk.next_bucket;
            let items: Vec<Item> = chunk.items.into_iter().cloned().collect();
            if rng.rand_range(0..5) == 0 {
                // The connection breaks and the chunk is lost. The transfer restarts with the receiver's new hashes.
                (requested, from_bucket, interruptions) =
                    (receiver.bucket_hashes().to_vec(), 0, interruptions + 1);
            } else {
                items.into_iter().for_each(|item| _ = receiver.merge(item));
                from_bucket = next_bucket;
            }
            if rng.rand_range(0..3) == 0 {
                let name = format!("n{}", rng.rand_range(0..700)).into();
                sender.merge(Item { kind: Kind::Tenant, name, version: 9, value: None });
            }
        }
        // The receiver has all initial items of the sender, except for tombstones of backends, which are optional.
        for item in initial_items.into_iter().filter(|item| item.kind != Kind::Backend || item.is_set()) {
            let known = receiver.get(item.kind, &item.name).expect("known");
            assert!(
                (known.version, &known.value) >= (item.version, &item.value),
                "seed {seed}: {}",
                item.name
            );
        }
    }
    assert!(chunks > 600 && interruptions > 80, "{chunks} chunks, {interruptions} interruptions");
}

/// Buckets that were transferred before a connection broke are not sent again.
#[test]
fn an_interrupted_transfer_is_resumed() {
    let mut sender = ItemStore::new();
    for n in 0..3_000 {
        let value = Some(Bytes::from(vec![b'v'; 100]));
        sender.merge(Item { kind: Kind::Tenant, name: format!("n{n}").into(), version: 1, value });
    }
    let (mut receiver, mut sent_items) = (ItemStore::new(), 0);
    while receiver.digest() != sender.digest() {
        // Each connection transfers one chunk before it breaks.
        let chunk = sender.chunk(receiver.bucket_hashes(), 0, 32_000);
        sent_items += chunk.items.len();
        chunk.items.into_iter().for_each(|item| _ = receiver.merge(item.clone()));
    }
    assert_eq!(sent_items, 3_000);
}

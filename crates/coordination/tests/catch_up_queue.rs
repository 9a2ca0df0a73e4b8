//! Many that come at once are told all of it, in turns, and what is on its way to them stays bounded.

// Until the issue "Readable code 2" has reached this crate.
#![allow(missing_docs, unreachable_pub, clippy::missing_errors_doc, clippy::missing_panics_doc)]
#![allow(clippy::too_many_arguments, clippy::too_many_lines, clippy::wildcard_imports)]

use kitepass_coordination::catch_up_queue::CatchUpQueue;
use kitepass_time::Timestamp;

const PIECE: usize = 100;
const MOST: usize = 1_000;

#[test]
fn what_is_on_its_way_to_all_is_bounded_and_everybody_is_told_all() {
    for seed in 0..50 {
        let mut chance = oorandom::Rand64::new(seed);
        let mut feeds = CatchUpQueue::new(MOST);
        // How far each of 200 has been told; each needs 20 pieces. Some go and come again meanwhile, some never read.
        let (mut far, mut on_way) = (vec![0; 200], Vec::new());
        let stuck = |id: u64| id % 40 == 7;
        (0..200).for_each(|id| feeds.enqueue(id, vec![id], false));
        let (mut now, mut most) = (0, 0);
        while (0..200).any(|id| !stuck(id) && far[id as usize] < 20) {
            now += 10_000;
            while let Some(turn) = feeds.next_turn(Timestamp::from_micros(now)) {
                let id = turn.id;
                assert_eq!((turn.first_bucket, &turn.bucket_digests), (far[id as usize], &vec![id]));
                far[id as usize] += 1;
                let goes_on = (far[id as usize] < 20).then_some(far[id as usize]);
                feeds.chunk_sent(Timestamp::from_micros(now), turn, PIECE, goes_on);
                on_way.push(id);
            }
            most = most.max(feeds.bytes_in_flight());
            assert!(feeds.bytes_in_flight() <= MOST + PIECE);
            let takers = on_way.extract_if(.., |id| !stuck(*id) && chance.rand_range(0..3) > 0);
            takers.collect::<Vec<u64>>().into_iter().for_each(|id| feeds.chunk_delivered(id));
            if chance.rand_range(0..10) == 0 {
                let id = chance.rand_range(0..200);
                on_way.retain(|other| *other != id);
                far[id as usize] = 0;
                feeds.enqueue(id, vec![id], false);
            }
            assert!(now < 60_000_000, "seed {seed}: not all are told");
        }
        assert!(most >= MOST - PIECE, "the bound was never reached");
    }
}

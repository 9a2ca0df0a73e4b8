//! Many that catch up at once are all sent everything, in turns, and what is in flight to them stays bounded.

use kitepass_coordination::catch_up_queue::CatchUpQueue;
use kitepass_time::Timestamp;

const RECEIVERS: u64 = 200;
const CHUNKS: usize = 20;
const CHUNK_BYTES: usize = 100;
const MAX_BYTES_IN_FLIGHT: usize = 1_000;
/// In microseconds.
const STEP: i64 = 10_000;

/// Some receivers never read.
fn is_stuck(id: u64) -> bool {
    id % 40 == 7
}

struct Model {
    rng: oorandom::Rand64,
    queue: CatchUpQueue,
    /// How many chunks each receiver was sent.
    sent: Vec<usize>,
    in_flight: Vec<u64>,
    now: i64,
}

impl Model {
    fn new(seed: u128) -> Model {
        let mut queue = CatchUpQueue::new(MAX_BYTES_IN_FLIGHT);
        (0..RECEIVERS).for_each(|id| queue.enqueue(id, vec![id], false));
        let sent = vec![0; RECEIVERS as usize];
        Model { rng: oorandom::Rand64::new(seed), queue, sent, in_flight: Vec::new(), now: 0 }
    }

    fn is_complete(&self) -> bool {
        (0..RECEIVERS).all(|id| is_stuck(id) || self.sent[id as usize] >= CHUNKS)
    }

    fn send_chunks(&mut self) {
        while let Some(turn) = self.queue.next_chunk(Timestamp::from_micros(self.now)) {
            let id = turn.id;
            let sent = &mut self.sent[id as usize];
            assert_eq!((turn.first_bucket, &turn.bucket_digests), (*sent, &vec![id]));
            *sent += 1;
            let next_bucket = (*sent < CHUNKS).then_some(*sent);
            self.queue.chunk_sent(Timestamp::from_micros(self.now), turn, CHUNK_BYTES, next_bucket);
            self.in_flight.push(id);
        }
    }

    fn deliver(&mut self) {
        let is_delivered = |id: &mut u64| !is_stuck(*id) && self.rng.rand_range(0..3) > 0;
        let delivered: Vec<u64> = self.in_flight.extract_if(.., is_delivered).collect();
        delivered.into_iter().for_each(|id| self.queue.chunk_delivered(id));
    }

    /// Now and then a receiver goes and comes back.
    fn reconnect(&mut self) {
        if self.rng.rand_range(0..10) == 0 {
            let id = self.rng.rand_range(0..RECEIVERS);
            self.in_flight.retain(|other| *other != id);
            self.sent[id as usize] = 0;
            self.queue.enqueue(id, vec![id], false);
        }
    }
}

#[test]
fn bytes_in_flight_are_bounded_and_everybody_catches_up() {
    for seed in 0..50 {
        let mut model = Model::new(seed);
        let mut most = 0;
        while !model.is_complete() {
            model.now += STEP;
            model.send_chunks();
            most = most.max(model.queue.bytes_in_flight());
            assert!(model.queue.bytes_in_flight() <= MAX_BYTES_IN_FLIGHT + CHUNK_BYTES);
            model.deliver();
            model.reconnect();
            assert!(model.now < 60_000_000, "seed {seed}: not all have caught up");
        }
        assert!(most >= MAX_BYTES_IN_FLIGHT - CHUNK_BYTES, "the bound was never reached");
    }
}

//! Many receivers catch up at the same time: each is sent all chunks in order, and the total number of bytes in flight
//! stays bounded.

use kitepass_coordination::catch_up_queue::CatchUpQueue;
use kitepass_time::Timestamp;

const RECEIVERS: u64 = 200;
const CHUNKS_PER_RECEIVER: usize = 20;
const CHUNK_BYTES: usize = 100;
const MAX_BYTES_IN_FLIGHT: usize = 1_000;
/// The simulated time between two steps.
const STEP_MICROS: i64 = 10_000;

/// Whether this receiver never reads, so that no chunk is ever delivered to it.
fn is_stalled(id: u64) -> bool {
    id % 40 == 7
}

struct Model {
    rng: oorandom::Rand64,
    queue: CatchUpQueue,
    /// The number of chunks sent to each receiver since it connected.
    sent: Vec<usize>,
    /// The receiver of each chunk in flight.
    in_flight: Vec<u64>,
    /// The simulated time in microseconds.
    now: i64,
}

impl Model {
    fn new(seed: u128) -> Model {
        let mut queue = CatchUpQueue::new(MAX_BYTES_IN_FLIGHT);
        (0..RECEIVERS).for_each(|id| queue.enqueue(id, vec![id], false));
        let sent = vec![0; RECEIVERS as usize];
        Model { rng: oorandom::Rand64::new(seed), queue, sent, in_flight: Vec::new(), now: 0 }
    }

    fn have_all_caught_up(&self) -> bool {
        (0..RECEIVERS).all(|id| is_stalled(id) || self.sent[id as usize] >= CHUNKS_PER_RECEIVER)
    }

    fn send_chunks(&mut self) {
        while let Some(chunk) = self.queue.next_chunk(Timestamp::from_micros(self.now)) {
            let id = chunk.id;
            let sent = &mut self.sent[id as usize];
            assert_eq!((chunk.first_bucket, &chunk.bucket_digests), (*sent, &vec![id]));
            *sent += 1;
            let next_bucket = (*sent < CHUNKS_PER_RECEIVER).then_some(*sent);
            self.queue.chunk_sent(Timestamp::from_micros(self.now), chunk, CHUNK_BYTES, next_bucket);
            self.in_flight.push(id);
        }
    }

    fn deliver_chunks(&mut self) {
        let is_delivered = |id: &mut u64| !is_stalled(*id) && self.rng.rand_range(0..3) > 0;
        let delivered: Vec<u64> = self.in_flight.extract_if(.., is_delivered).collect();
        delivered.into_iter().for_each(|id| self.queue.chunk_delivered(id));
    }

    /// Occasionally disconnects a receiver, which connects again at once and starts from the first chunk.
    fn reconnect_at_random(&mut self) {
        if self.rng.rand_range(0..10) == 0 {
            let id = self.rng.rand_range(0..RECEIVERS);
            self.in_flight.retain(|other| *other != id);
            self.sent[id as usize] = 0;
            self.queue.enqueue(id, vec![id], false);
        }
    }
}

#[test]
fn bytes_in_flight_are_bounded_and_all_receivers_catch_up() {
    for seed in 0..50 {
        let mut model = Model::new(seed);
        let mut max_in_flight = 0;
        while !model.have_all_caught_up() {
            model.now += STEP_MICROS;
            model.send_chunks();
            max_in_flight = max_in_flight.max(model.queue.bytes_in_flight());
            assert!(model.queue.bytes_in_flight() <= MAX_BYTES_IN_FLIGHT + CHUNK_BYTES);
            model.deliver_chunks();
            model.reconnect_at_random();
            assert!(model.now < 60_000_000, "seed {seed}: some receivers have not caught up");
        }
        assert!(max_in_flight >= MAX_BYTES_IN_FLIGHT - CHUNK_BYTES, "the limit was never reached");
    }
}

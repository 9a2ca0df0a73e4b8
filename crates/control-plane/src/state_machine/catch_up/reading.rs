//! The reading of one other process, chunk by chunk: what it holds and this process does not.

use kitepass_config::{chunk_digest, Item, ItemStore, VersionDigest, BUCKET_COUNT};
use kitepass_coordination::protocol::{PrepareRequest, PrepareResponse};
use kitepass_time::{Duration, Timestamp};
use log::warn;
use std::sync::Arc;

/// The first chunk is asked for again after this time: the request may have been lost with a connection.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_micros(500_000);
/// A later chunk is asked for again after this time. What still waits to be sent over a slow connection isn't sent twice:
/// the server sees to that.
const NEXT_CHUNK_TIMEOUT: Duration = Duration::from_micros(2_000_000);
/// A chunk that came incomplete is asked for again this often.
const MAX_INCOMPLETE_CHUNKS: u32 = 3;

/// What follows from a chunk.
pub(super) enum ReadingOutcome {
    /// The next chunk is to be asked for.
    Continue(PrepareRequest),
    /// All that the other held is known here. What the first answer told beside its items.
    Complete(PrepareResponse),
    /// Too many chunks came incomplete.
    Abandoned,
}

/// How far the reading of one other process has come, under one request id.
pub(super) struct Reading {
    /// Digests of what this process held when the reading began.
    bucket_digests: Arc<[u64]>,
    epoch: u64,
    /// The bucket that is asked for.
    next_bucket: u32,
    asked_at: Timestamp,
    incomplete_chunks: u32,
    /// It has brought something that was not known here.
    pub(super) has_brought_news: bool,
    /// What the first answer told beside its items.
    first_response: Option<PrepareResponse>,
}

impl Reading {
    pub(super) fn new(now: Timestamp, request: &PrepareRequest) -> Reading {
        Reading {
            bucket_digests: Arc::from(request.bucket_digests.as_slice()),
            epoch: request.epoch,
            next_bucket: 0,
            asked_at: now,
            incomplete_chunks: 0,
            has_brought_news: false,
            first_response: None,
        }
    }

    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        let timeout = if self.next_bucket > 0 { NEXT_CHUNK_TIMEOUT } else { FIRST_CHUNK_TIMEOUT };
        now - self.asked_at > timeout
    }

    /// Whether this answer is the one that is waited for. What was asked for twice comes twice.
    pub(super) fn expects(&self, response: &PrepareResponse) -> bool {
        response.first_bucket == self.next_bucket
    }

    /// Takes the chunk that is waited for; `items` are those that it brought.
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        node_id: &str,
        items: &[(Item, Vec<VersionDigest>)],
        response: PrepareResponse,
    ) -> ReadingOutcome {
        let (first_bucket, next_bucket) = (response.first_bucket as usize, response.next_bucket as usize);
        let digest = self.digest_of(items, &response);
        let is_chunk_complete = next_bucket > first_bucket && digest == response.digest;
        let (request_id, incarnation, expected) =
            (response.request_id, response.incarnation, response.digest);
        let first_response = self.first_response.take().unwrap_or(response);
        if first_response.is_rejected {
            return ReadingOutcome::Complete(first_response);
        }
        self.asked_at = now;
        // Invariant: only a chunk that holds all that the other named for it is passed over. One that is short of an item,
        // by whatever fault, would otherwise pass for all that the other holds.
        if !is_chunk_complete {
            self.incomplete_chunks += 1;
            warn!(
                "event=chunk-incomplete node-id={node_id} first-bucket={first_bucket} next-bucket={next_bucket} \
                 expected-digest={expected:x} digest={digest:x}"
            );
            if self.incomplete_chunks > MAX_INCOMPLETE_CHUNKS {
                return ReadingOutcome::Abandoned;
            }
        } else if next_bucket >= BUCKET_COUNT {
            return ReadingOutcome::Complete(first_response);
        } else {
            self.next_bucket = next_bucket as u32;
        }
        self.first_response = Some(first_response);
        ReadingOutcome::Continue(self.request(request_id, incarnation))
    }

    /// The digest that the chunk would have if these items are all that the other named for it.
    fn digest_of(&self, items: &[(Item, Vec<VersionDigest>)], response: &PrepareResponse) -> u64 {
        let mut received = ItemStore::new();
        for (item, history) in items {
            received.merge_with_history(item.clone(), history);
        }
        chunk_digest(
            received.history_bucket_hashes(),
            &self.bucket_digests,
            response.first_bucket as usize,
            response.next_bucket as usize,
            &response.differing_buckets,
        )
    }

    fn request(&self, request_id: u64, incarnation: u64) -> PrepareRequest {
        PrepareRequest {
            request_id,
            bucket_digests: self.bucket_digests.to_vec(),
            incarnation,
            epoch: self.epoch,
            first_bucket: self.next_bucket,
            ..PrepareRequest::default()
        }
    }
}

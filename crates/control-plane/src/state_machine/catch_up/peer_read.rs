//! A read of one peer: transfers, chunk by chunk, the items that the peer holds and this process lacks.

use kitepass_config::{chunk_digest, Item, ItemStore, VersionDigest, BUCKET_COUNT};
use kitepass_coordination::protocol::{PrepareRequest, PrepareResponse};
use kitepass_time::{Duration, Timestamp};
use log::warn;
use std::sync::Arc;

/// The first chunk is requested again after this time, because the request may have been lost with a connection.
const FIRST_CHUNK_TIMEOUT: Duration = Duration::from_micros(500_000);
/// A later chunk is requested again after this time. If the previous response is still queued on a slow connection,
/// the server does not send it twice.
const NEXT_CHUNK_TIMEOUT: Duration = Duration::from_micros(2_000_000);
/// Number of times that incomplete chunks are requested again before the read is abandoned.
const MAX_INCOMPLETE_CHUNKS: u32 = 3;

/// The effect of a chunk.
pub(super) enum PeerReadOutcome {
    /// Send this request for the next chunk.
    Continue(PrepareRequest),
    /// Every item that the peer held is now known here. Holds the first response, without its items.
    Complete(PrepareResponse),
    /// Too many chunks were incomplete.
    Abandoned,
}

/// The progress of reading one peer under one request id.
pub(super) struct PeerRead {
    /// Digests of this process's items when the read began.
    bucket_digests: Arc<[u64]>,
    epoch: u64,
    /// The first bucket of the requested chunk.
    next_bucket: u32,
    requested_at: Timestamp,
    incomplete_chunks: u32,
    /// Whether the read has delivered items that were not known here.
    pub(super) has_new_items: bool,
    /// The first response, without its items.
    first_response: Option<PrepareResponse>,
}

impl PeerRead {
    pub(super) fn new(now: Timestamp, request: &PrepareRequest) -> PeerRead {
        PeerRead {
            bucket_digests: Arc::from(request.bucket_digests.as_slice()),
            epoch: request.epoch,
            next_bucket: 0,
            requested_at: now,
            incomplete_chunks: 0,
            has_new_items: false,
            first_response: None,
        }
    }

    pub(super) fn is_overdue(&self, now: Timestamp) -> bool {
        let timeout = if self.next_bucket > 0 { NEXT_CHUNK_TIMEOUT } else { FIRST_CHUNK_TIMEOUT };
        now - self.requested_at > timeout
    }

    /// Returns whether this response is for the requested chunk. A chunk that was requested twice
    /// arrives twice, and the second copy is ignored.
    pub(super) fn expects(&self, response: &PrepareResponse) -> bool {
        response.first_bucket == self.next_bucket
    }

    /// Processes the requested chunk; `items` are the items that it contained.
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        node_id: &str,
        items: &[(Item, Vec<VersionDigest>)],
        response: PrepareResponse,
    ) -> PeerReadOutcome {
        let (first_bucket, next_bucket) = (response.first_bucket as usize, response.next_bucket as usize);
        let digest = self.digest_of(items, &response);
        let is_chunk_complete = next_bucket > first_bucket && digest == response.digest;
        let (request_id, incarnation, expected) =
            (response.request_id, response.incarnation, response.digest);
        let first_response = self.first_response.take().unwrap_or(response);
        if first_response.is_rejected {
            return PeerReadOutcome::Complete(first_response);
        }
        self.requested_at = now;
        // Invariant: the read only advances past a chunk whose items match its digest. A chunk that is missing an
        // item for any reason would otherwise count as everything that the peer holds.
        if !is_chunk_complete {
            self.incomplete_chunks += 1;
            warn!(
                "event=chunk-incomplete node-id={node_id} first-bucket={first_bucket} next-bucket={next_bucket} \
                 expected-digest={expected:x} digest={digest:x}"
            );
            if self.incomplete_chunks > MAX_INCOMPLETE_CHUNKS {
                return PeerReadOutcome::Abandoned;
            }
        } else if next_bucket >= BUCKET_COUNT {
            return PeerReadOutcome::Complete(first_response);
        } else {
            self.next_bucket = next_bucket as u32;
        }
        self.first_response = Some(first_response);
        PeerReadOutcome::Continue(self.request(request_id, incarnation))
    }

    /// Returns the digest that the chunk would have if `items` were all of its items.
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

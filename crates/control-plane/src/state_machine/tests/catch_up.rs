use super::at;
use crate::state_machine::catch_up::{CatchUp, ChunkOutcome};
use kitepass_config::{Item, ItemStore, Kind, VersionDigest, BUCKET_COUNT};
use kitepass_coordination::protocol::{AcceptRequest, PrepareRequest, PrepareResponse};

const REQUEST_ID: u64 = 3;

fn peer_item_store() -> ItemStore {
    let mut item_store = ItemStore::new();
    for number in 0..30 {
        let name = format!("l{number}").into();
        item_store.apply(Item { kind: Kind::Service, name, version: 1, value: Some(vec![b'x'; 100].into()) });
    }
    item_store
}

fn request() -> PrepareRequest {
    let bucket_digests = ItemStore::new().history_bucket_hashes().to_vec();
    PrepareRequest { request_id: REQUEST_ID, bucket_digests, ..PrepareRequest::default() }
}

/// A peer's response to `request`, with a chunk of about `bytes` at most.
fn chunk(request: &PrepareRequest, bytes: usize) -> (Vec<(Item, Vec<VersionDigest>)>, PrepareResponse) {
    let store = peer_item_store();
    let chunk = store.history_chunk(&request.bucket_digests, request.first_bucket as usize, bytes);
    let response = PrepareResponse {
        request_id: request.request_id,
        is_complete: true,
        first_bucket: request.first_bucket,
        next_bucket: chunk.next_bucket as u32,
        differing_buckets: chunk.differing_buckets,
        digest: chunk.digest,
        ..PrepareResponse::default()
    };
    (
        chunk.items.into_iter().map(|entry| (entry.item.clone(), entry.older_versions.to_vec())).collect(),
        response,
    )
}

fn catch_up_with_read() -> CatchUp {
    let mut catch_up = CatchUp::new(at(0));
    catch_up.start_read(at(0), "s1", &request());
    catch_up
}

#[test]
fn read_continues_chunk_by_chunk() {
    let mut catch_up = catch_up_with_read();
    let (mut request, mut items_read, mut chunks) = (request(), 0, 0);
    loop {
        let (items, response) = chunk(&request, 500);
        (items_read, chunks) = (items_read + items.len(), chunks + 1);
        match catch_up.receive_chunk(at(10), "s1", true, true, &items, response) {
            ChunkOutcome::Continue(next) => request = next,
            ChunkOutcome::Complete(first_response) => {
                assert_eq!(first_response.first_bucket, 0);
                break;
            }
            ChunkOutcome::Ignored => panic!("chunk {chunks} was ignored"),
        }
    }
    assert_eq!(items_read, 30);
    assert!(chunks > 1, "{chunks} chunks");
    assert!(!catch_up.is_any_read_in_progress(at(10), "s1"));
}

#[test]
fn response_to_earlier_incarnation_does_not_end_read() {
    let mut catch_up = catch_up_with_read();
    let (items, response) = chunk(&request(), usize::MAX);
    assert_eq!(response.next_bucket as usize, BUCKET_COUNT);
    let outcome = catch_up.receive_chunk(at(10), "s1", false, true, &items, response.clone());
    assert!(matches!(outcome, ChunkOutcome::Ignored));
    let outcome = catch_up.receive_chunk(at(10), "s1", true, true, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Complete(_)));
}

#[test]
fn response_of_non_member_does_not_complete_read() {
    let mut catch_up = catch_up_with_read();
    let (items, response) = chunk(&request(), usize::MAX);
    let outcome = catch_up.receive_chunk(at(10), "s1", true, false, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored));
}

#[test]
fn duplicate_chunk_is_ignored() {
    let mut catch_up = catch_up_with_read();
    let (items, response) = chunk(&request(), 500);
    let outcome = catch_up.receive_chunk(at(10), "s1", true, true, &items, response.clone());
    assert!(matches!(outcome, ChunkOutcome::Continue(_)));
    let outcome = catch_up.receive_chunk(at(20), "s1", true, true, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored));
    assert!(catch_up.is_read_in_progress(at(20), REQUEST_ID, "s1"));
}

#[test]
fn incomplete_chunk_is_requested_again_three_times() {
    let mut catch_up = catch_up_with_read();
    let (items, response) = chunk(&request(), usize::MAX);
    let incomplete_items = &items[1..];
    for attempt in 1..=3 {
        let outcome =
            catch_up.receive_chunk(at(attempt), "s1", true, true, incomplete_items, response.clone());
        let ChunkOutcome::Continue(again) = outcome else { panic!("attempt {attempt}") };
        assert_eq!(again.first_bucket, 0);
    }
    let outcome = catch_up.receive_chunk(at(4), "s1", true, true, incomplete_items, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored));
    assert!(!catch_up.is_read_in_progress(at(4), REQUEST_ID, "s1"));
}

#[test]
fn overdue_read_is_kept_only_while_it_is_needed() {
    let mut catch_up = catch_up_with_read();
    assert!(catch_up.is_read_in_progress(at(500), REQUEST_ID, "s1"));
    assert!(!catch_up.is_read_in_progress(at(501), REQUEST_ID, "s1"));
    let (items, response) = chunk(&request(), usize::MAX);
    catch_up.expire_reads(at(501), |id| id == REQUEST_ID);
    catch_up.delay_accept("s2", REQUEST_ID, AcceptRequest::default());
    catch_up.expire_reads(at(502), |_| false);
    let (node_id, _) = catch_up.take_delayed_accept(REQUEST_ID).expect("the accept request is still delayed");
    assert_eq!(node_id, "s2");
    assert!(catch_up.take_delayed_accept(REQUEST_ID).is_none());
    catch_up.expire_reads(at(503), |_| false);
    let outcome = catch_up.receive_chunk(at(504), "s1", true, true, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored), "the expired read is no longer needed");
}

#[test]
fn restart_discards_completed_reads_and_uses_new_id() {
    let mut catch_up = CatchUp::new(at(0));
    assert_eq!(catch_up.catch_up_id(at(5), || 8), 8);
    assert_eq!(catch_up.catch_up_id(at(6), || 9), 8);
    assert_eq!(catch_up.first_requested_at(), at(5));
    catch_up.replica_read_completed("a", 4);
    catch_up.replica_read_completed("b", 2);
    assert_eq!(catch_up.completed_reads(), (["a".to_owned(), "b".to_owned()].into(), 4));
    catch_up.restart();
    assert_eq!(catch_up.completed_reads(), (Default::default(), 0));
    assert_eq!(catch_up.catch_up_id(at(7), || 9), 9);
}

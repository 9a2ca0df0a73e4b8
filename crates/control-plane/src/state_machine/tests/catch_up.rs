use super::at;
use crate::state_machine::catch_up::{CatchUp, ChunkOutcome};
use kitepass_config::{Item, ItemStore, Kind, VersionDigest, BUCKET_COUNT};
use kitepass_coordination::protocol::{AcceptRequest, PrepareRequest, PrepareResponse};

const REQUEST_ID: u64 = 3;

fn other_store() -> ItemStore {
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

/// A chunk of at most about `bytes`, as the other answers it.
fn chunk(request: &PrepareRequest, bytes: usize) -> (Vec<(Item, Vec<VersionDigest>)>, PrepareResponse) {
    let store = other_store();
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

fn reading() -> CatchUp {
    let mut catch_up = CatchUp::new(at(0));
    catch_up.start_read(at(0), "s1", &request());
    catch_up
}

#[test]
fn a_reading_goes_on_chunk_by_chunk() {
    let mut catch_up = reading();
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
            ChunkOutcome::Ignored => panic!("chunk {chunks} is ignored"),
        }
    }
    assert_eq!(items_read, 30);
    assert!(chunks > 1, "{chunks} chunks");
    assert!(!catch_up.is_any_read_in_progress(at(10), "s1"));
}

#[test]
fn an_answer_to_an_earlier_incarnation_ends_no_reading() {
    let mut catch_up = reading();
    let (items, response) = chunk(&request(), usize::MAX);
    assert_eq!(response.next_bucket as usize, BUCKET_COUNT);
    let outcome = catch_up.receive_chunk(at(10), "s1", false, true, &items, response.clone());
    assert!(matches!(outcome, ChunkOutcome::Ignored));
    let outcome = catch_up.receive_chunk(at(10), "s1", true, true, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Complete(_)));
}

#[test]
fn an_outsiders_answer_completes_no_reading() {
    let mut catch_up = reading();
    let (items, response) = chunk(&request(), usize::MAX);
    let outcome = catch_up.receive_chunk(at(10), "s1", true, false, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored));
}

#[test]
fn a_chunk_that_comes_twice_counts_once() {
    let mut catch_up = reading();
    let (items, response) = chunk(&request(), 500);
    let outcome = catch_up.receive_chunk(at(10), "s1", true, true, &items, response.clone());
    assert!(matches!(outcome, ChunkOutcome::Continue(_)));
    let outcome = catch_up.receive_chunk(at(20), "s1", true, true, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored));
    assert!(catch_up.is_read_in_progress(at(20), REQUEST_ID, "s1"));
}

#[test]
fn an_incomplete_chunk_is_asked_for_again_three_times() {
    let mut catch_up = reading();
    let (items, response) = chunk(&request(), usize::MAX);
    let short = &items[1..];
    for attempt in 1..=3 {
        let outcome = catch_up.receive_chunk(at(attempt), "s1", true, true, short, response.clone());
        let ChunkOutcome::Continue(again) = outcome else { panic!("attempt {attempt}") };
        assert_eq!(again.first_bucket, 0);
    }
    let outcome = catch_up.receive_chunk(at(4), "s1", true, true, short, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored));
    assert!(!catch_up.is_read_in_progress(at(4), REQUEST_ID, "s1"));
}

#[test]
fn an_overdue_reading_is_kept_only_for_what_waits_for_it() {
    let mut catch_up = reading();
    assert!(catch_up.is_read_in_progress(at(500), REQUEST_ID, "s1"));
    assert!(!catch_up.is_read_in_progress(at(501), REQUEST_ID, "s1"));
    let (items, response) = chunk(&request(), usize::MAX);
    catch_up.expire_reads(at(501), |id| id == REQUEST_ID);
    catch_up.delay_accept("s2", REQUEST_ID, AcceptRequest::default());
    catch_up.expire_reads(at(502), |_| false);
    let (node_id, _) = catch_up.take_delayed_accept(REQUEST_ID).expect("it waits");
    assert_eq!(node_id, "s2");
    assert!(catch_up.take_delayed_accept(REQUEST_ID).is_none());
    catch_up.expire_reads(at(503), |_| false);
    let outcome = catch_up.receive_chunk(at(504), "s1", true, true, &items, response);
    assert!(matches!(outcome, ChunkOutcome::Ignored), "nothing waited for it any more");
}

#[test]
fn a_restart_forgets_whom_it_has_read_and_takes_a_new_id() {
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

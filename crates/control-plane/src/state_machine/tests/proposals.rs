use super::at;
use crate::request::Request;
use crate::state_machine::proposals::{PendingId, PendingRequest, PendingRequests, Phase, WatchList};
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::consensus::{observe, Ballot, ObservedProposals, Proposal};
use rstest::rstest;
use std::collections::BTreeSet;

fn item(name: &str, version: u64) -> Item {
    Item { kind: Kind::Service, name: name.into(), version, value: Some(vec![b'x'; 8].into()) }
}

fn proposal(name: &str) -> Proposal {
    Proposal::new(vec![item(name, 1)])
}

fn ballot(round: u64) -> Ballot {
    (0..round).fold(Ballot::default(), |met, _| Ballot::above(met, 1, 1))
}

fn pending(request: Request) -> PendingRequest {
    PendingRequest::new(at(0), None, request, None, ObservedProposals::new())
}

#[rstest]
#[case::get(Request::Get, 2_500)]
#[case::small_change(Request::Patch(vec![item("a", 1)]), 2_500)]
#[case::read_without_client(Request::ReadMajority, 5_000)]
fn request_times_out(#[case] request: Request, #[case] timeout: i64) {
    let mut requests = PendingRequests::default();
    requests.insert(PendingId(1), pending(request));
    assert!(requests.overdue(at(timeout)).is_empty());
    assert_eq!(requests.overdue(at(timeout + 1)), [PendingId(1)]);
}

#[test]
fn large_request_has_longer_timeout() {
    let large = Item { value: Some(vec![0; 3 << 20].into()), ..item("a", 1) };
    let mut requests = PendingRequests::default();
    requests.insert(PendingId(1), pending(Request::Patch(vec![large])));
    assert!(requests.overdue(at(5_500)).is_empty());
    assert_eq!(requests.overdue(at(5_501)), [PendingId(1)]);
}

#[test]
fn request_resumes_after_backoff_or_when_unblocked() {
    let blocking = proposal("a").proposal_id();
    let mut requests = PendingRequests::default();
    for (id, phase) in [
        (1, Phase::BackingOff(at(100))),
        (2, Phase::Blocked([blocking].into())),
        (3, Phase::Preparing(BTreeSet::new())),
    ] {
        requests.insert(PendingId(id), PendingRequest { phase, ..pending(Request::Get) });
    }
    assert!(requests.resumable(at(99), |id| *id == blocking).is_empty());
    assert_eq!(requests.resumable(at(100), |id| *id == blocking), [PendingId(1)]);
    assert_eq!(requests.resumable(at(99), |_| false), [PendingId(2)]);
}

#[rstest]
#[case::not_observed(false, [100_000, 200_000, 400_000, 400_000, 400_000])]
#[case::observed(true, [100_000, 200_000, 400_000, 800_000, 800_000])]
fn backoff_doubles_up_to_a_limit(#[case] is_observed: bool, #[case] expected: [u64; 5]) {
    let mut observed = ObservedProposals::new();
    observe(&mut observed, is_observed.then(|| (ballot(1), proposal("a"))));
    let backoffs = [0, 1, 2, 3, 9].map(|rejections| {
        let request = PendingRequest::new(at(0), None, Request::Get, Some(proposal("a")), observed.clone());
        PendingRequest { rejections, ..request }.max_backoff_micros()
    });
    assert_eq!(backoffs, expected);
}

#[test]
fn response_matches_attempt_by_id_and_ballot() {
    let mut requests = PendingRequests::default();
    let request = PendingRequest { attempt_id: 7, ballot: ballot(2), ..pending(Request::Get) };
    requests.insert(PendingId(1), request);
    assert_eq!(requests.find_by_attempt(7), Some(PendingId(1)));
    assert_eq!(requests.find_by_attempt(8), None);
    assert_eq!(requests.find_by_ballot(7, Some(ballot(2))), Some(PendingId(1)));
    assert_eq!(requests.find_by_ballot(7, Some(ballot(1))), None, "ballot of an earlier attempt");
}

#[test]
fn watched_proposal_is_resolved_when_overdue() {
    let (a, b) = (proposal("a"), proposal("b"));
    let mut watch_list = WatchList::default();
    watch_list.add(ballot(1), &a, at(100));
    watch_list.add(ballot(1), &b, at(200));
    watch_list.add(ballot(3), &a, at(900));
    assert_eq!(watch_list.ballot(a.proposal_id()), Some(ballot(3)));
    let overdue = |watch_list: &WatchList, millis, only, busy: &[&Proposal]| -> Vec<(Proposal, u32)> {
        let busy = busy.iter().map(|proposal| proposal.proposal_id()).collect();
        let overdue = watch_list.overdue(at(millis), only, &busy);
        overdue.into_iter().map(|it| (it.proposal, it.attempts)).collect()
    };
    assert!(overdue(&watch_list, 99, None, &[]).is_empty());
    assert_eq!(overdue(&watch_list, 100, None, &[]), [(a.clone(), 1)], "the first deadline is kept");
    assert_eq!(overdue(&watch_list, 200, None, &[&a]), [(b.clone(), 1)]);
    assert_eq!(overdue(&watch_list, 200, Some(b.proposal_id()), &[]), [(b.clone(), 1)]);
    watch_list.resolve_attempted(a.proposal_id(), 1, at(500));
    assert_eq!(overdue(&watch_list, 499, None, &[&b]), []);
    assert_eq!(overdue(&watch_list, 500, None, &[&b]), [(a, 2)]);
}

#[test]
fn resolved_proposal_is_no_longer_watched() {
    let (committed, conflicting, undecided) = (proposal("a"), proposal("b"), proposal("c"));
    let mut watch_list = WatchList::default();
    for proposal in [&committed, &conflicting, &undecided] {
        watch_list.add(ballot(1), proposal, at(0));
    }
    let mut item_store = ItemStore::new();
    item_store.apply(item("a", 1));
    item_store.apply(Item { value: None, ..item("b", 1) });
    watch_list.remove_resolved(&item_store);
    let is_watched = [&committed, &conflicting, &undecided].map(|it| watch_list.contains(it.proposal_id()));
    assert_eq!(is_watched, [false, false, true]);
}

#[test]
fn highest_rejection_is_kept() {
    let id = proposal("a").proposal_id();
    let mut watch_list = WatchList::default();
    for round in [2, 3, 1] {
        watch_list.add_rejection(id, ballot(round));
    }
    assert!(watch_list.is_rejected(id));
    assert_eq!(watch_list.rejections().get(&id), Some(&ballot(3)));
}

#[test]
fn each_attempt_counts_only_its_own_responses() {
    let mut request = pending(Request::Get);
    assert!(request.is_waiting());
    request.start_attempt(7, ballot(1));
    assert!(request.replica_prepared("a", 4));
    assert!(!request.replica_accepted("a"), "nothing has been proposed yet");
    assert_eq!((request.attempt_id, request.activated_version), (7, 4));
    request.back_off_until(at(50));
    assert!(request.is_waiting());
    assert!(!request.replica_prepared("b", 0), "the attempt is over");
    request.start_attempt(8, ballot(2));
    let Phase::Preparing(replicas) = &request.phase else { panic!("{:?}", request.phase) };
    assert!(replicas.is_empty());
    assert_eq!((request.activated_version, request.rejections), (0, 1));
}

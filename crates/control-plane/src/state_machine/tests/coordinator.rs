use super::{at, replica};
use crate::state_machine::coordinator::{
    Coordinator, CoordinatorState, VoteContext, VoteDecision, COORDINATOR_ROLE,
};
use crate::state_machine::records::RecordedVote;
use kitepass_config::ItemStore;
use kitepass_coordination::membership::{JointReplicaSets, ReplicaSet, CURRENT};
use kitepass_coordination::protocol::{LeaseRequest, LeaseVote};
use kitepass_coordination::usage::QuotaTolerance;
use kitepass_time::Duration;

const TOLERANCE: QuotaTolerance = QuotaTolerance { window: 5.0, excess: 0.1, margin: 20.0 };

fn replica_sets() -> JointReplicaSets {
    let mut item_store = ItemStore::new();
    let replica_set = ReplicaSet { replicas: (0..3).map(replica).collect(), version: 1 };
    item_store.apply(replica_set.to_item(CURRENT));
    JointReplicaSets::load(&item_store).expect("a replica set")
}

fn coordinator(recorded: RecordedVote, has_never_voted: bool) -> Coordinator {
    let newest = replica_sets().newest().clone();
    Coordinator::new(at(0), has_never_voted, recorded, Some(newest), 7, TOLERANCE)
}

/// Ticks until a lease request is sent. Returns its time in milliseconds and the request.
fn first_request(coordinator: &mut Coordinator) -> (i64, LeaseRequest) {
    let epoch = replica_sets().epoch();
    let requests = (0..50).map(|tick| {
        let millis = tick * 100;
        let delay = Duration::from_micros(100_000);
        (millis, coordinator.lease_request(at(millis), true, delay, epoch))
    });
    let mut sent = requests.filter_map(|(millis, request)| Some((millis, request?)));
    sent.next().expect("a lease request")
}

/// Wins the lease. Returns the time in milliseconds.
fn win(coordinator: &mut Coordinator) -> i64 {
    let (millis, request) = first_request(coordinator);
    let replica_sets = replica_sets();
    let vote = LeaseVote {
        role: COORDINATOR_ROLE.to_owned(),
        request_id: request.request_id,
        is_granted: true,
        term: request.term,
        epoch: replica_sets.epoch(),
        ..LeaseVote::default()
    };
    let won: Vec<bool> = (0..3)
        .map(|n| coordinator.receive_vote(at(millis), &replica(n).name(), &vote, &replica_sets).is_some())
        .collect();
    assert_eq!(won.iter().filter(|won| **won).count(), 1, "the lease is won exactly once");
    millis
}

#[test]
fn lease_holder_is_active_only_after_recovery() {
    let mut coordinator = coordinator(RecordedVote::default(), true);
    assert!(!coordinator.complete_recovery(at(0)));
    let millis = win(&mut coordinator);
    let term = coordinator.lease_term(at(millis));
    assert!(term.is_some());
    assert_eq!(coordinator.state(), CoordinatorState::Recovering(term.unwrap_or_default()));
    assert_eq!(coordinator.active_term(at(millis)), None);
    assert!(coordinator.complete_recovery(at(millis)));
    assert_eq!(coordinator.active_term(at(millis)), term);
    assert!(!coordinator.complete_recovery(at(millis)), "already active");
}

#[test]
fn expired_lease_does_not_activate_coordinator() {
    let mut coordinator = coordinator(RecordedVote::default(), true);
    let millis = win(&mut coordinator);
    assert!(!coordinator.complete_recovery(at(millis + 10_000)));
    assert_eq!(coordinator.active_term(at(millis + 10_000)), None);
    coordinator.step_down();
    assert_eq!(coordinator.state(), CoordinatorState::Follower);
}

fn vote(coordinator: &mut Coordinator, candidate: u64, may_grant: bool) -> VoteDecision {
    let replica_sets = replica_sets();
    let context = VoteContext { replica_sets: Some(&replica_sets), fencing_epoch: 0, may_grant };
    let request = LeaseRequest {
        role: COORDINATOR_ROLE.to_owned(),
        term: 3,
        request_id: 1,
        epoch: replica_sets.epoch(),
        ..LeaseRequest::default()
    };
    coordinator.vote(at(0), &replica(candidate).name(), &request, &context)
}

#[test]
fn new_vote_is_recorded_before_it_is_sent_and_repeated_vote_is_not_recorded_again() {
    let mut coordinator = coordinator(RecordedVote::default(), true);
    let VoteDecision::AfterRecord(recorded, sent) = vote(&mut coordinator, 1, true) else {
        panic!("sent before it was recorded")
    };
    assert!(sent.is_granted);
    assert_eq!(recorded, RecordedVote { candidate: replica(1).name(), replica_set_version: 1 });
    coordinator.vote_recorded(recorded);
    assert!(matches!(vote(&mut coordinator, 1, true), VoteDecision::Ready(again) if again.is_granted));
    assert!(matches!(vote(&mut coordinator, 2, true), VoteDecision::Ready(other) if !other.is_granted));
}

#[test]
fn replica_not_entitled_to_vote_grants_nothing() {
    let mut coordinator = coordinator(RecordedVote::default(), true);
    assert!(matches!(vote(&mut coordinator, 1, false), VoteDecision::Ready(vote) if !vote.is_granted));
}

#[test]
fn after_restart_only_recorded_candidate_is_granted_lease_immediately() {
    let recorded = |replica_set_version| RecordedVote { candidate: replica(1).name(), replica_set_version };
    let is_granted = |recorded: RecordedVote, candidate: u64| match vote(
        &mut coordinator(recorded, false),
        candidate,
        true,
    ) {
        VoteDecision::Ready(vote) | VoteDecision::AfterRecord(_, vote) => vote.is_granted,
    };
    assert!(is_granted(recorded(1), 1));
    assert!(!is_granted(recorded(1), 2));
    assert!(!is_granted(recorded(0), 1), "the vote was granted under an earlier replica set");
}

#[test]
fn released_lease_is_no_longer_held() {
    let mut coordinator = coordinator(RecordedVote::default(), true);
    assert!(coordinator.release(at(0)).is_none());
    let millis = win(&mut coordinator);
    assert!(coordinator.release(at(millis)).is_some_and(|request| request.is_release));
    assert_eq!(coordinator.lease_term(at(millis)), None);
}

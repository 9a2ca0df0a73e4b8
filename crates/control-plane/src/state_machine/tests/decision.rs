use super::{at, replica};
use crate::request::Request;
use crate::state_machine::configuration::Configuration;
use crate::state_machine::proposals::{decide, Decision, PendingRequest, WatchList};
use kitepass_config::{Item, ItemStore, Kind, MAX_OLDER_VERSIONS};
use kitepass_coordination::consensus::{observe, Ballot, ObservedProposals, Proposal};
use kitepass_coordination::membership::{ReplicaSet, CURRENT, INCOMING};
use std::slice::from_ref;

const SERVICE: &str = r#"{"checkpoint":"/c"}"#;

fn item(kind: Kind, name: &str, version: u64, value: Option<&str>) -> Item {
    Item { kind, name: name.into(), version, value: value.map(|text| text.to_owned().into()) }
}

fn service(version: u64, value: Option<&str>) -> Item {
    item(Kind::Service, "a", version, value)
}

fn replica_set(version: u64) -> ReplicaSet {
    ReplicaSet { replicas: (0..3).map(replica).collect(), version }
}

/// A configuration with a current replica set and these items.
fn configuration(items: impl IntoIterator<Item = Item>) -> Configuration {
    let mut item_store = ItemStore::new();
    item_store.apply(replica_set(1).to_item(CURRENT));
    items.into_iter().for_each(|item| _ = item_store.apply(item));
    Configuration::new(item_store)
}

fn ballot(configuration: &Configuration, round: u64) -> Ballot {
    Ballot { epoch: configuration.epoch(), round, proposer: 1 }
}

/// A request prepared by a read quorum that reported these accepted proposals.
fn prepared(
    configuration: &Configuration,
    request: Request,
    proposal: Option<Proposal>,
    accepted: &[Proposal],
) -> PendingRequest {
    let mut observed = ObservedProposals::new();
    observe(&mut observed, accepted.iter().map(|proposal| (ballot(configuration, 1), proposal.clone())));
    let mut pending = PendingRequest::new(at(0), None, request, proposal, observed);
    pending.start_attempt(1, ballot(configuration, 2));
    pending
}

fn patch(configuration: &Configuration, items: Vec<Item>, accepted: &[Proposal]) -> Decision {
    let proposal = Proposal::new(items.clone());
    let pending = prepared(configuration, Request::Patch(items), Some(proposal), accepted);
    decide(&pending, configuration, &WatchList::default())
}

#[test]
fn new_change_is_proposed_if_valid() {
    let valid = patch(&configuration([]), vec![service(1, Some(SERVICE))], &[]);
    assert!(matches!(valid, Decision::Propose(_)));
    let route =
        r#"{"deadline-ms":500,"depot":"d.example","lane-prefix":"/","line":"none","mail-kind":"safe"}"#;
    let invalid = patch(&configuration([]), vec![item(Kind::Route, "r", 1, Some(route))], &[]);
    let Decision::Reject { reason, .. } = invalid else { panic!("the invalid change was not rejected") };
    assert!(reason.contains("none"), "{reason}");
}

#[test]
fn committed_change_is_confirmed_and_different_value_conflicts() {
    let configuration = configuration([service(3, Some(SERVICE))]);
    let same = patch(&configuration, vec![service(3, Some(SERVICE))], &[]);
    assert!(matches!(same, Decision::Committed));
    let other = patch(&configuration, vec![service(3, None)], &[]);
    assert!(matches!(other, Decision::Conflict(item) if item.version == 3));
}

#[test]
fn change_is_blocked_by_accepted_rival_and_proposed_if_accepted_itself() {
    let configuration = configuration([]);
    let (own, other) = (service(1, Some(SERVICE)), service(1, None));
    let (own_proposal, other_proposal) = (Proposal::new(vec![own.clone()]), Proposal::new(vec![other]));
    let blocked = patch(&configuration, vec![own.clone()], from_ref(&other_proposal));
    assert!(matches!(blocked, Decision::BlockedBy(ids) if ids == [other_proposal.proposal_id()].into()));
    let accepted = patch(&configuration, vec![own], from_ref(&own_proposal));
    assert!(matches!(accepted, Decision::Propose(proposal) if proposal == own_proposal));
}

fn tenant(name: &str, version: u64) -> Item {
    item(Kind::Tenant, name, version, Some(r#"{"permits":["key"]}"#))
}

/// A proposal of a change, with reservations made on this configuration.
fn reserved(configuration: &Configuration, change: &Item) -> Proposal {
    let request = Request::Patch(vec![change.clone()]);
    let proposal = Proposal::new(vec![change.clone()]);
    let mut pending = prepared(configuration, request, Some(proposal), &[]);
    pending.renew_reservations(configuration.item_store());
    pending.proposal.expect("a change has a proposal")
}

/// Decides on a change whose reservations were made on `before`.
fn decide_reserved(
    before: &Configuration,
    now: &Configuration,
    change: &Item,
    accepted: &[Proposal],
) -> Decision {
    let request = Request::Patch(vec![change.clone()]);
    let pending = prepared(now, request, Some(reserved(before, change)), accepted);
    decide(&pending, now, &WatchList::default())
}

#[test]
fn change_waits_for_an_accepted_one_that_claims_the_same_register() {
    let before = configuration([]);
    let other = reserved(&before, &tenant("b", 1));
    let blocked = decide_reserved(&before, &before, &tenant("a", 1), from_ref(&other));
    assert!(matches!(blocked, Decision::BlockedBy(ids) if ids == [other.proposal_id()].into()));
    let own = reserved(&before, &tenant("a", 1));
    let accepted = decide_reserved(&before, &before, &tenant("a", 1), from_ref(&own));
    assert!(matches!(accepted, Decision::Propose(proposal) if proposal == own));
}

#[test]
fn change_reserves_again_once_another_one_has_claimed_a_register() {
    let before = configuration([]);
    let other = reserved(&before, &tenant("b", 1));
    let now = configuration(other.items().iter().cloned());
    assert!(matches!(decide_reserved(&before, &now, &tenant("a", 1), &[]), Decision::ReserveAgain));
    let again = decide_reserved(&now, &now, &tenant("a", 1), &[]);
    assert!(matches!(again, Decision::Reject { reason, .. } if reason.contains("\"b\"")));
}

/// A replica may bring back a proposal that it accepted before its register was claimed more often than is remembered.
#[test]
fn accepted_change_with_forgotten_reservations_is_validated_again() {
    let mut item_store = ItemStore::new();
    item_store.apply(replica_set(1).to_item(CURRENT));
    let old = reserved(&Configuration::new(item_store.clone()), &tenant("a", 1));
    for version in 1..=MAX_OLDER_VERSIONS as u64 + 2 {
        let next = reserved(&Configuration::new(item_store.clone()), &tenant("b", version));
        next.items().iter().for_each(|item| _ = item_store.merge(item.clone()));
    }
    let resolve = |item_store: ItemStore| {
        let now = Configuration::new(item_store);
        let request = Request::ResolveProposal(old.clone());
        let pending = prepared(&now, request, Some(old.clone()), from_ref(&old));
        decide(&pending, &now, &WatchList::default())
    };
    assert!(matches!(resolve(item_store.clone()), Decision::Reject { .. }));
    item_store.merge(item(Kind::Tenant, "b", 100, None));
    assert!(matches!(resolve(item_store), Decision::Propose(_)), "it is valid again");
}

#[test]
fn request_of_earlier_epoch_is_retried() {
    let proposal = Proposal::new(vec![service(1, Some(SERVICE))]);
    let earlier = configuration([]);
    let request = Request::Patch(proposal.items().to_vec());
    let pending = prepared(&earlier, request, Some(proposal), &[]);
    let later = configuration([replica_set(2).to_item(INCOMING)]);
    assert!(later.epoch() > earlier.epoch());
    assert!(matches!(decide(&pending, &later, &WatchList::default()), Decision::Retry));
}

#[test]
fn evacuation_uses_next_version_also_if_nothing_changes() {
    let configuration = configuration([item(Kind::Evacuation, "z", 4, Some("1"))]);
    let evacuate = |evacuated: bool, version: u64| {
        let proposal = Proposal::new(vec![item(Kind::Evacuation, "z", version, evacuated.then_some("1"))]);
        let request = Request::Evacuate { zone: "z".to_owned(), evacuated };
        let pending = prepared(&configuration, request, Some(proposal), &[]);
        decide(&pending, &configuration, &WatchList::default())
    };
    for evacuated in [true, false] {
        let Decision::Propose(proposal) = evacuate(evacuated, 5) else { panic!("a version of its own") };
        let value = evacuated.then_some("1");
        assert_eq!(**proposal.items(), [item(Kind::Evacuation, "z", 5, value)]);
    }
    assert!(matches!(evacuate(false, 4), Decision::Retry), "the version has been used meanwhile");
}

#[test]
fn watched_proposal_is_proposed_again_only_if_accepted() {
    let configuration = configuration([]);
    let proposal = Proposal::new(vec![service(1, Some(SERVICE))]);
    let resolve = |accepted: &[Proposal], watch_list: &WatchList| {
        let request = Request::ResolveProposal(proposal.clone());
        let pending = prepared(&configuration, request, Some(proposal.clone()), accepted);
        decide(&pending, &configuration, watch_list)
    };
    let mut rejected = WatchList::default();
    rejected.add_rejection(proposal.proposal_id(), ballot(&configuration, 1));
    let accepted = [proposal.clone()];
    assert!(matches!(resolve(&accepted, &WatchList::default()), Decision::Propose(_)));
    assert!(matches!(resolve(&[], &WatchList::default()), Decision::NotNeeded));
    assert!(matches!(resolve(&[], &rejected), Decision::Reject { .. }));
}

#[test]
fn read_is_blocked_by_accepted_uncommitted_proposals() {
    let configuration = configuration([service(1, Some(SERVICE))]);
    let (committed, undecided) =
        (Proposal::new(vec![service(1, Some(SERVICE))]), Proposal::new(vec![service(2, None)]));
    let read = |accepted: &[Proposal]| {
        let pending = prepared(&configuration, Request::Get, None, accepted);
        decide(&pending, &configuration, &WatchList::default())
    };
    assert!(matches!(read(&[]), Decision::ReadComplete));
    assert!(matches!(read(from_ref(&committed)), Decision::ReadComplete));
    assert!(
        matches!(read(&[committed, undecided.clone()]), Decision::BlockedBy(ids) if ids == [undecided.proposal_id()].into())
    );
}

#[test]
fn read_before_activation_is_not_blocked_by_that_activation() {
    let configuration = configuration([replica_set(2).to_item(INCOMING)]);
    let (activation, undecided) =
        (Proposal::new(vec![replica_set(2).to_item(CURRENT)]), Proposal::new(vec![service(2, None)]));
    let read = |request: Request, accepted: &[Proposal], activated_version: u64| {
        let mut pending = prepared(&configuration, request, None, accepted);
        pending.replica_prepared("a", activated_version);
        decide(&pending, &configuration, &WatchList::default())
    };
    let before = || Request::PrepareActivation(replica_set(2));
    assert!(matches!(read(before(), from_ref(&activation), 0), Decision::ReadComplete));
    assert!(matches!(read(Request::Get, &[activation], 0), Decision::BlockedBy(_)));
    assert!(matches!(read(before(), from_ref(&undecided), 0), Decision::BlockedBy(_)));
    assert!(
        matches!(read(before(), &[undecided], 2), Decision::ReadComplete),
        "a replica has accepted the activation"
    );
}

#[test]
fn only_next_replica_set_version_is_proposed() {
    let configuration = configuration([]);
    let propose = |version: u64| {
        let incoming = replica_set(version);
        let proposal = Proposal::new(vec![incoming.to_item(INCOMING)]);
        let pending = prepared(&configuration, Request::ProposeReplicaSet(incoming), Some(proposal), &[]);
        decide(&pending, &configuration, &WatchList::default())
    };
    assert!(matches!(propose(2), Decision::Propose(_)));
    assert!(matches!(propose(3), Decision::NotNeeded));
}

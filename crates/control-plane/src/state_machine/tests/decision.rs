use super::{at, replica};
use crate::request::Request;
use crate::state_machine::configuration::Configuration;
use crate::state_machine::proposals::{decide, Decision, PendingRequest, WatchList};
use kitepass_config::{Item, ItemStore, Kind};
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

/// A configuration with a replica set in force, and these items.
fn configuration(items: impl IntoIterator<Item = Item>) -> Configuration {
    let mut item_store = ItemStore::new();
    item_store.apply(replica_set(1).to_item(CURRENT));
    items.into_iter().for_each(|item| _ = item_store.apply(item));
    Configuration::new(item_store)
}

fn ballot(configuration: &Configuration, round: u64) -> Ballot {
    Ballot { epoch: configuration.epoch(), round, proposer: 1 }
}

/// A request that a read quorum has answered, which told of these accepted proposals.
fn answered(
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
    let pending = answered(configuration, Request::Patch(items), Some(proposal), accepted);
    decide(&pending, configuration, &WatchList::default())
}

#[test]
fn a_new_change_is_proposed_if_it_is_valid() {
    let valid = patch(&configuration([]), vec![service(1, Some(SERVICE))], &[]);
    assert!(matches!(valid, Decision::Propose(_)));
    let route =
        r#"{"deadline-ms":500,"depot":"d.example","lane-prefix":"/","line":"none","mail-kind":"safe"}"#;
    let invalid = patch(&configuration([]), vec![item(Kind::Route, "r", 1, Some(route))], &[]);
    let Decision::Reject { reason, .. } = invalid else { panic!("it is taken") };
    assert!(reason.contains("none"), "{reason}");
}

#[test]
fn a_committed_change_is_confirmed_and_another_content_is_a_conflict() {
    let configuration = configuration([service(3, Some(SERVICE))]);
    let same = patch(&configuration, vec![service(3, Some(SERVICE))], &[]);
    assert!(matches!(same, Decision::Committed));
    let other = patch(&configuration, vec![service(3, None)], &[]);
    assert!(matches!(other, Decision::Conflict(item) if item.version == 3));
}

#[test]
fn a_change_waits_for_another_that_may_be_chosen_and_is_proposed_if_it_may_be_itself() {
    let configuration = configuration([]);
    let (own, other) = (service(1, Some(SERVICE)), service(1, None));
    let (own_proposal, other_proposal) = (Proposal::new(vec![own.clone()]), Proposal::new(vec![other]));
    let blocked = patch(&configuration, vec![own.clone()], from_ref(&other_proposal));
    assert!(matches!(blocked, Decision::BlockedBy(ids) if ids == [other_proposal.proposal_id()].into()));
    let accepted = patch(&configuration, vec![own], from_ref(&own_proposal));
    assert!(matches!(accepted, Decision::Propose(proposal) if proposal == own_proposal));
}

#[test]
fn a_request_of_an_earlier_epoch_begins_again() {
    let proposal = Proposal::new(vec![service(1, Some(SERVICE))]);
    let earlier = configuration([]);
    let request = Request::Patch(proposal.items().to_vec());
    let pending = answered(&earlier, request, Some(proposal), &[]);
    let later = configuration([replica_set(2).to_item(INCOMING)]);
    assert!(later.epoch() > earlier.epoch());
    assert!(matches!(decide(&pending, &later, &WatchList::default()), Decision::Retry));
}

#[test]
fn an_evacuation_takes_the_next_version_or_is_not_needed() {
    let configuration = configuration([item(Kind::Evacuation, "z", 4, Some("1"))]);
    let evacuate = |on: bool, version: u64| {
        let proposal = Proposal::new(vec![item(Kind::Evacuation, "z", version, on.then_some("1"))]);
        let request = Request::Evacuate { zone: "z".to_owned(), on };
        let pending = answered(&configuration, request, Some(proposal), &[]);
        decide(&pending, &configuration, &WatchList::default())
    };
    assert!(matches!(evacuate(true, 5), Decision::NotNeeded), "it stands");
    assert!(matches!(evacuate(false, 5), Decision::Propose(_)));
    assert!(matches!(evacuate(false, 4), Decision::Retry), "the version is taken meanwhile");
}

#[test]
fn a_proposal_of_another_is_pushed_only_if_it_may_be_chosen() {
    let configuration = configuration([]);
    let proposal = Proposal::new(vec![service(1, Some(SERVICE))]);
    let resolve = |accepted: &[Proposal], watch_list: &WatchList| {
        let request = Request::ResolveProposal(proposal.clone());
        let pending = answered(&configuration, request, Some(proposal.clone()), accepted);
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
fn a_read_waits_for_what_may_be_chosen() {
    let configuration = configuration([service(1, Some(SERVICE))]);
    let (committed, open) =
        (Proposal::new(vec![service(1, Some(SERVICE))]), Proposal::new(vec![service(2, None)]));
    let read = |accepted: &[Proposal]| {
        let pending = answered(&configuration, Request::Get, None, accepted);
        decide(&pending, &configuration, &WatchList::default())
    };
    assert!(matches!(read(&[]), Decision::ReadComplete));
    assert!(matches!(read(from_ref(&committed)), Decision::ReadComplete));
    assert!(
        matches!(read(&[committed, open.clone()]), Decision::BlockedBy(ids) if ids == [open.proposal_id()].into())
    );
}

#[test]
fn the_read_before_an_activation_does_not_wait_for_that_activation() {
    let configuration = configuration([replica_set(2).to_item(INCOMING)]);
    let (activation, open) =
        (Proposal::new(vec![replica_set(2).to_item(CURRENT)]), Proposal::new(vec![service(2, None)]));
    let read = |request: Request, accepted: &[Proposal], activated_version: u64| {
        let mut pending = answered(&configuration, request, None, accepted);
        pending.replica_prepared("a", activated_version);
        decide(&pending, &configuration, &WatchList::default())
    };
    let before = || Request::PrepareActivation(replica_set(2));
    assert!(matches!(read(before(), from_ref(&activation), 0), Decision::ReadComplete));
    assert!(matches!(read(Request::Get, &[activation], 0), Decision::BlockedBy(_)));
    assert!(matches!(read(before(), from_ref(&open), 0), Decision::BlockedBy(_)));
    assert!(matches!(read(before(), &[open], 2), Decision::ReadComplete), "it is accepted somewhere");
}

#[test]
fn only_the_next_replica_set_is_brought_in() {
    let configuration = configuration([]);
    let bring_in = |version: u64| {
        let incoming = replica_set(version);
        let proposal = Proposal::new(vec![incoming.to_item(INCOMING)]);
        let pending = answered(&configuration, Request::ProposeReplicaSet(incoming), Some(proposal), &[]);
        decide(&pending, &configuration, &WatchList::default())
    };
    assert!(matches!(bring_in(2), Decision::Propose(_)));
    assert!(matches!(bring_in(3), Decision::NotNeeded));
}

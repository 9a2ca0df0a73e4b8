//! Unit tests of the acceptor and the proposer. Models of complete systems are in `tests/consensus_model`.

mod faults;

use super::acceptor::MAX_ACCEPTED;
use super::promises::MAX_PROMISES;
use super::proposer::proposal_status_without;
use super::records::FLOOR_KEY;
use super::rejected::MAX_REJECTIONS;
use super::safeguard::Safeguard;
use super::*;
use kitepass_config::{Item, ItemStore, Kind};
use std::collections::BTreeMap;

fn item(name: &str, version: u64, value: &'static str) -> Item {
    Item { kind: Kind::Service, name: name.into(), version, value: Some(value.into()) }
}

/// A proposal with version 5 of each item.
fn proposal(items: &[(&str, &'static str)]) -> Proposal {
    Proposal::new(items.iter().map(|(name, value)| item(name, 5, value)).collect())
}

fn ballot(epoch: u64, round: u64) -> Ballot {
    Ballot { epoch, round, proposer: 7 }
}

/// The acceptor after a restart with these records on disk.
fn restarted(disk: &BTreeMap<Vec<u8>, Vec<u8>>) -> Acceptor {
    let mut acceptor = Acceptor::new();
    for (key, value) in disk {
        assert_eq!(acceptor.restore(key, value), RestoreOutcome::Applied);
    }
    acceptor
}

#[test]
fn a_proposal_is_identified_by_its_content_in_any_order() {
    let (a, b) = (item("a", 5, "x"), item("b", 5, "y"));
    let first = Proposal::new(vec![a.clone(), b.clone()]);
    let second = Proposal::new(vec![b.clone(), a.clone(), b.clone()]);
    assert_eq!((first.proposal_id(), first.keys()), (second.proposal_id(), second.keys()));
    assert_ne!(first.proposal_id(), Proposal::new(vec![a.clone()]).proposal_id());
    assert_ne!(first.proposal_id(), Proposal::new(vec![a.clone(), item("b", 6, "y")]).proposal_id());
    assert_ne!(first.proposal_id(), Proposal::new(vec![a.clone(), Item { value: None, ..b }]).proposal_id());
    // If a version is given twice, the first one is kept, as the second would have no effect.
    assert_eq!(
        Proposal::new(vec![a.clone(), item("a", 5, "z")]).proposal_id(),
        Proposal::new(vec![a]).proposal_id()
    );
    let (received_ballot, received) = ProposalMessage::new(ballot(2, 3), &first).into_proposal().unwrap();
    assert_eq!((received_ballot, received.proposal_id()), (ballot(2, 3), first.proposal_id()));
}

/// A proposal of one change that claims this version of a register.
fn reserved(version: u64) -> Proposal {
    let register = Item { kind: Kind::Reservation, name: "001".into(), version, value: Some("x".into()) };
    Proposal::new(vec![item("a", 5, "x"), register])
}

#[test]
fn accepted_proposals_are_found_by_any_version_of_an_item() {
    let (store, mut acceptor) = (ItemStore::new(), Acceptor::new());
    for (round, version) in [(1, 1), (2, 3)] {
        acceptor.accept(ballot(1, round), reserved(version), AcceptReason::New, &store).unwrap();
    }
    let register = reserved(7).reservations().map(name_key).collect::<Vec<u64>>();
    let found = acceptor.overlapping_names(&register);
    assert_eq!(found.len(), 2);
    assert!(found.contains(&(ballot(1, 1), reserved(1))) && found.contains(&(ballot(1, 2), reserved(3))));
    assert!(acceptor.overlapping_names(&[name_key(&item("b", 5, "x"))]).is_empty());
}

/// A change that was told to be invalid stays out whatever versions of its registers a replica has accepted it with.
#[test]
fn a_rejection_covers_all_proposals_of_the_change() {
    let (store, mut acceptor) = (ItemStore::new(), Acceptor::new());
    let (first, second) = (reserved(1), reserved(2));
    assert_eq!((first.change_id(), first.change_keys()), (second.change_id(), second.change_keys()));
    assert_ne!(first.proposal_id(), second.proposal_id());
    acceptor.accept(ballot(1, 1), first.clone(), AcceptReason::New, &store).unwrap();
    acceptor.reject(ballot(1, 2), second.change_id(), &second.change_keys()).unwrap();
    assert_eq!(acceptor.pending().count(), 0);
    let mut observed = ObservedProposals::new();
    observe(&mut observed, [(ballot(1, 1), first), (ballot(1, 3), second.clone())]);
    let rejected = acceptor.rejections(&second.change_keys()).collect();
    assert_eq!(possibly_chosen(&observed, &rejected).keys().collect::<Vec<_>>(), [&second.proposal_id()]);
}

/// A promise is sent only after a floor above it is on disk, and after a restart no ballot at or below that floor is
/// accepted.
#[test]
fn promises_bind_the_next_incarnation() {
    let (mut acceptor, mut disk) = (Acceptor::new(), BTreeMap::new());
    let first = proposal(&[("a", "x")]);
    let promise = acceptor.prepare(ballot(0, 1), first.keys()).unwrap();
    let reservation = promise.reservation.unwrap();
    // The reservation is not on disk yet, so the next promise waits for it as well.
    assert_eq!(acceptor.prepare(ballot(0, 2), first.keys()).unwrap().reservation, Some(reservation));
    disk.extend([reservation.record()]);
    acceptor.reservation_persisted(reservation);
    for round in 3..1_000 {
        assert_eq!(acceptor.prepare(ballot(0, round), first.keys()).unwrap().reservation, None);
    }
    let accepted =
        acceptor.accept(ballot(0, 1_000), first.clone(), AcceptReason::New, &ItemStore::new()).unwrap();
    disk.extend(accepted.records);
    let mut next = restarted(&disk);
    let error = next.accept(ballot(0, 999), first.clone(), AcceptReason::New, &ItemStore::new());
    let Err(AcceptError::Promised { to }) = error else { panic!("{error:?}") };
    assert_eq!(next.prepare(ballot(0, 1_001), first.keys()), Err(to));
    let higher = Ballot::above(to, 0, 9);
    assert_eq!(next.prepare(higher, first.keys()).unwrap().accepted, [(ballot(0, 1_000), first.clone())]);
    // The first round of a later epoch is above all rounds of an earlier one.
    let later_epoch = Ballot::above(to, 1, 9);
    assert!(later_epoch.round == 1 && next.prepare(later_epoch, first.keys()).is_ok());
    assert_eq!(next.prepare(Ballot::above(higher, 0, 9), first.keys()), Err(later_epoch));
    let fence = next.fence(2).unwrap();
    assert!(next.prepare(Ballot::above(higher, 1, 9), &[1]).is_err() && fence.record().0 == FLOOR_KEY);
}

#[test]
fn malformed_records_are_reported() {
    let first = proposal(&[("a", "x"), ("b", "y")]);
    let mut acceptor = Acceptor::new();
    let accepted =
        acceptor.accept(ballot(0, 1), first.clone(), AcceptReason::New, &ItemStore::new()).unwrap();
    let disk: BTreeMap<Vec<u8>, Vec<u8>> = accepted.records.into_iter().collect();
    let mut next = restarted(&disk);
    assert_eq!(next.get(first.proposal_id()), Some((ballot(0, 1), &first)));
    for (key, value) in &disk {
        assert_eq!(next.restore(key, &value[..value.len() - 1]), RestoreOutcome::Malformed);
    }
    assert_eq!(next.restore(b"full", &[1]), RestoreOutcome::Ignored);
    assert_eq!(next.restore(&[Kind::Service as u8, b'a'], &[0; 9]), RestoreOutcome::Ignored);
}

/// Proposals that are committed or can no longer be chosen are dropped. Others stay, even if they share an item with a
/// dropped one.
#[test]
fn settled_proposals_are_dropped_from_memory_and_disk() {
    let chosen = proposal(&[("a", "x")]);
    let conflicting = proposal(&[("a", "z"), ("b", "y")]);
    let other = proposal(&[("b", "y")]);
    let (mut acceptor, mut item_store) = (Acceptor::new(), ItemStore::new());
    for (n, proposal) in [&chosen, &conflicting, &other].into_iter().enumerate() {
        let ballot = ballot(0, n as u64 + 1);
        let accepted = acceptor.accept(ballot, proposal.clone(), AcceptReason::New, &item_store).unwrap();
        accepted.reservation.into_iter().for_each(|floor| acceptor.reservation_persisted(floor));
    }
    assert_eq!(acceptor.overlapping(other.keys()).len(), 2);
    item_store.merge(chosen.items()[0].clone());
    let deletions = acceptor.commit(&item_store, chosen.items().iter());
    assert!(deletions.len() == 2 && deletions.iter().all(|(_, value)| value.is_empty()));
    assert_eq!(
        acceptor.pending().map(|(_, proposal)| proposal.proposal_id()).collect::<Vec<_>>(),
        [other.proposal_id()]
    );
    let error = acceptor.accept(ballot(0, 9), conflicting, AcceptReason::New, &item_store).unwrap_err();
    assert!(matches!(error, AcceptError::Conflicting { version: 5, .. }), "{error}");
    // A committed proposal counts as accepted without another record.
    assert_eq!(acceptor.accept(ballot(0, 10), chosen, AcceptReason::New, &item_store).unwrap().records, []);
    let accepted = &acceptor.accepted;
    assert_eq!((accepted.by_key.len(), accepted.by_name.len(), accepted.bytes), (1, 1, other.bytes()));
}

#[test]
fn memory_is_bounded_and_full_acceptors_can_be_resolved() {
    let (mut acceptor, item_store) = (Acceptor::new(), ItemStore::new());
    let nth = |n: usize| Proposal::new(vec![item(&format!("i{n}"), 1, "x")]);
    for n in 0..MAX_ACCEPTED {
        acceptor.accept(ballot(0, 1), nth(n), AcceptReason::New, &item_store).unwrap();
    }
    let more = nth(MAX_ACCEPTED);
    assert_eq!(
        acceptor.accept(ballot(0, 1), more.clone(), AcceptReason::New, &item_store),
        Err(AcceptError::CapacityExceeded)
    );
    assert!(acceptor.accept(ballot(0, 1), more, AcceptReason::Resolve, &item_store).is_ok());
    assert!(
        acceptor.accept(ballot(0, 2), nth(0), AcceptReason::New, &item_store).is_ok(),
        "the proposal already counts toward the limit"
    );
    let keys: Vec<u64> = (0..MAX_PROMISES as u64 + 1).collect();
    acceptor.prepare(ballot(0, 3), &keys).unwrap();
    assert_eq!((acceptor.promises.by_key.len(), acceptor.promises.floor), (0, ballot(0, 3)));
    // The proposer whose promises raised the floor can continue; all others have to retry.
    assert!(
        acceptor.prepare(ballot(0, 3), &keys).is_ok() && acceptor.prepare(ballot(0, 2), &keys[..1]).is_err()
    );
}

/// A rejection removes an accepted proposal, survives a restart, and is superseded by a later attempt.
#[test]
fn a_rejection_excludes_acceptances_below_its_ballot() {
    let (mut acceptor, mut disk, item_store) = (Acceptor::new(), BTreeMap::new(), ItemStore::new());
    let (one, two) = (proposal(&[("a", "x"), ("b", "x")]), proposal(&[("b", "y")]));
    disk.extend(acceptor.accept(ballot(0, 2), one.clone(), AcceptReason::New, &item_store).unwrap().records);
    let lower = acceptor.reject(ballot(0, 1), one.proposal_id(), one.keys());
    assert!(matches!(lower, Err(AcceptError::Promised { .. })), "{lower:?}");
    disk.extend(acceptor.reject(ballot(0, 3), one.proposal_id(), one.keys()).unwrap().records);
    disk.retain(|_, value| !value.is_empty());
    for acceptor in [&acceptor, &restarted(&disk)] {
        assert_eq!(acceptor.pending().count(), 0);
        assert_eq!(acceptor.rejections(two.keys()).collect::<Vec<_>>(), [(one.proposal_id(), ballot(0, 3))]);
    }
    let (mut observed, rejected) = (ObservedProposals::new(), acceptor.rejections(one.keys()).collect());
    observe(&mut observed, [(ballot(0, 2), one.clone()), (ballot(0, 1), two.clone())]);
    assert_eq!(possibly_chosen(&observed, &rejected).keys().collect::<Vec<_>>(), [&two.proposal_id()]);
    observe(&mut observed, [(ballot(0, 4), one.clone())]);
    assert_eq!(possibly_chosen(&observed, &rejected).len(), 2);
    acceptor.accept(ballot(0, 4), one.clone(), AcceptReason::New, &item_store).unwrap();
    assert!(acceptor.rejections(one.keys()).count() == 0 && acceptor.rejected.by_key.is_empty());
    for n in 0..=MAX_REJECTIONS as u64 {
        acceptor.reject(ballot(1, n), ProposalId((n as u128).to_be_bytes()), &[n]).unwrap();
    }
    assert_eq!((acceptor.rejections(&[0]).count(), acceptor.rejections(&[1]).count()), (0, 1));
    assert_eq!((acceptor.rejected.len(), acceptor.rejected.key_count), (MAX_REJECTIONS, MAX_REJECTIONS));
    // A process that is no longer a replica discards everything, and can accept new requests afterwards.
    acceptor.accept(ballot(2, 1), two, AcceptReason::New, &item_store).unwrap();
    assert_eq!(acceptor.discard_accepted().len(), MAX_REJECTIONS + 2);
    assert_eq!(
        (acceptor.rejections(&[1]).count(), acceptor.rejected.key_count, acceptor.pending().count()),
        (0, 0, 0)
    );
    let (accepted, rejected) = (&acceptor.accepted, &acceptor.rejected);
    assert!(rejected.by_key.is_empty() && accepted.by_key.is_empty() && accepted.by_name.is_empty());
    acceptor.reject(ballot(2, 2), one.proposal_id(), &[1]).unwrap();
    assert_eq!(acceptor.rejections(&[1]).count(), 1);
}

/// Three proposals, W={a,b}, V={b,c} and X={c,a}, each with different content: following the proposals that block one
/// another leads to the one with the highest ballot.
#[test]
fn a_chain_of_proposals_ends_at_the_highest_ballot() {
    let w = proposal(&[("a", "w"), ("b", "w")]);
    let v = proposal(&[("b", "v"), ("c", "v")]);
    let x = proposal(&[("c", "x"), ("a", "x")]);
    let (mut observed, mut item_store) = (ObservedProposals::new(), ItemStore::new());
    assert_eq!(proposal_status(&x, &observed, &item_store), ProposalStatus::New);
    observe(&mut observed, [(ballot(0, 1), w.clone())]);
    assert_eq!(proposal_status(&x, &observed, &item_store), ProposalStatus::BlockedBy(w.proposal_id()));
    observe(&mut observed, [(ballot(0, 2), v.clone()), (ballot(0, 1), v.clone())]);
    assert_eq!(proposal_status(&w, &observed, &item_store), ProposalStatus::BlockedBy(v.proposal_id()));
    assert_eq!(proposal_status(&v, &observed, &item_store), ProposalStatus::AlreadyAccepted);
    v.items().iter().for_each(|item| _ = item_store.merge(item.clone()));
    assert_eq!(proposal_status(&v, &observed, &item_store), ProposalStatus::Committed);
    for (proposal, name) in [(&x, "c"), (&w, "b")] {
        let status = proposal_status(proposal, &observed, &item_store);
        assert!(matches!(status, ProposalStatus::Conflicting(item) if &*item.name == name));
    }
    // W can never be chosen, and therefore blocks no other proposal.
    let y = proposal(&[("a", "y")]);
    assert_eq!(proposal_status(&y, &observed, &item_store), ProposalStatus::New);
    assert_eq!(
        proposal_status_without(&y, &observed, &item_store, Some(Safeguard::IgnoreConflicting)),
        ProposalStatus::BlockedBy(w.proposal_id())
    );
    assert!(Acceptor::without(Some(Safeguard::PersistedFloor)).disabled.is_some());
}

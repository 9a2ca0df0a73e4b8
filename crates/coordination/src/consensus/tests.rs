//! The parts of the register one by one. The models that play it whole are in `crates/bond/tests`.

mod faults;

use super::*;

fn item(name: &str, version: u64, value: &'static str) -> Item {
    Item { kind: Kind::Service, name: name.into(), version, value: Some(value.into()) }
}

fn call(items: &[(&str, &'static str)]) -> Proposal {
    Proposal::new(items.iter().map(|(name, value)| item(name, 5, value)).collect())
}

fn ballot(epoch: u64, round: u64) -> Ballot {
    Ballot { epoch, round, proposer: 7 }
}

/// Another life over what is on disk.
fn again(disk: &BTreeMap<Vec<u8>, Vec<u8>>) -> Acceptor {
    let mut acceptor = Acceptor::new();
    for (key, value) in disk {
        assert_eq!(acceptor.restore(key, value), Restored::Taken);
    }
    acceptor
}

#[test]
fn a_call_is_known_by_what_it_says_in_whatever_order() {
    let (a, b) = (item("a", 5, "x"), item("b", 5, "y"));
    let (one, two) =
        (Proposal::new(vec![a.clone(), b.clone()]), Proposal::new(vec![b.clone(), a.clone(), b.clone()]));
    assert_eq!((one.proposal_id(), one.keys()), (two.proposal_id(), two.keys()));
    assert_ne!(one.proposal_id(), Proposal::new(vec![a.clone()]).proposal_id());
    assert_ne!(one.proposal_id(), Proposal::new(vec![a.clone(), item("b", 6, "y")]).proposal_id());
    assert_ne!(one.proposal_id(), Proposal::new(vec![a.clone(), Item { value: None, ..b }]).proposal_id());
    // Of one version said twice the first counts, as an equal version has no effect.
    assert_eq!(
        Proposal::new(vec![a.clone(), item("a", 5, "z")]).proposal_id(),
        Proposal::new(vec![a]).proposal_id()
    );
    let (at, back) = ProposalMessage::new(ballot(2, 3), &one).into_proposal().unwrap();
    assert_eq!((at, back.proposal_id()), (ballot(2, 3), one.proposal_id()));
}

/// A promise is told only once a floor above it is on disk, and a later life takes nothing at or below that floor.
#[test]
fn what_was_promised_holds_in_the_next_life() {
    let (mut acceptor, mut disk) = (Acceptor::new(), BTreeMap::new());
    let first = call(&[("a", "x")]);
    let promise = acceptor.prepare(ballot(0, 1), first.keys()).unwrap();
    let reserve = promise.reservation.unwrap();
    // It is not on disk yet: what comes after waits for it as well.
    assert_eq!(acceptor.prepare(ballot(0, 2), first.keys()).unwrap().reservation, Some(reserve));
    disk.extend([reserve.record()]);
    acceptor.reservation_persisted(reserve);
    for round in 3..1_000 {
        assert_eq!(acceptor.prepare(ballot(0, round), first.keys()).unwrap().reservation, None);
    }
    let accepted =
        acceptor.accept(ballot(0, 1_000), first.clone(), AcceptReason::New, &ItemStore::new()).unwrap();
    disk.extend(accepted.records);
    let mut next = again(&disk);
    let refused = next.accept(ballot(0, 999), first.clone(), AcceptReason::New, &ItemStore::new());
    let Err(AcceptError::Promised { to }) = refused else { panic!("{refused:?}") };
    assert_eq!(next.prepare(ballot(0, 1_001), first.keys()), Err(to));
    let higher = Ballot::above(to, 0, 9);
    assert_eq!(next.prepare(higher, first.keys()).unwrap().accepted, [(ballot(0, 1_000), first.clone())]);
    // A later era's first round is above all of an earlier one's.
    let epoch = Ballot::above(to, 1, 9);
    assert!(epoch.round == 1 && next.prepare(epoch, first.keys()).is_ok());
    assert_eq!(next.prepare(Ballot::above(higher, 0, 9), first.keys()), Err(epoch));
    let fence = next.fence(2).unwrap();
    assert!(next.prepare(Ballot::above(higher, 1, 9), &[1]).is_err() && fence.record().0 == FLOOR);
}

#[test]
fn a_record_that_cannot_be_read_is_not_passed_over() {
    let one = call(&[("a", "x"), ("b", "y")]);
    let mut acceptor = Acceptor::new();
    let accepted = acceptor.accept(ballot(0, 1), one.clone(), AcceptReason::New, &ItemStore::new()).unwrap();
    let disk: BTreeMap<Vec<u8>, Vec<u8>> = accepted.records.into_iter().collect();
    let mut back = again(&disk);
    assert_eq!(back.get(one.proposal_id()), Some((ballot(0, 1), &one)));
    for (key, value) in &disk {
        assert_eq!(back.restore(key, &value[..value.len() - 1]), Restored::Garbled);
    }
    assert_eq!(back.restore(b"full", &[1]), Restored::Other);
    assert_eq!(back.restore(&[Kind::Service as u8, b'a'], &[0; 9]), Restored::Other);
}

/// What is decided, and what can no longer be, goes; the rest stays, also where it shares an item.
#[test]
fn what_is_over_is_dropped_from_memory_and_disk() {
    let (won, void, other) = (call(&[("a", "x")]), call(&[("a", "z"), ("b", "y")]), call(&[("b", "y")]));
    let (mut acceptor, mut item_store) = (Acceptor::new(), ItemStore::new());
    for (n, call) in [&won, &void, &other].into_iter().enumerate() {
        let accepted = acceptor.accept(ballot(0, n as u64 + 1), call.clone(), AcceptReason::New, &item_store);
        accepted.unwrap().reservation.into_iter().for_each(|reserve| acceptor.reservation_persisted(reserve));
    }
    assert_eq!(acceptor.overlapping(other.keys()).len(), 2);
    item_store.merge(won.items()[0].clone());
    let gone = acceptor.commit(&item_store, won.items().iter());
    assert!(gone.len() == 2 && gone.iter().all(|(_, value)| value.is_empty()));
    assert_eq!(
        acceptor.pending().map(|(_, call)| call.proposal_id()).collect::<Vec<_>>(),
        [other.proposal_id()]
    );
    let refused = acceptor.accept(ballot(0, 9), void, AcceptReason::New, &item_store).unwrap_err();
    assert!(matches!(refused, AcceptError::Taken { version: 5, .. }), "{refused}");
    // What is decided counts as accepted without a record more.
    assert_eq!(acceptor.accept(ballot(0, 10), won, AcceptReason::New, &item_store).unwrap().records, []);
    assert_eq!((acceptor.by_key.len(), acceptor.by_name.len(), acceptor.bytes), (1, 1, other.bytes()));
}

#[test]
fn memory_is_bounded_and_full_acceptors_can_be_resolved() {
    let (mut acceptor, item_store) = (Acceptor::new(), ItemStore::new());
    let nth = |n: usize| Proposal::new(vec![item(&format!("i{n}"), 1, "x")]);
    for n in 0..MOST_CALLS {
        acceptor.accept(ballot(0, 1), nth(n), AcceptReason::New, &item_store).unwrap();
    }
    let more = nth(MOST_CALLS);
    assert_eq!(
        acceptor.accept(ballot(0, 1), more.clone(), AcceptReason::New, &item_store),
        Err(AcceptError::Full)
    );
    assert!(acceptor.accept(ballot(0, 1), more, AcceptReason::Resolve, &item_store).is_ok());
    assert!(
        acceptor.accept(ballot(0, 2), nth(0), AcceptReason::New, &item_store).is_ok(),
        "it has room already"
    );
    let keys: Vec<u64> = (0..MOST_PROMISES as u64 + 1).collect();
    acceptor.prepare(ballot(0, 3), &keys).unwrap();
    assert_eq!((acceptor.promised.len(), acceptor.floor), (0, ballot(0, 3)));
    // The one whose promises made the floor goes on, all others begin again.
    assert!(
        acceptor.prepare(ballot(0, 3), &keys).is_ok() && acceptor.prepare(ballot(0, 2), &keys[..1]).is_err()
    );
}

/// A refusal for its content takes a call away where it was accepted, lasts, and gives way to a later try.
#[test]
fn what_is_denied_was_not_chosen_below() {
    let (mut acceptor, mut disk, item_store) = (Acceptor::new(), BTreeMap::new(), ItemStore::new());
    let (one, two) = (call(&[("a", "x"), ("b", "x")]), call(&[("b", "y")]));
    disk.extend(acceptor.accept(ballot(0, 2), one.clone(), AcceptReason::New, &item_store).unwrap().records);
    let lower = acceptor.reject(ballot(0, 1), one.proposal_id(), one.keys());
    assert!(matches!(lower, Err(AcceptError::Promised { .. })), "{lower:?}");
    disk.extend(acceptor.reject(ballot(0, 3), one.proposal_id(), one.keys()).unwrap().records);
    disk.retain(|_, value| !value.is_empty());
    for acceptor in [&acceptor, &again(&disk)] {
        assert_eq!(acceptor.pending().count(), 0);
        assert_eq!(acceptor.rejections(two.keys()).collect::<Vec<_>>(), [(one.proposal_id(), ballot(0, 3))]);
    }
    let (mut seen, denied) = (ObservedProposals::new(), acceptor.rejections(one.keys()).collect());
    observe(&mut seen, [(ballot(0, 2), one.clone()), (ballot(0, 1), two.clone())]);
    assert_eq!(possibly_chosen(&seen, &denied).keys().collect::<Vec<_>>(), [&two.proposal_id()]);
    observe(&mut seen, [(ballot(0, 4), one.clone())]);
    assert_eq!(possibly_chosen(&seen, &denied).len(), 2);
    acceptor.accept(ballot(0, 4), one.clone(), AcceptReason::New, &item_store).unwrap();
    assert!(acceptor.rejections(one.keys()).count() == 0 && acceptor.denied_by_key.is_empty());
    for n in 0..=MOST_DENIED as u64 {
        acceptor.reject(ballot(1, n), ProposalId((n as u128).to_be_bytes()), &[n]).unwrap();
    }
    assert_eq!((acceptor.rejections(&[0]).count(), acceptor.rejections(&[1]).count()), (0, 1));
    assert_eq!((acceptor.denied.len(), acceptor.denied_keys), (MOST_DENIED, MOST_DENIED));
    // One that has no seat any more forgets all of it, and goes on from there.
    acceptor.accept(ballot(2, 1), two, AcceptReason::New, &item_store).unwrap();
    assert_eq!(acceptor.discard_accepted().len(), MOST_DENIED + 2);
    assert_eq!(
        (acceptor.rejections(&[1]).count(), acceptor.denied_keys, acceptor.pending().count()),
        (0, 0, 0)
    );
    assert!(acceptor.denied_by_key.is_empty() && acceptor.by_key.is_empty() && acceptor.by_name.is_empty());
    acceptor.reject(ballot(2, 2), one.proposal_id(), &[1]).unwrap();
    assert_eq!(acceptor.rejections(&[1]).count(), 1);
}

/// W={a,b}, V={b,c}, X={c,a}, each with another content: whoever is behind another leads to the highest ballot.
#[test]
fn a_chain_of_calls_ends_at_the_highest_ballot() {
    let w = call(&[("a", "w"), ("b", "w")]);
    let v = call(&[("b", "v"), ("c", "v")]);
    let x = call(&[("c", "x"), ("a", "x")]);
    let (mut seen, mut item_store) = (ObservedProposals::new(), ItemStore::new());
    assert_eq!(proposal_status(&x, &seen, &item_store), ProposalStatus::New);
    observe(&mut seen, [(ballot(0, 1), w.clone())]);
    assert_eq!(proposal_status(&x, &seen, &item_store), ProposalStatus::BlockedBy(w.proposal_id()));
    observe(&mut seen, [(ballot(0, 2), v.clone()), (ballot(0, 1), v.clone())]);
    assert_eq!(proposal_status(&w, &seen, &item_store), ProposalStatus::BlockedBy(v.proposal_id()));
    assert_eq!(proposal_status(&v, &seen, &item_store), ProposalStatus::AlreadyAccepted);
    v.items().iter().for_each(|item| _ = item_store.merge(item.clone()));
    assert_eq!(proposal_status(&v, &seen, &item_store), ProposalStatus::Committed);
    assert!(
        matches!(proposal_status(&x, &seen, &item_store), ProposalStatus::Conflicting(item) if &*item.name == "c")
    );
    assert!(
        matches!(proposal_status(&w, &seen, &item_store), ProposalStatus::Conflicting(item) if &*item.name == "b")
    );
    // W is void, and in nobody's way.
    assert_eq!(proposal_status(&call(&[("a", "y")]), &seen, &item_store), ProposalStatus::New);
    assert_eq!(
        weigh(&call(&[("a", "y")]), &seen, &item_store, Some(Safeguard::Void)),
        ProposalStatus::BlockedBy(w.proposal_id())
    );
    assert!(Acceptor::without(Some(Safeguard::Floor)).out.is_some());
}

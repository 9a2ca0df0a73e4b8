//! The parts of the register one by one. The models that play it whole are in `crates/bond/tests`.

mod faults;

use super::*;

fn item(name: &str, edition: u64, value: &'static str) -> Item {
    Item { kind: Kind::Service, name: name.into(), edition, value: Some(value.into()) }
}

fn call(items: &[(&str, &'static str)]) -> Proposal {
    Proposal::new(items.iter().map(|(name, value)| item(name, 5, value)).collect())
}

fn ballot(era: u64, round: u64) -> Ballot {
    Ballot { era, round, who: 7 }
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
    assert_eq!((one.mark(), one.keys()), (two.mark(), two.keys()));
    assert_ne!(one.mark(), Proposal::new(vec![a.clone()]).mark());
    assert_ne!(one.mark(), Proposal::new(vec![a.clone(), item("b", 6, "y")]).mark());
    assert_ne!(one.mark(), Proposal::new(vec![a.clone(), Item { value: None, ..b }]).mark());
    // Of one version said twice the first counts, as an equal version has no effect.
    assert_eq!(Proposal::new(vec![a.clone(), item("a", 5, "z")]).mark(), Proposal::new(vec![a]).mark());
    let (at, back) = ProposalMessage::new(ballot(2, 3), &one).call().unwrap();
    assert_eq!((at, back.mark()), (ballot(2, 3), one.mark()));
}

/// A promise is told only once a floor above it is on disk, and a later life takes nothing at or below that floor.
#[test]
fn what_was_promised_holds_in_the_next_life() {
    let (mut acceptor, mut disk) = (Acceptor::new(), BTreeMap::new());
    let first = call(&[("a", "x")]);
    let promise = acceptor.prepare(ballot(0, 1), first.keys()).unwrap();
    let reserve = promise.reserve.unwrap();
    // It is not on disk yet: what comes after waits for it as well.
    assert_eq!(acceptor.prepare(ballot(0, 2), first.keys()).unwrap().reserve, Some(reserve));
    disk.extend([reserve.record()]);
    acceptor.on_disk(reserve);
    for round in 3..1_000 {
        assert_eq!(acceptor.prepare(ballot(0, round), first.keys()).unwrap().reserve, None);
    }
    let accepted =
        acceptor.accept(ballot(0, 1_000), first.clone(), AcceptReason::First, &ItemStore::new()).unwrap();
    disk.extend(accepted.records);
    let mut next = again(&disk);
    let refused = next.accept(ballot(0, 999), first.clone(), AcceptReason::First, &ItemStore::new());
    let Err(AcceptError::Promised { to }) = refused else { panic!("{refused:?}") };
    assert_eq!(next.prepare(ballot(0, 1_001), first.keys()), Err(to));
    let higher = Ballot::above(to, 0, 9);
    assert_eq!(next.prepare(higher, first.keys()).unwrap().calls, [(ballot(0, 1_000), first.clone())]);
    // A later era's first round is above all of an earlier one's.
    let era = Ballot::above(to, 1, 9);
    assert!(era.round == 1 && next.prepare(era, first.keys()).is_ok());
    assert_eq!(next.prepare(Ballot::above(higher, 0, 9), first.keys()), Err(era));
    let fence = next.fence(2).unwrap();
    assert!(next.prepare(Ballot::above(higher, 1, 9), &[1]).is_err() && fence.record().0 == FLOOR);
}

#[test]
fn a_record_that_cannot_be_read_is_not_passed_over() {
    let one = call(&[("a", "x"), ("b", "y")]);
    let mut acceptor = Acceptor::new();
    let accepted =
        acceptor.accept(ballot(0, 1), one.clone(), AcceptReason::First, &ItemStore::new()).unwrap();
    let disk: BTreeMap<Vec<u8>, Vec<u8>> = accepted.records.into_iter().collect();
    let mut back = again(&disk);
    assert_eq!(back.get(one.mark()), Some((ballot(0, 1), &one)));
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
    let (mut acceptor, mut ledger) = (Acceptor::new(), ItemStore::new());
    for (n, call) in [&won, &void, &other].into_iter().enumerate() {
        let accepted = acceptor.accept(ballot(0, n as u64 + 1), call.clone(), AcceptReason::First, &ledger);
        accepted.unwrap().reserve.into_iter().for_each(|reserve| acceptor.on_disk(reserve));
    }
    assert_eq!(acceptor.touching(other.keys()).len(), 2);
    ledger.merge(won.items()[0].clone());
    let gone = acceptor.settle(&ledger, won.items().iter());
    assert!(gone.len() == 2 && gone.iter().all(|(_, value)| value.is_empty()));
    assert_eq!(acceptor.pending().map(|(_, call)| call.mark()).collect::<Vec<_>>(), [other.mark()]);
    let refused = acceptor.accept(ballot(0, 9), void, AcceptReason::First, &ledger).unwrap_err();
    assert!(matches!(refused, AcceptError::Taken { edition: 5, .. }), "{refused}");
    // What is decided counts as accepted without a record more.
    assert_eq!(acceptor.accept(ballot(0, 10), won, AcceptReason::First, &ledger).unwrap().records, []);
    assert_eq!((acceptor.by_key.len(), acceptor.by_name.len(), acceptor.bytes), (1, 1, other.bytes()));
}

#[test]
fn memory_is_bounded_and_full_acceptors_can_be_resolved() {
    let (mut acceptor, ledger) = (Acceptor::new(), ItemStore::new());
    let nth = |n: usize| Proposal::new(vec![item(&format!("i{n}"), 1, "x")]);
    for n in 0..MOST_CALLS {
        acceptor.accept(ballot(0, 1), nth(n), AcceptReason::First, &ledger).unwrap();
    }
    let more = nth(MOST_CALLS);
    assert_eq!(
        acceptor.accept(ballot(0, 1), more.clone(), AcceptReason::First, &ledger),
        Err(AcceptError::Full)
    );
    assert!(acceptor.accept(ballot(0, 1), more, AcceptReason::Again, &ledger).is_ok());
    assert!(
        acceptor.accept(ballot(0, 2), nth(0), AcceptReason::First, &ledger).is_ok(),
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
    let (mut acceptor, mut disk, ledger) = (Acceptor::new(), BTreeMap::new(), ItemStore::new());
    let (one, two) = (call(&[("a", "x"), ("b", "x")]), call(&[("b", "y")]));
    disk.extend(acceptor.accept(ballot(0, 2), one.clone(), AcceptReason::First, &ledger).unwrap().records);
    let lower = acceptor.deny(ballot(0, 1), one.mark(), one.keys());
    assert!(matches!(lower, Err(AcceptError::Promised { .. })), "{lower:?}");
    disk.extend(acceptor.deny(ballot(0, 3), one.mark(), one.keys()).unwrap().records);
    disk.retain(|_, value| !value.is_empty());
    for acceptor in [&acceptor, &again(&disk)] {
        assert_eq!(acceptor.pending().count(), 0);
        assert_eq!(acceptor.denials(two.keys()).collect::<Vec<_>>(), [(one.mark(), ballot(0, 3))]);
    }
    let (mut seen, denied) = (ObservedProposals::new(), acceptor.denials(one.keys()).collect());
    hear(&mut seen, [(ballot(0, 2), one.clone()), (ballot(0, 1), two.clone())]);
    assert_eq!(live(&seen, &denied).keys().collect::<Vec<_>>(), [&two.mark()]);
    hear(&mut seen, [(ballot(0, 4), one.clone())]);
    assert_eq!(live(&seen, &denied).len(), 2);
    acceptor.accept(ballot(0, 4), one.clone(), AcceptReason::First, &ledger).unwrap();
    assert!(acceptor.denials(one.keys()).count() == 0 && acceptor.denied_by_key.is_empty());
    for n in 0..=MOST_DENIED as u64 {
        acceptor.deny(ballot(1, n), ProposalId((n as u128).to_be_bytes()), &[n]).unwrap();
    }
    assert_eq!((acceptor.denials(&[0]).count(), acceptor.denials(&[1]).count()), (0, 1));
    assert_eq!((acceptor.denied.len(), acceptor.denied_keys), (MOST_DENIED, MOST_DENIED));
    // One that has no seat any more forgets all of it, and goes on from there.
    acceptor.accept(ballot(2, 1), two, AcceptReason::First, &ledger).unwrap();
    assert_eq!(acceptor.forget_calls().len(), MOST_DENIED + 2);
    assert_eq!((acceptor.denials(&[1]).count(), acceptor.denied_keys, acceptor.pending().count()), (0, 0, 0));
    assert!(acceptor.denied_by_key.is_empty() && acceptor.by_key.is_empty() && acceptor.by_name.is_empty());
    acceptor.deny(ballot(2, 2), one.mark(), &[1]).unwrap();
    assert_eq!(acceptor.denials(&[1]).count(), 1);
}

/// W={a,b}, V={b,c}, X={c,a}, each with another content: whoever is behind another leads to the highest ballot.
#[test]
fn a_chain_of_calls_ends_at_the_highest_ballot() {
    let w = call(&[("a", "w"), ("b", "w")]);
    let v = call(&[("b", "v"), ("c", "v")]);
    let x = call(&[("c", "x"), ("a", "x")]);
    let (mut seen, mut ledger) = (ObservedProposals::new(), ItemStore::new());
    assert_eq!(standing(&x, &seen, &ledger), ProposalStatus::Free);
    hear(&mut seen, [(ballot(0, 1), w.clone())]);
    assert_eq!(standing(&x, &seen, &ledger), ProposalStatus::Behind(w.mark()));
    hear(&mut seen, [(ballot(0, 2), v.clone()), (ballot(0, 1), v.clone())]);
    assert_eq!(standing(&w, &seen, &ledger), ProposalStatus::Behind(v.mark()));
    assert_eq!(standing(&v, &seen, &ledger), ProposalStatus::Again);
    v.items().iter().for_each(|item| _ = ledger.merge(item.clone()));
    assert_eq!(standing(&v, &seen, &ledger), ProposalStatus::Done);
    assert!(matches!(standing(&x, &seen, &ledger), ProposalStatus::Taken(item) if &*item.name == "c"));
    assert!(matches!(standing(&w, &seen, &ledger), ProposalStatus::Taken(item) if &*item.name == "b"));
    // W is void, and in nobody's way.
    assert_eq!(standing(&call(&[("a", "y")]), &seen, &ledger), ProposalStatus::Free);
    assert_eq!(
        weigh(&call(&[("a", "y")]), &seen, &ledger, Some(Safeguard::Void)),
        ProposalStatus::Behind(w.mark())
    );
    assert!(Acceptor::without(Some(Safeguard::Floor)).out.is_some());
}

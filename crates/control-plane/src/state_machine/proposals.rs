//! Orders: each is read for, judged, decided in the register, and answered.
//!
//! A change is a call: all its items, taken whole or not at all. Whoever runs one has a reading's quorum promise a ballot
//! for its keys, and hears which calls were accepted for them; then enough seats accept the call under that ballot. Only
//! then it is decided, and only what is decided is in the ledger, is read back, and goes to gateways.

use super::*;
use kitepass_coordination::consensus::{
    conflicting_item, is_committed, observe, possibly_chosen, proposal_status, AcceptError, ProposalStatus,
};

/// So long a call that was accepted and not heard of again is left to whoever proposed it; then whoever does the duty
/// settles it, and others between a half and the whole of such a span later, or within a drawn one that widens where nobody
/// does the duty. Danger: those that push one call together take each other's promises away.
const LEFT: Duration = Duration::from_micros(250_000);
const OTHERS: u64 = 1_000_000;
/// A drawn pause before an order's next reading is up to so long after the first refusal, and doubles as often as that.
/// Danger: those that outbid each other at once never end; pauses that go on doubling keep callers waiting beyond their
/// patience (docs/control-register.md).
const PAUSE: u64 = 100_000;
const MOST_WIDENED: u32 = 2;
/// Calls that are watched until they are settled, and denials that are remembered.
const MOST_WATCHED: usize = 1_024;
/// Bytes of undecided calls that one answer tells, but one call at least.
const MOST_TOLD: usize = 4 * 1024 * 1024;
/// Calls of others that are begun to be settled at one tick.
const MOST_SETTLED: usize = 8;

/// How far an order has come, by names of seats. [`StateMachine::step`] alone changes it.
#[derive(Debug)]
pub(super) enum Phase {
    /// Hearing what the others hold, and having them promise.
    Reading(BTreeSet<String>),
    /// Another reading begins then.
    Paused(Timestamp),
    /// Calls that may be decided already have to be settled first.
    Behind(BTreeSet<ProposalId>),
    /// Waiting for copies on disk.
    Storing(BTreeSet<String>),
    /// The denial is on its way to enough disks; then this is answered.
    Denying(BTreeSet<String>, Response),
}

pub(super) struct PendingRequest {
    /// Who waits for the answer, if anybody.
    pub(super) caller: Option<u64>,
    pub(super) order: Request,
    /// What is proposed; none for a reading alone.
    call: Option<Proposal>,
    /// The ballot of this attempt, and the ticket that its answers repeat.
    ballot: Ballot,
    attempt: u64,
    /// Accepted calls that readings told of.
    seen: ObservedProposals,
    /// The highest that was told in this reading: see [`PrepareResponse`].
    whole: u64,
    /// How often it was refused by somebody who had promised more.
    refused: u32,
    step: Phase,
    pub(super) since: Timestamp,
}

impl PendingRequest {
    /// Whether answers under this ticket are for it.
    pub(super) fn waits_for(&self, request_id: u64) -> bool {
        self.attempt == request_id
    }
}

/// A call that somebody has accepted, and that is not known to be settled.
pub(super) struct Watched {
    call: Proposal,
    /// The highest ballot that it was heard with.
    ballot: Ballot,
    /// From then on this process settles it.
    due: Timestamp,
    tries: u32,
}

impl StateMachine {
    /// A call of an operator; it is answered under its number.
    pub fn handle_request(&mut self, now: Timestamp, caller: u64, order: Request) {
        if let Some(response) = self.not_now(now) {
            return self.active_term.push(Action::Respond(caller, response));
        }
        self.begin(now, Some(caller), order);
    }

    /// A body of `Timetable.Patch`, by its shape alone.
    pub fn parse_change_request(&self, body: &[u8]) -> Result<Request, String> {
        kitepass_config::parse_change_request(&self.checker, body)
            .map(Request::Patch)
            .map_err(|refusal| refusal.to_string())
    }

    pub(super) fn begin(&mut self, now: Timestamp, caller: Option<u64>, order: Request) {
        let id = self.request_id();
        let call = match &order {
            Request::Patch(items) => Some(Proposal::new(items.clone())),
            Request::Settle(call) => Some(call.clone()),
            Request::Next(replica_set) => Some(Proposal::new(vec![replica_set.to_item(INCOMING)])),
            Request::Now(replica_set) => Some(Proposal::new(vec![replica_set.to_item(CURRENT)])),
            // It is worked out anew for each reading.
            Request::Evacuate { .. } => None,
            Request::Get | Request::Survey | Request::Fill(_) => None,
        };
        let step = Phase::Paused(now);
        let (ballot, mut seen) = (Ballot::default(), ObservedProposals::new());
        // Danger: a reading that misses the one seat which has it would leave it for ever to whoever waits behind it.
        if let Request::Settle(call) = &order {
            let watched = self.watch.get(&call.proposal_id());
            observe(&mut seen, watched.map(|watched| (watched.ballot, call.clone())));
        }
        self.work.insert(
            id,
            PendingRequest {
                caller,
                order,
                call,
                ballot,
                attempt: 0,
                seen,
                whole: 0,
                refused: 0,
                step,
                since: now,
            },
        );
        self.read(now, id);
    }

    fn step(&mut self, id: u64, to: Phase) {
        if let Some(work) = self.work.get_mut(&id) {
            work.step = to;
        }
    }

    pub(super) fn end(&mut self, id: u64, response: Response) {
        let Some(work) = self.work.remove(&id) else { return };
        if let Some(caller) = work.caller {
            self.active_term.push(Action::Respond(caller, response));
        }
    }

    /// Beyond any change: decided, or never to be.
    fn is_settled(&self, call: &Proposal) -> bool {
        is_committed(call, &self.item_store) || conflicting_item(call, &self.item_store).is_some()
    }

    /// A coming cast that was accepted here, may be decided, and is not known to be.
    pub(super) fn undecided_cast(&self) -> Option<(Ballot, Proposal)> {
        let now = self.replica_set()?;
        let next = |item: &Item| {
            item.kind == Kind::ReplicaSet && &*item.name == INCOMING && item.version > now.version
        };
        let mut open = self.acceptor.pending().filter(|(_, call)| call.items().iter().any(next));
        open.find(|(_, call)| !self.is_settled(call)).map(|(ballot, call)| (ballot, call.clone()))
    }

    /// The edition of a cast that was accepted here to be in force and is not known to be, or 0.
    pub(super) fn whole(&self) -> u64 {
        let replica_sets = self.acceptor.pending().filter_map(|(_, call)| puts_in_force(call));
        replica_sets.map(|replica_set| replica_set.version).max().unwrap_or(0)
    }

    /// Whether what counts by this era, about these keys, is to be refused here. Danger: whoever knows of an older cast
    /// alone would meet no majority of the newer one. A cast that was accepted here and may be decided fences off all
    /// else than its own settling.
    fn is_fenced(&self, epoch: u64, keys: &[u64]) -> bool {
        epoch < self.epoch_number()
            || self
                .undecided_cast()
                .is_some_and(|(_, replica_set)| !replica_set.keys().iter().any(|key| keys.contains(key)))
    }

    pub(super) fn epoch_number(&self) -> u64 {
        self.epoch().map_or(0, |epoch| epoch.epoch())
    }

    /// Begins a reading, or a further one.
    fn read(&mut self, now: Timestamp, id: u64) {
        let Some(work) = self.work.get(&id) else { return };
        let keys = work.call.as_ref().map(|call| call.keys().to_vec()).unwrap_or_default();
        // What may be the coming cast is settled first: nothing else counts before.
        let fence = self
            .undecided_cast()
            .filter(|(_, replica_set)| !replica_set.keys().iter().any(|k| keys.contains(k)));
        if let Some((ballot, replica_set)) = fence {
            self.watch(now, ballot, &replica_set);
            return self.step(id, Phase::Behind([replica_set.proposal_id()].into()));
        }
        let evacuation = match &work.order {
            Request::Evacuate { zone, on } => Some(Proposal::new(vec![self.evacuation(zone, *on)])),
            _ => None,
        };
        let epoch = self.epoch_number();
        let attempt = self.request_id();
        let ballot = Ballot::above(self.highest, epoch, self.incarnation);
        self.highest = self.highest.max(ballot);
        let Some(work) = self.work.get_mut(&id) else { return };
        work.call = evacuation.or(work.call.take());
        (work.attempt, work.ballot) = (attempt, ballot);
        (work.step, work.whole) = (Phase::Reading(BTreeSet::new()), 0);
        let keys = work.call.as_ref().map(|call| call.keys().to_vec()).unwrap_or_default();
        let inquire = PrepareRequest {
            request_id: attempt,
            bucket_digests: self.item_store.history_buckets().to_vec(),
            incarnation: self.incarnation,
            epoch,
            ballot: work.call.is_some().then_some(ballot),
            wants_all_undecided: work.call.is_none(),
            keys,
            first_bucket: 0,
        };
        self.ask_all(now, &inquire);
        let node_id = self.me.node_id.clone();
        self.inquired(now, &node_id, &inquire);
    }

    /// The item that evacuates a zone or takes that back: one version above the one that stands.
    fn evacuation(&self, zone: &str, on: bool) -> Item {
        let known = self.item_store.get(Kind::Evacuation, zone);
        let version = known.map_or(0, |item| item.version) + 1;
        let value = on.then(|| Bytes::from_static(b"1"));
        Item { kind: Kind::Evacuation, name: zone.into(), version, value }
    }

    /// Somebody, this process too, asks what is held here, and maybe for a promise.
    pub(super) fn inquired(&mut self, now: Timestamp, node_id: &str, inquire: &PrepareRequest) {
        let own = node_id == self.me.node_id;
        let mut held = PrepareResponse {
            request_id: inquire.request_id,
            incarnation: inquire.incarnation,
            is_complete: self.full,
            is_bootstrapped: self.replica_set().is_some(),
            activated_version: self.whole(),
            ..PrepareResponse::default()
        };
        if !own {
            self.piece(inquire, &mut held);
        }
        if inquire.first_bucket > 0 {
            // The rest of a reading; what it promised and which calls stand open was told with its first piece.
            return self.tell_held(now, node_id, held);
        }
        let (mut calls, mut reserve) = (Vec::new(), None);
        if held.is_bootstrapped && self.is_fenced(inquire.epoch, &inquire.keys) {
            held.is_rejected = true;
            calls.extend(self.undecided_cast());
        } else if let Some(ballot) = inquire.ballot {
            self.highest = self.highest.max(ballot);
            match self.acceptor.prepare(ballot, &inquire.keys) {
                Ok(promise) => (calls, reserve) = (promise.accepted, promise.reservation),
                Err(higher) => (held.is_rejected, held.ballot) = (true, Some(higher)),
            }
            let denials = self.acceptor.rejections(&inquire.keys);
            held.rejected = denials
                .map(|(m, ballot)| RejectedProposal { ballot, proposal_id: Bytes::copy_from_slice(&m.0) })
                .collect();
        } else if inquire.wants_all_undecided {
            calls = self.acceptor.pending().map(|(ballot, call)| (ballot, call.clone())).collect();
            // Danger: what is accepted here under an earlier era after this answer would be decided and not read.
            reserve = self.acceptor.fence(inquire.epoch);
        }
        // Danger: calls of many MiB together would be beyond what one word holds. Whoever is not told all of them settles
        // these, and reads again.
        let mut bytes = 0;
        let fits = calls.iter().take_while(|(_, call)| {
            let first = bytes == 0;
            bytes += call.bytes();
            first || bytes <= MOST_TOLD
        });
        held.accepted = fits.map(|(ballot, call)| ProposalMessage::new(*ballot, call)).collect();
        held.is_rejected |= held.accepted.len() < calls.len();
        match reserve {
            // Danger: a promise that a restart forgets: it is told once the floor that covers it is on disk.
            Some(reserve) => {
                let kept = Kept::Promise { node_id: node_id.to_owned(), held, reserve };
                self.keep_records(vec![reserve.record()], kept);
            }
            None => self.tell_held(now, node_id, held),
        }
    }

    pub(super) fn tell_held(&mut self, now: Timestamp, node_id: &str, held: PrepareResponse) {
        if node_id == self.me.node_id {
            let name = self.name.clone();
            self.held(now, node_id, &name, held);
        } else {
            self.send(node_id, Message::PrepareResponse(held));
        }
    }

    /// What a seat, this one too, told for an order's reading.
    pub(super) fn read_of(&mut self, now: Timestamp, name: &str, held: PrepareResponse) {
        let Some((&id, _)) = self.work.iter().find(|(_, work)| work.attempt == held.request_id) else {
            return;
        };
        let calls: Vec<(Ballot, Proposal)> =
            held.accepted.into_iter().filter_map(ProposalMessage::into_proposal).collect();
        for (ballot, call) in &calls {
            self.highest = self.highest.max(*ballot);
            self.watch(now, *ballot, call);
        }
        for RejectedProposal { ballot, proposal_id } in held.rejected {
            if let Some(proposal_id) = ProposalId::from_bytes(&proposal_id) {
                let known = self.denied.entry(proposal_id).or_insert(ballot);
                *known = ballot.max(*known);
            }
        }
        let Some(work) = self.work.get_mut(&id) else { return };
        observe(&mut work.seen, calls);
        if held.is_rejected {
            self.highest = self.highest.max(held.ballot.unwrap_or_default());
            return self.again(now, id);
        }
        work.whole = work.whole.max(held.activated_version);
        if let Phase::Reading(heard) = &mut work.step {
            heard.insert(name.to_owned());
            self.proceed(now, id);
        }
    }

    /// After a drawn pause there is another reading.
    fn again(&mut self, now: Timestamp, id: u64) {
        let Some(work) = self.work.get_mut(&id) else { return };
        if matches!(work.step, Phase::Paused(_) | Phase::Behind(_)) {
            return;
        }
        if matches!(work.order, Request::Settle(_)) {
            return self.end(id, Response::Done); // another is at it; if it comes to nothing, this one's turn comes again
        }
        // Danger: where a call was sent again to many, all of them push the same call, and take each other's promises away.
        // Once it is accepted anywhere they come again at moments further apart.
        let is_seen = work.call.as_ref().is_some_and(|call| work.seen.contains_key(&call.proposal_id()));
        let most = PAUSE << work.refused.min(if is_seen { MOST_WIDENED + 1 } else { MOST_WIDENED });
        work.refused += 1;
        let pause = Duration::from_micros(self.chance.rand_range(0..most) as i64);
        self.step(id, Phase::Paused(now + pause));
    }

    pub(super) fn proceed(&mut self, now: Timestamp, id: u64) {
        // Danger: a process that stood still would answer by what it heard before.
        if !self.has_quorum(now) {
            return;
        }
        let Some(work) = self.work.get(&id) else { return };
        // Danger: copies under a ballot of an earlier era, counted by a later cast, are not met by readings of the earlier
        // one: two could be chosen for one number.
        if matches!(work.step, Phase::Storing(_) | Phase::Denying(..))
            && work.ballot.epoch < self.epoch_number()
        {
            return self.read(now, id);
        }
        match &work.step {
            Phase::Reading(heard) if self.is_read(heard, work.whole) => self.decide(now, id),
            Phase::Storing(copies) if self.is_chosen(work, copies) => self.chosen(now, id),
            Phase::Denying(copies, response) if self.is_safe(copies) => {
                let response = response.clone();
                self.end(id, response);
            }
            _ => {}
        }
    }

    /// Whether these copies decide a call. What brings a cast in must be safe by that cast, too. Danger: one that cannot
    /// work would be brought in. What puts it in force needs to be safe by it alone: its content is that of the next cast,
    /// which is decided, and each of its copies has all that was decided before, so that whoever reads by both casts or by
    /// it alone meets all of that. Danger: where the cast before has lost its majority by then, nothing would end the change.
    fn is_chosen(&self, work: &PendingRequest, copies: &BTreeSet<String>) -> bool {
        if let Some(replica_set) = work.call.as_ref().and_then(puts_in_force) {
            return replica_set.is_write_quorum(copies);
        }
        let items = work.call.iter().flat_map(|call| call.items().iter());
        let mut replica_sets =
            items.filter(|item| item.kind == Kind::ReplicaSet).filter_map(ReplicaSet::from_item);
        let Some(epoch) = self.epoch() else { return false };
        let with = replica_sets.next().map_or(epoch.clone(), |next| epoch.with_incoming(Some(next)));
        with.is_write_quorum(copies)
    }

    /// All that was decided anywhere before this reading is known here by now, or was told as accepted.
    fn decide(&mut self, now: Timestamp, id: u64) {
        let epoch = self.epoch_number();
        let Some(work) = self.work.get(&id) else { return };
        if work.ballot.epoch < epoch {
            return self.read(now, id); // another cast has come meanwhile
        }
        let seen = possibly_chosen(&work.seen, &self.denied);
        let Some(call) = work.call.clone() else {
            // What puts the cast in force that this reading is for is not waited for: it waits for this. Nor is anything where
            // one has accepted that already: what the cast before may have decided was settled then. Danger: where too few
            // of the cast before are left nothing can be settled until the next one alone decides.
            let whole =
                self.epoch().and_then(|epoch| epoch.incoming).is_some_and(|next| next.version == work.whole);
            let awaits = |call: &Proposal| {
                matches!(work.order, Request::Fill(_)) && (whole || puts_in_force(call).is_some())
            };
            let open = seen.values().filter(|(_, call)| !self.is_settled(call) && !awaits(call));
            let open: BTreeSet<ProposalId> = open.map(|(_, call)| call.proposal_id()).collect();
            if open.is_empty() {
                return self.read_out(now, id);
            }
            return self.step(id, Phase::Behind(open));
        };
        let mut stands = false;
        if let Request::Evacuate { zone, on } = &work.order {
            if call.items()[0].version != self.evacuation(zone, *on).version {
                return self.read(now, id);
            }
            stands = self.item_store.get(Kind::Evacuation, zone).is_some_and(Item::is_set) == *on;
        }
        match proposal_status(&call, &seen, &self.item_store) {
            ProposalStatus::Committed => self.finished(now, id),
            // Two that evacuate one zone draw the same version: the later one takes the next.
            ProposalStatus::Conflicting(_) if matches!(work.order, Request::Evacuate { .. }) => {
                self.read(now, id)
            }
            ProposalStatus::Conflicting(item) => {
                let order = work.order.name();
                info!(
                    "event=conflict order={order} kind={:?} name={:?} version=r{}",
                    item.kind, item.name, item.version
                );
                self.watch.remove(&call.proposal_id());
                self.end(id, Response::Conflict(conflict(&item)));
            }
            ProposalStatus::BlockedBy(proposal_id) => self.step(id, Phase::Behind([proposal_id].into())),
            ProposalStatus::AlreadyAccepted => self.propose(now, id, call),
            ProposalStatus::New => match &work.order {
                // Danger: answered before what others accepted for the zone is settled, it would be undone by what came before.
                Request::Evacuate { .. } if stands => self.end(id, Response::Done),
                Request::Patch(items) => match kitepass_config::validate(&self.item_store, items) {
                    Ok(()) => self.propose(now, id, call),
                    Err(refusal) => self.deny(now, id, &call, refusal.to_string()),
                },
                // Danger: a seat that has it and has not heard of its denial would bring it up for as long as that is remembered,
                // and in force after that.
                Request::Settle(_) if self.denied.contains_key(&call.proposal_id()) => {
                    self.watch.remove(&call.proposal_id());
                    self.deny(now, id, &call, "denied before".into());
                }
                // It is not decided, and whoever wants it will see to it.
                Request::Settle(_) => {
                    self.watch.remove(&call.proposal_id());
                    self.end(id, Response::Done);
                }
                Request::Next(replica_set)
                    if self.replica_set().is_none_or(|now| now.version + 1 != replica_set.version) =>
                {
                    self.end(id, Response::Done);
                }
                _ => self.propose(now, id, call),
            },
        }
    }

    /// Asks all for copies of a call, or of its denial, under the ballot that was promised.
    fn store(&mut self, now: Timestamp, id: u64, step: Phase, store: AcceptRequest) {
        let Some(work) = self.work.get_mut(&id) else { return };
        work.step = step;
        let (request_id, ballot) = (work.attempt, Some(work.ballot));
        let store = AcceptRequest {
            request_id,
            incarnation: self.incarnation,
            epoch: work.ballot.epoch,
            ballot,
            ..store
        };
        self.send_all(&Message::AcceptRequest(store.clone()));
        let node_id = self.me.node_id.clone();
        self.copy(now, &node_id, store);
    }

    fn propose(&mut self, now: Timestamp, id: u64, call: Proposal) {
        let Some(work) = self.work.get(&id) else { return };
        info!("event=write order={} items={}", work.order.name(), call.items().len());
        let whole = match puts_in_force(&call) {
            Some(_) => self.item_store.history_buckets().to_vec(),
            None => Vec::new(),
        };
        let again = matches!(work.order, Request::Settle(_));
        let store = AcceptRequest {
            items: call.to_messages(),
            bucket_digests: whole,
            was_accepted_before: again,
            ..AcceptRequest::default()
        };
        self.store(now, id, Phase::Storing(BTreeSet::new()), store);
    }

    fn deny(&mut self, now: Timestamp, id: u64, call: &Proposal, why: String) {
        info!("event=refused-call why={why:?}");
        let denies = Bytes::copy_from_slice(&call.proposal_id().0);
        let store = AcceptRequest { rejects: denies, keys: call.keys().to_vec(), ..AcceptRequest::default() };
        self.store(now, id, Phase::Denying(BTreeSet::new(), Response::Invalid(why)), store);
    }

    /// Accepts a call, or its denial, if nothing forbids it. It counts as a copy only once it is on disk, and only if this
    /// folder is full.
    pub(super) fn copy(&mut self, now: Timestamp, node_id: &str, store: AcceptRequest) {
        let Some(ballot) = store.ballot else { return };
        self.highest = self.highest.max(ballot);
        let (request_id, incarnation) = (store.request_id, store.incarnation);
        let mut stored = AcceptResponse {
            request_id,
            incarnation,
            answered_ballot: Some(ballot),
            ..AcceptResponse::default()
        };
        let call = if store.rejects.is_empty() { Proposal::from_messages(store.items.clone()) } else { None };
        let keys = call.as_ref().map_or(&store.keys[..], |call| call.keys());
        if self.is_fenced(store.epoch, keys) {
            stored.is_rejected = true;
            return self.tell_stored(now, node_id, stored);
        }
        // Danger: a cast would be in force whose seats lack what the one before had decided. Who lacks some of what the
        // writer holds asks for it first.
        if store
            .bucket_digests
            .iter()
            .zip(self.item_store.history_buckets())
            .any(|(theirs, mine)| theirs != mine)
        {
            return self.pull(now, node_id, store);
        }
        let accepted = match call {
            Some(call) => {
                self.watch(now, ballot, &call);
                let bid = if store.was_accepted_before { AcceptReason::Resolve } else { AcceptReason::New };
                self.acceptor.accept(ballot, call, bid, &self.item_store)
            }
            None => match ProposalId::from_bytes(&store.rejects) {
                Some(proposal_id) => self.acceptor.reject(ballot, proposal_id, &store.keys),
                None => return, // of a kind that this version does not know
            },
        };
        match accepted {
            Ok(accepted) => {
                let kept = Kept::Copy { node_id: node_id.to_owned(), stored, reserve: accepted.reservation };
                self.keep_records(accepted.records, kept);
            }
            Err(refused) => {
                stored.is_rejected = true;
                stored.ballot = match refused {
                    AcceptError::Promised { to } => Some(to),
                    AcceptError::Taken { .. } | AcceptError::Full => None,
                };
                self.tell_stored(now, node_id, stored);
            }
        }
    }

    fn tell_stored(&mut self, now: Timestamp, node_id: &str, stored: AcceptResponse) {
        if node_id == self.me.node_id {
            let name = self.name.clone();
            self.stored(now, &name, stored);
        } else {
            self.send(node_id, Message::AcceptResponse(stored));
        }
    }

    pub(super) fn stored(&mut self, now: Timestamp, name: &str, stored: AcceptResponse) {
        let asked = |work: &PendingRequest| {
            work.attempt == stored.request_id && Some(work.ballot) == stored.answered_ballot
        };
        let Some((&id, _)) = self.work.iter().find(|(_, work)| asked(work)) else { return };
        if stored.is_rejected {
            self.highest = self.highest.max(stored.ballot.unwrap_or_default());
            return self.again(now, id);
        }
        // Danger: one whose folder is not full would pass for a copy of what it never held.
        if !stored.is_complete {
            return;
        }
        let work = self.work.get_mut(&id).map(|work| &mut work.step);
        if let Some(Phase::Storing(copies) | Phase::Denying(copies, _)) = work {
            copies.insert(name.to_owned());
            self.proceed(now, id);
        }
    }

    /// Enough seats have it on disk under one ballot: it is decided.
    fn chosen(&mut self, now: Timestamp, id: u64) {
        let Some(call) = self.work.get(&id).and_then(|work| work.call.clone()) else { return };
        self.send_all(&Message::Commit(Commit {
            proposal_id: Bytes::copy_from_slice(&call.proposal_id().0),
        }));
        self.take(call.items().iter().map(|item| (item.clone(), Vec::new())).collect());
        self.finished(now, id);
    }

    /// All of an order's items are decided.
    fn finished(&mut self, now: Timestamp, id: u64) {
        let Some(work) = self.work.get(&id) else { return };
        let order = work.order.clone();
        self.end(id, Response::Done);
        match order {
            // Both casts have it. All that was decided before is read under it, then it is put in force.
            Request::Next(replica_set) => self.begin(now, None, Request::Fill(replica_set)),
            Request::Now(replica_set) => {
                info!("event=cast edition={} seats={}", replica_set.version, replica_set.replicas.len())
            }
            _ => {}
        }
    }

    /// A reading is whole, and all calls that it told of are settled.
    fn read_out(&mut self, now: Timestamp, id: u64) {
        if !self.has_quorum(now) {
            return;
        }
        match self.work.get(&id).map(|work| work.order.clone()) {
            Some(Request::Get) => {
                let body = kitepass_config::to_configuration(&self.item_store);
                self.end(id, Response::Body(body));
            }
            Some(Request::Survey) => {
                self.end(id, Response::Done);
                self.surveyed(now);
            }
            Some(Request::Fill(replica_set)) => {
                self.end(id, Response::Done);
                self.begin(now, None, Request::Now(replica_set));
            }
            _ => {}
        }
    }

    /// Word that a call is decided, from whoever proposed it.
    pub(super) fn decided(&mut self, decided: &Commit) {
        let proposal_id = ProposalId::from_bytes(&decided.proposal_id);
        let Some((_, call)) = proposal_id.and_then(|proposal_id| self.acceptor.get(proposal_id)) else {
            return;
        };
        let items = call.items().iter().map(|item| (item.clone(), Vec::new())).collect();
        self.take(items);
    }

    /// A call that was accepted somewhere is watched until it is settled. Danger: who proposed it may have died after it
    /// was decided and confirmed, and nobody would bring it in force.
    fn watch(&mut self, now: Timestamp, ballot: Ballot, call: &Proposal) {
        if self.is_settled(call) || self.watch.len() >= MOST_WATCHED {
            return;
        }
        let due = self.due(now, call, 0);
        let watched = || Watched { call: call.clone(), ballot, due, tries: 0 };
        let watched = self.watch.entry(call.proposal_id()).or_insert_with(watched);
        watched.ballot = watched.ballot.max(ballot);
    }

    /// When this process settles a call that was heard of now, or tried so often. Whoever does the duty goes first.
    fn due(&mut self, now: Timestamp, call: &Proposal, tries: u32) -> Timestamp {
        let drawn = if self.active_term(now).is_some() {
            self.chance.rand_range(0..PAUSE)
        } else if self.holder().is_some() {
            OTHERS / 2 + self.chance.rand_range(0..OTHERS / 2)
        } else {
            self.chance.rand_range(0..OTHERS << tries.min(MOST_WIDENED))
        };
        // A large one is longer on its way.
        now + LEFT + on_its_way(call.bytes()) + Duration::from_micros(drawn as i64)
    }

    /// What an earlier life accepted is watched, too.
    pub(super) fn watch_all(&mut self, now: Timestamp) {
        let calls: Vec<(Ballot, Proposal)> =
            self.acceptor.pending().map(|(ballot, call)| (ballot, call.clone())).collect();
        calls.iter().for_each(|(ballot, call)| self.watch(now, *ballot, call));
    }

    /// Takes up what waited. To be called after whatever may have changed that.
    pub(super) fn pursue(&mut self, now: Timestamp) {
        let item_store = &self.item_store;
        self.watch.retain(|_, w| {
            !is_committed(&w.call, item_store) && conflicting_item(&w.call, item_store).is_none()
        });
        if self.denied.len() > MOST_WATCHED {
            self.denied.clear(); // readings tell them again
        }
        let ready = |work: &PendingRequest| match &work.step {
            Phase::Paused(until) => *until <= now,
            Phase::Behind(marks) => !marks.iter().any(|proposal_id| self.watch.contains_key(proposal_id)),
            _ => false,
        };
        let ready: Vec<u64> = self.work.iter().filter(|(_, w)| ready(w)).map(|(id, _)| *id).collect();
        let epoch = self.epoch_number();
        for id in ready {
            let Some(work) = self.work.get(&id) else { continue };
            // A reading alone, all of whose calls are settled, is whole: others that came meanwhile came after it.
            let reads = work.call.is_none() && !matches!(work.order, Request::Evacuate { .. });
            if reads && matches!(work.step, Phase::Behind(_)) && work.ballot.epoch == epoch {
                self.read_out(now, id);
            } else {
                self.read(now, id);
            }
        }
    }

    /// Begins to settle what is due; to be called at each tick.
    pub(super) fn settle(&mut self, now: Timestamp) {
        // Danger: where all lost power while a cast was brought in, each would refuse the others what they need to catch up,
        // for its sake, and none would settle it. So that alone is settled by one that has yet to catch up.
        let fence = self.undecided_cast();
        let catches_up = matches!(self.replica_state, ReplicaState::CatchingUp | ReplicaState::Isolated);
        let only = match (self.replica_state, &fence) {
            (ReplicaState::Serving, _) => None,
            (_, Some((_, replica_set))) if catches_up && self.full && self.has_quorum(now) => {
                Some(replica_set.proposal_id())
            }
            _ => return,
        };
        if let Some((ballot, replica_set)) = &fence {
            self.watch(now, *ballot, replica_set);
        }
        let busy: BTreeSet<ProposalId> =
            self.work.values().filter_map(|w| Some(w.call.as_ref()?.proposal_id())).collect();
        let mut calls = Vec::new();
        for (proposal_id, watched) in &self.watch {
            let may = only.is_none_or(|only| only == *proposal_id) && !busy.contains(proposal_id);
            if watched.due <= now && may && calls.len() < MOST_SETTLED {
                calls.push(watched.call.clone());
            }
        }
        for call in &calls {
            let tries = self.watch.get(&call.proposal_id()).map_or(0, |watched| watched.tries + 1);
            let due = self.due(now, call, tries);
            if let Some(watched) = self.watch.get_mut(&call.proposal_id()) {
                (watched.tries, watched.due) = (tries, due);
            }
        }
        for call in calls {
            debug!("event=settle items={}", call.items().len());
            match puts_in_force(&call) {
                // Danger: proposed again as it is, by one that has not read all that was decided under the cast before, it
                // would be in force on seats that lack some of that.
                Some(replica_set) if !self.recasts() => self.begin(now, None, Request::Fill(replica_set)),
                Some(_) => {}
                None => self.begin(now, None, Request::Settle(call)),
            }
        }
    }

    /// Records are on disk.
    pub fn records_persisted(&mut self, now: Timestamp, request_id: u64) {
        // A disk in trouble may drop old tickets; what they were for is over.
        let kept = self.keeping.remove(&request_id);
        self.keeping = self.keeping.split_off(&request_id);
        match kept {
            Some(Kept::Copy { node_id, stored, reserve }) => {
                reserve.into_iter().for_each(|reserve| self.acceptor.reservation_persisted(reserve));
                self.tell_stored(now, &node_id, AcceptResponse { is_complete: self.full, ..stored });
            }
            Some(Kept::Promise { node_id, held, reserve }) => {
                self.acceptor.reservation_persisted(reserve);
                self.tell_held(now, &node_id, held);
            }
            Some(Kept::Vote { node_id, vote, grant }) => {
                self.recorded = vote;
                self.voted(now, &node_id, grant);
            }
            Some(Kept::Full) => {
                self.full = true;
                info!("event=full");
                self.catch_up(now);
            }
            Some(Kept::Nothing) | None => {}
        }
        self.pursue(now);
    }
}

/// The cast that a call puts in force, if it does that.
fn puts_in_force(call: &Proposal) -> Option<ReplicaSet> {
    let item = call.items().iter().find(|item| item.kind == Kind::ReplicaSet && &*item.name == CURRENT)?;
    ReplicaSet::from_item(item)
}

/// How much longer so many bytes may be on their way.
fn on_its_way(bytes: usize) -> Duration {
    Duration::from_micros(PATIENCE_MIB.micros() * (bytes >> 20) as i64)
}

/// What a caller reads whose number another call has taken.
fn conflict(item: &Item) -> String {
    let list = match item.kind {
        Kind::Route => "itineraries",
        Kind::Tenant => "customers",
        Kind::Service => "carrier-lines",
        Kind::Limits => "weight-limits",
        Kind::Evacuation => "evacuation",
        Kind::Backend => "backend",
        Kind::ReplicaSet => "cast",
    };
    format!("{list} {:?}: version r{} is taken by another content", item.name, item.version)
}

//! Catching up with the core: what others hold is asked for piece by piece, taken in and kept; the first cast is made.

use super::*;
use kitepass_config::{MergeOutcome, VersionDigest};

/// About how many bytes of items one answer brings. So what is unsent is bounded for each that asks, as it asks on only
/// once it has an answer.
const PIECE: usize = 512 * 1024;
/// An answer that has not come by then is asked for again, the first and a later one: the question may have been lost
/// with a connection. What waits for a slow line already is not told twice: see the server.
const OVERDUE: [Duration; 2] = [Duration::from_micros(500_000), Duration::from_micros(2_000_000)];
/// So often a piece that was not whole is asked for again.
const MOST_SPOILT: u32 = 3;

/// How far the reading of one other process has come, under one ticket.
pub(super) struct Reader {
    hashes: Arc<[u64]>,
    epoch: u64,
    /// The bucket that is asked for.
    from: u32,
    at: Timestamp,
    spoilt: u32,
    /// What the first answer told beside its piece of items.
    first: Option<PrepareResponse>,
}

impl Reader {
    fn is_overdue(&self, now: Timestamp) -> bool {
        now - self.at > OVERDUE[usize::from(self.from > 0)]
    }
}

impl StateMachine {
    /// Takes decided items in, with their older versions; those that are news go to all sessions, and to disk. True if any
    /// was.
    pub(super) fn take(&mut self, items: Vec<(Item, Vec<VersionDigest>)>) -> bool {
        let (mut news, mut changed) = (Vec::new(), Vec::new());
        for (item, past) in items {
            match self.item_store.merge_with_history(item.clone(), &past) {
                MergeOutcome::Unchanged => continue,
                MergeOutcome::HistoryChanged => {}
                MergeOutcome::NewestChanged => news.push(item.clone()),
            }
            changed.push(item);
        }
        if changed.is_empty() {
            return false;
        }
        let entries = changed.iter().filter_map(|item| self.item_store.entry(item.kind, &item.name));
        // What is decided is on enough disks as accepted already: that it is decided can wait for the next sync. Danger: a
        // sync of its own would hold up the next call's for as long as a disk takes.
        self.later.extend(entries.map(kitepass_config::encode_record));
        self.later.extend(self.acceptor.commit(&self.item_store, &changed));
        self.spread(&news);
        self.founded();
        true
    }

    pub(super) fn spread(&mut self, news: &[Item]) {
        news.iter().for_each(|item| learn(&mut self.rate_limit, item));
        if news.is_empty() || self.sessions.is_empty() {
            return;
        }
        let news: Arc<[Item]> = news.into();
        for session in self.sessions.keys() {
            self.active_term.push(Action::SendItems(*session, news.clone()));
        }
    }

    /// The first cast has come to one that takes part in the founding: its empty folder is whole.
    pub(super) fn founded(&mut self) {
        if self.replica_state == ReplicaState::Uninitialized && self.replica_set().is_some() {
            self.shift(ReplicaState::CatchingUp);
            if self.maiden
                && self
                    .replica_set()
                    .is_some_and(|replica_set| replica_set.contains(&self.name) && replica_set.version == 1)
            {
                self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
            }
        }
        self.maiden &= self.replica_set().is_none();
    }

    /// An inquiry that goes on until all is read.
    pub(super) fn ask(&mut self, now: Timestamp, node_id: &str, inquire: PrepareRequest) {
        let hashes = Arc::from(inquire.bucket_digests.as_slice());
        let reader = Reader { hashes, epoch: inquire.epoch, from: 0, at: now, spoilt: 0, first: None };
        self.readers.insert((inquire.request_id, node_id.to_owned()), reader);
        self.send(node_id, Message::PrepareRequest(inquire));
    }

    pub(super) fn ask_all(&mut self, now: Timestamp, inquire: &PrepareRequest) {
        let node_ids: Vec<String> = self.peers.keys().cloned().collect();
        node_ids.iter().for_each(|node_id| self.ask(now, node_id, inquire.clone()));
    }

    /// An inquiry for what another holds and this process does not.
    fn word_of(&self, request_id: u64, epoch: u64) -> PrepareRequest {
        let hashes = self.item_store.history_buckets().to_vec();
        PrepareRequest {
            request_id,
            bucket_digests: hashes,
            incarnation: self.incarnation,
            epoch,
            ..PrepareRequest::default()
        }
    }

    /// The next piece of what the asker lacks.
    pub(super) fn piece(&self, inquire: &PrepareRequest, held: &mut PrepareResponse) {
        let piece =
            self.item_store.history_chunk(&inquire.bucket_digests, inquire.first_bucket as usize, PIECE);
        held.items = piece.items.into_iter().map(ItemMessage::from).collect();
        (held.first_bucket, held.next_bucket) = (inquire.first_bucket, piece.next_bucket as u32);
        (held.differing_buckets, held.digest) = (piece.differing_buckets, piece.digest);
    }

    /// Takes a piece in, whatever it belongs to, and asks on. What the first answer told comes back once all that the other
    /// held then is known here.
    fn took(
        &mut self,
        now: Timestamp,
        node_id: &str,
        name: &str,
        mut held: PrepareResponse,
    ) -> Option<PrepareResponse> {
        let items = std::mem::take(&mut held.items);
        let mut items: Vec<_> = items.into_iter().filter_map(ItemMessage::into_entry).collect();
        // Danger: one that stands outside of the cast may hold what was dropped and forgotten.
        let trusts = self.trusts(name);
        // Danger: tickets begin anew in each life, and an answer to an earlier one may come late: it would pass for a
        // reading that was never made.
        let key = (held.request_id, node_id.to_owned());
        let reader = if held.incarnation == self.incarnation { self.readers.remove(&key) } else { None };
        let Some(mut reader) = reader else {
            items.retain(|(item, _)| trusts || item.kind == Kind::ReplicaSet);
            self.take(items);
            return None;
        };
        if held.first_bucket != reader.from {
            // It was asked for twice, and came twice.
            self.readers.insert(key, reader);
            items.retain(|(item, _)| trusts || item.kind == Kind::ReplicaSet);
            self.take(items);
            return None;
        }
        let mut given = ItemStore::new();
        items.iter().for_each(|(item, past)| _ = given.merge_with_history(item.clone(), past));
        let (from, next) = (held.first_bucket as usize, held.next_bucket as usize);
        let digest =
            chunk_digest(given.history_buckets(), &reader.hashes, from, next, &held.differing_buckets);
        if !trusts {
            items.retain(|(item, _)| item.kind == Kind::ReplicaSet);
        }
        self.take(items);
        if !trusts {
            return None;
        }
        let whole = next > from && digest == held.digest;
        let (request_id, told) = (held.request_id, held.digest);
        let first = reader.first.take().unwrap_or(held);
        if first.is_rejected {
            return Some(first);
        }
        reader.at = now;
        // Danger: a piece that is short of an item, by whatever fault, would pass for all that the other holds.
        if !whole {
            reader.spoilt += 1;
            warn!(
                "event=held-differs station={node_id} from={from} next={next} told={told:x} here={digest:x}"
            );
            if reader.spoilt > MOST_SPOILT {
                return None;
            }
        } else if next >= BUCKETS {
            return Some(first);
        } else {
            reader.from = next as u32;
        }
        reader.first = Some(first);
        let hashes = reader.hashes.to_vec();
        let inquire = PrepareRequest {
            request_id,
            bucket_digests: hashes,
            incarnation: self.incarnation,
            epoch: reader.epoch,
            ..PrepareRequest::default()
        };
        let inquire = PrepareRequest { first_bucket: reader.from, ..inquire };
        self.readers.insert(key, reader);
        self.send(node_id, Message::PrepareRequest(inquire));
        None
    }

    /// `name` is the seat of the process at `node_id`.
    pub(super) fn held(&mut self, now: Timestamp, node_id: &str, name: &str, held: PrepareResponse) {
        let own = node_id == self.me.node_id && held.incarnation == self.incarnation;
        let held = if own { Some(held) } else { self.took(now, node_id, name, held) };
        // A cast may have come in which it has no seat: then what was read is not held any more.
        if self.prove(now) {
            return;
        }
        let Some(held) = held else { return };
        if self.pulled(now, held.request_id, &held) || !held.is_complete || !held.is_bootstrapped {
            return;
        }
        if held.request_id != self.inquiry {
            return self.read_of(now, name, held);
        }
        if held.is_rejected {
            self.inquired = Timestamp::default(); // of a newer era, that has come with the answer
            return;
        }
        self.caught.insert(name.to_owned());
        self.caught_whole = self.caught_whole.max(held.activated_version);
        self.catch_up(now);
    }

    /// A copy that another asks for waits until this process holds all that the other does.
    pub(super) fn pull(&mut self, now: Timestamp, node_id: &str, store: AcceptRequest) {
        let request_id = self.request_id();
        let inquire = self.word_of(request_id, store.epoch);
        self.pulls.insert(node_id.to_owned(), (request_id, store));
        self.ask(now, node_id, inquire);
    }

    /// What such a copy waited for has come.
    fn pulled(&mut self, now: Timestamp, request_id: u64, held: &PrepareResponse) -> bool {
        let of = |(_, (asked, _)): &(&String, &(u64, AcceptRequest))| *asked == request_id;
        let Some(node_id) = self.pulls.iter().find(of).map(|(node_id, _)| node_id.clone()) else {
            return false;
        };
        let Some((_, store)) = self.pulls.remove(&node_id) else { return false };
        if !held.is_rejected {
            self.copy(now, &node_id, AcceptRequest { bucket_digests: Vec::new(), ..store });
        }
        true
    }

    /// Whether enough of the core has been heard since the start.
    pub(super) fn catch_up(&mut self, now: Timestamp) {
        let mut heard = self.caught.clone();
        let mut whole = self.caught_whole;
        if self.full {
            heard.insert(self.name.clone());
            whole = whole.max(self.whole());
        }
        let apart = self.contact.state() == ContactState::Disconnected;
        if apart
            || !matches!(self.replica_state, ReplicaState::CatchingUp | ReplicaState::Isolated)
            || !self.is_read(&heard, whole)
        {
            return;
        }
        if self.full {
            self.shift(ReplicaState::Serving);
            self.watch_all(now);
        } else if !self.keeping.values().any(|kept| matches!(kept, Kept::Full)) {
            // Danger: one with an empty folder would pass for a copy of what it never held. It is full only once
            // all that others hold is on its disk, in order before this record.
            self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
        }
    }

    /// Asks all whose answer is not on its way already.
    pub(super) fn inquire(&mut self, now: Timestamp) {
        // What was heard stays heard: copies merge, and nothing known is forgotten. Out of contact that is not so: see
        // `ask_core`, which has the ticket be a new one.
        if self.inquiry == 0 {
            // An answer may be to the first question under this ticket: it proves no more than that one was heard.
            (self.inquiry, self.asked) = (self.request_id(), now);
        }
        let inquire = self.word_of(self.inquiry, self.epoch_number());
        let waits = |node_id: &String| {
            self.readers
                .get(&(inquire.request_id, node_id.clone()))
                .is_some_and(|reader| !reader.is_overdue(now))
        };
        let node_ids: Vec<String> = self.peers.keys().filter(|node_id| !waits(node_id)).cloned().collect();
        node_ids.iter().for_each(|node_id| self.ask(now, node_id, inquire.clone()));
    }

    /// A copy that still differs after two beats is read, and one that is read already is not asked again.
    pub(super) fn repair(&mut self, now: Timestamp, node_id: &str, name: &str) {
        if self.trusts(name)
            && !self.readers.iter().any(|((_, s), reader)| s == node_id && !reader.is_overdue(now))
        {
            let request_id = self.request_id();
            let inquire = self.word_of(request_id, self.epoch_number());
            self.ask(now, node_id, inquire);
        }
    }

    /// A connection has come or gone: no answer comes any more to what was asked over the one before.
    pub(super) fn unread(&mut self, node_id: &str) {
        self.readers.retain(|(_, s), _| s != node_id);
    }

    /// Readings that nobody waits for any more are let go.
    pub(super) fn forget_readers(&mut self, now: Timestamp) {
        let (work, pulls, inquiry) = (&self.work, &self.pulls, self.inquiry);
        self.readers.retain(|(request_id, _), reader| {
            !reader.is_overdue(now)
                || *request_id == inquiry
                || work.values().any(|work| work.waits_for(*request_id))
                || pulls.values().any(|(asked, _)| asked == request_id)
        });
    }

    /// The founder makes the first cast of all who have come.
    pub(super) fn found(&mut self, now: Timestamp) {
        let (since, quiet) = (now - self.begun, now - self.newest);
        let alone = self.peers.is_empty() && since < GATHER_MOST;
        if !self.founder || self.replica_state != ReplicaState::Uninitialized || alone || quiet < GATHER {
            return;
        }
        let mut replicas: Vec<Replica> = self.peers.values().map(|peer| Replica::from(&peer.hello)).collect();
        replicas.push(self.me.clone());
        replicas.sort();
        let replica_set = ReplicaSet { replicas, version: 1 };
        info!("event=found seats={}", replica_set.replicas.len());
        let item = replica_set.to_item(CURRENT);
        self.send_all(&Message::Items(Items { items: vec![(&item).into()] }));
        self.take(vec![(item, Vec::new())]);
    }
}

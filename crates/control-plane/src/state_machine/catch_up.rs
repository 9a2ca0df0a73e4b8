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
    era: u64,
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
            match self.ledger.merge_with(item.clone(), &past) {
                MergeOutcome::Nothing => continue,
                MergeOutcome::Past => {}
                MergeOutcome::News => news.push(item.clone()),
            }
            changed.push(item);
        }
        if changed.is_empty() {
            return false;
        }
        let entries = changed.iter().filter_map(|item| self.ledger.entry(item.kind, &item.name));
        // What is decided is on enough disks as accepted already: that it is decided can wait for the next sync. Danger: a
        // sync of its own would hold up the next call's for as long as a disk takes.
        self.later.extend(entries.map(kitepass_config::record));
        self.later.extend(self.acceptor.settle(&self.ledger, &changed));
        self.spread(&news);
        self.founded();
        true
    }

    pub(super) fn spread(&mut self, news: &[Item]) {
        news.iter().for_each(|item| learn(&mut self.terms, item));
        if news.is_empty() || self.sessions.is_empty() {
            return;
        }
        let news: Arc<[Item]> = news.into();
        for session in self.sessions.keys() {
            self.acts.push(Action::Items(*session, news.clone()));
        }
    }

    /// The first cast has come to one that takes part in the founding: its empty folder is whole.
    pub(super) fn founded(&mut self) {
        if self.standing == ReplicaState::Blank && self.cast().is_some() {
            self.shift(ReplicaState::Behind);
            if self.maiden && self.cast().is_some_and(|cast| cast.has(&self.name) && cast.edition == 1) {
                self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
            }
        }
        self.maiden &= self.cast().is_none();
    }

    /// An inquiry that goes on until all is read.
    pub(super) fn ask(&mut self, now: Timestamp, station: &str, inquire: PrepareRequest) {
        let hashes = Arc::from(inquire.hashes.as_slice());
        let reader = Reader { hashes, era: inquire.era, from: 0, at: now, spoilt: 0, first: None };
        self.readers.insert((inquire.ticket, station.to_owned()), reader);
        self.send(station, Message::PrepareRequest(inquire));
    }

    pub(super) fn ask_all(&mut self, now: Timestamp, inquire: &PrepareRequest) {
        let stations: Vec<String> = self.peers.keys().cloned().collect();
        stations.iter().for_each(|station| self.ask(now, station, inquire.clone()));
    }

    /// An inquiry for what another holds and this process does not.
    fn word_of(&self, ticket: u64, era: u64) -> PrepareRequest {
        let hashes = self.ledger.whole_buckets().to_vec();
        PrepareRequest { ticket, hashes, life: self.life, era, ..PrepareRequest::default() }
    }

    /// The next piece of what the asker lacks.
    pub(super) fn piece(&self, inquire: &PrepareRequest, held: &mut PrepareResponse) {
        let piece = self.ledger.whole_piece(&inquire.hashes, inquire.from as usize, PIECE);
        held.items = piece.items.into_iter().map(ItemMessage::from).collect();
        (held.from, held.next) = (inquire.from, piece.next as u32);
        (held.differs, held.digest) = (piece.differs, piece.digest);
    }

    /// Takes a piece in, whatever it belongs to, and asks on. What the first answer told comes back once all that the other
    /// held then is known here.
    fn took(
        &mut self,
        now: Timestamp,
        station: &str,
        name: &str,
        mut held: PrepareResponse,
    ) -> Option<PrepareResponse> {
        let items = std::mem::take(&mut held.items);
        let mut items: Vec<_> = items.into_iter().filter_map(ItemMessage::entry).collect();
        // Danger: one that stands outside of the cast may hold what was dropped and forgotten.
        let trusts = self.trusts(name);
        // Danger: tickets begin anew in each life, and an answer to an earlier one may come late: it would pass for a
        // reading that was never made.
        let key = (held.ticket, station.to_owned());
        let reader = if held.life == self.life { self.readers.remove(&key) } else { None };
        let Some(mut reader) = reader else {
            items.retain(|(item, _)| trusts || item.kind == Kind::ReplicaSet);
            self.take(items);
            return None;
        };
        if held.from != reader.from {
            // It was asked for twice, and came twice.
            self.readers.insert(key, reader);
            items.retain(|(item, _)| trusts || item.kind == Kind::ReplicaSet);
            self.take(items);
            return None;
        }
        let mut given = ItemStore::new();
        items.iter().for_each(|(item, past)| _ = given.merge_with(item.clone(), past));
        let (from, next) = (held.from as usize, held.next as usize);
        let digest = chunk_digest(given.whole_buckets(), &reader.hashes, from, next, &held.differs);
        if !trusts {
            items.retain(|(item, _)| item.kind == Kind::ReplicaSet);
        }
        self.take(items);
        if !trusts {
            return None;
        }
        let whole = next > from && digest == held.digest;
        let (ticket, told) = (held.ticket, held.digest);
        let first = reader.first.take().unwrap_or(held);
        if first.refused {
            return Some(first);
        }
        reader.at = now;
        // Danger: a piece that is short of an item, by whatever fault, would pass for all that the other holds.
        if !whole {
            reader.spoilt += 1;
            warn!(
                "event=held-differs station={station} from={from} next={next} told={told:x} here={digest:x}"
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
        let inquire =
            PrepareRequest { ticket, hashes, life: self.life, era: reader.era, ..PrepareRequest::default() };
        let inquire = PrepareRequest { from: reader.from, ..inquire };
        self.readers.insert(key, reader);
        self.send(station, Message::PrepareRequest(inquire));
        None
    }

    /// `name` is the seat of the process at `station`.
    pub(super) fn held(&mut self, now: Timestamp, station: &str, name: &str, held: PrepareResponse) {
        let own = station == self.me.station && held.life == self.life;
        let held = if own { Some(held) } else { self.took(now, station, name, held) };
        // A cast may have come in which it has no seat: then what was read is not held any more.
        if self.prove(now) {
            return;
        }
        let Some(held) = held else { return };
        if self.pulled(now, held.ticket, &held) || !held.full || !held.founded {
            return;
        }
        if held.ticket != self.inquiry {
            return self.read_of(now, name, held);
        }
        if held.refused {
            self.inquired = Timestamp::default(); // of a newer era, that has come with the answer
            return;
        }
        self.caught.insert(name.to_owned());
        self.caught_whole = self.caught_whole.max(held.whole);
        self.catch_up(now);
    }

    /// A copy that another asks for waits until this process holds all that the other does.
    pub(super) fn pull(&mut self, now: Timestamp, station: &str, store: AcceptRequest) {
        let ticket = self.ticket();
        let inquire = self.word_of(ticket, store.era);
        self.pulls.insert(station.to_owned(), (ticket, store));
        self.ask(now, station, inquire);
    }

    /// What such a copy waited for has come.
    fn pulled(&mut self, now: Timestamp, ticket: u64, held: &PrepareResponse) -> bool {
        let of = |(_, (asked, _)): &(&String, &(u64, AcceptRequest))| *asked == ticket;
        let Some(station) = self.pulls.iter().find(of).map(|(station, _)| station.clone()) else {
            return false;
        };
        let Some((_, store)) = self.pulls.remove(&station) else { return false };
        if !held.refused {
            self.copy(now, &station, AcceptRequest { whole: Vec::new(), ..store });
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
        let apart = self.contact.state() == ContactState::Out;
        if apart
            || !matches!(self.standing, ReplicaState::Behind | ReplicaState::Apart)
            || !self.is_read(&heard, whole)
        {
            return;
        }
        if self.full {
            self.shift(ReplicaState::Current);
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
            (self.inquiry, self.asked) = (self.ticket(), now);
        }
        let inquire = self.word_of(self.inquiry, self.era_number());
        let waits = |station: &String| {
            self.readers.get(&(inquire.ticket, station.clone())).is_some_and(|reader| !reader.is_overdue(now))
        };
        let stations: Vec<String> = self.peers.keys().filter(|station| !waits(station)).cloned().collect();
        stations.iter().for_each(|station| self.ask(now, station, inquire.clone()));
    }

    /// A copy that still differs after two beats is read, and one that is read already is not asked again.
    pub(super) fn repair(&mut self, now: Timestamp, station: &str, name: &str) {
        if self.trusts(name)
            && !self.readers.iter().any(|((_, s), reader)| s == station && !reader.is_overdue(now))
        {
            let ticket = self.ticket();
            let inquire = self.word_of(ticket, self.era_number());
            self.ask(now, station, inquire);
        }
    }

    /// A connection has come or gone: no answer comes any more to what was asked over the one before.
    pub(super) fn unread(&mut self, station: &str) {
        self.readers.retain(|(_, s), _| s != station);
    }

    /// Readings that nobody waits for any more are let go.
    pub(super) fn forget_readers(&mut self, now: Timestamp) {
        let (work, pulls, inquiry) = (&self.work, &self.pulls, self.inquiry);
        self.readers.retain(|(ticket, _), reader| {
            !reader.is_overdue(now)
                || *ticket == inquiry
                || work.values().any(|work| work.waits_for(*ticket))
                || pulls.values().any(|(asked, _)| asked == ticket)
        });
    }

    /// The founder makes the first cast of all who have come.
    pub(super) fn found(&mut self, now: Timestamp) {
        let (since, quiet) = (now - self.begun, now - self.newest);
        let alone = self.peers.is_empty() && since < GATHER_MOST;
        if !self.founder || self.standing != ReplicaState::Blank || alone || quiet < GATHER {
            return;
        }
        let mut seats: Vec<Replica> = self.peers.values().map(|peer| Replica::from(&peer.hello)).collect();
        seats.push(self.me.clone());
        seats.sort();
        let cast = ReplicaSet { seats, edition: 1 };
        info!("event=found seats={}", cast.seats.len());
        let item = cast.item(CURRENT);
        self.send_all(&Message::Items(Items { items: vec![(&item).into()] }));
        self.take(vec![(item, Vec::new())]);
    }
}

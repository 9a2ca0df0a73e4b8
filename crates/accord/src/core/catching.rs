//! Catching up with the core: what others hold is asked for piece by piece, taken in and kept; the first cast is made.

use super::*;

/// About how many bytes one answer brings. So what is unsent is bounded for each that asks, as it asks on only once it
/// has an answer.
const PIECE: usize = 512 * 1024;
/// An answer that has not come by then is asked for again, the first and a later one: the question may have been lost
/// with a connection. What waits for a slow line already is not told twice: see the server.
const OVERDUE: [Span; 2] = [Span::from_micros(500_000), Span::from_micros(2_000_000)];
/// So often a piece that was not whole is asked for again.
const MOST_SPOILT: u32 = 3;

/// How far the reading of one other process has come, under one ticket.
pub(super) struct Reader {
    hashes: Arc<[u64]>,
    /// The bucket that is asked for.
    from: u32,
    at: Moment,
    spoilt: u32,
}

impl Reader {
    fn is_overdue(&self, now: Moment) -> bool {
        now - self.at > OVERDUE[usize::from(self.from > 0)]
    }
}

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Took {
    /// All that the other held when it was asked first is known by now.
    Whole,
    /// There is more, and it has been asked for.
    Part,
    /// It belongs to no reading.
    Stray,
}

impl Core {
    /// Takes items in; those that are news go to all sessions, and to disk. True if any was.
    pub(super) fn take(&mut self, items: Vec<Item>) -> bool {
        let news: Vec<Item> = items.into_iter().filter(|item| self.ledger.merge(item.clone())).collect();
        if news.is_empty() {
            return false;
        }
        self.keep(&news, Kept::Nothing);
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
            self.acts.push(Act::Items(*session, news.clone()));
        }
    }

    /// The first cast has come to one that takes part in the founding: its empty folder is whole.
    pub(super) fn founded(&mut self) {
        if self.standing == Standing::Blank && self.cast().is_some() {
            self.shift(Standing::Behind);
            if self.maiden && self.cast().is_some_and(|cast| cast.has(&self.name) && cast.edition == 1) {
                self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
            }
        }
        self.maiden &= self.cast().is_none();
    }

    /// Keeps another process' write. It counts as a copy only once it is on disk, and only if this folder is full.
    pub(super) fn copy(&mut self, peer: &str, store: Store) {
        let items: Vec<Item> = store.items.into_iter().filter_map(ItemWord::item).collect();
        let news: Vec<Item> =
            items.iter().filter(|item| self.ledger.merge((*item).clone())).cloned().collect();
        let known = items.iter().filter_map(|item| self.ledger.get(item.kind, &item.name)).cloned();
        let known: Vec<Item> = known.collect();
        self.keep(&known, Kept::Copy { peer: peer.to_owned(), ticket: store.ticket, life: store.life });
        self.spread(&news);
        self.founded();
    }

    /// Asks one other process for all that it holds, under a ticket.
    pub(super) fn ask(&mut self, now: Moment, ticket: u64, station: &str) {
        let hashes: Arc<[u64]> = Arc::from(self.ledger.buckets().as_slice());
        self.ask_on(ticket, station, Reader { hashes, from: 0, at: now, spoilt: 0 });
    }

    fn ask_on(&mut self, ticket: u64, station: &str, reader: Reader) {
        let hashes = reader.hashes.to_vec();
        let word = Inquire { ticket, hashes, life: self.life, from: reader.from };
        self.readers.insert((ticket, station.to_owned()), reader);
        self.send(station, Word::Inquire(word));
    }

    pub(super) fn ask_all(&mut self, now: Moment, ticket: u64) {
        let stations: Vec<String> = self.peers.keys().cloned().collect();
        stations.iter().for_each(|station| self.ask(now, ticket, station));
    }

    /// Answers with the next piece of what the other lacks.
    pub(super) fn inquired(&mut self, station: &str, inquire: &Inquire) {
        let piece = self.ledger.piece(&inquire.hashes, inquire.from as usize, PIECE);
        let held = Held {
            ticket: inquire.ticket,
            items: piece.items.iter().map(|item| ItemWord::from(*item)).collect(),
            full: self.full,
            founded: self.cast().is_some(),
            life: inquire.life,
            from: inquire.from,
            next: piece.next as u32,
            differs: piece.differs,
            digest: piece.digest,
        };
        self.send(station, Word::Held(held));
    }

    /// Takes a piece in, and asks on. Whatever it belongs to, its items are news or known.
    fn took(&mut self, now: Moment, station: &str, held: &mut Held) -> Took {
        let items: Vec<Item> =
            std::mem::take(&mut held.items).into_iter().filter_map(ItemWord::item).collect();
        let key = (held.ticket, station.to_owned());
        // Danger: tickets begin anew in each life, and an answer to an earlier one may come late: it would pass for a
        // reading that was never made.
        let reader = if held.life == self.life { self.readers.remove(&key) } else { None };
        let Some(mut reader) = reader else {
            self.take(items);
            return Took::Stray;
        };
        if held.from != reader.from {
            // It was asked for twice, and came twice.
            self.readers.insert(key, reader);
            self.take(items);
            return Took::Stray;
        }
        let mut given = Ledger::new();
        items.iter().for_each(|item| _ = given.merge(item.clone()));
        let (from, next) = (held.from as usize, held.next as usize);
        let digest = piece_digest(given.buckets(), &reader.hashes, from, next, &held.differs);
        self.take(items);
        reader.at = now;
        // Danger: a piece that is short of an item, by whatever fault, would pass for all that the other holds.
        if next <= from || digest != held.digest {
            reader.spoilt += 1;
            warn!("event=held-differs station={station} from={from} next={next} tries={}", reader.spoilt);
            if reader.spoilt > MOST_SPOILT {
                return Took::Stray;
            }
        } else if next >= BUCKETS {
            return Took::Whole;
        } else {
            reader.from = held.next;
        }
        self.ask_on(held.ticket, station, reader);
        Took::Part
    }

    /// `name` is the seat of the process at `station`.
    pub(super) fn held(&mut self, now: Moment, station: &str, name: &str, mut held: Held) {
        if self.took(now, station, &mut held) != Took::Whole || !held.full || !held.founded {
            return;
        }
        if held.ticket == self.inquiry {
            self.caught.insert(name.to_owned());
            self.catch_up();
        } else if let Some(work) = self.work.get_mut(&held.ticket) {
            if let Step::Reading(heard) = &mut work.step {
                heard.insert(name.to_owned());
                self.proceed(now, held.ticket);
            }
        }
    }

    /// Whether enough of the core has been heard since the start.
    pub(super) fn catch_up(&mut self) {
        let mut heard = self.caught.clone();
        if self.full {
            heard.insert(self.name.clone());
        }
        let apart = self.standing == Standing::Apart && !self.hears_enough();
        if apart || !matches!(self.standing, Standing::Behind | Standing::Apart) || !self.is_read(&heard) {
            return;
        }
        if self.full {
            self.shift(Standing::Current);
        } else if !self.keeping.values().any(|kept| matches!(kept, Kept::Full)) {
            // Danger: one with an empty folder would pass for a copy of what it never held. It is full only once
            // all that others hold is on its disk, in order before this record.
            self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
        }
    }

    /// Asks all whose answer is not on its way already.
    pub(super) fn inquire(&mut self, now: Moment) {
        // What was heard under an earlier ticket stays heard: copies merge, and nothing known is forgotten. Apart from
        // the core that is not so: what it heard then may be old by now, and the ticket is a new one.
        if self.inquiry == 0 {
            self.inquiry = self.ticket();
        }
        let ticket = self.inquiry;
        let waits = |station: &String| {
            self.readers.get(&(ticket, station.clone())).is_some_and(|reader| !reader.is_overdue(now))
        };
        let stations: Vec<String> = self.peers.keys().filter(|station| !waits(station)).cloned().collect();
        stations.iter().for_each(|station| self.ask(now, ticket, station));
    }

    /// A copy that still differs after two beats is read, and one that is read already is not asked again.
    pub(super) fn repair(&mut self, now: Moment, station: &str) {
        if !self.readers.iter().any(|((_, s), reader)| s == station && !reader.is_overdue(now)) {
            let ticket = self.ticket();
            self.ask(now, ticket, station);
        }
    }

    /// A connection has come or gone: no answer comes any more to what was asked over the one before.
    pub(super) fn unread(&mut self, station: &str) {
        self.readers.retain(|(_, s), _| s != station);
    }

    /// Readings that nobody waits for any more are let go.
    pub(super) fn forget_readers(&mut self, now: Moment) {
        let (work, inquiry) = (&self.work, self.inquiry);
        self.readers.retain(|(ticket, _), reader| {
            !reader.is_overdue(now) || work.contains_key(ticket) || *ticket == inquiry
        });
    }

    /// The founder makes the first cast of all who have come.
    pub(super) fn found(&mut self, now: Moment) {
        let (since, quiet) = (now - self.begun, now - self.newest);
        let alone = self.peers.is_empty() && since < GATHER_MOST;
        if !self.founder || self.standing != Standing::Blank || alone || quiet < GATHER {
            return;
        }
        let mut seats: Vec<Seat> = self.peers.values().map(|peer| Seat::from(&peer.hello)).collect();
        seats.push(self.me.clone());
        seats.sort();
        let cast = Cast { seats, edition: 1 };
        info!("event=found seats={}", cast.seats.len());
        let item = cast.item(NOW);
        self.send_all(&Word::Items(Items { items: vec![(&item).into()] }));
        self.take(vec![item]);
    }
}

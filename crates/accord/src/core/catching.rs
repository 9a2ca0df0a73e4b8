//! Catching up with the core: what others hold is asked for, taken in and kept; the first cast is made.

use super::*;

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
        for session in self.sessions.keys().filter(|_| !news.is_empty()) {
            self.acts.push(Act::Items(*session, news.to_vec()));
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

    /// A write whose copy counts only of one that lacks nothing of what its sender holds: asks for that first.
    pub(super) fn transfer(&mut self, peer: &str, store: Store) {
        let ticket = self.ticket();
        // One for each peer: a later one takes the place of an earlier one.
        self.transfers.retain(|_, (from, _)| from != peer);
        self.transfers.insert(ticket, (peer.to_owned(), store));
        let word = Inquire { ticket, hashes: self.ledger.buckets().to_vec(), life: self.life };
        self.send(peer, Word::Inquire(word));
    }

    pub(super) fn held(&mut self, now: Moment, name: &str, held: Held) {
        self.take(held.items.into_iter().filter_map(ItemWord::item).collect());
        // Danger: tickets begin anew in each life, and an answer to an earlier one may come late: it would pass for a reading
        // that was never made.
        if !held.full || !held.founded || held.life != self.life {
            return;
        }
        if let Some((peer, store)) = self.transfers.remove(&held.ticket) {
            return self.copy(&peer, store); // what came is on its way to disk, in order before this
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

    pub(super) fn inquire(&mut self) {
        // What was heard under an earlier ticket stays heard: copies merge, and nothing known is forgotten. Apart from
        // the core that is not so: what it heard then may be old by now.
        self.inquiry = self.ticket();
        let word = Inquire { ticket: self.inquiry, hashes: self.ledger.buckets().to_vec(), life: self.life };
        self.send_all(&Word::Inquire(word));
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

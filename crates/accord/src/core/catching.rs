//! Catching up with the core: what others hold is asked for, taken in and kept; the first cast is made.

use super::*;
use kitepass_tenet::{Merged, Version};

impl Core {
    /// Takes decided items in, with their older versions; those that are news go to all sessions, and to disk. True if any
    /// was.
    pub(super) fn take(&mut self, items: Vec<(Item, Vec<Version>)>) -> bool {
        let (mut news, mut changed) = (Vec::new(), Vec::new());
        for (item, past) in items {
            match self.ledger.merge_with(item.clone(), &past) {
                Merged::Nothing => continue,
                Merged::Past => {}
                Merged::News => news.push(item.clone()),
            }
            changed.push(item);
        }
        if changed.is_empty() {
            return false;
        }
        let entries = changed.iter().filter_map(|item| self.ledger.entry(item.kind, &item.name));
        let mut records: Vec<(Vec<u8>, Vec<u8>)> = entries.map(kitepass_tenet::record).collect();
        records.extend(self.acceptor.settle(&self.ledger, &changed));
        self.keep_records(records, Kept::Nothing);
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

    pub(super) fn held(&mut self, now: Moment, name: &str, mut held: Held) {
        let items = std::mem::take(&mut held.items);
        self.take(items.into_iter().filter_map(ItemWord::entry).collect());
        // Danger: tickets begin anew in each life, and an answer to an earlier one may come late: it would pass for a reading
        // that was never made.
        if held.life != self.life {
            return;
        }
        if self.pulled(now, held.ticket, &held) || !held.full || !held.founded {
            return;
        }
        if held.ticket != self.inquiry {
            return self.read_of(now, name, held);
        }
        if held.refused {
            self.inquired = Moment::default(); // of a newer era, that has come with the answer
            return;
        }
        self.caught.insert(name.to_owned());
        self.catch_up(now);
    }

    /// A copy that another asks for waits until this process holds all that the other does.
    pub(super) fn pull(&mut self, station: &str, store: Store) {
        let ticket = self.ticket();
        let inquire = Inquire {
            ticket,
            hashes: self.ledger.whole_buckets().to_vec(),
            life: self.life,
            era: store.era,
            ..Inquire::default()
        };
        self.pulls.insert(station.to_owned(), (ticket, store));
        self.send(station, Word::Inquire(inquire));
    }

    /// What such a copy waited for has come.
    fn pulled(&mut self, now: Moment, ticket: u64, held: &Held) -> bool {
        let of = |(_, (asked, _)): &(&String, &(u64, Store))| *asked == ticket;
        let Some(station) = self.pulls.iter().find(of).map(|(station, _)| station.clone()) else {
            return false;
        };
        let Some((_, store)) = self.pulls.remove(&station) else { return false };
        if !held.refused {
            self.copy(now, &station, Store { whole: Vec::new(), ..store });
        }
        true
    }

    /// Whether enough of the core has been heard since the start.
    pub(super) fn catch_up(&mut self, now: Moment) {
        let mut heard = self.caught.clone();
        if self.full {
            heard.insert(self.name.clone());
        }
        let apart = self.contact.state() == ContactState::Out;
        if apart || !matches!(self.standing, Standing::Behind | Standing::Apart) || !self.is_read(&heard) {
            return;
        }
        if self.full {
            self.shift(Standing::Current);
            self.watch_all(now);
        } else if !self.keeping.values().any(|kept| matches!(kept, Kept::Full)) {
            // Danger: one with an empty folder would pass for a copy of what it never held. It is full only once
            // all that others hold is on its disk, in order before this record.
            self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
        }
    }

    pub(super) fn inquire(&mut self) {
        // What was heard under an earlier ticket stays heard: copies merge, and nothing known is forgotten. Out of contact
        // that is not so: see `ask_core`.
        self.inquiry = self.ticket();
        let word = Inquire {
            ticket: self.inquiry,
            hashes: self.ledger.whole_buckets().to_vec(),
            life: self.life,
            era: self.era_number(),
            ..Inquire::default()
        };
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
        self.take(vec![(item, Vec::new())]);
    }
}

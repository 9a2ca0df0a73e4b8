//! Drops that are forgotten, and beginning anew: what keeps a folder, a copy or a gateway that was away from bringing back
//! what was dropped and forgotten meanwhile.

use super::*;
use kitepass_config::encode_key;
use kitepass_coordination::tombstones::Due;

/// Drops are looked through no more often.
const LOOK: Duration = Duration::from_micros(2_000_000);

impl StateMachine {
    /// For tests: drops are forgotten after so long, and half of it is as long as a process may be away.
    pub fn set_age(&mut self, age: Duration) {
        self.age = age;
        self.tombs = TombstoneCollector::new(age);
    }

    /// All that is held here is on disk, and nothing is accepted and undecided. Danger: a loss of power would take the drop
    /// from a seat that was counted on; an old version that waits in the register would be brought in force after it.
    pub(super) fn is_kept(&self) -> bool {
        self.full && self.keeping.is_empty() && self.acceptor.pending().next().is_none()
    }

    /// A seat told its digest at a beat.
    pub(super) fn agreed(&mut self, now: Timestamp, name: &str, beat: &Heartbeat) {
        if beat.kept && beat.digest == self.ledger.whole_digest() && self.acts(now).is_some() {
            self.tombs.agrees(now, name);
        }
    }

    /// Whoever does the duty forgets what all have held long enough.
    pub(super) fn bury(&mut self, now: Timestamp) {
        if self.acts(now).is_none() {
            return self.tombs.clear();
        }
        if self.is_kept() {
            let name = self.name.clone();
            self.tombs.agrees(now, &name);
        }
        if now - self.looked < LOOK {
            return;
        }
        self.looked = now;
        let Some(era) = self.era() else { return };
        let seats = [Some(era.now), era.next].into_iter().flatten().flat_map(|cast| cast.seats);
        let due = self.tombs.due(now, &self.ledger, &seats.map(|seat| seat.name()).collect());
        if !due.is_empty() {
            self.send_all(&Message::PurgeTombstones(PurgeTombstones::of(&due)));
            self.forget(due);
        }
    }

    /// Takes drops out for good, here and at the gateways. One of another version stays.
    pub(super) fn forget(&mut self, due: Vec<Due>) {
        let gone = |(kind, name, edition): &Due| self.ledger.forget(*kind, name, *edition);
        let due: Vec<Due> = due.into_iter().filter(gone).collect();
        if due.is_empty() {
            return;
        }
        info!("event=forgot drops={}", due.len());
        let records = due.iter().map(|(kind, name, _)| (encode_key(*kind, name), Vec::new())).collect();
        self.keep_records(records, Kept::Nothing);
        let word = Message::PurgeTombstones(PurgeTombstones::of(&due));
        for id in self.sessions.keys() {
            self.acts.push(Action::Session(*id, word.clone()));
        }
    }

    /// Whether what a process at this seat holds may be taken in here: it has a seat, by all that is known. The cast itself
    /// is taken of anybody, as only a newer one has an effect.
    pub(super) fn trusts(&self, name: &str) -> bool {
        self.era().is_none_or(|era| era.has(name))
    }

    /// Notes that this process is in touch with the core, or has been away for too long.
    pub(super) fn touch(&mut self, now: Timestamp) {
        if self.standing == ReplicaState::Current && self.contact.state() == ContactState::In {
            self.touched = now;
            self.unproven = false;
        } else if (now - self.touched).micros() > self.age.micros() / 2 {
            self.unproven |= !self.ledger.is_empty();
        }
        self.prove(now);
    }

    /// What this process holds from before counts only if it has a seat: what has a seat is waited for before a drop is
    /// forgotten. Danger: whoever stood outside meanwhile holds what was dropped, and nobody knows any more that it was.
    /// True if it begins anew.
    pub(super) fn prove(&mut self, now: Timestamp) -> bool {
        let outside = self.unproven && self.era().is_some_and(|era| !era.has(&self.name));
        // Danger: a cast in which it sits may be chosen by what it accepted, and not be known to be.
        let sits = |item: &Item| ReplicaSet::from_item(item).is_some_and(|cast| cast.has(&self.name));
        let accepts = || {
            let mut casts = self.acceptor.pending().flat_map(|(_, call)| call.items().iter());
            casts.any(|item| item.kind == Kind::ReplicaSet && sits(item))
        };
        if !outside || accepts() || self.standing == ReplicaState::Leaving {
            return false;
        }
        warn!("event=anew items={} full={}", self.ledger.len(), self.full);
        self.unproven = false;
        let mut records: Vec<(Vec<u8>, Vec<u8>)> = vec![(FULL.to_vec(), Vec::new())];
        let (cast, old): (Vec<&Item>, Vec<&Item>) =
            self.ledger.all().partition(|i| i.kind == Kind::ReplicaSet);
        records.extend(old.iter().map(|item| (encode_key(item.kind, &item.name), Vec::new())));
        records.extend(self.acceptor.forget_calls());
        let mut ledger = ItemStore::new();
        for item in cast {
            let past = self.ledger.past(item.kind, &item.name);
            ledger.merge_with(item.clone(), past);
        }
        self.ledger = ledger;
        self.keep_records(records, Kept::Nothing);
        self.full = false;
        self.terms.clear();
        (self.caught, self.caught_whole, self.inquiry) = (BTreeSet::new(), 0, 0);
        self.readers.clear();
        self.pulls.clear();
        self.watch.clear();
        self.denied.clear();
        let reply = self.elsewhere(now);
        let ids: Vec<u64> = self.work.keys().copied().collect();
        ids.into_iter().for_each(|id| self.end(id, reply.clone()));
        let ids: Vec<u64> = self.sessions.keys().copied().collect();
        for id in ids {
            self.acts.push(Action::Close(id));
            self.session_lost(now, id, "anew");
        }
        self.shift(ReplicaState::Behind);
        self.inquired = Timestamp::default();
        true
    }
}

//! Drops that are forgotten, and beginning anew: what keeps a folder, a copy or a gateway that was away from bringing back
//! what was dropped and forgotten meanwhile.

use super::*;
use kitepass_config::encode_key;
use kitepass_coordination::tombstones::ExpiredTombstone;

/// Drops are looked through no more often.
const LOOK: Duration = Duration::from_micros(2_000_000);

impl StateMachine {
    /// For tests: drops are forgotten after so long, and half of it is as long as a process may be away.
    pub fn set_tombstone_age(&mut self, age: Duration) {
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
        if beat.is_persisted
            && beat.digest == self.item_store.history_digest()
            && self.active_term(now).is_some()
        {
            self.tombs.replica_persisted(now, name);
        }
    }

    /// Whoever does the duty forgets what all have held long enough.
    pub(super) fn bury(&mut self, now: Timestamp) {
        if self.active_term(now).is_none() {
            return self.tombs.clear();
        }
        if self.is_kept() {
            let name = self.name.clone();
            self.tombs.replica_persisted(now, &name);
        }
        if now - self.looked < LOOK {
            return;
        }
        self.looked = now;
        let Some(epoch) = self.epoch() else { return };
        let replicas = [Some(epoch.current), epoch.incoming]
            .into_iter()
            .flatten()
            .flat_map(|replica_set| replica_set.replicas);
        let due =
            self.tombs.expired(now, &self.item_store, &replicas.map(|replica| replica.name()).collect());
        if !due.is_empty() {
            self.send_all(&Message::PurgeTombstones(PurgeTombstones::from_expired(&due)));
            self.forget(due);
        }
    }

    /// Takes drops out for good, here and at the gateways. One of another version stays.
    pub(super) fn forget(&mut self, due: Vec<ExpiredTombstone>) {
        let gone = |(kind, name, version): &ExpiredTombstone| self.item_store.purge(*kind, name, *version);
        let due: Vec<ExpiredTombstone> = due.into_iter().filter(gone).collect();
        if due.is_empty() {
            return;
        }
        info!("event=forgot drops={}", due.len());
        let records = due.iter().map(|(kind, name, _)| (encode_key(*kind, name), Vec::new())).collect();
        self.keep_records(records, Kept::Nothing);
        let message = Message::PurgeTombstones(PurgeTombstones::from_expired(&due));
        for id in self.sessions.keys() {
            self.active_term.push(Action::SendToSession(*id, message.clone()));
        }
    }

    /// Whether what a process at this seat holds may be taken in here: it has a seat, by all that is known. The cast itself
    /// is taken of anybody, as only a newer one has an effect.
    pub(super) fn trusts(&self, name: &str) -> bool {
        self.epoch().is_none_or(|epoch| epoch.contains(name))
    }

    /// Notes that this process is in touch with the core, or has been away for too long.
    pub(super) fn touch(&mut self, now: Timestamp) {
        if self.replica_state == ReplicaState::Serving && self.contact.state() == ContactState::Connected {
            self.touched = now;
            self.unproven = false;
        } else if (now - self.touched).micros() > self.age.micros() / 2 {
            self.unproven |= !self.item_store.is_empty();
        }
        self.prove(now);
    }

    /// What this process holds from before counts only if it has a seat: what has a seat is waited for before a drop is
    /// forgotten. Danger: whoever stood outside meanwhile holds what was dropped, and nobody knows any more that it was.
    /// True if it begins anew.
    pub(super) fn prove(&mut self, now: Timestamp) -> bool {
        let outside = self.unproven && self.epoch().is_some_and(|epoch| !epoch.contains(&self.name));
        // Danger: a cast in which it sits may be chosen by what it accepted, and not be known to be.
        let sits = |item: &Item| {
            ReplicaSet::from_item(item).is_some_and(|replica_set| replica_set.contains(&self.name))
        };
        let accepts = || {
            let mut replica_sets = self.acceptor.pending().flat_map(|(_, call)| call.items().iter());
            replica_sets.any(|item| item.kind == Kind::ReplicaSet && sits(item))
        };
        if !outside || accepts() || self.replica_state == ReplicaState::ShuttingDown {
            return false;
        }
        warn!("event=anew items={} full={}", self.item_store.len(), self.full);
        self.unproven = false;
        let mut records: Vec<(Vec<u8>, Vec<u8>)> = vec![(FULL.to_vec(), Vec::new())];
        let (replica_set, old): (Vec<&Item>, Vec<&Item>) =
            self.item_store.items().partition(|i| i.kind == Kind::ReplicaSet);
        records.extend(old.iter().map(|item| (encode_key(item.kind, &item.name), Vec::new())));
        records.extend(self.acceptor.discard_accepted());
        let mut item_store = ItemStore::new();
        for item in replica_set {
            let past = self.item_store.older_versions(item.kind, &item.name);
            item_store.merge_with_history(item.clone(), past);
        }
        self.item_store = item_store;
        self.keep_records(records, Kept::Nothing);
        self.full = false;
        self.rate_limit.clear();
        (self.caught, self.caught_whole, self.inquiry) = (BTreeSet::new(), 0, 0);
        self.readers.clear();
        self.pulls.clear();
        self.watch.clear();
        self.denied.clear();
        let response = self.elsewhere(now);
        let ids: Vec<u64> = self.work.keys().copied().collect();
        ids.into_iter().for_each(|id| self.end(id, response.clone()));
        let ids: Vec<u64> = self.sessions.keys().copied().collect();
        for id in ids {
            self.active_term.push(Action::CloseSession(id));
            self.session_closed(now, id, "anew");
        }
        self.shift(ReplicaState::CatchingUp);
        self.inquired = Timestamp::default();
        true
    }
}

//! Contact with the core: who is heard, who heard this process, what follows when that is lost, and what each is told at
//! every beat.

use super::*;

/// What operators are shown of a seat's contact.
pub struct ReplicaContact {
    pub replica: Replica,
    /// It said something lately.
    pub heard: bool,
    /// How long ago it is known to have heard this process.
    pub age: Option<Duration>,
}

impl StateMachine {
    /// Reckons the contact anew, and parts from the core where it is lost.
    pub(super) fn judge_contact(&mut self, now: Timestamp) {
        // Once the next cast is decided nothing is decided without a majority of it; where the one before has lost its own by
        // disks, contact with the next one is what ends the change.
        let replica_sets: Vec<ReplicaSet> =
            self.epoch().map(|epoch| epoch.incoming.unwrap_or(epoch.current)).into_iter().collect();
        if let Some(state) = self.contact.evaluate(now, &replica_sets) {
            let age = self.contact.age(now).map_or("none".to_owned(), |age| millis(age).to_string());
            info!("event=contact state={state:?} age-ms={age}");
        }
        if self.contact.state() == ContactState::Disconnected && self.replica_state == ReplicaState::Serving {
            self.part(now);
        }
    }

    /// Contact is lost. Danger: cut off from the rest of the core, it would hold its gateways on an old configuration, and
    /// let its callers wait for an answer that cannot come.
    fn part(&mut self, now: Timestamp) {
        self.shift(ReplicaState::Isolated);
        let ids: Vec<u64> = self.work.keys().copied().collect();
        let response = self.elsewhere(now);
        ids.into_iter().for_each(|id| self.end(id, response.clone()));
        // Danger: a gateway that has never caught up would take an old configuration for the newest.
        let news: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| !s.hello.is_serving).map(|(id, _)| *id).collect();
        for id in news {
            self.active_term.push(Action::CloseSession(id));
            self.session_closed(now, id, "apart");
        }
        self.beat(now);
        self.ask_core(now);
    }

    /// Asks all of the core for what they hold. Danger: what was heard before contact was lost, or by one that is cut off
    /// alike, may be old by now; without contact each asking begins anew.
    pub(super) fn ask_core(&mut self, now: Timestamp) {
        if self.contact.state() == ContactState::Disconnected {
            self.caught.clear();
            self.caught_whole = 0;
            self.inquiry = 0;
        }
        self.inquired = now;
        self.inquire(now);
    }

    /// Whether an order may be taken, gone on with and answered now.
    pub fn has_quorum(&self, now: Timestamp) -> bool {
        self.contact.is_connected(now)
    }

    /// Whether a look-up may be answered: what is known of the gateways is no older than a stated time.
    pub fn can_look_up(&self, now: Timestamp) -> bool {
        matches!(self.replica_state, ReplicaState::Serving | ReplicaState::Isolated)
            && self.contact.age(now).is_some_and(|age| age <= LOOKUP)
    }

    /// How long ago a majority is known to have heard this process.
    pub fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.contact.age(now)
    }

    /// What a caller is told whose order is not for this process now: another one that is heard and says that it is in
    /// contact, if there is any. Danger: one that was in contact long ago may be as cut off as this one.
    pub(super) fn elsewhere(&self, now: Timestamp) -> Response {
        let may = |peer: &&Peer| peer.hello.is_serving && now - peer.heard <= SILENT;
        match self.peers.values().filter(may).max_by_key(|peer| peer.heard) {
            Some(peer) => Response::Redirect(peer.hello.address.clone()),
            None => Response::Unavailable("out of contact with the core"),
        }
    }

    /// Why an order cannot be taken at this moment, if so.
    pub(super) fn not_now(&self, now: Timestamp) -> Option<Response> {
        match self.replica_state {
            ReplicaState::Serving if self.has_quorum(now) => None,
            ReplicaState::Uninitialized | ReplicaState::CatchingUp if self.has_quorum(now) => {
                Some(Response::Unavailable("not caught up with the core"))
            }
            _ => Some(self.elsewhere(now)),
        }
    }

    /// Whether an order may be judged by what is known here.
    pub fn accepts_requests(&self, now: Timestamp) -> bool {
        self.not_now(now).is_none()
    }

    /// Seats of the cast, and the contact with each.
    pub fn replica_contacts(&self, now: Timestamp) -> Vec<ReplicaContact> {
        let of = |replica: Replica| {
            let name = replica.name();
            let own = name == self.name;
            let said = |peer: &Peer| peer.name == name && now - peer.heard <= SILENT;
            let heard = own || self.peers.values().any(said);
            let as_of = if own { Some(now) } else { self.contact.last_contact(&name) };
            ReplicaContact { replica, heard, age: as_of.map(|as_of| now - as_of) }
        };
        self.replica_set()
            .map_or(Vec::new(), |replica_set| replica_set.replicas.into_iter().map(of).collect())
    }

    /// Addresses of control processes that this one knows of, its own left out.
    pub fn known_addresses(&self) -> BTreeSet<String> {
        let replicas =
            [CURRENT, INCOMING].into_iter().filter_map(|name| ReplicaSet::load(&self.item_store, name));
        let replicas = replicas.flat_map(|replica_set| replica_set.replicas).map(|replica| replica.address);
        let mut stops: BTreeSet<String> =
            replicas.chain(self.peers.values().map(|p| p.hello.address.clone())).collect();
        stops.remove(&self.me.address);
        stops
    }

    pub fn peer_connected(&mut self, now: Timestamp, hello: &Hello) {
        let node_id = hello.node_id.clone();
        if !self.peers.contains_key(&node_id) {
            self.newest = now;
            info!("event=peer station={node_id} ip={} life={:x}", hello.address, hello.incarnation);
        }
        self.unread(&node_id);
        let name = Replica::from(hello).name();
        self.lost.remove(&name);
        self.leaving.remove(&name);
        self.contact.peer_connected(now, &name, hello.incarnation);
        let peer =
            Peer { hello: hello.clone(), name, heard: now, digest: 0, differs: 0, role: 0, leaving: false };
        if let Some(before) = self.peers.insert(node_id.clone(), peer) {
            if before.name != self.peers[&node_id].name {
                self.lost.insert(before.name, now);
            }
        }
        self.told.1 = Timestamp::default(); // it is to be told of the sessions here
        self.inquired = Timestamp::default();
        let controls = self.known_addresses().into_iter().collect();
        self.send(
            &node_id,
            Message::MembershipUpdate(MembershipUpdate {
                control_addresses: controls,
                ..MembershipUpdate::default()
            }),
        );
    }

    /// One that was given up for its silence has to say again who it is.
    pub fn knows_peer(&self, node_id: &str) -> bool {
        self.peers.contains_key(node_id)
    }

    /// Whether this life of it is the one that is known.
    pub fn knows_incarnation(&self, node_id: &str, incarnation: u64) -> bool {
        self.peers.get(node_id).is_some_and(|peer| peer.hello.incarnation == incarnation)
    }

    /// Bytes have come of a peer that are no whole word yet.
    pub fn peer_alive(&mut self, now: Timestamp, node_id: &str) {
        if let Some(peer) = self.peers.get_mut(node_id) {
            peer.heard = now;
        }
    }

    pub(super) fn peer_lost(&mut self, now: Timestamp, node_id: &str, why: &str) {
        self.unread(node_id);
        if let Some(peer) = self.peers.remove(node_id) {
            info!("event=peer-lost station={node_id} why={why}");
            self.lost.insert(peer.name, now);
        }
    }

    pub(super) fn buckets(&self, back: bool) -> BucketDigests {
        BucketDigests { digests: self.item_store.buckets().to_vec(), wants_reply: back }
    }

    /// Tells the others the sessions here, if they are not what was told last or that was long ago.
    pub(super) fn tell(&mut self, now: Timestamp) {
        let members: Vec<Member> = self
            .sessions
            .values()
            .map(|Session { hello, ready, .. }| Member {
                node_id: hello.node_id.clone(),
                incarnation: hello.incarnation,
                client_address: hello.client_address.clone(),
                zone: hello.zone.clone(),
                is_ready: *ready,
            })
            .collect();
        let changed = members != self.told.2;
        if !changed && now - self.told.1 < BEAT * 8 {
            return;
        }
        let number = self.told.0 + u64::from(changed);
        self.told = (number, now, members.clone());
        let sessions = SessionList { sequence: number, members };
        let me = (self.me.node_id.clone(), self.incarnation);
        self.table.update(now, &me.0, me.1, &sessions);
        self.send_all(&Message::SessionList(sessions));
    }

    /// What gateways are told of the others: at a session's start, and when it changes.
    pub(super) fn live_word(&self) -> MembershipUpdate {
        let mut controls: Vec<(&str, &str)> =
            self.peers.values().map(|p| (p.hello.address.as_str(), p.hello.zone.as_str())).collect();
        controls.push((&self.me.address, &self.me.zone));
        let (controls, control_districts) =
            controls.into_iter().map(|(address, d)| (address.to_owned(), d.to_owned())).unzip();
        MembershipUpdate {
            gateway_count: self.live.len() as u32,
            node_ids: self.live.clone(),
            control_addresses: controls,
            control_districts,
        }
    }

    /// Whether the seat of this name is heard; its own always is.
    pub(super) fn hears(&self, name: &str) -> bool {
        name == self.name || self.peers.values().any(|peer| peer.name == name)
    }

    pub(super) fn beat(&mut self, now: Timestamp) {
        let current = self.replica_state == ReplicaState::Serving;
        let role = self.active_term(now).unwrap_or(0);
        let beat = Heartbeat {
            digest: self.item_store.digest(),
            is_serving: current,
            is_complete: self.full,
            coordinator_term: role,
            ..Heartbeat::default()
        };
        let leaving = self.replica_state == ReplicaState::ShuttingDown;
        let (digest, kept) = (self.item_store.history_digest(), self.is_kept());
        for (node_id, peer) in &self.peers {
            let (number, yours) = self.contact.next_heartbeat(now, &peer.name);
            let message = Message::Heartbeat(Heartbeat {
                digest,
                is_shutting_down: leaving,
                sequence: number,
                echoed_sequence: yours,
                is_persisted: kept,
                ..beat.clone()
            });
            self.active_term.push(Action::SendToPeer(node_id.clone(), message));
        }
        self.contact.sweep(now);
        self.bury(now);
        let silent = |heard: Timestamp| now - heard > SILENT;
        let lost: Vec<String> =
            self.peers.iter().filter(|(_, p)| silent(p.heard)).map(|(s, _)| s.clone()).collect();
        lost.iter().for_each(|node_id| self.peer_lost(now, node_id, "silent"));
        let lost: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| silent(s.heard)).map(|(id, _)| *id).collect();
        for id in lost {
            self.active_term.push(Action::CloseSession(id));
            self.session_closed(now, id, "silent");
        }
        self.tell(now);
        self.item_store.purge_dropped(Kind::Backend, MOST_DROPPED);
        self.table.expire(now);
        if let Some((_, counts)) = &mut self.counts {
            counts.expire(now);
        }
        let live = self.table.live_node_ids();
        if live != self.live {
            self.keep_records(vec![(LIVE.to_vec(), live.join(",").into_bytes())], Kept::Nothing);
            self.live = live;
            let message = Message::MembershipUpdate(self.live_word());
            let ids: Vec<u64> = self.sessions.keys().copied().collect();
            ids.into_iter().for_each(|id| self.active_term.push(Action::SendToSession(id, message.clone())));
        }
        for id in self.sessions.keys() {
            let digest = self.item_store.digest();
            self.active_term
                .push(Action::SendToSession(*id, Message::Heartbeat(Heartbeat { digest, ..beat.clone() })));
        }
    }
}

pub fn millis(span: Duration) -> i64 {
    span.micros() / 1000
}

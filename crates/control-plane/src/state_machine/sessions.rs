//! Gateways' sessions, and what is told of them to clients and operators.

use super::*;

impl StateMachine {
    /// A gateway asks for a session. Danger: one that has not caught up would tell it an old configuration.
    pub fn session_opened(&mut self, now: Timestamp, id: u64, hello: Hello) {
        self.active_term.push(Action::SendToSession(id, Message::Hello(self.hello())));
        let may = match self.replica_state {
            ReplicaState::Serving => self.has_quorum(now) || hello.is_serving,
            // It had caught up once itself, and does no worse here while nobody better is to be found.
            ReplicaState::Isolated => hello.is_serving,
            ReplicaState::Uninitialized | ReplicaState::CatchingUp | ReplicaState::ShuttingDown => false,
        };
        if !may {
            return self.active_term.push(Action::CloseSession(id));
        }
        info!("event=session station={} life={:x}", hello.node_id, hello.incarnation);
        self.sessions.insert(id, Session { hello, ready: false, heard: now, differs: 0 });
        let message = Message::MembershipUpdate(self.live_word());
        self.active_term.push(Action::SendToSession(id, message));
    }

    /// Bytes have come of a gateway that are no whole word yet.
    pub fn session_alive(&mut self, now: Timestamp, id: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.heard = now;
        }
    }

    pub fn session_closed(&mut self, now: Timestamp, id: u64, why: &str) {
        if let Some(session) = self.sessions.remove(&id) {
            info!("event=session-lost station={} why={why}", session.hello.node_id);
            self.feeds.remove(id);
            self.feed(now);
            self.tell(now);
        }
    }

    pub fn session_message(&mut self, now: Timestamp, id: u64, message: Message) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.heard = now;
        match message {
            Message::Heartbeat(beat) => {
                let was = std::mem::replace(&mut session.ready, beat.is_ready);
                session.hello.is_serving |= beat.is_serving;
                let agrees = beat.digest == self.item_store.digest() || self.feeds.contains(id);
                session.differs = if agrees { 0 } else { session.differs + 1 };
                // One beat may have crossed with news.
                if session.differs >= 2 {
                    session.differs = 0;
                    self.active_term
                        .push(Action::SendToSession(id, Message::BucketDigests(self.buckets(false))));
                }
                if was != beat.is_ready {
                    self.tell(now);
                }
            }
            Message::BucketDigests(buckets) => {
                self.feeds.enqueue(id, buckets.digests, !buckets.wants_reply);
                self.feed(now);
            }
            // Repair: what a gateway was told by one that is lost. Danger: of the configuration a gateway that was away
            // would bring back what has been dropped, and the drop forgotten.
            Message::Items(items) => {
                let items = items.items.into_iter().filter_map(ItemMessage::into_entry);
                self.take(items.filter(|(item, _)| item.kind == Kind::Backend).collect());
            }
            Message::UsageReport(adds) => match self.add(now, &adds) {
                Some(totals) => self.totals(totals),
                None => {
                    if let Some(holder) = self.holder() {
                        self.send(&holder, Message::UsageReport(adds));
                    }
                }
            },
            _ => {}
        }
    }

    /// Whether something is on its way to a session that [`StateMachine::left`] is to be told of.
    pub fn is_session_catching_up(&self, id: u64) -> bool {
        self.feeds.is_in_flight(id)
    }

    /// What was on its way to a session has left, or nearly.
    pub fn session_drained(&mut self, now: Timestamp, id: u64) {
        self.feeds.chunk_delivered(id);
        self.feed(now);
    }

    /// Tells the next of those that came what they lack, as far as there is room.
    pub(super) fn feed(&mut self, now: Timestamp) {
        while let Some(turn) = self.feeds.next_turn(now) {
            let piece = self.item_store.chunk(&turn.bucket_digests, turn.first_bucket, FED);
            let goes_on = (piece.next_bucket < BUCKETS).then_some(piece.next_bucket);
            let items: Arc<[Item]> = piece.items.into_iter().cloned().collect();
            let (id, back, bytes) = (turn.id, turn.wants_reply, items.iter().map(Item::wire_bytes).sum());
            self.feeds.chunk_sent(now, turn, bytes, goes_on);
            if !items.is_empty() {
                self.active_term.push(Action::SendItems(id, items));
            }
            if goes_on.is_none() && back {
                self.active_term.push(Action::SendToSession(id, Message::BucketDigests(self.buckets(true))));
            }
        }
    }

    /// Gateways that a client may be sent to.
    pub fn look_up(&self, region: &str, zone: &str, zones: &BTreeMap<String, String>) -> Vec<String> {
        let ready: Vec<&Member> = self.table.members().into_values().filter(|m| m.is_ready).collect();
        let near = |of: &dyn Fn(&Member) -> bool| -> Vec<String> {
            ready.iter().filter(|m| of(m)).map(|m| m.client_address.clone()).take(64).collect()
        };
        let here = near(&|m| m.zone == zone);
        if here.len() > 1 {
            return here;
        }
        let there = near(&|m| zones.get(&m.zone).is_some_and(|p| p == region));
        if there.len() > 1 {
            return there;
        }
        // Danger: a client with a single address has nowhere to turn once that one is lost.
        near(&|_| true)
    }

    /// All members, for the operator.
    pub fn members(&self) -> Vec<Member> {
        self.table.members().into_values().cloned().collect()
    }

    /// Zones that are evacuated.
    pub fn evacuated_zones(&self) -> Vec<String> {
        let stands = self.item_store.items_of(Kind::Evacuation).filter(|item| item.value.is_some());
        stands.map(|item| item.name.to_string()).collect()
    }
}

//! Gateways' sessions, and what is told of them to clients and operators.

use super::*;

impl StateMachine {
    /// A gateway asks for a session. Danger: one that has not caught up would tell it an old configuration.
    pub fn session_came(&mut self, now: Timestamp, id: u64, hello: Hello) {
        self.acts.push(Action::Session(id, Message::Hello(self.hello())));
        let may = match self.standing {
            ReplicaState::Current => self.is_in_contact(now) || hello.current,
            // It had caught up once itself, and does no worse here while nobody better is to be found.
            ReplicaState::Apart => hello.current,
            ReplicaState::Blank | ReplicaState::Behind | ReplicaState::Leaving => false,
        };
        if !may {
            return self.acts.push(Action::Close(id));
        }
        info!("event=session station={} life={:x}", hello.station, hello.life);
        self.sessions.insert(id, Session { hello, ready: false, heard: now, differs: 0 });
        let word = Message::MembershipUpdate(self.live_word());
        self.acts.push(Action::Session(id, word));
    }

    /// Bytes have come of a gateway that are no whole word yet.
    pub fn session_alive(&mut self, now: Timestamp, id: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.heard = now;
        }
    }

    pub fn session_lost(&mut self, now: Timestamp, id: u64, why: &str) {
        if let Some(session) = self.sessions.remove(&id) {
            info!("event=session-lost station={} why={why}", session.hello.station);
            self.feeds.lost(id);
            self.feed(now);
            self.tell(now);
        }
    }

    pub fn session_said(&mut self, now: Timestamp, id: u64, word: Message) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.heard = now;
        match word {
            Message::Heartbeat(beat) => {
                let was = std::mem::replace(&mut session.ready, beat.ready);
                session.hello.current |= beat.current;
                let agrees = beat.digest == self.ledger.digest() || self.feeds.has(id);
                session.differs = if agrees { 0 } else { session.differs + 1 };
                // One beat may have crossed with news.
                if session.differs >= 2 {
                    session.differs = 0;
                    self.acts.push(Action::Session(id, Message::BucketDigests(self.buckets(false))));
                }
                if was != beat.ready {
                    self.tell(now);
                }
            }
            Message::BucketDigests(buckets) => {
                self.feeds.ask(id, buckets.hashes, !buckets.back);
                self.feed(now);
            }
            // Repair: what a gateway was told by one that is lost. Danger: of the configuration a gateway that was away
            // would bring back what has been dropped, and the drop forgotten.
            Message::Items(items) => {
                let items = items.items.into_iter().filter_map(ItemMessage::entry);
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
    pub fn is_fed(&self, id: u64) -> bool {
        self.feeds.is_told(id)
    }

    /// What was on its way to a session has left, or nearly.
    pub fn left(&mut self, now: Timestamp, id: u64) {
        self.feeds.left(id);
        self.feed(now);
    }

    /// Tells the next of those that came what they lack, as far as there is room.
    pub(super) fn feed(&mut self, now: Timestamp) {
        while let Some(turn) = self.feeds.next(now) {
            let piece = self.ledger.piece(&turn.hashes, turn.from, FED);
            let goes_on = (piece.next < BUCKETS).then_some(piece.next);
            let items: Arc<[Item]> = piece.items.into_iter().cloned().collect();
            let (id, back, bytes) = (turn.id, turn.back, items.iter().map(Item::bytes).sum());
            self.feeds.told(now, turn, bytes, goes_on);
            if !items.is_empty() {
                self.acts.push(Action::Items(id, items));
            }
            if goes_on.is_none() && back {
                self.acts.push(Action::Session(id, Message::BucketDigests(self.buckets(true))));
            }
        }
    }

    /// Gateways that a client may be sent to.
    pub fn lookup(
        &self,
        province: &str,
        district: &str,
        districts: &BTreeMap<String, String>,
    ) -> Vec<String> {
        let ready: Vec<&Member> = self.table.members().into_values().filter(|m| m.ready).collect();
        let near = |of: &dyn Fn(&Member) -> bool| -> Vec<String> {
            ready.iter().filter(|m| of(m)).map(|m| m.front.clone()).take(64).collect()
        };
        let here = near(&|m| m.district == district);
        if here.len() > 1 {
            return here;
        }
        let there = near(&|m| districts.get(&m.district).is_some_and(|p| p == province));
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
    pub fn evacuated(&self) -> Vec<String> {
        let stands = self.ledger.each(Kind::Evacuation).filter(|item| item.value.is_some());
        stands.map(|item| item.name.to_string()).collect()
    }
}

//! Contact with the core: who is heard, who heard this process, what follows when that is lost, and what each is told at
//! every beat.

use super::*;

/// What operators are shown of a seat's contact.
pub struct SeatContact {
    pub seat: Replica,
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
        let casts: Vec<ReplicaSet> = self.era().map(|era| era.next.unwrap_or(era.now)).into_iter().collect();
        if let Some(state) = self.contact.judge(now, &casts) {
            let age = self.contact.age(now).map_or("none".to_owned(), |age| millis(age).to_string());
            info!("event=contact state={state:?} age-ms={age}");
        }
        if self.contact.state() == ContactState::Out && self.standing == ReplicaState::Current {
            self.part(now);
        }
    }

    /// Contact is lost. Danger: cut off from the rest of the core, it would hold its gateways on an old configuration, and
    /// let its callers wait for an answer that cannot come.
    fn part(&mut self, now: Timestamp) {
        self.shift(ReplicaState::Apart);
        let ids: Vec<u64> = self.work.keys().copied().collect();
        let reply = self.elsewhere(now);
        ids.into_iter().for_each(|id| self.end(id, reply.clone()));
        // Danger: a gateway that has never caught up would take an old configuration for the newest.
        let news: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| !s.hello.current).map(|(id, _)| *id).collect();
        for id in news {
            self.acts.push(Action::Close(id));
            self.session_lost(now, id, "apart");
        }
        self.beat(now);
        self.ask_core(now);
    }

    /// Asks all of the core for what they hold. Danger: what was heard before contact was lost, or by one that is cut off
    /// alike, may be old by now; without contact each asking begins anew.
    pub(super) fn ask_core(&mut self, now: Timestamp) {
        if self.contact.state() == ContactState::Out {
            self.caught.clear();
            self.caught_whole = 0;
            self.inquiry = 0;
        }
        self.inquired = now;
        self.inquire(now);
    }

    /// Whether an order may be taken, gone on with and answered now.
    pub fn is_in_contact(&self, now: Timestamp) -> bool {
        self.contact.is_in(now)
    }

    /// Whether a look-up may be answered: what is known of the gateways is no older than a stated time.
    pub fn may_look_up(&self, now: Timestamp) -> bool {
        matches!(self.standing, ReplicaState::Current | ReplicaState::Apart)
            && self.contact.age(now).is_some_and(|age| age <= LOOKUP)
    }

    /// How long ago a majority is known to have heard this process.
    pub fn contact_age(&self, now: Timestamp) -> Option<Duration> {
        self.contact.age(now)
    }

    /// What a caller is told whose order is not for this process now: another one that is heard and says that it is in
    /// contact, if there is any. Danger: one that was in contact long ago may be as cut off as this one.
    pub(super) fn elsewhere(&self, now: Timestamp) -> Response {
        let may = |peer: &&Peer| peer.hello.current && now - peer.heard <= SILENT;
        match self.peers.values().filter(may).max_by_key(|peer| peer.heard) {
            Some(peer) => Response::Redirect(peer.hello.ip.clone()),
            None => Response::Elsewhere("out of contact with the core"),
        }
    }

    /// Why an order cannot be taken at this moment, if so.
    pub(super) fn not_now(&self, now: Timestamp) -> Option<Response> {
        match self.standing {
            ReplicaState::Current if self.is_in_contact(now) => None,
            ReplicaState::Blank | ReplicaState::Behind if self.is_in_contact(now) => {
                Some(Response::Elsewhere("not caught up with the core"))
            }
            _ => Some(self.elsewhere(now)),
        }
    }

    /// Whether an order may be judged by what is known here.
    pub fn takes_orders(&self, now: Timestamp) -> bool {
        self.not_now(now).is_none()
    }

    /// Seats of the cast, and the contact with each.
    pub fn seats(&self, now: Timestamp) -> Vec<SeatContact> {
        let of = |seat: Replica| {
            let name = seat.name();
            let own = name == self.name;
            let said = |peer: &Peer| peer.name == name && now - peer.heard <= SILENT;
            let heard = own || self.peers.values().any(said);
            let as_of = if own { Some(now) } else { self.contact.as_of(&name) };
            SeatContact { seat, heard, age: as_of.map(|as_of| now - as_of) }
        };
        self.cast().map_or(Vec::new(), |cast| cast.seats.into_iter().map(of).collect())
    }

    /// Addresses of control processes that this one knows of, its own left out.
    pub fn stops(&self) -> BTreeSet<String> {
        let seats = [CURRENT, INCOMING].into_iter().filter_map(|name| ReplicaSet::of(&self.ledger, name));
        let seats = seats.flat_map(|cast| cast.seats).map(|seat| seat.ip);
        let mut stops: BTreeSet<String> =
            seats.chain(self.peers.values().map(|p| p.hello.ip.clone())).collect();
        stops.remove(&self.me.ip);
        stops
    }

    pub fn peer_came(&mut self, now: Timestamp, hello: &Hello) {
        let station = hello.station.clone();
        if !self.peers.contains_key(&station) {
            self.newest = now;
            info!("event=peer station={station} ip={} life={:x}", hello.ip, hello.life);
        }
        self.unread(&station);
        let name = Replica::from(hello).name();
        self.lost.remove(&name);
        self.leaving.remove(&name);
        self.contact.came(now, &name, hello.life);
        let peer =
            Peer { hello: hello.clone(), name, heard: now, digest: 0, differs: 0, duty: 0, leaving: false };
        if let Some(before) = self.peers.insert(station.clone(), peer) {
            if before.name != self.peers[&station].name {
                self.lost.insert(before.name, now);
            }
        }
        self.told.1 = Timestamp::default(); // it is to be told of the sessions here
        self.inquired = Timestamp::default();
        let controls = self.stops().into_iter().collect();
        self.send(
            &station,
            Message::MembershipUpdate(MembershipUpdate { controls, ..MembershipUpdate::default() }),
        );
    }

    /// One that was given up for its silence has to say again who it is.
    pub fn knows(&self, station: &str) -> bool {
        self.peers.contains_key(station)
    }

    /// Whether this life of it is the one that is known.
    pub fn knows_life(&self, station: &str, life: u64) -> bool {
        self.peers.get(station).is_some_and(|peer| peer.hello.life == life)
    }

    /// Bytes have come of a peer that are no whole word yet.
    pub fn peer_alive(&mut self, now: Timestamp, station: &str) {
        if let Some(peer) = self.peers.get_mut(station) {
            peer.heard = now;
        }
    }

    pub(super) fn peer_lost(&mut self, now: Timestamp, station: &str, why: &str) {
        self.unread(station);
        if let Some(peer) = self.peers.remove(station) {
            info!("event=peer-lost station={station} why={why}");
            self.lost.insert(peer.name, now);
        }
    }

    pub(super) fn buckets(&self, back: bool) -> BucketDigests {
        BucketDigests { hashes: self.ledger.buckets().to_vec(), back }
    }

    /// Tells the others the sessions here, if they are not what was told last or that was long ago.
    pub(super) fn tell(&mut self, now: Timestamp) {
        let members: Vec<Member> = self
            .sessions
            .values()
            .map(|Session { hello, ready, .. }| Member {
                station: hello.station.clone(),
                life: hello.life,
                front: hello.front.clone(),
                district: hello.district.clone(),
                ready: *ready,
            })
            .collect();
        let changed = members != self.told.2;
        if !changed && now - self.told.1 < BEAT * 8 {
            return;
        }
        let number = self.told.0 + u64::from(changed);
        self.told = (number, now, members.clone());
        let sessions = SessionList { number, members };
        let me = (self.me.station.clone(), self.life);
        self.table.hear(now, &me.0, me.1, &sessions);
        self.send_all(&Message::SessionList(sessions));
    }

    /// What gateways are told of the others: at a session's start, and when it changes.
    pub(super) fn live_word(&self) -> MembershipUpdate {
        let mut controls: Vec<(&str, &str)> =
            self.peers.values().map(|p| (p.hello.ip.as_str(), p.hello.district.as_str())).collect();
        controls.push((&self.me.ip, &self.me.district));
        let (controls, control_districts) =
            controls.into_iter().map(|(ip, d)| (ip.to_owned(), d.to_owned())).unzip();
        MembershipUpdate {
            gateways: self.live.len() as u32,
            stations: self.live.clone(),
            controls,
            control_districts,
        }
    }

    /// Whether the seat of this name is heard; its own always is.
    pub(super) fn hears(&self, name: &str) -> bool {
        name == self.name || self.peers.values().any(|peer| peer.name == name)
    }

    pub(super) fn beat(&mut self, now: Timestamp) {
        let current = self.standing == ReplicaState::Current;
        let duty = self.acts(now).unwrap_or(0);
        let beat = Heartbeat {
            digest: self.ledger.digest(),
            current,
            full: self.full,
            duty,
            ..Heartbeat::default()
        };
        let leaving = self.standing == ReplicaState::Leaving;
        let (digest, kept) = (self.ledger.whole_digest(), self.is_kept());
        for (station, peer) in &self.peers {
            let (number, yours) = self.contact.next(now, &peer.name);
            let word = Message::Heartbeat(Heartbeat { digest, leaving, number, yours, kept, ..beat.clone() });
            self.acts.push(Action::Peer(station.clone(), word));
        }
        self.contact.sweep(now);
        self.bury(now);
        let silent = |heard: Timestamp| now - heard > SILENT;
        let lost: Vec<String> =
            self.peers.iter().filter(|(_, p)| silent(p.heard)).map(|(s, _)| s.clone()).collect();
        lost.iter().for_each(|station| self.peer_lost(now, station, "silent"));
        let lost: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| silent(s.heard)).map(|(id, _)| *id).collect();
        for id in lost {
            self.acts.push(Action::Close(id));
            self.session_lost(now, id, "silent");
        }
        self.tell(now);
        self.ledger.forget_dropped(Kind::Backend, MOST_DROPPED);
        self.table.sweep(now);
        if let Some((_, counts)) = &mut self.counts {
            counts.sweep(now);
        }
        let live = self.table.live();
        if live != self.live {
            self.keep_records(vec![(LIVE.to_vec(), live.join(",").into_bytes())], Kept::Nothing);
            self.live = live;
            let word = Message::MembershipUpdate(self.live_word());
            let ids: Vec<u64> = self.sessions.keys().copied().collect();
            ids.into_iter().for_each(|id| self.acts.push(Action::Session(id, word.clone())));
        }
        for id in self.sessions.keys() {
            let digest = self.ledger.digest();
            self.acts.push(Action::Session(*id, Message::Heartbeat(Heartbeat { digest, ..beat.clone() })));
        }
    }
}

pub fn millis(span: Duration) -> i64 {
    span.micros() / 1000
}

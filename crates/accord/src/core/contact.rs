//! Whom of the core this process hears, and what each is told at every beat.

use super::*;

impl Core {
    /// Addresses of control processes that this one knows of, its own left out.
    pub fn stops(&self) -> BTreeSet<String> {
        let seats = [NOW, NEXT].into_iter().filter_map(|name| Cast::of(&self.ledger, name));
        let seats = seats.flat_map(|cast| cast.seats).map(|seat| seat.ip);
        let mut stops: BTreeSet<String> =
            seats.chain(self.peers.values().map(|p| p.hello.ip.clone())).collect();
        stops.remove(&self.me.ip);
        stops
    }

    pub fn peer_came(&mut self, now: Moment, hello: &Hello) {
        let station = hello.station.clone();
        if !self.peers.contains_key(&station) {
            self.newest = now;
            info!("event=peer station={station} ip={} life={:x}", hello.ip, hello.life);
        }
        let name = Seat::from(hello).name();
        self.lost.remove(&name);
        self.leaving.remove(&name);
        let peer =
            Peer { hello: hello.clone(), name, heard: now, digest: 0, differs: 0, duty: 0, leaving: false };
        if let Some(before) = self.peers.insert(station.clone(), peer) {
            if before.name != self.peers[&station].name {
                self.lost.insert(before.name, now);
            }
        }
        self.told.1 = Moment::default(); // it is to be told of the sessions here
        self.inquired = Moment::default();
        let controls = self.stops().into_iter().collect();
        self.send(&station, Word::Live(Live { controls, ..Live::default() }));
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
    pub fn peer_alive(&mut self, now: Moment, station: &str) {
        if let Some(peer) = self.peers.get_mut(station) {
            peer.heard = now;
        }
    }

    pub(super) fn peer_lost(&mut self, now: Moment, station: &str, why: &str) {
        if let Some(peer) = self.peers.remove(station) {
            info!("event=peer-lost station={station} why={why}");
            self.lost.insert(peer.name, now);
        }
    }

    pub(super) fn buckets(&self, back: bool) -> Buckets {
        Buckets { hashes: self.ledger.buckets().to_vec(), back }
    }

    /// Tells the others the sessions here, if they are not what was told last or that was long ago.
    pub(super) fn tell(&mut self, now: Moment) {
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
        let sessions = Sessions { number, members };
        let me = (self.me.station.clone(), self.life);
        self.table.hear(now, &me.0, me.1, &sessions);
        self.send_all(&Word::Sessions(sessions));
    }

    /// What gateways are told of the others: at a session's start, and when it changes.
    pub(super) fn live_word(&self) -> Live {
        let mut controls: Vec<(&str, &str)> =
            self.peers.values().map(|p| (p.hello.ip.as_str(), p.hello.district.as_str())).collect();
        controls.push((&self.me.ip, &self.me.district));
        let (controls, control_districts) =
            controls.into_iter().map(|(ip, d)| (ip.to_owned(), d.to_owned())).unzip();
        Live { gateways: self.live.len() as u32, stations: self.live.clone(), controls, control_districts }
    }

    /// Whether the seat of this name is heard; its own always is.
    pub(super) fn hears(&self, name: &str) -> bool {
        name == self.name || self.peers.values().any(|peer| peer.name == name)
    }

    /// Whether a majority of the cast, itself among them, has been heard lately.
    pub(super) fn hears_enough(&self) -> bool {
        self.cast().is_some_and(|cast| {
            let heard = cast.seats.iter().filter(|seat| self.hears(&seat.name())).count();
            heard >= cast.majority()
        })
    }

    pub(super) fn beat(&mut self, now: Moment) {
        let current = self.standing == Standing::Current;
        let duty = self.acts(now).unwrap_or(0);
        let leaving = self.standing == Standing::Leaving;
        let digest = self.ledger.whole_digest();
        let beat = Beat { digest, ready: false, current, full: self.full, duty, leaving };
        self.send_all(&Word::Beat(beat.clone()));
        let silent = |heard: Moment| now - heard > SILENT;
        let lost: Vec<String> =
            self.peers.iter().filter(|(_, p)| silent(p.heard)).map(|(s, _)| s.clone()).collect();
        lost.iter().for_each(|station| self.peer_lost(now, station, "silent"));
        let lost: Vec<u64> =
            self.sessions.iter().filter(|(_, s)| silent(s.heard)).map(|(id, _)| *id).collect();
        for id in lost {
            self.acts.push(Act::Close(id));
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
            let word = Word::Live(self.live_word());
            let ids: Vec<u64> = self.sessions.keys().copied().collect();
            ids.into_iter().for_each(|id| self.acts.push(Act::Session(id, word.clone())));
        }
        for id in self.sessions.keys() {
            let beat =
                Beat { digest: self.ledger.digest(), current, full: self.full, duty, ..Beat::default() };
            self.acts.push(Act::Session(*id, Word::Beat(beat)));
        }
    }
}

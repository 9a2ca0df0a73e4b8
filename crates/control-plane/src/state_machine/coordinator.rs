//! The duty and what it covers: the lease, the cast, the platform's list, the counts.

use super::*;

impl StateMachine {
    pub(super) fn cast(&self) -> Option<ReplicaSet> {
        ReplicaSet::of(&self.ledger, CURRENT)
    }

    pub(super) fn era(&self) -> Option<JointReplicaSets> {
        JointReplicaSets::of(&self.ledger)
    }

    pub(super) fn is_safe(&self, copies: &BTreeSet<String>) -> bool {
        self.era().is_some_and(|era| era.is_safe(copies))
    }

    /// `whole` is the highest cast that any of these has accepted to be in force. That one of them has all that was decided
    /// under the cast before, and nothing more is decided under that one alone: so its own readings are not needed. Danger:
    /// a loss right after the repair of another leaves too few of the cast before for a reading of it, ever.
    pub(super) fn is_read(&self, heard: &BTreeSet<String>, whole: u64) -> bool {
        self.era().is_some_and(|era| match &era.next {
            Some(next) if next.edition == whole => next.is_read(heard),
            _ => era.is_read(heard),
        })
    }

    /// `who` is the claimant's seat, at `station`.
    pub(super) fn vote(&mut self, now: Timestamp, station: &str, who: &str, claim: &LeaseRequest) {
        let era = self.era();
        let newest = era.as_ref().map_or(0, |era| era.newest().edition);
        if let Some(era) = &era {
            self.voter.cast(now, era.newest());
        }
        // Danger: a cast that was accepted here may be decided; a holder that counts by the one before would be granted on.
        let fence = self.undecided_cast().map_or(0, |_| self.era_number() | 1);
        let number = era.as_ref().map_or(0, JointReplicaSets::number).max(fence);
        let mut grant = self.voter.vote(now, who, claim, number);
        // Danger: a seat that lost its disk may have been replaced; only those of the cast count, and only full.
        grant.granted &= self.full && era.as_ref().is_some_and(|era| era.has(&self.name));
        let vote = (who.to_owned(), newest);
        if grant.granted && self.recorded != vote {
            // Danger: a voter that came back would grant to another what it had granted.
            let record = (VOTE.to_vec(), record_vote(&vote));
            let station = station.to_owned();
            return self.keep_records(vec![record], Kept::Vote { station, vote, grant });
        }
        self.voted(now, station, grant);
    }

    pub(super) fn voted(&mut self, now: Timestamp, station: &str, grant: LeaseVote) {
        if station == self.me.station {
            self.granted(now, &self.name.clone(), &grant);
        } else {
            self.send(station, Message::LeaseVote(grant));
        }
    }

    /// `from` is the voter's seat.
    pub(super) fn granted(&mut self, now: Timestamp, from: &str, grant: &LeaseVote) {
        let Some(era) = self.era() else { return };
        if self.claimant.heard(now, from, grant, era.number(), |votes| era.is_elected(votes)) {
            let term = self.claimant.holds(now).unwrap_or_default();
            info!("event=duty term={term} era={}", era.number());
            self.serve(CoordinatorState::Reading(term));
            self.begin(now, None, Request::Survey);
            self.beat(now);
        }
    }

    fn serve(&mut self, to: CoordinatorState) {
        if self.service == to {
            return;
        }
        match to {
            CoordinatorState::Idle => {
                warn!("event=duty-lost");
                self.counts = None;
            }
            CoordinatorState::Reading(_) => self.counts = None,
            CoordinatorState::Acting(term) => {
                info!("event=duty-acts term={term}");
                self.roster.begin(term);
                self.counts = Some((term, UsageCounts::new(self.slack)));
            }
        }
        self.service = to;
    }

    /// It has read what a majority holds. Danger: one that acted as soon as the votes are in would go by what was in
    /// force before its term.
    pub(super) fn surveyed(&mut self, now: Timestamp) {
        if let (CoordinatorState::Reading(term), Some(held)) = (self.service, self.holds(now)) {
            if term == held {
                self.serve(CoordinatorState::Acting(term));
                self.beat(now);
            }
        }
    }

    /// The term under which this process does the duty now, and has read a majority.
    pub fn acts(&self, now: Timestamp) -> Option<u64> {
        self.holds(now).filter(|term| self.service == CoordinatorState::Acting(*term))
    }

    /// The term under which this process holds the duty's lease now.
    pub fn holds(&self, now: Timestamp) -> Option<u64> {
        self.claimant.holds(now)
    }

    /// Who does the duty, by its own word: a vote that went to another tells nothing of who holds it.
    pub(super) fn holder(&self) -> Option<String> {
        let (station, _) =
            self.peers.iter().filter(|(_, peer)| peer.duty > 0).max_by_key(|(_, peer)| peer.duty)?;
        Some(station.clone())
    }

    /// A whole reading of the platform's list.
    pub fn list_read(&mut self, now: Timestamp, entries: Vec<crate::endpoints::Entry>) {
        if self.acts(now).is_none() {
            return;
        }
        let news = self.roster.read(now, entries, &self.ledger);
        if !news.is_empty() {
            debug!("event=list news={}", news.len());
            let items = news.iter().map(ItemMessage::from).collect();
            self.take(news.into_iter().map(|item| (item, Vec::new())).collect());
            self.send_all(&Message::Items(Items { items }));
        }
    }

    pub(super) fn add(&mut self, now: Timestamp, adds: &UsageReport) -> Option<UsageTotals> {
        self.acts(now)?;
        let (terms, live) = (&self.terms, &self.live);
        let (_, counts) = self.counts.as_mut()?;
        Some(counts.add(now, adds, live, |tenant| terms.get(tenant).copied()))
    }

    pub(super) fn totals(&mut self, totals: UsageTotals) {
        // Danger: a gateway that has come anew may be held to be on its old connection too for a while; what went
        // there would be lost. Numbers of connections grow.
        let session =
            self.sessions.iter().rev().find(|(_, s)| s.hello.life == totals.life).map(|(id, _)| *id);
        if let Some(id) = session {
            self.acts.push(Action::Session(id, Message::UsageTotals(totals)));
        }
    }

    pub(super) fn claim(&mut self, now: Timestamp) {
        let Some(era) = self.era() else { return };
        self.voter.cast(now, era.newest());
        let free = self.voter.holder(now, COORDINATOR_ROLE).is_none_or(|holder| holder == self.name)
            && self.holder().is_none();
        if self.holds(now).is_none() {
            self.serve(CoordinatorState::Idle);
        }
        match self.standing {
            ReplicaState::Leaving => return self.depart(now),
            ReplicaState::Current if self.full => self.end_change(now, &era),
            _ => return,
        }
        if !era.now.has(&self.name) {
            return;
        }
        let wait = Duration::from_micros(self.chance.rand_range(0..400_000) as i64);
        if let Some(claim) = self.claimant.tick(now, free, wait, era.number()) {
            self.send_all(&Message::LeaseRequest(claim.clone()));
            let (station, name) = (self.me.station.clone(), self.name.clone());
            self.vote(now, &station, &name, &claim);
        }
        match (self.holds(now), self.service) {
            (None, _) => {}
            (Some(_), CoordinatorState::Acting(_)) => self.recast(now),
            // The reading was cut short.
            (Some(_), CoordinatorState::Reading(_))
                if !self.work.values().any(|w| w.order == Request::Survey) =>
            {
                self.begin(now, None, Request::Survey);
            }
            _ => {}
        }
    }

    /// What it sees of the stations, for the next cast.
    fn sight(&mut self, now: Timestamp, cast: &ReplicaSet) -> ReplicaObservations {
        let full = self.peers.values().filter(|peer| peer.hello.full).map(|peer| Replica::from(&peer.hello));
        let full: BTreeSet<Replica> = full.chain(self.full.then(|| self.me.clone())).collect();
        let leaves = |peer: &&Peer| peer.leaving;
        self.leaving.extend(self.peers.values().filter(leaves).map(|peer| peer.name.clone()));
        self.leaving.retain(|name| cast.has(name));
        self.lost.retain(|name, _| cast.has(name));
        let unheard: Vec<String> =
            cast.seats.iter().map(Replica::name).filter(|name| !self.hears(name)).collect();
        // Of one that it has never heard it knows the silence from its own start on.
        let since = |name: &String| self.lost.get(name).copied().unwrap_or(self.begun);
        let silent = unheard.into_iter().filter(|name| now - since(name) > GONE).collect();
        ReplicaObservations { full, leaving: self.leaving.clone(), silent }
    }

    /// A change of the cast that its holder left half-way is ended by whoever sees that, as its content is decided. Danger:
    /// while both casts decide, the loss of either one's majority stops all, elections too.
    fn end_change(&mut self, now: Timestamp, era: &JointReplicaSets) {
        let Some(next) = &era.next else {
            self.odd = None;
            return;
        };
        let mut pause =
            |least: i64| now + Duration::from_micros(least + self.chance.rand_range(0..1_500_000) as i64);
        match self.odd {
            Some((edition, due)) if edition == next.edition && now < due => {}
            Some((edition, _)) if edition == next.edition => {
                self.odd = Some((edition, pause(HALF_WAY)));
                if !self.recasts() {
                    info!("event=cast-taken-up edition={edition}");
                    self.begin(now, None, Request::Fill(next.clone()));
                }
            }
            _ => self.odd = Some((next.edition, pause(HALF_WAY))),
        }
    }

    /// Whether a cast is being brought in or put in force from here.
    pub(super) fn recasts(&self) -> bool {
        let brings = |order: &Request| matches!(order, Request::Next(_) | Request::Fill(_) | Request::Now(_));
        self.work.values().any(|work| brings(&work.order))
    }

    /// Whoever does the duty brings in what follows from what it sees: newcomers come, and seats go that are
    /// superseded, leave, or were replaced in their silence.
    pub(super) fn recast(&mut self, now: Timestamp) {
        let Some(era) = self.era().filter(|_| !self.recasts()) else { return };
        if let Some(next) = era.next {
            return self.begin(now, None, Request::Fill(next)); // an earlier one was cut short
        }
        let sight = self.sight(now, &era.now);
        if let Some(next) = era.now.follow(&sight) {
            info!("event=recast seats={} edition={}", next.seats.len(), next.edition);
            self.begin(now, None, Request::Next(next));
        }
    }

    /// The process ends: nothing new is taken, and the others are told, so that its seat and its duty go.
    pub fn leave(&mut self, now: Timestamp) {
        self.shift(ReplicaState::Leaving);
        let ids: Vec<u64> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.acts.push(Action::Close(id)));
        self.beat(now);
        self.leaving.insert(self.name.clone());
        self.depart(now);
    }

    /// Whether its own seat would go at the next change of the cast, or is going.
    fn goes(&self) -> bool {
        let alone =
            ReplicaObservations { leaving: [self.name.clone()].into(), ..ReplicaObservations::default() };
        let goes = |era: JointReplicaSets| {
            era.has(&self.name) && (era.next.is_some() || era.now.follow(&alone).is_some())
        };
        self.era().is_some_and(goes)
    }

    /// One that leaves while it acts takes its own seat out first: quicker than by another, who has to be elected and to
    /// read. Then, and if it did not act, the duty is free at once.
    fn depart(&mut self, now: Timestamp) {
        if self.acts(now).is_some() && self.goes() {
            return self.recast(now);
        }
        if let Some(claim) = self.claimant.release(now) {
            self.send_all(&Message::LeaseRequest(claim.clone()));
            let (station, name) = (self.me.station.clone(), self.name.clone());
            self.vote(now, &station, &name, &claim);
        }
        self.serve(CoordinatorState::Idle);
    }

    /// Whether one that leaves may end: what it took on is through, and its seat is gone, or will not go.
    pub fn has_left(&self) -> bool {
        self.standing == ReplicaState::Leaving
            && self.work.is_empty()
            && self.keeping.is_empty()
            && self.service == CoordinatorState::Idle
            && !self.goes()
    }
}

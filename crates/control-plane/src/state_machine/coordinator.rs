//! The duty and what it covers: the lease, the cast, the platform's list, the counts.

use super::*;

impl Core {
    pub(super) fn cast(&self) -> Option<Cast> {
        Cast::of(&self.ledger, NOW)
    }

    pub(super) fn era(&self) -> Option<Era> {
        Era::of(&self.ledger)
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
    pub(super) fn vote(&mut self, now: Moment, station: &str, who: &str, claim: &Claim) {
        let era = self.era();
        let newest = era.as_ref().map_or(0, |era| era.newest().edition);
        if let Some(era) = &era {
            self.voter.cast(now, era.newest());
        }
        // Danger: a cast that was accepted here may be decided; a holder that counts by the one before would be granted on.
        let fence = self.undecided_cast().map_or(0, |_| self.era_number() | 1);
        let number = era.as_ref().map_or(0, Era::number).max(fence);
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

    pub(super) fn voted(&mut self, now: Moment, station: &str, grant: Grant) {
        if station == self.me.station {
            self.granted(now, &self.name.clone(), &grant);
        } else {
            self.send(station, Word::Grant(grant));
        }
    }

    /// `from` is the voter's seat.
    pub(super) fn granted(&mut self, now: Moment, from: &str, grant: &Grant) {
        let Some(era) = self.era() else { return };
        if self.claimant.heard(now, from, grant, era.number(), |votes| era.is_elected(votes)) {
            let term = self.claimant.holds(now).unwrap_or_default();
            info!("event=duty term={term} era={}", era.number());
            self.serve(Service::Reading(term));
            self.begin(now, None, Order::Survey);
            self.beat(now);
        }
    }

    fn serve(&mut self, to: Service) {
        if self.service == to {
            return;
        }
        match to {
            Service::Idle => {
                warn!("event=duty-lost");
                self.counts = None;
            }
            Service::Reading(_) => self.counts = None,
            Service::Acting(term) => {
                info!("event=duty-acts term={term}");
                self.roster.begin(term);
                self.counts = Some((term, Counts::new(self.slack)));
            }
        }
        self.service = to;
    }

    /// It has read what a majority holds. Danger: one that acted as soon as the votes are in would go by what was in
    /// force before its term.
    pub(super) fn surveyed(&mut self, now: Moment) {
        if let (Service::Reading(term), Some(held)) = (self.service, self.holds(now)) {
            if term == held {
                self.serve(Service::Acting(term));
                self.beat(now);
            }
        }
    }

    /// The term under which this process does the duty now, and has read a majority.
    pub fn acts(&self, now: Moment) -> Option<u64> {
        self.holds(now).filter(|term| self.service == Service::Acting(*term))
    }

    /// The term under which this process holds the duty's lease now.
    pub fn holds(&self, now: Moment) -> Option<u64> {
        self.claimant.holds(now)
    }

    /// Who does the duty, by its own word: a vote that went to another tells nothing of who holds it.
    pub(super) fn holder(&self) -> Option<String> {
        let (station, _) =
            self.peers.iter().filter(|(_, peer)| peer.duty > 0).max_by_key(|(_, peer)| peer.duty)?;
        Some(station.clone())
    }

    /// A whole reading of the platform's list.
    pub fn list_read(&mut self, now: Moment, entries: Vec<crate::endpoints::Entry>) {
        if self.acts(now).is_none() {
            return;
        }
        let news = self.roster.read(now, entries, &self.ledger);
        if !news.is_empty() {
            debug!("event=list news={}", news.len());
            let items = news.iter().map(ItemWord::from).collect();
            self.take(news.into_iter().map(|item| (item, Vec::new())).collect());
            self.send_all(&Word::Items(Items { items }));
        }
    }

    pub(super) fn add(&mut self, now: Moment, adds: &Adds) -> Option<Totals> {
        self.acts(now)?;
        let (terms, live) = (&self.terms, &self.live);
        let (_, counts) = self.counts.as_mut()?;
        Some(counts.add(now, adds, live, |tenant| terms.get(tenant).copied()))
    }

    pub(super) fn totals(&mut self, totals: Totals) {
        // Danger: a gateway that has come anew may be held to be on its old connection too for a while; what went
        // there would be lost. Numbers of connections grow.
        let session =
            self.sessions.iter().rev().find(|(_, s)| s.hello.life == totals.life).map(|(id, _)| *id);
        if let Some(id) = session {
            self.acts.push(Act::Session(id, Word::Totals(totals)));
        }
    }

    pub(super) fn claim(&mut self, now: Moment) {
        let Some(era) = self.era() else { return };
        self.voter.cast(now, era.newest());
        let free =
            self.voter.holder(now, DUTY).is_none_or(|holder| holder == self.name) && self.holder().is_none();
        if self.holds(now).is_none() {
            self.serve(Service::Idle);
        }
        match self.standing {
            Standing::Leaving => return self.depart(now),
            Standing::Current if self.full => self.end_change(now, &era),
            _ => return,
        }
        if !era.now.has(&self.name) {
            return;
        }
        let wait = Span::from_micros(self.chance.rand_range(0..400_000) as i64);
        if let Some(claim) = self.claimant.tick(now, free, wait, era.number()) {
            self.send_all(&Word::Claim(claim.clone()));
            let (station, name) = (self.me.station.clone(), self.name.clone());
            self.vote(now, &station, &name, &claim);
        }
        match (self.holds(now), self.service) {
            (None, _) => {}
            (Some(_), Service::Acting(_)) => self.recast(now),
            // The reading was cut short.
            (Some(_), Service::Reading(_)) if !self.work.values().any(|w| w.order == Order::Survey) => {
                self.begin(now, None, Order::Survey);
            }
            _ => {}
        }
    }

    /// What it sees of the stations, for the next cast.
    fn sight(&mut self, now: Moment, cast: &Cast) -> Sight {
        let full = self.peers.values().filter(|peer| peer.hello.full).map(|peer| Seat::from(&peer.hello));
        let full: BTreeSet<Seat> = full.chain(self.full.then(|| self.me.clone())).collect();
        let leaves = |peer: &&Peer| peer.leaving;
        self.leaving.extend(self.peers.values().filter(leaves).map(|peer| peer.name.clone()));
        self.leaving.retain(|name| cast.has(name));
        self.lost.retain(|name, _| cast.has(name));
        let unheard: Vec<String> =
            cast.seats.iter().map(Seat::name).filter(|name| !self.hears(name)).collect();
        // Of one that it has never heard it knows the silence from its own start on.
        let since = |name: &String| self.lost.get(name).copied().unwrap_or(self.begun);
        let silent = unheard.into_iter().filter(|name| now - since(name) > GONE).collect();
        Sight { full, leaving: self.leaving.clone(), silent }
    }

    /// A change of the cast that its holder left half-way is ended by whoever sees that, as its content is decided. Danger:
    /// while both casts decide, the loss of either one's majority stops all, elections too.
    fn end_change(&mut self, now: Moment, era: &Era) {
        let Some(next) = &era.next else {
            self.odd = None;
            return;
        };
        let mut pause =
            |least: i64| now + Span::from_micros(least + self.chance.rand_range(0..1_500_000) as i64);
        match self.odd {
            Some((edition, due)) if edition == next.edition && now < due => {}
            Some((edition, _)) if edition == next.edition => {
                self.odd = Some((edition, pause(HALF_WAY)));
                if !self.recasts() {
                    info!("event=cast-taken-up edition={edition}");
                    self.begin(now, None, Order::Fill(next.clone()));
                }
            }
            _ => self.odd = Some((next.edition, pause(HALF_WAY))),
        }
    }

    /// Whether a cast is being brought in or put in force from here.
    pub(super) fn recasts(&self) -> bool {
        let brings = |order: &Order| matches!(order, Order::Next(_) | Order::Fill(_) | Order::Now(_));
        self.work.values().any(|work| brings(&work.order))
    }

    /// Whoever does the duty brings in what follows from what it sees: newcomers come, and seats go that are
    /// superseded, leave, or were replaced in their silence.
    pub(super) fn recast(&mut self, now: Moment) {
        let Some(era) = self.era().filter(|_| !self.recasts()) else { return };
        if let Some(next) = era.next {
            return self.begin(now, None, Order::Fill(next)); // an earlier one was cut short
        }
        let sight = self.sight(now, &era.now);
        if let Some(next) = era.now.follow(&sight) {
            info!("event=recast seats={} edition={}", next.seats.len(), next.edition);
            self.begin(now, None, Order::Next(next));
        }
    }

    /// The process ends: nothing new is taken, and the others are told, so that its seat and its duty go.
    pub fn leave(&mut self, now: Moment) {
        self.shift(Standing::Leaving);
        let ids: Vec<u64> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.acts.push(Act::Close(id)));
        self.beat(now);
        self.leaving.insert(self.name.clone());
        self.depart(now);
    }

    /// Whether its own seat would go at the next change of the cast, or is going.
    fn goes(&self) -> bool {
        let alone = Sight { leaving: [self.name.clone()].into(), ..Sight::default() };
        let goes = |era: Era| era.has(&self.name) && (era.next.is_some() || era.now.follow(&alone).is_some());
        self.era().is_some_and(goes)
    }

    /// One that leaves while it acts takes its own seat out first: quicker than by another, who has to be elected and to
    /// read. Then, and if it did not act, the duty is free at once.
    fn depart(&mut self, now: Moment) {
        if self.acts(now).is_some() && self.goes() {
            return self.recast(now);
        }
        if let Some(claim) = self.claimant.release(now) {
            self.send_all(&Word::Claim(claim.clone()));
            let (station, name) = (self.me.station.clone(), self.name.clone());
            self.vote(now, &station, &name, &claim);
        }
        self.serve(Service::Idle);
    }

    /// Whether one that leaves may end: what it took on is through, and its seat is gone, or will not go.
    pub fn has_left(&self) -> bool {
        self.standing == Standing::Leaving
            && self.work.is_empty()
            && self.keeping.is_empty()
            && self.service == Service::Idle
            && !self.goes()
    }
}

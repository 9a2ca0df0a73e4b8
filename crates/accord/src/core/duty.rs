//! The duty and what it covers: the lease, the cast, the platform's list, the counts.

use super::*;

impl Core {
    pub(super) fn cast(&self) -> Option<Cast> {
        Cast::of(&self.ledger, NOW)
    }

    /// A cast that is being brought in: what is safe or read must be so by both.
    pub(super) fn coming(&self) -> Option<Cast> {
        let (now, next) = (self.cast()?, Cast::of(&self.ledger, NEXT)?);
        (next.edition > now.edition).then_some(next)
    }

    pub(super) fn is_safe(&self, copies: &BTreeSet<String>) -> bool {
        self.cast().is_some_and(|cast| cast.is_safe(copies))
            && self.coming().is_none_or(|cast| cast.is_safe(copies))
    }

    pub(super) fn is_read(&self, heard: &BTreeSet<String>) -> bool {
        self.cast().is_some_and(|cast| cast.is_read(heard))
            && self.coming().is_none_or(|cast| cast.is_read(heard))
    }

    pub(super) fn vote(&mut self, now: Moment, who: &str, claim: &Claim) {
        let mut grant = self.voter.vote(now, who, claim);
        // Danger: a seat that lost its disk may have been replaced; only those of the cast count, and only full.
        grant.granted &= self.full && self.cast().is_some_and(|cast| cast.has(&self.me.station));
        if grant.granted && self.recorded != who {
            // Danger: a voter that came back would grant to another what it had granted.
            let record = (VOTE.to_vec(), who.as_bytes().to_vec());
            return self.keep_records(vec![record], Kept::Vote { who: who.to_owned(), grant });
        }
        self.voted(now, who, grant);
    }

    pub(super) fn voted(&mut self, now: Moment, who: &str, grant: Grant) {
        if who == self.me.station {
            self.granted(now, who, &grant);
        } else {
            self.send(who, Word::Grant(grant));
        }
    }

    pub(super) fn granted(&mut self, now: Moment, from: &str, grant: &Grant) {
        let Some(cast) = self.cast().filter(|cast| cast.has(from)) else { return };
        let majority = self.coming().map_or(0, |next| next.majority()).max(cast.majority());
        if self.claimant.heard(now, from, grant, majority) {
            let term = self.claimant.holds(now).unwrap_or_default();
            info!("event=duty term={term}");
            self.roster.begin(term);
            self.counts = Some((term, Counts::new(self.slack)));
            self.beat(now);
        }
    }

    /// The term under which this process does the duty now.
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
    pub fn list_read(&mut self, now: Moment, entries: Vec<crate::roster::Entry>) {
        if self.holds(now).is_none() {
            return;
        }
        let news = self.roster.read(now, entries, &self.ledger);
        if !news.is_empty() {
            debug!("event=list news={}", news.len());
            let items = news.iter().map(ItemWord::from).collect();
            self.take(news);
            self.send_all(&Word::Items(Items { items }));
        }
    }

    pub(super) fn add(&mut self, now: Moment, adds: &Adds) -> Option<Totals> {
        self.holds(now)?;
        let (terms, live) = (&self.terms, &self.live);
        let (_, counts) = self.counts.as_mut()?;
        Some(counts.add(now, adds, live, |tenant| terms.get(tenant).copied()))
    }

    pub(super) fn totals(&mut self, totals: Totals) {
        let session = self.sessions.iter().find(|(_, s)| s.hello.life == totals.life).map(|(id, _)| *id);
        if let Some(id) = session {
            self.acts.push(Act::Session(id, Word::Totals(totals)));
        }
    }

    pub(super) fn claim(&mut self, now: Moment) {
        let cast = self.cast();
        let seated = cast.as_ref().is_some_and(|cast| cast.has(&self.me.station));
        let free = self.voter.holder(now, DUTY).is_none_or(|holder| holder == self.me.station)
            && self.holder().is_none();
        if self.standing != Standing::Current || !self.full || !seated {
            return;
        }
        let wait = Span::from_micros(self.chance.rand_range(0..400_000) as i64);
        if let Some(claim) = self.claimant.tick(now, free, wait) {
            self.send_all(&Word::Claim(claim.clone()));
            self.vote(now, &self.me.station.clone(), &claim);
        }
        let holds = self.holds(now);
        if std::mem::replace(&mut self.held, holds.is_some()) && holds.is_none() {
            warn!("event=duty-lost");
        }
        let Some(term) = holds else {
            self.counts = None;
            return;
        };
        self.recast(now, term);
    }

    /// Whoever does the duty lets newcomers in, and takes out seats in whose place one has come.
    pub(super) fn recast(&mut self, now: Moment, term: u64) {
        let busy = self.work.values().any(|work| matches!(work.order, Order::Next(_) | Order::Now(_)));
        let Some(cast) = self.cast().filter(|_| !busy) else { return };
        if let Some(next) = self.coming() {
            return self.begin(now, None, Order::Next(next)); // an earlier one was cut short
        }
        let newcomer = self.peers.values().find(|peer| peer.hello.full && !cast.has(&peer.hello.station));
        let newcomer = newcomer.map(|peer| Seat {
            station: peer.hello.station.clone(),
            ip: peer.hello.ip.clone(),
            district: peer.hello.district.clone(),
            province: peer.hello.province.clone(),
        });
        let silent =
            self.lost.iter().filter(|(_, since)| now - **since > GONE).map(|(s, _)| s.clone()).collect();
        let edition = (term << 20).max(cast.edition + 1);
        if let Some(next) = cast.follow(edition, newcomer.as_ref(), &silent) {
            info!("event=recast seats={} edition={edition}", next.seats.len());
            self.begin(now, None, Order::Next(next));
        }
    }

    /// The process ends: nothing new is taken, and the duty is free at once.
    pub fn leave(&mut self, now: Moment) {
        if let Some(claim) = self.claimant.release(now) {
            self.send_all(&Word::Claim(claim));
        }
        self.shift(Standing::Leaving);
        let ids: Vec<u64> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.acts.push(Act::Close(id)));
    }
}

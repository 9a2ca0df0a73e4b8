//! The duty and what it covers: the lease, the cast, the platform's list, the counts.

use super::*;

impl StateMachine {
    pub(super) fn replica_set(&self) -> Option<ReplicaSet> {
        ReplicaSet::load(&self.item_store, CURRENT)
    }

    pub(super) fn epoch(&self) -> Option<JointReplicaSets> {
        JointReplicaSets::load(&self.item_store)
    }

    pub(super) fn is_safe(&self, copies: &BTreeSet<String>) -> bool {
        self.epoch().is_some_and(|epoch| epoch.is_write_quorum(copies))
    }

    /// `whole` is the highest cast that any of these has accepted to be in force. That one of them has all that was decided
    /// under the cast before, and nothing more is decided under that one alone: so its own readings are not needed. Danger:
    /// a loss right after the repair of another leaves too few of the cast before for a reading of it, ever.
    pub(super) fn is_read(&self, heard: &BTreeSet<String>, whole: u64) -> bool {
        self.epoch().is_some_and(|epoch| match &epoch.incoming {
            Some(next) if next.version == whole => next.is_read_quorum(heard),
            _ => epoch.is_read_quorum(heard),
        })
    }

    /// `who` is the claimant's seat, at `node_id`.
    pub(super) fn vote(&mut self, now: Timestamp, node_id: &str, who: &str, claim: &LeaseRequest) {
        let epoch = self.epoch();
        let newest = epoch.as_ref().map_or(0, |epoch| epoch.newest().version);
        if let Some(epoch) = &epoch {
            self.voter.observe_replica_set(now, epoch.newest());
        }
        // Danger: a cast that was accepted here may be decided; a holder that counts by the one before would be granted on.
        let fence = self.undecided_cast().map_or(0, |_| self.epoch_number() | 1);
        let number = epoch.as_ref().map_or(0, JointReplicaSets::epoch).max(fence);
        let mut grant = self.voter.vote(now, who, claim, number);
        // Danger: a seat that lost its disk may have been replaced; only those of the cast count, and only full.
        grant.is_granted &= self.full && epoch.as_ref().is_some_and(|epoch| epoch.contains(&self.name));
        let vote = (who.to_owned(), newest);
        if grant.is_granted && self.recorded != vote {
            // Danger: a voter that came back would grant to another what it had granted.
            let record = (VOTE.to_vec(), record_vote(&vote));
            let node_id = node_id.to_owned();
            return self.keep_records(vec![record], Kept::Vote { node_id, vote, grant });
        }
        self.voted(now, node_id, grant);
    }

    pub(super) fn voted(&mut self, now: Timestamp, node_id: &str, grant: LeaseVote) {
        if node_id == self.me.node_id {
            self.granted(now, &self.name.clone(), &grant);
        } else {
            self.send(node_id, Message::LeaseVote(grant));
        }
    }

    /// `from` is the voter's seat.
    pub(super) fn granted(&mut self, now: Timestamp, from: &str, grant: &LeaseVote) {
        let Some(epoch) = self.epoch() else { return };
        if self.candidate.receive_vote(now, from, grant, epoch.epoch(), |votes| epoch.is_lease_quorum(votes))
        {
            let term = self.candidate.held_term(now).unwrap_or_default();
            info!("event=duty term={term} era={}", epoch.epoch());
            self.serve(CoordinatorState::Recovering(term));
            self.begin(now, None, Request::Survey);
            self.beat(now);
        }
    }

    fn serve(&mut self, to: CoordinatorState) {
        if self.service == to {
            return;
        }
        match to {
            CoordinatorState::Follower => {
                warn!("event=duty-lost");
                self.counts = None;
            }
            CoordinatorState::Recovering(_) => self.counts = None,
            CoordinatorState::Active(term) => {
                info!("event=duty-acts term={term}");
                self.roster.start_term(term);
                self.counts = Some((term, UsageCounts::new(self.tolerance)));
            }
        }
        self.service = to;
    }

    /// It has read what a majority holds. Danger: one that acted as soon as the votes are in would go by what was in
    /// force before its term.
    pub(super) fn surveyed(&mut self, now: Timestamp) {
        if let (CoordinatorState::Recovering(term), Some(held)) = (self.service, self.lease_term(now)) {
            if term == held {
                self.serve(CoordinatorState::Active(term));
                self.beat(now);
            }
        }
    }

    /// The term under which this process does the duty now, and has read a majority.
    pub fn active_term(&self, now: Timestamp) -> Option<u64> {
        self.lease_term(now).filter(|term| self.service == CoordinatorState::Active(*term))
    }

    /// The term under which this process holds the duty's lease now.
    pub fn lease_term(&self, now: Timestamp) -> Option<u64> {
        self.candidate.held_term(now)
    }

    /// Who does the duty, by its own word: a vote that went to another tells nothing of who holds it.
    pub(super) fn holder(&self) -> Option<String> {
        let (node_id, _) =
            self.peers.iter().filter(|(_, peer)| peer.role > 0).max_by_key(|(_, peer)| peer.role)?;
        Some(node_id.clone())
    }

    /// A whole reading of the platform's list.
    pub fn endpoints_listed(&mut self, now: Timestamp, entries: Vec<crate::endpoints::Endpoint>) {
        if self.active_term(now).is_none() {
            return;
        }
        let news = self.roster.update(now, entries, &self.item_store);
        if !news.is_empty() {
            debug!("event=list news={}", news.len());
            let items = news.iter().map(ItemMessage::from).collect();
            self.take(news.into_iter().map(|item| (item, Vec::new())).collect());
            self.send_all(&Message::Items(Items { items }));
        }
    }

    pub(super) fn add(&mut self, now: Timestamp, adds: &UsageReport) -> Option<UsageTotals> {
        self.active_term(now)?;
        let (rate_limit, live) = (&self.rate_limit, &self.live);
        let (_, counts) = self.counts.as_mut()?;
        Some(counts.record(now, adds, live, |tenant| rate_limit.get(tenant).copied()))
    }

    pub(super) fn totals(&mut self, totals: UsageTotals) {
        // Danger: a gateway that has come anew may be held to be on its old connection too for a while; what went
        // there would be lost. Numbers of connections grow.
        let session = self
            .sessions
            .iter()
            .rev()
            .find(|(_, s)| s.hello.incarnation == totals.incarnation)
            .map(|(id, _)| *id);
        if let Some(id) = session {
            self.active_term.push(Action::SendToSession(id, Message::UsageTotals(totals)));
        }
    }

    pub(super) fn claim(&mut self, now: Timestamp) {
        let Some(epoch) = self.epoch() else { return };
        self.voter.observe_replica_set(now, epoch.newest());
        let free = self.voter.holder(now, COORDINATOR_ROLE).is_none_or(|holder| holder == self.name)
            && self.holder().is_none();
        if self.lease_term(now).is_none() {
            self.serve(CoordinatorState::Follower);
        }
        match self.replica_state {
            ReplicaState::ShuttingDown => return self.depart(now),
            ReplicaState::Serving if self.full => self.end_change(now, &epoch),
            _ => return,
        }
        if !epoch.current.contains(&self.name) {
            return;
        }
        let wait = Duration::from_micros(self.chance.rand_range(0..400_000) as i64);
        if let Some(claim) = self.candidate.tick(now, free, wait, epoch.epoch()) {
            self.send_all(&Message::LeaseRequest(claim.clone()));
            let (node_id, name) = (self.me.node_id.clone(), self.name.clone());
            self.vote(now, &node_id, &name, &claim);
        }
        match (self.lease_term(now), self.service) {
            (None, _) => {}
            (Some(_), CoordinatorState::Active(_)) => self.recast(now),
            // The reading was cut short.
            (Some(_), CoordinatorState::Recovering(_))
                if !self.work.values().any(|w| w.order == Request::Survey) =>
            {
                self.begin(now, None, Request::Survey);
            }
            _ => {}
        }
    }

    /// What it sees of the stations, for the next cast.
    fn sight(&mut self, now: Timestamp, replica_set: &ReplicaSet) -> ReplicaObservations {
        let full =
            self.peers.values().filter(|peer| peer.hello.is_complete).map(|peer| Replica::from(&peer.hello));
        let full: BTreeSet<Replica> = full.chain(self.full.then(|| self.me.clone())).collect();
        let leaves = |peer: &&Peer| peer.leaving;
        self.leaving.extend(self.peers.values().filter(leaves).map(|peer| peer.name.clone()));
        self.leaving.retain(|name| replica_set.contains(name));
        self.lost.retain(|name, _| replica_set.contains(name));
        let unheard: Vec<String> =
            replica_set.replicas.iter().map(Replica::name).filter(|name| !self.hears(name)).collect();
        // Of one that it has never heard it knows the silence from its own start on.
        let since = |name: &String| self.lost.get(name).copied().unwrap_or(self.begun);
        let silent = unheard.into_iter().filter(|name| now - since(name) > GONE).collect();
        ReplicaObservations { complete: full, shutting_down: self.leaving.clone(), unresponsive: silent }
    }

    /// A change of the cast that its holder left half-way is ended by whoever sees that, as its content is decided. Danger:
    /// while both casts decide, the loss of either one's majority stops all, elections too.
    fn end_change(&mut self, now: Timestamp, epoch: &JointReplicaSets) {
        let Some(next) = &epoch.incoming else {
            self.odd = None;
            return;
        };
        let mut pause =
            |least: i64| now + Duration::from_micros(least + self.chance.rand_range(0..1_500_000) as i64);
        match self.odd {
            Some((version, due)) if version == next.version && now < due => {}
            Some((version, _)) if version == next.version => {
                self.odd = Some((version, pause(HALF_WAY)));
                if !self.recasts() {
                    info!("event=cast-taken-up edition={version}");
                    self.begin(now, None, Request::Fill(next.clone()));
                }
            }
            _ => self.odd = Some((next.version, pause(HALF_WAY))),
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
        let Some(epoch) = self.epoch().filter(|_| !self.recasts()) else { return };
        if let Some(next) = epoch.incoming {
            return self.begin(now, None, Request::Fill(next)); // an earlier one was cut short
        }
        let sight = self.sight(now, &epoch.current);
        if let Some(next) = epoch.current.successor(&sight) {
            info!("event=recast seats={} edition={}", next.replicas.len(), next.version);
            self.begin(now, None, Request::Next(next));
        }
    }

    /// The process ends: nothing new is taken, and the others are told, so that its seat and its duty go.
    pub fn shut_down(&mut self, now: Timestamp) {
        self.shift(ReplicaState::ShuttingDown);
        let ids: Vec<u64> = self.sessions.keys().copied().collect();
        ids.into_iter().for_each(|id| self.active_term.push(Action::CloseSession(id)));
        self.beat(now);
        self.leaving.insert(self.name.clone());
        self.depart(now);
    }

    /// Whether its own seat would go at the next change of the cast, or is going.
    fn goes(&self) -> bool {
        let alone = ReplicaObservations {
            shutting_down: [self.name.clone()].into(),
            ..ReplicaObservations::default()
        };
        let goes = |epoch: JointReplicaSets| {
            epoch.contains(&self.name)
                && (epoch.incoming.is_some() || epoch.current.successor(&alone).is_some())
        };
        self.epoch().is_some_and(goes)
    }

    /// One that leaves while it acts takes its own seat out first: quicker than by another, who has to be elected and to
    /// read. Then, and if it did not act, the duty is free at once.
    fn depart(&mut self, now: Timestamp) {
        if self.active_term(now).is_some() && self.goes() {
            return self.recast(now);
        }
        if let Some(claim) = self.candidate.release(now) {
            self.send_all(&Message::LeaseRequest(claim.clone()));
            let (node_id, name) = (self.me.node_id.clone(), self.name.clone());
            self.vote(now, &node_id, &name, &claim);
        }
        self.serve(CoordinatorState::Follower);
    }

    /// Whether one that leaves may end: what it took on is through, and its seat is gone, or will not go.
    pub fn is_shut_down(&self) -> bool {
        self.replica_state == ReplicaState::ShuttingDown
            && self.work.is_empty()
            && self.keeping.is_empty()
            && self.service == CoordinatorState::Follower
            && !self.goes()
    }
}

//! Orders: each is read for, judged, kept by enough of the core, and answered.

use super::*;

impl Core {
    /// A call of an operator; it is answered under its number.
    pub fn order(&mut self, now: Moment, caller: u64, order: Order) {
        if self.standing != Standing::Current {
            return self.acts.push(Act::Answer(caller, Reply::Elsewhere("not caught up with the core")));
        }
        self.begin(now, Some(caller), order);
    }

    /// A body of `Timetable.Patch`, by its shape alone.
    pub fn read_call(&self, body: &[u8]) -> Result<Order, String> {
        kitepass_tenet::read_call(&self.checker, body)
            .map(Order::Patch)
            .map_err(|refusal| refusal.to_string())
    }

    pub(super) fn begin(&mut self, now: Moment, caller: Option<u64>, order: Order) {
        let id = self.ticket();
        let step = Step::Reading(self.full.then(|| self.name.clone()).into_iter().collect());
        self.work.insert(id, Work { caller, order, step, since: now });
        self.ask_all(now, id);
        self.proceed(now, id);
    }

    pub(super) fn step(&mut self, id: u64, to: Step) {
        if let Some(work) = self.work.get_mut(&id) {
            work.step = to;
        }
    }

    pub(super) fn end(&mut self, id: u64, reply: Reply) {
        let Some(work) = self.work.remove(&id) else { return };
        if let Some(caller) = work.caller {
            self.acts.push(Act::Answer(caller, reply));
        }
    }

    pub(super) fn proceed(&mut self, now: Moment, id: u64) {
        let Some(work) = self.work.get(&id) else { return };
        match &work.step {
            Step::Reading(heard) if self.is_read(heard) => self.decide(now, id),
            Step::Storing(copies) if self.is_safe(copies) => {
                let order = work.order.clone();
                self.end(id, Reply::Done);
                if let Order::Next(cast) = order {
                    // Both casts have it: from here on it is the one in force.
                    self.begin(now, None, Order::Now(cast));
                }
            }
            _ => {}
        }
    }

    /// All that was acknowledged anywhere is known here by now.
    pub(super) fn decide(&mut self, now: Moment, id: u64) {
        let Some(work) = self.work.get(&id) else { return };
        let items = match &work.order {
            Order::Get => {
                let body = kitepass_tenet::read_back(&self.ledger);
                return self.end(id, Reply::Body(body));
            }
            Order::Patch(items) => {
                if let Err(refusal) = kitepass_tenet::judge(&self.ledger, items) {
                    info!("event=refused-call why={:?}", refusal.to_string());
                    return self.end(id, Reply::Invalid(refusal.to_string()));
                }
                items.clone()
            }
            Order::Evacuate { zone, on } => {
                let known = self.ledger.get(Kind::Evacuation, zone);
                let stands = known.is_some_and(|item| item.value.is_some());
                let edition = known.map_or(0, |item| item.edition) + u64::from(stands != *on);
                let value = on.then(|| Bytes::from_static(b"1"));
                vec![Item { kind: Kind::Evacuation, name: zone.as_str().into(), edition, value }]
            }
            Order::Next(cast) => vec![cast.item(NEXT)],
            Order::Now(cast) => vec![cast.item(NOW)],
        };
        let by_call = matches!(work.order, Order::Patch(_));
        let mut news = Vec::new();
        for item in &items {
            // Of a call an equal version has no effect, even where it says something else.
            let changed =
                if by_call { self.ledger.take(item.clone()) } else { self.ledger.merge(item.clone()) };
            if changed {
                news.push(item.clone());
            }
        }
        // What stands may be on few disks yet, if an earlier try of the same call was cut short: it is kept again.
        let known = items.iter().filter_map(|item| self.ledger.get(item.kind, &item.name)).cloned();
        let known: Vec<Item> = known.collect();
        info!("event=write order={} items={} news={}", work.order.name(), known.len(), news.len());
        self.step(id, Step::Storing(BTreeSet::new()));
        self.keep(&known, Kept::Order(id));
        let items = known.iter().map(ItemWord::from).collect();
        self.send_all(&Word::Store(Store { ticket: id, items, life: self.life }));
        self.spread(&news);
        self.proceed(now, id);
    }

    pub(super) fn stored(&mut self, now: Moment, id: u64, name: &str) {
        if let Some(Work { step: Step::Storing(copies), .. }) = self.work.get_mut(&id) {
            copies.insert(name.to_owned());
            self.proceed(now, id);
        }
    }

    /// Records are on disk.
    pub fn kept(&mut self, now: Moment, ticket: u64) {
        // A disk in trouble may drop old tickets; what they were for is over.
        let kept = self.keeping.remove(&ticket);
        self.keeping = self.keeping.split_off(&ticket);
        match kept {
            Some(Kept::Order(id)) if self.full => {
                let me = self.name.clone();
                self.stored(now, id, &me);
            }
            Some(Kept::Copy { peer, ticket, life }) => {
                let stored = Stored { ticket, full: self.full, life };
                self.send(&peer, Word::Stored(stored));
            }
            Some(Kept::Vote { station, vote, grant }) => {
                self.recorded = vote;
                self.voted(now, &station, grant);
            }
            Some(Kept::Full) => {
                self.full = true;
                info!("event=full");
                self.catch_up();
            }
            _ => {}
        }
    }
}

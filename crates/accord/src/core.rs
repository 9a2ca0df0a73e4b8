//! All that a control process decides, without input or output: it is told what happens, with the time, and leaves
//! what is to be done as [`Act`]s.

use crate::order::{Order, Reply};
use crate::roster::Roster;
use bytes::Bytes;
use kitepass::{Moment, Span};
use kitepass_bond::cast::{Cast, Seat, NEXT, NOW};
use kitepass_bond::count::{Counts, Slack, Terms};
use kitepass_bond::lease::{Claimant, Voter};
use kitepass_bond::session::Table;
use kitepass_bond::words::*;
use kitepass_tenet::{Checker, Item, Kind, Ledger, Tenant};
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Time between two signs of life to each other control process and each session.
const BEAT: Span = Span::from_micros(500_000);
/// A peer or session that has said nothing for so long is given up.
const SILENT: Span = Span::from_micros(1_500_000);
/// An order that the core has not borne out by then is answered 503: its caller goes elsewhere.
const PATIENCE: Span = Span::from_micros(2_500_000);
/// A seat that has been silent for so long may go, if another stands in its district.
const GONE: Span = Span::from_micros(8_000_000);
/// For so long the founder waits for others after the last that came, and at the most.
const GATHER: Span = Span::from_micros(900_000);
const GATHER_MOST: Span = Span::from_micros(4_000_000);
/// Backends that are gone and still remembered. An older copy that brings one back is put right by the next reading.
const MOST_DROPPED: usize = 4_096;
/// The one duty: reading the platform's list, holding the counts, changing the cast.
pub const DUTY: &str = "steward";
/// The record that says that this folder holds all that was acknowledged here.
const FULL: &[u8] = b"full";
/// The record of whom this voter granted the duty last.
const VOTE: &[u8] = b"vote";
/// The record of the gateways that counted as live. Danger: a core that was killed whole would take the first few
/// that come back for all, and give each too large a part of every quota.
const LIVE: &[u8] = b"live";

/// What a control process wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// To a control process, by its station.
    Peer(String, Word),
    /// To a gateway, by its session's number.
    Session(u64, Word),
    /// Items to a gateway's session, in as many words as they need.
    Items(u64, Vec<Item>),
    /// To a caller, by the number that it asked under.
    Answer(u64, Reply),
    /// To be kept on disk, and told as [`Core::kept`] with the ticket.
    Keep(u64, Vec<(Vec<u8>, Vec<u8>)>),
    /// A session is to be closed.
    Close(u64),
}

/// How far a process may be relied on. [`Core::shift`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It knows of no core.
    Blank,
    /// It knows of a core, and has yet to hear what was acknowledged while it was away.
    Behind,
    /// It has caught up: it takes orders and sessions.
    Current,
    /// It had caught up, and hears too few of the core now to know of all that is acknowledged. Gateways are told,
    /// and go to another if there is a better one.
    Apart,
    /// It ends: nothing new is taken.
    Leaving,
}

struct Peer {
    hello: Hello,
    heard: Moment,
    digest: u64,
    differs: u32,
    duty: u64,
}

struct Session {
    hello: Hello,
    ready: bool,
    heard: Moment,
    differs: u32,
}

/// How far an order has come. [`Core::step`] alone changes it.
#[derive(Debug)]
enum Step {
    /// Hearing what the others hold.
    Reading(BTreeSet<String>),
    /// Waiting for copies on disk.
    Storing(BTreeSet<String>),
}

struct Work {
    /// Who waits for the answer, if anybody.
    caller: Option<u64>,
    order: Order,
    step: Step,
    since: Moment,
}

enum Kept {
    /// This process' own copy for an order.
    Order(u64),
    /// A copy for another process' order.
    Copy {
        peer: String,
        ticket: u64,
    },
    /// A vote that may be told.
    Vote {
        who: String,
        grant: Grant,
    },
    /// The record that makes this folder full.
    Full,
    Nothing,
}

pub struct Core {
    me: Seat,
    life: u64,
    maiden: bool,
    founder: bool,
    ledger: Ledger,
    checker: Checker,
    standing: Standing,
    full: bool,
    begun: Moment,
    newest: Moment,
    caught: BTreeSet<String>,
    inquiry: u64,
    peers: BTreeMap<String, Peer>,
    lost: BTreeMap<String, Moment>,
    sessions: BTreeMap<u64, Session>,
    table: Table,
    told: (u64, Moment, Vec<Member>),
    /// Gateways that count as live, reckoned once a beat.
    live: Vec<String>,
    voter: Voter,
    /// Whom the record on disk names.
    recorded: String,
    /// It did the duty when that was looked at last.
    held: bool,
    claimant: Claimant,
    counts: Option<(u64, Counts)>,
    /// Limits of the tenants that stand.
    terms: BTreeMap<String, Terms>,
    slack: Slack,
    roster: Roster,
    work: BTreeMap<u64, Work>,
    keeping: BTreeMap<u64, Kept>,
    ticket: u64,
    beat: Moment,
    inquired: Moment,
    chance: oorandom::Rand64,
    pub acts: Vec<Act>,
}

/// What a process is at its start.
pub struct Start {
    pub me: Seat,
    pub life: u64,
    /// The first start of the whole system, with an empty folder.
    pub maiden: bool,
    /// The one that gathers the first cast.
    pub founder: bool,
    pub records: Vec<(Vec<u8>, Vec<u8>)>,
    /// What is borne beyond a quota.
    pub slack: Slack,
}

impl Core {
    pub fn new(now: Moment, start: Start) -> Core {
        let (mut ledger, mut full, mut table) = (Ledger::new(), false, Table::default());
        let mut recorded = String::new();
        for (key, value) in &start.records {
            if key == FULL {
                full = true;
            } else if key == VOTE {
                recorded = String::from_utf8_lossy(value).into_owned();
            } else if key == LIVE {
                let stations = String::from_utf8_lossy(value);
                stations.split(',').filter(|s| !s.is_empty()).for_each(|s| table.recall(now, s));
            } else if let Some(item) = unrecord(key, value) {
                ledger.merge(item);
            }
        }
        let mut terms = BTreeMap::new();
        ledger.each(Kind::Tenant).for_each(|item| learn(&mut terms, item));
        let empty = start.records.is_empty();
        let standing = if Cast::of(&ledger, NOW).is_some() { Standing::Behind } else { Standing::Blank };
        info!("event=start standing={standing:?} full={full} items={} life={:x}", ledger.len(), start.life);
        Core {
            voter: Voter::new(now, start.maiden && empty, [(DUTY.to_owned(), recorded.clone())].into()),
            recorded,
            held: false,
            chance: oorandom::Rand64::new(u128::from(start.life)),
            maiden: start.maiden && empty,
            founder: start.founder && start.maiden && empty,
            me: start.me,
            life: start.life,
            ledger,
            checker: Checker::new(),
            standing,
            full,
            begun: now,
            newest: now,
            caught: BTreeSet::new(),
            inquiry: 0,
            peers: BTreeMap::new(),
            lost: BTreeMap::new(),
            sessions: BTreeMap::new(),
            table,
            told: (0, Moment::default(), Vec::new()),
            live: Vec::new(),
            claimant: Claimant::new(DUTY, start.life),
            counts: None,
            terms,
            slack: start.slack,
            roster: Roster::default(),
            work: BTreeMap::new(),
            keeping: BTreeMap::new(),
            ticket: 0,
            beat: now,
            inquired: Moment::default(),
            acts: Vec::new(),
        }
    }

    pub fn hello(&self) -> Hello {
        Hello {
            station: self.me.station.clone(),
            ip: self.me.ip.clone(),
            district: self.me.district.clone(),
            province: self.me.province.clone(),
            life: self.life,
            control: true,
            front: String::new(),
            current: self.standing == Standing::Current,
            full: self.full,
        }
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn shift(&mut self, to: Standing) {
        if self.standing != to {
            info!(
                "event=standing from={:?} to={to:?} items={} full={}",
                self.standing,
                self.ledger.len(),
                self.full
            );
            self.standing = to;
        }
    }

    /// Addresses of control processes that this one knows of, its own left out.
    pub fn stops(&self) -> BTreeSet<String> {
        let seats = [NOW, NEXT].into_iter().filter_map(|name| Cast::of(&self.ledger, name));
        let seats = seats.flat_map(|cast| cast.seats).map(|seat| seat.ip);
        let mut stops: BTreeSet<String> =
            seats.chain(self.peers.values().map(|p| p.hello.ip.clone())).collect();
        stops.remove(&self.me.ip);
        stops
    }

    fn cast(&self) -> Option<Cast> {
        Cast::of(&self.ledger, NOW)
    }

    /// A cast that is being brought in: what is safe or read must be so by both.
    fn coming(&self) -> Option<Cast> {
        let (now, next) = (self.cast()?, Cast::of(&self.ledger, NEXT)?);
        (next.edition > now.edition).then_some(next)
    }

    fn is_safe(&self, copies: &BTreeSet<String>) -> bool {
        self.cast().is_some_and(|cast| cast.is_safe(copies))
            && self.coming().is_none_or(|cast| cast.is_safe(copies))
    }

    fn is_read(&self, heard: &BTreeSet<String>) -> bool {
        self.cast().is_some_and(|cast| cast.is_read(heard))
            && self.coming().is_none_or(|cast| cast.is_read(heard))
    }

    fn ticket(&mut self) -> u64 {
        self.ticket += 1;
        self.ticket
    }

    fn keep(&mut self, items: &[Item], why: Kept) {
        let records = items.iter().map(record).collect();
        self.keep_records(records, why);
    }

    fn keep_records(&mut self, records: Vec<(Vec<u8>, Vec<u8>)>, why: Kept) {
        let ticket = self.ticket();
        self.keeping.insert(ticket, why);
        self.acts.push(Act::Keep(ticket, records));
    }

    fn send(&mut self, station: &str, word: Word) {
        self.acts.push(Act::Peer(station.to_owned(), word));
    }

    fn send_all(&mut self, word: &Word) {
        for station in self.peers.keys() {
            self.acts.push(Act::Peer(station.clone(), word.clone()));
        }
    }

    /// Takes items in; those that are news go to all sessions, and to disk. True if any was.
    fn take(&mut self, items: Vec<Item>) -> bool {
        let news: Vec<Item> = items.into_iter().filter(|item| self.ledger.merge(item.clone())).collect();
        if news.is_empty() {
            return false;
        }
        self.keep(&news, Kept::Nothing);
        self.spread(&news);
        self.founded();
        true
    }

    fn spread(&mut self, news: &[Item]) {
        news.iter().for_each(|item| learn(&mut self.terms, item));
        for session in self.sessions.keys().filter(|_| !news.is_empty()) {
            self.acts.push(Act::Items(*session, news.to_vec()));
        }
    }

    /// The first cast has come to one that takes part in the founding: its empty folder is whole.
    fn founded(&mut self) {
        if self.standing == Standing::Blank && self.cast().is_some() {
            self.shift(Standing::Behind);
            if self.maiden && self.cast().is_some_and(|cast| cast.has(&self.me.station) && cast.edition == 1)
            {
                self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
            }
        }
        self.maiden &= self.cast().is_none();
    }

    // What control processes say to each other.

    pub fn peer_came(&mut self, now: Moment, hello: &Hello) {
        let station = hello.station.clone();
        if !self.peers.contains_key(&station) {
            self.newest = now;
            info!("event=peer station={station} ip={} life={:x}", hello.ip, hello.life);
        }
        self.lost.remove(&station);
        let peer = Peer { hello: hello.clone(), heard: now, digest: 0, differs: 0, duty: 0 };
        self.peers.insert(station.clone(), peer);
        self.told.1 = Moment::default(); // it is to be told of the sessions here
        self.inquired = Moment::default();
        let controls = self.stops().into_iter().collect();
        self.send(&station, Word::Live(Live { controls, ..Live::default() }));
    }

    /// One that was given up for its silence has to say again who it is.
    pub fn knows(&self, station: &str) -> bool {
        self.peers.contains_key(station)
    }

    fn peer_lost(&mut self, now: Moment, station: &str, why: &str) {
        if self.peers.remove(station).is_some() {
            info!("event=peer-lost station={station} why={why}");
            self.lost.insert(station.to_owned(), now);
        }
    }

    /// What another control process says. Addresses that it tells of come back.
    pub fn peer_said(&mut self, now: Moment, station: &str, word: Word) -> Vec<String> {
        let Some(peer) = self.peers.get_mut(station) else { return Vec::new() };
        peer.heard = now;
        let life = peer.hello.life;
        match word {
            Word::Beat(beat) => {
                (peer.hello.current, peer.hello.full, peer.digest) = (beat.current, beat.full, beat.digest);
                peer.duty = beat.duty;
                peer.differs = if beat.digest == self.ledger.digest() { 0 } else { peer.differs + 1 };
                let asks = peer.differs >= 2;
                self.table.alive(now, station, life);
                if asks {
                    self.peers.get_mut(station).expect("found above").differs = 0;
                    self.send(station, Word::Buckets(self.buckets(true)));
                }
            }
            Word::Live(live) => return live.controls,
            Word::Items(items) => {
                self.take(items.items.into_iter().filter_map(ItemWord::item).collect());
            }
            Word::Buckets(buckets) => {
                let items: Vec<ItemWord> =
                    self.ledger.differing(&buckets.hashes).map(ItemWord::from).collect();
                self.send(station, Word::Items(Items { items }));
            }
            Word::Store(store) => self.copy(station, store),
            Word::Stored(stored) if stored.full => self.stored(now, stored.ticket, station),
            Word::Inquire(inquire) => {
                let items = self.ledger.differing(&inquire.hashes).map(ItemWord::from).collect();
                let founded = self.cast().is_some();
                let held = Held { ticket: inquire.ticket, items, full: self.full, founded };
                self.send(station, Word::Held(held));
            }
            Word::Held(held) => self.held(now, station, held),
            Word::Claim(claim) => self.vote(now, station, &claim),
            Word::Grant(grant) => self.granted(now, station, &grant),
            Word::Sessions(sessions) => {
                self.table.hear(now, station, life, &sessions);
            }
            Word::Adds(adds) => {
                if let Some(totals) = self.add(now, &adds) {
                    self.send(station, Word::Totals(totals));
                }
            }
            Word::Totals(totals) => self.totals(totals),
            _ => {}
        }
        Vec::new()
    }

    /// Keeps another process' write. It counts as a copy only once it is on disk, and only if this folder is full.
    fn copy(&mut self, peer: &str, store: Store) {
        let items: Vec<Item> = store.items.into_iter().filter_map(ItemWord::item).collect();
        let news: Vec<Item> =
            items.iter().filter(|item| self.ledger.merge((*item).clone())).cloned().collect();
        let known = items.iter().filter_map(|item| self.ledger.get(item.kind, &item.name)).cloned();
        let known: Vec<Item> = known.collect();
        self.keep(&known, Kept::Copy { peer: peer.to_owned(), ticket: store.ticket });
        self.spread(&news);
        self.founded();
    }

    fn held(&mut self, now: Moment, station: &str, held: Held) {
        self.take(held.items.into_iter().filter_map(ItemWord::item).collect());
        if !held.full || !held.founded {
            return;
        }
        if held.ticket == self.inquiry {
            self.caught.insert(station.to_owned());
            self.catch_up();
        } else if let Some(work) = self.work.get_mut(&held.ticket) {
            if let Step::Reading(heard) = &mut work.step {
                heard.insert(station.to_owned());
                self.proceed(now, held.ticket);
            }
        }
    }

    /// Whether enough of the core has been heard since the start.
    fn catch_up(&mut self) {
        let mut heard = self.caught.clone();
        if self.full {
            heard.insert(self.me.station.clone());
        }
        let apart = self.standing == Standing::Apart && !self.hears_enough();
        if apart || !matches!(self.standing, Standing::Behind | Standing::Apart) || !self.is_read(&heard) {
            return;
        }
        if self.full {
            self.shift(Standing::Current);
        } else if !self.keeping.values().any(|kept| matches!(kept, Kept::Full)) {
            // Danger: one with an empty folder would pass for a copy of what it never held. It is full only once
            // all that others hold is on its disk, in order before this record.
            self.keep_records(vec![(FULL.to_vec(), vec![1])], Kept::Full);
        }
    }

    fn inquire(&mut self) {
        // What was heard under an earlier ticket stays heard: copies merge, and nothing known is forgotten. Apart from
        // the core that is not so: what it heard then may be old by now.
        self.inquiry = self.ticket();
        let word = Inquire { ticket: self.inquiry, hashes: self.ledger.buckets().to_vec() };
        self.send_all(&Word::Inquire(word));
    }

    // Orders.

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

    fn begin(&mut self, now: Moment, caller: Option<u64>, order: Order) {
        let id = self.ticket();
        let step = Step::Reading(self.full.then(|| self.me.station.clone()).into_iter().collect());
        self.work.insert(id, Work { caller, order, step, since: now });
        let word = Inquire { ticket: id, hashes: self.ledger.buckets().to_vec() };
        self.send_all(&Word::Inquire(word));
        self.proceed(now, id);
    }

    fn step(&mut self, id: u64, to: Step) {
        if let Some(work) = self.work.get_mut(&id) {
            work.step = to;
        }
    }

    fn end(&mut self, id: u64, reply: Reply) {
        let Some(work) = self.work.remove(&id) else { return };
        if let Some(caller) = work.caller {
            self.acts.push(Act::Answer(caller, reply));
        }
    }

    fn proceed(&mut self, now: Moment, id: u64) {
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
    fn decide(&mut self, now: Moment, id: u64) {
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
        self.send_all(&Word::Store(Store { ticket: id, items }));
        self.spread(&news);
        self.proceed(now, id);
    }

    fn stored(&mut self, now: Moment, id: u64, station: &str) {
        if let Some(Work { step: Step::Storing(copies), .. }) = self.work.get_mut(&id) {
            copies.insert(station.to_owned());
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
                let me = self.me.station.clone();
                self.stored(now, id, &me);
            }
            Some(Kept::Copy { peer, ticket }) => {
                let stored = Stored { ticket, full: self.full };
                self.send(&peer, Word::Stored(stored));
            }
            Some(Kept::Vote { who, grant }) => {
                self.recorded.clone_from(&who);
                self.voted(now, &who, grant);
            }
            Some(Kept::Full) => {
                self.full = true;
                info!("event=full");
                self.catch_up();
            }
            _ => {}
        }
    }

    // Sessions.

    /// A gateway asks for a session. Danger: one that has not caught up would tell it an old configuration.
    pub fn session_came(&mut self, now: Moment, id: u64, hello: Hello) {
        self.acts.push(Act::Session(id, Word::Hello(self.hello())));
        if !matches!(self.standing, Standing::Current | Standing::Apart) {
            return self.acts.push(Act::Close(id));
        }
        info!("event=session station={} life={:x}", hello.station, hello.life);
        self.sessions.insert(id, Session { hello, ready: false, heard: now, differs: 0 });
        let word = Word::Live(self.live_word());
        self.acts.push(Act::Session(id, word));
    }

    pub fn session_lost(&mut self, now: Moment, id: u64, why: &str) {
        if let Some(session) = self.sessions.remove(&id) {
            info!("event=session-lost station={} why={why}", session.hello.station);
            self.tell(now);
        }
    }

    pub fn session_said(&mut self, now: Moment, id: u64, word: Word) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.heard = now;
        match word {
            Word::Beat(beat) => {
                let was = std::mem::replace(&mut session.ready, beat.ready);
                session.differs = if beat.digest == self.ledger.digest() { 0 } else { session.differs + 1 };
                // One beat may have crossed with news.
                if session.differs >= 2 {
                    session.differs = 0;
                    self.acts.push(Act::Session(id, Word::Buckets(self.buckets(false))));
                }
                if was != beat.ready {
                    self.tell(now);
                }
            }
            Word::Buckets(buckets) => {
                let items: Vec<Item> = self.ledger.differing(&buckets.hashes).cloned().collect();
                self.acts.push(Act::Items(id, items));
                if !buckets.back {
                    self.acts.push(Act::Session(id, Word::Buckets(self.buckets(true))));
                }
            }
            // Repair: what a gateway was told by one that is lost.
            Word::Items(items) => {
                self.take(items.items.into_iter().filter_map(ItemWord::item).collect());
            }
            Word::Adds(adds) => match self.add(now, &adds) {
                Some(totals) => self.totals(totals),
                None => {
                    if let Some(holder) = self.holder() {
                        self.send(&holder, Word::Adds(adds));
                    }
                }
            },
            _ => {}
        }
    }

    fn buckets(&self, back: bool) -> Buckets {
        Buckets { hashes: self.ledger.buckets().to_vec(), back }
    }

    /// Tells the others the sessions here, if they are not what was told last or that was long ago.
    fn tell(&mut self, now: Moment) {
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

    // Duties.

    fn vote(&mut self, now: Moment, who: &str, claim: &Claim) {
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

    fn voted(&mut self, now: Moment, who: &str, grant: Grant) {
        if who == self.me.station {
            self.granted(now, who, &grant);
        } else {
            self.send(who, Word::Grant(grant));
        }
    }

    fn granted(&mut self, now: Moment, from: &str, grant: &Grant) {
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
    fn holder(&self) -> Option<String> {
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

    fn add(&mut self, now: Moment, adds: &Adds) -> Option<Totals> {
        self.holds(now)?;
        let (terms, live) = (&self.terms, &self.live);
        let (_, counts) = self.counts.as_mut()?;
        Some(counts.add(now, adds, live, |tenant| terms.get(tenant).copied()))
    }

    fn totals(&mut self, totals: Totals) {
        let session = self.sessions.iter().find(|(_, s)| s.hello.life == totals.life).map(|(id, _)| *id);
        if let Some(id) = session {
            self.acts.push(Act::Session(id, Word::Totals(totals)));
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

    /// Seats of the cast, and whether each is heard of now.
    pub fn seats(&self) -> Vec<(Seat, bool)> {
        let heard = |seat: &Seat| seat.station == self.me.station || self.peers.contains_key(&seat.station);
        self.cast().map_or(Vec::new(), |c| c.seats.into_iter().map(|s| (s.clone(), heard(&s))).collect())
    }

    /// To be called about ten times a second.
    pub fn tick(&mut self, now: Moment) {
        if now - self.beat >= BEAT {
            self.beat = now;
            self.beat(now);
        }
        match self.standing {
            Standing::Blank | Standing::Behind | Standing::Apart if now - self.inquired > BEAT => {
                self.inquired = now;
                self.inquire();
                self.found(now);
            }
            // Danger: cut off from the rest of the core, it would hold its gateways on an old configuration.
            Standing::Current if !self.hears_enough() => {
                self.caught.clear();
                self.shift(Standing::Apart);
                self.beat(now);
            }
            _ => {}
        }
        self.claim(now);
        let late: Vec<u64> =
            self.work.iter().filter(|(_, work)| now - work.since > PATIENCE).map(|(id, _)| *id).collect();
        for id in late {
            warn!("event=order-late order={}", self.work[&id].order.name());
            self.end(id, Reply::Elsewhere("the core did not bear it out in time"));
        }
    }

    /// What gateways are told of the others: at a session's start, and when it changes.
    fn live_word(&self) -> Live {
        let mut controls: Vec<(&str, &str)> =
            self.peers.values().map(|p| (p.hello.ip.as_str(), p.hello.district.as_str())).collect();
        controls.push((&self.me.ip, &self.me.district));
        let (controls, control_districts) =
            controls.into_iter().map(|(ip, d)| (ip.to_owned(), d.to_owned())).unzip();
        Live { gateways: self.live.len() as u32, stations: self.live.clone(), controls, control_districts }
    }

    /// Whether a majority of the cast, itself among them, has been heard lately.
    fn hears_enough(&self) -> bool {
        self.cast().is_some_and(|cast| {
            let heard = cast.seats.iter().filter(|seat| self.peers.contains_key(&seat.station)).count();
            heard + usize::from(cast.has(&self.me.station)) >= cast.majority()
        })
    }

    fn beat(&mut self, now: Moment) {
        let current = self.standing == Standing::Current;
        let duty = self.holds(now).unwrap_or(0);
        let beat = Beat { digest: self.ledger.digest(), ready: false, current, full: self.full, duty };
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
            let beat = Beat { digest: self.ledger.digest(), ready: false, current, full: self.full, duty };
            self.acts.push(Act::Session(*id, Word::Beat(beat)));
        }
    }

    /// The founder makes the first cast of all who have come.
    fn found(&mut self, now: Moment) {
        let (since, quiet) = (now - self.begun, now - self.newest);
        let alone = self.peers.is_empty() && since < GATHER_MOST;
        if !self.founder || self.standing != Standing::Blank || alone || quiet < GATHER {
            return;
        }
        let seat = |hello: &Hello| Seat {
            station: hello.station.clone(),
            ip: hello.ip.clone(),
            district: hello.district.clone(),
            province: hello.province.clone(),
        };
        let mut seats: Vec<Seat> = self.peers.values().map(|peer| seat(&peer.hello)).collect();
        seats.push(self.me.clone());
        seats.sort();
        let cast = Cast { seats, edition: 1 };
        info!("event=found seats={}", cast.seats.len());
        let item = cast.item(NOW);
        self.send_all(&Word::Items(Items { items: vec![(&item).into()] }));
        self.take(vec![item]);
    }

    fn claim(&mut self, now: Moment) {
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
    fn recast(&mut self, now: Moment, term: u64) {
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

    pub fn is_idle(&self) -> bool {
        self.work.is_empty() && self.keeping.is_empty()
    }
}

/// Takes a tenant's limit up.
fn learn(terms: &mut BTreeMap<String, Terms>, item: &Item) {
    if item.kind != Kind::Tenant {
        return;
    }
    match Tenant::of(item) {
        Some(tenant) => {
            terms.insert(item.name.to_string(), Terms { rate: tenant.rate, surge: tenant.surge });
        }
        None => _ = terms.remove(&*item.name),
    }
}

fn record(item: &Item) -> (Vec<u8>, Vec<u8>) {
    // Of a backend that is gone nothing is kept: an empty value takes its record away.
    if item.kind == Kind::Backend && item.value.is_none() {
        return (key(item), Vec::new());
    }
    let mut value = item.edition.to_be_bytes().to_vec();
    value.push(u8::from(item.value.is_some()));
    value.extend_from_slice(item.value.as_deref().unwrap_or_default());
    (key(item), value)
}

fn key(item: &Item) -> Vec<u8> {
    let mut key = vec![item.kind as u8];
    key.extend_from_slice(item.name.as_bytes());
    key
}

fn unrecord(key: &[u8], value: &[u8]) -> Option<Item> {
    let (kind, name) = key.split_first()?;
    let (edition, rest) = value.split_first_chunk::<8>()?;
    let (set, value) = rest.split_first()?;
    Some(Item {
        kind: Kind::from_u8(*kind)?,
        name: Arc::from(std::str::from_utf8(name).ok()?),
        edition: u64::from_be_bytes(*edition),
        value: (*set == 1).then(|| Bytes::copy_from_slice(value)),
    })
}

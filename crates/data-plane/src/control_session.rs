//! The session with a control process: what is known of the system comes over it.

use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::membership::{ReplicaSet, CURRENT};
use kitepass_coordination::protocol::*;
use kitepass_time::{Duration, Timestamp};
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};

const BEAT: Duration = Duration::from_micros(500_000);
/// A control process that says nothing for so long is left for another.
const SILENT: Duration = Duration::from_micros(1_600_000);
/// Backends that are gone and still remembered.
const MOST_DROPPED: usize = 4_096;
/// A session that is not up by then is given up.
const COMING: Duration = Duration::from_micros(1_400_000);
/// One that is up and tells nothing of what is lacked for so long is given up: many may wait for their turn.
const TELLING: Duration = Duration::from_micros(10_000_000);
/// So long without being told all by a control process in touch with the core a gateway keeps what it holds; after that it
/// begins anew. Danger: what was dropped meanwhile may be forgotten, and then nobody would tell it so. The core forgets
/// no sooner than twice this after all of it knew.
const ALONE: Duration = Duration::from_micros(1_800_000_000);
/// After so many repairs that left a difference it begins anew: something is held here that the core lets go of.
const MOST_DIFFERING: u32 = 8;
/// One that was tried in vain is left alone for so long, times how often that was.
const AGAIN: Duration = Duration::from_micros(350_000);
/// So long a control process that fell out of contact with the core is stayed with, if another may be better: cuts that
/// are joined at once move nobody. One that is out of contact when it is come to is left as soon as it is synced.
const APART: Duration = Duration::from_micros(1_500_000);
/// One that was found out of contact is looked at again no sooner, twice as long each further time, up to the most.
/// Danger: where all are, gateways would go round among them without end.
const APART_AGAIN: Duration = Duration::from_micros(10_000_000);
const APART_MOST: Duration = Duration::from_micros(20_000_000);
/// A better control process is gone over to no sooner.
const SETTLED: Duration = Duration::from_micros(3_000_000);

/// How far the session has come. [`ControlSession::shift`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Away,
    /// A connection is on its way, since a moment.
    Coming(Timestamp),
    /// It is up, and tells what is lacked here; since the last of it.
    Telling(Timestamp),
    /// All that the control process holds has come.
    Synced,
}

/// What the session has brought.
#[derive(Debug, Default)]
pub struct SessionUpdates {
    pub items: Vec<Item>,
    pub live: Option<(usize, Vec<String>)>,
    pub totals: Vec<UsageTotals>,
    pub ready_changed: bool,
    /// The session is to be closed.
    pub close: bool,
}

pub struct ControlSession {
    hello: Hello,
    state: State,
    /// What is gone by.
    pub item_store: ItemStore,
    /// A new beginning from nothing, in the ledger's place once it is whole; until then the ledger is gone by.
    anew: Option<(ItemStore, Timestamp)>,
    /// When it last held what a control process in touch with the core held.
    told: Timestamp,
    /// Longest time without that: [`ALONE`], but for tests.
    alone: Duration,
    /// The control process is to be asked again for what is lacked.
    asks: bool,
    differing: u32,
    first: Vec<String>,
    /// Control processes by address, with district.
    known: BTreeMap<String, String>,
    /// When each was tried last, and how often in vain since.
    tried: BTreeMap<String, (Timestamp, u32)>,
    at: String,
    heard: Timestamp,
    since: Timestamp,
    beat: Timestamp,
    /// The control process is out of contact with the core: after this moment it is left for another, if there is one
    /// that may be better.
    apart: Option<Timestamp>,
    /// Control processes that were out of contact when they were heard last: when, and how often in a row.
    found_apart: BTreeMap<String, (Timestamp, u32)>,
    /// It has caught up with the core once: from then on it may serve.
    caught: bool,
    lived: bool,
    regions: BTreeMap<String, String>,
    pub ready: bool,
    told_ready: bool,
    pub out: Vec<Message>,
    pub out_items: Vec<Item>,
}

impl ControlSession {
    pub fn new(hello: Hello, first: Vec<String>, regions: BTreeMap<String, String>) -> ControlSession {
        ControlSession {
            hello,
            state: State::Away,
            item_store: ItemStore::new(),
            anew: None,
            told: Timestamp::default(),
            alone: ALONE,
            asks: false,
            differing: 0,
            first,
            known: BTreeMap::new(),
            tried: BTreeMap::new(),
            at: String::new(),
            heard: Timestamp::default(),
            since: Timestamp::default(),
            beat: Timestamp::default(),
            apart: None,
            found_apart: BTreeMap::new(),
            caught: false,
            lived: false,
            regions,
            ready: false,
            told_ready: false,
            out: Vec::new(),
            out_items: Vec::new(),
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// It has caught up, and is not beginning anew.
    fn has_whole(&self) -> bool {
        self.caught && self.anew.is_none()
    }

    fn shift(&mut self, to: State) {
        if let (State::Telling(since), State::Telling(now)) = (&mut self.state, to) {
            *since = now;
        } else if self.state != to {
            let name = match to {
                State::Away => "away",
                State::Coming(_) => "coming",
                State::Telling(_) => "telling",
                State::Synced => "synced",
            };
            debug!("event=link state={name} control={}", self.at);
            self.state = to;
        }
    }

    /// For tests: so long it may be alone.
    pub fn set_alone(&mut self, alone: Duration) {
        self.alone = alone;
    }

    /// What the session is about: a new beginning, or the ledger.
    fn held(&self) -> &ItemStore {
        self.anew.as_ref().map_or(&self.item_store, |(anew, _)| anew)
    }

    fn begin_anew(&mut self, now: Timestamp, why: &str) {
        info!("event=anew why={why} items={}", self.item_store.len());
        self.anew = Some((ItemStore::new(), now));
        self.differing = 0;
    }

    /// What was begun anew is whole, and stands in the ledger's place from here on. What is not in it is gone.
    fn swap(&mut self, brought: &mut SessionUpdates) {
        let Some((anew, _)) = self.anew.take() else { return };
        let old = std::mem::replace(&mut self.item_store, anew);
        let is_new = |item: &&Item| old.get(item.kind, &item.name) != Some(*item);
        brought.items.extend(self.item_store.items().filter(is_new).cloned());
        let is_gone = |item: &&Item| item.is_set() && self.item_store.get(item.kind, &item.name).is_none();
        brought.items.extend(old.items().filter(is_gone).map(|item| Item { value: None, ..item.clone() }));
    }

    /// Caught up with the core, and told of the other gateways.
    pub fn is_caught_up(&self) -> bool {
        self.caught && self.lived
    }

    pub fn stops(&mut self, first: Vec<String>) {
        self.first = first;
    }

    fn rank(&self, address: &str) -> u32 {
        match self.known.get(address) {
            Some(zone) if *zone == self.hello.zone => 0,
            Some(zone) if self.regions.get(zone) == Some(&self.hello.region) => 1,
            _ => 2,
        }
    }

    /// All control processes that are known.
    fn controls(&self) -> BTreeSet<String> {
        let mut all: BTreeSet<String> = self.first.iter().chain(self.known.keys()).cloned().collect();
        if let Some(replica_set) = ReplicaSet::load(&self.item_store, CURRENT) {
            all.extend(replica_set.replicas.into_iter().map(|replica| replica.address));
        }
        all
    }

    /// Whether it was out of contact when it was heard last, and is not to be looked at again yet.
    fn is_apart(&self, now: Timestamp, address: &str) -> bool {
        let again = |times: u32| (APART_AGAIN * i64::from(times.max(1))).min(APART_MOST);
        self.found_apart.get(address).is_some_and(|(found, times)| now - *found < again(*times))
    }

    /// Whether there is another control process that may be in contact with the core.
    fn may_do_better(&self, now: Timestamp) -> bool {
        let vain = |address: &str| {
            self.tried.get(address).is_some_and(|(tried, vain)| *vain > 0 && now - *tried < APART_MOST)
        };
        self.controls()
            .iter()
            .any(|address| *address != self.at && !self.is_apart(now, address) && !vain(address))
    }

    /// What the control process says of itself.
    fn contact(&mut self, now: Timestamp, current: bool, patience: Duration) {
        if current {
            self.apart = None;
            self.found_apart.remove(&self.at);
            return;
        }
        let times = self.found_apart.get(&self.at).map_or(0, |(_, times)| *times);
        let times = times + u32::from(self.apart.is_none());
        if self.apart.is_none() {
            self.apart = Some(now + patience);
            info!("event=control-apart control={}", self.at);
        }
        self.found_apart.insert(self.at.clone(), (now, times));
    }

    /// The control process to open a session with now, if any: not tried in vain, in contact, near ones first.
    pub fn next(&mut self, now: Timestamp, draw: u64) -> Option<String> {
        if self.state != State::Away {
            return None;
        }
        let all = self.controls();
        let late = |address: &String| {
            self.tried.get(address).is_some_and(|(tried, vain)| {
                let vain = (*vain).min(6).max(u32::from(self.is_apart(now, address)));
                now - *tried < AGAIN * i64::from(vain)
            })
        };
        let fresh: Vec<&String> = all.iter().filter(|address| !late(address)).collect();
        let order = |address: &String| {
            let vain = self.tried.get(address).map_or(0, |(_, vain)| *vain);
            (vain, self.is_apart(now, address), self.rank(address))
        };
        let best = fresh.iter().map(|address| order(address)).min()?;
        let best: Vec<&&String> = fresh.iter().filter(|address| order(address) == best).collect();
        let address = best[(draw % best.len() as u64) as usize].to_string();
        let vain = self.tried.get(&address).map_or(0, |(_, vain)| *vain);
        self.tried.insert(address.clone(), (now, vain + 1));
        self.at = address.clone();
        let begun = self.anew.as_ref().map_or(self.told, |(_, begun)| *begun);
        if self.caught && now - begun > self.alone {
            self.begin_anew(now, "alone");
        }
        self.asks = false;
        self.shift(State::Coming(now));
        (self.heard, self.since, self.apart) = (now, now, None);
        self.out = vec![
            Message::Hello(Hello { is_serving: self.has_whole(), ..self.hello.clone() }),
            Message::BucketDigests(BucketDigests {
                digests: self.held().buckets().to_vec(),
                wants_reply: false,
            }),
        ];
        self.told_ready = !self.ready;
        Some(address)
    }

    pub fn lost(&mut self, why: &str) {
        match self.state {
            State::Away => {}
            // Ordinary: one that has not caught up yet, or a nearer one that is gone over to.
            _ if matches!(why, "not-current" | "left") => {
                debug!("event=link-lost control={} why={why}", self.at)
            }
            _ => warn!("event=link-lost control={} why={why}", self.at),
        }
        self.out.clear();
        self.out_items.clear();
        self.shift(State::Away);
    }

    /// To be called about ten times a second; true if the session is to be closed.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        self.item_store.purge_dropped(Kind::Backend, MOST_DROPPED);
        match self.state {
            State::Away => return false,
            State::Coming(since) if now - since > COMING => return true,
            _ if now - self.heard > SILENT => return true,
            State::Telling(since) if now - since > TELLING => return true,
            State::Synced if self.apart.is_some_and(|until| now >= until) && self.may_do_better(now) => {
                return true;
            }
            _ => {}
        }
        let better = self.known.keys().any(|address| {
            self.rank(address) < self.rank(&self.at)
                && self.found_apart.get(address).is_none_or(|(found, _)| now - *found > SETTLED * 4)
                && self.tried.get(address).is_none_or(|(tried, _)| now - *tried > SETTLED * 4)
        });
        if self.state == State::Synced && better && now - self.since > SETTLED {
            return true;
        }
        if std::mem::take(&mut self.asks) {
            let hashes = self.held().buckets().to_vec();
            self.out.push(Message::BucketDigests(BucketDigests { digests: hashes, wants_reply: false }));
        }
        if now - self.beat >= BEAT || self.ready != self.told_ready {
            (self.beat, self.told_ready) = (now, self.ready);
            let beat = Heartbeat {
                digest: self.held().digest(),
                is_ready: self.ready,
                is_serving: self.has_whole(),
                ..Heartbeat::default()
            };
            self.out.push(Message::Heartbeat(beat));
        }
        false
    }

    /// Bytes have come that are no whole word yet. Danger: over a slow line one of many MiB takes longer than a silence
    /// is borne.
    pub fn alive(&mut self, now: Timestamp) {
        self.heard = now;
    }

    pub fn said(&mut self, now: Timestamp, message: Message, brought: &mut SessionUpdates) {
        self.heard = now;
        match &message {
            Message::Hello(hello) => {
                self.known.insert(hello.address.clone(), hello.zone.clone());
                self.contact(now, hello.is_serving, Duration::ZERO);
                self.shift(State::Telling(now));
            }
            Message::Heartbeat(beat) => {
                self.contact(now, beat.is_serving, APART);
                // What stands here is what stands there: words come in order.
                if self.apart.is_none() && self.anew.is_none() && beat.digest == self.item_store.digest() {
                    self.told = now;
                }
            }
            _ => {}
        }
        // Danger: an old configuration taken for the newest. One that has caught up once does no worse by staying a while.
        if self.apart.is_some() && !self.has_whole() {
            brought.close = true;
            return;
        }
        match message {
            Message::Items(items) => {
                if matches!(self.state, State::Telling(_)) {
                    self.shift(State::Telling(now));
                }
                for item in items.items.into_iter().filter_map(ItemMessage::into_item) {
                    match &mut self.anew {
                        Some((anew, _)) => _ = anew.merge(item),
                        None if self.item_store.merge(item.clone()) => brought.items.push(item),
                        None => {}
                    }
                }
            }
            Message::BucketDigests(buckets) => {
                // Of backends what one told that is lost; whoever reads the list puts right what is wrong in it. Danger:
                // of the configuration an old item could come back that way. The core has all of it: it is told here
                // only once it is decided.
                let differing = self.held().differing(&buckets.digests);
                let back: Vec<Item> = differing.filter(|item| item.kind == Kind::Backend).cloned().collect();
                self.out_items.extend(back);
                if buckets.wants_reply {
                    self.told_all(now, buckets.digests == self.held().buckets(), brought);
                } else {
                    let hashes = self.held().buckets().to_vec();
                    self.out
                        .push(Message::BucketDigests(BucketDigests { digests: hashes, wants_reply: false }));
                }
                brought.ready_changed = true;
            }
            Message::MembershipUpdate(live) => {
                self.lived = true;
                self.known = live
                    .control_addresses
                    .iter()
                    .cloned()
                    .zip(live.control_districts.iter().cloned())
                    .collect();
                brought.live = Some((live.gateway_count as usize, live.node_ids));
                brought.ready_changed = true;
            }
            Message::PurgeTombstones(forget) => {
                for (kind, name, version) in forget.into_expired() {
                    self.item_store.purge(kind, &name, version);
                    if let Some((anew, _)) = &mut self.anew {
                        anew.purge(kind, &name, version);
                    }
                }
            }
            Message::UsageTotals(totals) => brought.totals.push(totals),
            _ => {}
        }
    }

    /// The control process has told all that it holds; `agrees` if what is held here is that and nothing else.
    fn told_all(&mut self, now: Timestamp, agrees: bool, brought: &mut SessionUpdates) {
        self.differing = if agrees { 0 } else { self.differing + 1 };
        let is_first = !self.caught || self.anew.is_some();
        // Danger: whoever serves by what it was told in part serves by less than was acknowledged.
        if is_first && !agrees {
            info!("event=told-differs control={} times={}", self.at, self.differing);
            self.asks = true;
            return;
        }
        self.swap(brought);
        if self.state != State::Synced {
            info!("event=synced control={} items={}", self.at, self.item_store.len());
        }
        self.caught = true;
        self.shift(State::Synced);
        // One that is out of contact tells nothing of the others.
        for (address, (_, vain)) in &mut self.tried {
            if self.apart.is_none() || *address == self.at {
                *vain = 0;
            }
        }
        if self.apart.is_none() {
            self.told = if agrees { now } else { self.told };
            if self.differing >= MOST_DIFFERING {
                self.begin_anew(now, "differs");
                self.asks = true;
            }
        }
    }

    /// Whether any backend is known.
    pub fn has_backends(&self) -> bool {
        self.item_store.items_of(Kind::Backend).any(|item| item.value.is_some())
    }
}

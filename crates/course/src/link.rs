//! The session with a control process: what is known of the system comes over it.

use kitepass::{Moment, Span};
use kitepass_bond::cast::{Cast, NOW};
use kitepass_bond::words::*;
use kitepass_tenet::{Item, Kind, Ledger};
use log::{debug, info, warn};
use std::collections::{BTreeMap, BTreeSet};

const BEAT: Span = Span::from_micros(500_000);
/// A control process that says nothing for so long is left for another.
const SILENT: Span = Span::from_micros(1_600_000);
/// Backends that are gone and still remembered.
const MOST_DROPPED: usize = 4_096;
/// A session that is not up by then is given up.
const COMING: Span = Span::from_micros(1_400_000);
/// One that was tried in vain is left alone for so long, times how often that was.
const AGAIN: Span = Span::from_micros(350_000);
/// So long a control process that fell out of contact with the core is stayed with, if another may be better: cuts that
/// are joined at once move nobody. One that is out of contact when it is come to is left as soon as it is synced.
const APART: Span = Span::from_micros(1_500_000);
/// One that was found out of contact is looked at again no sooner, twice as long each further time, up to the most.
/// Danger: where all are, gateways would go round among them without end.
const APART_AGAIN: Span = Span::from_micros(10_000_000);
const APART_MOST: Span = Span::from_micros(20_000_000);
/// A better control process is gone over to no sooner.
const SETTLED: Span = Span::from_micros(3_000_000);

/// How far the session has come. [`Link::shift`] alone changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Away,
    /// A connection is on its way, since a moment.
    Coming(Moment),
    /// All that the control process holds has come.
    Synced,
}

/// What the session has brought.
#[derive(Debug, Default)]
pub struct Brought {
    pub items: Vec<Item>,
    pub live: Option<(usize, Vec<String>)>,
    pub totals: Vec<Totals>,
    pub ready_changed: bool,
    /// The session is to be closed.
    pub close: bool,
}

pub struct Link {
    hello: Hello,
    state: State,
    pub ledger: Ledger,
    first: Vec<String>,
    /// Control processes by address, with district.
    known: BTreeMap<String, String>,
    /// When each was tried last, and how often in vain since.
    tried: BTreeMap<String, (Moment, u32)>,
    at: String,
    heard: Moment,
    since: Moment,
    beat: Moment,
    /// The control process is out of contact with the core: after this moment it is left for another, if there is one
    /// that may be better.
    apart: Option<Moment>,
    /// Control processes that were out of contact when they were heard last: when, and how often in a row.
    found_apart: BTreeMap<String, (Moment, u32)>,
    /// It has caught up with the core once: from then on it may serve.
    caught: bool,
    lived: bool,
    provinces: BTreeMap<String, String>,
    pub ready: bool,
    told_ready: bool,
    pub out: Vec<Word>,
    pub out_items: Vec<Item>,
}

impl Link {
    pub fn new(hello: Hello, first: Vec<String>, provinces: BTreeMap<String, String>) -> Link {
        Link {
            hello,
            state: State::Away,
            ledger: Ledger::new(),
            first,
            known: BTreeMap::new(),
            tried: BTreeMap::new(),
            at: String::new(),
            heard: Moment::default(),
            since: Moment::default(),
            beat: Moment::default(),
            apart: None,
            found_apart: BTreeMap::new(),
            caught: false,
            lived: false,
            provinces,
            ready: false,
            told_ready: false,
            out: Vec::new(),
            out_items: Vec::new(),
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    fn shift(&mut self, to: State) {
        if self.state != to {
            let name = match to {
                State::Away => "away",
                State::Coming(_) => "coming",
                State::Synced => "synced",
            };
            debug!("event=link state={name} control={}", self.at);
            self.state = to;
        }
    }

    /// Caught up with the core, and told of the other gateways.
    pub fn is_caught_up(&self) -> bool {
        self.caught && self.lived
    }

    pub fn stops(&mut self, first: Vec<String>) {
        self.first = first;
    }

    fn rank(&self, ip: &str) -> u32 {
        match self.known.get(ip) {
            Some(district) if *district == self.hello.district => 0,
            Some(district) if self.provinces.get(district) == Some(&self.hello.province) => 1,
            _ => 2,
        }
    }

    /// All control processes that are known.
    fn controls(&self) -> BTreeSet<String> {
        let mut all: BTreeSet<String> = self.first.iter().chain(self.known.keys()).cloned().collect();
        if let Some(cast) = Cast::of(&self.ledger, NOW) {
            all.extend(cast.seats.into_iter().map(|seat| seat.ip));
        }
        all
    }

    /// Whether it was out of contact when it was heard last, and is not to be looked at again yet.
    fn is_apart(&self, now: Moment, ip: &str) -> bool {
        let again = |times: u32| (APART_AGAIN * i64::from(times.max(1))).min(APART_MOST);
        self.found_apart.get(ip).is_some_and(|(found, times)| now - *found < again(*times))
    }

    /// Whether there is another control process that may be in contact with the core.
    fn may_do_better(&self, now: Moment) -> bool {
        let vain =
            |ip: &str| self.tried.get(ip).is_some_and(|(tried, vain)| *vain > 0 && now - *tried < APART_MOST);
        self.controls().iter().any(|ip| *ip != self.at && !self.is_apart(now, ip) && !vain(ip))
    }

    /// What the control process says of itself.
    fn contact(&mut self, now: Moment, current: bool, patience: Span) {
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
    pub fn next(&mut self, now: Moment, draw: u64) -> Option<String> {
        if self.state != State::Away {
            return None;
        }
        let all = self.controls();
        let late = |ip: &String| {
            self.tried.get(ip).is_some_and(|(tried, vain)| {
                let vain = (*vain).min(6).max(u32::from(self.is_apart(now, ip)));
                now - *tried < AGAIN * i64::from(vain)
            })
        };
        let fresh: Vec<&String> = all.iter().filter(|ip| !late(ip)).collect();
        let order = |ip: &String| {
            let vain = self.tried.get(ip).map_or(0, |(_, vain)| *vain);
            (vain, self.is_apart(now, ip), self.rank(ip))
        };
        let best = fresh.iter().map(|ip| order(ip)).min()?;
        let best: Vec<&&String> = fresh.iter().filter(|ip| order(ip) == best).collect();
        let ip = best[(draw % best.len() as u64) as usize].to_string();
        let vain = self.tried.get(&ip).map_or(0, |(_, vain)| *vain);
        self.tried.insert(ip.clone(), (now, vain + 1));
        self.at = ip.clone();
        self.shift(State::Coming(now));
        (self.heard, self.since, self.apart) = (now, now, None);
        self.out = vec![
            Word::Hello(Hello { current: self.caught, ..self.hello.clone() }),
            Word::Buckets(Buckets { hashes: self.ledger.buckets().to_vec(), back: false }),
        ];
        self.told_ready = !self.ready;
        Some(ip)
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
    pub fn tick(&mut self, now: Moment) -> bool {
        self.ledger.forget_dropped(Kind::Backend, MOST_DROPPED);
        match self.state {
            State::Away => return false,
            State::Coming(since) if now - since > COMING => return true,
            _ if now - self.heard > SILENT => return true,
            State::Synced if self.apart.is_some_and(|until| now >= until) && self.may_do_better(now) => {
                return true;
            }
            _ => {}
        }
        let better = self.known.keys().any(|ip| {
            self.rank(ip) < self.rank(&self.at)
                && self.found_apart.get(ip).is_none_or(|(found, _)| now - *found > SETTLED * 4)
                && self.tried.get(ip).is_none_or(|(tried, _)| now - *tried > SETTLED * 4)
        });
        if self.state == State::Synced && better && now - self.since > SETTLED {
            return true;
        }
        if now - self.beat >= BEAT || self.ready != self.told_ready {
            (self.beat, self.told_ready) = (now, self.ready);
            let beat = Beat {
                digest: self.ledger.digest(),
                ready: self.ready,
                current: self.caught,
                ..Beat::default()
            };
            self.out.push(Word::Beat(beat));
        }
        false
    }

    /// Bytes have come that are no whole word yet. Danger: over a slow line one of many MiB takes longer than a silence
    /// is borne.
    pub fn alive(&mut self, now: Moment) {
        self.heard = now;
    }

    pub fn said(&mut self, now: Moment, word: Word, brought: &mut Brought) {
        self.heard = now;
        match &word {
            Word::Hello(hello) => {
                self.known.insert(hello.ip.clone(), hello.district.clone());
                self.contact(now, hello.current, Span::ZERO);
            }
            Word::Beat(beat) => self.contact(now, beat.current, APART),
            _ => {}
        }
        // Danger: an old configuration taken for the newest. One that has caught up once does no worse by staying a while.
        if self.apart.is_some() && !self.caught {
            brought.close = true;
            return;
        }
        match word {
            Word::Items(items) => {
                for item in items.items.into_iter().filter_map(ItemWord::item) {
                    if self.ledger.merge(item.clone()) {
                        brought.items.push(item);
                    }
                }
            }
            Word::Buckets(buckets) => {
                // What this gateway was told by one that is lost, and the core may not have.
                let back: Vec<Item> = self.ledger.differing(&buckets.hashes).cloned().collect();
                self.out_items.extend(back);
                if buckets.back {
                    if self.state != State::Synced {
                        info!("event=synced control={} items={}", self.at, self.ledger.len());
                    }
                    self.caught = true;
                    self.shift(State::Synced);
                    // One that is out of contact tells nothing of the others.
                    for (ip, (_, vain)) in &mut self.tried {
                        if self.apart.is_none() || *ip == self.at {
                            *vain = 0;
                        }
                    }
                } else {
                    let hashes = self.ledger.buckets().to_vec();
                    self.out.push(Word::Buckets(Buckets { hashes, back: false }));
                }
                brought.ready_changed = true;
            }
            Word::Live(live) => {
                self.lived = true;
                self.known =
                    live.controls.iter().cloned().zip(live.control_districts.iter().cloned()).collect();
                brought.live = Some((live.gateways as usize, live.stations));
                brought.ready_changed = true;
            }
            Word::Totals(totals) => brought.totals.push(totals),
            _ => {}
        }
    }

    /// Whether any backend is known.
    pub fn has_backends(&self) -> bool {
        self.ledger.each(Kind::Backend).any(|item| item.value.is_some())
    }
}

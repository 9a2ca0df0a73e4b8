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
/// So long one that is cut off from the core is stayed with, if no other is better.
const APART: Span = Span::from_micros(1_500_000);
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
    /// The control process is cut off from the core: it is gone from for another, if there is a better one.
    apart: bool,
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
            apart: false,
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

    /// The control process to open a session with now, if any: near ones first, not tried lately.
    pub fn next(&mut self, now: Moment, draw: u64) -> Option<String> {
        if self.state != State::Away {
            return None;
        }
        let mut all: BTreeSet<String> = self.first.iter().chain(self.known.keys()).cloned().collect();
        if let Some(cast) = Cast::of(&self.ledger, NOW) {
            all.extend(cast.seats.into_iter().map(|seat| seat.ip));
        }
        let late = |ip: &String| {
            self.tried.get(ip).is_some_and(|(tried, vain)| now - *tried < AGAIN * i64::from((*vain).min(6)))
        };
        let fresh: Vec<&String> = all.iter().filter(|ip| !late(ip)).collect();
        let order = |ip: &String| (self.tried.get(ip).map_or(0, |(_, vain)| *vain), self.rank(ip));
        let best = fresh.iter().map(|ip| order(ip)).min()?;
        let best: Vec<&&String> = fresh.iter().filter(|ip| order(ip) == best).collect();
        let ip = best[(draw % best.len() as u64) as usize].to_string();
        let vain = self.tried.get(&ip).map_or(0, |(_, vain)| *vain);
        self.tried.insert(ip.clone(), (now, vain + 1));
        self.at = ip.clone();
        self.shift(State::Coming(now));
        (self.heard, self.since, self.apart) = (now, now, false);
        self.out = vec![
            Word::Hello(self.hello.clone()),
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
            State::Synced if self.apart && now - self.since > APART => return true,
            _ => {}
        }
        let better = self.known.keys().any(|ip| {
            self.rank(ip) < self.rank(&self.at)
                && self.tried.get(ip).is_none_or(|(tried, _)| now - *tried > SETTLED * 4)
        });
        if self.state == State::Synced && better && now - self.since > SETTLED {
            return true;
        }
        if now - self.beat >= BEAT || self.ready != self.told_ready {
            (self.beat, self.told_ready) = (now, self.ready);
            let beat = Beat { digest: self.ledger.digest(), ready: self.ready, ..Beat::default() };
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
        match word {
            Word::Hello(hello) => {
                self.known.insert(hello.ip.clone(), hello.district.clone());
                // Danger: an old configuration. One that has caught up once does no worse by staying a while.
                self.apart = !hello.current;
                brought.close |= self.apart && !self.caught;
            }
            Word::Beat(beat) => self.apart = !beat.current,
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
                    if !self.apart {
                        self.tried.values_mut().for_each(|(_, vain)| *vain = 0);
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

//! Which backend a leg goes to. No input or output.
//!
//! Each backend has a cost: its usual time as seen from here, distance and queue included, times how many legs are
//! out there already. A few are drawn, mostly near ones, and the cheapest goes; a draw keeps gateways that know the
//! same from all running to one backend.

use kitepass::{Moment, Span};
use kitepass_tenet::{Item, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Weight of the newest time in a backend's usual one.
const NEWEST: f64 = 0.2;
/// What one more leg out adds to a backend's cost.
const CROWD: f64 = 0.6;
/// A service that nothing is known of takes so long.
const UNKNOWN: Span = Span::from_micros(100_000);
/// Time to another region and back, for one that nothing is known of.
const FAR: Span = Span::from_micros(110_000);
/// What another zone's bytes are worth in time.
const NEXT_DOOR: f64 = 1.1;
/// Backends drawn of the near ones and of all.
const DRAWN: usize = 3;
/// A backend that failed is left alone for so long at first, and twice as long each time, up to the most.
const BARRED: Span = Span::from_micros(400_000);
const BARRED_MOST: Span = Span::from_micros(6_400_000);
/// One that was full is left alone for so long.
const FULL: Span = Span::from_micros(80_000);
/// Of the bound on a cold backend the part that is used.
const COLD_USED: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Settled,
    /// An answer that says that it did not run: full, draining, or past its time there.
    TurnedAway,
    /// Somebody else has the address.
    Elsewhere,
    /// Its own failure, which may have run.
    Failed,
    /// Never reached.
    Unreached,
    /// Broken off, spoilt or silent.
    Broken,
    /// Left by this gateway, or by its client.
    Left,
}

#[derive(Debug)]
pub struct Backend {
    pub call_sign: Arc<str>,
    pub line: Arc<str>,
    pub address: SocketAddr,
    pub district: Arc<str>,
    closing: bool,
    cold_until: Moment,
    pace: Option<Span>,
    out: u32,
    fails: u32,
    barred: Moment,
    last_cold: Option<Moment>,
}

/// What a leg needs.
pub struct Need<'a> {
    pub line: &'a Arc<str>,
    /// Sets of provinces that each bind; an empty one does not.
    pub homes: [&'a [Arc<str>]; 2],
    /// Backends that had a leg of this request.
    pub had: &'a [Arc<str>],
}

pub struct Pick {
    backends: BTreeMap<Arc<str>, Backend>,
    lines: BTreeMap<Arc<str>, Vec<Arc<str>>>,
    paces: BTreeMap<Arc<str>, Span>,
    district: Arc<str>,
    province: Arc<str>,
    station: Arc<str>,
    provinces: BTreeMap<String, String>,
    evacuated: BTreeSet<Arc<str>>,
    stations: Vec<String>,
    chance: oorandom::Rand64,
    /// Requests a second that a cold backend of a service bears.
    cold_rates: BTreeMap<Arc<str>, f64>,
}

impl Pick {
    pub fn new(seed: u64, station: &str, district: &str, provinces: &BTreeMap<String, String>) -> Pick {
        let province = provinces.get(district).map_or("", String::as_str).into();
        Pick {
            backends: BTreeMap::new(),
            lines: BTreeMap::new(),
            paces: BTreeMap::new(),
            district: district.into(),
            province,
            station: station.into(),
            provinces: provinces.clone(),
            evacuated: BTreeSet::new(),
            stations: Vec::new(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            cold_rates: BTreeMap::new(),
        }
    }

    /// The stations of live gateways, in order.
    pub fn live(&mut self, stations: Vec<String>) {
        self.stations = stations;
    }

    pub fn cold_rates(&mut self, rates: impl Iterator<Item = (Arc<str>, f64)>) {
        self.cold_rates = rates.collect();
    }

    /// Zones to which nothing may go. Danger: one that comes back may have turned cold shortly before, and the list
    /// tells late: its backends count as cold for a while.
    pub fn evacuated(&mut self, now: Moment, zones: &BTreeSet<Arc<str>>) {
        let back: BTreeSet<Arc<str>> = self.evacuated.difference(zones).cloned().collect();
        for backend in self.backends.values_mut().filter(|b| back.contains(&b.district)) {
            backend.cold_until = backend.cold_until.max(now + Span::from_micros(4_000_000));
        }
        self.evacuated = zones.clone();
    }

    /// Takes in an item of the list of backends.
    pub fn learn(&mut self, now: Moment, item: &Item) {
        if item.kind != Kind::Backend {
            return;
        }
        let value = item.value.as_deref().and_then(|v| serde_json::from_slice::<serde_json::Value>(v).ok());
        let read = value.as_ref().and_then(|value| {
            let text = |name: &str| value[name].as_str();
            let address: SocketAddr = text("address")?.parse().ok()?;
            Some((Arc::<str>::from(text("line")?), address, Arc::<str>::from(text("district")?)))
        });
        let Some((line, address, district)) = read else {
            if let Some(backend) = self.backends.remove(&item.name) {
                self.unline(&backend);
            }
            return;
        };
        let value = value.unwrap_or_default();
        let closing = value["closing"].as_bool().unwrap_or(false);
        let cold = Span::from_micros(value["cold-ms"].as_i64().unwrap_or(0).clamp(0, 600_000) * 1000);
        let cold_until = if cold > Span::ZERO { now + cold } else { Moment::default() };
        if let Some(backend) = self.backends.get_mut(&item.name) {
            if backend.address == address && backend.line == line {
                (backend.closing, backend.cold_until) = (closing, cold_until);
                return;
            }
            let old = self.backends.remove(&item.name).expect("found above");
            self.unline(&old);
        }
        self.lines.entry(line.clone()).or_default().push(item.name.clone());
        let backend = Backend {
            call_sign: item.name.clone(),
            line,
            address,
            district,
            closing,
            cold_until,
            pace: None,
            out: 0,
            fails: 0,
            barred: Moment::default(),
            last_cold: None,
        };
        self.backends.insert(item.name.clone(), backend);
    }

    fn unline(&mut self, backend: &Backend) {
        if let Some(line) = self.lines.get_mut(&backend.line) {
            line.retain(|call_sign| *call_sign != backend.call_sign);
        }
    }

    pub fn get(&self, call_sign: &str) -> Option<&Backend> {
        self.backends.get(call_sign)
    }

    pub fn len(&self) -> usize {
        self.backends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    pub fn province_of(&self, district: &str) -> &str {
        self.provinces.get(district).map_or("", String::as_str)
    }

    /// A service's usual time.
    pub fn pace(&self, line: &Arc<str>) -> Span {
        self.paces.get(line).copied().unwrap_or(UNKNOWN)
    }

    /// Whether a zone's backend may be used at all for these homes.
    fn fits(&self, backend: &Backend, need: &Need) -> bool {
        let province = self.province_of(&backend.district);
        !backend.closing
            && !self.evacuated.contains(&backend.district)
            && !need.had.contains(&backend.call_sign)
            && need.homes.iter().all(|homes| homes.is_empty() || homes.iter().any(|home| **home == *province))
    }

    fn cost(&self, now: Moment, backend: &Backend) -> f64 {
        let far = *self.province != *self.province_of(&backend.district);
        let usual =
            backend.pace.unwrap_or_else(|| self.pace(&backend.line) + if far { FAR } else { Span::ZERO });
        let door = if backend.district == self.district { 1.0 } else { NEXT_DOOR };
        let barred = if backend.barred > now { 1e6 + (backend.barred - now).secs() * 1e3 } else { 0.0 };
        usual.secs() * (1.0 + CROWD * f64::from(backend.out)) * door + barred
    }

    /// Draws a backend for a leg, which is out there from now on.
    pub fn pick(&mut self, now: Moment, need: &Need) -> Option<Arc<str>> {
        let known = self.lines.get(need.line)?;
        let (mut near, mut all) = (Vec::new(), Vec::new());
        for call_sign in known {
            let backend = &self.backends[call_sign];
            if !self.fits(backend, need) || backend.cold_until > now && !self.takes_cold(now, backend) {
                continue;
            }
            all.push(call_sign.clone());
            if *self.province_of(&backend.district) == *self.province && backend.barred <= now {
                near.push(call_sign.clone());
            }
        }
        let mut drawn: Vec<Arc<str>> = Vec::new();
        for (from, times) in [(&near, DRAWN), (&all, if near.is_empty() { DRAWN } else { 1 })] {
            for _ in 0..times.min(from.len()) {
                drawn.push(from[self.chance.rand_range(0..from.len() as u64) as usize].clone());
            }
        }
        let cost = |call_sign: &Arc<str>| self.cost(now, &self.backends[call_sign]);
        let best = drawn.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let backend = self.backends.get_mut(&best).expect("drawn from these");
        backend.out += 1;
        if backend.cold_until > now {
            backend.last_cold = Some(now);
        }
        Some(best)
    }

    /// Whether this gateway may send a request to a cold backend now. Danger: all gateways together, each with a
    /// little, push it over; so only few may, chosen alike by all without talk, each at its part of the rate.
    fn takes_cold(&self, now: Moment, backend: &Backend) -> bool {
        let rate = self.cold_rates.get(&backend.line).copied().unwrap_or(0.0) * COLD_USED;
        let few = (rate.floor() as usize).min(3);
        if few == 0 || self.stations.is_empty() {
            return false;
        }
        let score = |station: &str| {
            let text = [station.as_bytes(), backend.call_sign.as_bytes()].concat();
            text.iter()
                .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
        };
        let own = score(&self.station);
        let before = self.stations.iter().filter(|s| ***s != *self.station && score(s) < own).count();
        let gap = PERIOD_SECS * few as f64 / rate;
        before < few && backend.last_cold.is_none_or(|last| (now - last).secs() >= gap)
    }

    /// A leg has ended.
    pub fn ended(&mut self, now: Moment, call_sign: &str, end: End, took: Span) {
        let Some(backend) = self.backends.get_mut(call_sign) else { return };
        backend.out = backend.out.saturating_sub(1);
        let learn = |pace: &mut Span, took: Span| *pace = *pace + (took - *pace).times(NEWEST);
        match end {
            End::Settled => {
                backend.fails = 0;
                backend.barred = Moment::default();
                learn(backend.pace.get_or_insert(took), took);
                if *backend.district == *self.district {
                    learn(self.paces.entry(backend.line.clone()).or_insert(took), took);
                }
            }
            End::Failed => {}
            End::TurnedAway => {
                backend.barred = backend.barred.max(now + FULL);
                if let Some(pace) = &mut backend.pace {
                    *pace = pace.times(1.2);
                }
            }
            End::Elsewhere => backend.barred = now + BARRED_MOST,
            End::Unreached | End::Broken => {
                let span = BARRED * (1 << backend.fails.min(4));
                backend.fails += 1;
                backend.barred = now + span.min(BARRED_MOST);
            }
            End::Left => {}
        }
    }

    /// A backend says itself that it leaves.
    pub fn closes(&mut self, now: Moment, call_sign: &str) {
        if let Some(backend) = self.backends.get_mut(call_sign) {
            backend.barred = backend.barred.max(now + Span::from_micros(200_000));
        }
    }
}

const PERIOD_SECS: f64 = 1.0;
